"""Tests of the liveness loop of persimmonyard.daemon.control.upstreams."""

import asyncio
import time
import unittest
from unittest import mock

from persimmonyard.daemon.control import upstreams
from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.model import UpstreamSpec
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import (
    LogRecord,
    RegisterUpstream,
    SetUpstreamStatus,
)
from persimmonyard.state.records import UpstreamStatus
from persimmonyard.wire import UpstreamHeartbeat

SPEC = UpstreamSpec("up-1", "a", "z", "r", "127.0.0.1:1", 8, 64, 1024)


class FakeReplicatedState:
    """A replicated state that always leads and commits at once."""

    def __init__(self):
        self.machine = StateMachine()
        self.clock = time.monotonic

    def is_leader(self):
        return True

    async def commit(self, command, identity=""):
        return self.machine.apply_record(LogRecord(identity, 1.0, command))


class LostUpstreamRecoveryTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.replicated_state = FakeReplicatedState()
        lost = SetUpstreamStatus("up-1", "a", UpstreamStatus.LOST)
        for command in (RegisterUpstream(SPEC), lost):
            await self.replicated_state.commit(command)
        self.controller = UpstreamController(self.replicated_state)
        self.controller.on_leadership_gained()

    async def status_after(self, heartbeat):
        """Return the upstream's status after a heartbeat and some checks."""
        with mock.patch.object(upstreams, "LIVENESS_CHECK_INTERVAL_S", 0.01):
            self.controller.record_heartbeats((heartbeat,))
            run = asyncio.create_task(self.controller.run())
            await asyncio.sleep(0.2)
            run.cancel()
        return self.replicated_state.machine.upstream_by_id["up-1"].status

    async def test_heartbeat_brings_lost_upstream_back_up(self):
        """A lost upstream must become usable again without a restart.

        A recent heartbeat of the same incarnation registers it again.
        """
        heartbeat = UpstreamHeartbeat("up-1", "a", 0.1)
        self.assertEqual(await self.status_after(heartbeat), UpstreamStatus.UP)

    async def test_old_heartbeat_or_other_incarnation_is_ignored(self):
        """A dead upstream must not come back through a delayed heartbeat.

        A heartbeat older than the lease or of another incarnation changes
        nothing.
        """
        old = UpstreamHeartbeat("up-1", "a", 30.0)
        self.assertEqual(await self.status_after(old), UpstreamStatus.LOST)
        other_incarnation = UpstreamHeartbeat("up-1", "b", 0.1)
        self.assertEqual(
            await self.status_after(other_incarnation), UpstreamStatus.LOST
        )
