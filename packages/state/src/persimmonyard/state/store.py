"""The in-memory store of the replicated state, with its indexes."""

import itertools
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field

from persimmonyard.model import ConfigurationChange, Shape, UpstreamSpec
from persimmonyard.model.crash_verdict import find_guilty_task
from persimmonyard.state.change_events import ChangeEvent, ChangeKind
from persimmonyard.state.commands import AcknowledgeAnswer, CommandResult, EndAttempt
from persimmonyard.state.configuration import Configuration
from persimmonyard.state.crash_log import CrashLog, places_of
from persimmonyard.state.interning import intern_times
from persimmonyard.state.records import (
    Attempt,
    AttemptOutcome,
    Member,
    RequestRecord,
    RequestState,
    UpstreamRecord,
    UpstreamStatus,
)
from persimmonyard.state.request_transitions import (
    apply_attempt_end,
    apply_silences,
    set_state,
    verdict_crashes,
)

__all__ = ["CachedResult", "StateStore", "StoreContents"]


@dataclass(slots=True)
class CachedResult:
    """The result of a command, kept to answer resends with the same identity.

    ``fingerprint`` is a hash of the command, which shows whether the identity
    is reused for another command.
    """

    at: float
    fingerprint: str
    result: CommandResult


@dataclass(slots=True)
class StoreContents:
    """The part of the state that a snapshot stores.

    ``ended_at_by_id`` maps ended requests to their end times, oldest first.
    It is stored so that a replica that restored a snapshot expires the same
    records as one that replayed the log.  ``lost_at_by_id`` maps lost
    upstreams to the times of their loss, oldest first.
    """

    configuration: Configuration = field(default_factory=Configuration)
    upstream_by_id: dict[str, UpstreamRecord] = field(default_factory=dict)
    request_by_id: dict[str, RequestRecord] = field(default_factory=dict)
    ended_at_by_id: dict[str, float] = field(default_factory=dict)
    lost_at_by_id: dict[str, float] = field(default_factory=dict)
    result_by_identity: dict[str, CachedResult] = field(default_factory=dict)
    last_fence: int = 0
    last_at: float = 0.0
    crash_log: CrashLog = field(default_factory=CrashLog)


class StateStore:
    """The contents, the indexes over them, and updates shared by commands.

    The indexes are derived from the contents and are not stored.
    """

    def __init__(self) -> None:
        self.changes_by_version: dict[int, tuple[ConfigurationChange, ...]] = {}
        self.load(StoreContents())

    def load(
        self, contents: StoreContents, records: Iterable[RequestRecord] = ()
    ) -> None:
        """Replace the contents, add requests and rebuild all indexes.

        The values of each request are interned before the next one is taken
        from ``records``, so that requests can be decoded lazily without
        holding all their duplicate values in memory.
        """
        self.contents = contents
        self.changes_by_version = {}
        self.change_events: list[ChangeEvent] = []
        # Nested by client account, because a tuple as the key would take
        # 72 bytes more for each request.
        self.request_id_by_key_by_account: dict[str, dict[str, str]] = {}
        self.request_ids_by_upstream: dict[str, set[str]] = {}
        self.in_progress_count_by_account: dict[str, int] = {}
        # The requests that lost a member on the current incarnation of an
        # upstream, of which it is not yet known whether it crashed.
        self.lost_request_ids_by_upstream: dict[str, set[str]] = {}
        self._lost_upstream_ids_by_request: dict[str, set[str]] = {}
        self.upstream_count_by_place: dict[str, int] = {}
        self._interned_shapes: dict[Shape, Shape] = {}
        self._interned_member_by_upstream: dict[str, Member] = {}
        self._last_declared_run_s = 0.0
        for upstream in contents.upstream_by_id.values():
            self.count_upstream(upstream.spec, 1)
        for record in records:
            contents.request_by_id[record.request_id] = record
            self.intern_values(record)
            self.index_key(record)
            if record.ended():
                continue
            self.adjust_in_progress_count(record.client_account, 1)
            attempt = record.live_attempt()
            if attempt is not None:
                self.index_attempt(record, attempt)
            for attempt in record.attempts:
                self._index_lost_members(record, attempt)
        self._intern_keys()

    def _intern_keys(self) -> None:
        """Use the identifier strings of the records as dictionary keys."""
        contents = self.contents
        upstream_by_id = {}
        for upstream in contents.upstream_by_id.values():
            upstream_by_id[upstream.spec.upstream_id] = upstream
        contents.upstream_by_id = upstream_by_id
        ended_at_by_id = {}
        for request_id, at in contents.ended_at_by_id.items():
            record = contents.request_by_id[request_id]
            ended_at_by_id[record.request_id] = at
        contents.ended_at_by_id = ended_at_by_id

    def index_key(self, record: RequestRecord) -> None:
        """Index a request by client account and idempotency key."""
        request_id_by_key = self.request_id_by_key_by_account.setdefault(
            record.client_account, {}
        )
        request_id_by_key[record.key] = record.request_id

    def request_id_for(self, client_account: str, key: str) -> str | None:
        """Return the identifier of the request with an idempotency key."""
        return self.request_id_by_key_by_account.get(client_account, {}).get(key)

    def interned_member(self, upstream_id: str, incarnation: str) -> Member:
        """Return the shared ``Member`` for one incarnation of an upstream."""
        member = self._interned_member_by_upstream.get(upstream_id)
        if member is None or member.incarnation != incarnation:
            member = Member(sys.intern(upstream_id), sys.intern(incarnation))
            self._interned_member_by_upstream[member.upstream_id] = member
        return member

    def intern_values(self, record: RequestRecord) -> None:
        """Replace equal values of many records by one shared object each.

        This applies to strings, shapes, members and times, and saves memory.
        """
        record.client_account = sys.intern(record.client_account)
        record.class_name = sys.intern(record.class_name)
        record.shape = self._interned_shapes.setdefault(record.shape, record.shape)
        for transition in record.history:
            transition.state = sys.intern(transition.state)
            transition.reason = sys.intern(transition.reason)
        for attempt in record.attempts:
            attempt.entry_id = sys.intern(attempt.entry_id)
            members = []
            for member in attempt.members:
                members.append(
                    self.interned_member(member.upstream_id, member.incarnation)
                )
            attempt.members = tuple(members)
        intern_times(record)
        # Requests of one class often declare the same run time, so one float
        # is shared by consecutive equal values.
        if record.declared_run_s == self._last_declared_run_s:
            record.declared_run_s = self._last_declared_run_s
        self._last_declared_run_s = record.declared_run_s

    @property
    def now(self) -> float:
        """The time of the log record being applied, in seconds.

        It comes from the leader's clock and never decreases.
        """
        return self.contents.last_at

    def request(self, request_id: str) -> RequestRecord | None:
        """Return a request, or ``None`` if it is unknown or has expired."""
        return self.contents.request_by_id.get(request_id)

    def request_of_account(
        self, request_id: str, client_account: str
    ) -> RequestRecord | None:
        """Return a request, or ``None`` if another client account owns it."""
        record = self.request(request_id)
        if record is None or record.client_account != client_account:
            return None
        return record

    def may_start_on(self, upstream_id: str, incarnation: str | None = None) -> bool:
        """Return whether new work may start on an upstream.

        With ``incarnation`` it must also be the current one.
        """
        upstream = self.contents.upstream_by_id.get(upstream_id)
        if upstream is None:
            return False
        if incarnation is not None and upstream.spec.incarnation != incarnation:
            return False
        if upstream.status in (UpstreamStatus.LEAVING, UpstreamStatus.LOST):
            return False
        return self.contents.configuration.zone_in_service(upstream.spec.zone)

    def emit_change(self, kind: ChangeKind, item_id: str) -> None:
        """Queue a change event for the controllers."""
        self.change_events.append(ChangeEvent(kind, item_id))

    def next_fence(self) -> int:
        """Return a fencing token that is greater than all earlier ones."""
        self.contents.last_fence += 1
        return self.contents.last_fence

    def adjust_in_progress_count(self, client_account: str, delta: int) -> None:
        """Add ``delta`` to an account's count of requests in progress."""
        count = self.in_progress_count_by_account.get(client_account, 0) + delta
        self.in_progress_count_by_account[client_account] = count

    def index_attempt(self, record: RequestRecord, attempt: Attempt) -> None:
        """Index an attempt by the upstreams of its members."""
        for member in attempt.members:
            request_ids = self.request_ids_by_upstream.setdefault(
                member.upstream_id, set()
            )
            request_ids.add(record.request_id)

    def _unindex_attempt(self, record: RequestRecord, attempt: Attempt) -> None:
        for member in attempt.members:
            request_ids = self.request_ids_by_upstream.get(member.upstream_id)
            if request_ids is None:
                continue
            request_ids.discard(record.request_id)
            if not request_ids:
                del self.request_ids_by_upstream[member.upstream_id]

    def _index_lost_members(self, record: RequestRecord, attempt: Attempt) -> None:
        """Index an ended attempt by the upstreams on which it was lost.

        An upstream that has registered again since is left out.
        """
        if attempt.outcome != AttemptOutcome.LOST or record.ended():
            return
        for index in {*attempt.failed_members, *attempt.lost_members}:
            member = attempt.members[index]
            upstream = self.contents.upstream_by_id.get(member.upstream_id)
            if upstream is None or upstream.spec.incarnation != member.incarnation:
                continue
            request_ids = self.lost_request_ids_by_upstream.setdefault(
                member.upstream_id, set()
            )
            request_ids.add(record.request_id)
            upstream_ids = self._lost_upstream_ids_by_request.setdefault(
                record.request_id, set()
            )
            upstream_ids.add(member.upstream_id)

    def _unindex_lost_members(self, record: RequestRecord) -> None:
        """Forget on which upstreams a request that has ended was lost."""
        upstream_ids = self._lost_upstream_ids_by_request.pop(record.request_id, ())
        for upstream_id in upstream_ids:
            request_ids = self.lost_request_ids_by_upstream.get(upstream_id)
            if request_ids is None:
                continue
            request_ids.discard(record.request_id)
            if not request_ids:
                del self.lost_request_ids_by_upstream[upstream_id]

    def count_upstream(self, spec: UpstreamSpec, delta: int) -> None:
        """Add ``delta`` to the number of upstreams in a zone and a rack."""
        for place in places_of(spec):
            count = self.upstream_count_by_place.get(place, 0) + delta
            self.upstream_count_by_place[place] = count

    def crash_rate_per_s(self, record: RequestRecord) -> float:
        """Return how often an upstream crashes now without a request."""
        contents = self.contents
        running = len(contents.upstream_by_id) - len(contents.lost_at_by_id)
        return contents.crash_log.rate_per_s(record.crashes, self.now, running)

    def guilty_member(self, record: RequestRecord) -> int | None:
        """Return the member that is to blame for crashes, or ``None``."""
        if not record.crashes or record.cancel_requested:
            return None
        return find_guilty_task(
            verdict_crashes(record.crashes),
            record.shape.gang,
            self.crash_rate_per_s(record),
        )

    def end_attempt(
        self, record: RequestRecord, attempt: Attempt, command: EndAttempt
    ) -> None:
        """End an attempt, and its request if no other attempt may follow."""
        self._unindex_attempt(record, attempt)
        guilty_member = None
        if command.outcome == AttemptOutcome.LOST:
            apply_silences(record, attempt, command.silences)
            guilty_member = self.guilty_member(record)
        apply_attempt_end(record, attempt, command, self.now, guilty_member)
        self._index_lost_members(record, attempt)
        if guilty_member is not None:
            self.contents.crash_log.remove(record.crashes)
        self.emit_change(ChangeKind.REQUEST, record.request_id)
        if record.ended():
            self._start_retention(record)

    def end_unstarted_attempt(
        self, record: RequestRecord, attempt: Attempt, reason: str
    ) -> None:
        """End an attempt for which no start was committed."""
        attempt.stop_reason = reason
        outcome = AttemptOutcome.NEVER_BEGAN
        self.end_attempt(
            record,
            attempt,
            EndAttempt(record.request_id, attempt.number, attempt.fence, outcome),
        )

    def end_request(
        self, record: RequestRecord, state: RequestState, reason: str
    ) -> None:
        """End a request that has no live attempt."""
        set_state(record, state, self.now, reason)
        self.emit_change(ChangeKind.REQUEST, record.request_id)
        self._start_retention(record)

    def _start_retention(self, record: RequestRecord) -> None:
        """Drop the data that only a run needs and start the retention period.

        The record itself stays until it expires, so that a resend with its
        idempotency key still finds it.
        """
        self._unindex_lost_members(record)
        self.adjust_in_progress_count(record.client_account, -1)
        record.payload = b""
        record.checkpoint = ""
        self.contents.ended_at_by_id[record.request_id] = self.now

    def acknowledge(self, command: AcknowledgeAnswer) -> bool:
        """Drop the answers of an ended request; return whether it exists."""
        record = self.request_of_account(command.request_id, command.client_account)
        if record is None or not record.ended():
            return False
        if record.state == RequestState.FINISHED:
            set_state(record, RequestState.ANSWERED, self.now, "acknowledged")
        record.answers = ()
        return True

    def mark_upstream_lost(self, upstream: UpstreamRecord) -> None:
        """Mark an upstream as lost and remember its status before the loss."""
        if upstream.status == UpstreamStatus.LOST:
            return
        upstream.before_loss = upstream.status
        upstream.status = UpstreamStatus.LOST
        self.contents.lost_at_by_id[upstream.spec.upstream_id] = self.now

    def recover_upstream(
        self, upstream: UpstreamRecord, status: UpstreamStatus
    ) -> None:
        """Set a status other than lost and clear the record of the loss."""
        if upstream.status == UpstreamStatus.LOST:
            upstream.reason = ""
        upstream.status = status
        upstream.before_loss = None
        self.contents.lost_at_by_id.pop(upstream.spec.upstream_id, None)

    def has_expired_requests(self, before: float) -> bool:
        """Return whether a retained request ended before ``before``."""
        for ended_at in self.contents.ended_at_by_id.values():
            return ended_at < before
        return False

    def expire(self, before: float, limit: int) -> None:
        """Remove requests that ended, and upstreams lost, before ``before``.

        At most ``limit`` requests and ``limit`` upstreams are removed.
        A lost upstream that still has a live attempt is kept.
        """
        self._expire_requests(before, limit)
        self._expire_upstreams(before, limit)

    def _expire_upstreams(self, before: float, limit: int) -> None:
        lost_at_by_id = self.contents.lost_at_by_id
        for upstream_id in list(itertools.islice(lost_at_by_id, limit)):
            if lost_at_by_id[upstream_id] >= before:
                return
            if upstream_id in self.request_ids_by_upstream:
                continue
            del lost_at_by_id[upstream_id]
            upstream = self.contents.upstream_by_id.pop(upstream_id)
            self.count_upstream(upstream.spec, -1)
            self.lost_request_ids_by_upstream.pop(upstream_id, None)
            self._interned_member_by_upstream.pop(upstream_id, None)

    def _expire_requests(self, before: float, limit: int) -> None:
        removed = 0
        ended_at_by_id = self.contents.ended_at_by_id
        while ended_at_by_id and removed < limit:
            request_id = next(iter(ended_at_by_id))
            if ended_at_by_id[request_id] >= before:
                break
            del ended_at_by_id[request_id]
            record = self.contents.request_by_id.pop(request_id)
            del self.request_id_by_key_by_account[record.client_account][record.key]
            removed += 1
