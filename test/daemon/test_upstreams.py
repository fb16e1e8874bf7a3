"""Tests of persimmonyard.daemon.control.upstreams."""

import unittest

from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.timing import CLOCK_DRIFT_FACTOR, UPSTREAM_LEASE_S
from persimmonyard.state.records import UpstreamStatus
from persimmonyard.wire import UpstreamHeartbeat
from test.daemon.control_fakes import FakeControl

FULL_LEASE_S = UPSTREAM_LEASE_S * CLOCK_DRIFT_FACTOR


class UpstreamControllerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.control = FakeControl()
        self.control.set_up()
        self.upstreams = UpstreamController(self.control.ledger)
        self.control.lead(self.upstreams)

    def hear(self, age_s=0.0, incarnation="a"):
        """Pass on one heartbeat of the upstream."""
        self.upstreams.heard((UpstreamHeartbeat("up-1", incarnation, age_s),))

    async def check(self):
        """Run one liveness check and return the upstream's status."""
        await self.upstreams._restore_returned()
        for known in self.upstreams._late():
            await self.upstreams._lose(known)
        return self.control.ledger.machine.upstream_by_id["up-1"].status

    async def test_silent_upstream_is_lost_after_its_lease(self):
        """Tasks of a dead upstream are given up once its lease has run out."""
        self.control.now += FULL_LEASE_S - 0.1
        self.assertEqual(await self.check(), UpstreamStatus.UP)
        self.control.now += 0.2
        self.assertEqual(await self.check(), UpstreamStatus.LOST)

    async def test_slow_upstream_is_not_lost(self):
        """A late heartbeat within the lease keeps an upstream."""
        self.control.now += FULL_LEASE_S - 0.5
        self.hear(age_s=1.0)
        self.control.now += FULL_LEASE_S - 1.2
        self.assertEqual(await self.check(), UpstreamStatus.UP)

    async def test_old_heartbeat_does_not_extend_the_lease(self):
        """A heartbeat that was delivered late counts from when it was sent."""
        self.control.now += FULL_LEASE_S + 0.1
        self.hear(age_s=FULL_LEASE_S)
        self.control.now += FULL_LEASE_S
        self.assertEqual(await self.check(), UpstreamStatus.LOST)

    async def test_heartbeat_of_an_earlier_start_is_ignored(self):
        """Delayed heartbeats of a crashed start must not keep it alive."""
        self.control.now += FULL_LEASE_S + 0.1
        self.hear(incarnation="earlier")
        self.assertEqual(await self.check(), UpstreamStatus.LOST)

    async def test_lost_upstream_that_is_heard_again_returns(self):
        """After a network partition an upstream comes back by itself."""
        self.control.now += FULL_LEASE_S + 0.1
        await self.check()
        self.hear()
        self.assertEqual(await self.check(), UpstreamStatus.UP)

    async def test_new_leader_grants_one_full_lease(self):
        """A new leader has heard nobody yet and must not lose everyone."""
        self.control.now += FULL_LEASE_S + 0.1
        self.control.re_elect()
        self.assertEqual(await self.check(), UpstreamStatus.UP)

    async def test_each_upstream_has_one_deadline(self):
        """Heartbeats must not make the heap of deadlines grow."""
        for _ in range(50):
            self.control.now += 1.0
            self.hear()
            await self.check()
        self.assertEqual(len(self.upstreams._deadlines), 1)
