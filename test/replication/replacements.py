"""A simulated group whose members are replaced, lost, frozen and cut off.

Replicas join and are removed by the rules of control processes; at most
``TOLERATED`` of the instances are lost at a time.
"""

import random
from functools import partial

from persimmonyard.daemon.jobs.member_removal import CHECK_INTERVAL_S, SILENT_AFTER_S
from persimmonyard.replication import events, removable_member
from persimmonyard.replication.errors import MemberChangeError
from persimmonyard.replication.messages import Members
from test.replication.cluster import FakeCluster

TOLERATED = 2
VOTERS = 2 * TOLERATED + 1
SPARES = 14
JOIN_INTERVAL_S = 0.5
LEAVE_INTERVAL_S = 0.1
LEAVE_TIMEOUT_S = 2.2
STEP_S = 0.05
# Time from the start of an instance to that of its process.
BOOT_S = 0.5
# A returned instance counts as lost for this long, in seconds.
CATCH_UP_S = 4.0
# Range of the time from the loss of an instance to the start of its successor,
# and of the time by which a planned successor starts earlier, in seconds.
SUCCESSOR_S = (0.3, 1.5)
PLANNED_S = (0.5, 6.0)
FAULT_S = (0.5, 6.0)


class ReplacementRun:
    """One seeded run."""

    def __init__(self, seed):
        self.cluster = FakeCluster(VOTERS, SPARES, seed)
        self.random = random.Random(seed)
        self.spares = []
        for node in self.cluster.nodes()[VOTERS:]:
            self.cluster.kill(node)
            self.spares.append(node.name)
        # The names of the instances in service, and until when each is lost.
        self.present = [node.name for node in self.cluster.nodes()[:VOTERS]]
        self.lost_until_by_name = {}
        # Actions and the times at which they are due.
        self.scheduled = []
        self.commands = 0
        self.next_removal_at = self.next_join_at = 0.0

    def lost(self):
        """Return the instances that are lost now."""
        now = self.cluster.now
        return [name for name, until in self.lost_until_by_name.items() if until > now]

    def run(self, seconds):
        """Let time pass, with the rules of the control processes."""
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.run(STEP_S)
            due = [item for item in self.scheduled if item[0] <= self.cluster.now]
            self.scheduled = [item for item in self.scheduled if item not in due]
            for _, action in sorted(due, key=lambda item: item[0]):
                action()
            if self.cluster.now >= self.next_removal_at:
                self.next_removal_at = self.cluster.now + CHECK_INTERVAL_S
                self.remove_members()
            if self.cluster.now >= self.next_join_at:
                self.next_join_at = self.cluster.now + JOIN_INTERVAL_S
                self.join()

    def remove_members(self):
        for node in self.cluster.leaders():
            core = node.core
            cutoff = node.clock(self.cluster.now) - SILENT_AFTER_S
            silent = core.leader_state.silent_members(core.members, cutoff)
            name = removable_member(core.members, silent, TOLERATED)
            if name is not None:
                self.change(node, events.MemberRemoved(name))

    def change(self, leader, event):
        try:
            self.cluster.step(leader, event)
        except MemberChangeError:
            return

    def join(self):
        """Let replicas that are no members, or hear no leader, ask to join."""
        for name in self.present:
            node = self.cluster.node_by_name[name]
            if node.core is None or node.frozen or self.is_member(node):
                continue
            for leader in self.cluster.leaders():
                members = leader.core.members
                reachable = (name, leader.name) not in self.cluster.cuts
                if reachable and members.incarnation(name) is None:
                    self.change(leader, events.MemberAdded(name, ""))

    def is_member(self, node):
        core = node.core
        return node.name in core.members.voters and core.leader_id and core.is_voter

    def leave(self, node, deadline):
        """Stop a replica once the group has removed it or keeps it."""
        leaders = [leader for leader in self.cluster.leaders() if leader is not node]
        for leader in leaders:
            if removable_member(leader.core.members, [node.name], TOLERATED) is None:
                self.cluster.kill(node)
                return
            self.change(leader, events.MemberRemoved(node.name))
        if self.cluster.now >= deadline:
            self.cluster.kill(node)
            return
        self.schedule(LEAVE_INTERVAL_S, partial(self.leave, node, deadline))

    def schedule(self, delay, action):
        self.scheduled.append((self.cluster.now + delay, action))

    def lose(self, name, seconds):
        self.lost_until_by_name[name] = self.cluster.now + seconds + CATCH_UP_S

    def start_after(self, delay, name):
        """Start the process of an instance that begins after a delay."""
        self.schedule(delay + BOOT_S, partial(self.start, name))

    def start(self, name):
        node = self.cluster.node_by_name[name]
        if node.core is None:
            self.cluster.start(node)

    def end_cut(self, name):
        self.cluster.cuts = {cut for cut in self.cluster.cuts if name not in cut}

    def terminate(self, node):
        if node.core.leader_state is not None:
            self.cluster.step(node, events.TransferRequested())
        self.leave(node, self.cluster.now + LEAVE_TIMEOUT_S)

    def draw_victim(self):
        """Return an instance in service that is not lost; often the leader."""
        lost = self.lost()
        sound = [name for name in self.present if name not in lost]
        leaders = [node.name for node in self.cluster.leaders() if node.name in sound]
        if leaders and self.random.random() < 0.35:
            return leaders[0]
        return self.random.choice(sound)

    def draw_event(self):
        """Let something happen that the group has to tolerate."""
        if len(self.lost()) >= TOLERATED:
            return
        name = self.draw_victim()
        fault = self.random.choice(
            (
                self.replace,
                self.replace,
                self.replace,
                self.replace_planned,
                self.replace_planned,
                self.freeze,
                self.cut,
                self.wipe,
                self.restart,
            )
        )
        fault(name, self.cluster.node_by_name[name])

    def successor(self, name):
        """Put a new instance in the place of one that is gone for good."""
        successor = self.spares.pop(0)
        self.present[self.present.index(name)] = successor
        return successor

    def replace(self, name, node):
        if not self.spares:
            return
        self.cluster.kill(node)
        delay = self.random.uniform(*SUCCESSOR_S)
        successor = self.successor(name)
        self.start_after(delay, successor)
        self.lose(successor, delay)

    def replace_planned(self, name, node):
        if not self.spares:
            return
        lead = self.random.uniform(*PLANNED_S)
        successor = self.successor(name)
        self.start_after(0.0, successor)
        self.schedule(lead, partial(self.terminate, node))
        # Until its stop the old instance serves in place of its successor.
        self.lost_until_by_name[successor] = self.cluster.now + max(CATCH_UP_S, lead)

    def freeze(self, name, node):
        seconds = self.random.uniform(*FAULT_S)
        node.frozen = True
        self.schedule(seconds, partial(self.cluster.thaw, node))
        self.lose(name, seconds)

    def cut(self, name, node):
        seconds = self.random.uniform(*FAULT_S)
        for other in self.cluster.node_by_name:
            self.cluster.cuts |= {(name, other), (other, name)}
        self.schedule(seconds, partial(self.end_cut, name))
        self.lose(name, seconds)

    def wipe(self, name, node):
        self.cluster.kill(node)
        node.wipe(self.cluster.new_incarnation(), Members())
        self.start_after(1.0, name)
        self.lose(name, 1.0)

    def restart(self, name, node):
        self.cluster.kill(node)
        self.start_after(0.0, name)
        self.lose(name, 0.0)

    def propose(self):
        for node in self.cluster.leaders():
            self.commands += 1
            self.cluster.propose(node, b"%d" % self.commands)

    def play(self, seconds):
        """Play a day of faults; return once none is left to be tolerated."""
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            if self.random.random() < 0.5:
                self.draw_event()
            if self.random.random() < 0.3:
                self.draw_event()
            self.propose()
            self.run(self.random.uniform(0.1, 2.5))
        while self.lost():
            self.run(STEP_S)

    def lose_disks(self):
        """Wipe as many disks as are tolerated; return how the group does.

        The result is "" if a later command is committed, and nothing that
        was acknowledged is lost.
        """
        self.propose()
        self.run(self.random.uniform(0.005, 0.4))
        for name in self.random.sample(self.present, TOLERATED):
            self.wipe(name, self.cluster.node_by_name[name])
        self.cluster.check_acknowledged()
        for _ in range(60):
            self.run(0.2)
            self.propose()
            last = b"%d" % self.commands
            if self.cluster.leaders() and last in self.cluster.acknowledged:
                break
        self.run(1.0)
        self.cluster.check_acknowledged()
        if not self.cluster.leaders():
            return "no leader"
        return "" if last in self.cluster.acknowledged else "nothing committed"
