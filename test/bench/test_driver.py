"""Tests of bench.driver and bench.measures."""

import unittest

from bench.baseline import FirstFit
from bench.driver import Driver
from bench.measures import measure
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


class Scripted:
    """A policy that returns given decisions, one list for each call."""

    def __init__(self, *script):
        self.script = list(script)

    def observe(self, event, now):
        """Ignore facts."""

    def decide(self, now):
        return self.script.pop(0) if self.script else []

    def next_wakeup(self):
        return 0.0 if self.script else None


def planned(number, shape, at=0.0, run_s=100.0, idempotent=True, checkpoints=False):
    job = Job(
        f"r-{number}", "a", "c", shape, run_s, idempotent, checkpoints, submitted_at=at
    )
    return PlannedJob(job, run_s)


def workload(*jobs, incidents=(), duration_s=2_000.0):
    """Return one worker of eight accelerators in each of two zones."""
    return Workload(
        name="small",
        start=0.0,
        duration_s=duration_s,
        zones=ZONES,
        urgent_class="c",
        upstreams=fleet(ZONES, 1, 1, lambda: Resources(8, 64, 1_000)),
        classes=[WorkClassSpec("c", within_s=150.0)],
        accounts=[ClientAccountSpec("a", guarantee=(Shape(1, 8, 64, 1),))],
        planned=list(jobs),
        incidents=[
            *incidents,
            Incident(1_000.0, "zone_out", "z"),
            Incident(1_100.0, "zone_back", "z"),
        ],
    )


def run(work, policy):
    driver = Driver(work, policy, wall_limit_s=60.0)
    driver.run()
    return driver


def place(number, *ids, attempt=1):
    return Place(f"r-{number}", attempt, ids, False, REASON)


class DriverAuditTests(unittest.TestCase):
    def violations(self, shape, *script, incidents=(), **kwargs):
        work = workload(planned(0, shape, **kwargs), incidents=incidents)
        return dict(run(work, Scripted([], *script)).violations)

    def test_sound_placement_is_accepted(self):
        """A placement that keeps all rules is no violation."""
        self.assertEqual(self.violations(Shape(1, 8), [place(0, "z/0/0")]), {})

    def test_broken_placements_are_named(self):
        """Each rule that a placement breaks is counted under its name."""
        twice = [place(0, "z/0/0"), place(0, "y/0/0", attempt=2)]
        script_by_name = {
            "over capacity": (Shape(1, 9), [place(0, "z/0/0")]),
            "part of a gang": (Shape(2, 1), [place(0, "z/0/0")]),
            "not in one zone": (RACK_OF_TWO, [place(0, "z/0/0", "y/0/0")]),
            "placed twice": (Shape(1, 1), twice),
        }
        for name, (shape, decisions) in script_by_name.items():
            self.assertEqual(self.violations(shape, decisions), {name: 1})

    def test_placement_on_closed_capacity_is_named(self):
        """Zones out of service and lost upstreams take no placement."""
        kind_by_name = {
            "zone out of service": Incident(0.0, "zone_out", "z"),
            "lost upstream": Incident(0.0, "lost", "z/0/0"),
        }
        for name, incident in kind_by_name.items():
            found = self.violations(
                Shape(1, 1), [place(0, "z/0/0")], incidents=[incident]
            )
            self.assertEqual(found, {name: 1})

    def test_stop_of_work_that_must_not_run_again_is_named(self):
        """Work that must not run again is not stopped without a checkpoint."""
        stop = [Preempt("r-0", 1, False, "r-1", REASON)]
        found = self.violations(
            Shape(1, 1), [place(0, "z/0/0")], [], stop, idempotent=False
        )
        self.assertEqual(found, {"stopped work that must not run again": 1})


class MeasureTests(unittest.TestCase):
    def test_late_job_with_room_in_its_guarantee_is_counted(self):
        """A job that nobody places is late although its account had room."""
        result = measure(run(workload(planned(0, Shape(1, 8))), Scripted()))
        self.assertEqual(result["urgent"]["late_within_guarantee"], 1)

    def test_late_job_behind_its_own_account_is_not_counted(self):
        """A job that waits for its account's own work had no room."""
        jobs = [planned(0, Shape(1, 8), run_s=5_000.0), planned(1, Shape(1, 8))]
        policy = Scripted([], [place(0, "z/0/0")])
        result = measure(run(workload(*jobs), policy))
        self.assertEqual(result["urgent"]["late"], 2)
        self.assertEqual(result["urgent"]["late_within_guarantee"], 0)

    def test_late_job_that_ran_at_once_is_not_counted(self):
        """A job that is late because it runs for long lacked no capacity."""
        work = workload(planned(0, Shape(1, 4), run_s=500.0))
        result = measure(run(work, FirstFit()))
        self.assertEqual(result["urgent"]["late"], 1)
        self.assertEqual(result["urgent"]["late_within_guarantee"], 0)

    def test_work_in_the_zone_that_left_does_not_count(self):
        """Of two busy workers one counts while the other one's zone is out."""
        jobs = [planned(n, Shape(1, 8), run_s=1_900.0) for n in range(2)]
        result = measure(run(workload(*jobs), FirstFit()))
        done = result["zone"]["done_accelerator_s"]
        self.assertAlmostEqual(done, 8 * (100.0 + 2 * 600.0), delta=1.0)
        self.assertAlmostEqual(result["zone"]["share"], 1.0, delta=0.05)

    def test_work_thrown_away_does_not_count(self):
        """Accelerator time of an attempt that was lost is not work done."""
        jobs = [planned(n, Shape(1, 8), run_s=1_900.0) for n in range(2)]
        lost = [Incident(1_650.0, "lost", "y/0/0")]
        result = measure(run(workload(*jobs, incidents=lost), FirstFit()))
        done = result["zone"]["done_accelerator_s"]
        self.assertAlmostEqual(done, 8 * 600.0, delta=1.0)
