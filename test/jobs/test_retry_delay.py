"""Tests of units that go back to an upstream where a run failed or crashed."""

import random
import unittest

from persimmonyard.jobs import NoteUpstreams, TaskEnd
from test.jobs.fixtures import WALL_MS, Cluster, note_silence, report, step

LASTING_ID = "00000000000000e1"
UNIT_ID = "00000000000000e2"
SEEDS = range(20)
PLAN_INTERVAL_MS = 500


class RetryFleet:
    """Upstreams of which all but one are full with work without an end."""

    def __init__(self, others, unit, **fields):
        self.cluster = Cluster()
        for number in range(others):
            self.cluster.add(f"u{number}", gpu=4)
        full = step(others, per_upstream=1, gpu=1, long_running=True)
        self.cluster.submit(full, job_id=LASTING_ID)
        self.cluster.place()
        self.cluster.add("large")
        self.cluster.submit(unit, job_id=UNIT_ID, **fields)

    def record(self):
        return self.cluster.store.job_by_id[UNIT_ID]

    def next_start_ms(self, from_ms, until_ms):
        """Return when the unit is placed again, or None."""
        for after_ms in range(from_ms, until_ms, PLAN_INTERVAL_MS):
            if self.cluster.place(after_ms).placements:
                return after_ms
        return None

    def end_unit(self, end):
        for key, unit in self.record().units.items():
            self.cluster.end_run(key, unit, end)

    def crash(self, name, after_ms):
        """Crash an upstream, which starts again under its identifier."""
        incarnation = self.cluster.fleet.by_id[name].report.incarnation + 1
        note_silence(self.cluster.store, name, WALL_MS + after_ms)
        restarted = report(name, incarnation=incarnation)
        self.cluster.store.execute(NoteUpstreams((restarted,), WALL_MS + after_ms))
        self.cluster.add(name, incarnation=incarnation)
        self.end_unit(TaskEnd.LOST)


class FailedRunTests(unittest.TestCase):
    def test_unit_returns_to_the_only_upstream_with_room(self):
        """Guards against a job that waits for ever after one failed run.

        The other upstreams would hold it when empty, but they are full of
        work without an end.
        """
        fleet = RetryFleet(11, step(gpu=4))
        self.assertEqual(0, fleet.next_start_ms(0, 1))
        fleet.end_unit(TaskEnd.FAILED)
        self.assertEqual(1, len(fleet.record().units))
        started_ms = fleet.next_start_ms(200, 60_000)
        self.assertIsNotNone(started_ms)
        self.assertLess(started_ms, 3_200)

    def test_unit_that_fails_for_seconds_keeps_an_attempt(self):
        """Guards against a sound job that spends its attempts too soon.

        The upstream fails what it starts for 6.5 s, and the job has three
        attempts.
        """
        fleet = RetryFleet(11, step(gpu=4))
        started_ms = fleet.next_start_ms(0, 1)
        while started_ms < 6_500:
            fleet.end_unit(TaskEnd.FAILED)
            self.assertFalse(fleet.record().failed, started_ms)
            started_ms = fleet.next_start_ms(started_ms + 200, 60_000)
            self.assertIsNotNone(started_ms)

    def test_unit_goes_elsewhere_as_long_as_there_is_room(self):
        """Guards against a second attempt on an upstream that fails work."""
        fleet = RetryFleet(3, step(gpu=4))
        fleet.next_start_ms(0, 1)
        fleet.end_unit(TaskEnd.FAILED)
        fleet.cluster.add("other")
        (placement,) = fleet.cluster.place(30_000).placements
        self.assertEqual("other", placement.seats[0].upstream_id)

    def test_unit_waits_longer_for_upstreams_that_free_up(self):
        """Guards against attempts spent where the work fails.

        The others are full of work that ends.
        """
        fleet = RetryFleet(3, step(gpu=4))
        fleet.next_start_ms(0, 1)
        fleet.end_unit(TaskEnd.FAILED)
        fleet.cluster.submit(step(2, gpu=4), job_id="b" * 16, route="urgent")
        fleet.cluster.add("other", gpu=4)
        fleet.cluster.place(200)
        started_ms = fleet.next_start_ms(300, 60_000)
        self.assertGreater(started_ms, 14_000)
        self.assertLess(started_ms, 16_000)

    def test_long_running_task_never_waits_long(self):
        """Guards against a growing delay of a task that provides a service.

        Its attempts have no limit, so that only its down time counts.
        """
        fleet = RetryFleet(3, step(gpu=4, long_running=True))
        started_ms = fleet.next_start_ms(0, 1)
        for _ in range(6):
            fleet.end_unit(TaskEnd.FAILED)
            again_ms = fleet.next_start_ms(started_ms + 200, 60_000)
            self.assertLessEqual(again_ms - started_ms, 3_200)
            started_ms = again_ms

    def test_gang_returns_if_it_fits_elsewhere_only_in_part(self):
        """Guards against a gang that waits for ever after a failed member."""
        fleet = RetryFleet(8, step(2, gpu=4, gang=True))
        fleet.next_start_ms(0, 1)
        fleet.end_unit(TaskEnd.FAILED)
        self.assertIsNotNone(fleet.next_start_ms(200, 4_000))


class CrashTests(unittest.TestCase):
    def test_unit_returns_to_the_only_upstream_with_room(self):
        """Guards against a job that waits for ever after one crash.

        The upstream is back under its identifier, sound and idle.
        """
        fleet = RetryFleet(7, step(gpu=4))
        fleet.next_start_ms(0, 1)
        fleet.crash("large", 3_000)
        started_ms = fleet.next_start_ms(3_000, 60_000)
        self.assertIsNotNone(started_ms)
        self.assertLess(started_ms, 6_000)

    def test_crashed_gang_returns_if_it_fits_elsewhere_only_in_part(self):
        """Guards against the same with a gang."""
        fleet = RetryFleet(8, step(2, gpu=4, gang=True))
        fleet.next_start_ms(0, 1)
        fleet.crash("large", 3_000)
        self.assertIsNotNone(fleet.next_start_ms(3_000, 7_000))


class RandomTroubleTests(unittest.TestCase):
    def test_unit_with_room_starts_after_any_trouble(self):
        """Guards against a unit that waits for ever after a failure or crash.

        Sizes, gangs, and which upstreams fail or crash are drawn; the fleet is
        full of work without an end, except where the unit ran.
        """
        for seed in SEEDS:
            rng = random.Random(seed)
            members = rng.randrange(1, 3)
            unit = step(
                members,
                gpu=8 // members,
                gang=members > 1,
                long_running=rng.random() < 0.5,
            )
            fleet = RetryFleet(rng.randrange(2, 20), unit)
            started_ms = fleet.next_start_ms(0, 1)
            for _ in range(2):
                ended_ms = started_ms + rng.randrange(200, 9_000)
                if rng.random() < 0.5:
                    fleet.crash("large", ended_ms)
                else:
                    fleet.end_unit(TaskEnd.FAILED)
                started_ms = fleet.next_start_ms(ended_ms, ended_ms + 12_000)
                self.assertIsNotNone(started_ms, seed)


if __name__ == "__main__":
    unittest.main()
