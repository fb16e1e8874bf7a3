"""Handlers of the commands on upstreams: registration and status."""

from persimmonyard.model import ResultCode
from persimmonyard.state.change_events import ChangeKind
from persimmonyard.state.commands import (
    CommandResult,
    RegisterUpstream,
    SetUpstreamStatus,
)
from persimmonyard.state.crash_accounting import record_crash
from persimmonyard.state.records import (
    Attempt,
    AttemptState,
    UpstreamRecord,
    UpstreamStatus,
)
from persimmonyard.state.store import StateStore

__all__ = ["register_upstream", "set_upstream_status"]

# A delayed registration of one of these incarnations is rejected.  Older ones
# cannot be in flight any more: an entry stops resending a command after a few
# seconds, in which an upstream does not restart this often.  For the same
# reason one that comes once the newest incarnation is lost is not delayed:
# that one was an earlier incarnation, whose own registration was delayed.
MAX_PAST_INCARNATIONS = 4


def register_upstream(store: StateStore, command: RegisterUpstream) -> CommandResult:
    """Register an upstream; a new incarnation stops the earlier attempts."""
    spec = command.spec
    upstream = store.contents.upstream_by_id.get(spec.upstream_id)
    if upstream is None:
        store.contents.upstream_by_id[spec.upstream_id] = UpstreamRecord(spec)
        store.count_upstream(spec, 1)
    elif upstream.spec.incarnation == spec.incarnation:
        store.count_upstream(upstream.spec, -1)
        store.count_upstream(spec, 1)
        upstream.spec = spec
        if upstream.status == UpstreamStatus.LOST:
            store.recover_upstream(upstream, upstream.before_loss or UpstreamStatus.UP)
    elif (
        spec.incarnation in upstream.past_incarnations
        and upstream.status != UpstreamStatus.LOST
    ):
        return CommandResult.failed(
            ResultCode.NOT_FOUND, "a newer start of the upstream is known"
        )
    else:
        if UpstreamStatus.LEAVING not in (upstream.status, upstream.before_loss):
            record_crash(store, upstream)
        store.lost_request_ids_by_upstream.pop(spec.upstream_id, None)
        store.recover_upstream(upstream, UpstreamStatus.UP)
        past = []
        for incarnation in (*upstream.past_incarnations, upstream.spec.incarnation):
            if incarnation != spec.incarnation:
                past.append(incarnation)
        store.count_upstream(upstream.spec, -1)
        store.count_upstream(spec, 1)
        store.contents.upstream_by_id[spec.upstream_id] = UpstreamRecord(
            spec,
            past_incarnations=tuple(past[-MAX_PAST_INCARNATIONS:]),
            crashed_at=upstream.crashed_at,
        )
        _stop_attempts_on(store, spec.upstream_id, "restarted")
    store.emit_change(ChangeKind.UPSTREAM, spec.upstream_id)
    return CommandResult()


def set_upstream_status(store: StateStore, command: SetUpstreamStatus) -> CommandResult:
    """Change the status of one incarnation of an upstream."""
    upstream = store.contents.upstream_by_id.get(command.upstream_id)
    if upstream is None or upstream.spec.incarnation != command.incarnation:
        return CommandResult.failed(ResultCode.NOT_FOUND, "no such start")
    if upstream.status == UpstreamStatus.LEAVING and command.status not in (
        UpstreamStatus.LEAVING,
        UpstreamStatus.LOST,
    ):
        return CommandResult.failed(ResultCode.ALREADY_ENDED, "the upstream is leaving")
    if command.status == UpstreamStatus.LOST:
        store.mark_upstream_lost(upstream)
        _stop_attempts_on(store, command.upstream_id, "was lost")
    elif upstream.status != UpstreamStatus.LOST:
        upstream.status = command.status
    elif command.status == UpstreamStatus.UP:
        store.recover_upstream(upstream, upstream.before_loss or UpstreamStatus.UP)
    elif upstream.before_loss != UpstreamStatus.LEAVING:
        # A lost upstream stays lost until a heartbeat arrives; the new status
        # takes effect then.
        upstream.before_loss = command.status
    upstream.reason = command.reason
    upstream.until = command.until
    store.emit_change(ChangeKind.UPSTREAM, command.upstream_id)
    return CommandResult()


def _stop_attempts_on(store: StateStore, upstream_id: str, cause: str) -> None:
    """Stop all attempts on an upstream that has restarted or is lost.

    An attempt without a committed start ends here.  For any other attempt
    the dispatcher stops the remaining members and reports the end.
    """
    reason = f"upstream {upstream_id} {cause}"
    for request_id in sorted(store.request_ids_by_upstream.get(upstream_id, ())):
        record = store.contents.request_by_id[request_id]
        attempt = record.live_attempt()
        if attempt is None:
            continue
        if attempt.started_at is None:
            store.end_unstarted_attempt(record, attempt, reason)
            continue
        _mark_members_lost(attempt, upstream_id)
        attempt.state = AttemptState.STOPPING
        attempt.stop_reason = reason
        store.emit_change(ChangeKind.REQUEST, request_id)


def _mark_members_lost(attempt: Attempt, upstream_id: str) -> None:
    for index, member in enumerate(attempt.members):
        if member.upstream_id != upstream_id or index in attempt.lost_members:
            continue
        attempt.lost_members += (index,)
