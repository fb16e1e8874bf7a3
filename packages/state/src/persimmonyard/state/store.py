"""The contents of the replicated state and the indexes over them."""

import itertools
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field

from persimmonyard.model import ConfigurationChange, Shape
from persimmonyard.state.changes import ChangeEvent, ChangeKind
from persimmonyard.state.commands import AcknowledgeAnswer, CommandResult, EndAttempt
from persimmonyard.state.configuration import Configuration
from persimmonyard.state.records import (
    Attempt,
    AttemptOutcome,
    Member,
    RequestRecord,
    RequestState,
    UpstreamRecord,
    UpstreamStatus,
)
from persimmonyard.state.request_transitions import finish_attempt, move
from persimmonyard.state.sharing import share_times

__all__ = ["Contents", "KnownResult", "Store"]


@dataclass(slots=True)
class KnownResult:
    """The first result of a command identity, kept for resends."""

    at: float
    fingerprint: str
    result: CommandResult


@dataclass(slots=True)
class Contents:
    """Everything that a snapshot holds.

    ``ended_at_by_id`` lists the ended requests in the order of their ends.
    It is part of the snapshot, so that replicas that replayed the log and
    replicas that restored a snapshot expire the same records.
    ``lost_at_by_id`` lists lost upstreams in the order of their loss.
    """

    configuration: Configuration = field(default_factory=Configuration)
    upstream_by_id: dict[str, UpstreamRecord] = field(default_factory=dict)
    request_by_id: dict[str, RequestRecord] = field(default_factory=dict)
    ended_at_by_id: dict[str, float] = field(default_factory=dict)
    lost_at_by_id: dict[str, float] = field(default_factory=dict)
    result_by_identity: dict[str, KnownResult] = field(default_factory=dict)
    last_fence: int = 0
    last_at: float = 0.0


class Store:
    """Contents, indexes and the steps that several commands share."""

    def __init__(self) -> None:
        self.changes_by_version: dict[int, tuple[ConfigurationChange, ...]] = {}
        self.load(Contents())

    def load(self, contents: Contents, records: Iterable[RequestRecord] = ()) -> None:
        """Replace the contents, add requests and build all indexes anew.

        Each request shares its values before the next one is taken, so that
        requests may be decoded while they are added.
        """
        self.contents = contents
        self.changes_by_version = {}
        self.changes: list[ChangeEvent] = []
        # Nested by client account: a tuple for each key would take 72 bytes
        # more for each request.
        self.request_id_by_key_by_account: dict[str, dict[str, str]] = {}
        self.request_ids_by_upstream: dict[str, set[str]] = {}
        self.live_count_by_account: dict[str, int] = {}
        self._shape_by_shape: dict[Shape, Shape] = {}
        self._member_by_upstream: dict[str, Member] = {}
        self._last_run_s = 0.0
        for record in records:
            contents.request_by_id[record.request_id] = record
            self.share_values(record)
            self.index_key(record)
            if record.ended():
                continue
            self.count_live(record.client_account, 1)
            attempt = record.live_attempt()
            if attempt is not None:
                self.occupy(record, attempt)
        self._share_keys()

    def _share_keys(self) -> None:
        """Let the dictionaries use the strings of their records as keys."""
        contents = self.contents
        by_id = {}
        for known in contents.upstream_by_id.values():
            by_id[known.spec.upstream_id] = known
        contents.upstream_by_id = by_id
        ended_at_by_id = {}
        for request_id, at in contents.ended_at_by_id.items():
            record = contents.request_by_id[request_id]
            ended_at_by_id[record.request_id] = at
        contents.ended_at_by_id = ended_at_by_id

    def index_key(self, record: RequestRecord) -> None:
        """Index a request under the key that its caller chose."""
        by_key = self.request_id_by_key_by_account.setdefault(record.client_account, {})
        by_key[record.key] = record.request_id

    def request_id_for(self, client_account: str, key: str) -> str | None:
        """Return the request that a client account submitted under a key."""
        return self.request_id_by_key_by_account.get(client_account, {}).get(key)

    def member_on(self, upstream_id: str, incarnation: str) -> Member:
        """Return the member of all attempts on one start of an upstream."""
        known = self._member_by_upstream.get(upstream_id)
        if known is None or known.incarnation != incarnation:
            known = Member(sys.intern(upstream_id), sys.intern(incarnation))
            self._member_by_upstream[known.upstream_id] = known
        return known

    def share_values(self, record: RequestRecord) -> None:
        """Let equal strings and shapes of many records share memory."""
        record.client_account = sys.intern(record.client_account)
        record.class_name = sys.intern(record.class_name)
        record.shape = self._shape_by_shape.setdefault(record.shape, record.shape)
        for entry in record.history:
            entry.state = sys.intern(entry.state)
            entry.reason = sys.intern(entry.reason)
        for attempt in record.attempts:
            attempt.entry_id = sys.intern(attempt.entry_id)
            shared = []
            for member in attempt.members:
                shared.append(self.member_on(member.upstream_id, member.incarnation))
            attempt.members = tuple(shared)
        share_times(record)
        # Requests of one class often declare the same run time.
        if record.declared_run_s == self._last_run_s:
            record.declared_run_s = self._last_run_s
        self._last_run_s = record.declared_run_s

    # Looking up.

    @property
    def now(self) -> float:
        """The time of the record that is applied, in seconds."""
        return self.contents.last_at

    def request(self, request_id: str) -> RequestRecord | None:
        """Return a request, or ``None`` if it is not kept."""
        return self.contents.request_by_id.get(request_id)

    def owned(self, request_id: str, client_account: str) -> RequestRecord | None:
        """Return a request if it belongs to the client account."""
        record = self.request(request_id)
        if record is None or record.client_account != client_account:
            return None
        return record

    def may_start_on(self, upstream_id: str, incarnation: str | None = None) -> bool:
        """Return whether new work may start on an upstream."""
        known = self.contents.upstream_by_id.get(upstream_id)
        if known is None:
            return False
        if incarnation is not None and known.spec.incarnation != incarnation:
            return False
        if known.status in (UpstreamStatus.LEAVING, UpstreamStatus.LOST):
            return False
        return self.contents.configuration.zone_in_service(known.spec.zone)

    # Changing.

    def note(self, kind: ChangeKind, item_id: str) -> None:
        """Tell the controllers that an item changed."""
        self.changes.append(ChangeEvent(kind, item_id))

    def next_fence(self) -> int:
        """Return a fence that is newer than all before."""
        self.contents.last_fence += 1
        return self.contents.last_fence

    def count_live(self, client_account: str, step: int) -> None:
        """Add to the number of a client account's requests in progress."""
        count = self.live_count_by_account.get(client_account, 0) + step
        self.live_count_by_account[client_account] = count

    def occupy(self, record: RequestRecord, attempt: Attempt) -> None:
        """Index an attempt under its upstreams."""
        for member in attempt.members:
            ids = self.request_ids_by_upstream.setdefault(member.upstream_id, set())
            ids.add(record.request_id)

    def _release(self, record: RequestRecord, attempt: Attempt) -> None:
        for member in attempt.members:
            ids = self.request_ids_by_upstream.get(member.upstream_id)
            if ids is None:
                continue
            ids.discard(record.request_id)
            if not ids:
                del self.request_ids_by_upstream[member.upstream_id]

    def finish(
        self, record: RequestRecord, attempt: Attempt, command: EndAttempt
    ) -> None:
        """End an attempt, and the request if nothing follows."""
        self._release(record, attempt)
        finish_attempt(record, attempt, command, self.now)
        self.note(ChangeKind.REQUEST, record.request_id)
        if record.ended():
            self._retain(record)

    def end_unstarted(
        self, record: RequestRecord, attempt: Attempt, reason: str
    ) -> None:
        """End an attempt that no start was committed for."""
        attempt.stop_reason = reason
        outcome = AttemptOutcome.NEVER_BEGAN
        self.finish(
            record,
            attempt,
            EndAttempt(record.request_id, attempt.number, attempt.fence, outcome),
        )

    def end_request(
        self, record: RequestRecord, state: RequestState, reason: str
    ) -> None:
        """End a request that has no live attempt."""
        move(record, state, self.now, reason)
        self.note(ChangeKind.REQUEST, record.request_id)
        self._retain(record)

    def _retain(self, record: RequestRecord) -> None:
        """Keep an ended request for its key, without what only runs need."""
        self.count_live(record.client_account, -1)
        record.payload = b""
        record.checkpoint = ""
        self.contents.ended_at_by_id[record.request_id] = self.now

    def acknowledge(self, command: AcknowledgeAnswer) -> bool:
        """Drop the answers of an ended request; return whether it exists."""
        record = self.owned(command.request_id, command.client_account)
        if record is None or not record.ended():
            return False
        if record.state == RequestState.FINISHED:
            move(record, RequestState.ANSWERED, self.now, "acknowledged")
        record.answers = ()
        return True

    # Upstreams.

    def lose_upstream(self, known: UpstreamRecord) -> None:
        """Note the loss of an upstream and the status that it had."""
        if known.status == UpstreamStatus.LOST:
            return
        known.before_loss = known.status
        known.status = UpstreamStatus.LOST
        self.contents.lost_at_by_id[known.spec.upstream_id] = self.now

    def find_upstream(self, known: UpstreamRecord, status: UpstreamStatus) -> None:
        """Give an upstream a status other than lost."""
        if known.status == UpstreamStatus.LOST:
            known.reason = ""
        known.status = status
        known.before_loss = None
        self.contents.lost_at_by_id.pop(known.spec.upstream_id, None)

    # Retention.

    def has_expired_requests(self, before: float) -> bool:
        """Return whether a request ended before ``before``."""
        for ended_at in self.contents.ended_at_by_id.values():
            return ended_at < before
        return False

    def expire(self, before: float, limit: int) -> None:
        """Remove at most ``limit`` requests and ``limit`` lost upstreams.

        They must have ended, or been lost, before ``before``.
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
            del self.contents.upstream_by_id[upstream_id]
            self._member_by_upstream.pop(upstream_id, None)

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
