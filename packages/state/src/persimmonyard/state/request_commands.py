"""Commands about whole requests: submission, cancellation, refusal."""

from persimmonyard.model import ResultCode
from persimmonyard.state.changes import ChangeKind
from persimmonyard.state.commands import (
    AcknowledgeAnswer,
    CancelRequest,
    CommandResult,
    ExpireRecords,
    RefuseRequest,
    SubmitRequest,
)
from persimmonyard.state.records import AttemptState, RequestRecord, RequestState
from persimmonyard.state.request_transitions import may_have_run, move
from persimmonyard.state.store import Store

__all__ = ["acknowledge", "cancel", "expire", "refuse", "submit"]

_NOT_RUN_CODES = (ResultCode.NEVER_FITS, ResultCode.TARGET_MISSED_NOT_RUN)


def submit(store: Store, command: SubmitRequest) -> CommandResult:
    """Record a request, or find the one with the same key."""
    known_id = store.request_id_for(command.client_account, command.key)
    if known_id is not None:
        if store.contents.request_by_id[known_id].digest != command.digest:
            return CommandResult.failed(
                ResultCode.KEY_REUSED, "the key was used for a different request"
            )
        return CommandResult(request_id=known_id)
    refusal = _admission_problem(store, command)
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
    store.share_values(record)
    store.contents.request_by_id[record.request_id] = record
    store.index_key(record)
    store.count_live(record.client_account, 1)
    move(record, RequestState.ACCEPTED, store.now, "submitted")
    store.note(ChangeKind.REQUEST, record.request_id)
    return CommandResult(request_id=record.request_id)


def _admission_problem(store: Store, command: SubmitRequest) -> CommandResult | None:
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
        # Only a reused identifier gets here: a resend has the same key.
        return CommandResult.failed(
            ResultCode.KEY_REUSED, "the request identifier was used before"
        )
    live = store.live_count_by_account.get(command.client_account, 0)
    if live >= account.max_waiting:
        return CommandResult.failed(
            ResultCode.QUEUE_FULL,
            f"client account {account.name!r} has {live} requests in progress",
        )
    return None


def cancel(store: Store, command: CancelRequest) -> CommandResult:
    """Cancel a request; one that has ended keeps its outcome."""
    record = store.owned(command.request_id, command.client_account)
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
        store.end_unstarted(record, attempt, reason)
    else:
        attempt.state = AttemptState.STOPPING
        attempt.checkpoint_wanted = False
        attempt.stop_reason = reason
        store.note(ChangeKind.REQUEST, record.request_id)
    return CommandResult(request_id=record.request_id)


def refuse(store: Store, command: RefuseRequest) -> CommandResult:
    """End a waiting request with the code of the refusal."""
    record = store.request(command.request_id)
    if record is None or record.state != RequestState.ACCEPTED:
        return CommandResult.failed(ResultCode.ALREADY_ENDED, "not waiting")
    record.code = command.code
    if command.code in _NOT_RUN_CODES and may_have_run(record):
        record.code = ResultCode.FAILED
    record.message = command.reason
    store.end_request(record, RequestState.REFUSED, command.reason)
    return CommandResult(request_id=record.request_id)


def acknowledge(store: Store, command: AcknowledgeAnswer) -> CommandResult:
    """Drop an answer that its caller has."""
    if not store.acknowledge(command):
        return CommandResult.failed(ResultCode.NOT_FOUND, "no such answer")
    return CommandResult(request_id=command.request_id)


def expire(store: Store, command: ExpireRecords) -> CommandResult:
    """Remove old records at a cost in proportion to their number."""
    store.expire(command.before, command.limit)
    return CommandResult()
