"""Tests of the limits and shares of client accounts."""

import unittest

from persimmonyard.decisions.quota import (
    AccountUse,
    JobRate,
    OverLimit,
    ShareRank,
    WithinLimit,
    decide_quota,
    entitled_shares,
    share_rank,
)
from persimmonyard.model import Resources

CAPACITY = Resources(100, 10_000, 1_000)


class LimitTests(unittest.TestCase):
    def test_each_resource_is_bound_exactly(self):
        """Guards against a start above a limit, or one refused below it."""
        use = AccountUse(Resources(6, 2_000, 500), Resources(8, 4_000, 0))
        cases = (
            (Resources(1, 1_000, 9_000), 2, WithinLimit()),
            (Resources(1, 0, 0), 3, OverLimit("accelerators", 6, 8)),
            (Resources(0, 1_001, 0), 2, OverLimit("cores", 2_000, 4_000)),
        )
        for needs, tasks, expected in cases:
            with self.subTest(needs):
                self.assertEqual(expected, decide_quota(use, needs, tasks))

    def test_an_account_above_a_lowered_limit_starts_nothing(self):
        """Guards against starts while an account is above its limit."""
        use = AccountUse(Resources(9, 0, 0), Resources(8, 0, 0))
        decision = decide_quota(use, Resources(0, 1_000, 0), 1)
        self.assertEqual(OverLimit("accelerators", 9, 8), decision)

    def test_no_limit(self):
        """Guards against an account without a limit that cannot start."""
        use = AccountUse(Resources(9, 9, 9), Resources(0, 0, 0))
        self.assertEqual(WithinLimit(), decide_quota(use, Resources(9, 9, 9), 9))


class ShareTests(unittest.TestCase):
    def test_weights_of_idle_accounts_are_distributed(self):
        """Guards against capacity that is kept for accounts that need none."""
        weights = {"a": 1.0, "b": 3.0, "idle": 4.0, "none": 0.0}
        shares = entitled_shares(weights, ["a", "b", "none", "unknown"])
        self.assertEqual({"a": 0.25, "b": 0.75}, shares)
        self.assertEqual({}, entitled_shares({}, ["a"]))
        extreme = entitled_shares(
            {"a": 2.0**1_023, "b": 2.0**1_023, "c": 5e-324}, "abc"
        )
        self.assertEqual({"a": 0.5, "b": 0.5, "c": 0.0}, extreme)

    def test_the_dominant_resource_decides(self):
        """Guards against a share by a resource that is not scarce."""
        below, at_share = Resources(24, 100, 0), Resources(1, 2_500, 0)
        self.assertEqual(ShareRank.BELOW_SHARE, share_rank(below, CAPACITY, 0.25))
        self.assertEqual(ShareRank.AT_SHARE, share_rank(at_share, CAPACITY, 0.25))
        without_capacity = share_rank(below, Resources(0, 0, 0), 0.25)
        self.assertEqual(ShareRank.BELOW_SHARE, without_capacity)


class JobRateTests(unittest.TestCase):
    def count_within(self, weight, interval_ms, jobs):
        rate, count = JobRate.full(weight, 0), 0
        for number in range(jobs):
            rate, within = rate.after_job(weight, number * interval_ms)
            count += within
        return count

    def test_only_jobs_beyond_the_rate_lose_their_entitlement(self):
        """Guards against a burst that counts as entitled.

        A load at the rate must count as entitled.
        """
        self.assertEqual(100, self.count_within(10.0, 100, 100))
        # 750 jobs in 9.737 s: 10 at once at the start, and 10 a second.
        self.assertEqual(107, self.count_within(10.0, 13, 750))
        self.assertEqual(5, self.count_within(0.5, 1_000, 10))

    def test_a_clock_that_goes_back_adds_nothing(self):
        """Guards against entitlement from a jump of the time of day."""
        rate, _ = JobRate.full(1.0, 10_000).after_job(1.0, 10_000)
        rate, within = rate.after_job(1.0, 0)
        self.assertFalse(within)
