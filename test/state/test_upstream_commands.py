"""Tests of persimmonyard.state.upstream_commands."""

import unittest

from persimmonyard.model import ResultCode
from persimmonyard.state.commands import (
    ExpireRecords,
    RegisterUpstream,
    SetUpstreamStatus,
)
from persimmonyard.state.machine import StateMachine
from persimmonyard.state.records import (
    AttemptOutcome,
    AttemptState,
    RequestState,
    UpstreamStatus,
)
from test.state.fixtures import MachineFixture, upstream_spec


class UpstreamCommandTests(unittest.TestCase):
    def setUp(self):
        self.fixture = MachineFixture()
        self.upstream_by_id = self.fixture.machine.upstream_by_id

    def set_status(self, status):
        """Change the status of the first upstream."""
        return self.set_status_of("a", status)

    def set_status_of(self, incarnation, status):
        """Change the status of an incarnation of the first upstream."""
        return self.fixture.run(SetUpstreamStatus("up-0", incarnation, status))

    def register(self, incarnation):
        """Register the first upstream under an incarnation."""
        return self.fixture.run(RegisterUpstream(upstream_spec("up-0", incarnation)))

    def test_late_registration_of_an_earlier_incarnation_is_refused(self):
        """A delayed registration must not stop the attempts of a later one.

        The upstream restarted while the registration of its earlier
        incarnation was still in flight.
        """
        self.register("b")
        record = self.fixture.submit()
        attempt = self.fixture.start(record)
        self.assertEqual(self.register("a").code, ResultCode.NOT_FOUND)
        self.assertEqual(attempt.state, AttemptState.STARTED)

    def test_upstream_returns_after_a_late_registration_has_replaced_it(self):
        """An upstream at work must not be refused until it starts again.

        Its earlier incarnation announced itself while there was no leader, at
        another entry, and that registration is committed after its own.
        """
        self.register("later")
        self.register("earlier")
        self.assertEqual(self.register("later").code, ResultCode.NOT_FOUND)
        self.set_status_of("earlier", UpstreamStatus.LOST)
        self.assertEqual(self.register("later").code, 0)
        record = self.upstream_by_id["up-0"]
        self.assertEqual(record.status, UpstreamStatus.UP)
        self.assertEqual(record.spec.incarnation, "later")
        self.assertEqual(record.past_incarnations, ("a", "earlier"))
        self.assertEqual(self.register("earlier").code, ResultCode.NOT_FOUND)

    def test_status_is_kept_over_loss_and_registration(self):
        """A loss must not bring a leaving or quarantined upstream back up."""
        for status in (UpstreamStatus.QUARANTINED, UpstreamStatus.LEAVING):
            self.set_status(status)
            self.register("a")
            self.assertEqual(self.upstream_by_id["up-0"].status, status)
            self.set_status(UpstreamStatus.LOST)
            self.register("a")
            self.assertEqual(self.upstream_by_id["up-0"].status, status)
            self.set_status(UpstreamStatus.LOST)
            self.set_status(UpstreamStatus.UP)
            self.assertEqual(self.upstream_by_id["up-0"].status, status)

    def test_leaving_is_final_for_an_incarnation(self):
        """A late quarantine or probe result must not undo leaving."""
        self.set_status(UpstreamStatus.LEAVING)
        for status in (UpstreamStatus.UP, UpstreamStatus.QUARANTINED):
            result = self.set_status(status)
            self.assertEqual(result.code, ResultCode.ALREADY_ENDED)

    def test_quarantine_does_not_revive_a_lost_upstream(self):
        """A quarantine must not make a lost upstream available for placement.

        The upstream has not been heard from since its loss.
        """
        self.set_status(UpstreamStatus.LOST)
        self.set_status(UpstreamStatus.QUARANTINED)
        record = self.upstream_by_id["up-0"]
        self.assertEqual(record.status, UpstreamStatus.LOST)

    def test_restart_ends_attempts(self):
        """A restart must stop started attempts and requeue placed ones.

        Otherwise they would wait for tasks that no longer exist.
        """
        placed = self.fixture.submit("placed")
        started = self.fixture.submit("started", gang=2)
        self.fixture.place(placed)
        attempt = self.fixture.start(started, ("up-1", "up-0"))
        self.register("b")
        self.assertEqual(placed.state, RequestState.ACCEPTED)
        self.assertEqual(
            (attempt.state, attempt.lost_members), (AttemptState.STOPPING, (1,))
        )

    def crash_until_ended(self, record):
        """Restart the upstream under each attempt; return the starts."""
        starts = 0
        while not record.ended():
            attempt = self.fixture.start(record)
            starts += 1
            self.register(f"crash-{starts}")
            self.fixture.end(record, attempt, AttemptOutcome.LOST)
        return starts

    def test_request_that_crashes_upstreams_is_given_up(self):
        """A request must not crash one upstream after another without end.

        Its caller sees which upstreams restarted under it.
        """
        record = self.fixture.submit(idempotent=True)
        self.assertLessEqual(self.crash_until_ended(record), 5)
        self.assertEqual(record.code, ResultCode.FAILED_ON_MANY_UPSTREAMS)
        self.assertIn("upstreams crashed under it: up-0", record.message)
        restored = StateMachine()
        restored.restore(self.fixture.machine.snapshot())
        attempts = restored.request_by_id[record.request_id].attempts
        self.assertEqual((0,), attempts[-1].crashed_members)

    def test_restart_after_leaving_counts_as_no_crash(self):
        """A planned departure must not count against the requests on it."""
        record = self.fixture.submit(idempotent=True)
        attempt = self.fixture.start(record)
        self.set_status(UpstreamStatus.LEAVING)
        self.set_status(UpstreamStatus.LOST)
        self.register("b")
        self.assertEqual((), attempt.crashed_members)
        self.fixture.end(record, attempt, AttemptOutcome.LOST)
        self.assertFalse(record.ended())

    def test_upstream_that_was_cut_off_counts_as_no_crash(self):
        """A silence that ends must not count against the requests on it."""
        record = self.fixture.submit(idempotent=True)
        attempt = self.fixture.start(record)
        self.set_status(UpstreamStatus.LOST)
        self.register("a")
        self.assertEqual((), attempt.crashed_members)

    def test_lost_upstream_expires_after_its_attempts(self):
        """Lost upstreams must not accumulate as instances are replaced.

        A lost upstream is removed only after its last attempt has ended.
        """
        record = self.fixture.submit()
        attempt = self.fixture.start(record)
        self.set_status(UpstreamStatus.LOST)
        expire = ExpireRecords(before=self.fixture.time + 1)
        self.fixture.run(expire)
        self.assertIn("up-0", self.upstream_by_id)
        self.fixture.end(record, attempt, AttemptOutcome.LOST)
        self.fixture.run(expire)
        self.assertEqual(list(self.upstream_by_id), ["up-1"])
