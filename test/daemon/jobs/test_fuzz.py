"""Fuzz test of a leader with random faults between it and its upstreams.

An oracle checks two rules: no two runs of a task at the same time, and no
start of a task after its completion was committed.
"""

import asyncio
import random
import unittest

from persimmonyard.daemon.jobs.upstream_client import (
    NoAnswerError,
    OrderReply,
    OrderResult,
)
from persimmonyard.jobs import CancelJob, EndRuns, JobState, SubmitJob, TaskEnd
from test.daemon.jobs.fakes import (
    DURATIONS,
    FakeUpstreamClient,
    InMemoryLeader,
    clock_ms,
    foreign_report,
    wait_until,
)
from test.jobs.fixtures import job, step

SEEDS = (1, 2, 3, 4)
UPSTREAMS = ("u1", "u2", "u3")
JOBS = 8
# Leases are short, so that some expire while an upstream is silent.
SHORT_LEASE_DURATIONS = DURATIONS._replace(lease_ms=700, wait_ms=100)


class Oracle:
    """Checks both rules, from the starts, ends and committed completions."""

    def __init__(self):
        self.location_by_task = {}
        self.done_tasks = set()
        self.violations = []

    def record_start(self, task_key, location):
        other_location = self.location_by_task.get(task_key)
        if other_location is not None and other_location != location:
            self.violations.append(
                f"{task_key} runs on {other_location} and {location}"
            )
        if task_key in self.done_tasks:
            self.violations.append(f"{task_key} starts after its end")
        self.location_by_task[task_key] = location

    def record_end(self, task_key, location):
        if self.location_by_task.get(task_key) == location:
            del self.location_by_task[task_key]


class FaultyUpstreamClient(FakeUpstreamClient):
    """An upstream client that loses answers, delays starts, expires leases."""

    def __init__(self, seed, oracle):
        super().__init__()
        self.rng = random.Random(seed)
        self.oracle = oracle
        self.until_by_id = {}
        self.faults_stopped = False
        self.delayed_tasks = set()

    def location(self, target):
        return target.upstream_id, self.by_address[target.address].incarnation

    def expire_leases(self):
        """End all runs on upstreams whose lease has expired."""
        for upstream_id, until_ms in list(self.until_by_id.items()):
            if clock_ms() <= until_ms:
                continue
            del self.until_by_id[upstream_id]
            upstream = self.by_address[f"{upstream_id}:80"]
            for task_key in list(upstream.running):
                self.finish(upstream_id, task_key, TaskEnd.LAPSED)

    def finish(self, upstream_id, task_key, task_end):
        upstream = self.by_address[f"{upstream_id}:80"]
        upstream.end(task_key, task_end)
        self.oracle.record_end(task_key, (upstream_id, upstream.incarnation))

    def restart(self, upstream_id):
        old = self.by_address[f"{upstream_id}:80"]
        for task_key in list(old.running):
            self.oracle.record_end(task_key, (upstream_id, old.incarnation))
        replacement = self.add(upstream_id)
        replacement.incarnation = old.incarnation + 1
        self.until_by_id.pop(upstream_id, None)
        return replacement.incarnation

    async def start(self, target, order):
        self._reach(target)
        if not self.faults_stopped and self.rng.random() < 0.15:
            task = asyncio.create_task(self._start_delayed(target, order))
            self.delayed_tasks.add(task)
            raise NoAnswerError("late")
        reply = self._execute_start(target, order)
        if not self.faults_stopped and self.rng.random() < 0.1:
            raise NoAnswerError("answer lost")
        return reply

    async def _start_delayed(self, target, order):
        upstream = self.by_address[target.address]
        await asyncio.sleep(self.rng.uniform(0.05, 1.0))
        # A restarted upstream does not receive starts sent before.
        if self.by_address[target.address] is upstream:
            self._execute_start(target, order)

    def _execute_start(self, target, order):
        self.expire_leases()
        upstream = self.by_address[target.address]
        before = dict(upstream.running)
        result = upstream.start(order, clock_ms())
        if result == OrderResult.LEASE_OVER:
            return OrderReply(result, clock_ms())
        if upstream.running != before:
            self.oracle.record_start(order.task_key, self.location(target))
        latest = max(order.until_ms, self.until_by_id.get(target.upstream_id, 0))
        self.until_by_id[target.upstream_id] = latest
        return OrderReply(result, clock_ms())

    async def stop(self, target, task_key, run, fence):
        self.expire_leases()
        location = self.location(target)
        reply = await super().stop(target, task_key, run, fence)
        if self.by_address[target.address].running.get(task_key) is None:
            self.oracle.record_end(task_key, location)
        if not self.faults_stopped and self.rng.random() < 0.2:
            raise NoAnswerError("answer lost")
        return reply

    async def renew(self, target, until_ms, fence, acknowledged_end, wait_ms):
        self._reach(target)
        self.expire_leases()
        if until_ms:
            latest = max(until_ms, self.until_by_id.get(target.upstream_id, 0))
            self.until_by_id[target.upstream_id] = latest
        return await super().renew(target, until_ms, fence, acknowledged_end, wait_ms)


class FuzzTests(unittest.IsolatedAsyncioTestCase):
    async def test_rules_hold_and_every_job_ends(self):
        """Guards against duplicate runs and lost jobs under random faults.

        The faults are lost answers, delayed starts, silence and restarts of
        upstreams, reports of other writers, a change of the leader, and terms
        that begin again while commands are being committed.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_scenario(seed)

    async def run_scenario(self, seed):
        oracle = Oracle()
        upstreams = FaultyUpstreamClient(seed, oracle)
        rng = random.Random(seed + 1_000)
        writer_rng = random.Random(seed + 2_000)
        lease_rng = random.Random(seed + 3_000)
        for upstream_id in UPSTREAMS:
            upstreams.add(upstream_id)
        leader = self.start_leader(upstreams, oracle, None, 1)
        for number in range(JOBS):
            gang = number % 3 == 0
            submitted = job(
                step(rng.randint(1, 3), gpu=2, gang=gang),
                step(1, depends_on=(0,)),
                job_id=f"{number:016x}",
            )
            await leader.term.commit(SubmitJob(submitted))
        for round_number in range(30):
            await asyncio.sleep(0.05)
            self.inject_fault(upstreams, leader, rng)
            leader.term.observe(foreign_report(writer_rng))
            leader.commit_s = lease_rng.uniform(0.0, 0.02)
            if lease_rng.random() < 0.2:
                leader.begin_again()
                self.report_upstreams(leader, upstreams)
            if round_number == 15:
                leader.leading = False
                leader.term.close()
                leader = self.start_leader(upstreams, oracle, leader.store, 2)
                self.report_upstreams(leader, upstreams)
            if round_number == 20:
                last = f"{JOBS - 1:016x}"
                await leader.term.commit(CancelJob(last, 1))
        upstreams.faults_stopped = True
        leader.commit_s = 0.0
        upstreams.silent.clear()
        self.report_upstreams(leader, upstreams)
        await wait_until(lambda: self.all_ended(upstreams, leader), 60.0)
        leader.term.close()
        await asyncio.gather(*upstreams.delayed_tasks, return_exceptions=True)
        self.assertEqual([], oracle.violations)

    def start_leader(self, upstreams, oracle, store, fence):
        leader = InMemoryLeader(upstreams, store, fence, SHORT_LEASE_DURATIONS)
        execute = leader.store.execute

        def execute_and_record(command):
            changed = execute(command)
            if isinstance(command, EndRuns):
                self.record_done(leader, oracle)
            return changed

        leader.store.execute = execute_and_record
        leader.term.start()
        self.addCleanup(lambda: leader.term.close())
        self.report_upstreams(leader, upstreams)
        return leader

    def record_done(self, leader, oracle):
        for record in leader.store.job_by_id.values():
            for key, unit in record.units.items():
                if unit.status != "d":
                    continue
                count = record.step_of(key).count
                tasks = range(count) if key.task < 0 else [key.task]
                for task in tasks:
                    oracle.done_tasks.add((*key[:3], task))

    def report_upstreams(self, leader, upstreams):
        for upstream_id in UPSTREAMS:
            upstream = upstreams.by_address[f"{upstream_id}:80"]
            self.sequence = getattr(self, "sequence", 0) + 1
            leader.report(
                upstream_id,
                incarnation=upstream.incarnation,
                sequence=self.sequence,
            )

    def inject_fault(self, upstreams, leader, rng):
        upstreams.expire_leases()
        upstream_id = rng.choice(UPSTREAMS)
        match rng.randrange(6):
            case 0:
                upstreams.silent.add(upstream_id)
            case 1:
                upstreams.silent.clear()
            case 2 if rng.random() < 0.3:
                upstreams.restart(upstream_id)
                self.report_upstreams(leader, upstreams)
            case _:
                self.finish_some(upstreams, rng, TaskEnd.DONE)

    def finish_some(self, upstreams, rng, task_end):
        for upstream_id in UPSTREAMS:
            for task_key in list(upstreams.by_address[f"{upstream_id}:80"].running):
                if rng.random() < 0.3:
                    upstreams.finish(upstream_id, task_key, task_end)

    def all_ended(self, upstreams, leader):
        upstreams.expire_leases()
        self.finish_some(upstreams, upstreams.rng, TaskEnd.DONE)
        states = {record.state() for record in leader.store.job_by_id.values()}
        return states <= {JobState.COMPLETED, JobState.CANCELLED, JobState.FAILED}
