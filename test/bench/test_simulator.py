"""Tests of bench.simulator and bench.measures."""

import unittest

from bench.baseline import FirstFit
from bench.measures import measure
from bench.simulator import Simulator
from bench.workload import Incident, PlannedJob, Workload, fleet

from persimmonyard.model import (
    Adjacency,
    ClientAccountSpec,
    Resources,
    Shape,
    WorkClassSpec,
)
from persimmonyard.scheduler import Job, Place, Preempt, Reason

REASON = Reason("test", "test")
ZONES = ("y", "z")
RACK_OF_TWO = Shape(2, 8, 1, 1, Adjacency.RACK)


class ScriptedPolicy:
    """A policy that returns prepared decisions, one list for each call."""

    def __init__(self, *decisions_by_call):
        self.decisions_by_call = list(decisions_by_call)

    def observe(self, event, now):
        """Ignore events."""

    def decide(self, now):
        return self.decisions_by_call.pop(0) if self.decisions_by_call else []

    def next_wakeup(self):
        return 0.0 if self.decisions_by_call else None


def planned_job(number, shape, at=0.0, run_s=100.0, idempotent=True, checkpoints=False):
    job = Job(
        f"r-{number}", "a", "c", shape, run_s, idempotent, checkpoints, submitted_at=at
    )
    return PlannedJob(job, run_s)


def small_workload(*jobs, incidents=(), duration_s=2_000.0):
    """Return a workload with one upstream of 8 accelerators in each zone."""
    return Workload(
        name="small",
        start=0.0,
        duration_s=duration_s,
        zones=ZONES,
        urgent_class="c",
        upstreams=fleet(ZONES, 1, 1, lambda: Resources(8, 64, 1_000)),
        classes=[WorkClassSpec("c", within_s=150.0)],
        accounts=[ClientAccountSpec("a", guarantee=(Shape(1, 8, 64, 1),))],
        planned_jobs=list(jobs),
        incidents=[
            *incidents,
            Incident(1_000.0, "zone_out", "z"),
            Incident(1_100.0, "zone_back", "z"),
        ],
    )


def simulate(workload, policy):
    simulator = Simulator(workload, policy, wall_limit_s=60.0)
    simulator.run()
    return simulator


def placement(number, *ids, attempt=1):
    return Place(f"r-{number}", attempt, ids, False, REASON)


class SimulatorAuditTests(unittest.TestCase):
    def count_violations(self, shape, *decisions_by_call, incidents=(), **kwargs):
        workload = small_workload(planned_job(0, shape, **kwargs), incidents=incidents)
        return dict(
            simulate(workload, ScriptedPolicy([], *decisions_by_call)).violations
        )

    def test_valid_placement_is_no_violation(self):
        """A placement that keeps all rules must not be counted.

        A check that is too strict would report violations of a correct
        scheduler.
        """
        self.assertEqual(
            self.count_violations(Shape(1, 8), [placement(0, "z/0/0")]), {}
        )

    def test_violations_are_counted_by_rule(self):
        """Each rule that a placement breaks must be counted under its name.

        A rule that is not checked would let the benchmark pass a scheduler
        that overfills upstreams, splits gangs or starts a job twice.
        """
        placed_twice = [placement(0, "z/0/0"), placement(0, "y/0/0", attempt=2)]
        case_by_violation = {
            "over capacity": (Shape(1, 9), [placement(0, "z/0/0")]),
            "part of a gang": (Shape(2, 1), [placement(0, "z/0/0")]),
            "not in one zone": (RACK_OF_TWO, [placement(0, "z/0/0", "y/0/0")]),
            "placed twice": (Shape(1, 1), placed_twice),
        }
        for violation, (shape, decisions) in case_by_violation.items():
            self.assertEqual(self.count_violations(shape, decisions), {violation: 1})

    def test_placement_on_unavailable_upstream_is_counted(self):
        """Placements in a closed zone or on a lost upstream must be counted.

        The scheduler learns of both before it decides, so such a placement is
        its own fault.
        """
        incident_by_violation = {
            "zone out of service": Incident(0.0, "zone_out", "z"),
            "lost upstream": Incident(0.0, "lost", "z/0/0"),
        }
        for violation, incident in incident_by_violation.items():
            violations = self.count_violations(
                Shape(1, 1), [placement(0, "z/0/0")], incidents=[incident]
            )
            self.assertEqual(violations, {violation: 1})

    def test_preemption_of_work_that_must_not_run_again_is_counted(self):
        """Preempting a job that must not run again must be counted.

        The job is not idempotent and has run in part; without a checkpoint,
        stopping it loses it.
        """
        stop = [Preempt("r-0", 1, False, "r-1", REASON)]
        violations = self.count_violations(
            Shape(1, 1), [placement(0, "z/0/0")], [], stop, idempotent=False
        )
        self.assertEqual(violations, {"stopped work that must not run again": 1})


class MeasureTests(unittest.TestCase):
    def test_late_job_with_room_in_its_guarantee_is_counted(self):
        """A late job must count if the guarantee of its account had room.

        The policy never places the job although the account runs nothing.
        """
        result = measure(
            simulate(small_workload(planned_job(0, Shape(1, 8))), ScriptedPolicy())
        )
        self.assertEqual(result["urgent"]["late_within_guarantee"], 1)

    def test_late_job_with_guarantee_in_use_is_not_counted(self):
        """A late job must not count while its account uses its guarantee.

        The first job of the account takes all of it until the end.
        """
        jobs = [planned_job(0, Shape(1, 8), run_s=5_000.0), planned_job(1, Shape(1, 8))]
        policy = ScriptedPolicy([], [placement(0, "z/0/0")])
        result = measure(simulate(small_workload(*jobs), policy))
        self.assertEqual(result["urgent"]["late"], 2)
        self.assertEqual(result["urgent"]["late_within_guarantee"], 0)

    def test_late_job_that_started_at_once_is_not_counted(self):
        """A job that is late only because of its run time must not count.

        It starts at once, so the guarantee was honoured.
        """
        workload = small_workload(planned_job(0, Shape(1, 4), run_s=500.0))
        result = measure(simulate(workload, FirstFit()))
        self.assertEqual(result["urgent"]["late"], 1)
        self.assertEqual(result["urgent"]["late_within_guarantee"], 0)

    def test_work_in_a_closed_zone_does_not_count(self):
        """Work on an upstream must not count while its zone is closed.

        Of two busy upstreams only the one in the open zone counts for the
        100 s of the closure; both count for the 600 s after it.
        """
        jobs = [planned_job(n, Shape(1, 8), run_s=1_900.0) for n in range(2)]
        result = measure(simulate(small_workload(*jobs), FirstFit()))
        done = result["zone"]["done_accelerator_s"]
        self.assertAlmostEqual(done, 8 * (100.0 + 2 * 600.0), delta=1.0)
        self.assertAlmostEqual(result["zone"]["share"], 1.0, delta=0.05)

    def test_work_of_a_lost_attempt_does_not_count(self):
        """Accelerator time of a lost attempt must not count as work done.

        One of the two upstreams is lost at 1,650 s, so its attempt is lost
        with all its work; the other one is in the zone that closes.
        """
        jobs = [planned_job(n, Shape(1, 8), run_s=1_900.0) for n in range(2)]
        lost = [Incident(1_650.0, "lost", "y/0/0")]
        result = measure(simulate(small_workload(*jobs, incidents=lost), FirstFit()))
        done = result["zone"]["done_accelerator_s"]
        self.assertAlmostEqual(done, 8 * 600.0, delta=1.0)
