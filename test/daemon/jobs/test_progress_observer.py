"""Tests of the rates that listings give."""

import unittest

from persimmonyard.daemon.jobs.progress_observer import ProgressObserver
from persimmonyard.daemon.jobs.task_run import RunState, TaskRun
from persimmonyard.estimation import SpeedEstimate
from persimmonyard.jobs import (
    GANG_TASK,
    Step,
    SubmitJob,
    TaskEnd,
    TaskKey,
    UnitKey,
)
from persimmonyard.model import Resources
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until
from test.jobs.fixtures import job, step

STEP = Step(8, Resources(1_000, 100, 1))
GANG = Step(8, Resources(1_000, 100, 1), gang=True)


class _RecordedSpeeds:
    def __init__(self):
        self.rates = []
        self.factor_by_id = {}

    def speed(self, upstream_id):
        return SpeedEstimate(self.factor_by_id.get(upstream_id, 1.0), 1.0)

    def observe(self, group, upstream_id, rate, at_s):
        self.rates.append((upstream_id, round(rate, 2)))


class ProgressObserverTests(unittest.TestCase):
    def setUp(self):
        self.speeds = _RecordedSpeeds()
        self.observer = ProgressObserver(self.speeds)

    def run_of(self, task, step=STEP):
        unit = UnitKey("job", 0, 0, GANG_TASK if step.gang else task)
        return TaskRun(
            TaskKey("job", 0, 0, task), 1, unit, step, RunState.RUNNING, 10.0
        )

    def list_run(self, task_run, percent, now):
        task_run.update_progress(percent, "", now)
        self.observer.observe(task_run, f"u{task_run.task_key.task}", now)

    def test_short_run_counts_from_its_start(self):
        """A run of 2 s is over in its second listing."""
        task_run = self.run_of(0)
        self.observer.record_start(task_run, "u", 10.0)
        self.list_run(task_run, 46, 12.0)
        self.list_run(task_run, 100, 14.0)
        self.assertEqual(self.speeds.rates, [("u0", 23.0)])

    def test_first_listing_at_the_end_is_no_observation(self):
        """A run that waits at 100% must not seem slow."""
        task_run = self.run_of(0)
        self.observer.record_start(task_run, "u", 10.0)
        self.list_run(task_run, 100, 12.0)
        self.assertEqual(self.speeds.rates, [])

    def test_logged_gang(self):
        """Members wait for the last start, which is when their work begins."""
        members = [self.run_of(task, GANG) for task in range(8)]
        factors = [1.0, 0.6, 1.0, 1.6, 1.0, 0.6, 1.6, 1.0]
        for number, member in enumerate(members):
            self.observer.record_start(member, f"u{number}", 10.0 + number * 0.1)
        for member, factor in zip(members, factors, strict=True):
            self.list_run(member, int(16.5 * factor * 2.0), 12.7)
        expected = []
        for number, factor in enumerate(factors):
            expected.append((f"u{number}", int(33 * factor) / 2))
        self.assertEqual(self.speeds.rates, expected)

    def test_unknown_begin_counts_from_the_first_progress(self):
        """Waiting for the gang or a checkpoint must not count as work."""
        waiting = self.run_of(0, GANG)
        self.observer.record_start(waiting, "u", 10.0)
        resumed = self.run_of(1)
        inherited = self.run_of(2)
        for task_run, percents in (
            (waiting, [0, 20, 40]),
            (resumed, [50, 60, 80]),
            (inherited, [30, 50, 70]),
        ):
            for number, percent in enumerate(percents):
                self.list_run(task_run, percent, 12.0 + 2 * number)
        self.assertEqual(
            self.speeds.rates,
            [("u0", 10.0), ("u1", 5.0), ("u1", 10.0), ("u2", 10.0), ("u2", 10.0)],
        )

    def test_intervals_that_are_too_short_are_combined(self):
        """Rounding and network delays must not give wrong rates."""
        task_run = self.run_of(0)
        self.observer.record_start(task_run, "u", 10.0)
        for percent, now in ((4, 10.3), (12, 10.35), (18, 11.0), (24, 11.5)):
            self.list_run(task_run, percent, now)
        self.assertEqual(self.speeds.rates, [("u0", 18.0)])

    def test_standstill_is_observed_only_in_a_step_that_progresses(self):
        """An upstream on which work stands still must not seem unknown."""
        slow = self.run_of(0)
        self.observer.record_start(slow, "u", 10.0)
        self.list_run(slow, 3, 12.0)
        self.list_run(slow, 3, 14.0)
        self.assertEqual(self.speeds.rates, [])
        sound = self.run_of(1)
        self.observer.record_start(sound, "u", 10.0)
        self.list_run(sound, 60, 14.0)
        self.list_run(slow, 3, 16.0)
        self.assertEqual(self.speeds.rates, [("u1", 15.0), ("u0", 0.67)])

    def test_runs_that_are_stopped_or_endless_give_nothing(self):
        """Services and runs that are being stopped have no rate of work."""
        stopping = self.run_of(0)
        stopping.state = RunState.STOPPING
        service = self.run_of(1, Step(1, STEP.needs, long_running=True))
        for task_run in (stopping, service):
            self.observer.record_start(task_run, "u", 10.0)
            self.list_run(task_run, 40, 12.0)
        self.assertEqual(self.speeds.rates, [])

    def test_run_times_are_those_at_reference_speed(self):
        """Fast upstreams and waiting members must not distort run times."""
        self.speeds.factor_by_id = {"u0": 1.6, "u7": 0.6}
        task_run = self.run_of(0)
        self.observer.record_start(task_run, "u0", 10.0)
        self.assertEqual(self.observer.work_s(task_run, "u0", 15.0), 8.0)
        members = [self.run_of(task, GANG) for task in range(8)]
        for number, member in enumerate(members):
            self.assertIsNone(self.observer.work_s(member, f"u{number}", 15.0))
            self.observer.record_start(member, f"u{number}", 10.0 + number)
        self.assertEqual(self.observer.work_s(members[0], "u0", 27.0), 6.0)
        self.assertIsNone(self.observer.work_s(members[1], "u1", 27.0))

    def test_memory_is_bounded(self):
        """Gangs that never start must not be kept for the whole term."""
        for number in range(5_000):
            task_run = self.run_of(0, GANG)
            task_run.unit_key = UnitKey(f"job{number}", 0, 0, GANG_TASK)
            self.observer.record_start(task_run, "u", 10.0)
        self.assertLessEqual(len(self.observer._start_by_gang), 2_000)


class BeginOfWorkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = FakeUpstreamClient()
        self.upstream = self.upstreams.add("u1")
        self.leader = InMemoryLeader(self.upstreams)
        self.leader.term.start()
        self.addCleanup(self.leader.term.close)
        self.leader.report("u1")

    async def started_run(self, run):
        """Return a run once its start was answered."""
        term = self.leader.term

        def answered():
            session = term.find_session("u1")
            runs = session.task_run_by_key.values() if session is not None else ()
            return [each for each in runs if each.run == run and each.answered_at]

        await wait_until(answered)
        return answered()[0]

    async def test_resumed_run_has_no_known_begin(self):
        """Progress from before a checkpoint must not count as speed."""
        await self.leader.term.commit(SubmitJob(job(step())))
        first = await self.started_run(1)
        self.assertIsNotNone(first.work_began_at)
        self.upstream.end(first.task_key, TaskEnd.STOPPED, "saved")
        resumed = await self.started_run(2)
        self.assertIsNone(resumed.work_began_at)

    async def test_start_sent_twice_has_no_known_begin(self):
        """Work may have begun with the start that got no answer."""
        self.upstreams.delayed.add("u1")
        await self.leader.term.commit(SubmitJob(job(step())))
        await wait_until(lambda: self.upstreams.delayed_starts)
        self.upstreams.delayed.clear()
        self.assertIsNone((await self.started_run(1)).work_began_at)


if __name__ == "__main__":
    unittest.main()
