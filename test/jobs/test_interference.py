"""Tests of placement next to kinds that slow each other down."""

import random
import unittest

from persimmonyard.decisions import Effect
from persimmonyard.jobs import Planner, RunTimeEstimator, task_kind
from test.jobs.fixtures import Cluster, job, step

EFFECTS = (Effect("a", "b", 0.6), Effect("b", "a", 0.6))


class InterferenceTests(unittest.TestCase):
    def setUp(self):
        self.effects = EFFECTS
        self.cluster = self.build(lambda: self.effects)

    def build(self, effects):
        cluster = Cluster()
        cluster.planner = Planner(
            cluster.store, cluster.fleet, RunTimeEstimator(), effects=effects
        )
        return cluster

    def place(self, *steps, number=1):
        """Place a job; return the plan and the upstreams of its tasks."""
        self.cluster.submit(*steps, job_id=f"{number:016x}")
        plan = self.cluster.place()
        used = []
        for placement in plan.placements:
            used += [seat.upstream_id for seat in placement.seats]
        return plan, used

    def test_kinds_that_slow_each_other_are_kept_apart(self):
        """Guards against best fit that puts them on one upstream.

        A kind that neither slows nor is slowed still fills the fullest one.
        """
        self.cluster.add("u1")
        self.cluster.add("u2")
        _, used = self.place(step(image="a"), number=1)
        self.assertEqual(["u1"], used)
        plan, used = self.place(step(2, image="b"), number=2)
        self.assertEqual(["u2", "u2"], used)
        self.assertEqual((2, 0), (plan.seats_kept_apart, plan.seats_shared))
        plan, used = self.place(step(image="c"), number=3)
        self.assertEqual(["u2"], used)
        self.assertEqual((0, 0), (plan.seats_kept_apart, plan.seats_shared))

    def test_tasks_of_one_plan_count(self):
        """Guards against a plan that sees only what ran before it."""
        self.cluster.add("u1")
        self.cluster.add("u2")
        self.cluster.submit(step(2, image="a"), job_id="a" * 16)
        self.cluster.submit(step(2, image="b", gang=True), job_id="b" * 16)
        plan = self.cluster.place()
        upstreams_by_job = {}
        for placement in plan.placements:
            for seat in placement.seats:
                used = upstreams_by_job.setdefault(placement.key.job_id, set())
                used.add(seat.upstream_id)
        self.assertEqual([{"u1"}, {"u2"}], list(upstreams_by_job.values()))

    def test_tasks_share_an_upstream_if_there_is_no_other_room(self):
        """Guards against tasks that wait because others would slow them."""
        self.cluster.add("u1")
        self.cluster.add("u2", gpu=1)
        self.place(step(image="a"), step(image="a"), number=1)
        plan, used = self.place(step(3, image="b"), number=2)
        self.assertEqual(["u1"] * 3, used)
        self.assertEqual((0, 3), (plan.seats_kept_apart, plan.seats_shared))

    def test_least_slowed_seat_is_taken_if_all_are_disturbed(self):
        """Guards against a choice among disturbed seats by fit or by order."""
        for factor, expected in ((0.8, "u2"), (0.4, "u1")):
            self.setUp()
            self.effects = (*EFFECTS, Effect("b", "c", factor))
            self.cluster.add("u1", gpu=3)
            self.cluster.add("u2")
            self.place(step(image="a", gpu=2), number=1)
            _, used = self.place(step(image="c", gpu=3), number=2)
            self.assertEqual(["u2"], used)
            _, used = self.place(step(image="b"), number=3)
            self.assertEqual([expected], used)

    def test_seat_that_fits_best_anyway_is_not_counted(self):
        """Guards against a count that says more than the known pairs did."""
        self.cluster.add("u1")
        self.place(step(image="a"), number=1)
        self.cluster.add("u2", gpu=3)
        plan, used = self.place(step(image="b"), number=2)
        self.assertEqual(["u2"], used)
        self.assertEqual((0, 0), (plan.seats_kept_apart, plan.seats_shared))

    def test_rack_comes_before_separation(self):
        """Guards against a gang spread over racks, which slows it more."""
        self.cluster.add("u1", rack="r1")
        self.cluster.add("u2", rack="r2")
        self.place(step(image="a", rack="r1"), number=1)
        _, used = self.place(step(2, image="b", gang=True, rack="r1"), number=2)
        self.assertEqual(["u1", "u1"], used)

    def test_gang_that_does_not_fit_leaves_no_kinds_behind(self):
        """Guards against seats given back that still count as neighbours.

        The first gang needs nine seats, and there are eight.
        """
        for name, rack in (("u1", "r1"), ("u2", "r2")):
            self.cluster.add(name, gpu=4, rack=rack)
        self.cluster.submit(step(9, image="a", gang=True), job_id="a" * 16)
        self.cluster.submit(step(8, image="b", gang=True), job_id="b" * 16)
        plan = self.cluster.place()
        self.assertEqual(1, len(plan.placements))
        self.assertEqual(0, plan.seats_shared)

    def test_placement_without_a_known_effect_is_as_before(self):
        """Guards against a change of placement while nothing is known.

        An effect between kinds that do not run changes nothing either.
        """
        others = (Effect("x", "y", 0.5),)
        clusters = [self.build(tuple), self.build(lambda: others)]
        for cluster in clusters:
            generator = random.Random(3)
            for number in range(12):
                cluster.add(f"u{number}", rack=f"r{number % 3}")
            for number in range(40):
                shape = step(
                    generator.randint(1, 5),
                    generator.randint(0, 3),
                    gang=generator.random() < 0.4,
                    one_rack=generator.random() < 0.4,
                    image=generator.choice("abc"),
                )
                cluster.submit(shape, job_id=f"{number:016x}")
        plans = [cluster.plan() for cluster in clusters]
        self.assertGreater(len(plans[0].placements), 20)
        self.assertEqual(plans[0].placements, plans[1].placements)

    def test_kind_without_an_image_is_that_of_route_and_needs(self):
        """Guards against one kind for all tasks without an image."""
        kinds = {
            task_kind(job(shape, route=route), shape)
            for shape in (step(), step(gpu=2))
            for route in ("normal", "batch")
        }
        self.assertEqual(4, len(kinds))
        self.assertEqual("x", task_kind(job(step()), step(image="x")))


if __name__ == "__main__":
    unittest.main()
