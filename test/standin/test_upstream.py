"""Tests of persimmonyard.standin.upstream."""

import asyncio
import unittest

from persimmonyard.model import ResultCode
from persimmonyard.standin.upstream import StandinSettings, StandinUpstream


class RestartTests(unittest.IsolatedAsyncioTestCase):
    async def test_renewal_that_waits_over_a_restart_is_refused(self):
        """Guards against an answer for the next incarnation to such a call.

        It would say that the tasks are unknown, which an upstream that has
        not restarted says of tasks that it has promised nothing about.
        """
        upstream = StandinUpstream(StandinSettings("up-1", "z1", "r1", "token", []))
        self.addCleanup(upstream._socket.close)
        body = {
            "incarnation": upstream.incarnation,
            "attempt": "r.1",
            "member": 0,
            "fence": 1,
            "permit_s": 60.0,
        }
        upstream.tasks.handle("prepare", body)
        task = {"attempt": "r.1", "member": 0, "fence": 1, "known_state": "prepared"}
        renewal = {
            "incarnation": upstream.incarnation,
            "lease_s": 60.0,
            "wait_s": 60.0,
            "tasks": [task],
        }
        waiting = asyncio.create_task(upstream._handle_call("renew", renewal))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        upstream._set_behaviour({"forget": True})
        async with asyncio.timeout(10.0):
            reply = await waiting
        self.assertEqual(ResultCode.UNKNOWN_ATTEMPT, reply.get("code"))


if __name__ == "__main__":
    unittest.main()
