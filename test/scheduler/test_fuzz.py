"""Stateful fuzzing of the scheduler with the checks of ``cluster``."""

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
from test.scheduler.cluster import SimulatedCluster, make_job, make_upstream

NAMES = ("u1", "u2", "u3", "u4")
ZONES = {"u1": "z1", "u2": "z1", "u3": "z1", "u4": "z2"}
RACKS = {"u1": "r1", "u2": "r1", "u3": "r2", "u4": "r1"}
ACCOUNTS = st.sampled_from(("a", "b", "c"))
ADJACENCIES = st.sampled_from(tuple(Adjacency))
BLOCK_SHAPES = st.builds(
    lambda gang, size, adjacency: Shape(gang, size, size, 100, adjacency),
    st.integers(1, 2),
    st.integers(1, 4),
    ADJACENCIES,
)


class SchedulerMachine(RuleBasedStateMachine):
    """Send events in any order, alone, in groups and repeated."""

    @initialize(sizes=st.lists(st.integers(2, 4), min_size=4, max_size=4))
    def set_up(self, sizes):
        """Register four upstreams in two zones."""
        self.cluster = SimulatedCluster()
        self.job_count = 0
        self.start_count = 1
        self.sizes = dict(zip(NAMES, sizes, strict=True))
        for name in NAMES:
            self.cluster.add(self.spec(name))

    def spec(self, name):
        """Return what an upstream announces after its latest start."""
        return make_upstream(
            name, ZONES[name], RACKS[name], self.sizes[name], str(self.start_count), 4
        )

    @rule(account=ACCOUNTS, blocks=st.lists(BLOCK_SHAPES, max_size=2))
    def change_guarantee(self, account, blocks):
        """Propose a new guarantee for an account."""
        self.cluster.set_account(account, *blocks)

    @rule(
        account=ACCOUNTS,
        count=st.integers(1, 5),
        gang=st.integers(1, 3),
        size=st.integers(0, 4),
        adjacency=ADJACENCIES,
        kind=st.sampled_from(((True, False), (False, True), (False, False))),
        work_class=st.sampled_from(("plain", "quick")),
    )
    def burst(self, account, count, gang, size, adjacency, kind, work_class):
        """Submit several equal jobs, large or small."""
        for _ in range(count):
            self.submit(account, gang, size, adjacency, kind, work_class)

    def submit(self, account, gang, size, adjacency, kind, work_class="plain"):
        """Submit one job under a new name."""
        self.job_count += 1
        job = make_job(
            f"r{self.job_count}",
            account,
            gang,
            size,
            adjacency,
            *kind,
            class_name=work_class,
            submitted_at=self.cluster.now,
        )
        self.cluster.submit(job)
        return job

    @rule(step_s=st.sampled_from((0.0, 0.1, 1.0, 30.0)))
    def decide(self, step_s):
        """Let time pass, then decide."""
        self.cluster.decide(step_s)

    @rule()
    def end_preempted(self):
        """End the preempted attempts."""
        self.cluster.finish_preempted()

    @precondition(lambda self: self.cluster.running)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(("finished", "never_began", "failed", "lost")),
        twice=st.booleans(),
    )
    def end_attempt(self, data, outcome, twice):
        """End an attempt, and perhaps repeat the event."""
        request_id = data.draw(st.sampled_from(sorted(self.cluster.running)))
        number, pairs = self.cluster.running[request_id]
        failed_on = (pairs[0][0],) if outcome == "failed" else ()
        self.cluster.end(request_id, outcome, failed_on)
        if twice:
            self.cluster.observe(
                AttemptEnded(request_id, number, outcome, 5.0, failed_on)
            )

    @precondition(lambda self: self.cluster.running or self.cluster.waiting)
    @rule(data=st.data())
    def cancel_several(self, data):
        """Cancel several requests at once."""
        candidates = sorted(self.cluster.waiting | set(self.cluster.running))
        for request_id in data.draw(st.sets(st.sampled_from(candidates), max_size=6)):
            self.cluster.cancel(request_id)
            self.cluster.observe(JobRemoved(request_id))

    @precondition(lambda self: self.cluster.running)
    @rule(data=st.data())
    def repeat_waiting(self, data):
        """Report a running request as waiting, as a late event would."""
        request_id = data.draw(st.sampled_from(sorted(self.cluster.running)))
        self.cluster.observe(JobWaiting(self.cluster.job_by_id[request_id]))

    @rule(name=st.sampled_from(NAMES), restart=st.booleans())
    def upstream_returns(self, name, restart):
        """Announce an upstream twice, perhaps after a restart."""
        if restart:
            self.start_count += 1
            for request_id, (_, pairs) in list(self.cluster.running.items()):
                if name in [pair[0] for pair in pairs]:
                    self.cluster.stopping.setdefault(request_id, False)
        spec = self.spec(name)
        if not restart:
            spec = self.cluster.spec_by_id[name]
        self.cluster.add(spec)
        self.cluster.observe(UpstreamUp(spec))

    @rule(name=st.sampled_from(NAMES))
    def upstream_lost(self, name):
        """Lose an upstream; its attempts end later."""
        self.cluster.lose(name)
        for request_id, (_, pairs) in list(self.cluster.running.items()):
            if name in [pair[0] for pair in pairs]:
                self.cluster.stopping.setdefault(request_id, False)

    @rule(name=st.sampled_from(NAMES))
    def upstream_leaves(self, name):
        """Announce that an upstream leaves."""
        if self.cluster.status_by_id[name] == "up":
            self.cluster.leave(name)

    @rule(zone=st.sampled_from(("z1", "z2")), in_service=st.booleans())
    def change_zone(self, zone, in_service):
        """Take a zone out of service or put it back, and repeat the event."""
        self.cluster.set_zone(zone, in_service)
        self.cluster.observe(ZoneChanged(zone, in_service))

    @rule()
    def converge(self):
        """Decide until nothing changes; then no job that fits may wait."""
        previous = None
        for _ in range(200):
            self.cluster.decide(1.0)
            self.cluster.finish_preempted()
            current = (sorted(self.cluster.running.items()), len(self.cluster.log))
            wakeup = self.cluster.scheduler.next_wakeup()
            due = wakeup is not None and wakeup <= self.cluster.now
            if current == previous and not due and not self.cluster.is_warming_up():
                break
            previous = current
        self.cluster.check_no_placeable_job_waits()

    @precondition(lambda self: self.blocks_of_idle_accounts())
    @rule(data=st.data())
    def reclaim(self, data):
        """Reclaim a block for an idle account in at most 20 calls."""
        account, shape = data.draw(st.sampled_from(self.blocks_of_idle_accounts()))
        job = self.submit(
            account, shape.gang, shape.accelerators, shape.adjacency, (True, False)
        )
        # Placements in a zone in warm-up may be delayed by a few seconds.
        for _ in range(20):
            self.cluster.decide(1.0)
            self.cluster.finish_preempted()
            if job.request_id in self.cluster.running:
                return
        raise AssertionError(f"{account} could not reclaim {shape}")

    def blocks_of_idle_accounts(self):
        """Return the blocks of accounts without requests or risks."""
        cluster = self.cluster
        active_accounts = set()
        for request_id in cluster.waiting | set(cluster.running):
            active_accounts.add(cluster.job_by_id[request_id].client_account)
        at_risk = {
            problem.client_account for problem in cluster.scheduler.guarantees_at_risk()
        }
        blocks = []
        for name, spec in sorted(cluster.account_by_name.items()):
            if name not in active_accounts and name not in at_risk:
                blocks += [(name, shape) for shape in spec.guarantee]
        return blocks

    @invariant()
    def guarantees_hold(self):
        """Check that all guarantees not at risk still fit."""
        if hasattr(self, "cluster"):
            self.cluster.check_guarantees()
            for request_id in self.cluster.waiting:
                self.cluster.scheduler.waiting_reason(request_id)


SchedulerTests = SchedulerMachine.TestCase
SchedulerTests.settings = settings(
    max_examples=250,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
