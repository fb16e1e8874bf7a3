"""Commands about upstreams: registration, status and loss."""

from persimmonyard.model import ResultCode
from persimmonyard.state.changes import ChangeKind
from persimmonyard.state.commands import (
    CommandResult,
    RegisterUpstream,
    SetUpstreamStatus,
)
from persimmonyard.state.records import (
    Attempt,
    AttemptState,
    UpstreamRecord,
    UpstreamStatus,
)
from persimmonyard.state.store import Store

__all__ = ["register_upstream", "set_upstream_status"]

# A registration that is older than this many restarts is not in flight any
# more: an entry gives a command up after seconds.
PAST_INCARNATIONS = 4


def register_upstream(store: Store, command: RegisterUpstream) -> CommandResult:
    """Record an announcement; a new incarnation ends what ran before."""
    spec = command.spec
    known = store.contents.upstream_by_id.get(spec.upstream_id)
    if known is None:
        store.contents.upstream_by_id[spec.upstream_id] = UpstreamRecord(spec)
    elif known.spec.incarnation == spec.incarnation:
        known.spec = spec
        if known.status == UpstreamStatus.LOST:
            store.find_upstream(known, known.before_loss or UpstreamStatus.UP)
    elif spec.incarnation in known.past_incarnations:
        return CommandResult.failed(
            ResultCode.NOT_FOUND, "a newer start of the upstream is known"
        )
    else:
        store.find_upstream(known, UpstreamStatus.UP)
        past = (*known.past_incarnations, known.spec.incarnation)
        store.contents.upstream_by_id[spec.upstream_id] = UpstreamRecord(
            spec, past_incarnations=past[-PAST_INCARNATIONS:]
        )
        _lose_attempts(store, spec.upstream_id, "restarted")
    store.note(ChangeKind.UPSTREAM, spec.upstream_id)
    return CommandResult()


def set_upstream_status(store: Store, command: SetUpstreamStatus) -> CommandResult:
    """Change the status of the start that the command names."""
    known = store.contents.upstream_by_id.get(command.upstream_id)
    if known is None or known.spec.incarnation != command.incarnation:
        return CommandResult.failed(ResultCode.NOT_FOUND, "no such start")
    if known.status == UpstreamStatus.LEAVING and command.status not in (
        UpstreamStatus.LEAVING,
        UpstreamStatus.LOST,
    ):
        return CommandResult.failed(ResultCode.ALREADY_ENDED, "the upstream is leaving")
    if command.status == UpstreamStatus.LOST:
        store.lose_upstream(known)
        _lose_attempts(store, command.upstream_id, "was lost")
    elif known.status != UpstreamStatus.LOST:
        known.status = command.status
    elif command.status == UpstreamStatus.UP:
        store.find_upstream(known, known.before_loss or UpstreamStatus.UP)
    elif known.before_loss != UpstreamStatus.LEAVING:
        # A lost upstream stays lost until it is heard again.
        known.before_loss = command.status
    known.reason = command.reason
    known.until = command.until
    store.note(ChangeKind.UPSTREAM, command.upstream_id)
    return CommandResult()


def _lose_attempts(store: Store, upstream_id: str, what: str) -> None:
    """Stop what runs on a lost start of an upstream.

    An attempt without a committed start ends here.  Otherwise its dispatcher
    stops the other members and reports the end.
    """
    reason = f"upstream {upstream_id} {what}"
    for request_id in sorted(store.request_ids_by_upstream.get(upstream_id, ())):
        record = store.contents.request_by_id[request_id]
        attempt = record.live_attempt()
        if attempt is None:
            continue
        if attempt.started_at is None:
            store.end_unstarted(record, attempt, reason)
            continue
        _mark_lost(attempt, upstream_id)
        attempt.state = AttemptState.STOPPING
        attempt.stop_reason = reason
        store.note(ChangeKind.REQUEST, request_id)


def _mark_lost(attempt: Attempt, upstream_id: str) -> None:
    for index, member in enumerate(attempt.members):
        if member.upstream_id != upstream_id or index in attempt.lost_members:
            continue
        attempt.lost_members += (index,)
