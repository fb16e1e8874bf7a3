"""Tests of the speed that a unit needs."""

import unittest

from persimmonyard.decisions import (
    FastestFirst,
    SlowestFirst,
    UnitPace,
    choose_speed_order,
    idle_share,
    speed_level,
)


class SpeedOrderTests(unittest.TestCase):
    def test_urgent_work_avoids_upstreams_that_make_it_late(self):
        """Guards against an objective of 1.5 times the work at speed 0.6."""
        for work_ms in (200, 2_100, 8_000):
            slack_ms = 0.5 * work_ms + 250
            order = choose_speed_order(UnitPace(work_ms, slack_ms, 1.5))
            self.assertIsInstance(order, FastestFirst)
            self.assertGreater(order.min_level, speed_level(0.6))
            self.assertLessEqual(order.min_level, speed_level(0.8))

    def test_work_that_can_wait_leaves_fast_upstreams_free(self):
        """Guards against batch work where urgent work needs the speed."""
        order = choose_speed_order(UnitPace(6_500, 2 * 6_500 + 3_000, 3.0))
        self.assertIsInstance(order, SlowestFirst)
        self.assertLessEqual(order.min_level, speed_level(0.6))

    def test_work_that_has_waited_takes_fast_upstreams(self):
        """Guards against slow seats once the slack has been used up."""
        order = choose_speed_order(UnitPace(6_500, 500, 3.0))
        self.assertIsInstance(order, FastestFirst)

    def test_late_work_is_placed_at_any_speed_that_is_not_slow(self):
        """Guards against work that no upstream counts as fast enough for."""
        order = choose_speed_order(UnitPace(6_500, -9_000, 3.0))
        self.assertEqual(FastestFirst(0), order)

    def test_members_that_wait_for_a_slow_one_count_as_idle(self):
        """Guards against a gang whose fast members wait for a slow one."""
        self.assertEqual(0.0, idle_share([3, 3, 3]))
        self.assertGreater(idle_share([3, 3, -3]), 0.5)
