"""Handlers of the commands on an attempt: place, assign, start, stop, end."""

import dataclasses
import sys

from persimmonyard.model import ResultCode
from persimmonyard.state.change_events import ChangeKind
from persimmonyard.state.commands import (
    AssignDispatch,
    CommandResult,
    EndAttempt,
    PlaceAttempt,
    StartAttempt,
    StopAttempt,
)
from persimmonyard.state.records import (
    Attempt,
    AttemptOutcome,
    AttemptState,
    RequestRecord,
    RequestState,
)
from persimmonyard.state.request_transitions import add_attempt, set_state
from persimmonyard.state.store import StateStore

__all__ = ["assign", "end", "place", "start", "stop"]


def place(store: StateStore, command: PlaceAttempt) -> CommandResult:
    """Reserve all members of the next attempt atomically, or reserve none."""
    record = store.request(command.request_id)
    if record is None or record.state != RequestState.ACCEPTED:
        return CommandResult.failed(ResultCode.ALREADY_ENDED, "not waiting")
    if record.attempts and command.number <= record.attempts[-1].number:
        return CommandResult.failed(
            ResultCode.VERSION_CONFLICT, "another attempt was placed"
        )
    if len(command.upstream_ids) != record.shape.gang:
        return CommandResult.failed(
            ResultCode.BAD_FIELD, f"the request has {record.shape.gang} members"
        )
    members = []
    for upstream_id in command.upstream_ids:
        if not store.may_start_on(upstream_id):
            return CommandResult.failed(
                ResultCode.IN_USE, f"upstream {upstream_id} takes no new work"
            )
        spec = store.contents.upstream_by_id[upstream_id].spec
        members.append(store.interned_member(spec.upstream_id, spec.incarnation))
    attempt = Attempt(
        number=command.number,
        members=tuple(members),
        entry_id=sys.intern(command.entry_id),
        fence=store.next_fence(),
        borrowed=command.borrowed,
        placed_at=store.now,
    )
    add_attempt(record, attempt)
    store.index_attempt(record, attempt)
    set_state(record, RequestState.PLACED, store.now, command.reason)
    store.emit_change(ChangeKind.REQUEST, record.request_id)
    return CommandResult(request_id=record.request_id, fence=attempt.fence)


def assign(store: StateStore, command: AssignDispatch) -> CommandResult:
    """Reassign a live attempt to another entry under a new fencing token."""
    record, attempt = _find_live_attempt(store, command.request_id, command.number)
    if record is None or attempt is None:
        return CommandResult.failed(ResultCode.UNKNOWN_ATTEMPT, "not live")
    attempt.entry_id = sys.intern(command.entry_id)
    attempt.fence = store.next_fence()
    store.emit_change(ChangeKind.REQUEST, record.request_id)
    return CommandResult(fence=attempt.fence)


def start(store: StateStore, command: StartAttempt) -> CommandResult:
    """Allow the holder of the current fencing token to start the members."""
    record, attempt = _find_live_attempt(store, command.request_id, command.number)
    if record is None or attempt is None:
        return CommandResult.failed(ResultCode.UNKNOWN_ATTEMPT, "not live")
    if attempt.fence != command.fence:
        return CommandResult.failed(ResultCode.STALE_FENCE, "newer fence")
    if attempt.state == AttemptState.STARTED:
        return CommandResult(fence=attempt.fence)
    if attempt.state != AttemptState.PLACED:
        return CommandResult.failed(ResultCode.ALREADY_ENDED, "stopping")
    for member in attempt.members:
        if store.may_start_on(member.upstream_id, member.incarnation):
            continue
        reason = f"upstream {member.upstream_id} takes no new work"
        store.end_unstarted_attempt(record, attempt, reason)
        return CommandResult.failed(ResultCode.IN_USE, reason)
    attempt.state = AttemptState.STARTED
    attempt.started_at = store.now
    record.unready = 0
    set_state(record, RequestState.STARTED, store.now, "all members are ready")
    store.emit_change(ChangeKind.REQUEST, record.request_id)
    return CommandResult(fence=attempt.fence)


def stop(store: StateStore, command: StopAttempt) -> CommandResult:
    """Stop an attempt whose request can safely be run again."""
    record, attempt = _find_live_attempt(store, command.request_id, command.number)
    if record is None or attempt is None:
        return CommandResult.failed(ResultCode.UNKNOWN_ATTEMPT, "not live")
    if attempt.started_at is None:
        store.end_unstarted_attempt(record, attempt, command.reason)
        return CommandResult()
    if attempt.state == AttemptState.STOPPING:
        return CommandResult()
    at_checkpoint = command.checkpoint and record.checkpointable
    if not record.idempotent and not at_checkpoint:
        return CommandResult.failed(
            ResultCode.IN_USE, "the work cannot be stopped and run again"
        )
    attempt.state = AttemptState.STOPPING
    attempt.checkpoint_wanted = at_checkpoint
    attempt.stop_reason = sys.intern(command.reason)
    attempt.preempted_for = command.for_request
    store.emit_change(ChangeKind.REQUEST, record.request_id)
    return CommandResult()


def end(store: StateStore, command: EndAttempt) -> CommandResult:
    """Record the outcome of an attempt.

    A duplicate of a report that was already applied gets code 0 again.
    """
    record, attempt = _find_live_attempt(store, command.request_id, command.number)
    if record is None or attempt is None:
        if _is_duplicate_report(store.request(command.request_id), command):
            return CommandResult(request_id=command.request_id)
        return CommandResult.failed(ResultCode.UNKNOWN_ATTEMPT, "not live")
    if attempt.fence != command.fence:
        return CommandResult.failed(ResultCode.STALE_FENCE, "newer fence")
    finished = command.outcome == AttemptOutcome.FINISHED
    if finished and len(command.answers) != len(attempt.members):
        return CommandResult.failed(
            ResultCode.BAD_FIELD, f"{len(attempt.members)} answers are needed"
        )
    checkpointed = command.outcome == AttemptOutcome.CHECKPOINTED
    if checkpointed and not command.checkpoint:
        # Without a checkpoint to resume from, another attempt would restart
        # the work from the beginning, so this counts as a plain stop.
        command = dataclasses.replace(command, outcome=AttemptOutcome.STOPPED)
    if attempt.started_at is None:
        # No task can have begun without a committed start, so the reported
        # outcome is replaced.
        command = dataclasses.replace(
            command, outcome=AttemptOutcome.NEVER_BEGAN, answers=()
        )
    store.end_attempt(record, attempt, command)
    return CommandResult(request_id=record.request_id)


def _find_live_attempt(
    store: StateStore, request_id: str, number: int
) -> tuple[RequestRecord | None, Attempt | None]:
    record = store.request(request_id)
    if record is None:
        return None, None
    attempt = record.live_attempt()
    if attempt is None or attempt.number != number:
        return None, None
    return record, attempt


def _is_duplicate_report(record: RequestRecord | None, command: EndAttempt) -> bool:
    if record is None:
        return False
    for attempt in record.attempts:
        if attempt.number != command.number:
            continue
        return attempt.fence == command.fence and attempt.outcome == command.outcome
    return False
