"""Tests of what the leader knows of upstreams, clocks and leases."""

import unittest

from persimmonyard.jobs import Fleet, UpstreamHealth
from test.jobs.fixtures import report

LEASE_MS = 9_000


class FleetTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(1.5)

    def observe(self, now, **fields):
        return self.fleet.observe(report("u1", **fields), now)

    def test_overtaken_reports_change_nothing(self):
        """Guards against a late report that revives what has left."""
        self.observe(1.0, sequence=5, leaving=True)
        upstream, _ = self.observe(2.0, sequence=4)
        self.assertTrue(upstream.report.leaving)
        self.observe(3.0, incarnation=2)
        upstream, new = self.observe(4.0, incarnation=1, sequence=9)
        self.assertEqual((2, False), (upstream.report.incarnation, new))

    def test_leaving_is_final_for_an_incarnation(self):
        """Guards against work for an upstream that said that it leaves."""
        self.observe(1.0, sequence=1, leaving=True)
        upstream, _ = self.observe(2.0, sequence=2)
        self.assertFalse(self.fleet.fresh(upstream, 2.0))

    def test_lease_ends_on_the_slowest_clock(self):
        """Guards against a second run while a slow clock still holds one."""
        upstream, _ = self.observe(10.0, clock_ms=50_000)
        upstream.grant(LEASE_MS, 10.0)
        self.assertFalse(upstream.lapsed(10.0 + LEASE_MS / 1_000))
        self.assertFalse(upstream.lapsed(10.0 + LEASE_MS / 1_000 / 0.98))
        self.assertTrue(upstream.lapsed(10.0 + LEASE_MS / 1_000 / 0.98 + 0.2))

    def test_inherited_lease_counts_from_the_take_over(self):
        """Guards against a new leader that forgets a former one's leases."""
        self.fleet.inherit(report("u1", sequence=-1), LEASE_MS, 10.0)
        upstream = self.fleet.by_id["u1"]
        self.assertFalse(self.fleet.fresh(upstream, 10.0))
        self.assertFalse(upstream.lapsed(10.0 + LEASE_MS / 1_000))
        upstream.note_clock(70_000, 12.0)
        self.assertFalse(upstream.lapsed(10.0 + LEASE_MS / 1_000))
        self.assertTrue(upstream.lapsed(10.0 + LEASE_MS / 1_000 / 0.98 + 0.3))

    def test_late_readings_do_not_turn_a_clock_back(self):
        """Guards against a lease that seems longer after a late answer."""
        upstream, _ = self.observe(10.0, clock_ms=50_000)
        upstream.note_clock(50_100, 20.0)
        self.assertGreater(upstream.clock_floor_ms(20.0), 59_000)

    def test_silent_upstreams_are_forgotten_unless_they_run_something(self):
        """Guards against a fleet that only grows."""
        self.observe(10.0)
        self.assertEqual([], self.fleet.forget(60.0, {"u1"}, 100.0))
        self.assertEqual(["u1"], self.fleet.forget(60.0, set(), 100.0))


class HealthTests(unittest.TestCase):
    def test_failures_of_different_jobs_lead_to_growing_pauses(self):
        """Guards against an upstream that fails all it starts."""
        health = UpstreamHealth()
        self.assertEqual(0.0, health.note_failure("u1", "a"))
        self.assertEqual(0.0, health.note_failure("u1", "a"))
        first = health.note_failure("u1", "b")
        self.assertGreater(health.note_failure("u1", "c"), first)
        health.note_success("u1")
        self.assertEqual(0.0, health.note_failure("u1", "d"))
