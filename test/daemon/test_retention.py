"""Tests of persimmonyard.daemon.control.retention."""

import unittest

from persimmonyard.daemon.control.retention import RetentionController
from persimmonyard.state.commands import CancelRequest
from test.daemon.control_fakes import FakeControl


class RetentionControllerTests(unittest.IsolatedAsyncioTestCase):
    async def test_only_requests_past_their_retention_are_removed(self):
        """Records that callers may still query must not be removed.

        These are the requests that have not ended and those that ended within
        the retention period.
        """
        control = FakeControl()
        control.set_up()
        retention = RetentionController(control.replicated_state)
        control.become_leader(retention)
        for request_id in ("old", "live"):
            control.submit(request_id)
        control.apply_command(CancelRequest("old", "clinic"))
        control.now += 100.0
        control.submit("new")
        control.apply_command(CancelRequest("new", "clinic"))
        await retention._expire(control.now - 50.0)
        self.assertEqual(
            set(control.replicated_state.machine.request_by_id), {"live", "new"}
        )

    async def test_nothing_is_committed_without_expired_requests(self):
        """An idle system must not append an entry to its log every minute."""
        control = FakeControl()
        control.set_up()
        retention = RetentionController(control.replicated_state)
        control.become_leader(retention)
        before = control.replica.proposals
        await retention._expire(control.now)
        self.assertEqual(control.replica.proposals, before)
