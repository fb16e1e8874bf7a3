"""Tests of the decision whether a seat slows anyone."""

import unittest

from persimmonyard.decisions import (
    Effect,
    Slowed,
    Undisturbed,
    decide_separation,
    effects_on,
)

EFFECTS = (Effect("a", "b", 0.6), Effect("b", "a", 0.8), Effect("c", "a", 0.5))


class SeparationTests(unittest.TestCase):
    def decide(self, kind, *running):
        return decide_separation(running, effects_on(kind, EFFECTS))

    def test_slowdown_counts_both_ways(self):
        """Guards against a newcomer that slows those that run already."""
        for kind, other in (("a", "b"), ("b", "a")):
            match self.decide(kind, other, "x"):
                case Slowed(factor, by, reason):
                    self.assertEqual((0.6, "b"), (factor, by))
                    self.assertEqual("a runs at 0.60 beside b", reason)
                case decision:
                    self.fail(decision)

    def test_strongest_effect_counts(self):
        """Guards against a seat that seems better with one more neighbour."""
        for running in (("b", "c"), ("c", "b")):
            decision = self.decide("a", *running)
            self.assertEqual(Slowed(0.5, "a", "c runs at 0.50 beside a"), decision)

    def test_seat_without_known_effect_is_undisturbed(self):
        """Guards against tasks kept apart without a reason."""
        self.assertEqual(Undisturbed(), self.decide("a"))
        self.assertEqual(Undisturbed(), self.decide("b", "b", "c"))
        self.assertEqual(Undisturbed(), self.decide("x", "a", "b", "c"))


if __name__ == "__main__":
    unittest.main()
