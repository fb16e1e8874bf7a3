"""Tests of a leader whose upstreams list their ends in pages."""

import asyncio
import random
import unittest

from persimmonyard.jobs import JobState, Step, SubmitJob, TaskEnd
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until
from test.jobs.fixtures import JOB_ID, job, needs

SEEDS = range(10)


class ListingPageTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, tasks, page_size):
        """Start a leader and a job whose tasks all run on one upstream."""
        self.upstreams = FakeUpstreamClient()
        self.upstream = self.upstreams.add("u1")
        self.upstreams.page_size = page_size
        self.leader = InMemoryLeader(self.upstreams)
        self.leader.term.start()
        self.addCleanup(lambda: self.leader.term.close())
        self.leader.report("u1")
        small = Step(tasks, needs(gpu=0, cores=10, memory_mb=10), 2_000)
        await self.leader.term.commit(SubmitJob(job(small)))
        await wait_until(lambda: len(self.upstream.running) == tasks)
        await wait_until(lambda: not self.leader.pending)

    def end_tasks(self, count):
        for task_key in list(self.upstream.running)[:count]:
            self.upstream.end(task_key, TaskEnd.DONE)

    def change_leader(self):
        """End the term, and begin one whose commits take some time."""
        self.leader.term.close()
        self.leader = InMemoryLeader(
            self.upstreams, self.leader.store, self.leader.term.fence + 1
        )
        self.leader.commit_s = 0.05
        self.leader.term.start()
        self.leader.report("u1", sequence=2)

    async def check_each_task_ran_once(self, tasks, seen=None):
        record = self.leader.store.job_by_id[JOB_ID]
        await wait_until(lambda: record.state() == JobState.COMPLETED)
        self.assertEqual(tasks, len(self.upstream.started), seen)
        self.assertEqual({1}, {run for _, run, _ in self.upstream.started}, seen)

    async def test_ends_beyond_a_page_are_read_by_the_next_leader(self):
        """Guards against finished tasks that run again after a failover.

        All of them end between two leaders, and the first listing of the next
        one has room for some of the ends only.
        """
        await self.start(12, 5)
        self.leader.leading = False
        await asyncio.sleep(0.3)
        self.end_tasks(12)
        self.change_leader()
        await self.check_each_task_ran_once(12)

    async def test_ends_beyond_a_page_are_read_by_the_same_leader(self):
        """Guards against finished tasks that are stopped and run again.

        Several pages of them end at once, without a failover.
        """
        await self.start(22, 5)
        self.leader.commit_s = 0.05
        self.end_tasks(22)
        await self.check_each_task_ran_once(22)

    async def test_full_page_without_further_ends_delays_no_conclusion(self):
        """Guards against a run that waits for ever behind a full page.

        A placed run never reached the upstream, and the ends of the others
        fill a page exactly.
        """
        await self.start(6, 5)
        self.leader.leading = False
        await asyncio.sleep(0.3)
        self.end_tasks(5)
        (missing,) = self.upstream.running
        del self.upstream.running[missing]
        self.change_leader()
        await wait_until(lambda: len(self.upstream.started) == 7)
        self.assertEqual(missing, self.upstream.started[-1][0])

    async def test_random_pages_and_failovers_repeat_no_task(self):
        """Guards against the same at random sizes and moments.

        Tasks end before, while and after the leader changes, in groups larger
        and smaller than a page.
        """
        for seed in SEEDS:
            rng = random.Random(seed)
            tasks = rng.randrange(2, 30)
            await self.start(tasks, rng.randrange(1, 10))
            while self.upstream.running:
                self.end_tasks(rng.randrange(1, 12))
                if rng.random() < 0.4:
                    self.leader.leading = False
                    await asyncio.sleep(rng.uniform(0.0, 0.1))
                    self.end_tasks(rng.randrange(12))
                    self.change_leader()
                await asyncio.sleep(rng.uniform(0.0, 0.1))
            await self.check_each_task_ran_once(tasks, seed)
            self.leader.term.close()


if __name__ == "__main__":
    unittest.main()
