"""Tests of the ends that upstreams may forget, in the replicated state."""

import unittest

from persimmonyard.jobs import EndDoubt
from persimmonyard.jobs.noted_doubts import NotedDoubts

LIMIT = 4_096


class NotedDoubtsTests(unittest.TestCase):
    def setUp(self):
        self.doubts = NotedDoubts()

    def test_doubt_about_an_earlier_incarnation_changes_nothing(self):
        """Guards against a late command that hides the present doubt."""
        self.doubts.note(EndDoubt("u1", 2, 5))
        self.doubts.note(EndDoubt("u1", 1, 0))
        self.doubts.note(EndDoubt("u1", 1, 9))
        self.assertEqual(5, self.doubts.count("u1", 2))
        self.assertEqual(0, self.doubts.count("u1", 1))
        self.assertEqual(0, self.doubts.count("u1", 3))

    def test_ended_doubt_is_deleted(self):
        """Guards against end probes that never stop."""
        self.doubts.note(EndDoubt("u1", 2, 5))
        self.doubts.note(EndDoubt("u1", 2, 0))
        self.assertEqual(0, self.doubts.count("u1", 2))
        self.assertEqual([], self.doubts.all())

    def test_doubt_outlives_newer_ones_up_to_a_limit(self):
        """Guards against a state that grows with each upstream there was."""
        for number in range(LIMIT + 1):
            self.doubts.note(EndDoubt(f"u{number}", 1, 3))
        self.assertEqual(LIMIT, len(self.doubts.all()))
        self.assertEqual(0, self.doubts.count("u0", 1))
        self.assertEqual(3, self.doubts.count("u1", 1))
        restored = NotedDoubts(self.doubts.all())
        self.assertEqual(self.doubts.all(), restored.all())
