"""A simulated cluster around a scheduler that checks its invariants."""

from persimmonyard.model import (
    Adjacency,
    ClientAccountSpec,
    Resources,
    Shape,
    UpstreamSpec,
)
from persimmonyard.scheduler import (
    AttemptEnded,
    AttemptPlaced,
    AttemptRunning,
    ClientAccountChanged,
    Job,
    JobRemoved,
    JobWaiting,
    Place,
    Preempt,
    Quarantine,
    Refuse,
    Scheduler,
    UpstreamDown,
    UpstreamLeaving,
    UpstreamUp,
    ZoneChanged,
)
from test.scheduler.oracle import ExhaustiveScheduler

__all__ = ["SimulatedCluster", "make_job", "make_upstream"]


def make_upstream(name, zone="z1", rack="r1", accelerators=4, incarnation="1", slots=8):
    """Return an upstream with four cores and 4,000 MB per accelerator."""
    return UpstreamSpec(
        name,
        incarnation,
        zone,
        rack,
        "127.0.0.1:1",
        accelerators,
        4 * accelerators,
        4_000 * accelerators,
        slots,
    )


def make_job(
    name,
    account="a",
    gang=1,
    accelerators=1,
    adjacency=Adjacency.NONE,
    idempotent=True,
    checkpointable=False,
    **fields,
):
    """Return a job whose members need one core per accelerator, or one."""
    shape = Shape(gang, accelerators, accelerators or 1, 100, adjacency)
    values = {"class_name": "plain", "declared_run_s": 100.0, "submitted_at": 0.0}
    return Job(
        name,
        account,
        shape=shape,
        idempotent=idempotent,
        checkpointable=checkpointable,
        **(values | fields),
    )


class SimulatedCluster:
    """Carries out the scheduler's decisions, and checks each of them.

    A preempted attempt runs until a test calls ``finish_preempted`` or
    ``end``.
    """

    def __init__(self, run_time_estimator=None):
        self.scheduler = Scheduler(run_time_estimator)
        self.now = 1_000.0
        self.spec_by_id = {}
        self.status_by_id = {}
        self.out_of_service_zones = set()
        self.account_by_name = {}
        self.job_by_id = {}
        self.waiting = set()
        # Running attempts: request -> (number, (upstream, incarnation) pairs).
        self.running = {}
        self.attempt_numbers = {}
        self.stopping = {}
        self.refused = {}
        self.quarantined = set()
        self.zone_returned_at = 0.0
        # Requests that may be preempted although they are inside a guarantee,
        # because no layout left them their capacity after a change of the
        # guarantees or the fleet.
        self.movable = set()
        self.log = []

    def observe(self, event):
        """Pass an event to the scheduler."""
        self.scheduler.observe(event, self.now)

    def add(self, spec):
        """Register an upstream, or announce it again."""
        self.spec_by_id[spec.upstream_id] = spec
        self.status_by_id[spec.upstream_id] = "up"
        self.observe(UpstreamUp(spec))
        self.update_movable()

    def lose(self, name):
        """Lose an upstream; the caller ends the attempts on it."""
        self.status_by_id[name] = "lost"
        self.observe(UpstreamDown(name))
        self.update_movable()

    def leave(self, name):
        """Announce that an upstream leaves."""
        self.status_by_id[name] = "leaving"
        self.observe(UpstreamLeaving(name))
        self.update_movable()

    def is_warming_up(self):
        """Return whether a zone returned to service in the last 60 s."""
        return self.now < self.zone_returned_at + 60.0

    def set_zone(self, zone, in_service):
        """Take a zone out of service or put it back."""
        if in_service and zone in self.out_of_service_zones:
            self.zone_returned_at = self.now
        self.out_of_service_zones.discard(zone)
        if not in_service:
            self.out_of_service_zones.add(zone)
        self.observe(ZoneChanged(zone, in_service))
        self.update_movable()

    def set_account(self, name, *guarantee, quota=None):
        """Configure an account; return whether its guarantee is accepted.

        A refused configuration changes nothing.
        """
        spec = ClientAccountSpec(name, guarantee=guarantee, max_accelerators=quota)
        proposed = self.account_by_name | {name: spec}
        if self.scheduler.check_guarantees(list(proposed.values())):
            return False
        self.account_by_name = proposed
        self.observe(ClientAccountChanged(name, spec))
        self.update_movable()
        return True

    def submit(self, job):
        """Submit a job."""
        self.job_by_id[job.request_id] = job
        self.attempt_numbers.setdefault(job.request_id, 0)
        self.waiting.add(job.request_id)
        self.observe(JobWaiting(job))

    def end(self, request_id, outcome="finished", failed_on=()):
        """End a running attempt; the job waits again unless it finished."""
        number, _ = self.running.pop(request_id)
        self.stopping.pop(request_id, None)
        self.observe(AttemptEnded(request_id, number, outcome, 5.0, failed_on))
        if outcome == "finished":
            self.forget(request_id)
            return
        self.waiting.add(request_id)
        self.observe(JobWaiting(self.job_by_id[request_id]))

    def cancel(self, request_id):
        """Cancel a request, whether it runs or waits."""
        if request_id in self.running:
            self.end(request_id)
            return
        self.forget(request_id)

    def forget(self, request_id):
        """Report that a request needs no further placement."""
        self.waiting.discard(request_id)
        self.observe(JobRemoved(request_id))

    def finish_preempted(self):
        """End all attempts that are being preempted."""
        for request_id in list(self.stopping):
            checkpoint = self.stopping[request_id]
            self.end(request_id, "checkpointed" if checkpoint else "stopped")

    def decide(self, step_s=0.0):
        """Advance the time, decide once and carry out the decisions."""
        self.now += step_s
        decisions = self.scheduler.decide(self.now)
        for decision in decisions:
            self.log.append(decision)
            match decision:
                case Place():
                    self._place(decision)
                case Preempt():
                    self._preempt(decision)
                case Quarantine(upstream_id, until, _):
                    self.quarantined.discard(upstream_id)
                    if until > self.now:
                        self.quarantined.add(upstream_id)
                case Refuse(request_id, code, _):
                    self.refused[request_id] = code
                    assert not self.ever_fits(self.job_by_id[request_id].shape)
                    self.forget(request_id)
        self.check_capacity()
        self.check_layout_capacity()
        return decisions

    def decide_repeatedly(self, rounds=12, step_s=1.0):
        """Decide ``rounds`` times; preempted attempts end after each."""
        for _ in range(rounds):
            self.decide(step_s)
            self.finish_preempted()

    def check_no_placeable_job_waits(self):
        """Fail if a preemptible job waits that fits into the free capacity."""
        oracle = self.oracle()
        for request_id in sorted(self.waiting):
            job = self.job_by_id[request_id]
            if not (job.idempotent or job.checkpointable):
                continue
            avoid = job.avoid | self.quarantined
            placement = next(oracle.placements(job.shape, avoid), None)
            assert placement is None, f"{request_id} waits, but fits on {placement}"

    def _place(self, decision):
        request_id = decision.request_id
        job = self.job_by_id[request_id]
        assert request_id in self.waiting, "placed a request that is not waiting"
        assert decision.number == self.attempt_numbers[request_id] + 1, "wrong number"
        assert len(decision.upstream_ids) == job.shape.gang, "gang is incomplete"
        assert job.not_before <= self.now, "placed before not_before"
        pairs = []
        for name in decision.upstream_ids:
            assert self.status_by_id[name] == "up", f"placed on {name}"
            assert self.spec_by_id[name].zone not in self.out_of_service_zones, (
                "zone out of service"
            )
            pairs.append((name, self.spec_by_id[name].incarnation))
        specs = [self.spec_by_id[name] for name in decision.upstream_ids]
        if job.shape.adjacency == Adjacency.RACK:
            assert len({(spec.zone, spec.rack) for spec in specs}) == 1, "two racks"
        if job.shape.adjacency == Adjacency.ZONE:
            assert len({spec.zone for spec in specs}) == 1, "two zones"
        self.waiting.discard(request_id)
        self.attempt_numbers[request_id] = decision.number
        self.running[request_id] = (decision.number, tuple(pairs))
        self.observe(
            AttemptPlaced(
                job, decision.number, decision.upstream_ids, decision.borrowed
            )
        )
        self.observe(AttemptRunning(request_id, decision.number, self.now))

    def _preempt(self, decision):
        request_id = decision.request_id
        assert request_id in self.running, "preempted a request that is not running"
        job = self.job_by_id[request_id]
        assert job.idempotent or job.checkpointable, "preempted a non-preemptible job"
        if decision.for_request != request_id:
            assert request_id in self.movable or not self.is_within_guarantee(
                job.client_account
            ), f"preempted {request_id} inside its guarantee"
        self.stopping[request_id] = decision.checkpoint

    def update_movable(self):
        """Update ``movable`` after guarantees or the fleet changed."""
        within_guarantee = set()
        for name in self.account_by_name:
            if self.is_within_guarantee(name):
                within_guarantee.add(name)
        if not self.guarantees_fit(within_guarantee):
            self.movable.update(self.running)

    def is_within_guarantee(self, account):
        """Return whether all running jobs of an account are guaranteed.

        They are if none of its blocks is at risk and each job can be matched
        with a block of its own with the same shape.
        """
        spec = self.account_by_name.get(account)
        if spec is None:
            return False
        for problem in self.scheduler.guarantees_at_risk():
            if problem.client_account == account:
                return False
        unmatched = list(spec.guarantee)
        for request_id in self.running:
            job = self.job_by_id[request_id]
            if job.client_account != account:
                continue
            if job.shape not in unmatched:
                return False
            unmatched.remove(job.shape)
        return True

    def ever_fits(self, shape):
        """Return whether a shape would fit if all upstreams were idle."""
        oracle = ExhaustiveScheduler(self.spec_by_id.values())
        return any(True for _ in oracle.placements(shape))

    def usable(self):
        """Return the upstreams that accept new tasks."""
        specs = []
        for name, spec in self.spec_by_id.items():
            if (
                self.status_by_id[name] == "up"
                and spec.zone not in self.out_of_service_zones
            ):
                specs.append(spec)
        return specs

    def oracle(self, counts=lambda job: True):
        """Return an exhaustive scheduler occupied by the running jobs.

        ``counts`` selects the jobs that occupy capacity.
        """
        oracle = ExhaustiveScheduler(self.usable())
        for request_id, (_, pairs) in self.running.items():
            job = self.job_by_id[request_id]
            if not counts(job):
                continue
            upstream_ids = []
            for name, incarnation in pairs:
                if name not in oracle.spec_by_id:
                    continue
                if self.spec_by_id[name].incarnation == incarnation:
                    upstream_ids.append(name)
            oracle.occupy(upstream_ids, job.shape)
        return oracle

    def check_capacity(self):
        """Fail if an upstream's capacity or slots are exceeded."""
        oracle = self.oracle()
        for name, free in oracle.free_by_id.items():
            assert min(free) >= 0, f"{name} is over capacity"
            assert oracle.slots_by_id[name] >= 0, f"{name} is over its slots"

    def check_layout_capacity(self):
        """Fail if the layout commits more than the capacity of an upstream.

        A layout with pending blocks is not checked.
        """
        state = self.scheduler._state
        if state.layout.pending:
            return
        for node in state.fleet.node_by_id.values():
            if state.fleet.usable(node):
                assert min(node.uncommitted()) >= 0, f"{node.node_id} is overcommitted"

    def check_guarantees(self):
        """Fail unless all blocks that are not at risk fit.

        The capacity of non-preemptible jobs is kept for them.
        """
        assert self.guarantees_fit(), "guarantees no longer fit"

    def guarantees_fit(self, accounts=()):
        """Return whether some layout fits all blocks that are not at risk.

        The capacity of non-preemptible jobs and of all jobs of ``accounts``
        is kept for them.
        """
        at_risk = set()
        for problem in self.scheduler.guarantees_at_risk():
            at_risk.add((problem.client_account, problem.block))
        blocks = []
        for name, spec in self.account_by_name.items():
            for number, shape in enumerate(spec.guarantee):
                if (name, number) not in at_risk:
                    blocks.append((name, shape))

        def is_immovable(job):
            if job.client_account in accounts:
                return True
            return not (job.idempotent or job.checkpointable)

        return _all_fit(
            self.oracle(is_immovable), self._usage_by_account(is_immovable), blocks, {}
        )

    def _usage_by_account(self, is_immovable):
        """Return the usage of immovable jobs by account and upstream."""
        usage = {}
        for request_id, (_, pairs) in self.running.items():
            job = self.job_by_id[request_id]
            if not is_immovable(job):
                continue
            for name, incarnation in pairs:
                if self.spec_by_id[name].incarnation != incarnation:
                    continue
                key = (job.client_account, name)
                usage_so_far = usage.get(key, (Resources(0, 0, 0), 0))
                usage[key] = (
                    usage_so_far[0].plus(job.shape.member_resources()),
                    usage_so_far[1] + 1,
                )
        return usage


def _all_fit(oracle, usage, blocks, guaranteed):
    """Return whether some layout fits all blocks, by trying each.

    The guaranteed capacity of an account may overlap its own usage.
    """
    if not blocks:
        return True
    account, shape = blocks[0]
    empty = ExhaustiveScheduler(oracle.spec_by_id.values())
    for upstream_ids in empty.placements(shape):
        extended = dict(guaranteed)
        for name in upstream_ids:
            amount, slots = extended.get((account, name), (Resources(0, 0, 0), 0))
            extended[(account, name)] = (
                amount.plus(shape.member_resources()),
                slots + 1,
            )
        if not all(
            _fits_on(oracle, usage, extended, name) for name in set(upstream_ids)
        ):
            continue
        if _all_fit(oracle, usage, blocks[1:], extended):
            return True
    return False


def _fits_on(oracle, usage, guaranteed, name):
    free = oracle.free_by_id[name]
    slots = oracle.slots_by_id[name]
    for (account, upstream_id), (amount, count) in guaranteed.items():
        if upstream_id != name:
            continue
        used, used_slots = usage.get((account, name), (Resources(0, 0, 0), 0))
        for part in range(3):
            extra = max(0, amount[part] - used[part])
            free = free._replace(**{free._fields[part]: free[part] - extra})
        slots -= max(0, count - used_slots)
    return min(free) >= 0 and slots >= 0
