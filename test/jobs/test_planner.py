"""Tests of placement: limits, racks, priorities and preemption."""

import itertools
import unittest
from unittest import mock

from persimmonyard.jobs import (
    EndRuns,
    RunEnd,
    RunProgress,
    SetZone,
    TaskEnd,
)
from persimmonyard.jobs.seating import SeatAssigner
from test.jobs.fixtures import WALL_MS, Cluster, step


class PlacementTests(unittest.TestCase):
    def test_full_step_is_tried_once(self):
        """Guards against a plan whose time grows with the tasks of a step.

        A step of 10,000 tasks with a limit per upstream, for which there is
        no room, took 1 ms for each task, in which the leader is silent.
        """
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(step(1_000, gpu=9, per_upstream=1))
        with mock.patch.object(
            SeatAssigner, "assign", autospec=True, return_value=[]
        ) as assign:
            cluster.plan()
        self.assertEqual(1, assign.call_count)

    def test_plan_ends_after_its_time(self):
        """Guards against a plan in which the leader misses its heartbeats.

        What was placed until then counts, and a further plan follows at once.
        """
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(*[step(gang=True) for _ in range(6)])
        clock = itertools.count(0.0, 0.125)
        with mock.patch("persimmonyard.jobs.planner.time") as patched_time:
            patched_time.perf_counter.side_effect = lambda: next(clock)
            plan = cluster.plan()
        self.assertEqual(2, len(plan.placements))
        self.assertTrue(plan.truncated)
        self.assertEqual(6, len(cluster.plan().placements))

    def test_limit_per_upstream_holds_within_one_plan(self):
        """Tasks placed by one plan count towards the step's limit.

        Guards against two tasks of a step on one upstream that allows one.
        """
        cluster = Cluster()
        cluster.add("u1")
        cluster.add("u2")
        cluster.submit(step(3, per_upstream=1))
        plan = cluster.place()
        used = [placement.seats[0].upstream_id for placement in plan.placements]
        self.assertEqual(["u1", "u2"], sorted(used))
        self.assertEqual([], cluster.place().placements)

    def test_whole_racks_stay_free_for_large_work(self):
        """Guards against small tasks that occupy an empty rack.

        Larger work could then not run on one rack.
        """
        cluster = Cluster()
        for upstream_id, rack in (("u1", "r1"), ("u2", "r1"), ("u3", "r2")):
            cluster.add(upstream_id, rack=rack)
        cluster.submit(step(1), job_id="b" * 16)
        plan = cluster.place()
        self.assertEqual("u3", plan.placements[0].seats[0].upstream_id)

    def test_one_plan_places_a_bounded_number_of_tasks(self):
        """Guards against delayed heartbeats of the leader.

        All starts of a plan are sent together, and hundreds of them delay the
        heartbeats.
        """
        cluster = Cluster()
        for number in range(40):
            cluster.add(f"u{number}")
        for number in range(4):
            cluster.submit(step(70), job_id=f"{number:016x}")
        first = cluster.place()
        self.assertTrue(first.truncated)
        self.assertLess(len(first.placements), 280)
        rest = len(cluster.place().placements) + len(cluster.place().placements)
        self.assertEqual(280, len(first.placements) + rest)

    def test_one_plan_places_a_part_of_a_large_step(self):
        """Guards against a leader that loses its lease over one large step.

        The starts of a plan are sent together.
        """
        cluster = Cluster()
        for number in range(200):
            cluster.add(f"u{number}")
        cluster.submit(step(1_500))
        placed = 0
        for number in range(12):
            # The time limit must not end a plan before its limit of tasks.
            with mock.patch("persimmonyard.jobs.planner._MAX_PLAN_S", 60.0):
                plan = cluster.place()
            placed += len(plan.placements)
            self.assertLessEqual(len(plan.placements), 128)
            self.assertEqual(number < 11, plan.truncated)
        self.assertEqual(1_500, placed)

    def test_shrunk_upstream_gets_work_only_once_it_has_room(self):
        """Guards against starts in capacity that is gone under running tasks.

        It shrinks below what runs there, and grows again.
        """
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(step(6))
        cluster.place()
        cluster.add("u1", gpu=4, sequence=2)
        other = cluster.submit(step(3), job_id="b" * 16)
        self.assertEqual([], cluster.place().placements)
        cluster.add("u1", gpu=7, sequence=3)
        self.assertEqual(1, len(cluster.place().placements))
        cluster.add("u1", gpu=8, sequence=4)
        placements = cluster.place().placements
        self.assertEqual([other.job_id], [p.key.job_id for p in placements])

    def test_nothing_is_placed_beyond_capacity(self):
        """Guards against a second plan that ignores runs already placed."""
        cluster = Cluster()
        cluster.add("u1", gpu=4)
        cluster.submit(step(3, gpu=2))
        self.assertEqual(2, len(cluster.place().placements))
        self.assertEqual([], cluster.place().placements)

    def test_zone_out_of_service_gets_nothing(self):
        """Guards against starts in a zone that is out of service."""
        cluster = Cluster()
        cluster.add("u1", zone="z1")
        cluster.store.execute(SetZone("z1", True))
        cluster.submit(step())
        self.assertEqual([], cluster.place().placements)
        cluster.store.execute(SetZone("z1", False))
        self.assertEqual(1, len(cluster.place().placements))

    def test_leaving_and_silent_upstreams_get_nothing(self):
        """Guards against starts on upstreams that are leaving or silent."""
        cluster = Cluster()
        cluster.add("u1", leaving=True)
        cluster.add("u2")
        cluster.submit(step())
        cluster.now += 60.0
        self.assertEqual([], cluster.place().placements)

    def test_label_is_required(self):
        """Guards against a start on an upstream without the step's label."""
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(step(label="b"))
        self.assertEqual([], cluster.place().placements)

    def test_steps_wait_for_those_they_depend_on(self):
        """Guards against a step that starts before its dependencies."""
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(step(), step(depends_on=(0,)))
        plan = cluster.place()
        self.assertEqual([0], [placement.key.step for placement in plan.placements])

    def test_occurrences_wait_until_they_are_due(self):
        """Guards against an occurrence that starts before its due time."""
        cluster = Cluster()
        cluster.add("u1")
        start = 1_800_000_001_000
        cluster.submit(step(), start_at_ms=start, interval_ms=500, repeat_count=3)
        self.assertEqual([], cluster.place().placements)
        plan = cluster.place(after_ms=1_600)
        self.assertEqual(
            [0, 1], sorted(placement.key.occurrence for placement in plan.placements)
        )


class GangTests(unittest.TestCase):
    def test_gang_is_placed_whole_or_not_at_all(self):
        """Guards against a gang of which only some members are placed."""
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(step(2, gpu=8, gang=True))
        self.assertEqual([], cluster.place().placements)
        cluster.add("u2")
        plan = cluster.place()
        self.assertEqual(2, len(plan.placements[0].seats))

    def test_gang_prefers_one_rack(self):
        """Guards against a gang spread over racks when one rack fits it."""
        cluster = Cluster()
        cluster.add("u1", rack="r1")
        cluster.add("u2", rack="r2")
        cluster.add("u3", rack="r2")
        cluster.submit(step(2, gpu=8, gang=True, one_rack=True))
        seats = cluster.place().placements[0].seats
        self.assertEqual(["u2", "u3"], sorted(seat.upstream_id for seat in seats))

    def test_gang_that_waited_long_takes_any_racks(self):
        """Guards against a gang that waits for a free rack without bound."""
        cluster = Cluster()
        for upstream_id, rack in (("u1", "r1"), ("u2", "r1"), ("u3", "r2")):
            cluster.add(upstream_id, rack=rack)
        cluster.submit(step(1, gpu=8, rack="r1"), job_id="b" * 16)
        cluster.place()
        cluster.submit(step(2, gpu=8, gang=True, one_rack=True))
        self.assertEqual([], cluster.place().placements)
        self.assertEqual(1, len(cluster.place(after_ms=5_000).placements))

    def test_gang_that_fits_no_rack_takes_any_at_once(self):
        """Guards against a wait for one rack when no rack is large enough."""
        cluster = Cluster()
        cluster.add("u1", rack="r1")
        cluster.add("u2", rack="r2")
        cluster.submit(step(2, gpu=8, gang=True, one_rack=True))
        self.assertEqual(1, len(cluster.place().placements))

    def test_rack_wait_is_short_while_half_the_capacity_is_free(self):
        """Guards against idle upstreams while work waits for its rack."""
        cluster = Cluster()
        cluster.add("u1", rack="r1")
        cluster.add("u2", rack="r2")
        cluster.submit(step(1, gpu=8, rack="r1", estimate_ms=9_000), job_id="b" * 16)
        cluster.place()
        cluster.submit(step(1, gpu=1, rack="r1", estimate_ms=9_000))
        self.assertEqual([], cluster.place(after_ms=500).placements)
        self.assertEqual(1, len(cluster.place(after_ms=1_600).placements))


class FailedRunTests(unittest.TestCase):
    def test_gang_that_fits_nowhere_else_returns_to_where_it_failed(self):
        """Guards against a gang that waits for ever in an idle fleet."""
        cluster = Cluster()
        cluster.add("u1")
        cluster.add("u2")
        cluster.submit(step(2, gpu=8, gang=True))
        (placement,) = cluster.place().placements
        ends = []
        for seat, end in zip(
            placement.seats, (TaskEnd.FAILED, TaskEnd.BROKEN), strict=True
        ):
            ends.append(RunEnd(placement.key, seat.task, placement.run, end))
        cluster.store.execute(EndRuns(tuple(ends), WALL_MS))
        self.assertEqual(1, len(cluster.place(60_000).placements))


class PreemptionTests(unittest.TestCase):
    def place_normal_job(self, cluster):
        cluster.submit(step(2, gpu=4), job_id="00000000000000b1")
        for placement in cluster.place().placements:
            cluster.runs[(placement.key, placement.run)] = RunProgress(False, 1.0)

    def test_guaranteed_work_preempts_borrowers(self):
        """Guards against guaranteed work that waits for borrowed capacity."""
        cluster = Cluster(guaranteed=8)
        cluster.add("u1")
        self.place_normal_job(cluster)
        cluster.submit(step(1, gpu=8), route="urgent")
        plan = cluster.place()
        self.assertEqual(2, len(plan.preemptions))
        self.assertEqual([], plan.placements)

    def test_guaranteed_work_preempts_at_any_cost_in_time(self):
        """Guards against guaranteed work that starts too late.

        Runs that are expensive to stop are spared at first.  Once the
        guaranteed work has waited for 1 s, they are stopped at any cost.
        """
        cluster = Cluster(guaranteed=8)
        cluster.add("u1")
        self.place_normal_job(cluster)
        for run_key in cluster.runs:
            cluster.runs[run_key] = RunProgress(False, 600.0)
        cluster.submit(step(1, gpu=8), route="urgent")
        self.assertEqual(0, len(cluster.place().preemptions))
        self.assertEqual(2, len(cluster.place(after_ms=1_000).preemptions))

    def test_preemption_counts_capacity_that_has_gone(self):
        """Guards against a preemption that frees too little.

        One of the two runs is in capacity that its upstream no longer has.
        """
        cluster = Cluster(guaranteed=8)
        cluster.add("u1")
        self.place_normal_job(cluster)
        cluster.add("u1", gpu=6, sequence=2)
        cluster.submit(step(1, gpu=4), route="urgent")
        plan = cluster.place()
        self.assertEqual(2, len(plan.preemptions))
        self.assertEqual([], plan.placements)
        for preemption in plan.preemptions:
            unit = cluster.store.job_by_id[preemption.key.job_id].units[preemption.key]
            cluster.end_run(preemption.key, unit, TaskEnd.STOPPED)
        cluster.runs.clear()
        self.assertEqual(1, len(cluster.place().placements))

    def test_capacity_being_freed_is_not_freed_twice(self):
        """Guards against further preemptions while the first runs stop.

        The capacity of stopping runs is not free yet, so the next plan must
        count it as available soon.
        """
        cluster = Cluster(guaranteed=8)
        cluster.add("u1")
        cluster.add("u2")
        self.place_normal_job(cluster)
        cluster.submit(step(2, gpu=8), job_id="00000000000000b2")
        for placement in cluster.place().placements:
            cluster.runs[(placement.key, placement.run)] = RunProgress(False, 5.0)
        cluster.submit(step(1, gpu=8), route="urgent")
        for preemption in cluster.place().preemptions:
            run_key = (preemption.key, preemption.run)
            cluster.runs[run_key] = cluster.runs[run_key]._replace(stopping=True)
        self.assertEqual([], cluster.place().preemptions)

    def test_urgent_work_of_an_unknown_account_is_planned(self):
        """Guards against an error that ends every term of every leader.

        The job needs no accelerators, and its account is not configured, as
        with calls without a key on an open route.
        """
        cluster = Cluster(guaranteed=8)
        cluster.add("u1")
        cluster.submit(step(gpu=0), route="urgent", account="")
        self.assertEqual(1, len(cluster.plan().placements))

    def test_work_beyond_the_guarantee_stops_no_costly_runs(self):
        """Guards against preemptions that cost more than their benefit."""
        cluster = Cluster(guaranteed=0)
        cluster.add("u1")
        self.place_normal_job(cluster)
        for run_key in cluster.runs:
            cluster.runs[run_key] = RunProgress(False, 60.0)
        cluster.submit(step(1, gpu=8), route="urgent")
        self.assertEqual([], cluster.place().preemptions)

    def test_urgent_work_beyond_the_guarantee_stops_cheap_runs(self):
        """Guards against urgent jobs that wait for less urgent work."""
        cluster = Cluster(guaranteed=0)
        cluster.add("u1")
        self.place_normal_job(cluster)
        cluster.submit(step(1, gpu=8), route="urgent")
        self.assertEqual(2, len(cluster.place().preemptions))

    def test_urgent_work_beyond_the_guarantee_stops_no_urgent_work(self):
        """Guards against urgent jobs that preempt each other."""
        cluster = Cluster(guaranteed=0)
        cluster.add("u1")
        cluster.submit(step(1, gpu=8), route="urgent", job_id="b" * 16)
        for placement in cluster.place().placements:
            cluster.runs[(placement.key, placement.run)] = RunProgress(False, 0.1)
        cluster.submit(step(1, gpu=8), route="urgent")
        self.assertEqual([], cluster.place().preemptions)

    def test_late_urgent_work_stops_nothing_while_it_can_wait(self):
        """Guards against stopping runs for a job that is late anyway."""
        cluster = Cluster(guaranteed=0)
        cluster.add("u1")
        self.place_normal_job(cluster)
        cluster.submit(step(1, gpu=8), route="urgent")
        self.assertEqual([], cluster.place(after_ms=3_000).preemptions)

    def test_work_that_can_wait_stops_nothing(self):
        """Guards against preemption for a job with enough slack."""
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(step(2, gpu=4), route="batch", job_id="00000000000000b1")
        for placement in cluster.place().placements:
            cluster.runs[(placement.key, placement.run)] = RunProgress(False, 0.1)
        cluster.submit(step(1, gpu=8))
        self.assertEqual([], cluster.place().preemptions)
        self.assertEqual(2, len(cluster.place(after_ms=4_500).preemptions))

    def test_all_members_of_a_preempted_gang_free_capacity(self):
        """Guards against more preemptions than a gang's capacity requires.

        Stopping a gang frees capacity on the upstreams of all its members.
        """
        cluster = Cluster(guaranteed=16)
        cluster.add("u1")
        cluster.add("u2")
        cluster.submit(step(2, gpu=8, gang=True), job_id="00000000000000b1")
        for placement in cluster.place().placements:
            cluster.runs[(placement.key, placement.run)] = RunProgress(False, 0.5)
        cluster.submit(step(2, gpu=8, gang=True), route="urgent")
        self.assertEqual(1, len(cluster.place().preemptions))

    def test_completed_gang_is_not_preempted(self):
        """Guards against stops of runs that have ended without an answer."""
        cluster = Cluster(guaranteed=8)
        cluster.add("u1")
        cluster.add("u2")
        cluster.submit(step(2, gpu=8, gang=True), job_id="00000000000000b1")
        (placement,) = cluster.place().placements
        cluster.runs[(placement.key, placement.run)] = RunProgress(False, 1.0)
        done = RunEnd(placement.key, 0, placement.run, TaskEnd.DONE)
        cluster.store.execute(EndRuns((done,), WALL_MS))
        cluster.submit(step(2, gpu=8), route="urgent")
        self.assertEqual([], cluster.plan(after_ms=1_500).preemptions)

    def test_runs_that_end_soon_are_not_preempted(self):
        """Guards against stopping runs that are about to end anyway."""
        cluster = Cluster(guaranteed=8)
        cluster.add("u1")
        self.place_normal_job(cluster)
        for run_key in cluster.runs:
            cluster.runs[run_key] = RunProgress(False, 5.0, 5.0, 0.3)
        cluster.submit(step(1, gpu=8), route="urgent")
        plan = cluster.place()
        self.assertEqual(([], []), (plan.preemptions, plan.placements))

    def test_guaranteed_work_preempts_urgent_borrowers(self):
        """Guards against a guarantee that other urgent work blocks.

        The other work is of the same priority but exceeds its own guarantee.
        """
        cluster = Cluster(guaranteed=8)
        cluster.add("u1")
        cluster.submit(step(1, gpu=8), route="urgent", account="other", job_id="b" * 16)
        for placement in cluster.place().placements:
            cluster.runs[(placement.key, placement.run)] = RunProgress(False, 1.0)
        cluster.submit(step(1, gpu=8), route="urgent")
        self.assertEqual(1, len(cluster.place(after_ms=1_000).preemptions))


class ReservationTests(unittest.TestCase):
    def test_capacity_is_reserved_for_a_large_gang(self):
        """Guards against small tasks that starve a large gang.

        Without a reservation they would take each accelerator that is freed.
        """
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(step(1, gpu=4), job_id="b" * 16)
        cluster.place()
        cluster.submit(step(1, gpu=8, gang=True))
        cluster.submit(step(1, gpu=1, estimate_ms=60_000), job_id="c" * 16)
        self.assertEqual([], cluster.place(after_ms=2_000).placements)

    def test_nothing_is_reserved_while_most_capacity_is_free(self):
        """Guards against a job that starts late beside an idle fleet.

        The gangs before it wait for upstreams of one rack.
        """
        cluster = Cluster()
        for number in range(6):
            cluster.add(f"u{number}", rack=f"r{number % 3}")
        cluster.submit(*[step(1, gpu=2, per_upstream=1) for _ in range(3)])
        cluster.place()
        for job_id in ("b" * 16, "c" * 16):
            cluster.submit(step(6, gpu=8, gang=True), job_id=job_id)
        cluster.submit(step(1, gpu=8, estimate_ms=60_000), job_id="d" * 16)
        placements = cluster.place(after_ms=2_000).placements
        self.assertEqual(["d" * 16], [p.key.job_id for p in placements])

    def test_nothing_is_reserved_for_work_that_never_fits(self):
        """Guards against a job that can never fit and blocks other jobs."""
        cluster = Cluster()
        cluster.add("u1")
        cluster.submit(step(3, gpu=8, gang=True))
        cluster.submit(step(1, gpu=1, estimate_ms=60_000), job_id="c" * 16)
        self.assertEqual(1, len(cluster.place(after_ms=2_000).placements))

    def test_work_within_its_objective_comes_before_late_work(self):
        """Guards against late work that makes other work late."""
        cluster = Cluster()
        cluster.add("u1", gpu=1)
        cluster.submit(step(1), job_id="b" * 16, submitted_ms=1_800_000_000_000 - 9_000)
        cluster.submit(step(1), job_id="c" * 16)
        plan = cluster.place()
        self.assertEqual("c" * 16, plan.placements[0].key.job_id)
