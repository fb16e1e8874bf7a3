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
        """Let jobs fail on one upstream; return the last result."""
        until = None
        for request_id in request_ids:
            until = self.tracker.record_failure(upstream_id, request_id, now, workload)
        return until

    def test_upstream_failing_different_jobs_is_quarantined(self):
        """The third job that fails on an upstream closes it."""
        self.assertIsNone(self.fail_jobs("bad", ["r-1", "r-2"]))
        self.assertEqual(self.fail_jobs("bad", ["r-3"]), health.FIRST_QUARANTINE_S)
        self.assertEqual(
            self.tracker.quarantined_until("bad", 1.0), health.FIRST_QUARANTINE_S
        )

    def test_one_job_failing_often_does_not_close_an_upstream(self):
        """Retries of a single job are not failures across jobs."""
        self.assertIsNone(self.fail_jobs("u", ["r-1"] * 20))

    def test_rare_success_does_not_hide_a_bad_upstream(self):
        """One success among failures does not keep an upstream open."""
        self.tracker.record_failure("bad", "r-1", 0.0)
        self.tracker.record_success("bad", "r-2", 0.0)
        self.assertIsNotNone(self.fail_jobs("bad", ["r-3", "r-4"]))

    def test_earlier_successes_do_not_hide_an_upstream_that_turned_bad(self):
        """Three different jobs in a row are enough after many successes."""
        self.tracker.record_failure("bad", "r-0", 0.0)
        for number in range(health.OUTCOME_WINDOW):
            self.tracker.record_success("bad", f"s-{number}", 0.0)
        self.assertIsNotNone(self.fail_jobs("bad", ["r-1", "r-2", "r-3"]))

    def test_mostly_sound_upstream_stays_open(self):
        """An upstream that runs half of its jobs is not quarantined."""
        for number in range(20):
            self.assertIsNone(self.fail_jobs("u", [f"bad-{number}"]))
            self.tracker.record_success("u", f"good-{number}", 0.0)

    def test_job_failing_on_sound_upstreams_is_at_fault(self):
        """A job that fails wherever it runs is blamed, not the upstreams."""
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.assertFalse(self.tracker.is_job_at_fault("r"))
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.assertTrue(self.tracker.is_job_at_fault("r"))

    def test_failures_of_a_job_at_fault_do_not_count_against_upstreams(self):
        """A bad job does not help to close a fourth upstream."""
        for upstream_id in ("u-1", "u-2", "u-3", "u-4"):
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.assertIsNone(self.fail_jobs("u-4", ["s-1", "s-2"]))

    def test_job_sent_to_doubtful_upstreams_is_not_at_fault(self):
        """Failures where another job failed as well convict nobody."""
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.fail_jobs(upstream_id, [f"{upstream_id}-a", "r"])
        self.assertFalse(self.tracker.is_job_at_fault("r"))

    def test_job_that_met_a_bad_upstream_first_is_not_at_fault(self):
        """A failure no longer counts once the upstream is known to be bad."""
        self.fail_jobs("bad", ["r", "a", "b"])
        self.fail_jobs("u-1", ["r"])
        self.fail_jobs("u-2", ["r"])
        self.assertFalse(self.tracker.is_job_at_fault("r"))

    def test_job_failing_in_quarantine_is_not_at_fault(self):
        """Failures on upstreams known to be bad say nothing of the job."""
        for number in range(4):
            name = f"u-{number}"
            self.fail_jobs(name, [f"{number}-{other}" for other in "abc"])
            for old in range(health.OUTCOME_WINDOW):
                self.tracker.record_success(name, f"old-{old}", 1.0)
            self.tracker.record_failure(name, "r", 2.0)
        self.assertFalse(self.tracker.is_job_at_fault("r"))

    def test_job_at_fault_stays_so_when_an_upstream_turns_bad(self):
        """A verdict on a job holds if one of its upstreams fails later."""
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.assertIsNotNone(self.fail_jobs("u-1", ["a", "b", "c"]))
        self.assertTrue(self.tracker.is_job_at_fault("r"))

    def test_success_acquits_a_job(self):
        """A job that finished is not at fault, whatever failed before."""
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.tracker.record_success("u-4", "r", 0.0)
        self.assertFalse(self.tracker.is_job_at_fault("r"))

    def test_forgotten_job_leaves_no_record(self):
        """A job that ended does not stay in memory."""
        self.tracker.record_failure("u-1", "r", 0.0)
        self.tracker.forget_job("r")
        self.assertNotIn("r", self.tracker._job_by_id)

    def test_broken_group_does_not_close_the_fleet(self):
        """Many jobs with one cause that fail everywhere close no upstream."""
        for upstream in range(6):
            self.tracker.record_failure(f"u-{upstream}", f"first-{upstream}", 0.0, "g")
        for upstream in range(6):
            jobs = [f"{upstream}-{number}" for number in range(5)]
            self.fail_jobs(f"u-{upstream}", jobs, workload="g")
            self.assertIsNone(self.tracker.quarantined_until(f"u-{upstream}", 0.0))
        self.assertTrue(self.tracker.is_workload_at_fault("g"))

    def test_group_with_success_elsewhere_still_shows_a_bad_upstream(self):
        """A bad upstream is found by the failures of a sound group."""
        self.fail_jobs("bad", ["r-1", "r-2"], workload="g")
        for number in range(4):
            self.tracker.record_success(f"u-{number}", f"s-{number}", 0.0, "g")
        self.fail_jobs("u-8", ["r-1"], workload="g")
        self.fail_jobs("u-9", ["r-2"], workload="g")
        self.assertIsNotNone(self.fail_jobs("bad", ["r-3"], workload="g"))

    def test_probe_is_due_after_the_quarantine(self):
        """A quarantined upstream takes a probe at its end, not before."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        self.assertFalse(self.tracker.needs_probe("bad", until - 1.0))
        self.assertTrue(self.tracker.needs_probe("bad", until))
        self.assertIsNone(self.tracker.quarantined_until("bad", until))

    def test_failed_probe_doubles_the_quarantine_up_to_a_limit(self):
        """Each failed probe doubles the wait, and it never exceeds an hour."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        waits = []
        for number in range(12):
            now = until
            until = self.tracker.record_failure("bad", f"p-{number}", now)
            waits.append(until - now)
        self.assertEqual(waits[:2], [60.0, 120.0])
        self.assertEqual(waits[-2:], [health.MAX_QUARANTINE_S] * 2)

    def test_failed_probe_of_a_job_at_fault_is_ignored(self):
        """A job known to be bad says nothing as a probe."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        for upstream_id in ("u-1", "u-2", "u-3"):
            self.tracker.record_failure(upstream_id, "r", 0.0)
        self.assertIsNone(self.tracker.record_failure("bad", "r", until))
        self.assertTrue(self.tracker.needs_probe("bad", until))

    def test_successful_probe_clears(self):
        """After a good probe the upstream takes any work again."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        self.tracker.record_success("bad", "p", until)
        self.assertFalse(self.tracker.needs_probe("bad", until + 1.0))
        self.assertIsNone(self.fail_jobs("bad", ["r-4", "r-5"], until + 1.0))

    def test_success_of_work_started_before_does_not_end_a_quarantine(self):
        """Only a probe clears an upstream, not a task that ran on."""
        until = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        self.tracker.record_success("bad", "old", until - 1.0)
        self.assertIsNotNone(self.tracker.quarantined_until("bad", until - 0.5))

    def test_relapse_soon_after_a_probe_waits_longer(self):
        """An upstream that passes a probe and fails again waits longer."""
        now = self.fail_jobs("bad", ["r-1", "r-2", "r-3"])
        self.tracker.record_success("bad", "p", now)
        soon = self.fail_jobs("bad", ["s-1", "s-2", "s-3"], now)
        self.assertEqual(soon - now, 2 * health.FIRST_QUARANTINE_S)
        self.tracker.record_success("bad", "q", soon)
        late = soon + 2 * health.BACKOFF_RESET_S
        until = self.fail_jobs("bad", ["t-1", "t-2", "t-3"], late)
        self.assertEqual(until - late, health.FIRST_QUARANTINE_S)

    def test_memory_is_bounded(self):
        """Records of upstreams, jobs and groups do not grow without end."""
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
        """Random work ends with exactly the bad upstreams distrusted."""
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
        distrusted = set()
        for upstream in range(12):
            name = f"u-{upstream}"
            if tracker.quarantined_until(name, 600.0) or tracker.needs_probe(
                name, 600.0
            ):
                distrusted.add(upstream)
        self.assertEqual(distrusted, bad_upstreams)
