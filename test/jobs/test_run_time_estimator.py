"""Tests of run time estimates and critical paths."""

import unittest
from unittest import mock

from persimmonyard.jobs import RunTimeEstimator, SubmitJob
from test.jobs.fixtures import NORMAL, WALL_MS, Cluster, job, report, step


class CriticalPathTests(unittest.TestCase):
    def setUp(self):
        self.estimator = RunTimeEstimator()
        self.chain = job(
            step(estimate_ms=1_000),
            step(estimate_ms=2_000, depends_on=(0,)),
            step(estimate_ms=5_000),
        )

    def paths(self, submitted):
        return [
            self.estimator.critical_path_ms(submitted, number)
            for number in range(len(submitted.steps))
        ]

    def test_paths_follow_the_job_and_the_observed_run_times(self):
        """Guards against the paths of another job or of old observations."""
        self.assertEqual([5_000, 2_000, 5_000], self.paths(self.chain))
        other = job(step(estimate_ms=7_000), step(estimate_ms=1_000, depends_on=(0,)))
        self.assertEqual([8_000, 1_000], self.paths(other))
        self.assertEqual([5_000, 2_000, 5_000], self.paths(self.chain))
        for _ in range(5):
            self.estimator.observe(NORMAL.name, 9_000)
        self.assertEqual([10_500, 5_500, 7_000], self.paths(self.chain))

    def test_images_of_a_work_class_have_their_own_run_times(self):
        """Short and long programs of one class must not be averaged."""
        short = job(step(estimate_ms=1_000, image="short"))
        other = job(step(estimate_ms=1_000, image="other"))
        for _ in range(9):
            self.estimator.observe(NORMAL.name, 3_000, "short")
            self.estimator.observe(NORMAL.name, 60_000, "long")
            self.estimator.observe(NORMAL.name, 60_000, "long")
        self.assertEqual(self.paths(short), [2_000])
        self.assertEqual(self.paths(other), [30_500])

    def test_work_of_a_plan_grows_with_the_steps_of_a_job(self):
        """Guards against a plan that holds up the leader until it is replaced.

        With paths computed anew for each waiting step, a job of 1,000 steps
        and 10 occurrences took 7 s in each plan.
        """
        cluster = Cluster()
        cluster.fleet.observe(report("u1"), cluster.now)
        steps = [step(gpu=100) for _ in range(100)]
        cluster.store.execute(SubmitJob(job(*steps, repeat_count=5)))
        with mock.patch.object(RunTimeEstimator, "task_ms", return_value=1.0) as task:
            cluster.planner.plan(cluster.now, WALL_MS, {})
        self.assertLessEqual(task.call_count, 200)


if __name__ == "__main__":
    unittest.main()
