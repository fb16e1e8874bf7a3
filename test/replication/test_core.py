"""Tests of the replication core: stateful fuzzing, and safety rules."""

import unittest
from dataclasses import replace

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from persimmonyard.replication import (
    CoreConfig,
    DurableState,
    MemberChangeError,
    ReplicaCore,
    events,
)
from persimmonyard.replication.messages import (
    AppendEntriesReply,
    Entry,
    EntryKind,
    Members,
    PreVoteReply,
    PreVoteRequest,
    SnapshotMeta,
    VoteReply,
)
from test.replication.cluster import FakeCluster

number = st.integers(0, 7)


# Hypothesis derives the fixed seed of a run from the source text of the class;
# only comments, blank lines and decorators do not count.  A changed name or
# doc string in Faults or FiveFaults replaces all sequences that are tested.
class Faults(RuleBasedStateMachine):
    """Rules that break, heal and use a group of replicas."""

    voters = 3

    @initialize(seed=st.integers(0, 2**32))
    def build(self, seed):
        self.cluster = FakeCluster(self.voters, spares=1, seed=seed)
        self.commands = 0
        self.cluster.run(3.0)

    def node(self, choice):
        nodes = self.cluster.nodes()
        return nodes[choice % len(nodes)]

    @rule(seconds=st.sampled_from([0.003, 0.05, 0.4, 1.5]))
    def run_for(self, seconds):
        self.cluster.run(seconds)

    @rule(count=st.integers(1, 4), seconds=st.sampled_from([0.0, 0.001, 0.004, 0.02]))
    def propose(self, count, seconds):
        for node in self.cluster.leaders():
            for _ in range(count):
                self.commands += 1
                self.cluster.propose(node, b"command-%d" % self.commands)
        self.cluster.run(seconds)

    @rule(count=st.integers(1, 40))
    def run_events(self, count):
        self.cluster.run_events(self.cluster.now + 1.5, count)

    @rule(wait=st.floats(0.2, 1.3), both=st.booleans(), restart=st.booleans())
    def usurp(self, wait, both, restart):
        """Let one replica lose the leader first, and then all others."""
        # The first replica to time out may start an election while the
        # leader's lease is still valid.
        for leader in self.cluster.leaders():
            others = [one for one in self.cluster.nodes() if one is not leader]
            self.cluster.cuts.add((leader.name, others[0].name))
            if both:
                self.cluster.cuts.add((others[0].name, leader.name))
            self.cluster.run(wait)
            for other in others:
                self.cluster.cuts.add((leader.name, other.name))
                self.cluster.cuts.add((other.name, leader.name))
            if restart:
                for other in others[1:]:
                    self.cluster.kill(other)
                    self.cluster.start(other)
            self.cluster.run(0.7)

    @rule(choice=number, kept=st.integers(0, 3))
    def kill(self, choice, kept):
        if self.node(choice).core is not None:
            self.cluster.kill(self.node(choice), kept)

    @rule(kept=st.integers(0, 3))
    def kill_leader(self, kept):
        for node in self.cluster.leaders():
            self.cluster.kill(node, kept)

    @rule(choice=number)
    def restart(self, choice):
        if self.node(choice).core is None:
            self.cluster.start(self.node(choice))

    @rule()
    def restart_all(self):
        for node in self.cluster.nodes():
            if node.core is None:
                self.cluster.start(node)

    @rule(choice=number)
    def lose_disk(self, choice):
        voters = self.cluster.members.voters
        lost = max(0, self.voters - len(voters))
        for name, incarnation in voters.items():
            if self.cluster.node_by_name[name].incarnation != incarnation:
                lost += 1
        if lost < (self.voters - 1) // 2:
            self.cluster.lose_disk(self.node(choice))

    @rule(choice=number)
    def freeze(self, choice):
        self.node(choice).frozen = True

    @rule(seconds=st.sampled_from([0.3, 0.7, 2.5]))
    def freeze_leader(self, seconds):
        for node in self.cluster.leaders():
            node.frozen = True
        self.cluster.run(seconds)

    @rule()
    def thaw(self):
        for node in self.cluster.nodes():
            if node.core is not None:
                self.cluster.thaw(node)

    @rule(one=number, other=number, both=st.booleans())
    def cut(self, one, other, both):
        pair = (self.node(one).name, self.node(other).name)
        self.cluster.cuts.add(pair)
        if both:
            self.cluster.cuts.add(pair[::-1])

    @rule(choice=number, inward=st.booleans(), outward=st.booleans())
    def isolate(self, choice, inward, outward):
        name = self.node(choice).name
        for other in self.cluster.node_by_name:
            if inward:
                self.cluster.cuts.add((other, name))
            if outward:
                self.cluster.cuts.add((name, other))

    @rule()
    def heal(self):
        self.cluster.cuts = set()

    @rule(
        drop=st.sampled_from([0.0, 0.0, 0.1, 0.3]),
        duplicate=st.sampled_from([0.0, 0.2]),
        delay=st.sampled_from([0.002, 0.02, 0.2]),
    )
    def change_network(self, drop, duplicate, delay):
        self.cluster.drop = drop
        self.cluster.duplicate = duplicate
        self.cluster.delay = delay

    @rule(choice=number)
    def snapshot(self, choice):
        if self.node(choice).core is not None:
            self.cluster.snapshot(self.node(choice))

    @rule()
    def transfer(self):
        for node in self.cluster.leaders():
            self.cluster.step(node, events.TransferRequested())

    @precondition(lambda self: len(self.cluster.members.voters) == self.voters)
    @rule()
    def add_member(self):
        for name in self.cluster.node_by_name:
            if self.cluster.members.incarnation(name) is None:
                self.cluster.change_members(events.MemberAdded(name, ""))

    @precondition(lambda self: len(self.cluster.members.voters) > self.voters)
    @rule(choice=number)
    def remove_member(self, choice):
        name = self.node(choice).name
        if name in self.cluster.members.voters:
            self.cluster.change_members(events.MemberRemoved(name))

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.check_acknowledged()
        self.cluster.settle()
        self.cluster.check_acknowledged()


class FiveFaults(Faults):
    voters = 5


class FullDiskFaults(Faults):
    """The same faults, and disks that refuse writes for a while."""

    @rule(choice=number)
    def fill_disk(self, choice):
        self.cluster.fill_disk(self.node(choice))

    @rule()
    def fill_disk_of_leader(self):
        for node in self.cluster.leaders():
            self.cluster.fill_disk(node)

    @rule(choice=number)
    def empty_disk(self, choice):
        self.cluster.empty_disk(self.node(choice))


def fuzz(machine, examples, steps=40, extra_phases=()):
    """Run a fuzzing state machine with a fixed seed."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            phases=(Phase.generate, *extra_phases),
            suppress_health_check=list(HealthCheck),
        ),
    )


class SafetyRuleTests(unittest.TestCase):
    """Safety rules whose violation needs more steps than the fuzzing runs."""

    MEMBERS = Members({"a": "0", "b": "0", "c": "0"})

    CONFIG = CoreConfig(
        "a", "0", heartbeat_s=0.15, election_min_s=0.6, election_max_s=1.2, lease_s=0.5
    )

    def elected_core(self, entries):
        """Return a core that was just elected leader in term 3."""
        durable = DurableState(term=2, entries=entries)
        durable.snapshot = SnapshotMeta(0, 0, self.MEMBERS)
        core = ReplicaCore(self.CONFIG, durable, 0.0)
        for event in (
            events.Tick(),
            events.Received("b", PreVoteReply(3, True, "0", 2)),
            events.Synced(1),
            events.Received("b", VoteReply(3, True, "0")),
            events.Synced(2),
        ):
            core.step(event, 1.3)
        self.assertEqual(core.role, events.Role.LEADER)
        return core

    def acknowledge(self, core, match, now=1.3):
        """Acknowledge entries up to ``match``; return the applied indexes."""
        message = AppendEntriesReply(3, True, match, now, "0")
        applied = []
        for action in core.step(events.Received("b", message), now):
            if isinstance(action, events.Apply):
                applied.append(action.index)
        return applied

    def grants_pre_vote(self, core, now):
        """Return whether a core grants a pre-vote to another replica."""
        log = core.log
        message = PreVoteRequest(9, log.last_index, log.last_term)
        for action in core.step(events.Received("b", message), now):
            if isinstance(action, events.Send):
                return action.message.granted
        return None

    def test_lease_confirmed_before_a_restart_is_waited_out_once(self):
        """Guards against a vote after a restart during a valid lease.

        The replica may have extended the lease just before it restarted.  It
        refuses votes for one election timeout from the start of the process,
        so that a slow start does not prolong the wait.
        """
        durable = DurableState(term=2)
        durable.snapshot = SnapshotMeta(0, 0, self.MEMBERS)
        core = ReplicaCore(self.CONFIG, durable, 10.0)
        self.assertFalse(self.grants_pre_vote(core, 10.3))
        self.assertTrue(self.grants_pre_vote(core, 10.7))
        config = replace(self.CONFIG, began_at=9.5)
        core = ReplicaCore(config, durable, 10.0)
        self.assertFalse(self.grants_pre_vote(core, 10.05))
        self.assertTrue(self.grants_pre_vote(core, 10.15))
        # A clock that went back must not shorten the wait.
        core = ReplicaCore(replace(self.CONFIG, began_at=99.0), durable, 10.0)
        self.assertFalse(self.grants_pre_vote(core, 10.3))

    def test_entry_of_an_earlier_term_waits_for_one_of_this_term(self):
        """Guards against a committed entry that a later leader replaces.

        An entry of an earlier term may be replaced even if it is on a quorum.
        It is committed only with an entry of the current term.
        """
        core = self.elected_core([Entry(1, EntryKind.COMMAND, b"old")])
        self.assertEqual(self.acknowledge(core, 1), [])
        self.assertEqual(self.acknowledge(core, 2), [1, 2])

    def test_membership_changes_wait_for_the_no_op_and_for_each_other(self):
        """Guards against two quorums that do not overlap.

        They are possible if a second change is appended before the first, or
        before an entry of the leader's term, is committed.
        """
        core = self.elected_core([])
        with self.assertRaises(MemberChangeError):
            core.step(events.MemberAdded("d", ""), 1.3)
        self.acknowledge(core, 1)
        core.step(events.MemberAdded("d", ""), 1.3)
        with self.assertRaises(MemberChangeError):
            core.step(events.MemberRemoved("c"), 1.3)

    def test_leader_serves_nothing_during_a_transfer(self):
        """Guards against stale reads from a leader that transfers leadership.

        Its successor is elected without waiting for the lease to expire.
        """
        core = self.elected_core([])
        self.acknowledge(core, 1)
        self.assertTrue(core.is_leader(1.3))
        core.step(events.Proposed([b"unsynced"]), 1.3)
        core.step(events.TransferRequested(), 1.3)
        self.assertFalse(core.is_leader(1.3))
        self.assertEqual(core.role, events.Role.LEADER)

    def test_split_vote_is_repeated_before_an_election_timeout(self):
        """Guards against two election timeouts without a leader.

        Two of four replicas campaign at the same moment, and each votes for
        itself.
        """
        durable = DurableState(snapshot=SnapshotMeta(0, 0, self.MEMBERS))
        core = ReplicaCore(self.CONFIG, durable, 0.0)
        now = core.next_deadline()
        core.step(events.Tick(), now)
        core.step(events.Received("b", PreVoteReply(1, True, "0", 0)), now)
        self.assertEqual(events.Role.CANDIDATE, core.role)
        core.step(events.Synced(1), now)
        core.step(events.Received("b", VoteReply(1, False, "0")), now)
        self.assertLess(core.next_deadline(), now + self.CONFIG.election_min_s)

    def test_replica_refuses_votes_after_its_start(self):
        """Guards against two leaders after a replica restarts.

        The replica may have extended a lease just before the restart.
        """
        durable = DurableState(snapshot=SnapshotMeta(0, 0, self.MEMBERS))
        core = ReplicaCore(self.CONFIG, durable, 5.0)
        early = core.step(events.Received("b", PreVoteRequest(1, 0, 0)), 5.5)
        late = core.step(events.Received("b", PreVoteRequest(1, 0, 0)), 5.61)
        granted = [actions[0].message.granted for actions in (early, late)]
        self.assertEqual(granted, [False, True])


class FuzzTests(unittest.TestCase):
    def test_three_replicas_keep_what_they_acknowledged(self):
        """Guards against acknowledged commands that faults lose or change."""
        fuzz(Faults, 250)

    def test_replicas_with_full_disks_keep_what_they_acknowledged(self):
        """The same for replicas whose disks refuse writes in between."""
        fuzz(FullDiskFaults, 120)

    def test_five_replicas_keep_what_they_acknowledged(self):
        """The same for five replicas, of which two may fail at once."""
        fuzz(FiveFaults, 120)
