"""The Raft state machine of one replica: deterministic and without I/O."""

import random
from collections.abc import Callable
from functools import partial

from persimmonyard.replication.config import (
    CoreConfig,
    DurableState,
    log_matching_snapshot,
)
from persimmonyard.replication.election import Election
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
    WriteRefused,
)
from persimmonyard.replication.follower import Follower
from persimmonyard.replication.leader import Leader
from persimmonyard.replication.leader_state import LeaderState
from persimmonyard.replication.memory_log import MemoryLog
from persimmonyard.replication.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    Heartbeat,
    HeartbeatReply,
    Members,
    Message,
    PreVoteReply,
    PreVoteRequest,
    RecoveryRequest,
    SnapshotChunk,
    SnapshotChunkReply,
    SnapshotMeta,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from persimmonyard.replication.sync_queue import SyncQueue

__all__ = ["ReplicaCore"]


class ReplicaCore:
    """Raft for one replica: elections, log replication and commit.

    ``step`` takes an event and the time of the replica's own monotonic clock
    in seconds.  It returns actions, which the caller executes in order.
    """

    def __init__(self, config: CoreConfig, durable: DurableState, now: float):
        self.config = config
        self.now = now
        self.random = random.Random(config.seed)
        self.term = durable.term
        self.voted_for = durable.voted_for
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.snapshot = durable.snapshot
        base, entries = log_matching_snapshot(durable)
        self.log = MemoryLog(
            base.index, base.term, durable.snapshot.index, durable.snapshot.members
        )
        for entry in entries:
            self.log.append(entry)
        self.commit = self.snapshot.index
        self.applied = self.snapshot.index
        self.syncs = SyncQueue(self.log.last_index)
        self.leader_state: LeaderState | None = None
        self.stopped = False
        self._term_durable = True
        self._actions: list[Action] = []
        self.election = Election(self)
        self.follower_role = Follower(self)
        self.leader_role = Leader(self)
        if (base, entries) != (durable.base, durable.entries):
            self.rewrite_log()

    @property
    def members(self) -> Members:
        """The newest membership in the log, committed or not."""
        return self.log.members

    @property
    def recovering(self) -> bool:
        """Whether the members lack the current incarnation of this replica."""
        known_incarnation = self.members.incarnation(self.config.replica_id)
        return known_incarnation != self.config.incarnation

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter under its current incarnation."""
        known_incarnation = self.members.voters.get(self.config.replica_id)
        return known_incarnation == self.config.incarnation

    def is_leader(self, now: float) -> bool:
        """Return whether this replica leads and may serve at ``now``.

        See ``Leader.can_serve``.
        """
        return self.leader_role.can_serve(now)

    def next_deadline(self) -> float:
        """Return the time at which the next ``Tick`` is due."""
        if self.leader_state is not None:
            return self.leader_state.next_heartbeat
        return self.election.deadline

    def applied_snapshot_meta(self) -> SnapshotMeta:
        """Return the metadata for a snapshot of the applied state."""
        term = self.log.term_at(self.applied)
        assert term is not None
        members = self.log.members_at(self.applied)
        return SnapshotMeta(self.applied, term, members)

    def step(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the resulting actions."""
        if self.stopped:
            return []
        self.now = max(self.now, now)
        self._handle(event)
        if not self.stopped:
            self.election.on_tick()
            self.leader_role.on_tick()
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
            case Proposed(commands):
                self.leader_role.propose(commands)
            case Synced(token):
                for callback in self.syncs.on_synced(token):
                    callback()
                self.leader_role.advance_commit()
            case SyncFailed():
                self._fail()
            case WriteRefused():
                self._withdraw()
            case SnapshotSaved(meta):
                self._compact(meta)
            case SnapshotReceived(meta):
                self.follower_role.on_snapshot_received(meta)
            case TransferRequested():
                self.leader_role.start_transfer()
            case MemberAdded(name, address):
                self.leader_role.change_members(
                    self.members.with_new_learner(name, address)
                )
            case MemberRemoved(name):
                self.leader_role.change_members(self.members.without(name))

    def _receive(self, sender: str, message: Message) -> None:
        match message:
            case PreVoteRequest():
                self.election.on_pre_vote_request(sender, message)
            case PreVoteReply():
                self.election.on_pre_vote_reply(sender, message)
            case VoteRequest():
                self.election.on_vote_request(sender, message)
            case RecoveryRequest():
                self.leader_role.on_recovery_request(sender, message)
            case TimeoutNow():
                self.election.on_timeout_now(message)
            case Heartbeat() | AppendEntries() | SnapshotChunk():
                self.follower_role.on_leader_message(sender, message)
            case (
                VoteReply()
                | HeartbeatReply()
                | AppendEntriesReply()
                | SnapshotChunkReply()
            ):
                self._on_reply(sender, message)

    def _on_reply(
        self,
        sender: str,
        message: VoteReply | HeartbeatReply | AppendEntriesReply | SnapshotChunkReply,
    ) -> None:
        if message.term > self.term:
            self.become_follower(message.term)
        if message.term < self.term:
            return
        if isinstance(message, VoteReply):
            self.election.on_vote_reply(sender, message)
            return
        self.leader_role.on_reply(sender, message)

    def _fail(self) -> None:
        """Stop for good: after a failed sync it is unknown what is durable."""
        self.become_follower(self.term)
        self.emit(Stop(SYNC_FAILED))
        self.stopped = True

    def _withdraw(self) -> None:
        """Stop, and let another voter lead, because writes are refused.

        Nothing that this replica has acknowledged is lost.  The state in
        memory is ahead of the log file, so a new core is loaded from the file
        once it can be written again.
        """
        self.leader_role.abandon()
        self.become_follower(self.term)
        self.stopped = True

    # The methods below are called by Election, Follower and Leader.

    def emit(self, action: Action) -> None:
        """Add an action to the result of the current step."""
        self._actions.append(action)

    def send(self, to: str, message: Message) -> None:
        """Send a message without waiting for a sync."""
        self.emit(Send(to, message))

    def send_after_sync(self, to: str, message: Message) -> None:
        """Send a message once everything written so far is durable."""
        self.after_sync(partial(self.send, to, message))

    def send_when_term_durable(self, to: str, message: Message) -> None:
        """Send a message once the current term is durable."""
        if self._term_durable:
            self.send(to, message)
            return
        self.send_after_sync(to, message)

    def after_sync(self, callback: Callable[[], None]) -> None:
        """Call back once all writes are synced, if the term is still the same.

        In a newer term, what the sync made durable may have been replaced.
        """
        self.syncs.after_sync(partial(self._call_in_same_term, self.term, callback))

    def _call_in_same_term(self, term: int, callback: Callable[[], None]) -> None:
        if term == self.term:
            callback()

    def write(self, records: list[Record]) -> None:
        """Write records to the log file; the next sync makes them durable."""
        self.emit(Write(records))
        self.syncs.mark_dirty()

    def append(self, entries: list[Entry]) -> None:
        """Append entries to the log in memory and to the log file."""
        records: list[Record] = []
        for entry in entries:
            records.append(EntryRecord(self.log.append(entry), entry))
        self.write(records)

    def set_term_and_vote(self, term: int, voted_for: str) -> None:
        """Set the term and the vote, in memory and in the log file."""
        self.term = term
        self.voted_for = voted_for
        self.write([VoteRecord(term, voted_for)])
        self._term_durable = False
        self.after_sync(self._mark_term_durable)

    def _mark_term_durable(self) -> None:
        self._term_durable = True

    def become_follower(self, term: int, leader_id: str = "") -> None:
        """Become a follower in ``term``; ``leader_id`` is empty if unknown."""
        changed = self.role != Role.FOLLOWER or term != self.term
        if term > self.term:
            self.set_term_and_vote(term, "")
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if self.leader_state is not None:
            self.leader_state = None
            self.election.restart_timer()
        if changed:
            self.emit(RoleChanged(self.role, self.term))

    def rewrite_log(self) -> None:
        """Replace the log file with the contents of the log in memory."""
        records: list[Record] = [BaseRecord(self.log.base_index, self.log.base_term)]
        records.append(VoteRecord(self.term, self.voted_for))
        for index in range(self.log.base_index + 1, self.log.last_index + 1):
            records.append(EntryRecord(index, self.log.entry(index)))
        self.emit(Rewrite(records))
        self.syncs.mark_dirty()

    def _compact(self, meta: SnapshotMeta) -> None:
        if meta.index <= self.snapshot.index:
            return
        self.snapshot = meta
        config = self.config
        base = self.log.compaction_base(
            meta.index, config.trailing_entries, config.trailing_bytes
        )
        self.log.compact(base, meta)
        self.rewrite_log()

    def _apply_committed(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            self.emit(Apply(self.applied, self.log.entry(self.applied)))
