"""Tests of callers' answers while the control leader is lost.

All processes are real.  Upstreams write each honoured start to a file.
"""

import asyncio
import base64
import collections
import json
import signal
import tempfile
import time
import unittest
from pathlib import Path

import httpx

from persimmonyard.daemon.timing import ENTRY_LEASE_S, TASK_LEASE_S
from persimmonyard.daemon.tokens import hash_token
from persimmonyard.standin.deployment import Deployment

TOKEN = "clinic-token"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
REQUESTS = 48
CALLERS = 8
# The fault comes while most requests are still to be submitted.
ENDED_BEFORE_FAULT = 12
DEADLINE_S = 60.0


class Load:
    """Callers that resend with the same key until they have an outcome."""

    def __init__(self, name, urls):
        self.name = name
        self.urls = urls
        self.view_by_key = {}
        self.failures = []

    async def run(self):
        """Submit all requests and wait for their outcomes."""
        numbers = iter(range(REQUESTS))
        async with httpx.AsyncClient(
            trust_env=False, timeout=DEADLINE_S, headers=HEADERS
        ) as client:
            callers = [self._caller(client, numbers) for _ in range(CALLERS)]
            await asyncio.gather(*callers)

    async def _caller(self, client, numbers):
        for number in numbers:
            key = f"{self.name}-{number}"
            self.view_by_key[key] = await self._outcome(client, number)

    async def _outcome(self, client, number):
        deadline = time.monotonic() + DEADLINE_S
        turn = number
        while time.monotonic() < deadline:
            view = await self.submit(client, number, self.urls[turn % len(self.urls)])
            if view is not None and view["ended"]:
                return view
            turn += 1
            await asyncio.sleep(0.1)
        raise TimeoutError(f"request {number} has no outcome: {self.failures}")

    async def submit(self, client, number, url):
        """Submit a request; return its view, or none after an error."""
        payload = json.dumps({"run_s": 0.3}).encode()
        body = {
            "class": "fit",
            "key": f"{self.name}-{number}",
            "declared_run_s": 1.0,
            "idempotent": number % 2 == 0,
            "payload": base64.b64encode(payload).decode(),
            "wait_s": 30.0,
        }
        try:
            reply = await client.post(f"{url}/v1/requests", json=body)
        except httpx.HTTPError as error:
            self.failures.append(repr(error))
            return None
        if reply.status_code != 200:
            self.failures.append(reply.text)
            return None
        return reply.json()


class FailoverTests(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.starts_file = cls.folder / "starts"
        cls.deployment = Deployment(cls.folder, controls=3, entries=2)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        for name in ("up-1", "up-2"):
            cls.deployment.start_upstream(
                name, "karen-bench", "rack-1", "--starts-file", str(cls.starts_file)
            )
        account = {"name": "clinic", "token_hashes": [hash_token(TOKEN)]}
        changes = [{"work_class": {"name": "fit"}}, {"client_account": account}]
        reply = httpx.post(
            f"{cls.deployment.entry_url(1)}/v1/operator/configuration",
            json={"changes": changes, "wait_s": 20.0},
            headers={"Authorization": f"Bearer {cls.deployment.operator_token}"},
            timeout=DEADLINE_S,
        )
        assert reply.json()["in_force"], reply.text

    async def find_leader(self, other_than=""):
        """Return the control process that leads, once there is one."""
        async with asyncio.timeout(DEADLINE_S):
            while True:
                name = await asyncio.to_thread(self.deployment.leader)
                if name and name != other_than:
                    return name
                await asyncio.sleep(0.1)

    async def begin_load(self, name):
        """Return a load, and its task, of which some requests have ended."""
        load = Load(name, self.deployment.entry_urls())
        task = asyncio.create_task(load.run())
        async with asyncio.timeout(DEADLINE_S):
            while len(load.view_by_key) < ENDED_BEFORE_FAULT:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertLess(len(load.view_by_key), REQUESTS - CALLERS)
        return load, task

    def starts_by_request(self):
        """Return the number of honoured starts of each request."""
        count = collections.Counter()
        for line in self.starts_file.read_text().splitlines():
            count[json.loads(line)["attempt"].rpartition(".")[0]] += 1
        return count

    async def check(self, load):
        """Check that outcomes are truthful and final, and none ran twice."""
        self.assertEqual(len(load.view_by_key), REQUESTS)
        starts = self.starts_by_request()
        ids = [view["request"] for view in load.view_by_key.values()]
        self.assertEqual(len(set(ids)), REQUESTS)
        for number in range(REQUESTS):
            view = load.view_by_key[f"{load.name}-{number}"]
            started = starts[view["request"]]
            if number % 2:
                self.assertLessEqual(started, 1, view)
            if view["state"] == "finished":
                self.assertGreaterEqual(started, 1, view)
            else:
                self.assertIn(view["code"], (503, 505, 506), view)
                self.assertEqual(view["not_run"], started == 0, view)
        await self.check_nothing_is_lost(load)

    async def check_nothing_is_lost(self, load):
        """Check that a key leads to the same request through another entry."""
        async with httpx.AsyncClient(
            trust_env=False, timeout=DEADLINE_S, headers=HEADERS
        ) as client:
            for number in range(REQUESTS):
                url = load.urls[(number + 1) % len(load.urls)]
                view = await load.submit(client, number, url)
                self.assertEqual(view, load.view_by_key[f"{load.name}-{number}"])

    async def test_killed_leader(self):
        """Requests in flight at SIGKILL are answered by the next leader."""
        leader = await self.find_leader()
        load, task = await self.begin_load("killed")
        self.deployment.kill_process(leader)
        await asyncio.wait_for(task, 2 * DEADLINE_S)
        self.deployment.start_process(leader)
        await self.check(load)

    async def test_frozen_leader(self):
        """A leader that wakes up after all leases decides nothing."""
        leader = await self.find_leader()
        load, task = await self.begin_load("frozen")
        self.deployment.signal(leader, signal.SIGSTOP)
        try:
            await asyncio.sleep(1.5 * max(ENTRY_LEASE_S, TASK_LEASE_S))
        finally:
            self.deployment.signal(leader, signal.SIGCONT)
        await asyncio.wait_for(task, 2 * DEADLINE_S)
        await self.check(load)

    async def test_planned_stop_of_the_leader(self):
        """SIGTERM hands over, and no caller sees an error."""
        leader = await self.find_leader()
        load, task = await self.begin_load("planned")
        status = await asyncio.to_thread(self.deployment.stop_process, leader)
        self.assertEqual(status, 0)
        await asyncio.wait_for(task, 2 * DEADLINE_S)
        self.deployment.start_process(leader)
        self.assertEqual(load.failures, [])
        states = {view["state"] for view in load.view_by_key.values()}
        self.assertEqual(states, {"finished"})
        await self.check(load)
