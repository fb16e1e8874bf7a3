"""The controller that feeds the scheduler and commits its decisions."""

import asyncio
import time
from collections.abc import Iterator

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.ledger import Ledger
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

MAX_IDLE_S = 1.0
REJECTED_BACKOFF_S = 0.2
# A new leader loads this long at a time, far below the replicas' heartbeat,
# so that it does not lose its lease while it builds its scheduler.
LOAD_SLICE_S = 0.02


class SchedulingController:
    """Run the scheduler while this replica leads."""

    def __init__(self, ledger: Ledger, assignments: AssignmentController):
        self._ledger = ledger
        self._assignments = assignments
        self._logger = get_logger("scheduling")
        self._wake = asyncio.Event()
        self.loaded = asyncio.Event()
        self._unloaded: Iterator[None] = iter(())
        self.follow()

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler of this leadership."""
        return self._feed.scheduler

    # Following the replicated state.

    def lead(self) -> None:
        """Start to build a scheduler from the replicated state."""
        self.follow()
        self._unloaded = self._feed.everything()
        self._wake.set()

    def follow(self) -> None:
        """Drop the scheduler."""
        self._feed = SchedulerFeed(self._ledger.machine)
        self.loaded.clear()
        self._unloaded = iter(())
        self._deferred: list[ChangeEvent] = []

    def changed(self, changes: list[ChangeEvent]) -> None:
        """Tell the scheduler what has changed, after it is loaded."""
        if not self.loaded.is_set():
            self._deferred.extend(changes)
            return
        for change in changes:
            self._feed.feed(change)
        self._wake.set()

    def guarantees_at_risk(self) -> list[dict[str, object]]:
        """Return the guaranteed shapes that do not fit, once loaded."""
        if not self.loaded.is_set():
            return []
        return [one._asdict() for one in self.scheduler.guarantees_at_risk()]

    def load_slice(self) -> bool:
        """Load for a bounded time; return whether everything is loaded."""
        ends = time.monotonic() + LOAD_SLICE_S
        for _ in self._unloaded:
            if time.monotonic() >= ends:
                return False
        deferred = self._deferred
        self._deferred = []
        for change in deferred:
            self._feed.feed(change)
        self.loaded.set()
        return True

    # Deciding.

    async def run(self) -> None:
        """Decide whenever something changed or is due."""
        while True:
            await self._wait()
            self._wake.clear()
            if not self._ledger.leads():
                continue
            if not self.loaded.is_set() and not self.load_slice():
                self._wake.set()
                await asyncio.sleep(0)
                continue
            if not self._assignments.has_entry():
                continue
            await self.decide_once()

    async def decide_once(self) -> None:
        """Commit the decisions of one call of the scheduler."""
        decisions = self.scheduler.decide(time.time())
        await asyncio.gather(*(self._carry_out(one) for one in decisions))

    async def _wait(self) -> None:
        due = self.scheduler.next_wakeup()
        timeout = MAX_IDLE_S
        if due is not None:
            timeout = min(MAX_IDLE_S, max(0.01, due - time.time()))
        try:
            await asyncio.wait_for(self._wake.wait(), timeout)
        except TimeoutError:
            return

    async def _carry_out(self, decision: Decision) -> None:
        try:
            match decision:
                case Place():
                    await self._place(decision)
                case Preempt(request_id, number, checkpoint, for_request, reason):
                    await self._ledger.commit(
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
                result = await self._ledger.commit(
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
                self._feed.take_back(
                    decision.request_id,
                    decision.number,
                    time.time() + REJECTED_BACKOFF_S,
                )

    async def _refuse(self, request_id: str, code: int, text: str) -> None:
        refused = False
        try:
            result = await self._ledger.commit(RefuseRequest(request_id, code, text))
            refused = result.code == 0
        finally:
            if not refused:
                self._feed.wait_again(request_id, time.time() + REJECTED_BACKOFF_S)

    async def _quarantine(self, decision: Quarantine) -> None:
        known = self._ledger.machine.upstream_by_id.get(decision.upstream_id)
        if known is None or known.status in (
            UpstreamStatus.LEAVING,
            UpstreamStatus.LOST,
        ):
            return
        status = UpstreamStatus.UP
        if decision.until > time.time():
            status = UpstreamStatus.QUARANTINED
        await self._ledger.commit(
            SetUpstreamStatus(
                decision.upstream_id,
                known.spec.incarnation,
                status,
                decision.reason.text,
                decision.until,
            )
        )
