"""Tests of the speeds of upstreams."""

import math
import random
import unittest

from persimmonyard.estimation import SpeedModel

FACTORS = (0.6, 1.0, 1.6)
START_S = 5_000.0


class _SimulatedFleet:
    """Upstreams of three speeds, and the rates of the runs on them."""

    def __init__(self, seed: int, upstreams: int = 176):
        self.random = random.Random(seed)
        self.factor_by_id = {f"u{i}": FACTORS[i % 3] for i in range(upstreams)}
        self.ids = list(self.factor_by_id)
        self.unhealthy: set[str] = set()
        self.runs: list[tuple[str, str, float]] = []

    def add_gangs(self, count: int) -> None:
        for number in range(count):
            rate = self.random.uniform(5, 25)
            members = self.random.sample(self.ids, self.random.randint(5, 20))
            self.runs += [(f"gang {number}", member, rate) for member in members]

    def add_steps(self, count: int) -> None:
        for number in range(count):
            rate = self.random.uniform(5, 25)
            for _ in range(40):
                work = math.exp(self.random.gauss(0, 0.12))
                if self.random.random() < 0.03:
                    work = 7.0
                upstream_id = self.random.choice(self.ids)
                self.runs.append((f"step {number}", upstream_id, rate / work))

    def observe(self, model: SpeedModel, from_s: float, seconds: int) -> None:
        for second in range(seconds):
            self.random.shuffle(self.runs)
            for number, (group, upstream_id, rate) in enumerate(self.runs):
                rate *= self.factor_by_id[upstream_id]
                if upstream_id in self.unhealthy:
                    rate = 0.3
                at_s = from_s + second + number / len(self.runs)
                model.observe(group, upstream_id, rate, at_s)

    def count_wrong(self, model: SpeedModel) -> tuple[int, int]:
        """Return how many known factors are wrong, and how many are known."""
        wrong = known = 0
        for upstream_id, factor in self.factor_by_id.items():
            estimate = model.speed(upstream_id)
            if upstream_id in self.unhealthy or not estimate.weight:
                continue
            known += 1
            wrong += abs(math.log(estimate.factor / factor)) > math.log(1.25)
        return wrong, known


class SpeedModelTests(unittest.TestCase):
    def test_three_speeds_are_found_within_three_seconds(self):
        """Levels of separate gangs must not stay wrong by a factor of 1.6."""
        for seed in range(5):
            fleet = _SimulatedFleet(seed)
            fleet.unhealthy.add("u7")
            fleet.add_gangs(20)
            fleet.add_steps(5)
            model = SpeedModel()
            fleet.observe(model, START_S, 3)
            wrong, known = fleet.count_wrong(model)
            with self.subTest(seed=seed):
                self.assertGreater(known, 150)
                self.assertLessEqual(wrong, known * 0.05)

    def test_logged_gang_of_eight(self):
        """Exact ratios of a gang must be those of its upstreams."""
        factors = [1.0, 0.6, 1.0, 1.6, 1.0, 0.6, 1.6, 1.0]
        model = SpeedModel()
        for number, factor in enumerate(factors):
            model.observe("gang", f"u{number}", 16.5 * factor, START_S)
        for second in range(1, 6):
            for number, factor in enumerate(factors):
                for group in ("other", "third"):
                    rate = factor * (5 if group == "other" else 11)
                    model.observe(group, f"u{number}", rate, START_S + second)
        for number, factor in enumerate(factors):
            estimate = model.speed(f"u{number}")
            self.assertAlmostEqual(estimate.factor, factor, delta=0.1 * factor)

    def test_unhealthy_upstream_is_slow_only_while_it_lasts(self):
        """A standstill must neither persist nor affect other upstreams."""
        fleet = _SimulatedFleet(3)
        fleet.add_gangs(20)
        fleet.add_steps(5)
        model = SpeedModel()
        fleet.observe(model, START_S, 3)
        sick = fleet.runs[0][1]
        before = model.speed(sick).factor
        fleet.unhealthy.add(sick)
        fleet.observe(model, START_S + 3, 4)
        self.assertLess(model.speed(sick).factor, 0.1)
        self.assertAlmostEqual(model.ordinary_speed(sick).factor, before, delta=0.2)
        wrong, known = fleet.count_wrong(model)
        self.assertLessEqual(wrong, known * 0.05)
        # Its runs are stopped and no others are placed there.
        fleet.runs = [run for run in fleet.runs if run[1] != sick]
        fleet.observe(model, START_S + 7, 8)
        self.assertAlmostEqual(model.speed(sick).factor, before, delta=0.2)

    def test_task_with_seven_times_the_work_says_nothing(self):
        """One odd task must not make its upstream seem slow."""
        model = SpeedModel()
        for number in range(10):
            rate = 10.0 / 7 if number == 4 else 10.0
            model.observe("step", f"u{number}", rate, START_S)
        self.assertAlmostEqual(model.speed("u4").factor, 1.0, delta=0.01)

    def test_upstream_that_becomes_slow(self):
        """Old observations must not hide a lasting change of speed."""
        fleet = _SimulatedFleet(5)
        fleet.add_gangs(30)
        model = SpeedModel()
        fleet.observe(model, START_S, 5)
        changed = fleet.runs[0][1]
        fleet.factor_by_id[changed] *= 0.6
        fleet.observe(model, START_S + 5, 6)
        expected = fleet.factor_by_id[changed]
        self.assertAlmostEqual(
            model.speed(changed).factor, expected, delta=0.2 * expected
        )

    def test_unknown_and_forgotten_upstreams(self):
        """Without observations all upstreams must count as equal."""
        model = SpeedModel()
        self.assertEqual(model.speed("u"), (1.0, 0.0))
        model.observe("gang", "u", 3.0, START_S)
        self.assertEqual(model.speed("u"), (1.0, 0.0))
        for rate in (0.0, -1.0, math.nan, math.inf):
            model.observe("gang", "v", rate, START_S)
        self.assertEqual(model.upstream_ids(), ["u"])
        model.observe("gang", "v", 6.0, START_S)
        self.assertGreater(model.speed("v").weight, 0.0)
        model.forget("v")
        self.assertEqual(model.speed("v"), (1.0, 0.0))

    def test_seed_counts_until_observations_replace_it(self):
        """A new leader must not place work as if all speeds were equal."""
        model = SpeedModel()
        for number in range(12):
            model.seed(f"u{number}", FACTORS[number % 3])
        model.seed("bad", math.nan)
        self.assertEqual(model.speed("bad").weight, 0.0)
        self.assertAlmostEqual(model.speed("u0").factor, 0.6)
        self.assertGreater(model.speed("u0").weight, 0.0)
        for second in range(6):
            for number in range(12):
                factor = 1.6 if number == 0 else FACTORS[number % 3]
                at_s = START_S + second
                model.observe("first", f"u{number}", 4 * factor, at_s)
                model.observe("second", f"u{number}", 9 * factor, at_s)
        self.assertAlmostEqual(model.speed("u0").factor, 1.6, delta=0.3)
        self.assertAlmostEqual(model.speed("u3").factor, 0.6, delta=0.1)

    def test_state_is_bounded(self):
        """Many jobs and retries must not use memory without limit."""
        model = SpeedModel()
        for number in range(5_000):
            at_s = START_S + number / 100
            model.observe(number, "u", 3.0, at_s)
            model.observe(number, f"v{number % 50}", 6.0, at_s)
        self.assertLessEqual(len(model._by_group), 2_000)
        self.assertLessEqual(len(model._pending), 2_000)
        for upstream in model._by_id.values():
            self.assertLessEqual(len(upstream.by_group), 16)


if __name__ == "__main__":
    unittest.main()
