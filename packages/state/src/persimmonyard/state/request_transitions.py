"""Transitions of a request and its attempts.

Each function takes a record and the facts of one command, changes the record
and returns nothing.  The callers check that the command is allowed.
"""

import sys

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
    "MAX_HISTORY",
    "MAX_KEPT_ATTEMPTS",
    "RETRY_BACKOFF_S",
    "add_attempt",
    "finish_attempt",
    "may_have_run",
    "move",
]

MAX_ATTEMPTS = 5
RETRY_BACKOFF_S = 0.5
# A member that is not ready usually frees a slot soon, and urgent work must
# start within 7.3 s, so these delays begin and end lower.
UNREADY_BACKOFF_S = 0.1
MAX_UNREADY_BACKOFF_S = 3.2
# A request that is preempted again and again must not grow without bound.
MAX_HISTORY = 16
MAX_KEPT_ATTEMPTS = 8
MAX_REASON_CHARACTERS = 256

_COUNTED_OUTCOMES = (AttemptOutcome.FAILED, AttemptOutcome.LOST)


def move(record: RequestRecord, state: RequestState, at: float, reason: str) -> None:
    """Set the state of a request and note the reason in its history."""
    record.state = state
    kept = sys.intern(reason[:MAX_REASON_CHARACTERS])
    record.history.append(Transition(at, state.value, kept))
    if len(record.history) > MAX_HISTORY:
        # The first entry, the submission, stays.
        del record.history[1]
    if record.ended() and record.ended_at is None:
        record.ended_at = at


def add_attempt(record: RequestRecord, attempt: Attempt) -> None:
    """Add an attempt; drop the oldest one that no rule looks at."""
    record.attempts.append(attempt)
    if len(record.attempts) <= MAX_KEPT_ATTEMPTS:
        return
    for index, old in enumerate(record.attempts):
        if old.outcome in _COUNTED_OUTCOMES:
            continue
        del record.attempts[index]
        return


def may_have_run(record: RequestRecord) -> bool:
    """Return whether a task of the request may have begun anywhere."""
    if record.may_have_begun:
        return True
    attempt = record.live_attempt()
    return attempt is not None and attempt.started_at is not None


def finish_attempt(
    record: RequestRecord, attempt: Attempt, command: EndAttempt, at: float
) -> None:
    """End an attempt and decide what follows for its request."""
    attempt.state = AttemptState.ENDED
    attempt.outcome = command.outcome
    attempt.ended_at = at
    attempt.failed_members = tuple(
        index for index in command.failed_members if index < len(attempt.members)
    )
    started = attempt.started_at is not None
    if started and command.outcome != AttemptOutcome.NEVER_BEGAN:
        record.may_have_begun = True
    if command.outcome in _COUNTED_OUTCOMES:
        record.failures += 1
    message = command.message[:MAX_REASON_CHARACTERS]
    match command.outcome:
        case AttemptOutcome.FINISHED:
            record.answers = command.answers
            move(record, RequestState.FINISHED, at, "all members finished")
        case AttemptOutcome.NEVER_BEGAN:
            reason = attempt.stop_reason or message or "no member began"
            _delay_unready(record, command, at)
            _wait_again_or_cancel(record, at, reason)
        case AttemptOutcome.CHECKPOINTED:
            record.checkpoint = command.checkpoint
            reason = attempt.stop_reason or "stopped at a checkpoint"
            _wait_again_or_cancel(record, at, reason)
        case AttemptOutcome.STOPPED:
            _after_stop(record, at, attempt.stop_reason or "stopped")
        case AttemptOutcome.LOST:
            _after_loss(record, at, attempt.stop_reason or "a member was lost")
        case AttemptOutcome.FAILED:
            _after_failure(record, at, command.code, message)


def _delay_unready(record: RequestRecord, command: EndAttempt, at: float) -> None:
    """Delay the next attempt if members said that they were not ready."""
    if not command.failed_members:
        return
    delay = min(MAX_UNREADY_BACKOFF_S, UNREADY_BACKOFF_S * 2**record.unready)
    record.unready += 1
    record.not_before = at + delay


def _after_stop(record: RequestRecord, at: float, reason: str) -> None:
    if record.cancel_requested or record.idempotent:
        _wait_again_or_cancel(record, at, reason)
        return
    _end_unknown(record, at, reason)


def _after_loss(record: RequestRecord, at: float, reason: str) -> None:
    if record.cancel_requested or record.idempotent:
        _retry_or_cancel(record, at, reason)
        return
    _end_unknown(record, at, reason)


def _end_unknown(record: RequestRecord, at: float, reason: str) -> None:
    record.code = ResultCode.OUTCOME_UNKNOWN
    record.message = "the task may have run and its result is lost"
    move(record, RequestState.UNKNOWN, at, reason)


def _after_failure(record: RequestRecord, at: float, code: int, message: str) -> None:
    if record.idempotent and not code:
        _retry_or_cancel(record, at, f"task failed: {message}")
        return
    record.code = code or ResultCode.FAILED
    record.message = message
    move(record, RequestState.FINISHED, at, "task failed")


def _retry_or_cancel(record: RequestRecord, at: float, reason: str) -> None:
    """Spend one of the attempts that may fail, and wait before the next."""
    if not record.cancel_requested and record.failures >= MAX_ATTEMPTS:
        record.code = ResultCode.FAILED_ON_MANY_UPSTREAMS
        record.message = f"{record.failures} attempts failed"
        move(record, RequestState.FINISHED, at, reason)
        return
    record.not_before = at + RETRY_BACKOFF_S * 2 ** (record.failures - 1)
    _wait_again_or_cancel(record, at, reason)


def _wait_again_or_cancel(record: RequestRecord, at: float, reason: str) -> None:
    if not record.cancel_requested:
        move(record, RequestState.ACCEPTED, at, reason)
        return
    record.code = ResultCode.CANCELLED_NOT_RUN
    if may_have_run(record):
        record.code = ResultCode.CANCELLED
    move(record, RequestState.CANCELLED, at, "cancelled by the caller")
