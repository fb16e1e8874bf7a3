"""State transitions of a request and its attempts.

The functions update a request record according to one command.  They do not
check that the command is allowed; their callers do.
"""

import sys
from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from persimmonyard.model import ResultCode
from persimmonyard.model.crash_rules import clearing_run_ms, describe_guilt
from persimmonyard.model.crash_verdict import Crash
from persimmonyard.state.commands import EndAttempt
from persimmonyard.state.records import (
    Attempt,
    AttemptCrash,
    AttemptOutcome,
    AttemptState,
    MemberSilence,
    RequestRecord,
    RequestState,
    Transition,
)

__all__ = [
    "MAX_HISTORY",
    "MAX_KEPT_ATTEMPTS",
    "MAX_REPORTED_FAILURES",
    "MAX_UNREADY_BACKOFF_S",
    "RETRY_BACKOFF_S",
    "CrashSpan",
    "add_attempt",
    "apply_attempt_end",
    "apply_silences",
    "describe_crashes",
    "may_have_run",
    "narrow_span",
    "set_state",
    "verdict_crashes",
]

# A request ends after this many attempts whose task was reported as failed.
# Lost attempts have no limit, because upstreams crash by themselves.
MAX_REPORTED_FAILURES = 5
# The backoff after a failed or lost attempt doubles up to the maximum, which
# bounds the load of requests that are retried without end.
RETRY_BACKOFF_S = 0.5
MAX_RETRY_BACKOFF_S = 8.0
# The backoff after a member was not ready has a lower start and maximum than
# the one after a failure, because such a member usually frees a slot soon and
# urgent work must start within 7.3 s.
UNREADY_BACKOFF_S = 0.1
MAX_UNREADY_BACKOFF_S = 3.2
_MAX_DOUBLINGS = 16
# These limits bound the size of a request that is preempted repeatedly.
MAX_HISTORY = 16
MAX_KEPT_ATTEMPTS = 8
MAX_REASON_CHARACTERS = 256

_FAILURE_OUTCOMES = (AttemptOutcome.FAILED, AttemptOutcome.LOST)


def set_state(
    record: RequestRecord, state: RequestState, at: float, reason: str
) -> None:
    """Set the state of a request and add the transition to its history."""
    record.state = state
    shortened = sys.intern(reason[:MAX_REASON_CHARACTERS])
    record.history.append(Transition(at, state.value, shortened))
    if len(record.history) > MAX_HISTORY:
        # Keep the first entry, which records the submission.
        del record.history[1]
    if record.ended() and record.ended_at is None:
        record.ended_at = at


def add_attempt(record: RequestRecord, attempt: Attempt) -> None:
    """Add an attempt; over the limit, drop the oldest that is needed least.

    Later attempts avoid the upstreams of those that failed or were lost, so
    the others are dropped first, and then those that were lost.
    """
    if len(record.attempts) >= MAX_KEPT_ATTEMPTS:
        del record.attempts[_least_needed(record.attempts)]
    record.attempts.append(attempt)


def _least_needed(attempts: list[Attempt]) -> int:
    for kept_outcomes in (_FAILURE_OUTCOMES, (AttemptOutcome.FAILED,)):
        for index, attempt in enumerate(attempts):
            if attempt.outcome not in kept_outcomes:
                return index
    return 0


def may_have_run(record: RequestRecord) -> bool:
    """Return whether a task of the request may have begun on any upstream."""
    if record.may_have_begun:
        return True
    attempt = record.live_attempt()
    return attempt is not None and attempt.started_at is not None


def apply_attempt_end(
    record: RequestRecord,
    attempt: Attempt,
    command: EndAttempt,
    at: float,
    guilty_member: int | None = None,
) -> None:
    """End an attempt and set the next state of its request.

    ``guilty_member`` is the member that is to blame for crashes of upstreams,
    if there is one.
    """
    attempt.state = AttemptState.ENDED
    attempt.outcome = command.outcome
    attempt.ended_at = at
    attempt.failed_members = tuple(
        index for index in command.failed_members if index < len(attempt.members)
    )
    started = attempt.started_at is not None
    if started and command.outcome != AttemptOutcome.NEVER_BEGAN:
        record.may_have_begun = True
    if command.outcome in _FAILURE_OUTCOMES:
        record.failures += 1
    message = command.message[:MAX_REASON_CHARACTERS]
    match command.outcome:
        case AttemptOutcome.FINISHED:
            record.answers = command.answers
            set_state(record, RequestState.FINISHED, at, "all members finished")
        case AttemptOutcome.NEVER_BEGAN:
            reason = attempt.stop_reason or message or "no member began"
            _back_off_unready(record, command, at)
            _requeue_or_cancel(record, at, reason)
        case AttemptOutcome.CHECKPOINTED:
            record.checkpoint = command.checkpoint
            reason = attempt.stop_reason or "stopped at a checkpoint"
            _clear_after_run(record, attempt, at)
            _requeue_or_cancel(record, at, reason)
        case AttemptOutcome.STOPPED:
            _clear_after_run(record, attempt, at)
            _handle_stop(record, at, attempt.stop_reason or "stopped")
        case AttemptOutcome.LOST:
            reason = attempt.stop_reason or "a member was lost"
            _handle_loss(record, at, reason, guilty_member)
        case AttemptOutcome.FAILED:
            _clear_after_run(record, attempt, at)
            _handle_failure(record, at, command.code, message)


def _back_off_unready(record: RequestRecord, command: EndAttempt, at: float) -> None:
    """Delay the next attempt if members reported that they were not ready."""
    if not command.failed_members:
        return
    record.not_before = at + _doubled_delay(
        UNREADY_BACKOFF_S, record.unready, MAX_UNREADY_BACKOFF_S
    )
    record.unready += 1


def _doubled_delay(first_s: float, doublings: int, longest_s: float) -> float:
    """Return a delay that was doubled some times, but not beyond a maximum."""
    # A large power of two does not fit into a float.
    doublings = min(doublings, _MAX_DOUBLINGS)
    return min(longest_s, first_s * 2**doublings)


def _clear_after_run(record: RequestRecord, attempt: Attempt, at: float) -> None:
    """Clear a request that has run for long enough without a crash."""
    if not record.crashes or attempt.started_at is None or attempt.lost_members:
        return
    run_ms = 1_000 * (at - attempt.started_at)
    if run_ms >= clearing_run_ms(verdict_crashes(record.crashes)):
        record.crashes = ()


def _handle_stop(record: RequestRecord, at: float, reason: str) -> None:
    if record.cancel_requested or record.idempotent:
        _requeue_or_cancel(record, at, reason)
        return
    _end_unknown(record, at, reason)


def _handle_loss(
    record: RequestRecord, at: float, reason: str, guilty_member: int | None
) -> None:
    if guilty_member is not None:
        record.code = ResultCode.FAILED_ON_MANY_UPSTREAMS
        record.message = describe_crashes(record, guilty_member)
        set_state(record, RequestState.FINISHED, at, reason)
        return
    if record.cancel_requested or record.idempotent:
        _retry_or_cancel(record, at, reason)
        return
    _end_unknown(record, at, reason)


def _end_unknown(record: RequestRecord, at: float, reason: str) -> None:
    record.code = ResultCode.OUTCOME_UNKNOWN
    record.message = "the task may have run and its result is lost"
    set_state(record, RequestState.UNKNOWN, at, reason)


def _handle_failure(record: RequestRecord, at: float, code: int, message: str) -> None:
    record.reported_failures += 1
    if record.idempotent and not code:
        _retry_or_cancel(record, at, f"task failed: {message}")
        return
    record.code = code or ResultCode.FAILED
    record.message = message
    set_state(record, RequestState.FINISHED, at, "task failed")


def _retry_or_cancel(record: RequestRecord, at: float, reason: str) -> None:
    """Requeue a request with exponential backoff after a failed attempt.

    After ``MAX_REPORTED_FAILURES`` reported failures the request ends instead.
    """
    exhausted = record.reported_failures >= MAX_REPORTED_FAILURES
    if exhausted and not record.cancel_requested:
        record.code = ResultCode.FAILED_ON_MANY_UPSTREAMS
        record.message = _describe_failures(record)
        set_state(record, RequestState.FINISHED, at, reason)
        return
    record.not_before = at + _doubled_delay(
        RETRY_BACKOFF_S, record.failures - 1, MAX_RETRY_BACKOFF_S
    )
    _requeue_or_cancel(record, at, reason)


def _describe_failures(record: RequestRecord) -> str:
    """Return the message of a request whose task was reported as failed."""
    crashed_ids = []
    for attempt in record.attempts:
        for index in attempt.crashed_members:
            crashed_ids.append(attempt.members[index].upstream_id)
    message = f"{record.reported_failures} attempts failed"
    if not crashed_ids:
        return message
    message += f"; upstreams crashed under it: {', '.join(crashed_ids)}"
    return message[:MAX_REASON_CHARACTERS]


class CrashSpan(NamedTuple):
    """The members that were on a crashed upstream, and how long before."""

    members: tuple[int, ...]
    window_ms: int


def narrow_span(span: CrashSpan, silences: Iterable[MemberSilence]) -> CrashSpan:
    """Return what remains of a crash with the knowledge of the entry.

    Members without a delivered start cannot have caused it.
    """
    silence_by_member = {silence.member: silence for silence in silences}
    members = []
    longest_ms = 0
    for member in span.members:
        silence = silence_by_member.get(member)
        if silence is not None and not silence.delivered:
            continue
        members.append(member)
        known_ms = span.window_ms if silence is None else silence.after_ms
        longest_ms = max(longest_ms, known_ms)
    return CrashSpan(tuple(members), max(1, min(span.window_ms, longest_ms)))


def apply_silences(
    record: RequestRecord, attempt: Attempt, silences: tuple[MemberSilence, ...]
) -> None:
    """Store what an entry knows of lost members, and judge crashes by it."""
    attempt.silences = silences
    crashes = []
    for crash in record.crashes:
        if crash.attempt == attempt.number:
            span = narrow_span(CrashSpan(crash.members, crash.window_ms), silences)
            if not span.members:
                continue
            crash = replace(crash, members=span.members, window_ms=span.window_ms)
        crashes.append(crash)
    record.crashes = tuple(crashes)


def verdict_crashes(crashes: Iterable[AttemptCrash]) -> list[Crash]:
    """Return crashes in the form of the verdict.

    An upstream keeps its identifier when it starts again, so it stands for
    the address.
    """
    converted = []
    for crash in crashes:
        converted.append(
            Crash(
                crash.upstream_id,
                0,
                crash.upstream_id,
                crash.attempt,
                crash.members,
                crash.window_ms,
                crash.rate_per_s,
                crash.least_chance,
                crash.excused,
            )
        )
    return converted


def describe_crashes(record: RequestRecord, guilty_member: int) -> str:
    """Return the message of a request that crashes upstreams."""
    label = "it" if record.shape.gang == 1 else f"member {guilty_member}"
    message = describe_guilt(label, guilty_member, verdict_crashes(record.crashes))
    return message[:MAX_REASON_CHARACTERS]


def _requeue_or_cancel(record: RequestRecord, at: float, reason: str) -> None:
    if not record.cancel_requested:
        set_state(record, RequestState.ACCEPTED, at, reason)
        return
    record.code = ResultCode.CANCELLED_NOT_RUN
    if may_have_run(record):
        record.code = ResultCode.CANCELLED
    set_state(record, RequestState.CANCELLED, at, "cancelled by the caller")
