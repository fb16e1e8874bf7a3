"""A small world around a scheduler, with an oracle of its invariants."""

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
from test.scheduler.naive import NaiveScheduler

__all__ = ["World", "job_of", "upstream"]


def upstream(name, zone="z1", rack="r1", accelerators=4, incarnation="1", slots=8):
    """Return an upstream with four cores and 4,000 MB an accelerator."""
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


def job_of(
    name,
    account="a",
    gang=1,
    accelerators=1,
    adjacency=Adjacency.NONE,
    idempotent=True,
    checkpointable=False,
    **fields,
):
    """Return a job whose members need a core an accelerator."""
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


class World:
    """Carry out decisions as a faithful controller, and check each of them."""

    def __init__(self, run_time_estimator=None):
        self.scheduler = Scheduler(run_time_estimator)
        self.now = 1_000.0
        self.spec_by_id = {}
        self.status_by_id = {}
        self.closed = set()
        self.account_by_name = {}
        self.job_by_id = {}
        self.waiting = set()
        # Running attempts: request -> (number, (upstream, incarnation) pairs).
        self.running = {}
        self.numbers = {}
        self.stopping = {}
        self.refused = {}
        self.quarantined = set()
        self.opened_at = 0.0
        # Requests inside a guarantee around which no layout was left after
        # the guarantees or the fleet had changed.
        self.disturbed = set()
        self.log = []

    def tell(self, event):
        """Let the scheduler observe an event."""
        self.scheduler.observe(event, self.now)

    def add(self, spec):
        """Register an upstream, or let it return."""
        self.spec_by_id[spec.upstream_id] = spec
        self.status_by_id[spec.upstream_id] = "up"
        self.tell(UpstreamUp(spec))
        self.note_disturbed()

    def lose(self, name):
        """Lose an upstream; the attempts on it end."""
        self.status_by_id[name] = "lost"
        self.tell(UpstreamDown(name))
        self.note_disturbed()

    def leave(self, name):
        """Let an upstream announce that it leaves."""
        self.status_by_id[name] = "leaving"
        self.tell(UpstreamLeaving(name))
        self.note_disturbed()

    def is_warming(self):
        """Return whether a zone was put back less than a minute ago."""
        return self.now < self.opened_at + 60.0

    def set_zone(self, zone, in_service):
        """Take a zone out of service or put it back."""
        if in_service and zone in self.closed:
            self.opened_at = self.now
        self.closed.discard(zone)
        if not in_service:
            self.closed.add(zone)
        self.tell(ZoneChanged(zone, in_service))
        self.note_disturbed()

    def set_account(self, name, *guarantee, quota=None):
        """Set an account if its guarantee is accepted; return whether."""
        spec = ClientAccountSpec(name, guarantee=guarantee, max_accelerators=quota)
        proposed = self.account_by_name | {name: spec}
        if self.scheduler.check_guarantees(list(proposed.values())):
            return False
        self.account_by_name = proposed
        self.tell(ClientAccountChanged(name, spec))
        self.note_disturbed()
        return True

    def submit(self, job):
        """Submit a job."""
        self.job_by_id[job.request_id] = job
        self.numbers.setdefault(job.request_id, 0)
        self.waiting.add(job.request_id)
        self.tell(JobWaiting(job))

    def end(self, request_id, outcome="finished", failed_on=()):
        """End a running attempt; other outcomes than success wait again."""
        number, _ = self.running.pop(request_id)
        self.stopping.pop(request_id, None)
        self.tell(AttemptEnded(request_id, number, outcome, 5.0, failed_on))
        if outcome == "finished":
            self.forget(request_id)
            return
        self.waiting.add(request_id)
        self.tell(JobWaiting(self.job_by_id[request_id]))

    def cancel(self, request_id):
        """Cancel a request wherever it is."""
        if request_id in self.running:
            self.end(request_id)
            return
        self.forget(request_id)

    def forget(self, request_id):
        """Tell that a request needs nothing more."""
        self.waiting.discard(request_id)
        self.tell(JobRemoved(request_id))

    def finish_preempted(self):
        """End every attempt that was preempted."""
        for request_id in list(self.stopping):
            checkpoint = self.stopping[request_id]
            self.end(request_id, "checkpointed" if checkpoint else "stopped")

    def decide(self, step_s=0.0):
        """Advance the time, decide once and carry the decisions out."""
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
        self.check_witness()
        return decisions

    def settle(self, rounds=12, step_s=1.0):
        """Decide until nothing changes, ending what is preempted."""
        for _ in range(rounds):
            self.decide(step_s)
            self.finish_preempted()

    def check_nothing_left(self):
        """Fail if a job that fits into what is free still waits."""
        naive = self.naive()
        for request_id in sorted(self.waiting):
            job = self.job_by_id[request_id]
            if not (job.idempotent or job.checkpointable):
                continue
            avoid = job.avoid | self.quarantined
            where = next(naive.placements(job.shape, avoid), None)
            assert where is None, f"{request_id} waits, but fits on {where}"

    def _place(self, decision):
        request_id = decision.request_id
        job = self.job_by_id[request_id]
        assert request_id in self.waiting, "placed a request that does not wait"
        assert decision.number == self.numbers[request_id] + 1, "wrong number"
        assert len(decision.upstream_ids) == job.shape.gang, "gang is not whole"
        assert job.not_before <= self.now, "placed before its time"
        pairs = []
        for name in decision.upstream_ids:
            assert self.status_by_id[name] == "up", f"placed on {name}"
            assert self.spec_by_id[name].zone not in self.closed, "closed zone"
            pairs.append((name, self.spec_by_id[name].incarnation))
        specs = [self.spec_by_id[name] for name in decision.upstream_ids]
        if job.shape.adjacency == Adjacency.RACK:
            assert len({(spec.zone, spec.rack) for spec in specs}) == 1, "two racks"
        if job.shape.adjacency == Adjacency.ZONE:
            assert len({spec.zone for spec in specs}) == 1, "two zones"
        self.waiting.discard(request_id)
        self.numbers[request_id] = decision.number
        self.running[request_id] = (decision.number, tuple(pairs))
        self.tell(
            AttemptPlaced(
                job, decision.number, decision.upstream_ids, decision.borrowed
            )
        )
        self.tell(AttemptRunning(request_id, decision.number, self.now))

    def _preempt(self, decision):
        request_id = decision.request_id
        assert request_id in self.running, "preempted what does not run"
        job = self.job_by_id[request_id]
        assert job.idempotent or job.checkpointable, "preempted unstoppable work"
        if decision.for_request != request_id:
            assert request_id in self.disturbed or not self.is_within_guarantee(
                job.client_account
            ), f"preempted {request_id} inside its guarantee"
        self.stopping[request_id] = decision.checkpoint

    def note_disturbed(self):
        """Note which work may move after guarantees or the fleet changed."""
        inside = set()
        for name in self.account_by_name:
            if self.is_within_guarantee(name):
                inside.add(name)
        if not self.guarantees_fit(inside):
            self.disturbed.update(self.running)

    def is_within_guarantee(self, account):
        """Return whether all work of an account matches blocks one to one."""
        spec = self.account_by_name.get(account)
        if spec is None:
            return False
        for problem in self.scheduler.guarantees_at_risk():
            if problem.client_account == account:
                return False
        left = list(spec.guarantee)
        for request_id in self.running:
            job = self.job_by_id[request_id]
            if job.client_account != account:
                continue
            if job.shape not in left:
                return False
            left.remove(job.shape)
        return True

    def ever_fits(self, shape):
        """Return whether the registered fleet, if empty, holds a shape."""
        naive = NaiveScheduler(self.spec_by_id.values())
        return any(True for _ in naive.placements(shape))

    def usable(self):
        """Return the upstreams that take new work."""
        specs = []
        for name, spec in self.spec_by_id.items():
            if self.status_by_id[name] == "up" and spec.zone not in self.closed:
                specs.append(spec)
        return specs

    def naive(self, only=lambda job: True):
        """Return a naive scheduler with the running work that counts."""
        naive = NaiveScheduler(self.usable())
        for request_id, (_, pairs) in self.running.items():
            job = self.job_by_id[request_id]
            if not only(job):
                continue
            names = []
            for name, incarnation in pairs:
                if name not in naive.spec_by_id:
                    continue
                if self.spec_by_id[name].incarnation == incarnation:
                    names.append(name)
            naive.occupy(names, job.shape)
        return naive

    def check_capacity(self):
        """Fail if any upstream holds more than its capacity or slots."""
        naive = self.naive()
        for name, free in naive.free_by_id.items():
            assert min(free) >= 0, f"{name} is over capacity"
            assert naive.slots_by_id[name] >= 0, f"{name} is over its slots"

    def check_witness(self):
        """Fail if the settled layout needs more than an upstream has."""
        books = self.scheduler._books
        if books.layout.pending:
            return
        for node in books.fleet.node_by_id.values():
            if books.fleet.usable(node):
                assert min(node.open()) >= 0, f"{node.node_id} is promised twice"

    def check_guarantees(self):
        """Fail unless all blocks not at risk fit around unstoppable work."""
        assert self.guarantees_fit(), "guarantees no longer fit"

    def guarantees_fit(self, accounts=()):
        """Return whether some layout holds all blocks that are not at risk.

        It stands around unstoppable work and all work of ``accounts``.
        """
        at_risk = set()
        for problem in self.scheduler.guarantees_at_risk():
            at_risk.add((problem.client_account, problem.block))
        blocks = []
        for name, spec in self.account_by_name.items():
            for number, shape in enumerate(spec.guarantee):
                if (name, number) not in at_risk:
                    blocks.append((name, shape))

        def stays(job):
            if job.client_account in accounts:
                return True
            return not (job.idempotent or job.checkpointable)

        return _all_fit(self.naive(stays), self._use_by_account(stays), blocks, {})

    def _use_by_account(self, stays):
        """Return what accounts use on each upstream by work that stays."""
        own = {}
        for request_id, (_, pairs) in self.running.items():
            job = self.job_by_id[request_id]
            if not stays(job):
                continue
            for name, incarnation in pairs:
                if self.spec_by_id[name].incarnation != incarnation:
                    continue
                key = (job.client_account, name)
                known = own.get(key, (Resources(0, 0, 0), 0))
                own[key] = (known[0].plus(job.shape.member()), known[1] + 1)
        return own


def _all_fit(naive, own, blocks, cells):
    """Try every layout; an account's cells may cover its own work."""
    if not blocks:
        return True
    account, shape = blocks[0]
    empty = NaiveScheduler(naive.spec_by_id.values())
    for names in empty.placements(shape):
        laid = dict(cells)
        for name in names:
            amount, slots = laid.get((account, name), (Resources(0, 0, 0), 0))
            laid[(account, name)] = (amount.plus(shape.member()), slots + 1)
        if not all(_holds(naive, own, laid, name) for name in set(names)):
            continue
        if _all_fit(naive, own, blocks[1:], laid):
            return True
    return False


def _holds(naive, own, cells, name):
    free = naive.free_by_id[name]
    slots = naive.slots_by_id[name]
    for (account, where), (amount, count) in cells.items():
        if where != name:
            continue
        used, used_slots = own.get((account, name), (Resources(0, 0, 0), 0))
        for part in range(3):
            extra = max(0, amount[part] - used[part])
            free = free._replace(**{free._fields[part]: free[part] - extra})
        slots -= max(0, count - used_slots)
    return min(free) >= 0 and slots >= 0
