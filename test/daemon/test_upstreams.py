"""Tests of persimmonyard.daemon.control.upstreams."""

import unittest
from dataclasses import replace
from unittest import mock

from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.timing import CLOCK_DRIFT_FACTOR, UPSTREAM_LEASE_S
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import RegisterUpstream
from persimmonyard.state.records import UpstreamStatus
from persimmonyard.wire import UpstreamHeartbeat
from test.daemon.control_fakes import UPSTREAM_SPEC, FakeControl

LEASE_WITH_MARGIN_S = UPSTREAM_LEASE_S * CLOCK_DRIFT_FACTOR


class UpstreamControllerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.control = FakeControl()
        self.control.set_up()
        self.upstreams = UpstreamController(self.control.replicated_state)
        self.control.become_leader(self.upstreams)

    def record_heartbeat(self, age_s=0.0, incarnation="a"):
        """Record one heartbeat of the upstream."""
        self.upstreams.record_heartbeats(
            (UpstreamHeartbeat("up-1", incarnation, age_s),)
        )

    async def run_liveness_check(self):
        """Run one liveness check and return the upstream's status."""
        await self.upstreams._restore_recovered()
        for record in self.upstreams._take_expired():
            await self.upstreams._commit_lost(record)
        return self.control.replicated_state.machine.upstream_by_id["up-1"].status

    async def test_silent_upstream_is_lost_after_its_lease(self):
        """A dead upstream must be marked as lost when its lease expires.

        Its tasks are given up then, and not earlier.
        """
        self.control.now += LEASE_WITH_MARGIN_S - 0.1
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.UP)
        self.control.now += 0.2
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.LOST)

    async def test_dump_shows_the_reported_usage_with_its_age(self):
        """Guards against usage that is reported and shown nowhere."""
        self.upstreams.record_heartbeats((UpstreamHeartbeat("up-1", "a", 1.0, 3, 5.0),))
        self.control.now += 2.0
        usage_by_id = self.upstreams.dump()["usage_by_id"]
        self.assertEqual({"up-1": {"busy_slots": 3, "age_s": 8.0}}, usage_by_id)

    async def test_slow_upstream_is_not_lost(self):
        """A late heartbeat within the lease must extend it."""
        self.control.now += LEASE_WITH_MARGIN_S - 0.5
        self.record_heartbeat(age_s=1.0)
        self.control.now += LEASE_WITH_MARGIN_S - 1.2
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.UP)

    async def test_old_heartbeat_does_not_extend_the_lease(self):
        """A heartbeat that is delivered late counts from when it was sent.

        Otherwise delayed heartbeats would keep a dead upstream alive.
        """
        self.control.now += LEASE_WITH_MARGIN_S + 0.1
        self.record_heartbeat(age_s=LEASE_WITH_MARGIN_S)
        self.control.now += LEASE_WITH_MARGIN_S
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.LOST)

    async def test_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        """Delayed heartbeats of a crashed incarnation must not count."""
        self.control.now += LEASE_WITH_MARGIN_S + 0.1
        self.record_heartbeat(incarnation="earlier")
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.LOST)

    def restart(self):
        """Commit the registration of the upstream's next incarnation."""
        spec = replace(UPSTREAM_SPEC, incarnation="b")
        self.control.apply_command(RegisterUpstream(spec))

    async def test_silence_before_a_restart_counts_for_no_new_incarnation(self):
        """A restarted upstream must get a whole lease from its registration.

        The earlier incarnation has been silent for nearly its whole lease.
        """
        self.control.now += LEASE_WITH_MARGIN_S - 0.1
        self.restart()
        self.control.now += LEASE_WITH_MARGIN_S - 0.1
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.UP)
        self.control.now += 0.2
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.LOST)

    async def test_usage_of_an_earlier_incarnation_is_not_shown(self):
        """Operators must not see tasks that ended with a crash as running."""
        self.upstreams.record_heartbeats((UpstreamHeartbeat("up-1", "a", 1.0, 3, 5.0),))
        self.restart()
        self.assertEqual({}, self.upstreams.dump()["usage_by_id"])

    async def fail_to_commit_the_loss(self, meanwhile):
        """Let a lease expire; the commit of the loss fails after a change."""

        async def propose(entry):
            meanwhile()
            raise PersimmonyardError(ResultCode.TIMEOUT, "no quorum in time")

        self.control.now += LEASE_WITH_MARGIN_S + 0.1
        with mock.patch.object(self.control.replica, "propose", propose):
            await self.run_liveness_check()

    async def test_failed_commit_of_a_loss_counts_for_no_new_incarnation(self):
        """A restarted upstream must not be lost for its predecessor's silence.

        It registers while the loss of its earlier incarnation is committed.
        """
        await self.fail_to_commit_the_loss(self.restart)
        self.control.now += 0.1
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.UP)
        self.assertEqual(1, len(self.upstreams._deadlines))

    async def test_heartbeat_during_a_failed_commit_of_a_loss_counts(self):
        """An upstream that is heard again must not be lost all the same."""
        await self.fail_to_commit_the_loss(self.record_heartbeat)
        self.control.now += 0.1
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.UP)
        self.assertEqual(1, len(self.upstreams._deadlines))

    async def test_loss_is_committed_again_after_a_failure(self):
        """A dead upstream must be lost although a commit has failed."""
        await self.fail_to_commit_the_loss(lambda: None)
        self.control.now += 0.1
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.LOST)

    async def test_lost_upstream_recovers_with_the_next_heartbeat(self):
        """An upstream must recover by itself after a network partition."""
        self.control.now += LEASE_WITH_MARGIN_S + 0.1
        await self.run_liveness_check()
        self.record_heartbeat()
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.UP)

    async def test_new_leader_grants_one_full_lease(self):
        """A new leader must not mark all upstreams as lost.

        It has not received any heartbeats yet.
        """
        self.control.now += LEASE_WITH_MARGIN_S + 0.1
        self.control.re_elect()
        self.assertEqual(await self.run_liveness_check(), UpstreamStatus.UP)

    async def test_each_upstream_has_one_deadline(self):
        """Heartbeats must not make the heap of deadlines grow."""
        for _ in range(50):
            self.control.now += 1.0
            self.record_heartbeat()
            await self.run_liveness_check()
        self.assertEqual(len(self.upstreams._deadlines), 1)
