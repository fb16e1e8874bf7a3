"""The controller that feeds the scheduler and commits its decisions."""

import asyncio
import time
from collections.abc import Iterator
from dataclasses import replace
from enum import IntEnum
from typing import NamedTuple

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import PersimmonyardError
from persimmonyard.scheduler import (
    AttemptEnded,
    AttemptPlaced,
    AttemptRunning,
    ClassChanged,
    ClientAccountChanged,
    Decision,
    Event,
    Job,
    JobGone,
    JobWaiting,
    Place,
    Preempt,
    Quarantine,
    Refuse,
    Scheduler,
    UpstreamDown,
    UpstreamLeaving,
    UpstreamUp,
    ZoneChanged,
)
from persimmonyard.state import Change, ChangeKind
from persimmonyard.state.commands import (
    PlaceAttempt,
    RefuseRequest,
    SetUpstreamStatus,
    StopAttempt,
)
from persimmonyard.state.records import (
    Attempt,
    AttemptOutcome,
    AttemptState,
    RequestRecord,
    RequestState,
    UpstreamStatus,
)

__all__ = ["SchedulingController"]

MAX_IDLE_S = 1.0
REJECTED_BACKOFF_S = 0.2
# A new leader loads this long at a time, far below the replicas' heartbeat,
# so that it does not lose its lease while it builds its scheduler.
LOAD_SLICE_S = 0.02


_OUTCOMES_TO_AVOID = frozenset(
    {AttemptOutcome.FAILED, AttemptOutcome.LOST, AttemptOutcome.NEVER_BEGAN}
)


class _Stage(IntEnum):
    """What the scheduler was told of an attempt."""

    UNTOLD = 0
    PLACED = 1
    RUNNING = 2
    ENDED = 3


class _Told(NamedTuple):
    """The latest attempt of a request that the scheduler knows."""

    number: int
    stage: _Stage


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

    # Following the replicated state.

    def lead(self) -> None:
        """Start to build a scheduler from the replicated state."""
        self.follow()
        self._unloaded = self._load_steps()
        self._wake.set()

    def follow(self) -> None:
        """Drop the scheduler."""
        self.scheduler = Scheduler()
        self.loaded.clear()
        self._unloaded = iter(())
        self._deferred: list[Change] = []
        self._told_by_request: dict[str, _Told] = {}
        self._told_zones: dict[str, bool] = {}
        self._told_classes: dict[str, object] = {}
        self._told_accounts: dict[str, object] = {}

    def changed(self, changes: list[Change]) -> None:
        """Tell the scheduler what has changed, after it is loaded."""
        if not self.loaded.is_set():
            self._deferred.extend(changes)
            return
        for change in changes:
            self._feed(change)
        self._wake.set()

    def _feed(self, change: Change) -> None:
        match change.kind:
            case ChangeKind.CONFIGURATION:
                self._feed_configuration()
            case ChangeKind.UPSTREAM:
                self._feed_upstream(change.item_id)
            case ChangeKind.REQUEST:
                record = self._ledger.machine.request_by_id.get(change.item_id)
                if record is not None:
                    self._feed_request(record)

    def guarantees_at_risk(self) -> list[dict[str, object]]:
        """Return the guaranteed shapes that do not fit, once loaded."""
        if not self.loaded.is_set():
            return []
        return [one._asdict() for one in self.scheduler.guarantees_at_risk()]

    # Loading.

    def _load_steps(self) -> Iterator[None]:
        """Feed the whole state, one item a step.

        Items that change meanwhile are fed as they are when their turn
        comes, and once more afterwards.
        """
        machine = self._ledger.machine
        self._feed_configuration()
        yield
        for upstream_id in list(machine.upstream_by_id):
            self._feed_upstream(upstream_id)
            yield
        for request_id in list(machine.request_by_id):
            record = machine.request_by_id.get(request_id)
            if record is None:
                continue
            if record.ended():
                self._feed_history(record)
            else:
                self._feed_request(record)
            yield

    def load_slice(self) -> bool:
        """Load for a bounded time; return whether everything is loaded."""
        ends = time.monotonic() + LOAD_SLICE_S
        for _ in self._unloaded:
            if time.monotonic() >= ends:
                return False
        deferred = self._deferred
        self._deferred = []
        for change in deferred:
            self._feed(change)
        self.loaded.set()
        return True

    def _observe(self, event: Event) -> None:
        self.scheduler.observe(event, time.time())

    def _feed_configuration(self) -> None:
        configuration = self._ledger.machine.configuration
        for name, zone in configuration.zone_by_name.items():
            if self._told_zones.get(name) == zone.in_service:
                continue
            self._told_zones[name] = zone.in_service
            self._observe(ZoneChanged(name, zone.in_service))
        for name in list(self._told_zones):
            if name in configuration.zone_by_name:
                continue
            # A zone that is not configured counts as in service.
            del self._told_zones[name]
            self._observe(ZoneChanged(name, True))
        self._feed_items(self._told_classes, configuration.class_by_name, ClassChanged)
        self._feed_items(
            self._told_accounts,
            configuration.client_account_by_name,
            ClientAccountChanged,
        )

    def _feed_items(self, told: dict, by_name: dict, event_class: type) -> None:
        for name, spec in by_name.items():
            if told.get(name) == spec:
                continue
            told[name] = spec
            self._observe(event_class(name, spec))
        for name in list(told):
            if name in by_name:
                continue
            del told[name]
            self._observe(event_class(name, None))

    def _feed_upstream(self, upstream_id: str) -> None:
        known = self._ledger.machine.upstream_by_id.get(upstream_id)
        if known is None:
            return
        match known.status:
            case UpstreamStatus.UP:
                self._observe(UpstreamUp(known.spec))
            case UpstreamStatus.QUARANTINED:
                self._observe(UpstreamUp(known.spec, known.until))
            case UpstreamStatus.LEAVING:
                self._observe(UpstreamUp(known.spec))
                self._observe(UpstreamLeaving(upstream_id))
            case UpstreamStatus.LOST:
                self._observe(UpstreamDown(upstream_id))

    def _feed_request(self, record: RequestRecord) -> None:
        job = _job_of(record)
        for attempt in record.attempts:
            self._feed_attempt(record, job, attempt)
        if record.state == RequestState.ACCEPTED:
            self._observe(JobWaiting(job))
        if record.ended():
            self._observe(JobGone(record.request_id))
            self._told_by_request.pop(record.request_id, None)

    def _feed_history(self, record: RequestRecord) -> None:
        """Tell a new scheduler how the attempts of an ended request went."""
        job = _job_of(record)
        for attempt in record.attempts:
            self._observe(replace(_ended_event(record, attempt), job=job))

    def _feed_attempt(self, record: RequestRecord, job: Job, attempt: Attempt) -> None:
        """Tell what is new about an attempt; earlier ones have ended."""
        told = self._told_by_request.get(record.request_id, _Told(0, _Stage.ENDED))
        if attempt.number < told.number:
            return
        stage = _Stage.UNTOLD
        if attempt.number == told.number:
            stage = told.stage
        now = _stage_of(attempt)
        if now == _Stage.ENDED and stage == _Stage.UNTOLD:
            self._observe(replace(_ended_event(record, attempt), job=job))
        elif stage == _Stage.UNTOLD:
            self._observe(_placed_event(job, attempt))
        if now == _Stage.RUNNING and stage < now:
            assert attempt.started_at is not None
            self._observe(
                AttemptRunning(record.request_id, attempt.number, attempt.started_at)
            )
        if now == _Stage.ENDED and _Stage.UNTOLD < stage < now:
            self._observe(_ended_event(record, attempt))
        self._told_by_request[record.request_id] = _Told(attempt.number, now)

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
                case Preempt(request_id, number, checkpoint, _, reason):
                    await self._ledger.commit(
                        StopAttempt(request_id, number, checkpoint, reason.text)
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
                self._take_back(decision)

    def _take_back(self, decision: Place) -> None:
        """Release what an uncommitted placement holds and wait again.

        If the outcome is unknown and the placement is applied later, its
        change tells the scheduler about the attempt.
        """
        told = self._told_by_request.get(decision.request_id)
        if told is not None and told.number >= decision.number:
            return
        self._observe(
            AttemptEnded(decision.request_id, decision.number, "never_began", 0.0)
        )
        self._wait_again(decision.request_id)

    async def _refuse(self, request_id: str, code: int, text: str) -> None:
        refused = False
        try:
            result = await self._ledger.commit(RefuseRequest(request_id, code, text))
            refused = result.code == 0
        finally:
            if not refused:
                self._wait_again(request_id)

    def _wait_again(self, request_id: str) -> None:
        record = self._ledger.machine.request_by_id.get(request_id)
        if record is not None and record.state == RequestState.ACCEPTED:
            self._observe(JobWaiting(_job_of(record, time.time() + REJECTED_BACKOFF_S)))

    async def _quarantine(self, decision: Quarantine) -> None:
        known = self._ledger.machine.upstream_by_id[decision.upstream_id]
        if known.status in (UpstreamStatus.LEAVING, UpstreamStatus.LOST):
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


def _stage_of(attempt: Attempt) -> _Stage:
    if attempt.state == AttemptState.ENDED:
        return _Stage.ENDED
    if attempt.started_at is not None:
        return _Stage.RUNNING
    return _Stage.PLACED


def _job_of(record: RequestRecord, not_before: float = 0.0) -> Job:
    avoid = set()
    for attempt in record.attempts:
        # A member that was not ready is avoided by the next attempt only.
        never_began = attempt.outcome == AttemptOutcome.NEVER_BEGAN
        if never_began and attempt is not record.attempts[-1]:
            continue
        if attempt.outcome not in _OUTCOMES_TO_AVOID:
            continue
        for index in [*attempt.failed_members, *attempt.lost_members]:
            avoid.add(attempt.members[index].upstream_id)
    return Job(
        request_id=record.request_id,
        client_account=record.client_account,
        class_name=record.class_name,
        shape=record.shape,
        declared_run_s=record.declared_run_s,
        idempotent=record.idempotent,
        checkpointable=record.checkpointable,
        submitted_at=record.submitted_at,
        not_before=max(record.not_before, not_before),
        avoid=frozenset(avoid),
        attempts=len(record.attempts),
    )


def _placed_event(job: Job, attempt: Attempt) -> AttemptPlaced:
    return AttemptPlaced(
        job,
        attempt.number,
        tuple(member.upstream_id for member in attempt.members),
        attempt.borrowed,
        tuple(member.incarnation for member in attempt.members),
        attempt.placed_at,
    )


def _ended_event(record: RequestRecord, attempt: Attempt) -> AttemptEnded:
    run_s = 0.0
    if attempt.started_at is not None and attempt.ended_at is not None:
        run_s = attempt.ended_at - attempt.started_at
    failed_on = []
    for index in attempt.failed_members:
        failed_on.append(attempt.members[index].upstream_id)
    outcome = attempt.outcome or AttemptOutcome.LOST
    return AttemptEnded(
        record.request_id, attempt.number, outcome.value, run_s, tuple(failed_on)
    )
