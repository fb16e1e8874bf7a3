"""Tests of plans that end before they have looked at the whole queue."""

import itertools
import random
import unittest
from unittest import mock

import msgspec

from persimmonyard.jobs import SetZone
from persimmonyard.jobs.seating import SeatAssigner
from test.jobs.fixtures import Cluster, needs, step

JOB_ID = "e" * 16
FULL_ID = "f" * 16
SEEDS = range(10)


def odd_step(number, gpu=1, **fields):
    """Return a step with needs that no other step has."""
    own_needs = needs(gpu, cores=1_000 + number)
    return msgspec.structs.replace(step(**fields), needs=own_needs)


def submit_odd(cluster, count, **fields):
    """Hand in urgent jobs, each of a step with needs of its own."""
    for number in range(count):
        cluster.submit(
            odd_step(number, **fields), job_id=f"{number:016x}", route="urgent"
        )


def plans_until_placed(cluster, job_id, limit):
    """Return how many plans it takes to place a task of a job, or None."""
    for number in range(limit):
        for placement in cluster.place(500 * number).placements:
            if placement.key.job_id == job_id:
                return number + 1
    return None


class LongQueueTests(unittest.TestCase):
    def test_work_for_a_zone_out_of_service_keeps_nothing_waiting(self):
        """Guards against idle upstreams behind jobs that wait for others.

        The jobs at the head of the queue need a label that only upstreams of
        the zone have.
        """
        cluster = Cluster()
        cluster.add("u1", rack="b", zone="z1")
        cluster.add("u2", rack="r2", zone="z2")
        cluster.store.execute(SetZone("z1", True))
        submit_odd(cluster, 400, label="b")
        cluster.submit(step(4), job_id=JOB_ID)
        self.assertEqual(1, plans_until_placed(cluster, JOB_ID, 10))

    def test_work_that_needs_more_than_is_free_keeps_nothing_waiting(self):
        """Guards against free accelerators behind jobs that need more.

        All jobs compete for the same upstreams.
        """
        cluster = Cluster()
        for number in range(4):
            cluster.add(f"u{number}")
        cluster.submit(step(4, gpu=4, per_upstream=1), job_id=FULL_ID)
        cluster.place()
        submit_odd(cluster, 400, gpu=8)
        cluster.submit(step(2, gpu=2), job_id=JOB_ID)
        self.assertEqual(1, plans_until_placed(cluster, JOB_ID, 10))

    def test_each_step_is_tried_within_a_bounded_number_of_plans(self):
        """Guards against a step that no plan ever looks at.

        Nothing rules the jobs before it out at first sight: each resource that
        they need is free on some upstream, but not on the same one.
        """
        cluster = Cluster()
        cluster.add("u1")
        cluster.add("u2")
        cluster.submit(step(8), job_id=FULL_ID)
        cluster.place()
        (full_id,) = cluster.store.seats_by_upstream
        free_id = {"u1": "u2", "u2": "u1"}[full_id]
        cluster.fleet.by_id[free_id].report = cluster.fleet.by_id[
            free_id
        ].report._replace(capacity=needs(gpu=8, cores=900, memory_mb=64_000))
        submit_odd(cluster, 300)
        cluster.submit(
            msgspec.structs.replace(step(), needs=needs(cores=800)), job_id=JOB_ID
        )
        taken = plans_until_placed(cluster, JOB_ID, 20)
        self.assertIsNotNone(taken)
        self.assertLessEqual(taken, 6)

    def test_plan_that_runs_out_of_time_is_continued(self):
        """Guards against a queue of which only the head is ever tried.

        Each trial of a gang takes so long that a plan ends after two, and
        none of the gangs at the head can be placed.
        """
        cluster = Cluster()
        cluster.add("u1")
        for number in range(12):
            cluster.submit(
                step(2, gpu=8, gang=True), job_id=f"{number:016x}", route="urgent"
            )
        cluster.submit(step(), job_id=JOB_ID)
        clock = itertools.count(0.0, 0.125)
        with mock.patch("persimmonyard.jobs.planner.time") as patched_time:
            patched_time.perf_counter.side_effect = lambda: next(clock)
            taken = plans_until_placed(cluster, JOB_ID, 16)
        self.assertIsNotNone(taken)

    def test_head_of_a_long_queue_comes_first(self):
        """Guards against later work that takes the place of earlier work."""
        cluster = Cluster()
        submit_odd(cluster, 100, gpu=8)
        cluster.submit(step(8), job_id=JOB_ID)
        for _ in range(3):
            self.assertEqual([], cluster.place().placements)
        cluster.add("u1")
        (placement,) = cluster.place().placements
        self.assertEqual(f"{0:016x}", placement.key.job_id)

    def test_trials_in_one_plan_are_bounded(self):
        """Guards against a plan whose time grows with the queue."""
        cluster = Cluster()
        cluster.add("u1", gpu=8)
        cluster.submit(step(4, gpu=1), job_id=FULL_ID)
        cluster.place()
        submit_odd(cluster, 5_000, gpu=4)
        with mock.patch.object(
            SeatAssigner, "assign", autospec=True, return_value=[]
        ) as assign:
            cluster.plan()
        self.assertLess(assign.call_count, 200)

    def test_drawn_queues_leave_no_upstream_idle(self):
        """Guards against idle upstreams at any mix of labels and needs.

        Half of the labels have no upstream in service.
        """
        for seed in SEEDS:
            rng = random.Random(seed)
            cluster = Cluster()
            labels = [f"l{number}" for number in range(4)]
            for number, label in enumerate(labels):
                cluster.add(f"u{number}", rack=label, zone=f"z{number % 2}")
            cluster.store.execute(SetZone("z1", True))
            for number in range(rng.randrange(62, 300)):
                cluster.submit(
                    odd_step(
                        number, rng.randrange(1, 9), label=rng.choice(labels[1::2])
                    ),
                    job_id=f"{number:016x}",
                    route=rng.choice(("urgent", "normal")),
                )
            cluster.submit(step(label=labels[0]), job_id=JOB_ID, route="batch")
            self.assertIsNotNone(plans_until_placed(cluster, JOB_ID, 2), seed)


if __name__ == "__main__":
    unittest.main()
