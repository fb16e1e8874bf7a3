"""A simulated group of replica cores with fake clocks, disks and network.

Actions are checked against an oracle: the single sequence of committed
entries with which every replica has to agree.
"""

import heapq
import random

import msgspec

from persimmonyard.replication import events
from persimmonyard.replication.config import CoreConfig, DurableState
from persimmonyard.replication.core import ReplicaCore
from persimmonyard.replication.errors import MemberChangeError
from persimmonyard.replication.messages import (
    AppendEntriesReply,
    EntryKind,
    HeartbeatReply,
    Members,
    SnapshotChunk,
    SnapshotMeta,
    VoteReply,
    VoteRequest,
)
from persimmonyard.replication.storage import durable_state

CHUNK_BYTES = 64


class Node:
    """One simulated replica: its disk, and its core while it runs."""

    def __init__(self, name, incarnation, members, clock_rate):
        self.name = name
        self.clock_rate = clock_rate
        self.wipe(incarnation, members)
        self.core = None
        self.frozen = False
        self.full = False

    def wipe(self, incarnation, members):
        """Empty the disk."""
        self.incarnation = incarnation
        self.records = []
        self.durable = DurableState()
        self.snapshot = (SnapshotMeta(0, 0, members), b"")

    def clock(self, now):
        """Return this replica's clock at the simulated time ``now``."""
        return 100.0 + now * self.clock_rate

    def has_durable_entry(self, index, entry):
        """Return whether the entry would survive a restart."""
        if self.snapshot[0].index >= index:
            return True
        state = self.durable
        position = index - state.base.index - 1
        if position < 0:
            return True
        return position < len(state.entries) and state.entries[position] == entry


class FakeCluster:
    """Simulates a group; ``voters`` is the number of initial voters.

    The clocks of replicas run up to 9.5% fast.  Pairs of names in ``cuts``
    are links from a sender to a receiver that lose every message.
    """

    def __init__(self, voters, spares=0, seed=0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue = []
        self.sequence = 0
        self.cuts = set()
        self.drop = self.duplicate = 0.0
        self.delay = 0.002
        self.election_max_s = self.random.choice([0.65, 0.8, 1.2])
        self.committed = {}
        self.leader_by_term = {}
        self.indexes_by_command = {}
        self.acknowledged = {}
        names = [f"n{number + 1}" for number in range(voters + spares)]
        self.members = Members(dict.fromkeys(names[:voters], "0"))
        self.node_by_name = {}
        for number, name in enumerate(names):
            clock_rate = self.random.choice([1.0, 1.095])
            is_voter = number < voters
            node = Node(
                name,
                "0" if is_voter else self.new_incarnation(),
                self.members if is_voter else Members(),
                clock_rate,
            )
            self.node_by_name[name] = node
        for node in self.nodes():
            self.start(node)

    def nodes(self):
        return list(self.node_by_name.values())

    def new_incarnation(self):
        return f"{self.random.getrandbits(32):08x}"

    def start(self, node):
        """Start a replica from its disk."""
        config = CoreConfig(
            node.name,
            node.incarnation,
            tuple(self.node_by_name),
            heartbeat_s=0.15,
            election_min_s=0.6,
            election_max_s=self.election_max_s,
            lease_s=0.5,
            trailing_entries=2,
            max_batch_bytes=40,
            seed=self.random.getrandbits(32),
        )
        state = durable_state(node.records) if node.records else DurableState()
        state.snapshot = node.snapshot[0]
        node.applied = _decode(node.snapshot[1])
        node.unsynced_changes = []
        node.syncing_changes = None
        node.queued_events = []
        node.proposed = {}
        node.frozen = False
        node.core = ReplicaCore(config, state, node.clock(self.now))
        self.step(node, events.Tick())

    def kill(self, node, kept_changes=0):
        """Kill a replica.

        Of a sync in progress only the first ``kept_changes`` changes survive.
        """
        if node.syncing_changes is not None:
            self.write_changes(node, node.syncing_changes[:kept_changes])
        node.core = None
        node.syncing_changes = None

    def fill_disk(self, node):
        """Let a replica refuse all writes until ``empty_disk``."""
        node.full = True

    def empty_disk(self, node):
        """Let a replica write again; one that was suspended is loaded anew."""
        node.full = False
        if node.core is None:
            self.start(node)

    def lose_disk(self, node):
        """Restart a replica with an empty disk; it has to recover."""
        self.kill(node)
        node.wipe(self.new_incarnation(), Members())
        self.start(node)

    def thaw(self, node):
        """Resume a frozen replica, which first handles its queued events."""
        node.frozen = False
        queued_events, node.queued_events = node.queued_events, []
        for event in queued_events:
            if node.core is not None:
                self.step(node, event)

    def snapshot(self, node):
        """Save a snapshot of the applied state of a replica."""
        meta = node.core.applied_snapshot_meta()
        if meta.index > node.snapshot[0].index:
            node.snapshot = (meta, msgspec.msgpack.encode(node.applied))
            self.step(node, events.SnapshotSaved(meta))

    def change_members(self, event):
        """Submit a membership change; return whether it was accepted."""
        for node in self.leaders():
            if node.core.leader_role.can_change_members():
                try:
                    self.step(node, event)
                except MemberChangeError:
                    return False
                return True
        return False

    def leaders(self):
        """Return the running replicas that hold a leader lease."""
        found = []
        for node in self.nodes():
            if node.core is None or node.frozen:
                continue
            if node.core.is_leader(node.clock(self.now)):
                found.append(node)
        return found

    def propose(self, node, command):
        """Propose a command; each command must be proposed only once."""
        before = node.core.log.last_index
        self.step(node, events.Proposed([command]))
        if node.core is not None and node.core.log.last_index > before:
            node.proposed[before + 1] = (node.core.term, command)

    def run(self, seconds):
        """Advance the simulated time and handle the events due."""
        end = self.now + seconds
        self.run_events(end)
        self.now = end

    def run_events(self, end, limit=1_000_000):
        """Handle events due until ``end``, at most ``limit`` of them."""
        while self.queue and self.queue[0][0] <= end and limit:
            limit -= 1
            self.now, _, node, core, event, syncing_changes = heapq.heappop(self.queue)
            if syncing_changes is not None and node.syncing_changes is syncing_changes:
                self.write_changes(node, syncing_changes)
                node.syncing_changes = None
            if node.core is None or node.core is not core:
                continue
            if node.frozen:
                node.queued_events.append(event)
                continue
            self.step(node, event)

    def schedule(self, delay, node, event, syncing_changes=None):
        self.sequence += 1
        item = (
            self.now + delay,
            self.sequence,
            node,
            node.core,
            event,
            syncing_changes,
        )
        heapq.heappush(self.queue, item)

    def step(self, node, event):
        core = node.core
        if isinstance(event, events.Tick):
            node.tick_at = None
        for action in core.step(event, node.clock(self.now)):
            self.execute(node, action)
        self.check_leases()
        if isinstance(event, events.WriteRefused):
            node.core = None
            if not node.full:
                self.start(node)
            return
        deadline = core.next_deadline()
        if getattr(node, "tick_at", None) is None or deadline < node.tick_at:
            node.tick_at = deadline
            wait = (deadline - node.clock(self.now)) / node.clock_rate
            self.schedule(max(0.0005, wait), node, events.Tick())

    def execute(self, node, action):
        match action:
            case events.Send(to, message):
                self.send(node, to, message)
            case events.Write() | events.Rewrite():
                node.unsynced_changes.append(action)
            case events.Sync(token):
                assert node.syncing_changes is None, "two syncs at once"
                if node.full:
                    self.schedule(self.delay, node, events.WriteRefused())
                    return
                node.syncing_changes, node.unsynced_changes = node.unsynced_changes, []
                delay = self.random.uniform(0.0, 2 * self.delay)
                self.schedule(delay, node, events.Synced(token), node.syncing_changes)
            case events.Apply(index, entry):
                self.apply(node, index, entry)
            case events.SendChunk(to, chunk):
                self.send_chunk(node, to, chunk)
            case events.StoreChunk(chunk):
                self.store_chunk(node, chunk)
            case events.Restore():
                node.applied = _decode(node.snapshot[1])
                self.check_applied_entries(node)
            case events.RoleChanged(events.Role.LEADER, term):
                first_leader = self.leader_by_term.setdefault(term, node.name)
                assert first_leader == node.name, f"two leaders in term {term}"
                self.check_sole_lease(node)

    def send(self, node, to, message):
        self.check_message_is_durable(node, to, message)
        receiver = self.node_by_name[to]
        copies = 1
        if self.random.random() < self.drop:
            copies = 0
        if self.random.random() < self.duplicate:
            copies += 1
        for _ in range(copies):
            if (node.name, to) in self.cuts:
                return
            delay = self.random.uniform(0.0002, self.delay)
            event = events.Received(node.name, message)
            if receiver.core is not None:
                self.schedule(delay, receiver, event)

    def write_changes(self, node, changes):
        for change in changes:
            if isinstance(change, events.Rewrite):
                node.records = []
            node.records = node.records + list(change.records)
        node.durable = durable_state(node.records)

    def send_chunk(self, node, to, chunk):
        meta, data = node.snapshot
        if meta.index != chunk.meta.index:
            return
        part = data[chunk.offset : chunk.offset + CHUNK_BYTES]
        done = chunk.offset + len(part) >= len(data)
        message = SnapshotChunk(
            chunk.term, meta, chunk.offset, chunk.sent_at, part, done
        )
        self.send(node, to, message)

    def store_chunk(self, node, chunk):
        if chunk.offset == 0:
            node.part = b""
        node.part += chunk.data
        if not chunk.done:
            return
        if chunk.meta.index > node.snapshot[0].index:
            node.snapshot = (chunk.meta, node.part)
        self.schedule(0.001, node, events.SnapshotReceived(chunk.meta))

    def apply(self, node, index, entry):
        if index not in self.committed:
            self.check_quorum(node, index, entry)
            assert index == len(self.committed) + 1, f"entry {index} leaves a gap"
            self.committed[index] = entry
            if entry.kind == EntryKind.MEMBERS:
                self.members = msgspec.msgpack.decode(entry.data, type=Members)
            if entry.kind == EntryKind.COMMAND:
                self.indexes_by_command.setdefault(entry.data, []).append(index)
        assert self.committed[index] == entry, f"entry {index} differs"
        if entry.kind == EntryKind.COMMAND:
            node.applied.append((index, entry.data))
        term, command = node.proposed.pop(index, (0, b""))
        if term == entry.term:
            self.acknowledged[command] = index

    def check_quorum(self, node, index, entry):
        """Check that an entry is durable on a quorum when it is committed."""
        if not node.core.leader_state:
            return
        members = node.core.members
        count = lost = 0
        for name, incarnation in members.voters.items():
            voter = self.node_by_name[name]
            # The disk may have been emptied after its replica acknowledged.
            if voter.incarnation != incarnation:
                lost += 1
                continue
            if voter.has_durable_entry(index, entry):
                count += 1
        assert count + lost >= members.quorum(), f"entry {index} is not durable"

    def check_applied_entries(self, node):
        for index, command in node.applied:
            assert self.committed[index].data == command, f"entry {index} differs"

    def check_message_is_durable(self, node, to, message):
        """Check that the state that a message confirms is durable."""
        state = node.durable
        durable_index = max(
            state.base.index + len(state.entries), node.snapshot[0].index
        )
        match message:
            case VoteRequest(term):
                assert (state.term, state.voted_for.partition("#")[0]) == (
                    term,
                    node.name,
                )
            case VoteReply(term, True):
                assert (state.term, state.voted_for.partition("#")[0]) == (term, to), (
                    "vote not durable"
                )
            case AppendEntriesReply(term, True, match):
                assert state.term == term and durable_index >= match, (
                    "entry not durable"
                )
            case HeartbeatReply(term):
                assert state.term == term, "term not durable"

    def check_sole_lease(self, elected):
        """Check that no other replica holds a lease after an election."""
        for node in self.nodes():
            if node is not elected and node.core is not None:
                has_lease = node.core.is_leader(node.clock(self.now))
                assert not has_lease, f"elected under the lease of {node.name}"

    def check_leases(self):
        """Check that a leader under its lease knows every committed entry."""
        for node in self.nodes():
            if node.core is None or not node.core.is_leader(node.clock(self.now)):
                continue
            commit_index = node.core.commit
            assert commit_index >= len(self.committed), (
                f"{node.name} leads with stale reads"
            )

    def check_acknowledged(self):
        """Check that acknowledged commands are committed once, in place."""
        for command, index in self.acknowledged.items():
            assert self.indexes_by_command[command] == [index], command
        for node in self.nodes():
            if node.core is not None:
                self.check_applied_entries(node)

    def all_members_are_voters(self):
        """Return whether all members are voters with their current disks."""
        for name in [*self.members.voters, *self.members.learners]:
            if self.members.voters.get(name) != self.node_by_name[name].incarnation:
                return False
        return True

    def settle(self):
        """End all faults, then check that all voters apply a new command."""
        self.cuts = set()
        self.drop = self.duplicate = 0.0
        self.delay = 0.002
        for node in self.nodes():
            node.full = False
            if node.core is None:
                self.start(node)
            self.thaw(node)
        for _ in range(40):
            self.run(0.5)
            leaders = self.leaders()
            if leaders and self.all_members_are_voters():
                break
        assert leaders, "no leader after all faults ended"
        assert self.all_members_are_voters(), "a replica did not recover"
        self.propose(leaders[0], b"last")
        self.run(3.0)
        assert b"last" in self.acknowledged, "no commit after all faults ended"
        for name in self.members.voters:
            node = self.node_by_name[name]
            assert node.applied[-1][1] == b"last", (
                f"{name} did not apply the last command"
            )


def _decode(data):
    if not data:
        return []
    return msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])
