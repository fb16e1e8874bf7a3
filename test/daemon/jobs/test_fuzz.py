"""Random faults between a leader and its upstreams, against an oracle.

The oracle knows two rules: no two runs of a task at the same time, and no
start of a task after its end as done was committed.
"""

import asyncio
import random
import unittest

from persimmonyard.daemon.jobs.upstream_client import NoAnswerError, OrderReply
from persimmonyard.jobs import CancelJob, EndRuns, JobState, SubmitJob, TaskEnd
from test.daemon.jobs.fakes import (
    DURATIONS,
    FakeUpstreamClient,
    Term,
    clock_ms,
    wait_until,
)
from test.jobs.fixtures import job, step

SEEDS = (1, 2, 3, 4)
UPSTREAMS = ("u1", "u2", "u3")
JOBS = 8
# Leases short enough that some end while an upstream is silent.
LEASED = DURATIONS._replace(lease_ms=700, wait_ms=100)


class Oracle:
    """Sees every start and end at the upstreams, and every commit."""

    def __init__(self):
        self.place_by_task = {}
        self.done = set()
        self.broken = []

    def started(self, name, place):
        other = self.place_by_task.get(name)
        if other is not None and other != place:
            self.broken.append(f"{name} runs on {other} and {place}")
        if name in self.done:
            self.broken.append(f"{name} starts after its end")
        self.place_by_task[name] = place

    def ended(self, name, place):
        if self.place_by_task.get(name) == place:
            del self.place_by_task[name]


class FaultyPort(FakeUpstreamClient):
    """Loses answers, delays orders, and enforces leases."""

    def __init__(self, seed, oracle):
        super().__init__()
        self.random = random.Random(seed)
        self.oracle = oracle
        self.until_by_id = {}
        self.calm = False
        self.later = set()

    def place(self, target):
        return target.upstream_id, self.by_address[target.address].incarnation

    def lapse(self):
        """End what no lease covers any more."""
        for upstream_id, until_ms in list(self.until_by_id.items()):
            if clock_ms() <= until_ms:
                continue
            del self.until_by_id[upstream_id]
            upstream = self.by_address[f"{upstream_id}:80"]
            for name in list(upstream.running):
                self.finish(upstream_id, name, TaskEnd.LAPSED)

    def finish(self, upstream_id, name, how):
        upstream = self.by_address[f"{upstream_id}:80"]
        upstream.end(name, how)
        self.oracle.ended(name, (upstream_id, upstream.incarnation))

    def restart(self, upstream_id):
        old = self.by_address[f"{upstream_id}:80"]
        for name in list(old.running):
            self.oracle.ended(name, (upstream_id, old.incarnation))
        fresh = self.add(upstream_id)
        fresh.incarnation = old.incarnation + 1
        self.until_by_id.pop(upstream_id, None)
        return fresh.incarnation

    async def start(self, target, order):
        self._reach(target)
        if not self.calm and self.random.random() < 0.15:
            task = asyncio.create_task(self._start_late(target, order))
            self.later.add(task)
            raise NoAnswerError("late")
        reply = self._carry_out(target, order)
        if not self.calm and self.random.random() < 0.1:
            raise NoAnswerError("answer lost")
        return reply

    async def _start_late(self, target, order):
        upstream = self.by_address[target.address]
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        # An upstream that starts again knows nothing of what it was told.
        if self.by_address[target.address] is upstream:
            self._carry_out(target, order)

    def _carry_out(self, target, order):
        self.lapse()
        upstream = self.by_address[target.address]
        if order.until_ms <= clock_ms():
            return OrderReply(upstream.start(order._replace(fence=-1)), clock_ms())
        before = dict(upstream.running)
        result = upstream.start(order)
        if upstream.running != before:
            self.oracle.started(order.task_key, self.place(target))
        latest = max(order.until_ms, self.until_by_id.get(target.upstream_id, 0))
        self.until_by_id[target.upstream_id] = latest
        return OrderReply(result, clock_ms())

    async def stop(self, target, name, run, fence):
        self.lapse()
        place = self.place(target)
        reply = await super().stop(target, name, run, fence)
        if self.by_address[target.address].running.get(name) is None:
            self.oracle.ended(name, place)
        if not self.calm and self.random.random() < 0.2:
            raise NoAnswerError("answer lost")
        return reply

    async def renew(self, target, until_ms, fence, seen, wait_ms):
        self._reach(target)
        self.lapse()
        if until_ms:
            latest = max(until_ms, self.until_by_id.get(target.upstream_id, 0))
            self.until_by_id[target.upstream_id] = latest
        return await super().renew(target, until_ms, fence, seen, wait_ms)


class FuzzTests(unittest.IsolatedAsyncioTestCase):
    async def test_rules_hold_and_every_job_ends(self):
        """Guards against double runs and lost jobs under mixed faults."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.play(seed)

    async def play(self, seed):
        oracle = Oracle()
        port = FaultyPort(seed, oracle)
        chance = random.Random(seed + 1_000)
        for upstream_id in UPSTREAMS:
            port.add(upstream_id)
        term = self.term(port, oracle, None, 1)
        for number in range(JOBS):
            gang = number % 3 == 0
            submitted = job(
                step(chance.randint(1, 3), gpu=2, gang=gang),
                step(1, depends_on=(0,)),
                job_id=f"{number:016x}",
            )
            await term.lead.commit(SubmitJob(submitted))
        for turn in range(30):
            await asyncio.sleep(0.05)
            self.disturb(port, term, chance)
            if turn == 15:
                term.leading = False
                term.lead.close()
                term = self.term(port, oracle, term.store, 2)
                self.report(term, port)
            if turn == 20:
                last = f"{JOBS - 1:016x}"
                await term.lead.commit(CancelJob(last, 1))
                term.lead.stop_job(last, "cancelled")
        port.calm = True
        port.silent.clear()
        self.report(term, port)
        await wait_until(lambda: self.all_ended(port, term), 60.0)
        term.lead.close()
        await asyncio.gather(*port.later, return_exceptions=True)
        self.assertEqual([], oracle.broken)

    def term(self, port, oracle, store, fence):
        term = Term(port, store, fence, LEASED)
        execute = term.store.execute

        def watched(command):
            changed = execute(command)
            if isinstance(command, EndRuns):
                self.note_done(term, oracle)
            return changed

        term.store.execute = watched
        term.lead.start()
        self.addCleanup(term.lead.close)
        self.report(term, port)
        return term

    def note_done(self, term, oracle):
        for record in term.store.job_by_id.values():
            for key, unit in record.units.items():
                if unit.status != "d":
                    continue
                count = record.step_of(key).count
                tasks = range(count) if key.task < 0 else [key.task]
                for task in tasks:
                    oracle.done.add((*key[:3], task))

    def report(self, term, port):
        for upstream_id in UPSTREAMS:
            upstream = port.by_address[f"{upstream_id}:80"]
            self.sequence = getattr(self, "sequence", 0) + 1
            term.report(
                upstream_id,
                incarnation=upstream.incarnation,
                sequence=self.sequence,
            )

    def disturb(self, port, term, chance):
        port.lapse()
        upstream_id = chance.choice(UPSTREAMS)
        match chance.randrange(6):
            case 0:
                port.silent.add(upstream_id)
            case 1:
                port.silent.clear()
            case 2 if chance.random() < 0.3:
                port.restart(upstream_id)
                self.report(term, port)
            case _:
                self.finish_some(port, chance, TaskEnd.DONE)

    def finish_some(self, port, chance, how):
        for upstream_id in UPSTREAMS:
            for name in list(port.by_address[f"{upstream_id}:80"].running):
                if chance.random() < 0.3:
                    port.finish(upstream_id, name, how)

    def all_ended(self, port, term):
        port.lapse()
        self.finish_some(port, port.random, TaskEnd.DONE)
        states = {record.state() for record in term.store.job_by_id.values()}
        return states <= {JobState.COMPLETED, JobState.CANCELLED, JobState.FAILED}
