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
LONG_REQUEST_KEYS = ("long-1", "long-2", "long-3", "long-4")
LONG_TASK_S = 20.0
STARTED = ["started"] * len(LONG_REQUEST_KEYS)
# Within this time after SIGTERM, calls that wait for a long task return.
LONG_CALLS_S = 8.0
DEADLINE_S = 60.0


class Load:
    """Concurrent callers that submit requests and wait for their outcome.

    A caller uses entry 1, and entry 2 if entry 1 refuses the call or the
    connection.  ``failed_calls`` holds the calls that failed otherwise.
    """

    def __init__(self, urls):
        self.urls = urls
        self.stopping = False
        self.ended_views = []
        self.unended_views = []
        self.failed_calls = []

    async def run_callers(self):
        """Run all callers until ``stopping`` is set."""
        await asyncio.gather(*(self._run_caller(number) for number in range(CALLERS)))

    async def _run_caller(self, number):
        count = 0
        while not self.stopping:
            count += 1
            await self.submit_and_wait(f"c{number}-{count}")

    async def run_long_requests(self):
        """Submit requests whose tasks outlast the shutdown of the entry.

        Returns the time at which all calls have returned, on the monotonic
        clock.  There are several requests, so that the stopping entry
        dispatches some of them.
        """
        await asyncio.gather(
            *(self.submit_and_wait(key, LONG_TASK_S) for key in LONG_REQUEST_KEYS)
        )
        return time.monotonic()

    async def submit_and_wait(self, key, run_s=0.3, wait_s=30.0):
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
                self.failed_calls.append((key, repr(error)))
                continue
            if reply.status_code == 503 and reply.json()["code"] == 602:
                continue
            view = reply.json()
            ended = view.get("ended", False)
            (self.ended_views if ended else self.unended_views).append(view)
            return


class ShutdownTests(unittest.IsolatedAsyncioTestCase):
    def start_deployment(self):
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

    async def test_graceful_stop_cuts_off_no_call_and_interrupts_no_task(self):
        """Guards against a graceful shutdown that callers notice.

        An entry receives SIGTERM under load.  It must answer all calls, and
        those that wait for a long task before that task ends.  It must hand
        over all attempts within 30 s, while their tasks keep running.  Each
        request then finishes in one attempt.
        """
        deployment = await asyncio.to_thread(self.start_deployment)
        load = Load(deployment.entry_urls())
        long_requests = asyncio.create_task(load.run_long_requests())
        callers = asyncio.create_task(load.run_callers())
        await self.wait_for_long_tasks(deployment)
        process = deployment.process_by_name["entry-1"]
        deployment.signal("entry-1", signal.SIGTERM)
        started_at = time.monotonic()
        status = await asyncio.to_thread(process.wait, DEADLINE_S)
        duration_s = time.monotonic() - started_at
        # The entry has exited; the other one now dispatches the long tasks.
        states = await self.find_states_of_long_requests(deployment)
        self.assertEqual(states, STARTED)
        await asyncio.sleep(1.0)
        load.stopping = True
        await asyncio.wait_for(callers, DEADLINE_S)
        self.assertEqual(status, 0)
        self.assertLess(duration_s, 30.0)
        self.assertLess(await long_requests - started_at, LONG_CALLS_S)
        self.assertGreater(len(load.unended_views), 0)
        self.assertEqual(load.failed_calls, [])
        self.assertGreater(len(load.ended_views), CALLERS)
        self.assertEqual(self.find_attempts_left(deployment), 0)
        await self.check_each_ran_once(deployment, load)
        self.check_log_format(deployment)

    async def wait_for_long_tasks(self, deployment):
        """Wait until the tasks of all long requests have started."""
        deadline = time.monotonic() + DEADLINE_S
        while time.monotonic() < deadline:
            states = await self.find_states_of_long_requests(deployment)
            if states == STARTED:
                return
            await asyncio.sleep(0.1)
        self.fail(f"long requests have not started: {states}")

    def check_log_format(self, deployment):
        """Check that every log line of every process is one JSON object."""
        for name in ("entry-1", "entry-2", "control-1"):
            for line in (deployment.folder / f"{name}.log").read_text().splitlines():
                self.assertIn("event", json.loads(line))

    async def find_states_of_long_requests(self, deployment):
        """Return the states of the long requests, found by their keys."""
        load = Load([deployment.entry_url(2)])
        for key in LONG_REQUEST_KEYS:
            await load.submit_and_wait(key, LONG_TASK_S, wait_s=0.0)
        return [view["state"] for view in load.ended_views + load.unended_views]

    def find_attempts_left(self, deployment):
        """Return how many attempts the entry still held when it exited."""
        for line in (deployment.folder / "entry-1.log").read_text().splitlines():
            if "attempts handed over" in line:
                return json.loads(line)["left"]
        return None

    async def check_each_ran_once(self, deployment, load):
        """Check that every request finished in a single attempt."""
        url = deployment.entry_url(2)
        async with httpx.AsyncClient(
            base_url=url, trust_env=False, timeout=60, headers=HEADERS
        ) as client:
            for submitted in load.ended_views + load.unended_views:
                path = f"/v1/requests/{submitted['request']}"
                view = (await client.get(f"{path}?wait_s=30")).json()
                self.assertEqual(view["state"], "finished", view)
                explanation = (await client.get(f"{path}/explain")).json()
                outcomes = [attempt["outcome"] for attempt in explanation["attempts"]]
                self.assertEqual(outcomes, ["finished"], explanation)
