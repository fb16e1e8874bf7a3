"""Tests of persimmonyard.scheduler.health."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyard.scheduler import health
from persimmonyard.scheduler.health import HealthTracker


class HealthTrackerTests(unittest.TestCase):
    def setUp(self):
        self.tracker = HealthTracker()

    def fail_jobs(self, upstream_id, request_ids, now=0.0, workload=""):
        """Record failed jobs on one upstream; return the last result."""
        until = None
        for request_id in request_ids:
            until = self.tracker.record_failure(upstream_id, request_id, now, workload)
        return until

    def test_upstream_failing_different_jobs_is_quarantined(self):
        """An upstream that fails three different jobs must be quarantined.

        Otherwise it would attract and fail one job after another.
        """
        self.assertIsNone(self.fail_jobs("bad", ["r-1", "r-2"]))
        self.assertEqual(self.fail_jobs("bad", ["r-3"]), health.FIRST_QUARANTINE_S)
        self.assertEqual(
            self.tracker.quarantined_until("bad", 1.0), health.FIRST_QUARANTINE_S
        )

    def test_one_job_failing_often_does_not_quarantine_an_upstream(self):
        """Retries of one bad job must not quarantine an upstream.

        Only failures of different jobs count.
        """
        self.assertIsNone(self.fail_jobs("u", ["r-1"] * 20))

    def test_rare_success_does_not_hide_a_bad_upstream(self):
        """One success among many failures must not prevent a quarantine."""
        self.tracker.record_failure("bad", "r-1", 0.0)
        self.tracker.record_success("bad", "r-2", 0.0)
        self.assertIsNotNone(self.fail_jobs("bad", ["r-3", "r-4"]))

    def test_earlier_successes_do_not_hide_an_upstream_that_turns_bad(self):
        """Three different failed jobs in a row suffice after many successes.

        Without this rule, successes in the window would hide an upstream that
        has started to fail everything.
        """
        self.tracker.record_failure("bad", "r-0", 0.0)
        for number in range(health.OUTCOME_WINDOW):
            self.tracker.record_success("bad", f"s-{number}", 0.0)
        self.assertIsNotNone(self.fail_jobs("bad", ["r-1", "r-2", "r-3"]))

    def test_upstream_that_runs_half_of_its_jobs_is_not_quarantined(self):
        """Failures that alternate with successes must not quarantine."""
        for number in range(20):
            self.assertIsNone(self.fail_jobs("u", [f"bad-{number}"]))
            self.tracker.record_success("u", f"good-{number}", 0.0)

    def test_job_failing_on_healthy_upstreams_is_at_fault(self):
        """A job that fails on three healthy upstreams is itself at fault."""
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.assertFalse(self.tracker.is_job_at_fault("r"))
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.assertTrue(self.tracker.is_job_at_fault("r"))

    def test_failures_of_a_job_at_fault_do_not_count_against_upstreams(self):
        """A job at fault must not contribute to another quarantine."""
        for upstream_id in ("u-1", "u-2", "u-3", "u-4"):
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.assertIsNone(self.fail_jobs("u-4", ["s-1", "s-2"]))

    def test_job_sent_to_unhealthy_upstreams_is_not_at_fault(self):
        """Failures on unhealthy upstreams must not count against a job.

        Another job fails on each of them too, so the cause is not known.
        """
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.fail_jobs(upstream_id, [f"{upstream_id}-a", "r"])
        self.assertFalse(self.tracker.is_job_at_fault("r"))

    def test_job_that_ran_on_a_bad_upstream_first_is_not_at_fault(self):
        """A failure must not count against a job if its upstream is bad.

        The job fails there before the upstream is quarantined, so the failure
        must be discounted when the quarantine starts.
        """
        self.fail_jobs("bad", ["r", "a", "b"])
        self.fail_jobs("u-1", ["r"])
        self.fail_jobs("u-2", ["r"])
        self.assertFalse(self.tracker.is_job_at_fault("r"))

    def test_job_failing_in_quarantine_is_not_at_fault(self):
        """Failures on quarantined upstreams must not count against a job."""
        for number in range(4):
            name = f"u-{number}"
            self.fail_jobs(name, [f"{number}-{other}" for other in "abc"])
            for old in range(health.OUTCOME_WINDOW):
                self.tracker.record_success(name, f"old-{old}", 1.0)
            self.tracker.record_failure(name, "r", 2.0)
        self.assertFalse(self.tracker.is_job_at_fault("r"))

    def test_job_stays_at_fault_when_an_upstream_turns_bad(self):
        """A job stays at fault if one of its upstreams is quarantined later.

        Otherwise the job would count against the upstreams again.
        """
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.assertIsNotNone(self.fail_jobs("u-1", ["a", "b", "c"]))
        self.assertTrue(self.tracker.is_job_at_fault("r"))

    def test_success_clears_a_job(self):
        """A job that finished is not at fault, even after many failures."""
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.tracker.record_success("u-4", "r", 0.0)
        self.assertFalse(self.tracker.is_job_at_fault("r"))

    def test_forgotten_job_leaves_no_record(self):
        """The records of a job that ended must be freed."""
        self.tracker.record_failure("u-1", "r", 0.0)
        self.tracker.forget_job("r")
        self.assertNotIn("r", self.tracker._job_by_id)

    def test_broken_workload_does_not_quarantine_the_fleet(self):
        """A workload whose jobs fail everywhere must not quarantine upstreams.

        Its jobs are all different, so the rule for single jobs does not help.
        """
        for upstream in range(6):
            self.tracker.record_failure(f"u-{upstream}", f"first-{upstream}", 0.0, "g")
        for upstream in range(6):
            jobs = [f"{upstream}-{number}" for number in range(5)]
            self.fail_jobs(f"u-{upstream}", jobs, workload="g")
            self.assertIsNone(self.tracker.quarantined_until(f"u-{upstream}", 0.0))
        self.assertTrue(self.tracker.is_workload_at_fault("g"))

    def test_workload_with_success_elsewhere_reveals_a_bad_upstream(self):
        """Failures of a workload that succeeds elsewhere must still count.

        Otherwise a bad upstream would not be found.
        """
        self.fail_jobs("bad", ["r-1", "r-2"], workload="g")
        for number in range(4):
            self.tracker.record_success(f"u-{number}", f"s-{number}", 0.0, "g")
        self.fail_jobs("u-8", ["r-1"], workload="g")
        self.fail_jobs("u-9", ["r-2"], workload="g")
        self.assertIsNotNone(self.fail_jobs("bad", ["r-3"], workload="g"))

    def test_probe_is_due_after_the_quarantine(self):
        """A probe is due at the end of the quarantine and not before."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        self.assertFalse(self.tracker.needs_probe("bad", until - 1.0))
        self.assertTrue(self.tracker.needs_probe("bad", until))
        self.assertIsNone(self.tracker.quarantined_until("bad", until))

    def test_failed_probe_doubles_the_quarantine_up_to_a_limit(self):
        """Each failed probe doubles the quarantine, to at most one hour."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        waits = []
        for number in range(12):
            now = until
            until = self.tracker.record_failure("bad", f"p-{number}", now)
            waits.append(until - now)
        self.assertEqual(waits[:2], [60.0, 120.0])
        self.assertEqual(waits[-2:], [health.MAX_QUARANTINE_S] * 2)

    def test_failed_probe_of_a_job_at_fault_is_ignored(self):
        """A job that is at fault must not decide a probe by failing."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.assertIsNone(self.tracker.record_failure("bad", "r", until))
        self.assertTrue(self.tracker.needs_probe("bad", until))

    def test_successful_probe_ends_probing(self):
        """After a successful probe an upstream starts without a bad record."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        self.tracker.record_success("bad", "p", until)
        self.assertFalse(self.tracker.needs_probe("bad", until + 1.0))
        self.assertIsNone(self.fail_jobs("bad", ["r-4", "r-5"], until + 1.0))

    def test_success_during_a_quarantine_does_not_end_it(self):
        """A task that was started before the quarantine must not end it.

        Only a success after the quarantine counts as a probe.
        """
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        self.tracker.record_success("bad", "old", until - 1.0)
        self.assertIsNotNone(self.tracker.quarantined_until("bad", until - 0.5))

    def test_quarantine_soon_after_a_probe_lasts_longer(self):
        """A quarantine soon after a probe lasts longer than the first one.

        After ``BACKOFF_RESET_S`` the backoff starts again.
        """
        now = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        self.tracker.record_success("bad", "p", now)
        soon = self.fail_jobs("bad", ["s-1", "s-2", "s-3"], now)
        self.assertEqual(soon - now, 2 * health.FIRST_QUARANTINE_S)
        self.tracker.record_success("bad", "q", soon)
        late = soon + 2 * health.BACKOFF_RESET_S
        until = self.fail_jobs("bad", ["t-1", "t-2", "t-3"], late)
        self.assertEqual(until - late, health.FIRST_QUARANTINE_S)

    def test_memory_is_bounded(self):
        """Records of upstreams, jobs and workloads are limited in number."""
        for number in range(health.MAX_UPSTREAMS + 5):
            name = str(number)
            self.tracker.record_failure(name, name, 0.0, name)
        self.assertEqual(len(self.tracker._upstream_by_id), health.MAX_UPSTREAMS)
        self.assertEqual(len(self.tracker._job_by_id), health.MAX_JOBS)
        self.assertEqual(len(self.tracker._workload_by_name), health.MAX_WORKLOADS)
        for number in range(health.MAX_VERDICTS + 5):
            self.tracker.record_failure(str(number), "r", 0.0)
        verdicts = self.tracker._job_by_id["r"]
        self.assertEqual(
            verdicts.count(True) + verdicts.count(False), health.MAX_VERDICTS
        )

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.integers(0, 10_000), st.sets(st.integers(0, 11), max_size=3))
    def test_bad_upstreams_and_bad_jobs_are_told_apart(self, seed, bad_upstreams):
        """After random jobs, exactly the bad upstreams are suspected.

        An upstream is suspected if it is quarantined or needs a probe.
        """
        tracker = HealthTracker()
        generator = random.Random(seed)
        for number in range(600):
            for upstream in generator.sample(range(12), 5):
                name = f"u-{upstream}"
                if tracker.quarantined_until(name, float(number)):
                    continue
                if upstream not in bad_upstreams and number % 10:
                    tracker.record_success(name, f"r-{number}", float(number))
                    break
                tracker.record_failure(name, f"r-{number}", float(number))
        suspected = set()
        for upstream in range(12):
            name = f"u-{upstream}"
            if tracker.quarantined_until(name, 600.0) or tracker.needs_probe(
                name, 600.0
            ):
                suspected.add(upstream)
        self.assertEqual(suspected, bad_upstreams)
