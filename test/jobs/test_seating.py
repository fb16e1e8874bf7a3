"""Tests of the choice of seats by the speed of upstreams.

The load pattern is a fleet with upstreams at 0.6, 1.0 and 1.6 times the
reference speed, on which urgent gangs arrive between work that can wait.
"""

import random
import unittest
from unittest import mock

from persimmonyard.estimation import SpeedModel
from persimmonyard.jobs import Planner, RunProgress, RunTimeEstimator, seating
from test.jobs.fixtures import Cluster, step

FACTORS = {"slow": 0.6, "even": 1.0, "fast": 1.6}


class SpeedPlacementTests(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.speeds = SpeedModel()
        self.cluster.planner = Planner(
            self.cluster.store, self.cluster.fleet, RunTimeEstimator(), self.speeds
        )

    def add(self, *names, rack="r1"):
        for name in names:
            self.cluster.add(name, rack=rack)
            self.speeds.seed(name, FACTORS[name[:4]])

    def seats(self, plan):
        """Return the upstreams of the seats that a plan assigns, sorted."""
        used = []
        for placement in plan.placements:
            used += [seat.upstream_id for seat in placement.seats]
        return sorted(used)

    def test_urgent_gang_gets_upstreams_that_are_fast_enough(self):
        """Guards against a gang that is late for one slow member."""
        self.add("slow1", "slow2", "even1", "even2", "fast1")
        self.cluster.submit(step(3, gpu=8, gang=True), route="urgent")
        self.assertEqual(["even1", "even2", "fast1"], self.seats(self.cluster.place()))

    def test_members_of_a_gang_run_at_the_same_speed(self):
        """Guards against fast members that wait for slow ones."""
        self.add("slow1", "even1", "slow2", "even2", "fast1")
        self.cluster.submit(step(2, gpu=8, gang=True), route="batch")
        self.assertEqual(["slow1", "slow2"], self.seats(self.cluster.place()))

    def test_gang_of_one_rack_prefers_a_rack_of_one_speed(self):
        """Guards against the fullest rack where it makes members wait."""
        self.add("slow1", "fast1", rack="r1")
        self.add("even1", "even2", "even3", rack="r2")
        self.cluster.submit(step(2, gpu=8, gang=True, one_rack=True), route="batch")
        self.assertEqual(["even1", "even2"], self.seats(self.cluster.place()))

    def test_batch_work_leaves_the_fast_upstreams_free(self):
        """Guards against urgent work that finds only slow upstreams free."""
        self.add("fast1", "even1", "slow1")
        self.cluster.submit(step(8), route="batch")
        self.assertEqual({"slow1"}, set(self.seats(self.cluster.place())))

    def test_urgent_work_preempts_where_it_is_fast_enough(self):
        """Guards against a slow urgent gang beside fast batch work."""
        self.add("fast1")
        self.cluster.submit(step(8, checkpoints=True), route="batch", job_id="b" * 16)
        for placement in self.cluster.place().placements:
            run = (placement.key, placement.run)
            self.cluster.runs[run] = RunProgress(False, 0.0, 1.0, 30.0)
        self.add("slow1")
        self.cluster.submit(
            step(1, gpu=8, gang=True, estimate_ms=20_000), route="urgent"
        )
        plan = self.cluster.plan(after_ms=9_000)
        self.assertEqual([], plan.placements)
        self.assertEqual(8, len(plan.preemptions))

    def test_slow_upstreams_are_used_if_there_is_no_other_room(self):
        """Guards against work that waits beside free upstreams."""
        self.add("slow1", "slow2")
        self.cluster.submit(step(2, gpu=8, gang=True), route="urgent")
        self.assertEqual(["slow1", "slow2"], self.seats(self.cluster.place()))

    def test_trials_of_other_speeds_leave_no_trace(self):
        """Guards against capacity that a rejected choice has kept."""
        self.add("slow1", "even1", "fast1")
        self.cluster.submit(step(3, gpu=8, gang=True), route="batch", job_id="b" * 16)
        self.cluster.submit(step(8), route="batch")
        plan = self.cluster.plan()
        self.assertEqual(1, len(plan.placements))
        self.assertEqual(3, len(plan.placements[0].seats))


def _compare_all(ranking, candidates, tasks):
    """Replace ``seat_source`` by comparing all candidates for each task."""
    return lambda: ranking.best(candidates), lambda rack: None


class SeatOrderTests(unittest.TestCase):
    def seats(self, seed):
        """Return the seats that a plan assigns on a random fleet."""
        draw = random.Random(seed)
        cluster = Cluster()
        speeds = SpeedModel()
        cluster.planner = Planner(
            cluster.store, cluster.fleet, RunTimeEstimator(), speeds
        )
        for number in range(40):
            name = f"u{number}"
            cluster.add(name, rack=f"r{draw.randrange(6)}", gpu=draw.randint(1, 8))
            speeds.seed(name, draw.choice((0.6, 1.0, 1.6)))
        for number in range(12):
            cluster.submit(
                step(
                    draw.randint(1, 12),
                    gpu=draw.choice((1, 1, 2, 4)),
                    gang=True,
                    one_rack=draw.random() < 0.5,
                    per_upstream=draw.choice((0, 0, 1, 2)),
                ),
                job_id=f"{number:016x}",
                route=draw.choice(("urgent", "normal", "batch")),
            )
        return [(p.key, p.seats) for p in cluster.place().placements]

    def test_queue_takes_the_seats_that_comparing_all_candidates_takes(self):
        """Guards against a queue with outdated ranks of a rack."""
        for seed in range(20):
            queued = self.seats(seed)
            with mock.patch.object(seating, "seat_source", _compare_all):
                self.assertEqual(self.seats(seed), queued)
            self.assertGreater(len(queued), 3)
