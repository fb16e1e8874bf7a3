"""The controller that runs the scheduler and commits its decisions."""

import asyncio
import contextlib
import time
from collections.abc import Iterator

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.replicated_state import ReplicatedState
from persimmonyard.daemon.control.scheduler_feed import SchedulerFeed
from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import PersimmonyardError
from persimmonyard.scheduler import (
    Decision,
    Place,
    Preempt,
    Quarantine,
    Refuse,
    Scheduler,
)
from persimmonyard.state import ChangeEvent
from persimmonyard.state.commands import (
    PlaceAttempt,
    RefuseRequest,
    SetUpstreamStatus,
    StopAttempt,
)
from persimmonyard.state.records import UpstreamStatus

__all__ = ["SchedulingController"]

MAX_DECISION_INTERVAL_S = 1.0
REJECTION_BACKOFF_S = 0.2
# A new leader loads the state into its scheduler in slices of this duration.
# It is far below the heartbeat interval of the replicas, so that the leader
# does not lose its quorum lease while it loads.
LOAD_SLICE_S = 0.02
# Seconds between looks whether a replica that loads its state still leads.
LEADERSHIP_POLL_INTERVAL_S = 0.05


class SchedulingController:
    """Run the scheduler while this replica leads."""

    def __init__(
        self, replicated_state: ReplicatedState, assignments: AssignmentController
    ):
        self._replicated_state = replicated_state
        self._assignments = assignments
        self._logger = get_logger("scheduling")
        self._wakeup = asyncio.Event()
        self.loaded = asyncio.Event()
        self._load_steps: Iterator[None] = iter(())
        self.on_leadership_lost()

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler of the current leadership."""
        return self._feed.scheduler

    def on_leadership_gained(self) -> None:
        """Start to load the replicated state into a new scheduler."""
        self.on_leadership_lost()
        self._load_steps = self._feed.load_steps()
        self._wakeup.set()

    def on_leadership_lost(self) -> None:
        """Replace the scheduler with an empty one."""
        self._feed = SchedulerFeed(self._replicated_state.machine)
        self.loaded.clear()
        self._load_steps = iter(())
        self._deferred_changes: list[ChangeEvent] = []

    def on_changes(self, changes: list[ChangeEvent]) -> None:
        """Report changes to the scheduler, or defer them while it loads."""
        if not self.loaded.is_set():
            self._deferred_changes.extend(changes)
            return
        for change in changes:
            self._feed.handle_change(change)
        self._wakeup.set()

    def guarantees_at_risk(self) -> list[dict[str, object]]:
        """Return the guaranteed shapes that do not fit now.

        The list is empty until the scheduler is loaded.
        """
        if not self.loaded.is_set():
            return []
        return [problem._asdict() for problem in self.scheduler.guarantees_at_risk()]

    def load_slice(self) -> bool:
        """Load the state for one slice; return whether all of it is loaded."""
        deadline = time.monotonic() + LOAD_SLICE_S
        for _ in self._load_steps:
            if time.monotonic() >= deadline:
                return False
        deferred_changes = self._deferred_changes
        self._deferred_changes = []
        for change in deferred_changes:
            self._feed.handle_change(change)
        self.loaded.set()
        return True

    async def wait_loaded(self) -> bool:
        """Wait until the scheduler is loaded; return whether it is.

        Return False once this replica no longer leads.
        """
        while not self.loaded.is_set():
            if not self._replicated_state.is_leader():
                return False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEADERSHIP_POLL_INTERVAL_S):
                    await self.loaded.wait()
        return True

    async def run(self) -> None:
        """Run the scheduler after changes and at its wake-up times."""
        while True:
            await self._wait_for_work()
            self._wakeup.clear()
            if not self._replicated_state.is_leader():
                continue
            if not self.loaded.is_set() and not self.load_slice():
                self._wakeup.set()
                await asyncio.sleep(0)
                continue
            if not self._assignments.has_available_entry():
                continue
            await self.decide_once()

    async def decide_once(self) -> None:
        """Call the scheduler once and commit its decisions."""
        decisions = self.scheduler.decide(time.time())
        await asyncio.gather(
            *(self._commit_decision(decision) for decision in decisions)
        )

    async def _wait_for_work(self) -> None:
        wakeup_at = self.scheduler.next_wakeup()
        timeout = MAX_DECISION_INTERVAL_S
        if wakeup_at is not None:
            timeout = min(MAX_DECISION_INTERVAL_S, max(0.01, wakeup_at - time.time()))
        try:
            await asyncio.wait_for(self._wakeup.wait(), timeout)
        except TimeoutError:
            return

    async def _commit_decision(self, decision: Decision) -> None:
        try:
            match decision:
                case Place():
                    await self._place(decision)
                case Preempt(request_id, number, checkpoint, for_request, reason):
                    await self._replicated_state.commit(
                        StopAttempt(
                            request_id, number, checkpoint, reason.text, for_request
                        )
                    )
                case Refuse(request_id, code, reason):
                    await self._refuse(request_id, code, reason.text)
                case Quarantine():
                    await self._quarantine(decision)
        except PersimmonyardError as error:
            self._logger.warning("decision not committed", error=str(error))

    async def _place(self, decision: Place) -> None:
        entry_id = self._assignments.pick_entry(decision.upstream_ids[0])
        committed = False
        try:
            if entry_id is not None:
                result = await self._replicated_state.commit(
                    PlaceAttempt(
                        decision.request_id,
                        decision.number,
                        decision.upstream_ids,
                        entry_id,
                        decision.borrowed,
                        decision.reason.text,
                    )
                )
                committed = result.code == 0
        finally:
            if not committed:
                self._feed.revert_placement(
                    decision.request_id,
                    decision.number,
                    time.time() + REJECTION_BACKOFF_S,
                )

    async def _refuse(self, request_id: str, code: int, text: str) -> None:
        committed = False
        try:
            result = await self._replicated_state.commit(
                RefuseRequest(request_id, code, text)
            )
            committed = result.code == 0
        finally:
            if not committed:
                self._feed.requeue(request_id, time.time() + REJECTION_BACKOFF_S)

    async def _quarantine(self, decision: Quarantine) -> None:
        upstream_record = self._replicated_state.machine.upstream_by_id.get(
            decision.upstream_id
        )
        if upstream_record is None or upstream_record.status in (
            UpstreamStatus.LEAVING,
            UpstreamStatus.LOST,
        ):
            return
        status = UpstreamStatus.UP
        if decision.until > time.time():
            status = UpstreamStatus.QUARANTINED
        await self._replicated_state.commit(
            SetUpstreamStatus(
                decision.upstream_id,
                upstream_record.spec.incarnation,
                status,
                decision.reason.text,
                decision.until,
            )
        )
