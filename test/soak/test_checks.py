"""Tests of soak.checks: each kind of violation is reported."""

import json
import unittest

from soak.checks import find_violations
from soak.records import JobObservations, Observations

JOB = "00000000000000a1"


def step(count=1, **fields):
    """Return a step as the soak's workload generates it."""
    defaults = {"accelerators": 1, "after": [], "gang": False, "saves": False}
    return {"count": count, **defaults, "per_upstream": 0, **fields}


class History:
    """A history of one job: observations and events 0.5 s apart."""

    def __init__(self, *steps):
        self.observations = Observations()
        self.job = JobObservations(JOB, "normal", list(steps), 0.5, all_refused=False)
        self.observations.job_by_id[JOB] = self.job
        self.lines = []
        self.now = 1.0
        self.add_event("u1", "born", zone="z1")
        self.add_event("u2", "born", zone="z2")

    def add_event(self, upstream, event, **fields):
        self.now += 0.5
        line = {"at": self.now, "event": event, "born": 1, "upstream": upstream}
        self.lines.append(json.dumps(line | fields))

    def start(self, upstream, task="0.0", run=1):
        self.add_event(upstream, "start", task=f"{JOB}.0.{task}", run=run)

    def end(self, upstream, how="done", task="0.0", run=1, **fields):
        name = f"{JOB}.0.{task}"
        self.add_event(upstream, "end", task=name, run=run, how=how, **fields)
        self.add_event(upstream, "acknowledged", task=name, run=run, how=how)

    def violations(self):
        return find_violations(self.lines, self.observations)


class FindViolationsTests(unittest.TestCase):
    def assert_violation(self, history, text):
        violations = history.violations()
        self.assertEqual(1, len(violations), violations)
        self.assertIn(text, violations[0])

    def test_valid_history_has_no_violations(self):
        """Guards against checks that report violations in a valid history."""
        history = History(step(), step(after=[0]))
        history.start("u1")
        history.end("u1", "failed")
        history.start("u2", run=2)
        history.end("u2", run=2)
        history.start("u2", "1.0")
        history.end("u2", task="1.0")
        history.job.observed_states.append((history.now + 1, "completed"))
        self.assertEqual([], history.violations())

    def test_concurrent_runs_of_a_task(self):
        """Guards against missing a task that runs on two upstreams at once."""
        history = History(step())
        history.start("u1")
        history.start("u2", run=2)
        self.assert_violation(history, "already")

    def test_new_run_after_a_kill_of_the_upstream(self):
        """Guards against false reports of a second run after a kill.

        The kill ends the runs of the upstream.
        """
        history = History(step())
        history.start("u1")
        history.observations.kills.append((history.now + 0.1, "u1"))
        history.start("u2", run=2)
        self.assertEqual([], history.violations())

    def test_lapsed_run_ends_with_its_lease(self):
        """Guards against false reports of a second run after a pause.

        A paused upstream logs the end of a run late, but the run ended with
        its lease.
        """
        history = History(step())
        history.start("u1")
        lease_end = history.now + 0.1
        history.start("u2", run=2)
        history.end("u1", "lapsed", over_at=lease_end)
        self.assertEqual([], history.violations())

    def test_start_after_an_acknowledged_completion(self):
        """Guards against missing a new run of a completed task."""
        history = History(step())
        history.start("u1")
        history.end("u1")
        history.start("u2", run=2)
        self.assert_violation(history, "this end was acknowledged")

    def test_start_between_a_completion_and_its_acknowledgement(self):
        """Guards against missing a new run if the acknowledgement is late."""
        history = History(step())
        history.start("u1")
        history.add_event("u1", "end", task=f"{JOB}.0.0.0", run=1, how="done")
        history.start("u2", run=2)
        self.assertEqual([], history.violations())
        history.add_event("u1", "acknowledged", task=f"{JOB}.0.0.0", run=1, how="done")
        self.assert_violation(history, "this end was acknowledged")

    def test_lease_expired_between_a_completion_and_its_acknowledgement(self):
        """Guards against false reports of a new run after a lost run.

        An end does not count if the lease expired before it was acknowledged,
        even if the upstream was paused then and logged this later.
        """
        history = History(step())
        history.start("u1")
        history.add_event("u1", "end", task=f"{JOB}.0.0.0", run=1, how="done")
        lease_end = history.now + 0.1
        history.start("u2", run=2)
        history.add_event("u1", "lease expired", over_at=lease_end)
        history.add_event("u1", "acknowledged", task=f"{JOB}.0.0.0", run=1, how="done")
        self.assertEqual([], history.violations())
        history.end("u2", "failed", run=2)
        history.start("u2", run=3)
        self.assertEqual([], history.violations())
        history.end("u2", run=3)
        history.start("u2", run=4)
        self.assert_violation(history, "this end was acknowledged")

    def test_lease_expired_at_another_time(self):
        """Guards against excusing a new run for an unrelated lease.

        The lease of another upstream or incarnation expires, or the lease
        expires before the end or after its acknowledgement.
        """
        for expired_at, upstream, born in (
            (0.1, "u2", 1),
            (0.1, "u1", 2),
            (-0.1, "u1", 1),
            (0.6, "u1", 1),
        ):
            with self.subTest(expired_at=expired_at, upstream=upstream, born=born):
                history = History(step())
                history.start("u1")
                history.end("u1")
                ended_at = history.now - 0.5
                history.start("u2", run=2)
                fields = {"over_at": ended_at + expired_at, "born": born}
                history.add_event(upstream, "lease expired", **fields)
                self.assert_violation(history, "this end was acknowledged")

    def test_failure_acknowledged_after_the_next_start(self):
        """Guards against missing a start after three failures.

        The third failure is acknowledged after the start.
        """
        history = History(step())
        for run in (1, 2):
            history.start("u1", run=run)
            history.end("u1", "failed", run=run)
        history.start("u1", run=3)
        history.add_event("u1", "end", task=f"{JOB}.0.0.0", run=3, how="failed")
        history.start("u2", run=4)
        self.assertEqual([], history.violations())
        name = f"{JOB}.0.0.0"
        history.add_event("u1", "acknowledged", task=name, run=3, how="failed")
        self.assert_violation(history, "failed too often")

    def test_start_before_an_earlier_step_is_done(self):
        """Guards against missing steps that run out of order."""
        history = History(step(2), step(after=[0]))
        history.start("u1")
        history.end("u1")
        history.start("u1", "1.0")
        self.assert_violation(history, "step 0 is not done")

    def test_one_completion_is_enough_for_a_gang(self):
        """Guards against false reports when one member of a gang is done."""
        history = History(step(2, gang=True), step(after=[0]))
        history.start("u1")
        history.end("u1")
        history.start("u1", "1.0")
        self.assertEqual([], history.violations())

    def test_too_many_failures(self):
        """Guards against missing a start after the last permitted attempt."""
        history = History(step())
        for run in (1, 2, 3):
            history.start("u1", run=run)
            history.end("u1", "failed", run=run)
        history.start("u1", run=4)
        self.assert_violation(history, "failed too often")

    def test_unknown_and_refused_jobs(self):
        """Guards against missing starts of jobs that were not accepted."""
        history = History(step())
        history.job.all_refused, history.job.accepted_at = True, 0.0
        history.start("u1")
        self.assert_violation(history, "refused")
        history.observations.job_by_id.clear()
        self.assert_violation(history, "no caller submitted it")

    def test_start_after_a_cancel(self):
        """Guards against missing a start after the time limit of a cancel."""
        history = History(step())
        history.job.cancel_sent_at = history.job.cancel_acknowledged_at = history.now
        history.now += 8.0
        history.start("u1")
        self.assert_violation(history, "cancelled")

    def test_capacity_and_limit_per_upstream(self):
        """Guards against missing starts on an upstream that is full.

        Its accelerators are in use, or it has as many tasks of the step as
        the step permits on one upstream.
        """
        history = History(step(3, accelerators=4))
        for task in ("0.0", "0.1", "0.2"):
            history.start("u1", task)
        self.assert_violation(history, "12 accelerators")
        history = History(step(2, per_upstream=1))
        history.start("u1", "0.0")
        history.start("u1", "0.1")
        self.assert_violation(history, "share the upstream")

    def test_start_on_a_leaving_upstream_or_zone(self):
        """Guards against missing starts in places that are out of service.

        The upstream is leaving, or its zone is out of service.
        """
        history = History(step())
        history.add_event("u1", "reported", state="draining")
        history.now += 7.0
        history.start("u1")
        self.assert_violation(history, "leaving")
        history = History(step())
        history.observations.zones_out.append((history.now, history.now + 60.0, "z1"))
        history.now += 10.0
        history.start("u1")
        self.assert_violation(history, "zone")

    def test_wrong_states_of_jobs(self):
        """Guards against missing wrong answers about a job's state."""
        for state, text in (
            ("completed", "completed without"),
            ("cancelled", "cancelled without a cancel request"),
            ("failed", "without cause"),
        ):
            history = History(step())
            history.job.observed_states.append((9.0, state))
            self.assert_violation(history, text)

    def test_lost_job(self):
        """Guards against missing an accepted job that is unknown later."""
        history = History(step())
        history.job.not_found_at.append(9.0)
        self.assert_violation(history, "lost")

    def test_stale_configuration_read(self):
        """Guards against missing a read of an outdated configuration."""
        history = History(step())
        history.observations.acknowledged_versions += [(1.0, 1), (2.0, 4)]
        history.observations.version_reads += [(3.0, 1), (5.0, 4)]
        self.assertEqual([], history.violations())
        history.observations.version_reads.append((5.0, 1))
        self.assert_violation(history, "version 1")

    def test_job_that_does_not_end(self):
        """Guards against missing an accepted job that never ends."""
        history = History(step())
        history.observations.unfinished.append(JOB)
        self.assert_violation(history, "has not ended")


if __name__ == "__main__":
    unittest.main()
