"""The replication core: a deterministic state machine without I/O."""

import random
from collections.abc import Callable
from functools import partial

from persimmonyard.replication.config import CoreConfig, DurableState, usable_log
from persimmonyard.replication.errors import SYNC_FAILED
from persimmonyard.replication.events import (
    Action,
    Apply,
    BaseRecord,
    EntryRecord,
    Event,
    MemberAdded,
    MemberRemoved,
    Proposed,
    Received,
    Record,
    Rewrite,
    Role,
    RoleChanged,
    Send,
    SnapshotReceived,
    SnapshotSaved,
    Stop,
    Synced,
    SyncFailed,
    Tick,
    TransferRequested,
    VoteRecord,
    Write,
)
from persimmonyard.replication.follower import Follower
from persimmonyard.replication.leader import Leader
from persimmonyard.replication.leadership import Leadership
from persimmonyard.replication.memory_log import MemoryLog
from persimmonyard.replication.messages import (
    AppendEntries,
    AppendReply,
    Chunk,
    ChunkReply,
    Entry,
    Heartbeat,
    HeartbeatReply,
    Members,
    Message,
    PreVote,
    PreVoteReply,
    Recover,
    SnapshotMeta,
    TimeoutNow,
    Vote,
    VoteReply,
)
from persimmonyard.replication.sync_queue import SyncQueue
from persimmonyard.replication.voter import Voter

__all__ = ["ReplicaCore"]


class ReplicaCore:
    """Elect leaders, replicate entries and commit them.

    ``step`` takes an event and the time of the replica's own monotonic clock
    in seconds, and returns the actions that the host carries out in order.
    """

    def __init__(self, config: CoreConfig, durable: DurableState, now: float):
        self.config = config
        self.now = now
        self.random = random.Random(config.seed)
        self.term = durable.term
        self.voted_for = durable.voted_for
        self.role = Role.FOLLOWER
        self.leader = ""
        self.snapshot = durable.snapshot
        base, entries = usable_log(durable)
        self.log = MemoryLog(
            base.index, base.term, durable.snapshot.index, durable.snapshot.members
        )
        for entry in entries:
            self.log.append(entry)
        self.commit = self.snapshot.index
        self.applied = self.snapshot.index
        self.syncs = SyncQueue(self.log.last_index)
        self.leadership: Leadership | None = None
        self.stopped = False
        self._term_durable = True
        self._actions: list[Action] = []
        self.voter = Voter(self)
        self.follower = Follower(self)
        self.leading = Leader(self)
        if (base, entries) != (durable.base, durable.entries):
            self.rewrite_log()

    # Reading.

    @property
    def members(self) -> Members:
        """The newest members in the log."""
        return self.log.members

    @property
    def recovering(self) -> bool:
        """Whether the group does not know this folder's incarnation yet."""
        known = self.members.incarnation(self.config.replica_id)
        return known != self.config.incarnation

    @property
    def may_lead(self) -> bool:
        """Whether this replica is a voter with its present folder."""
        known = self.members.voters.get(self.config.replica_id)
        return known == self.config.incarnation

    def leads(self, now: float) -> bool:
        """Return whether this replica leads under a valid quorum lease."""
        return self.leading.may_decide(now)

    def next_deadline(self) -> float:
        """Return when the next ``Tick`` is due."""
        if self.leadership is not None:
            return self.leadership.next_heartbeat
        return self.voter.deadline

    def snapshot_point(self) -> SnapshotMeta:
        """Return what a snapshot of the applied state is labelled with."""
        term = self.log.term_at(self.applied)
        assert term is not None
        members = self.log.members_at(self.applied)
        return SnapshotMeta(self.applied, term, members)

    # Stepping.

    def step(self, event: Event, now: float) -> list[Action]:
        """Take an event and return the actions that follow from it."""
        if self.stopped:
            return []
        self.now = max(self.now, now)
        self._handle(event)
        if not self.stopped:
            self.voter.on_time()
            self.leading.on_time()
            self._apply_committed()
            self._actions += self.syncs.start(self.log.last_index)
        actions = self._actions
        self._actions = []
        return actions

    def _handle(self, event: Event) -> None:
        match event:
            case Received(sender, message):
                self._receive(sender, message)
            case Tick():
                pass
            case Proposed(entries):
                self.leading.propose(entries)
            case Synced(token):
                for call in self.syncs.finished(token):
                    call()
                self.leading.advance_commit()
            case SyncFailed():
                self._fail()
            case SnapshotSaved(meta):
                self._compact(meta)
            case SnapshotReceived(meta):
                self.follower.on_snapshot_received(meta)
            case TransferRequested():
                self.leading.start_transfer()
            case MemberAdded(name, address):
                self.leading.change_members(self.members.added(name, address))
            case MemberRemoved(name):
                self.leading.change_members(self.members.without(name))

    def _receive(self, sender: str, message: Message) -> None:
        match message:
            case PreVote():
                self.voter.on_pre_vote(sender, message)
            case PreVoteReply():
                self.voter.on_pre_vote_reply(sender, message)
            case Vote():
                self.voter.on_vote(sender, message)
            case Recover():
                self.leading.on_recover(sender, message)
            case TimeoutNow():
                self.voter.on_timeout_now(message)
            case Heartbeat() | AppendEntries() | Chunk():
                self.follower.on_leader_message(sender, message)
            case VoteReply() | HeartbeatReply() | AppendReply() | ChunkReply():
                self._on_reply(sender, message)

    def _on_reply(
        self,
        sender: str,
        message: VoteReply | HeartbeatReply | AppendReply | ChunkReply,
    ) -> None:
        if message.term > self.term:
            self.become_follower(message.term)
        if message.term < self.term:
            return
        if isinstance(message, VoteReply):
            self.voter.on_vote_reply(sender, message)
            return
        self.leading.on_reply(sender, message)

    def _fail(self) -> None:
        """Step down for good: what is durable is unknown after a failure."""
        self.become_follower(self.term)
        self.act(Stop(SYNC_FAILED))
        self.stopped = True

    # Shared by the parts of the core.

    def act(self, action: Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def send(self, to: str, message: Message) -> None:
        """Send a message now."""
        self.act(Send(to, message))

    def send_synced(self, to: str, message: Message) -> None:
        """Send a message once everything that it states is durable."""
        self.after_sync(partial(self.send, to, message))

    def send_in_term(self, to: str, message: Message) -> None:
        """Send a message once the term that it names is durable."""
        if self._term_durable:
            self.send(to, message)
            return
        self.send_synced(to, message)

    def after_sync(self, call: Callable[[], None]) -> None:
        """Call after the next sync, unless the term has changed by then.

        A newer term may have replaced what the sync made durable.
        """
        self.syncs.after_sync(partial(self._if_still, self.term, call))

    def _if_still(self, term: int, call: Callable[[], None]) -> None:
        if term == self.term:
            call()

    def write(self, records: list[Record]) -> None:
        """Write records to the log file."""
        self.act(Write(records))
        self.syncs.written()

    def append(self, entries: list[Entry]) -> None:
        """Append entries to the log and its file."""
        records: list[Record] = []
        for entry in entries:
            records.append(EntryRecord(self.log.append(entry), entry))
        self.write(records)

    def set_vote(self, term: int, voted_for: str) -> None:
        """Enter a term or vote in it, in memory and in the file."""
        self.term = term
        self.voted_for = voted_for
        self.write([VoteRecord(term, voted_for)])
        self._term_durable = False
        self.after_sync(self._note_term_durable)

    def _note_term_durable(self) -> None:
        self._term_durable = True

    def become_follower(self, term: int, leader: str = "") -> None:
        """Follow ``leader`` in ``term``, or nobody yet."""
        changed = self.role != Role.FOLLOWER or term != self.term
        if term > self.term:
            self.set_vote(term, "")
        self.role = Role.FOLLOWER
        self.leader = leader
        if self.leadership is not None:
            self.leadership = None
            self.voter.restart_timer()
        if changed:
            self.act(RoleChanged(self.role, self.term))

    def rewrite_log(self) -> None:
        """Replace the log file by what the log in memory holds."""
        records: list[Record] = [BaseRecord(self.log.base_index, self.log.base_term)]
        records.append(VoteRecord(self.term, self.voted_for))
        for index in range(self.log.base_index + 1, self.log.last_index + 1):
            records.append(EntryRecord(index, self.log.entry(index)))
        self.act(Rewrite(records))
        self.syncs.written()

    def _compact(self, meta: SnapshotMeta) -> None:
        if meta.index <= self.snapshot.index:
            return
        self.snapshot = meta
        config = self.config
        base = self.log.base_before(
            meta.index, config.trailing_entries, config.trailing_bytes
        )
        self.log.compact(base, meta)
        self.rewrite_log()

    def _apply_committed(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            self.act(Apply(self.applied, self.log.entry(self.applied)))
