"""Tests of persimmonyard.scheduler.prediction."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyard.scheduler import prediction
from persimmonyard.scheduler.prediction import RunTimePredictor

SECONDS = st.floats(0.01, 1e6)


class RunTimePredictorTests(unittest.TestCase):
    def setUp(self):
        self.predictor = RunTimePredictor()

    def test_prediction_without_history_uses_the_declaration(self):
        """The median is the declared time, and the tails are ten times off."""
        predicted = [self.predictor.predict("c", "a", 60.0, q) for q in (0.5, 0.95)]
        self.assertAlmostEqual(predicted[0], 60.0)
        self.assertGreater(predicted[1], 6 * 60.0)

    def test_biased_declarations_are_corrected(self):
        """If runs take ten times as long as declared, so do predictions."""
        for declared in range(1, 41):
            self.predictor.record("c", "a", float(declared), 10.0 * declared)
        self.assertAlmostEqual(self.predictor.predict("c", "a", 100.0, 0.5), 1000.0)

    def test_uninformative_declarations_are_ignored(self):
        """Equal runs with random declarations are predicted from the runs."""
        generator = random.Random(1)
        for _ in range(40):
            declared = 60.0 * 10 ** generator.uniform(-1, 1)
            self.predictor.record("c", "a", declared, 60.0)
        self.assertAlmostEqual(self.predictor.predict("c", "a", 600.0, 0.9), 60.0)

    def test_new_account_starts_from_its_class(self):
        """An account without history gets the prediction of its class."""
        for _ in range(40):
            self.predictor.record("c", "a", 60.0, 5.0)
        self.assertAlmostEqual(self.predictor.predict("c", "new", 60.0, 0.5), 5.0)

    def test_accounts_of_a_class_are_predicted_separately(self):
        """Slow runs of one account must not affect another account."""
        for _ in range(40):
            self.predictor.record("c", "slow", 60.0, 6000.0)
            self.predictor.record("c", "fast", 60.0, 6.0)
        self.assertAlmostEqual(self.predictor.predict("c", "fast", 60.0, 0.95), 6.0)

    def test_one_run_does_not_replace_the_declaration(self):
        """One short run must not replace the longer declared run time."""
        self.predictor.record("c", "a", 60.0, 1.0)
        self.assertGreater(self.predictor.predict("c", "a", 60.0, 0.9), 60.0)

    def test_drift_is_followed(self):
        """Runs that have left the history must not affect a prediction."""
        for _ in range(200):
            self.predictor.record("c", "a", 60.0, 6.0)
        for _ in range(prediction.HISTORY_SIZE):
            self.predictor.record("c", "a", 60.0, 600.0)
        self.assertAlmostEqual(self.predictor.predict("c", "a", 60.0, 0.02), 600.0)

    def test_memory_is_bounded(self):
        """Histories beyond the limit evict those not recorded for longest."""
        for number in range(prediction.MAX_HISTORIES + 10):
            self.predictor.record("c", f"account-{number}", 1.0, 1.0)
        self.assertEqual(len(self.predictor._history_by_key), prediction.MAX_HISTORIES)
        self.assertIn(("c", None), self.predictor._history_by_key)
        self.assertIn(("c", f"account-{number}"), self.predictor._history_by_key)

    def test_quantile_covers_the_next_run(self):
        """About 90% of lognormal runs stay within the 0.9 quantile."""
        generator = random.Random(2)
        covered = 0
        for _ in range(4_000):
            run = generator.lognormvariate(5.0, 1.5)
            declared = run * 10 ** generator.uniform(-1, 1)
            covered += run <= self.predictor.predict("c", "a", declared, 0.9)
            self.predictor.record("c", "a", declared, run)
        self.assertGreater(covered / 4_000, 0.88)
        self.assertLess(covered / 4_000, 0.95)

    def test_quantile_outside_its_range_is_refused(self):
        """A quantile in percent must raise an error, not give a prediction."""
        with self.assertRaisesRegex(ValueError, "quantile 90"):
            self.predictor.predict("c", "a", 1.0, 90)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from("ab"), SECONDS, SECONDS), max_size=90),
        SECONDS,
        st.floats(0.01, 0.49),
        st.floats(0.51, 0.99),
    )
    def test_quantiles_are_ordered(self, runs, declared, low, high):
        """A higher quantile must never give a shorter prediction."""
        predictor = RunTimePredictor()
        for account, declared_s, run_s in runs:
            predictor.record("c", account, declared_s, run_s)
        predicted = [predictor.predict("c", "a", declared, q) for q in (low, high)]
        self.assertLessEqual(predicted[0], predicted[1])
        self.assertGreater(predicted[0], 0.0)
