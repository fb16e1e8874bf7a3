"""Tests that estimates of one incarnation do not count for the next one."""

import time
import unittest
from unittest import mock

from persimmonyard.daemon.jobs.task_run import RunState, TaskRun
from persimmonyard.daemon.jobs.upstream_client import RunListing, RunningRun
from persimmonyard.jobs import CancelJob, EndRuns, SubmitJob, TaskEnd, TaskKey, UnitKey
from test.daemon.jobs.fakes import (
    FakeUpstream,
    FakeUpstreamClient,
    InMemoryLeader,
    wait_until,
)
from test.jobs.fixtures import JOB_ID, WALL_MS, job, step


class ProgressingUpstreams(FakeUpstreamClient):
    """An upstream client whose runs progress by 20% in each second."""

    def __init__(self):
        super().__init__()
        self.began_at = time.monotonic()

    def percent(self):
        return min(90, int(20 * (time.monotonic() - self.began_at)))

    async def renew(self, target, until_ms, fence, acknowledged_end, wait_ms):
        listing = await super().renew(
            target, until_ms, fence, acknowledged_end, wait_ms
        )
        if not isinstance(listing, RunListing):
            return listing
        running = []
        for listed_run in listing.running:
            running.append(RunningRun(*listed_run[:2], "", self.percent()))
        return listing._replace(running=tuple(running))


class FormerIncarnationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = ProgressingUpstreams()
        self.upstream = self.upstreams.add("u1")
        self.leader = InMemoryLeader(self.upstreams)
        self.leader.term.start()
        self.addCleanup(self.leader.term.close)
        self.leader.report("u1")

    def restart(self, **fields):
        """Start the next incarnation and report it; return it."""
        incarnation = self.upstream.incarnation + 1
        self.upstream = self.upstreams.add("u1")
        self.upstream.incarnation = incarnation
        for name, value in fields.items():
            setattr(self.upstream, name, value)
        self.leader.report("u1", incarnation=incarnation)
        return self.upstream

    async def submit(self, job_id=JOB_ID):
        """Submit a job of one task and wait until it runs; return its key."""
        await self.leader.term.commit(SubmitJob(job(step(), job_id=job_id)))
        running = self.upstream.running
        await wait_until(lambda: job_id in {key.job_id for key in running})
        return next(key for key in running if key.job_id == job_id)

    async def end_as_failed(self, task_key):
        """End a run as failed, and cancel its job before it runs again."""
        self.upstream.end(task_key, TaskEnd.FAILED)
        job_id = task_key.job_id
        (unit,) = self.leader.store.job_by_id[job_id].units.values()
        await wait_until(lambda: unit.failures)
        await self.leader.term.commit(CancelJob(job_id, WALL_MS))

    async def test_run_time_of_an_earlier_incarnation_is_not_scaled(self):
        """Guards against a run time at the speed of another incarnation.

        The upstream restarts while the end of the run is committed, and the
        speed of the new incarnation is not known.
        """
        for restarts in (False, True):
            task_key = await self.submit(f"{int(restarts):016x}")
            with mock.patch.object(self.leader.term, "_estimator") as estimator:
                self.leader.commit_s = 0.1
                self.upstream.end(task_key, TaskEnd.DONE)
                await wait_until(lambda: self.leader.is_pending(EndRuns))
                if restarts:
                    self.restart()
                await wait_until(lambda: not self.leader.is_pending(EndRuns))
                self.leader.commit_s = 0.0
            self.assertEqual(not restarts, estimator.observe.called)

    async def test_progress_on_the_next_incarnation_gives_no_speed(self):
        """Guards against a speed from a run that began before a restart.

        The next incarnation has executed the start of that run.
        """
        task_key = await self.submit()
        speeds = self.leader.term.speeds
        await wait_until(lambda: "u1" in speeds.upstream_ids())
        session = self.leader.term.find_session("u1")
        # Only a start that was sent again may reach the next incarnation.
        session.task_run_by_key[(task_key, 1)].in_doubt = True
        with mock.patch.object(FakeUpstream, "stop", return_value=None):
            successor = self.restart(running={task_key: 1})
            self.assertNotIn("u1", speeds.upstream_ids())
            percent = self.upstreams.percent()
            await wait_until(lambda: self.upstreams.percent() > percent + 20)
            listings = len(successor.leases)
            await wait_until(lambda: len(successor.leases) > listings)
        self.assertEqual({task_key: 1}, successor.running)
        self.assertNotIn("u1", speeds.upstream_ids())

    async def test_failures_count_for_an_upstream_that_restarts(self):
        """Guards against a faulty upstream that restarts after each failure.

        Its failures are counted by identifier on purpose, but how long the
        earlier incarnation is avoided does not hold for the next one.
        """
        for number in range(2):
            task_key = await self.submit(f"{number:016x}")
            await self.end_as_failed(task_key)
        by_id = self.leader.term.fleet.by_id
        self.assertGreater(by_id["u1"].avoid_until, self.leader.term.now())
        self.restart()
        self.assertEqual(0.0, by_id["u1"].avoid_until)
        self.assertFalse(by_id["u1"].failing)
        task_key = await self.submit(f"{2:016x}")
        await self.end_as_failed(task_key)
        self.assertGreater(by_id["u1"].avoid_until, self.leader.term.now())

    def test_run_of_an_earlier_incarnation_is_not_stalled(self):
        """Guards against an upstream that is avoided for a run before it.

        The run is being stopped since its upstream restarted.
        """
        key = TaskKey("j", 0, 0, 0)
        task_run = TaskRun(key, 1, UnitKey("j", 0, 0, 0), step(), RunState.RUNNING, 0.0)
        task_run.update_progress(10, "", 1.0)
        self.assertTrue(task_run.is_stalled(60.0))
        task_run.replaced = True
        task_run.state = RunState.STOPPING
        task_run.update_progress(10, "", 30.0)
        self.assertFalse(task_run.is_stalled(60.0))


if __name__ == "__main__":
    unittest.main()
