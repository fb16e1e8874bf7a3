"""Tests of the distributions of run times."""

import random
import unittest

from persimmonyard.estimation import RunTimes


class RunTimesTests(unittest.TestCase):
    def test_quantiles_of_a_known_distribution(self):
        """A few runs of seven times the work must not move the median."""
        run_times = RunTimes()
        source = random.Random(1)
        for _ in range(400):
            work = 7.0 if source.random() < 0.03 else source.uniform(0.85, 1.15)
            run_times.observe("a", 10 * work)
        self.assertAlmostEqual(run_times.quantile("a", 0.5), 10.0, delta=0.5)
        self.assertAlmostEqual(run_times.quantile("a", 0.99), 70.0, delta=2.2)
        self.assertEqual(run_times.quantile("a", 0.5), run_times.quantile("a", 0.5))

    def test_equal_run_times_are_exact(self):
        """The error of the sketch must not show beyond the known range."""
        run_times = RunTimes()
        for _ in range(5):
            run_times.observe("a", 9.0)
        self.assertEqual(run_times.quantile("a", 0.5), 9.0)

    def test_old_run_times_are_forgotten(self):
        """Work that has become longer must not keep its old run time."""
        run_times = RunTimes()
        for seconds in [2.0] * 1_000 + [8.0] * 500:
            run_times.observe("a", seconds)
        self.assertEqual(run_times.quantile("a", 0.5), 8.0)

    def test_remaining_time_depends_on_the_elapsed_time(self):
        """A run beyond the usual time is a long one, not almost done."""
        run_times = RunTimes()
        for number in range(200):
            run_times.observe("a", 70.0 if number % 10 == 0 else 10.0)
        for elapsed_s, expected_s in ((0.0, 10.0), (4.0, 6.0), (20.0, 50.0)):
            remaining_s = run_times.remaining("a", elapsed_s, 0.5)
            self.assertAlmostEqual(remaining_s, expected_s, delta=2.2)
        self.assertIsNone(run_times.remaining("a", 70.0, 0.5))

    def test_unknown_kinds_and_bounds(self):
        """Images without number must not use memory without limit."""
        run_times = RunTimes()
        for seconds in (0.0, -1.0, float("nan"), float("inf")):
            run_times.observe("a", seconds)
        self.assertIsNone(run_times.quantile("a", 0.5))
        self.assertIsNone(run_times.remaining("a", 1.0, 0.5))
        self.assertEqual(run_times.count("a"), 0)
        for number in range(1_000):
            run_times.observe(number, 1.0)
        self.assertLessEqual(len(run_times._by_kind), 256)
        self.assertEqual(run_times.count(999), 1)


if __name__ == "__main__":
    unittest.main()
