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


if __name__ == "__main__":
    unittest.main()
