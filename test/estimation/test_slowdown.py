"""Tests of the slowdown model on a replayed load."""

import math
import random
import unittest

from persimmonyard.estimation import SlowdownModel

PAIR_FACTOR = 0.6


def disturbed_rate(kind, neighbours, generator):
    """Return a rate measured over whole percents, in percent per second.

    Kinds a and b slow each other, and d slows c to a half.
    """
    rate = 10.0
    if (kind == "a" and "b" in neighbours) or (kind == "b" and "a" in neighbours):
        rate *= PAIR_FACTOR
    if kind == "c" and "d" in neighbours:
        rate *= 0.5
    seconds = 1.5 * generator.uniform(0.8, 1.2) * 10.0 / rate
    begin = generator.random()
    return (int(begin + rate * seconds) - int(begin)) / seconds


class SlowdownModelTests(unittest.TestCase):
    def setUp(self):
        self.model = SlowdownModel()
        self.generator = random.Random(7)
        self.now = 100.0

    def replay(self, changes, kinds="abc", upstreams=6, rate=disturbed_rate):
        """Let one neighbour of a run come or go at each change."""
        for number in range(changes):
            self.now += 0.1
            kind = self.generator.choice(kinds)
            before = {
                other: self.generator.randint(1, 3)
                for other in kinds
                if self.generator.random() < 0.5
            }
            changed = self.generator.choice(kinds)
            after = dict(before)
            if after.pop(changed, None) is None:
                after[changed] = 1
            ratio = rate(kind, after, self.generator)
            ratio /= rate(kind, before, self.generator)
            upstream_id = f"u{number % upstreams}"
            self.model.observe(kind, upstream_id, before, after, ratio, self.now)

    def known(self):
        return {
            (pair.slowed, pair.by): pair.factor for pair in self.model.known_pairs()
        }

    def test_only_kinds_that_slow_each_other_become_known(self):
        """Guards against effects that are missed, or seen in the noise."""
        self.replay(400)
        known = self.known()
        self.assertEqual({("a", "b"), ("b", "a")}, set(known))
        for factor in known.values():
            self.assertAlmostEqual(PAIR_FACTOR, factor, delta=0.08)
        estimate = self.model.slowdown("a", {"b": 2, "c": 1})
        self.assertAlmostEqual(PAIR_FACTOR, estimate.factor, delta=0.08)
        self.assertGreater(estimate.weight, 4.0)
        self.assertEqual((1.0, 0), self.model.slowdown("c", {"a": 1, "b": 1}))

    def test_three_kinds_at_once_are_told_apart(self):
        """Guards against a kind blamed for another that came with it."""
        self.replay(300, kinds="abcd")
        for number in range(40):
            self.now += 0.1
            neighbours = {"b": 1, "c": 1}
            ratio = disturbed_rate("a", neighbours, self.generator) / 10.0
            upstream_id = f"u{number % 6}"
            self.model.observe("a", upstream_id, {}, neighbours, ratio, self.now)
            self.model.observe("a", upstream_id, neighbours, {}, 1 / ratio, self.now)
        known = self.known()
        self.assertEqual({("a", "b"), ("b", "a"), ("c", "d")}, set(known))
        self.assertAlmostEqual(PAIR_FACTOR, known["a", "b"], delta=0.08)

    def test_kinds_that_always_come_together_are_not_blamed(self):
        """Guards against an effect attributed to both of two newcomers."""
        for number in range(20):
            self.model.observe("a", f"u{number}", {}, {"b": 1, "c": 1}, 0.6, 100.0)
            self.assertEqual({}, self.known())

    def test_upstream_that_becomes_slow_makes_no_pair_known(self):
        """Guards against a failing upstream taken for interference.

        All its runs slow down at the moment when a neighbour arrives.
        """
        for number in range(30):
            kind = "abc"[number % 3]
            self.model.observe(kind, "u1", {}, {"d": 1}, 0.4, 100.0 + number)
        self.assertEqual({}, self.known())
        for number in range(3):
            self.model.observe("a", "u2", {}, {"d": 1}, 1.02, 130.0 + number)
        self.assertEqual({}, self.known())

    def test_one_upstream_does_not_set_the_effect(self):
        """Guards against a factor that is that of one slow upstream.

        It has the strongest effect and the most observations.
        """
        for upstream_id, ratio in (*[("u1", 0.4)] * 4, ("u2", 0.7), ("u3", 0.9)):
            self.model.observe("a", upstream_id, {}, {"b": 1}, ratio, 100.0)
        self.assertAlmostEqual(0.7, self.known()["a", "b"])

    def test_effect_that_some_upstreams_contradict_is_not_known(self):
        """Guards against noise that looks like an effect on most upstreams."""
        for number, ratio in enumerate((0.85, 0.85, 0.85, 0.85, 1.0, 1.0)):
            self.model.observe("a", f"u{number}", {}, {"b": 1}, ratio, 100.0)
        self.assertEqual({}, self.known())

    def test_neighbours_for_a_part_of_the_time(self):
        """Guards against the noise of a short presence, scaled up.

        A presence for nearly all of the time counts, and that of another kind
        for nearly none of it does no harm.
        """
        for number in range(6):
            self.model.observe("a", f"u{number}", {}, {"c": 0.4}, 0.8, 100.0)
            after = {"b": 0.9, "c": 0.1}
            self.model.observe("a", f"u{number}", {}, after, 0.6, 100.0)
        self.assertEqual({("a", "b")}, set(self.known()))

    def test_few_observations_make_no_pair_known(self):
        """Guards against a pair that rests on less than five observations."""
        for number in range(4):
            self.model.observe("a", f"u{number}", {}, {"b": 1}, 0.6, 100.0)
        self.assertEqual({}, self.known())
        self.model.observe("a", "u1", {"b": 1}, {}, 1 / 0.6, 101.0)
        self.assertEqual({("a", "b")}, set(self.known()))

    def test_effect_that_ends_is_forgotten(self):
        """Guards against tasks kept apart for ever after a change."""
        self.replay(300)
        self.assertEqual(2, len(self.known()))
        self.replay(300, rate=lambda _kind, _neighbours, _generator: 10.0)
        self.assertEqual({}, self.known())

    def test_effect_that_is_not_seen_again_is_forgotten(self):
        """Guards against tasks kept apart on the strength of old figures.

        Tasks that are kept apart give no observations.
        """
        self.replay(300)
        self.model.advance(self.now + 100.0)
        self.assertEqual(2, len(self.known()))
        self.model.advance(self.now + 300.0)
        self.assertEqual({}, self.known())
        self.assertEqual((1.0, 0), self.model.slowdown("a", {"b": 1}))

    def test_many_kinds_stay_bounded(self):
        """Guards against memory that grows with the images of callers."""
        for number in range(20_000):
            kind = f"k{number // 10 % 900}"
            other = f"k{number % 900}"
            ratio = self.generator.uniform(0.5, 1.0)
            self.model.observe(kind, f"u{number}", {}, {other: 1}, ratio, number / 100)
        kinds = set(self.model._pair_by_kinds)
        pairs = 0
        for others in self.model._pair_by_kinds.values():
            kinds.update(others)
            pairs += len(others)
        self.assertLessEqual(len(kinds), 64)
        self.assertLessEqual(pairs, 64 * 64)

    def test_odd_ratios_are_ignored(self):
        """Guards against an error, or a pair spoiled by one odd figure."""
        for ratio in (0.0, -1.0, math.inf, math.nan):
            self.model.observe("a", "u1", {}, {"b": 1}, ratio, 100.0)
        self.model.observe("a", "u1", {"b": 1}, {"b": 2}, 0.5, 100.0)
        self.assertEqual({}, self.model._pair_by_kinds)


if __name__ == "__main__":
    unittest.main()
