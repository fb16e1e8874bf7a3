"""Transitions of a request and its attempts.

Each function takes a record and the facts of one command, changes the record
and returns nothing.  The callers in ``machine`` check that the command is
allowed.
"""

from persimmonyard.model import ResultCode
from persimmonyard.state.commands import EndAttempt
from persimmonyard.state.records import (
    Attempt,
    AttemptOutcome,
    AttemptState,
    RequestRecord,
    RequestState,
    Transition,
)

__all__ = [
    "MAX_ATTEMPTS",
    "RETRY_BACKOFF_S",
    "ever_started",
    "finish_attempt",
    "move",
]

MAX_ATTEMPTS = 5
RETRY_BACKOFF_S = 0.5


def move(record: RequestRecord, state: RequestState, at: float, reason: str) -> None:
    """Set the state of a request and note the reason in its history."""
    record.state = state
    record.history.append(Transition(at, state.value, reason))
    if record.ended() and record.ended_at is None:
        record.ended_at = at


def ever_started(record: RequestRecord) -> bool:
    """Return whether a task of the request may have begun anywhere."""
    for attempt in record.attempts:
        if attempt.started_at is None:
            continue
        if attempt.outcome != AttemptOutcome.NEVER_BEGAN:
            return True
    return False


def finish_attempt(
    record: RequestRecord, attempt: Attempt, command: EndAttempt, at: float
) -> None:
    """End an attempt and decide what follows for its request."""
    attempt.state = AttemptState.ENDED
    attempt.outcome = command.outcome
    attempt.ended_at = at
    attempt.failed_members = list(command.failed_members)
    match command.outcome:
        case AttemptOutcome.FINISHED:
            record.answers = list(command.answers)
            move(record, RequestState.FINISHED, at, "all members finished")
        case AttemptOutcome.NEVER_BEGAN:
            _retry_or_cancel(record, at, "no member began", counts=False)
        case AttemptOutcome.CHECKPOINTED:
            record.checkpoint = command.checkpoint
            _retry_or_cancel(record, at, attempt.stop_reason, counts=False)
        case AttemptOutcome.STOPPED:
            _after_loss(record, at, attempt.stop_reason or "stopped", counts=False)
        case AttemptOutcome.LOST:
            _after_loss(record, at, "a member was lost", counts=True)
        case AttemptOutcome.FAILED:
            _after_failure(record, at, command.message)


def _after_loss(record: RequestRecord, at: float, reason: str, counts: bool) -> None:
    if record.cancel_requested or record.idempotent:
        _retry_or_cancel(record, at, reason, counts)
        return
    record.code = ResultCode.OUTCOME_UNKNOWN
    record.message = "the task may have run and its result is lost"
    move(record, RequestState.UNKNOWN, at, reason)


def _after_failure(record: RequestRecord, at: float, message: str) -> None:
    if record.idempotent:
        _retry_or_cancel(record, at, f"task failed: {message}", counts=True)
        return
    record.code = ResultCode.FAILED
    record.message = message
    move(record, RequestState.FINISHED, at, "task failed")


def _retry_or_cancel(
    record: RequestRecord, at: float, reason: str, counts: bool
) -> None:
    if record.cancel_requested:
        started = ever_started(record)
        record.code = ResultCode.CANCELLED if started else ResultCode.CANCELLED_NOT_RUN
        move(record, RequestState.CANCELLED, at, "cancelled by the caller")
        return
    failures = _failure_count(record)
    if counts and failures >= MAX_ATTEMPTS:
        record.code = ResultCode.FAILED_ON_MANY_UPSTREAMS
        record.message = f"{failures} attempts failed"
        move(record, RequestState.FINISHED, at, reason)
        return
    if counts:
        record.not_before = at + RETRY_BACKOFF_S * 2**failures
    move(record, RequestState.ACCEPTED, at, reason)


def _failure_count(record: RequestRecord) -> int:
    count = 0
    for attempt in record.attempts:
        if attempt.outcome in (AttemptOutcome.FAILED, AttemptOutcome.LOST):
            count += 1
    return count
