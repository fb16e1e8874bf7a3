"""Tests of the stand-in upstream that the soak uses."""

import argparse
import asyncio
import contextlib
import io
import json
import sys
import tempfile
import unittest
import unittest.mock
from pathlib import Path

from soak.deployment import UPSTREAM_STANDIN

sys.path.append(str(UPSTREAM_STANDIN.parent))

import upstream as standin

TASK = "00000000000000a1.0.0.0"


class UpstreamTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.output = io.StringIO()
        redirection = contextlib.redirect_stdout(self.output)
        redirection.__enter__()
        self.addCleanup(redirection.__exit__, None, None, None)

    def upstream(self, born=1, seed=1):
        arguments = argparse.Namespace(
            name="u1", seed=seed, pace=1.0, calls=self.folder / "calls"
        )
        upstream = standin.Upstream(arguments)
        upstream.state.born = born
        return upstream

    def events(self, name):
        events = [json.loads(line) for line in self.output.getvalue().splitlines()]
        return [event for event in events if event["event"] == name]

    @staticmethod
    def start_body(run=1, **fields):
        body = {"task": TASK, "run_id": run, "spec": json.dumps({"work_s": 5.0})}
        return {**body, "expires_ms": 60_000, "fencing_token": 1, **fields}

    @staticmethod
    def poll_body(acknowledged=0):
        return {"fencing_token": 1, "ack_cursor": acknowledged}

    async def listing(self, upstream, acknowledged=0):
        response = await upstream.execute("/api/hold", self.poll_body(acknowledged))
        return json.loads(response.body)

    def test_acknowledged_number_ahead_of_the_ends(self):
        """Guards against a stand-in that is kinder than the pages.

        A number that a poll acknowledged before the end happened deletes the
        end, which is logged as acknowledged.
        """

        async def play():
            upstream = self.upstream()
            await upstream.execute("/api/run-start", self.start_body())
            await self.listing(upstream, acknowledged=1)
            upstream.end_run(TASK, upstream.state.run_by_task[TASK], "done")
            first = await self.listing(upstream)
            await upstream.execute("/api/run-start", self.start_body(run=2))
            upstream.end_run(TASK, upstream.state.run_by_task[TASK], "done")
            return first, await self.listing(upstream)

        first, second = asyncio.run(play())
        self.assertEqual([], first["ended"])
        self.assertEqual([2, TASK, 2, "done", ""], second["ended"][0])
        self.assertEqual([1], [event["run"] for event in self.events("acknowledged")])

    def test_order_after_the_lease_expired(self):
        """Guards against a renewal that revives runs of an expired lease.

        A process that was paused may execute the renewal before it detects
        that the lease has expired.
        """

        async def play():
            upstream = self.upstream()
            await upstream.execute("/api/run-start", self.start_body())
            upstream.started_at -= 11.0
            return await self.listing(upstream)

        self.assertEqual("lapsed", asyncio.run(play())["ended"][0][3])
        self.assertEqual(1, len(self.events("lease expired")))

    def test_unanswered_calls_reach_the_next_incarnation(self):
        """Guards against losing the calls that were in flight at a kill.

        The next incarnation executes a share of them, at most
        ``MAX_LATE_START_S`` after a start arrived.
        """

        async def play():
            upstream = self.upstream()
            for run in range(1, 21):
                body = self.start_body(task=f"{TASK}{run}", run_id=run)
                upstream.record.add("/api/run-start", body)
            successor = self.upstream(born=2)
            successor.execute_late_calls()
            await asyncio.gather(*successor.late_tasks)
            return successor.record.read()

        with unittest.mock.patch.object(standin, "MAX_LATE_START_S", 0.2):
            self.assertEqual([], asyncio.run(play()))
        starts = self.events("start")
        self.assertIn(len(starts), range(5, 20))
        self.assertEqual({2}, {event["born"] for event in starts})

    def test_old_calls_are_dropped(self):
        """Guards against starts that are later than the checks allow for."""

        async def play():
            upstream = self.upstream()
            file = upstream.record.add("/api/run-start", self.start_body())
            call = json.loads(file.read_text())
            call["arrived_at"] -= standin.MAX_LATE_START_S
            file.write_text(json.dumps(call))
            upstream.execute_late_calls()
            return upstream.late_tasks

        self.assertEqual(set(), asyncio.run(play()))
        self.assertEqual([], self.events("start"))


if __name__ == "__main__":
    unittest.main()
