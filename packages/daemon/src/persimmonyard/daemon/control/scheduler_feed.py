"""Translation of the replicated state into events for the scheduler."""

import time
from collections.abc import Iterator
from dataclasses import replace
from enum import IntEnum
from typing import NamedTuple

from persimmonyard.scheduler import (
    AttemptEnded,
    AttemptPlaced,
    AttemptRunning,
    ClassChanged,
    ClientAccountChanged,
    Event,
    Job,
    JobRemoved,
    JobWaiting,
    Scheduler,
    UpstreamDown,
    UpstreamLeaving,
    UpstreamUp,
    ZoneChanged,
)
from persimmonyard.state import ChangeEvent, ChangeKind, StateMachine
from persimmonyard.state.records import (
    Attempt,
    AttemptOutcome,
    AttemptState,
    RequestRecord,
    RequestState,
    UpstreamStatus,
)

__all__ = ["SchedulerFeed"]

_FAILURE_OUTCOMES = frozenset(
    {AttemptOutcome.FAILED, AttemptOutcome.LOST, AttemptOutcome.NEVER_BEGAN}
)


class _AttemptStage(IntEnum):
    """The stage of an attempt, or the last stage reported to the scheduler.

    ``UNTOLD`` means that the attempt has not been reported.
    """

    UNTOLD = 0
    PLACED = 1
    RUNNING = 2
    ENDED = 3


class _ReportedAttempt(NamedTuple):
    """The latest attempt of a request reported to the scheduler."""

    number: int
    stage: _AttemptStage


class SchedulerFeed:
    """Report changes of the replicated state to a scheduler as events.

    It records what it has reported, so the same change may be handled more
    than once.
    """

    def __init__(self, machine: StateMachine):
        self.scheduler = Scheduler()
        self._machine = machine
        self._reported_attempt_by_request: dict[str, _ReportedAttempt] = {}
        self._reported_in_service_by_zone: dict[str, bool] = {}
        self._reported_class_by_name: dict[str, object] = {}
        self._reported_client_account_by_name: dict[str, object] = {}

    def load_steps(self) -> Iterator[None]:
        """Report the whole state, one item in each step of the iterator.

        An item is reported in its state at the time of its step.  The caller
        passes changes that occur during the load to ``handle_change``
        afterwards, so an item that changed is reported again.
        """
        machine = self._machine
        self._report_configuration()
        yield
        for upstream_id in list(machine.upstream_by_id):
            self._report_upstream(upstream_id)
            yield
        for request_id in list(machine.request_by_id):
            record = machine.request_by_id.get(request_id)
            if record is None:
                continue
            if record.ended():
                self._report_ended_request(record)
            else:
                self._report_request(record)
            yield

    def handle_change(self, change: ChangeEvent) -> None:
        """Report the current state of the item that has changed."""
        match change.kind:
            case ChangeKind.CONFIGURATION:
                self._report_configuration()
            case ChangeKind.UPSTREAM:
                self._report_upstream(change.item_id)
            case ChangeKind.REQUEST:
                record = self._machine.request_by_id.get(change.item_id)
                if record is not None:
                    self._report_request(record)

    def has_reported(self, request_id: str, number: int) -> bool:
        """Return whether the attempt, or a later one, has been reported."""
        reported = self._reported_attempt_by_request.get(request_id)
        return reported is not None and reported.number >= number

    def revert_placement(self, request_id: str, number: int, not_before: float) -> None:
        """Release the resources of a placement that was not committed.

        The request is queued again.  If the outcome of the commit is unknown
        and the placement is applied later, its change event reports the
        attempt to the scheduler.
        """
        if self.has_reported(request_id, number):
            return
        self._observe(AttemptEnded(request_id, number, "never_began", 0.0))
        self.requeue(request_id, not_before)

    def requeue(self, request_id: str, not_before: float) -> None:
        """Queue a request again if it still needs a placement."""
        record = self._machine.request_by_id.get(request_id)
        if record is not None and record.state == RequestState.ACCEPTED:
            self._observe(JobWaiting(_build_job(record, not_before)))

    def _observe(self, event: Event) -> None:
        self.scheduler.observe(event, time.time())

    def _report_configuration(self) -> None:
        configuration = self._machine.configuration
        for name, zone in configuration.zone_by_name.items():
            if self._reported_in_service_by_zone.get(name) == zone.in_service:
                continue
            self._reported_in_service_by_zone[name] = zone.in_service
            self._observe(ZoneChanged(name, zone.in_service))
        for name in list(self._reported_in_service_by_zone):
            if name in configuration.zone_by_name:
                continue
            # A zone that is no longer configured counts as in service.
            del self._reported_in_service_by_zone[name]
            self._observe(ZoneChanged(name, True))
        self._report_specs(
            self._reported_class_by_name, configuration.class_by_name, ClassChanged
        )
        self._report_specs(
            self._reported_client_account_by_name,
            configuration.client_account_by_name,
            ClientAccountChanged,
        )

    def _report_specs(self, reported: dict, by_name: dict, event_type: type) -> None:
        for name, spec in by_name.items():
            if reported.get(name) == spec:
                continue
            reported[name] = spec
            self._observe(event_type(name, spec))
        for name in list(reported):
            if name in by_name:
                continue
            del reported[name]
            self._observe(event_type(name, None))

    def _report_upstream(self, upstream_id: str) -> None:
        upstream_record = self._machine.upstream_by_id.get(upstream_id)
        if upstream_record is None:
            return
        match upstream_record.status:
            case UpstreamStatus.UP:
                self._observe(UpstreamUp(upstream_record.spec))
            case UpstreamStatus.QUARANTINED:
                self._observe(UpstreamUp(upstream_record.spec, upstream_record.until))
            case UpstreamStatus.LEAVING:
                self._observe(UpstreamUp(upstream_record.spec))
                self._observe(UpstreamLeaving(upstream_id))
            case UpstreamStatus.LOST:
                self._observe(UpstreamDown(upstream_id))

    def _report_request(self, record: RequestRecord) -> None:
        job = _build_job(record)
        for attempt in record.attempts:
            self._report_attempt(record, job, attempt)
        if record.state == RequestState.ACCEPTED:
            self._observe(JobWaiting(job))
        if record.ended():
            self._observe(JobRemoved(record.request_id))
            self._reported_attempt_by_request.pop(record.request_id, None)

    def _report_ended_request(self, record: RequestRecord) -> None:
        """Report the ended attempts of a request to a new scheduler."""
        job = _build_job(record)
        for attempt in record.attempts:
            self._observe(replace(_ended_event(record, attempt), job=job))

    def _report_attempt(
        self, record: RequestRecord, job: Job, attempt: Attempt
    ) -> None:
        """Report the new stages of an attempt.

        Attempts before the latest reported one have ended and are skipped.
        """
        reported = self._reported_attempt_by_request.get(
            record.request_id, _ReportedAttempt(0, _AttemptStage.ENDED)
        )
        if attempt.number < reported.number:
            return
        reported_stage = _AttemptStage.UNTOLD
        if attempt.number == reported.number:
            reported_stage = reported.stage
        current_stage = _stage_of(attempt)
        if (
            current_stage == _AttemptStage.ENDED
            and reported_stage == _AttemptStage.UNTOLD
        ):
            self._observe(replace(_ended_event(record, attempt), job=job))
        elif reported_stage == _AttemptStage.UNTOLD:
            self._observe(_placed_event(job, attempt))
        if current_stage == _AttemptStage.RUNNING and reported_stage < current_stage:
            assert attempt.started_at is not None
            self._observe(
                AttemptRunning(record.request_id, attempt.number, attempt.started_at)
            )
        if (
            current_stage == _AttemptStage.ENDED
            and _AttemptStage.UNTOLD < reported_stage < current_stage
        ):
            self._observe(_ended_event(record, attempt))
        self._reported_attempt_by_request[record.request_id] = _ReportedAttempt(
            attempt.number, current_stage
        )


def _stage_of(attempt: Attempt) -> _AttemptStage:
    if attempt.state == AttemptState.ENDED:
        return _AttemptStage.ENDED
    if attempt.started_at is not None:
        return _AttemptStage.RUNNING
    return _AttemptStage.PLACED


def _build_job(record: RequestRecord, not_before: float = 0.0) -> Job:
    avoid = set()
    for attempt in record.attempts:
        # The upstream of a member that never began is avoided by the next
        # attempt only.
        never_began = attempt.outcome == AttemptOutcome.NEVER_BEGAN
        if never_began and attempt is not record.attempts[-1]:
            continue
        if attempt.outcome not in _FAILURE_OUTCOMES:
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
        # A record keeps only its latest attempts.
        attempts=record.attempts[-1].number if record.attempts else 0,
        crashes=sum(bool(attempt.crashed_members) for attempt in record.attempts),
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
