"""Compares the scheduler with exhaustive search on small fleets."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyard.model import Adjacency, ClientAccountSpec, Shape
from test.scheduler.cluster import SimulatedCluster, make_job, make_upstream
from test.scheduler.oracle import ExhaustiveScheduler

ADJACENCIES = st.sampled_from(tuple(Adjacency))
SHAPES = st.builds(
    lambda gang, size, adjacency: Shape(gang, size, max(size, 1), 100, adjacency),
    st.integers(1, 3),
    st.integers(0, 4),
    ADJACENCIES,
)
FLEETS = st.lists(
    st.tuples(
        st.sampled_from(("z1", "z2")),
        st.sampled_from(("r1", "r2")),
        st.integers(1, 4),
        st.integers(1, 4),
    ),
    min_size=1,
    max_size=5,
)


def specs_of(fleet):
    """Return upstreams for tuples of zone, rack, accelerators and slots."""
    specs = []
    for number, (zone, rack, size, slots) in enumerate(fleet):
        specs.append(make_upstream(f"u{number}", zone, rack, size, slots=slots))
    return specs


class DifferentialTests(unittest.TestCase):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(FLEETS, st.lists(st.tuples(SHAPES, st.booleans()), max_size=8))
    def test_places_whenever_exhaustive_search_does(self, fleet, jobs):
        """A job that fits into the free capacity is placed in one call.

        Guards against a fit index that hides free capacity from a search.
        Non-preemptible jobs are exempt while capacity is reserved for others.
        """
        cluster = SimulatedCluster()
        for spec in specs_of(fleet):
            cluster.add(spec)
        for number, (shape, idempotent) in enumerate(jobs):
            job = make_job(
                f"r{number}",
                "a",
                shape.gang,
                shape.accelerators,
                shape.adjacency,
                idempotent,
            )
            expected = cluster.oracle().can_place(job)
            has_reservations = bool(cluster.scheduler.held_requests())
            cluster.submit(job)
            cluster.decide()
            placed = job.request_id in cluster.running
            if idempotent or not has_reservations:
                self.assertEqual(placed, expected, job)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(FLEETS, st.lists(st.lists(SHAPES, max_size=3), min_size=1, max_size=3))
    def test_accepts_whatever_guarantees_exhaustive_search_fits(self, fleet, shapes):
        """Guarantees are accepted if and only if some layout fits them all.

        Guards against a greedy layout that refuses guarantees that fit, and
        against one that accepts guarantees that do not.
        """
        cluster = SimulatedCluster()
        specs = specs_of(fleet)
        for spec in specs:
            cluster.add(spec)
        accounts = []
        for number, blocks in enumerate(shapes):
            accounts.append(ClientAccountSpec(f"a{number}", guarantee=tuple(blocks)))
        accepted = cluster.scheduler.check_guarantees(accounts) == []
        feasible = ExhaustiveScheduler(specs).guarantees_feasible(accounts)
        self.assertEqual(accepted, feasible)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(FLEETS, st.lists(SHAPES, min_size=1, max_size=4))
    def test_lays_one_by_one_whatever_fits_together(self, fleet, shapes):
        """Guarantees set one by one are accepted like a joint layout.

        Guards against a layout that does not move an earlier block when a
        later one needs its place.
        """
        cluster = SimulatedCluster()
        specs = specs_of(fleet)
        for spec in specs:
            cluster.add(spec)
        accepted_accounts = []
        for number, shape in enumerate(shapes):
            account = ClientAccountSpec(f"a{number}", guarantee=(shape,))
            feasible = ExhaustiveScheduler(specs).guarantees_feasible(
                [*accepted_accounts, account]
            )
            self.assertEqual(cluster.set_account(account.name, shape), feasible)
            if feasible:
                accepted_accounts.append(account)
            cluster.decide()
            self.assertEqual(cluster.scheduler.guarantees_at_risk(), [])
        cluster.check_guarantees()


if __name__ == "__main__":
    unittest.main()
