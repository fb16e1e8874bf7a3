"""Handlers of the commands on requests, such as submit, cancel and refuse."""

from persimmonyard.model import ResultCode
from persimmonyard.state.change_events import ChangeKind
from persimmonyard.state.commands import (
    AcknowledgeAnswer,
    CancelRequest,
    CommandResult,
    ExpireRecords,
    RefuseRequest,
    SubmitRequest,
)
from persimmonyard.state.records import AttemptState, RequestRecord, RequestState
from persimmonyard.state.request_transitions import may_have_run, set_state
from persimmonyard.state.store import StateStore

__all__ = ["acknowledge", "cancel", "expire", "refuse", "submit"]

_NOT_RUN_CODES = (ResultCode.NEVER_FITS, ResultCode.TARGET_MISSED_NOT_RUN)


def submit(store: StateStore, command: SubmitRequest) -> CommandResult:
    """Record a request, or return the one with the same idempotency key.

    A key that was used with another digest gets KEY_REUSED.
    """
    known_id = store.request_id_for(command.client_account, command.key)
    if known_id is not None:
        if store.contents.request_by_id[known_id].digest != command.digest:
            return CommandResult.failed(
                ResultCode.KEY_REUSED, "the key was used for a different request"
            )
        return CommandResult(request_id=known_id)
    refusal = _admission_error(store, command)
    if refusal is not None:
        return refusal
    record = RequestRecord(
        request_id=command.request_id,
        client_account=command.client_account,
        class_name=command.class_name,
        key=command.key,
        digest=command.digest,
        shape=command.shape,
        declared_run_s=command.declared_run_s,
        idempotent=command.idempotent,
        checkpointable=command.checkpointable,
        payload=command.payload,
        submitted_at=store.now,
    )
    store.intern_values(record)
    store.contents.request_by_id[record.request_id] = record
    store.index_key(record)
    store.adjust_in_progress_count(record.client_account, 1)
    set_state(record, RequestState.ACCEPTED, store.now, "submitted")
    store.emit_change(ChangeKind.REQUEST, record.request_id)
    return CommandResult(request_id=record.request_id)


def _admission_error(store: StateStore, command: SubmitRequest) -> CommandResult | None:
    configuration = store.contents.configuration
    account = configuration.client_account_by_name.get(command.client_account)
    if account is None:
        return CommandResult.failed(
            ResultCode.UNKNOWN_ACCOUNT,
            f"client account {command.client_account!r} does not exist",
        )
    if command.class_name not in configuration.class_by_name:
        return CommandResult.failed(
            ResultCode.UNKNOWN_CLASS, f"class {command.class_name!r} does not exist"
        )
    if command.request_id in store.contents.request_by_id:
        # A resent submission has the same key and was handled by the caller,
        # so the identifier belongs to a different request.
        return CommandResult.failed(
            ResultCode.KEY_REUSED, "the request identifier was used before"
        )
    in_progress = store.in_progress_count_by_account.get(command.client_account, 0)
    if in_progress >= account.max_waiting:
        return CommandResult.failed(
            ResultCode.QUEUE_FULL,
            f"client account {account.name!r} has {in_progress} requests in progress",
        )
    return None


def cancel(store: StateStore, command: CancelRequest) -> CommandResult:
    """Cancel a request; a request that has already ended keeps its outcome."""
    record = store.request_of_account(command.request_id, command.client_account)
    if record is None:
        return CommandResult.failed(ResultCode.NOT_FOUND, "no such request")
    if record.ended() or record.cancel_requested:
        return CommandResult(request_id=record.request_id)
    record.cancel_requested = True
    reason = "cancelled by the caller"
    attempt = record.live_attempt()
    if attempt is None:
        record.code = ResultCode.CANCELLED_NOT_RUN
        if may_have_run(record):
            record.code = ResultCode.CANCELLED
        store.end_request(record, RequestState.CANCELLED, reason)
    elif attempt.started_at is None:
        store.end_unstarted_attempt(record, attempt, reason)
    else:
        attempt.state = AttemptState.STOPPING
        attempt.checkpoint_wanted = False
        attempt.stop_reason = reason
        store.emit_change(ChangeKind.REQUEST, record.request_id)
    return CommandResult(request_id=record.request_id)


def refuse(store: StateStore, command: RefuseRequest) -> CommandResult:
    """End a waiting request with the result code of the refusal.

    A code that states that nothing ran becomes FAILED if a task may have run.
    """
    record = store.request(command.request_id)
    if record is None or record.state != RequestState.ACCEPTED:
        return CommandResult.failed(ResultCode.ALREADY_ENDED, "not waiting")
    record.code = command.code
    if command.code in _NOT_RUN_CODES and may_have_run(record):
        record.code = ResultCode.FAILED
    record.message = command.reason
    store.end_request(record, RequestState.REFUSED, command.reason)
    return CommandResult(request_id=record.request_id)


def acknowledge(store: StateStore, command: AcknowledgeAnswer) -> CommandResult:
    """Drop the answers of a request after its caller has received them."""
    if not store.acknowledge(command):
        return CommandResult.failed(ResultCode.NOT_FOUND, "no such answer")
    return CommandResult(request_id=command.request_id)


def expire(store: StateStore, command: ExpireRecords) -> CommandResult:
    """Remove expired records; the cost is linear in the number removed."""
    store.expire(command.before, command.limit)
    return CommandResult()
