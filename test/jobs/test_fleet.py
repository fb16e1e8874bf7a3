"""Tests of the leader's view of upstreams, their clocks and leases."""

import unittest

from persimmonyard.jobs import Fleet, UpstreamHealth
from test.jobs.fixtures import report

LEASE_MS = 9_000


class FleetTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(1.5)

    def observe(self, now, **fields):
        return self.fleet.observe(report("u1", **fields), now)

    def test_outdated_reports_change_nothing(self):
        """Guards against an outdated report that cancels a departure.

        Reports may arrive out of order.  An older one must neither cancel a
        departure nor replace a newer incarnation.
        """
        self.observe(1.0, sequence=5, leaving=True)
        upstream, _ = self.observe(2.0, sequence=4)
        self.assertTrue(upstream.report.leaving)
        self.observe(3.0, incarnation=2)
        upstream, new = self.observe(4.0, incarnation=1, sequence=9)
        self.assertEqual((2, False), (upstream.report.incarnation, new))

    def test_leaving_is_final_for_an_incarnation(self):
        """Guards against placing work on an upstream that is leaving.

        A later report of the same incarnation may omit the departure.
        """
        self.observe(1.0, sequence=1, leaving=True)
        upstream, _ = self.observe(2.0, sequence=2)
        self.assertFalse(self.fleet.is_available(upstream, 2.0))

    def test_lease_ends_on_the_slowest_clock(self):
        """Guards against a second run while the first one holds its lease.

        The upstream's clock may run at 0.98 of the leader's rate, so its
        lease ends later than the leader's clock suggests.
        """
        upstream, _ = self.observe(10.0, clock_ms=50_000)
        upstream.grant_lease(LEASE_MS, 10.0)
        self.assertFalse(upstream.leases_expired(10.0 + LEASE_MS / 1_000))
        self.assertFalse(upstream.leases_expired(10.0 + LEASE_MS / 1_000 / 0.98))
        self.assertTrue(upstream.leases_expired(10.0 + LEASE_MS / 1_000 / 0.98 + 0.2))

    def test_restored_lease_counts_from_the_take_over(self):
        """Guards against a new leader that ignores leases it did not grant.

        The previous leader may have granted a lease until the failover, and
        the first clock reading must not shorten it.
        """
        self.fleet.restore_stale(report("u1", sequence=-1), LEASE_MS, 10.0)
        upstream = self.fleet.by_id["u1"]
        self.assertFalse(self.fleet.is_available(upstream, 10.0))
        self.assertFalse(upstream.leases_expired(10.0 + LEASE_MS / 1_000))
        upstream.record_clock(70_000, 12.0)
        self.assertFalse(upstream.leases_expired(10.0 + LEASE_MS / 1_000))
        self.assertTrue(upstream.leases_expired(10.0 + LEASE_MS / 1_000 / 0.98 + 0.3))

    def test_outdated_clock_readings_are_ignored(self):
        """Guards against an estimate of a clock that goes backwards.

        A late answer contains an outdated clock reading.  If it were used,
        leases would seem to end later.
        """
        upstream, _ = self.observe(10.0, clock_ms=50_000)
        upstream.record_clock(50_100, 20.0)
        self.assertGreater(upstream.clock_floor_ms(20.0), 59_000)

    def test_silent_upstreams_are_removed_unless_they_run_something(self):
        """Guards against a list of upstreams that grows without bound.

        Upstreams that still have runs are kept.
        """
        self.observe(10.0)
        self.assertEqual([], self.fleet.remove_silent(60.0, {"u1"}, 100.0))
        self.assertEqual(["u1"], self.fleet.remove_silent(60.0, set(), 100.0))


class HealthTests(unittest.TestCase):
    def test_failures_of_different_jobs_lead_to_growing_pauses(self):
        """Guards against placing work on an upstream where all tasks fail.

        Failures of a single job do not count, since it may be the cause.
        """
        health = UpstreamHealth()
        self.assertEqual(0.0, health.record_failure("u1", "a"))
        self.assertEqual(0.0, health.record_failure("u1", "a"))
        first = health.record_failure("u1", "b")
        self.assertGreater(health.record_failure("u1", "c"), first)
        health.record_success("u1")
        self.assertEqual(0.0, health.record_failure("u1", "d"))
