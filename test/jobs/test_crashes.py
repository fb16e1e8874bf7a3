"""Tests of the record of upstreams' crashes under tasks."""

import unittest

from persimmonyard.jobs import (
    GANG_TASK,
    Answer,
    CancelJob,
    EndRuns,
    ForgetUpstreams,
    JobState,
    JobStore,
    NoteSilence,
    NoteUpstreams,
    Placement,
    PlaceRuns,
    PutConfiguration,
    RunEnd,
    Seat,
    SubmitJob,
    TaskEnd,
    UnitKey,
)
from test.jobs.fixtures import JOB_ID, configuration, job, note_silence, report, step

OTHER_ID = "00000000000000b2"
NOW_MS = 1_800_000_000_000


def restored(store):
    """Return a store with the state of another one."""
    copy = JobStore()
    copy.restore(store.snapshot())
    return copy


class CrashTests(unittest.TestCase):
    """Each upstream "a" is at an address; "a" crashed is followed by "a'"."""

    def setUp(self):
        self.store = JobStore()
        self.store.execute(PutConfiguration(configuration()))
        self.now_ms = NOW_MS
        self.incarnation_by_name = {}

    def submit(self, *steps, job_id=JOB_ID):
        self.store.execute(SubmitJob(job(*steps, job_id=job_id)))
        return self.store.job_by_id[job_id]

    def report(self, name, zone="z1", **fields):
        """Commit a report of the current incarnation at an address."""
        incarnation = self.incarnation_by_name.setdefault(name, 1)
        committed = report(f"{name}-{incarnation}", zone=zone, **fields)
        return self.store.execute(
            NoteUpstreams(
                (committed._replace(address=f"{name}:80", incarnation=incarnation),),
                self.now_ms,
            )
        )

    def place(self, *names, job_id=JOB_ID, task=0):
        """Place a run of a task, or of a gang, on the named upstreams."""
        gang = len(names) > 1
        key = UnitKey(job_id, 0, 0, GANG_TASK if gang else task)
        run = self.store.job_by_id[job_id].units[key].run + 1
        seats = []
        for number, name in enumerate(names):
            incarnation = self.incarnation_by_name.setdefault(name, 1)
            seats.append(
                Seat(
                    number if gang else task,
                    f"{name}-{incarnation}",
                    incarnation,
                    f"{name}:80",
                    "z1",
                )
            )
        self.store.execute(PlaceRuns((Placement(key, run, tuple(seats)),), self.now_ms))

    def end(self, end=TaskEnd.LOST, job_id=JOB_ID, task=0, first=0):
        """End the run of a task; of a gang, that of ``first`` ends first."""
        record = self.store.job_by_id[job_id]
        for key, unit in record.units.items():
            if key.task not in (task, GANG_TASK):
                continue
            ends = []
            for seat_record in unit.seats:
                if end == TaskEnd.LOST:
                    note_silence(self.store, seat_record.seat.upstream_id, self.now_ms)
                ends.append(RunEnd(key, seat_record.seat.task, unit.run, end))
            ends = ends[first:] + ends[:first]
            self.store.execute(EndRuns(tuple(ends), self.now_ms))

    def restart(self, name, **fields):
        incarnation = self.incarnation_by_name.get(name, 1)
        note_silence(self.store, f"{name}-{incarnation}", self.now_ms)
        self.incarnation_by_name[name] = self.incarnation_by_name.get(name, 1) + 1
        return self.report(name, **fields)

    def crash(self, *names, **end_fields):
        """Crash upstreams under a task that was just placed there."""
        for name in names:
            self.restart(name)
        self.end(**end_fields)
        self.now_ms += 4_000

    def crashes(self, job_id=JOB_ID, task=0):
        """Return the crashes that count for a task."""
        unit = self.store.job_by_id[job_id].units[UnitKey(job_id, 0, 0, task)]
        return [crash for crash in unit.crashes if not crash.excused]

    def restore(self):
        """Continue with a store that was restored from a snapshot."""
        self.store = restored(self.store)

    def test_crashes_survive_a_snapshot(self):
        """Guards against a count that starts anew with each leader."""
        self.submit(step())
        for name in ("a", "b"):
            self.place(name)
            self.crash(name)
            self.restore()
        self.place("c")
        self.assertEqual((JOB_ID,), self.restart("c"))
        record = self.store.job_by_id[JOB_ID]
        self.assertEqual(JobState.FAILED, record.state())
        self.assertIn("a-1, b-1, c-1", record.failure)
        self.end()
        self.assertEqual([], list(self.store.waiting()))
        self.assertEqual({}, self.store.seats_by_upstream)

    def test_neighbours_of_a_crashing_task_are_not_given_up(self):
        """Guards against jobs that fail because another one crashes upstreams.

        The neighbours run again and again on an upstream that crashes.
        """
        self.submit(step())
        self.submit(step(2), job_id=OTHER_ID)
        for name in "abc":
            for task in (0, 1):
                self.place(name, job_id=OTHER_ID, task=task)
            self.now_ms += 3_000
            self.place(name)
            self.restart(name)
            for task in (0, 1):
                self.end(job_id=OTHER_ID, task=task)
            self.end()
        self.assertEqual(JobState.FAILED, self.store.job_by_id[JOB_ID].state())
        self.assertEqual(JobState.RUNNING, self.store.job_by_id[OTHER_ID].state())

    def test_suspects_that_crash_together_are_given_up_before_the_limit(self):
        """Guards against a sixth start when suspects are never apart."""
        self.submit(step(2))
        starts = 0
        record = self.store.job_by_id[JOB_ID]
        while record.is_active():
            name = f"u{starts}"
            starts += 1
            for task in (0, 1):
                self.place(name, task=task)
            self.restart(name)
            for task in (0, 1):
                self.end(task=task)
        self.assertLessEqual(starts, 5)

    def test_task_that_crashes_late_is_given_up(self):
        """Guards against crashes that are all put down to the newest task."""
        self.submit(step())
        self.submit(step(9), job_id=OTHER_ID)
        starts = 0
        record = self.store.job_by_id[JOB_ID]
        while record.is_active():
            name = f"u{starts}"
            self.place(name)
            self.now_ms += 5_000
            if (
                not self.store.job_by_id[JOB_ID]
                .units[UnitKey(JOB_ID, 0, 0, 0)]
                .starts_apart()
            ):
                self.place(name, job_id=OTHER_ID, task=starts)
            starts += 1
            self.crash(name)
        self.assertLessEqual(starts, 5)
        self.assertTrue(self.store.job_by_id[OTHER_ID].is_active())

    def test_cut_upstream_counts_as_no_crash(self):
        """Guards against jobs that fail because upstreams were cut off."""
        self.submit(step())
        for name in "abcde":
            self.report(name)
            self.place(name)
            self.store.execute(ForgetUpstreams((f"{name}-1",)))
            self.end()
            self.report(name)
            self.now_ms += 12_000
        # A restart much later says nothing about the run that was cut off.
        self.restart("a")
        self.assertEqual([], self.crashes())
        self.assertTrue(self.store.job_by_id[JOB_ID].is_active())

    def test_cut_upstream_that_is_never_forgotten_counts_as_no_crash(self):
        """Guards against a crash long after a cut that counts for a lost run.

        Its reports still came while calls to it were not answered.
        """
        self.submit(step())
        for name in "abc":
            self.report(name)
            self.place(name)
            self.now_ms += 20
            self.end()
            self.store.execute(NoteSilence((), (Answer(f"{name}-1", 1, f"{name}:80"),)))
            self.now_ms += 60_000
            self.restart(name)
        self.assertEqual([], self.crashes())
        self.assertTrue(self.store.job_by_id[JOB_ID].is_active())

    def test_answer_after_a_silence_makes_it_void(self):
        """Guards against a crash that seems to follow the start at once.

        The upstream was silent for a moment soon after the start, and no
        leader has seen it fall silent again before it crashes.
        """
        self.submit(step())
        self.report("a")
        self.place("a")
        self.now_ms += 20
        note_silence(self.store, "a-1", self.now_ms)
        self.store.execute(NoteSilence((), (Answer("a-1", 1, "a:80"),)))
        self.now_ms += 20_000
        self.incarnation_by_name["a"] = 2
        self.report("a")
        (crash,) = self.crashes()
        self.assertEqual(20_020, crash.window_ms)
        self.assertEqual(0.01, crash.least_chance)

    def test_crash_that_shows_after_the_lease_counts(self):
        """Guards against crashes that count only if the restart is fast."""
        self.submit(step())
        self.report("a")
        self.place("a")
        self.store.execute(ForgetUpstreams(("a-1",)))
        self.end()
        self.restore()
        self.restart("a")
        self.assertEqual(["a-1"], [crash.upstream_id for crash in self.crashes()])

    def test_crash_that_shows_after_the_task_is_done_fails_nothing(self):
        """Guards against a job that fails for a task that has completed."""
        self.submit(step(2))
        for name in "abcd":
            self.report(name)
            self.place(name)
            self.store.execute(ForgetUpstreams((f"{name}-1",)))
            self.end()
        self.place("e")
        self.end(TaskEnd.DONE)
        for name in "abcd":
            self.restart(name)
        self.assertTrue(self.store.job_by_id[JOB_ID].is_active())

    def test_lapsed_lease_counts_as_no_crash(self):
        """Guards against jobs that fail because leases lapsed."""
        self.submit(step())
        for name in "abc":
            self.report(name)
            self.place(name)
            self.end(TaskEnd.LAPSED)
            self.restart(name)
        self.assertEqual([], self.crashes())

    def test_announced_leave_counts_as_no_crash(self):
        """Guards against jobs that fail because upstreams were taken away."""
        self.submit(step())
        for name in "abc":
            self.report(name)
            self.place(name)
            self.report(name, leaving=True)
            self.end(TaskEnd.LEFT)
            self.restart(name)
            self.place(f"{name}2")
            self.report(f"{name}2", leaving=True)
            self.restart(f"{name}2")
            self.end()
        self.assertEqual([], self.crashes())

    def test_stopped_run_counts_as_no_crash(self):
        """Guards against a crash that is put down to a task that had ended."""
        self.submit(step())
        self.report("a")
        self.place("a")
        self.end(TaskEnd.STOPPED)
        self.restart("a")
        self.assertEqual([], self.crashes())

    def test_zone_without_power_counts_as_no_crash(self):
        """Guards against jobs that fail because zones lost their power."""
        self.submit(step())
        for zone in ("z1", "z2"):
            names = [f"{zone}{number}" for number in range(4)]
            for name in names:
                self.report(name, zone=zone, rack=name)
            self.place(names[0])
            for name in names:
                self.restart(name, zone=zone, rack=name)
                self.now_ms += 200
            self.end()
        # The upstreams start once more, long after the outages.
        for zone in ("z1", "z2"):
            self.restart(f"{zone}0", zone=zone, rack=f"{zone}0")
        self.assertEqual([], self.crashes())
        self.assertTrue(self.store.job_by_id[JOB_ID].is_active())

    def test_zone_that_is_down_for_long_counts_as_no_crash(self):
        """Guards against an outage that is not seen because of idle upstreams.

        Silent upstreams are removed from the registry before they are back.
        """
        self.submit(step())
        names = [f"z1{number}" for number in range(4)]
        for name in names:
            self.report(name, rack=name)
        self.place(names[0])
        self.store.execute(ForgetUpstreams(tuple(f"{name}-1" for name in names)))
        self.end()
        self.restore()
        for name in names:
            self.restart(name, rack=name)
        self.assertEqual([], self.crashes())

    def test_planned_restart_counts_for_no_later_crash(self):
        """Guards against a run that ends late after a planned restart."""
        self.submit(step())
        self.report("a")
        self.place("a")
        self.report("a", leaving=True)
        self.restart("a")
        self.end()
        self.place("b")
        self.restart("a")
        self.assertEqual([], self.crashes())

    def test_second_restart_counts_for_no_run_on_an_earlier_incarnation(self):
        """Guards against one crash that counts twice under one run.

        The end of the run is not known yet when its upstream, which crashed
        under it, restarts once more.
        """
        self.submit(step())
        self.report("a")
        self.place("a")
        self.now_ms += 20
        for _ in range(3):
            self.restart("a")
            self.now_ms += 500
        self.assertEqual([1], [crash.incarnation for crash in self.crashes()])
        recent = self.store._crash_accounting.recent_crashes()
        self.assertEqual([1, 2, 3], [crash.incarnation for crash in recent])

    def test_crash_after_a_planned_restart_counts_for_no_run_before_it(self):
        """Guards against a sound task that is blamed for a later crash.

        Its upstream left as announced, and the next incarnation crashes before
        the end of the run is known.
        """
        self.submit(step())
        self.report("a")
        self.place("a")
        self.report("a", leaving=True)
        self.restart("a")
        self.now_ms += 500
        self.restart("a")
        self.assertEqual([], self.crashes())

    def test_crash_counts_for_no_run_placed_on_an_earlier_incarnation(self):
        """Guards against a crash under a run that never began.

        Its placement is committed after the report of the next incarnation,
        so it is never started.
        """
        self.submit(step())
        self.report("a")
        self.restart("a")
        self.incarnation_by_name["a"] = 1
        self.place("a")
        self.incarnation_by_name["a"] = 2
        self.now_ms += 500
        self.restart("a")
        self.assertEqual([], self.crashes())

    def test_silent_successor_still_shows_how_a_run_ended(self):
        """Guards against the same blame once the successor was removed."""
        self.submit(step())
        self.report("a")
        self.place("a")
        self.report("a", leaving=True)
        self.restart("a")
        self.store.execute(ForgetUpstreams(("a-2",)))
        self.end()
        self.restore()
        self.now_ms += 500
        self.restart("a")
        self.assertEqual([], self.crashes())

    def test_restarts_under_one_identifier_count_once_each(self):
        """Guards against one crash that counts twice under the identifier."""
        record = self.submit(step())
        key = UnitKey(JOB_ID, 0, 0, 0)
        self.store.execute(NoteUpstreams((report("u1"),), self.now_ms))
        seats = (Seat(0, "u1", 1, "u1:80", "z1"),)
        self.store.execute(PlaceRuns((Placement(key, 1, seats),), self.now_ms))
        for incarnation in (2, 3, 4):
            self.now_ms += 500
            restarted = report("u1", incarnation=incarnation)
            self.store.execute(NoteUpstreams((restarted,), self.now_ms))
        crashes = record.units[key].crashes
        self.assertEqual([1], [crash.incarnation for crash in crashes])

    def test_crashes_that_look_like_outages_end_a_job_in_time(self):
        """Guards against endless starts of a task that seems excused.

        Other tasks crash the rest of the zone at the same time.
        """
        self.submit(step())
        starts = 0
        while self.store.job_by_id[JOB_ID].is_active():
            names = [f"z{starts}{number}" for number in range(4)]
            for name in names:
                self.report(name, zone=f"z{starts}", rack=name)
            self.place(names[0])
            for name in names:
                self.restart(name, zone=f"z{starts}", rack=name)
            self.end()
            starts += 1
        self.assertLessEqual(starts, 5)

    def test_upstream_that_keeps_crashing_is_no_outage(self):
        """Guards against crashes of one upstream that excuse their task.

        It is alone in its zone, has crashed before, and crashes with each
        start of the task.
        """
        self.submit(step())
        for _ in range(4):
            self.restart("a")
        starts = 0
        while self.store.job_by_id[JOB_ID].is_active():
            self.place("a")
            self.restart("a")
            self.end()
            starts += 1
        self.assertLessEqual(starts, 5)

    def test_gang_that_crashes_its_rack_is_given_up(self):
        """Guards against a gang that is excused as an outage of its rack.

        Its crashes count once for each run.
        """
        self.submit(step(3, gang=True))
        for run in range(3):
            names = [f"{run}{member}" for member in range(3)]
            for name in names:
                self.report(name, zone=f"z{run}", rack=f"r{run}")
            self.place(*names)
            self.assertTrue(self.store.job_by_id[JOB_ID].is_active())
            for name in names:
                self.restart(name, zone=f"z{run}", rack=f"r{run}")
            self.end()
        self.assertEqual(JobState.FAILED, self.store.job_by_id[JOB_ID].state())

    def test_wide_gang_whose_members_all_crash_is_given_up(self):
        """Guards against a gang whose earlier crashes are dropped too soon.

        In each run there are more crashes than are kept of a single task.
        """
        width = 20
        for job_id, lost_first in ((JOB_ID, False), (OTHER_ID, True)):
            record = self.submit(step(width, gang=True), job_id=job_id)
            runs = 0
            while record.is_active() and runs < 6:
                names = [f"{job_id}-{runs}-{member}" for member in range(width)]
                for name in names:
                    self.report(name, zone=name, rack=name)
                self.place(*names, job_id=job_id)
                self.now_ms += 15
                if lost_first:
                    self.end(job_id=job_id, first=4 * runs)
                for name in names:
                    self.restart(name, zone=name, rack=name)
                self.end(job_id=job_id)
                self.now_ms += 4_000
                runs += 1
            self.assertEqual(JobState.FAILED, record.state())
            self.assertLessEqual(runs, 5)

    def test_restored_store_blames_the_same_task(self):
        """Guards against replicas that disagree after one was restored.

        Two tasks that crash upstreams share the last one, and the verdict on
        one of them clears the other.
        """
        for job_id in (JOB_ID, OTHER_ID):
            self.submit(step(), job_id=job_id)
            for name in "ab":
                self.place(f"{job_id}{name}", job_id=job_id)
                self.crash(f"{job_id}{name}", job_id=job_id)
        for job_id in (OTHER_ID, JOB_ID):
            self.place("c", job_id=job_id)
        restored = JobStore()
        restored.restore(self.store.snapshot())
        note_silence(restored, "c-1", self.now_ms)
        successor = report("c-2", incarnation=2)._replace(address="c:80")
        failed_ids = restored.execute(NoteUpstreams((successor,), self.now_ms))
        self.assertEqual(1, len(failed_ids))
        self.assertEqual(failed_ids, self.restart("c"))

    def test_job_that_is_cancelled_meanwhile_stays_cancelled(self):
        """Guards against a cancelled job that is shown as failed."""
        record = self.submit(step())
        for name in "ab":
            self.place(name)
            self.crash(name)
        self.place("c")
        self.store.execute(CancelJob(JOB_ID, self.now_ms))
        self.assertEqual((), self.restart("c"))
        self.end()
        self.assertEqual(JobState.CANCELLED, record.state())

    def test_lasting_task_is_not_given_up_for_crashes_hours_apart(self):
        """Guards against a lasting job that fails after enough crashes."""
        self.submit(step(long_running=True))
        for number in range(6):
            self.place(f"u{number}")
            self.now_ms += 3_600_000
            self.crash(f"u{number}")
        self.assertTrue(self.store.job_by_id[JOB_ID].is_active())

    def test_lasting_task_that_crashes_upstreams_is_given_up(self):
        """Guards against a lasting task that is started without end."""
        record = self.submit(step(long_running=True))
        for name in "abc":
            self.place(name)
            self.crash(name)
        self.assertEqual(JobState.FAILED, record.state())

    def test_upstream_that_crashes_by_itself_ends_no_job(self):
        """Guards against a job that fails because of one bad upstream."""
        self.submit(step())
        for _ in range(3):
            self.place("a")
            self.crash("a")
        self.assertTrue(self.store.job_by_id[JOB_ID].is_active())

    def test_run_without_a_crash_clears_its_task(self):
        """Guards against a task that is suspected for good."""
        self.submit(step())
        self.place("a")
        self.crash("a")
        self.place("b")
        self.now_ms += 11_000
        self.end(TaskEnd.STOPPED)
        self.assertEqual([], self.crashes())

    def test_crash_after_the_end_of_a_gang_counts_for_nothing(self):
        """Guards against a job that fails for a gang that has completed.

        One member has ended as done, which stands for all.  The ends of the
        others are not known yet, and the job goes on with its next step.
        """
        gang = step(2, gang=True)
        for name, lost in (("seated", False), ("lost", True)):
            job_id = OTHER_ID if lost else JOB_ID
            record = self.submit(gang, step(depends_on=(0,)), job_id=job_id)
            self.place(f"{name}-a", f"{name}-b", job_id=job_id)
            key = UnitKey(job_id, 0, 0, GANG_TASK)
            unit = record.units[key]
            done = RunEnd(key, 0, unit.run, TaskEnd.DONE)
            self.store.execute(EndRuns((done,), self.now_ms))
            if lost:
                note_silence(self.store, f"{name}-b-1", self.now_ms)
                end = RunEnd(key, 1, unit.run, TaskEnd.LOST)
                self.store.execute(EndRuns((end,), self.now_ms))
            self.restart(f"{name}-b")
            self.assertEqual([], unit.crashes, name)
            self.assertEqual([], unit.lost_seats, name)
            self.assertTrue(record.is_active())

    def test_lost_seat_of_an_ended_job_counts_alike_after_a_restore(self):
        """Guards against replicas that disagree after a snapshot.

        The upstream of the lost seat has left and is forgotten before another
        one reports at its address.
        """
        self.submit(step())
        self.place("a")
        self.end()
        self.store.execute(CancelJob(JOB_ID, self.now_ms))
        self.store.report_by_upstream.clear()
        self.store.silent_report_by_address.clear()
        copy = restored(self.store)
        successor = report("b-1", incarnation=2)._replace(address="a:80")
        for store in (self.store, copy):
            store.execute(NoteUpstreams((successor,), self.now_ms))
        self.assertEqual(
            copy._crash_accounting.recent_crashes(),
            self.store._crash_accounting.recent_crashes(),
        )

    def gang_under_suspicion(self):
        """Return a gang whose first run ended with a crash at its start."""
        record = self.submit(step(2, gang=True))
        self.place("a", "b")
        self.restart("a")
        (unit,) = record.units.values()
        self.end()
        self.now_ms += 4_000
        self.assertTrue(unit.starts_apart())
        return unit

    def end_member(self, task, end, after_ms):
        """End one member of the gang some time after the last event."""
        self.now_ms += after_ms
        ((key, unit),) = self.store.job_by_id[JOB_ID].units.items()
        run_end = RunEnd(key, task, unit.run, end)
        self.store.execute(EndRuns((run_end,), self.now_ms))

    def test_gang_that_never_assembled_is_not_cleared(self):
        """Guards against a suspect that is cleared by a run without all tasks.

        One member never started, waited alone or was lost.
        """
        unit = self.gang_under_suspicion()
        for number, end in enumerate(
            (TaskEnd.REJECTED, TaskEnd.ALONE, TaskEnd.LOST, TaskEnd.LEFT)
        ):
            self.place(f"c{number}", f"d{number}")
            self.end_member(0, end, 11_000)
            self.end_member(1, TaskEnd.STOPPED, 1)
            self.assertTrue(unit.starts_apart(), end)

    def test_gang_whose_members_met_for_a_moment_is_not_cleared(self):
        """Guards against a suspect that is cleared while one member waits.

        The gang is at work only until the first member ends.
        """
        unit = self.gang_under_suspicion()
        self.place("c", "d")
        self.end_member(0, TaskEnd.STOPPED, 100)
        self.end_member(1, TaskEnd.STOPPED, 11_000)
        self.assertTrue(unit.starts_apart())

    def test_gang_that_has_run_without_a_crash_is_cleared(self):
        """Guards against a gang that is suspected for good."""
        unit = self.gang_under_suspicion()
        self.place("c", "d")
        self.end_member(0, TaskEnd.STOPPED, 11_000)
        self.end_member(1, TaskEnd.STOPPED, 1)
        self.assertFalse(unit.crashes)

    def test_delayed_report_replaces_no_successor(self):
        """Guards against a report that arrives after its sender crashed."""
        self.submit(step())
        self.report("a")
        self.restart("a")
        self.place("a")
        self.incarnation_by_name["a"] = 1
        self.report("a")
        self.assertEqual([], self.crashes())
        self.assertIn("a-2", self.store.report_by_upstream)
        self.assertNotIn("a-1", self.store.report_by_upstream)
