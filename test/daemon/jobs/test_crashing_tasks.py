"""Tests of a leader whose upstreams crash under a task."""

import unittest

from persimmonyard.jobs import JobState, SubmitJob
from test.daemon.jobs.crashing_upstreams import CrashingUpstreamClient
from test.daemon.jobs.fakes import InMemoryLeader, wait_until
from test.jobs.fixtures import job, step

DEADLY_ID = "00000000000000de"
# A task may be started three times more after three crashes, exclusively.
MAX_STARTS = 5


def is_deadly(task_key):
    return task_key.job_id == DEADLY_ID


class CrashingTaskTests(unittest.IsolatedAsyncioTestCase):
    async def start_leader(self, upstreams=8, keeps_id=False):
        self.upstreams = CrashingUpstreamClient(is_deadly, keeps_id)
        self.leader = InMemoryLeader(self.upstreams)
        self.leader.term.start()
        self.addCleanup(lambda: self.leader.term.close())
        self.upstreams.observe = lambda report: self.leader.term.observe(report)
        for number in range(upstreams):
            self.upstreams.boot(f"u{number}")

    async def submit(self, *steps, **fields):
        await self.leader.term.commit(SubmitJob(job(*steps, **fields)))
        return self.leader.store.job_by_id[fields["job_id"]]

    async def wait_for_failure(self, record):
        """Wait until the job failed, or its task was started too often."""
        await wait_until(
            lambda: (
                record.state() == JobState.FAILED
                or len(self.upstreams.deadly_starts) > MAX_STARTS
            )
        )
        self.assertEqual(JobState.FAILED, record.state())

    async def test_task_that_crashes_upstreams_is_given_up(self):
        """Guards against a task that crashes one upstream after another."""
        await self.start_leader()
        record = await self.submit(step(), job_id=DEADLY_ID)
        await self.wait_for_failure(record)
        self.assertLessEqual(len(self.upstreams.deadly_starts), MAX_STARTS)
