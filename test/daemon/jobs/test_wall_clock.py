"""Tests of scheduled jobs and waiting times while the system's clock jumps."""

import asyncio
import unittest

from persimmonyard.daemon.jobs.wall_clock import SteadyWallClock
from persimmonyard.jobs import SubmitJob
from persimmonyard.replication import boottime_now
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until
from test.jobs.fixtures import job, step

START_S = 1_700_000_000.0


class FakeClocks:
    """A steady clock, and a system clock that may jump."""

    def __init__(self):
        self.steady_s = 50.0
        self.jump_s = 0.0
        self.clock = SteadyWallClock(self.steady, self.system)

    def steady(self):
        return self.steady_s

    def system(self):
        return START_S + self.steady_s + self.jump_s

    def run(self, seconds, tick_s=0.5):
        """Let time pass; return the clock's times at all ticks."""
        times = []
        end = self.steady_s + seconds
        while self.steady_s < end:
            self.steady_s += tick_s
            times.append(self.clock.now_s())
        return times

    def error_s(self):
        """Return how far the clock is ahead of the time without a jump."""
        return self.clock.now_s() - START_S - self.steady_s


class SteadyWallClockTests(unittest.TestCase):
    def setUp(self):
        self.clocks = FakeClocks()

    def test_jump_that_is_taken_back_hardly_moves_the_clock(self):
        """Guards against work that starts early, or looks late, after a jump.

        The system's clock jumps forward and back, twice in a row.
        """
        for jump_s in (5.0, 0.0, -5.0, 0.0, 5.0, -5.0):
            self.clocks.jump_s = jump_s
            self.clocks.run(2.0)
            self.assertLess(abs(self.clocks.error_s()), 0.31)
        self.clocks.jump_s = 0.0
        self.clocks.run(10.0)
        self.assertAlmostEqual(0.0, self.clocks.error_s(), places=5)

    def test_clock_never_goes_back(self):
        """Guards against negative waiting times and ends before starts."""
        times = []
        for jump_s in (8.0, -8.0, 0.0, -3_600.0):
            self.clocks.jump_s = jump_s
            times += self.clocks.run(3.0)
        self.assertEqual(sorted(times), times)

    def test_lasting_correction_is_followed(self):
        """Guards against due times by a clock that was wrong at the start."""
        self.clocks.jump_s = -4.0
        self.clocks.run(100.0)
        self.assertAlmostEqual(-4.0, self.clocks.error_s(), places=5)


class ScheduledJobTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.jump_s = 0.0
        upstreams = FakeUpstreamClient()
        self.upstream = upstreams.add("u1")
        self.leader = InMemoryLeader(
            upstreams, system_clock=lambda: START_S + boottime_now() + self.jump_s
        )
        self.leader.term.start()
        self.addCleanup(self.leader.term.close)
        self.leader.report("u1")

    async def submit_due_in(self, seconds):
        """Submit a job that is due in some seconds; return the due time."""
        due_at = boottime_now() + seconds
        due_ms = int((START_S + due_at) * 1_000)
        await self.leader.term.commit(
            SubmitJob(job(step(), start_at_ms=due_ms, repeat_count=1))
        )
        return due_at

    async def test_jumps_forward_start_nothing_early(self):
        """Guards against scheduled work that starts with a jump.

        The clock jumps over the due time and back, twice.
        """
        due_at = await self.submit_due_in(1.2)
        for jump_s in (3.0, 0.0, 3.0):
            self.jump_s = jump_s
            self.leader.term.request_plan()
            await asyncio.sleep(0.1)
        await wait_until(lambda: self.upstream.started)
        self.assertGreater(boottime_now(), due_at - 0.25)

    async def test_jump_back_delays_nothing(self):
        """Guards against scheduled work that waits for a clock set back."""
        self.jump_s = -3_600.0
        await self.submit_due_in(0.5)
        await wait_until(lambda: self.upstream.started, 60.0)


if __name__ == "__main__":
    unittest.main()
