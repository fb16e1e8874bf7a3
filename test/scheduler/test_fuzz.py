"""Stateful fuzzing of the scheduler against the oracle of ``world``."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from persimmonyard.model import Adjacency, Shape
from persimmonyard.scheduler import (
    AttemptEnded,
    JobRemoved,
    JobWaiting,
    UpstreamUp,
    ZoneChanged,
)
from test.scheduler.world import World, job_of, upstream

NAMES = ("u1", "u2", "u3", "u4")
ZONES = {"u1": "z1", "u2": "z1", "u3": "z1", "u4": "z2"}
RACKS = {"u1": "r1", "u2": "r1", "u3": "r2", "u4": "r1"}
ACCOUNTS = st.sampled_from(("a", "b", "c"))
ADJACENCY = st.sampled_from(tuple(Adjacency))
BLOCKS = st.builds(
    lambda gang, size, adjacency: Shape(gang, size, size, 100, adjacency),
    st.integers(1, 2),
    st.integers(1, 4),
    ADJACENCY,
)


class SchedulerMachine(RuleBasedStateMachine):
    """Every event in any order, singly, together and twice."""

    @initialize(sizes=st.lists(st.integers(2, 4), min_size=4, max_size=4))
    def start(self, sizes):
        """Begin with four upstreams in two zones."""
        self.world = World()
        self.count = 0
        self.starts = 1
        self.sizes = dict(zip(NAMES, sizes, strict=True))
        for name in NAMES:
            self.world.add(self.spec(name))

    def spec(self, name):
        """Return what an upstream announces after its latest start."""
        return upstream(
            name, ZONES[name], RACKS[name], self.sizes[name], str(self.starts), 4
        )

    @rule(account=ACCOUNTS, blocks=st.lists(BLOCKS, max_size=2))
    def change_guarantee(self, account, blocks):
        """Propose another guarantee for an account."""
        self.world.set_account(account, *blocks)

    @rule(
        account=ACCOUNTS,
        count=st.integers(1, 5),
        gang=st.integers(1, 3),
        size=st.integers(0, 4),
        adjacency=ADJACENCY,
        kind=st.sampled_from(((True, False), (False, True), (False, False))),
        work_class=st.sampled_from(("plain", "quick")),
    )
    def burst(self, account, count, gang, size, adjacency, kind, work_class):
        """Submit a burst of equal jobs, large or small."""
        for _ in range(count):
            self.submit(account, gang, size, adjacency, kind, work_class)

    def submit(self, account, gang, size, adjacency, kind, work_class="plain"):
        """Submit one job under the next name."""
        self.count += 1
        job = job_of(
            f"r{self.count}",
            account,
            gang,
            size,
            adjacency,
            *kind,
            class_name=work_class,
            submitted_at=self.world.now,
        )
        self.world.submit(job)
        return job

    @rule(step_s=st.sampled_from((0.0, 0.1, 1.0, 30.0)))
    def decide(self, step_s):
        """Decide after some time."""
        self.world.decide(step_s)

    @rule()
    def end_preempted(self):
        """Let the preempted attempts end."""
        self.world.finish_preempted()

    @precondition(lambda self: self.world.running)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(("finished", "never_began", "failed", "lost")),
        twice=st.booleans(),
    )
    def end_attempt(self, data, outcome, twice):
        """End an attempt; the event may come twice."""
        request_id = data.draw(st.sampled_from(sorted(self.world.running)))
        number, pairs = self.world.running[request_id]
        failed_on = (pairs[0][0],) if outcome == "failed" else ()
        self.world.end(request_id, outcome, failed_on)
        if twice:
            self.world.tell(AttemptEnded(request_id, number, outcome, 5.0, failed_on))

    @precondition(lambda self: self.world.running or self.world.waiting)
    @rule(data=st.data())
    def cancel_wave(self, data):
        """Cancel several requests at once."""
        known = sorted(self.world.waiting | set(self.world.running))
        for request_id in data.draw(st.sets(st.sampled_from(known), max_size=6)):
            self.world.cancel(request_id)
            self.world.tell(JobRemoved(request_id))

    @precondition(lambda self: self.world.running)
    @rule(data=st.data())
    def repeat_waiting(self, data):
        """Repeat that a running request waits, as a late event would."""
        request_id = data.draw(st.sampled_from(sorted(self.world.running)))
        self.world.tell(JobWaiting(self.world.job_by_id[request_id]))

    @rule(name=st.sampled_from(NAMES), restart=st.booleans())
    def upstream_returns(self, name, restart):
        """Announce an upstream, perhaps after a restart."""
        if restart:
            self.starts += 1
            for request_id, (_, pairs) in list(self.world.running.items()):
                if name in [pair[0] for pair in pairs]:
                    self.world.stopping.setdefault(request_id, False)
        spec = self.spec(name)
        if not restart:
            spec = self.world.spec_by_id[name]
        self.world.add(spec)
        self.world.tell(UpstreamUp(spec))

    @rule(name=st.sampled_from(NAMES))
    def upstream_lost(self, name):
        """Lose an upstream; its attempts end one by one later."""
        self.world.lose(name)
        for request_id, (_, pairs) in list(self.world.running.items()):
            if name in [pair[0] for pair in pairs]:
                self.world.stopping.setdefault(request_id, False)

    @rule(name=st.sampled_from(NAMES))
    def upstream_leaves(self, name):
        """Let an upstream leave."""
        if self.world.status_by_id[name] == "up":
            self.world.leave(name)

    @rule(zone=st.sampled_from(("z1", "z2")), in_service=st.booleans())
    def change_zone(self, zone, in_service):
        """Take a zone out of service or put it back; tell it twice."""
        self.world.set_zone(zone, in_service)
        self.world.tell(ZoneChanged(zone, in_service))

    @rule()
    def come_to_rest(self):
        """Decide until nothing changes; then no job waits that fits."""
        before = None
        for _ in range(200):
            self.world.decide(1.0)
            self.world.finish_preempted()
            known = (sorted(self.world.running.items()), len(self.world.log))
            wakeup = self.world.scheduler.next_wakeup()
            busy = wakeup is not None and wakeup <= self.world.now
            if known == before and not busy and not self.world.is_warming():
                break
            before = known
        self.world.check_nothing_left()

    @precondition(lambda self: self.idle_blocks())
    @rule(data=st.data())
    def reclaim(self, data):
        """Give an account that uses nothing a whole block in bounded time."""
        account, shape = data.draw(st.sampled_from(self.idle_blocks()))
        job = self.submit(
            account, shape.gang, shape.accelerators, shape.adjacency, (True, False)
        )
        # A zone that is being warmed up may take a few seconds.
        for _ in range(20):
            self.world.decide(1.0)
            self.world.finish_preempted()
            if job.request_id in self.world.running:
                return
        raise AssertionError(f"{account} did not get back {shape}")

    def idle_blocks(self):
        """Return blocks, not at risk, of accounts without any request."""
        world = self.world
        busy = set()
        for request_id in world.waiting | set(world.running):
            busy.add(world.job_by_id[request_id].client_account)
        at_risk = {one.client_account for one in world.scheduler.guarantees_at_risk()}
        blocks = []
        for name, spec in sorted(world.account_by_name.items()):
            if name not in busy and name not in at_risk:
                blocks += [(name, shape) for shape in spec.guarantee]
        return blocks

    @invariant()
    def guarantees_hold(self):
        """Check that all guarantees not at risk can be given."""
        if hasattr(self, "world"):
            self.world.check_guarantees()
            for request_id in self.world.waiting:
                self.world.scheduler.waiting_reason(request_id)


SchedulerTests = SchedulerMachine.TestCase
SchedulerTests.settings = settings(
    max_examples=250,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
