"""Tests of the decision whether a job is accepted."""

import unittest

from persimmonyard.decisions import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    AdmissionFacts,
    Admit,
    RefusalReason,
    Refuse,
    ShareRank,
    StepDemand,
    decide_admission,
)
from persimmonyard.model import Resources

SMALL = Resources(2, 8_000, 8_000)
LARGE = Resources(8, 64_000, 64_000)
FLEET = {SMALL: 3, LARGE: 2}


def demand(needs, tasks=1, per_upstream=0, capacities=FLEET, over_limit=False):
    return StepDemand(Resources(*needs), tasks, per_upstream, capacities, over_limit)


def decide(*steps, known=True, rank=None, spread=0.0):
    return decide_admission(AdmissionFacts(known, steps, rank, spread))


class AdmissionTests(unittest.TestCase):
    def assert_bound(self, fits, too_much):
        """Check that one step is admitted, and one that is larger refused."""
        self.assertEqual(Admit(), decide(fits))
        refusal = Refuse(RefusalReason.NO_UPSTREAM, MIN_RETRY_AFTER_S, 0)
        self.assertEqual(refusal, decide(too_much))

    def test_the_largest_upstream_bounds_a_task(self):
        """Guards against refusing what fits, in each of the resources."""
        self.assert_bound(demand((8, 64_000, 64_000)), demand((9, 0, 0)))
        self.assert_bound(demand((0, 64_000, 0)), demand((0, 64_001, 0)))
        self.assert_bound(demand((0, 0, 64_000)), demand((0, 0, 64_001)))

    def test_all_upstreams_together_bound_a_gang(self):
        """Guards against counting members that fit no upstream with others.

        Members with 2 accelerators: one on each small upstream, four on each
        large one.
        """
        self.assert_bound(demand((2, 0, 0), 11), demand((2, 0, 0), 12))
        self.assert_bound(demand((5, 0, 0), 2), demand((5, 0, 0), 3))
        self.assert_bound(demand((2, 0, 0), 7, 2), demand((2, 0, 0), 8, 2))

    def test_upstreams_without_the_label_hold_nothing(self):
        """Guards against a job that waits for a label nobody has."""
        self.assert_bound(demand((1, 0, 0)), demand((0, 0, 0), capacities={}))

    def test_every_step_counts(self):
        """Guards against a job that is stuck after its first step."""
        fits = demand((1, 0, 0))
        refusal = decide(fits, fits, demand((1, 0, 0), over_limit=True))
        limit = RefusalReason.ACCOUNT_LIMIT
        self.assertEqual(Refuse(limit, MIN_RETRY_AFTER_S, 2), refusal)

    def test_unknown_fleet_refuses_nothing(self):
        """Guards against refusals by a leader that has few reports yet."""
        too_large = demand((99, 0, 0), over_limit=True)
        self.assertEqual(Admit(), decide(too_large, known=False))

    def test_callers_return_spread_and_accounts_below_their_share_first(self):
        """Guards against refused callers that all return in one second."""
        delays_by_rank = {rank: set() for rank in (*ShareRank, None)}
        too_large = demand((99, 0, 0))
        for rank, delays in delays_by_rank.items():
            for draw in range(1_000):
                refusal = decide(too_large, rank=rank, spread=draw / 1_000)
                delays.add(refusal.retry_after_s)
        below = delays_by_rank[ShareRank.BELOW_SHARE]
        others = delays_by_rank[ShareRank.AT_SHARE]
        self.assertLess(max(below), min(others))
        whole_range = set(range(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S + 1))
        self.assertEqual(whole_range, below | others)
        self.assertEqual(whole_range, delays_by_rank[None])
