"""Tests of a graceful shutdown of an entry, with real processes."""

import asyncio
import base64
import json
import signal
import tempfile
import time
import unittest
from pathlib import Path

import httpx

from persimmonyard.daemon.tokens import hash_token
from persimmonyard.standin.deployment import Deployment

TOKEN = "clinic-token"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
CALLERS = 8
LONG_KEYS = ("long-1", "long-2", "long-3", "long-4")
LONG_S = 20.0
DEADLINE_S = 60.0


class Load:
    """Callers that submit and wait, first through entry 1, then entry 2."""

    def __init__(self, urls):
        self.urls = urls
        self.stopping = False
        self.ended = []
        self.unended = []
        self.cut = []

    async def run(self):
        """Run all callers until they are told to stop."""
        await asyncio.gather(*(self._caller(number) for number in range(CALLERS)))

    async def _caller(self, number):
        count = 0
        while not self.stopping:
            count += 1
            await self._one(f"c{number}-{count}")

    async def long_polls(self):
        """Wait for tasks that outlast the shutdown; return the time.

        There are several, so that the stopping entry has some in hand.
        """
        began = time.monotonic()
        await asyncio.gather(*(self._one(key, LONG_S) for key in LONG_KEYS))
        return time.monotonic() - began

    async def _one(self, key, run_s=0.3, wait_s=30.0):
        payload = base64.b64encode(json.dumps({"run_s": run_s}).encode()).decode()
        body = {
            "class": "fit",
            "key": key,
            "declared_run_s": 1.0,
            "idempotent": False,
            "payload": payload,
            "wait_s": wait_s,
        }
        for url in self.urls:
            try:
                async with httpx.AsyncClient(trust_env=False, timeout=60) as client:
                    reply = await client.post(
                        f"{url}/v1/requests", json=body, headers=HEADERS
                    )
            except httpx.ConnectError:
                continue
            except httpx.HTTPError as error:
                self.cut.append((key, repr(error)))
                continue
            if reply.status_code == 503 and reply.json()["code"] == 602:
                continue
            found = reply.json()
            ended = found.get("ended", False)
            (self.ended if ended else self.unended).append(found)
            return


class ShutdownTests(unittest.IsolatedAsyncioTestCase):
    def start(self):
        """Start a deployment with two entries and two upstreams."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        deployment = Deployment(Path(folder.name), controls=1, entries=2)
        self.addCleanup(deployment.stop)
        deployment.start()
        for name in ("up-1", "up-2"):
            deployment.start_upstream(name, "karen-bench", "rack-1")
        account = {"name": "clinic", "token_hashes": [hash_token(TOKEN)]}
        body = {
            "changes": [{"work_class": {"name": "fit"}}, {"client_account": account}],
            "wait_s": 20.0,
        }
        reply = httpx.post(
            f"{deployment.entry_url(2)}/v1/operator/configuration",
            json=body,
            headers={"Authorization": f"Bearer {deployment.operator_token}"},
            timeout=DEADLINE_S,
        )
        self.assertTrue(reply.json()["in_force"], reply.text)
        return deployment

    async def test_planned_stop_cuts_no_call_and_interrupts_no_task(self):
        """Under load, every call gets an answer and every task runs once."""
        deployment = await asyncio.to_thread(self.start)
        load = Load(deployment.entry_urls())
        long_polls = asyncio.create_task(load.long_polls())
        callers = asyncio.create_task(load.run())
        await asyncio.sleep(2.0)
        process = deployment.process_by_name["entry-1"]
        deployment.signal("entry-1", signal.SIGTERM)
        began = time.monotonic()
        status = await asyncio.to_thread(process.wait, DEADLINE_S)
        took = time.monotonic() - began
        # The entry left while the tasks went on, in the hands of the other.
        states = await self.states_of_long(deployment)
        self.assertEqual(states, ["started"] * len(LONG_KEYS))
        await asyncio.sleep(1.0)
        load.stopping = True
        await asyncio.wait_for(callers, DEADLINE_S)
        self.assertEqual(status, 0)
        self.assertLess(took, 30.0)
        self.assertLess(await long_polls, 10.0)
        self.assertGreater(len(load.unended), 0)
        self.assertEqual(load.cut, [])
        self.assertGreater(len(load.ended), CALLERS)
        self.assertEqual(self.attempts_left(deployment), 0)
        await self.check_all_ran_once(deployment, load)
        self.check_logs(deployment)

    def check_logs(self, deployment):
        """Every line of every process is one JSON object."""
        for name in ("entry-1", "entry-2", "control-1"):
            for line in (deployment.folder / f"{name}.log").read_text().splitlines():
                self.assertIn("event", json.loads(line))

    async def states_of_long(self, deployment):
        """Return the states of the long requests; their keys join them."""
        load = Load([deployment.entry_url(2)])
        for key in LONG_KEYS:
            await load._one(key, LONG_S, wait_s=0.0)
        return [one["state"] for one in load.ended + load.unended]

    def attempts_left(self, deployment):
        """Return how many attempts the entry held when it stopped."""
        for line in (deployment.folder / "entry-1.log").read_text().splitlines():
            if "attempts handed over" in line:
                return json.loads(line)["left"]
        return None

    async def check_all_ran_once(self, deployment, load):
        """Every request ended well in its one attempt."""
        url = deployment.entry_url(2)
        async with httpx.AsyncClient(
            base_url=url, trust_env=False, timeout=60, headers=HEADERS
        ) as client:
            for one in load.ended + load.unended:
                path = f"/v1/requests/{one['request']}"
                found = (await client.get(f"{path}?wait_s=30")).json()
                self.assertEqual(found["state"], "finished", found)
                explained = (await client.get(f"{path}/explain")).json()
                outcomes = [a["outcome"] for a in explained["attempts"]]
                self.assertEqual(outcomes, ["finished"], explained)
