"""Tests of persimmonyard.scheduler.fragmentation."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyard.model import (
    Adjacency,
    ClientAccountSpec,
    Resources,
    Shape,
    UpstreamSpec,
)
from persimmonyard.scheduler import Job
from persimmonyard.scheduler.fragmentation import (
    Demand,
    FreeCapacity,
    stranded_accelerators,
)
from test.scheduler.oracle import ExhaustiveScheduler

SHAPES = st.builds(
    Shape,
    st.integers(1, 3),
    st.integers(0, 3),
    st.integers(1, 3),
    st.just(1),
    st.sampled_from(Adjacency),
)
INSTANCES = st.builds(
    FreeCapacity,
    st.sampled_from("yz"),
    st.sampled_from("ab"),
    st.builds(Resources, st.integers(0, 3), st.integers(0, 6), st.just(9)),
    st.integers(0, 3),
)


def instance(accelerators, rack="a", zone="z", cores=64, slots=8):
    return FreeCapacity(zone, rack, Resources(accelerators, cores, 1_000), slots)


def stranded(instances, *shapes):
    return stranded_accelerators(instances, [Demand(shape) for shape in shapes])


def specs_of(instances):
    specs = []
    for number, (zone, rack, free, slots) in enumerate(instances):
        specs.append(
            UpstreamSpec(
                f"u-{number}", "i", zone, rack, "", *free, slots=slots, connections=1
            )
        )
    return specs


def make_job(shape):
    return Job("r", "a", "c", shape, 1.0, True, True, 0.0)


class StrandedAcceleratorsTests(unittest.TestCase):
    def test_pieces_smaller_than_the_task_are_stranded(self):
        """Accelerators are stranded if a task needs more than one node has."""
        result = stranded([instance(2), instance(2)], Shape(1, 3))
        self.assertEqual(result, (4, 4.0))

    def test_remainder_on_an_instance_is_stranded(self):
        """Accelerators left over beside the tasks that fit are stranded."""
        self.assertEqual(stranded([instance(8)], Shape(1, 3)), (8, 2.0))

    def test_accelerators_without_processors_are_stranded(self):
        """Accelerators of an instance without enough cores are stranded."""
        self.assertEqual(stranded([instance(8, cores=1)], Shape(1, 1, 2)), (8, 8.0))

    def test_accelerators_without_slots_are_stranded(self):
        """Accelerators that would need more tasks than slots are stranded."""
        self.assertEqual(stranded([instance(8, slots=1)], Shape(1, 2)), (8, 6.0))

    def test_gang_needs_its_rack(self):
        """Capacity in several racks is stranded for a gang of one rack."""
        spread = [instance(4, "a"), instance(4, "b")]
        together = [instance(4, "a"), instance(4, "a")]
        gang = Shape(2, 4, adjacency=Adjacency.RACK)
        self.assertEqual(stranded(spread, gang).stranded, 8.0)
        self.assertEqual(stranded(together, gang).stranded, 0.0)

    def test_gang_needs_its_zone(self):
        """A gang of one zone can use several racks but not several zones."""
        gang = Shape(2, 4, adjacency=Adjacency.ZONE)
        racks = [instance(4, "a"), instance(4, "b")]
        zones = [instance(4, zone="y"), instance(4, zone="z")]
        self.assertEqual(stranded(racks, gang).stranded, 0.0)
        self.assertEqual(stranded(zones, gang).stranded, 8.0)

    def test_equal_rack_names_in_two_zones_are_two_racks(self):
        """Guards against racks that are identified by name without zone."""
        zones = [instance(4, zone="y"), instance(4, zone="z")]
        gang = Shape(2, 4, adjacency=Adjacency.RACK)
        self.assertEqual(stranded(zones, gang).stranded, 8.0)

    def test_demand_is_weighted_by_accelerators(self):
        """A job of 8 accelerators weighs eight times as much as one of 1."""
        result = stranded([instance(4)], Shape(1, 1), Shape(1, 8))
        self.assertAlmostEqual(result.stranded, 4 * 8 / 9)
        self.assertAlmostEqual(result.share(), 8 / 9)

    def test_no_demand_strands_nothing(self):
        """Guards against division by zero without demand or capacity."""
        self.assertEqual(stranded([instance(4)], Shape(1, 0)), (4, 0.0))
        self.assertEqual(stranded([], Shape(1, 1)).share(), 0.0)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(INSTANCES, max_size=4), SHAPES.filter(lambda shape: shape.accelerators)
    )
    def test_all_is_stranded_exactly_when_nothing_fits(self, instances, shape):
        """Compares the measure with exhaustive placement on small fleets.

        All free accelerators are stranded if and only if the shape fits
        nowhere.
        """
        result = stranded(instances, shape)
        fits = ExhaustiveScheduler(specs_of(instances)).can_place(make_job(shape))
        self.assertEqual(result.stranded < result.free, fits)
        self.assertLessEqual(0.0, result.stranded)


class ExhaustiveSchedulerTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(INSTANCES, max_size=4), st.lists(SHAPES, max_size=3))
    def test_guarantees_do_not_depend_on_order(self, instances, blocks):
        """The search is exhaustive: the order of blocks does not matter."""
        oracle = ExhaustiveScheduler(specs_of(instances))
        one_account = [ClientAccountSpec("a", guarantee=tuple(blocks))]
        many_accounts = [
            ClientAccountSpec(str(block), guarantee=(block,))
            for block in reversed(blocks)
        ]
        self.assertEqual(
            oracle.guarantees_feasible(one_account),
            oracle.guarantees_feasible(many_accounts),
        )

    def test_blocks_of_all_accounts_share_the_fleet(self):
        """Guards against blocks of two accounts that get the same capacity."""
        oracle = ExhaustiveScheduler(specs_of([instance(4)]))
        account = ClientAccountSpec("a", guarantee=(Shape(1, 3),))
        self.assertTrue(oracle.guarantees_feasible([account]))
        self.assertFalse(oracle.guarantees_feasible([account, account]))

    def test_a_good_layout_is_found_behind_a_bad_one(self):
        """The search backtracks: the second block needs the large instance."""
        oracle = ExhaustiveScheduler(specs_of([instance(4), instance(2)]))
        account = ClientAccountSpec("a", guarantee=(Shape(1, 2), Shape(1, 4)))
        self.assertTrue(oracle.guarantees_feasible([account]))

    def test_occupied_capacity_is_not_free(self):
        """A job fits only after the job that uses the capacity is released."""
        oracle = ExhaustiveScheduler(specs_of([instance(4)]))
        oracle.occupy(("u-0",), Shape(1, 3))
        self.assertFalse(oracle.can_place(make_job(Shape(1, 2))))
        oracle.release(("u-0",), Shape(1, 3))
        self.assertTrue(oracle.can_place(make_job(Shape(1, 2))))

    def test_adjacency_is_kept(self):
        """A gang of one rack or zone is never placed in two of them."""
        racks = ExhaustiveScheduler(specs_of([instance(4, "a"), instance(4, "b")]))
        zones = ExhaustiveScheduler(specs_of([instance(4, zone="y"), instance(4)]))
        self.assertFalse(racks.can_place(make_job(Shape(2, 4, 1, 1, Adjacency.RACK))))
        self.assertTrue(racks.can_place(make_job(Shape(2, 4, 1, 1, Adjacency.ZONE))))
        self.assertFalse(zones.can_place(make_job(Shape(2, 4, 1, 1, Adjacency.ZONE))))
        self.assertTrue(zones.can_place(make_job(Shape(2, 4, 1, 1, Adjacency.NONE))))
