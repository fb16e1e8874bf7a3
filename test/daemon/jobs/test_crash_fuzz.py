"""Fuzz test of a leader whose upstreams crash, with and without a cause.

Some tasks crash every upstream that starts them.  At the same time upstreams
crash by themselves or are cut off, and leaders change.  Each task that crashes
upstreams must be given up within a bounded number of starts, and every other
job must complete.
"""

import asyncio
import contextlib
import os
import random
import unittest

from persimmonyard.jobs import JobState, JobStore, SubmitJob
from test.daemon.jobs.crashing_upstreams import CrashingUpstreamClient
from test.daemon.jobs.fakes import DURATIONS, InMemoryLeader, wait_until
from test.jobs.fixtures import job, step

# More seeds by hand: CRASH_FUZZ_SEEDS=1-50 test/run.py THIS_MODULE
SEEDS = (1, 2, 3)
UPSTREAMS = 10
EVENTS = 12
OTHER_CRASHES = 3
# A task may be started three times more after three crashes, exclusively.
MAX_STARTS = 5
SHORT_LEASE_DURATIONS = DURATIONS._replace(lease_ms=700, wait_ms=100)


def is_deadly(task_key):
    return task_key.job_id.startswith("d") and task_key.task <= 0


def seeds():
    first, _, last = os.environ.get("CRASH_FUZZ_SEEDS", "").partition("-")
    return range(int(first), int(last or first) + 1) if first else SEEDS


class CrashFuzzTests(unittest.IsolatedAsyncioTestCase):
    def lead(self, store, fence):
        self.leader = InMemoryLeader(
            self.upstreams, store, fence, SHORT_LEASE_DURATIONS
        )
        self.leader.term.start()

    async def submit(self, number):
        """Submit a random job; one of three has a task that crashes."""
        deadly = number % 3 == 0
        gang = self.rng.random() < 0.25
        shape = step(self.rng.randint(1, 4), gpu=self.rng.choice((1, 2)), gang=gang)
        job_id = f"{'d' if deadly else 'c'}{number:015x}"
        await self.leader.term.commit(SubmitJob(job(shape, job_id=job_id)))

    async def disturb(self):
        """Cause one random event."""
        address = self.rng.choice(sorted(self.upstreams.by_address))
        event = self.rng.choice(("crash", "cut", "leader", "nothing"))
        if event == "crash" and self.crashes_left:
            self.crashes_left -= 1
            if address not in self.upstreams.down:
                self.upstreams.crash(address)
        if event == "cut":
            upstream_id = self.upstreams.id_by_address[address]
            self.upstreams.silent.add(upstream_id)
            await asyncio.sleep(self.rng.choice((0.1, 1.0)))
            self.upstreams.silent.discard(upstream_id)
            self.upstreams.report_again(address)
        if event == "leader":
            self.leader.term.close()
            store = JobStore()
            store.restore(self.leader.store.snapshot())
            self.fence += 1
            self.lead(store, self.fence)
            for known in sorted(self.upstreams.by_address):
                self.upstreams.report_again(known)

    async def play(self, seed):
        self.rng = random.Random(seed)
        self.crashes_left = OTHER_CRASHES
        self.fence = 1
        self.upstreams = CrashingUpstreamClient(is_deadly, seed % 2 == 0)
        self.upstreams.observe = lambda report: self.leader.term.observe(report)
        self.lead(None, self.fence)
        for number in range(UPSTREAMS):
            self.upstreams.boot(f"u{number}")
        finisher = asyncio.create_task(self.upstreams.finish_tasks())
        for number in range(EVENTS):
            await self.submit(number)
            await asyncio.sleep(self.rng.uniform(0.01, 0.2))
            await self.disturb()
        try:
            await wait_until(
                lambda: (
                    not any(
                        record.is_active()
                        for record in self.leader.store.job_by_id.values()
                    )
                ),
                60.0,
            )
        finally:
            # Otherwise they would report to the leader of the next seed.
            await self.upstreams.finish_boots()
            self.leader.term.close()
            finisher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await finisher

    def check(self, seed):
        for job_id, record in self.leader.store.job_by_id.items():
            expected = JobState.FAILED if job_id[0] == "d" else JobState.COMPLETED
            self.assertEqual(expected, record.state(), (seed, job_id, record.failure))
        starts_by_task = {}
        for task_key, run in self.upstreams.deadly_starts:
            starts_by_task.setdefault(task_key, set()).add(run)
        for task_key, runs in starts_by_task.items():
            self.assertLessEqual(len(runs), MAX_STARTS, (seed, task_key))

    async def test_crashing_tasks_end_and_all_other_jobs_complete(self):
        """Guards against lost jobs and endless starts while all fails."""
        for seed in seeds():
            with self.subTest(seed=seed):
                await self.play(seed)
                self.check(seed)
