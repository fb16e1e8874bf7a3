"""Tests of the replicated state machine of jobs."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyard.jobs import (
    GANG_TASK,
    CancelJob,
    EndRuns,
    ForgetUpstreams,
    JobState,
    JobStore,
    NotedSpeed,
    NoteSilence,
    NoteSpeeds,
    NoteUpstreams,
    Placement,
    PlaceRuns,
    PutConfiguration,
    RunEnd,
    Seat,
    SetZone,
    SubmitJob,
    TaskEnd,
    UnitKey,
    configuration_problem,
    decode_command,
    encode_command,
)
from test.jobs.fixtures import JOB_ID, NORMAL, configuration, job, report, step

NOW_MS = 1_800_000_000_000


def seat(task, upstream_id="u1"):
    return Seat(task, upstream_id, 1, f"{upstream_id}:80", "z1")


def place(key, run, tasks):
    seats = tuple(seat(task) for task in tasks)
    return PlaceRuns((Placement(key, run, seats),))


def end(key, task, run, task_end, checkpoint=""):
    return EndRuns((RunEnd(key, task, run, task_end, checkpoint),), NOW_MS)


class StoreTests(unittest.TestCase):
    def setUp(self):
        self.store = JobStore()
        self.store.execute(PutConfiguration(configuration()))

    def submit(self, *steps, **fields):
        self.store.execute(SubmitJob(job(*steps, **fields)))
        return self.store.job_by_id[JOB_ID]

    def test_older_configuration_changes_nothing(self):
        """Guards against a configuration that reverts to an older version."""
        self.store.execute(PutConfiguration(configuration(7)))
        self.assertFalse(self.store.execute(PutConfiguration(configuration(7, 99))))
        self.assertFalse(self.store.execute(PutConfiguration(configuration(3))))
        self.assertEqual(7, self.store.configuration.version)
        self.assertEqual(0, self.store.configuration.accounts[0].guaranteed)

    def test_same_job_again_is_one_job(self):
        """Guards against a resent job that resets the state of the first."""
        self.submit(step())
        key = UnitKey(JOB_ID, 0, 0, 0)
        self.store.execute(place(key, 1, [0]))
        self.assertFalse(self.store.execute(SubmitJob(job(step()))))
        self.assertEqual([], list(self.store.waiting()))

    def test_job_completes_when_every_task_is_done(self):
        """Guards against a job reported as completed while tasks run."""
        record = self.submit(step(2))
        for task in (0, 1):
            key = UnitKey(JOB_ID, 0, 0, task)
            self.store.execute(place(key, 1, [task]))
            self.assertEqual(JobState.RUNNING, record.state())
            self.store.execute(end(key, task, 1, TaskEnd.DONE))
        self.assertEqual(JobState.COMPLETED, record.state())
        self.assertEqual({}, self.store.seats_by_upstream)

    def test_end_of_an_older_run_changes_nothing(self):
        """Guards against a late end of an older run that ends a newer run."""
        record = self.submit(step())
        key = UnitKey(JOB_ID, 0, 0, 0)
        self.store.execute(place(key, 1, [0]))
        self.store.execute(end(key, 0, 1, TaskEnd.LOST))
        self.store.execute(place(key, 2, [0]))
        self.store.execute(end(key, 0, 1, TaskEnd.DONE))
        self.assertEqual(JobState.RUNNING, record.state())
        self.assertEqual(1, len(self.store.seats_by_upstream["u1"]))

    def test_run_numbers_never_repeat(self):
        """Guards against two runs of a task with the same run number."""
        self.submit(step())
        key = UnitKey(JOB_ID, 0, 0, 0)
        self.store.execute(place(key, 1, [0]))
        self.store.execute(end(key, 0, 1, TaskEnd.STOPPED, "c1"))
        self.store.execute(place(key, 1, [0]))
        self.assertEqual(1, len(list(self.store.waiting())))

    def test_job_fails_after_its_attempts(self):
        """Guards against more failed runs than the route allows."""
        record = self.submit(step())
        key = UnitKey(JOB_ID, 0, 0, 0)
        for run in range(1, NORMAL.attempts + 1):
            self.assertEqual(record.state() == JobState.FAILED, False)
            self.store.execute(place(key, run, [0]))
            self.store.execute(end(key, 0, run, TaskEnd.FAILED))
        self.assertEqual(JobState.FAILED, record.state())
        self.assertEqual([], list(self.store.waiting()))

    def test_only_failed_ends_count_as_attempts(self):
        """Guards against a job that fails because upstreams were lost.

        Only runs whose task failed count; lost, stopped and rejected runs
        don't.
        """
        record = self.submit(step())
        key = UnitKey(JOB_ID, 0, 0, 0)
        ends = (TaskEnd.LOST, TaskEnd.LAPSED, TaskEnd.STOPPED, TaskEnd.REJECTED)
        for run, task_end in enumerate(ends, start=1):
            self.store.execute(place(key, run, [0]))
            self.store.execute(end(key, 0, run, task_end))
        self.assertEqual(0, record.units[key].failures)
        self.assertEqual(1, len(list(self.store.waiting())))

    def test_gang_waits_until_all_members_have_ended(self):
        """Guards against a second run while members of the first still run."""
        self.submit(step(2, gang=True))
        key = UnitKey(JOB_ID, 0, 0, GANG_TASK)
        self.store.execute(place(key, 1, [0, 1]))
        self.store.execute(end(key, 0, 1, TaskEnd.FAILED, "c1"))
        self.assertEqual([], list(self.store.waiting()))
        self.store.execute(end(key, 1, 1, TaskEnd.BROKEN))
        _, unit, _ = next(self.store.waiting())
        self.assertEqual(("c1", 1), (unit.checkpoint, unit.failures))

    def test_gang_completes_with_the_first_member_that_is_done(self):
        """Guards against a finished job that waits for a silent upstream.

        Members end as done together, so whatever is recorded of the others
        later changes nothing.
        """
        record = self.submit(step(3, gang=True), step(depends_on=(0,)))
        key = UnitKey(JOB_ID, 0, 0, GANG_TASK)
        self.store.execute(place(key, 1, [0, 1, 2]))
        self.store.execute(end(key, 0, 1, TaskEnd.DONE))
        self.assertTrue(record.step_done(0, 0))
        self.assertEqual(2, len(self.store.seats_by_upstream["u1"]))
        copy = JobStore()
        copy.restore(self.store.snapshot())
        for store in (self.store, copy):
            store.execute(end(key, 1, 1, TaskEnd.LOST))
            store.execute(end(key, 2, 1, TaskEnd.DONE))
            self.assertEqual({}, store.seats_by_upstream)
            waiting = [waiting_key.step for waiting_key, _, _ in store.waiting()]
            self.assertEqual([1], waiting)
            self.assertEqual(1, store.job_by_id[JOB_ID].open_by_step["0.1"])
            self.assertEqual(0, store.job_by_id[JOB_ID].open_by_step["0.0"])

    def test_gang_that_is_done_after_a_loss_does_not_run_again(self):
        """Guards against a step that counts as done and runs again.

        The end of a member is proposed while its loss is being committed.
        """
        record = self.submit(step(2, gang=True), step(depends_on=(0,)))
        key = UnitKey(JOB_ID, 0, 0, GANG_TASK)
        self.store.execute(place(key, 1, [0, 1]))
        self.store.execute(end(key, 0, 1, TaskEnd.LOST))
        self.store.execute(end(key, 0, 1, TaskEnd.DONE))
        self.store.execute(end(key, 1, 1, TaskEnd.STOPPED))
        self.assertTrue(record.step_done(0, 0))
        self.assertTrue(record.units[key].is_done())
        waiting = [waiting_key.step for waiting_key, _, _ in self.store.waiting()]
        self.assertEqual([1], waiting)

    def test_gang_of_an_older_snapshot_completes_once(self):
        """Guards against a gang that never completes after an upgrade.

        Earlier versions recorded the end of a member without completing it.
        """
        record = self.submit(step(2, gang=True))
        key = UnitKey(JOB_ID, 0, 0, GANG_TASK)
        self.store.execute(place(key, 1, [0, 1]))
        record.units[key].seats[0].end = TaskEnd.DONE
        self.store.execute(end(key, 1, 1, TaskEnd.LOST))
        self.assertEqual(JobState.COMPLETED, record.state())
        self.assertEqual(0, record.open_by_step["0.0"])

    def test_cancelled_job_is_not_placed(self):
        """Guards against tasks that start after their job was cancelled."""
        record = self.submit(step(2))
        key = UnitKey(JOB_ID, 0, 0, 0)
        self.store.execute(CancelJob(JOB_ID, NOW_MS))
        self.store.execute(place(key, 1, [0]))
        self.assertEqual({}, self.store.seats_by_upstream)
        self.assertEqual(JobState.CANCELLED, record.state())

    def test_snapshot_restores_everything(self):
        """Guards against state that is missing in a snapshot."""
        self.submit(step(3), step(depends_on=(0,)))
        first = UnitKey(JOB_ID, 0, 0, 0)
        self.store.execute(place(first, 1, [0]))
        second = UnitKey(JOB_ID, 0, 0, 1)
        self.store.execute(place(second, 1, [1]))
        self.store.execute(end(second, 1, 1, TaskEnd.DONE))
        self.store.execute(SetZone("z2", True))
        self.store.execute(NoteUpstreams((report("u1").stable_fields(),)))
        copy = JobStore()
        copy.restore(self.store.snapshot())
        self.assertEqual(self.store.report_by_upstream, copy.report_by_upstream)
        self.assertEqual(self.store.job_by_id, copy.job_by_id)
        self.assertEqual(self.store.zones_out, copy.zones_out)
        self.assertEqual(
            self.store.seats_by_upstream.keys(), copy.seats_by_upstream.keys()
        )
        self.assertEqual(
            {key for key, _, _ in self.store.waiting()},
            {key for key, _, _ in copy.waiting()},
        )
        # The restored index refers to the restored units.
        copy.execute(end(first, 0, 1, TaskEnd.DONE))
        self.assertEqual({}, copy.seats_by_upstream)

    def test_crashes_in_an_earlier_form_are_restored(self):
        """Guards against a state that cannot be read after an upgrade.

        Earlier forms of the crash records, lost seats and recent crashes had
        fewer fields, and the crash records another name.
        """
        self.submit(step())
        data = msgspec.msgpack.decode(self.store.snapshot())
        (unit,) = data["jobs"][0]["units"].values()
        del unit["crash_records"]
        unit["crashes"] = [["u1", 1, "u1:80", 1, True, False, False]]
        unit["lost_seats"] = [["u1", 1, "u1:80", 1, NOW_MS]]
        data["crashes"] = [["u1", 1, "u1:80", "z1", "r1", NOW_MS, []]]
        self.store.restore(msgspec.msgpack.encode(data))
        (restored,) = self.store.job_by_id[JOB_ID].units.values()
        self.assertEqual([], restored.crashes)
        self.assertIsNone(restored.lost_seats[0].silence)
        self.store.execute(NoteUpstreams((report("u1", incarnation=2),), NOW_MS))
        self.assertEqual(1, len(restored.crashes))

    def test_silence_in_an_earlier_form_is_decoded(self):
        """Guards against a log that cannot be read after an upgrade.

        Its entries had no answers.
        """
        entry = encode_command(NoteSilence(()))
        earlier = msgspec.msgpack.encode(msgspec.msgpack.decode(entry)[:2])
        self.assertEqual(NoteSilence(()), decode_command(earlier))

    def test_speed_belongs_to_an_incarnation_with_a_report(self):
        """Guards against a speed of an upstream that was replaced.

        The command may be applied after the upstream has restarted.
        """
        speeds = (NotedSpeed("u1", 1, 600), NotedSpeed("u2", 1, 1_600))
        self.store.execute(NoteSpeeds(speeds))
        self.assertEqual([], self.store.noted_speeds.all())
        self.store.execute(NoteUpstreams((report("u1"), report("u2"))))
        self.store.execute(NoteSpeeds((*speeds, NotedSpeed("u1", 2, 5), speeds[0])))
        self.store.execute(NoteSpeeds((NotedSpeed("u2", 1, 0),)))
        self.assertEqual(list(speeds), self.store.noted_speeds.all())
        self.store.execute(NoteUpstreams((report("u1", incarnation=2),)))
        self.store.execute(NoteSpeeds(speeds[:1]))
        self.store.execute(ForgetUpstreams(("u2",)))
        self.store.execute(NoteUpstreams((report("u2"),)))
        self.assertEqual([], self.store.noted_speeds.all())

    def test_speeds_of_any_snapshot_are_restored(self):
        """Guards against a state that cannot be read after an upgrade.

        Earlier snapshots had no speeds; one that is cut off changes nothing.
        """
        speed = NotedSpeed("u1", 1, 600)
        self.store.execute(NoteUpstreams((report("u1"),)))
        self.store.execute(NoteSpeeds((speed,)))
        copy = JobStore()
        copy.restore(self.store.snapshot())
        with self.assertRaises(msgspec.DecodeError):
            copy.restore(self.store.snapshot()[:-3])
        self.assertEqual([speed], copy.noted_speeds.all())
        copy.execute(ForgetUpstreams(("u1",)))
        self.assertEqual([], copy.noted_speeds.all())
        data = msgspec.msgpack.decode(self.store.snapshot())
        data["speeds"].append(["u2", 1, 1_600])
        copy.restore(msgspec.msgpack.encode(data))
        self.assertEqual([speed], copy.noted_speeds.all())
        del data["speeds"]
        copy.restore(msgspec.msgpack.encode(data))
        self.assertEqual([], copy.noted_speeds.all())

    def test_leave_is_final_for_an_incarnation(self):
        """Guards against an outdated report that cancels a departure."""
        leaving = report("u1", leaving=True).stable_fields()
        self.store.execute(NoteUpstreams((leaving,)))
        self.store.execute(NoteUpstreams((report("u1").stable_fields(),)))
        self.assertTrue(self.store.report_by_upstream["u1"].leaving)
        restarted = report("u1", incarnation=2).stable_fields()
        self.store.execute(NoteUpstreams((restarted,)))
        self.assertFalse(self.store.report_by_upstream["u1"].leaving)
        self.store.execute(NoteUpstreams((leaving,)))
        self.assertEqual(2, self.store.report_by_upstream["u1"].incarnation)
        self.store.execute(ForgetUpstreams(("u1",)))
        self.assertEqual({}, self.store.report_by_upstream)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from(list(TaskEnd)))))
    def test_seats_match_the_units(self, events):
        """Guards against an index of seats that disagrees with the units."""
        self.store = JobStore()
        self.store.execute(PutConfiguration(configuration()))
        record = self.submit(step(4))
        for task, how in events:
            key = UnitKey(JOB_ID, 0, 0, task)
            unit = record.units[key]
            if unit.seats:
                self.store.execute(end(key, task, unit.run, how))
            else:
                self.store.execute(place(key, unit.run + 1, [task]))
            seats = sum(len(runs) for runs in self.store.seats_by_upstream.values())
            expected = sum(len(unit.seats) for unit in record.units.values())
            self.assertEqual(expected, seats)


class ConfigurationTests(unittest.TestCase):
    def test_longest_prefix_wins(self):
        """Guards against a call that is assigned to the wrong route."""
        store = JobStore()
        store.execute(PutConfiguration(configuration()))
        self.assertEqual("urgent", store.find_route("h.example", "/urgent/x").name)
        self.assertIsNone(store.find_route("other.example", "/urgent/x"))

    def test_invalid_configurations_are_explained(self):
        """Guards against an invalid configuration that is applied."""
        import msgspec

        valid = configuration()
        self.assertEqual("", configuration_problem(valid))
        duplicate_route = msgspec.structs.replace(valid, routes=(valid.routes[0],) * 2)
        self.assertIn("share", configuration_problem(duplicate_route))
        without_service = msgspec.structs.replace(valid, services=())
        self.assertIn("unknown service", configuration_problem(without_service))
        route = msgspec.structs.replace(valid.routes[0], timeout_ms=0)
        without_timeout = msgspec.structs.replace(valid, routes=(route,))
        self.assertIn("timeout", configuration_problem(without_timeout))
        other = msgspec.structs.replace(valid.accounts[0], name="other")
        shared_key = msgspec.structs.replace(valid, accounts=(valid.accounts[0], other))
        self.assertIn("share a key", configuration_problem(shared_key))
