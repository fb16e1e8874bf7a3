"""Tests of jobs of which no start was carried out."""

import unittest

from persimmonyard.jobs import JobState, JobStore, TaskEnd
from test.jobs.fixtures import JOB_ID, Cluster, step


class RefusedStartTests(unittest.TestCase):
    def place(self, *steps):
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(*steps)
        cluster.place()
        return cluster, cluster.store.job_by_id[JOB_ID]

    def end_all(self, cluster, record, end):
        for key, unit in record.units.items():
            if unit.seats:
                cluster.end_run(key, unit, end)

    def test_job_whose_starts_are_refused_is_still_queued(self):
        """Guards against a count of queued jobs that leaves out such jobs."""
        cluster, record = self.place(step(2))
        self.assertEqual(0, cluster.store.count_queued("normal"))
        self.end_all(cluster, record, TaskEnd.REJECTED)
        self.assertEqual(1, cluster.store.count_queued("normal"))
        self.assertEqual(JobState.QUEUED, record.state())
        restored = JobStore()
        restored.restore(cluster.store.snapshot())
        self.assertEqual(1, restored.count_queued("normal"))
        cluster.place()
        self.assertEqual(JobState.RUNNING, record.state())
        self.end_all(cluster, record, TaskEnd.REJECTED)
        self.assertEqual(1, cluster.store.count_queued("normal"))

    def test_job_of_which_a_task_has_run_is_not_queued_again(self):
        """Guards against a job that has begun and is shown as queued."""
        for end in (TaskEnd.FAILED, TaskEnd.LOST, TaskEnd.DONE):
            cluster, record = self.place(step(), step())
            first, second = record.units.items()
            cluster.end_run(*first, end)
            cluster.end_run(*second, TaskEnd.REJECTED)
            self.assertEqual(0, cluster.store.count_queued("normal"), end)
            cluster.place()
            cluster.end_run(*second, TaskEnd.REJECTED)
            self.assertEqual(0, cluster.store.count_queued("normal"), end)


if __name__ == "__main__":
    unittest.main()
