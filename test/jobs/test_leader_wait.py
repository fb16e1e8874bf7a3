"""Replays of callers that keep coming while there is no control leader."""

import random
import unittest

from persimmonyard.jobs import (
    ComeBack,
    KeepWaiting,
    LeaderLoss,
    decide_without_leader,
)

FAILOVER_S = 1.8
LOST_AT = 2.0
POLL_S = 0.05
RETRY_AFTER_S = 1.0
BUDGET_S = 3.0
ATTEMPTS = 5


class Replay:
    """Callers with a budget of 3 s, and a leader that is gone for a while.

    ``waits`` holds how long each attempt waited, ``rejected_at`` when calls
    were rejected.
    """

    def __init__(self, lost_s, seed):
        self.random = random.Random(seed)
        self.back_at = LOST_AT + lost_s
        self.served = 0
        self.unserved_arrivals = []
        self.waits = []
        self.rejected_at = []

    def run(self, calls_per_s=40.0, until_s=14.0):
        arrival = 0.0
        while arrival < until_s:
            arrival += self.random.expovariate(calls_per_s)
            if self.serve(arrival):
                self.served += 1
            else:
                self.unserved_arrivals.append(arrival)

    def serve(self, arrival):
        """Follow one caller through its attempts; return if it was served."""
        at = arrival
        for _ in range(ATTEMPTS):
            if at > arrival + BUDGET_S:
                return False
            ended, served = self.attempt(at, arrival + BUDGET_S)
            self.waits.append(ended - at)
            if served:
                return True
            at = ended + RETRY_AFTER_S
        return False

    def attempt(self, at, deadline):
        spread = self.random.random()
        now = at
        while now < deadline:
            if not LOST_AT <= now < self.back_at:
                return now, True
            loss = LeaderLoss(now, LOST_AT, FAILOVER_S, False, spread)
            match decide_without_leader(loss):
                case ComeBack():
                    self.rejected_at.append(now)
                    return now, False
                case KeepWaiting():
                    now += POLL_S
        return deadline, False


class LeaderWaitTests(unittest.TestCase):
    def test_failover_rejects_no_caller(self):
        """Guards against rejections that a short wait would have avoided."""
        replay = Replay(lost_s=1.7, seed=1)
        replay.run()
        self.assertEqual([], replay.rejected_at)
        self.assertEqual([], replay.unserved_arrivals)

    def test_long_loss_holds_no_caller_until_its_deadline(self):
        """Guards against callers that learn at their deadline to come back.

        All control processes are gone for 9 s.
        """
        replay = Replay(lost_s=9.0, seed=2)
        replay.run()
        self.assertLess(max(replay.waits), FAILOVER_S * 1.25 + 2 * POLL_S)
        self.assertLess(max(replay.waits), BUDGET_S)
        # A caller that still has time for an attempt when the leader is back
        # is served.
        last = max(replay.unserved_arrivals)
        self.assertLess(last, replay.back_at - BUDGET_S + RETRY_AFTER_S)

    def test_waiting_callers_are_not_rejected_together(self):
        """Guards against a burst of callers that return at the same moment."""
        replay = Replay(lost_s=9.0, seed=3)
        replay.run(calls_per_s=200.0)
        first = [at for at in replay.rejected_at if at < LOST_AT + FAILOVER_S * 1.3]
        for start in (at / 10 for at in range(20, 60)):
            within = [at for at in first if start <= at < start + 0.1]
            self.assertLess(len(within), len(first) / 2)

    def test_call_in_doubt_is_never_rejected(self):
        """Guards against "not run" for a call that may have run."""
        loss = LeaderLoss(1_000.0, 0.0, FAILOVER_S, True, 0.0)
        self.assertEqual(KeepWaiting(), decide_without_leader(loss))


if __name__ == "__main__":
    unittest.main()
