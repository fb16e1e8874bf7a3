"""Tests of what the leader expects of a run from its progress."""

import unittest

from persimmonyard.daemon.jobs.task_run import RunState, TaskRun
from persimmonyard.jobs import UnitKey
from test.jobs.fixtures import JOB_ID, step


def run_at_half(**fields):
    """Return a run that has got from 0 to 50% within 5 s."""
    key = UnitKey(JOB_ID, 0, 0, 0)
    run = TaskRun(key.task_key(0), 1, key, step(**fields), RunState.RUNNING, 0.0)
    run.update_progress(0, "", 0.0)
    run.update_progress(50, "", 5.0)
    return run


class RemainingTimeTests(unittest.TestCase):
    def test_remaining_time_follows_the_progress(self):
        """Guards against a run that is stopped although it is about to end."""
        run = run_at_half()
        self.assertAlmostEqual(3.0, run.remaining_s(7.0))
        self.assertTrue(run.run_progress(9.5).ends_soon())
        self.assertTrue(run.run_progress(12.0).ends_soon())

    def test_run_that_stands_still_does_not_end_soon(self):
        """Guards against a unit that waits for ever for a run that hangs.

        Its capacity would count as being freed, so that nothing is stopped
        for the unit, and no other upstream is tried.
        """
        run = run_at_half()
        self.assertFalse(run.run_progress(15.0).ends_soon())
        self.assertIsNone(run.remaining_s(60.0))

    def test_run_without_an_end_does_not_end_soon(self):
        """Guards against the same with a task that is listed with progress."""
        run = run_at_half(long_running=True)
        run.update_progress(100, "", 9.0)
        self.assertFalse(run.run_progress(9.1).ends_soon())


class StallTests(unittest.TestCase):
    def test_run_that_takes_minutes_is_not_stalled_between_two_percents(self):
        """Guards against a long task that is stopped again and again.

        A task of five minutes advances by a percent every three seconds.
        """
        key = UnitKey(JOB_ID, 0, 0, 0)
        shape = step(estimate_ms=300_000)
        run = TaskRun(key.task_key(0), 1, key, shape, RunState.RUNNING, 0.0)
        for percent in range(40):
            self.assertFalse(run.is_stalled(3.0 * percent + 2.9), percent)
            run.update_progress(percent, "", 3.0 * percent)
        self.assertTrue(run.is_stalled(3.0 * 39 + 9.1))

    def test_progress_counts_more_than_the_estimate(self):
        """Guards against a hanging run that a high estimate hides."""
        run = run_at_half(estimate_ms=3_600_000)
        run.percent = 40
        self.assertFalse(run.is_stalled(6.4))
        self.assertTrue(run.is_stalled(6.6))

    def test_short_run_without_progress_is_stalled_as_before(self):
        """Guards against a task that waits for an upstream that hangs."""
        key = UnitKey(JOB_ID, 0, 0, 0)
        run = TaskRun(key.task_key(0), 1, key, step(), RunState.RUNNING, 0.0)
        run.update_progress(0, "", 0.0)
        self.assertFalse(run.is_stalled(1.4))
        self.assertTrue(run.is_stalled(1.6))


if __name__ == "__main__":
    unittest.main()
