"""Tests of what an earlier incarnation's answers change for the next one."""

import unittest

from persimmonyard.jobs import EndRuns, JobState, NoteSilence, SubmitJob, TaskEnd
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until
from test.jobs.fixtures import JOB_ID, job, step


class FormerAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = FakeUpstreamClient()
        self.upstream = self.upstreams.add("u1")
        self.leader = InMemoryLeader(self.upstreams)
        self.leader.term.start()
        self.addCleanup(self.leader.term.close)
        self.leader.report("u1")

    def restart(self):
        """Start the next incarnation and report it; return it."""
        successor = self.upstreams.add("u1")
        successor.incarnation = 2
        self.leader.report("u1", incarnation=2)
        return successor

    async def test_listing_that_ends_a_silence_acknowledges_nothing_later(self):
        """Guards against an end that the next incarnation forgets unread.

        The upstream was cut off for a moment.  It restarts while the first
        listing after that waits for the commit which says that it answers
        again, so this listing is processed after the restart.
        """
        leader = self.leader
        await leader.term.commit(SubmitJob(job(step(4))))
        await wait_until(lambda: len(self.upstream.running) == 4)
        await wait_until(lambda: self.upstream.leases)
        self.upstreams.silent.add("u1")
        await wait_until(
            lambda: any(isinstance(one, NoteSilence) for one in leader.proposed)
        )
        for task_key in list(self.upstream.running)[:3]:
            self.upstream.end(task_key, TaskEnd.DONE)
        leader.proposed.clear()
        leader.commit_s = 0.3
        self.upstreams.silent.clear()
        await wait_until(lambda: leader.is_pending(NoteSilence))
        successor = self.restart()
        await wait_until(lambda: not leader.pending)
        leader.commit_s = 0.0
        await wait_until(lambda: successor.running)
        polls = len(successor.leases)
        await wait_until(lambda: len(successor.leases) > polls + 2)
        self.assertEqual(0, successor.acknowledged_end)

    async def test_failure_on_an_earlier_incarnation_takes_no_work_away(self):
        """Guards against a restarted upstream that counts as failing.

        Two tasks have failed on its earlier incarnation, the last of them
        while the end was being committed.
        """
        leader = self.leader
        for job_id in (JOB_ID, "b" * 16):
            await leader.term.commit(SubmitJob(job(step(), job_id=job_id)))
        await wait_until(lambda: len(self.upstream.running) == 2)
        leader.commit_s = 0.2
        for task_key in list(self.upstream.running):
            self.upstream.end(task_key, TaskEnd.FAILED)
        await wait_until(lambda: leader.is_pending(EndRuns))
        self.restart()
        await wait_until(lambda: not leader.is_pending(EndRuns))
        upstream = leader.term.fleet.by_id["u1"]
        self.assertEqual((False, 0.0), (upstream.failing, upstream.avoid_until))
        self.assertNotEqual(JobState.COMPLETED, leader.store.job_by_id[JOB_ID].state())


if __name__ == "__main__":
    unittest.main()
