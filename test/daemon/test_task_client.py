"""Tests of the calls between entries and upstreams."""

import asyncio
import base64
import hashlib
import json
import unittest
from pathlib import Path

from litestar import Litestar, Request, post

from persimmonyard.daemon.entry.pooled_transport import MAX_CONNECTIONS
from persimmonyard.daemon.entry.task_client import (
    TaskClient,
    UpstreamUnreachableError,
    decode_answer,
)
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.standin.upstream import StandinSettings, StandinUpstream
from persimmonyard.wire import DispatchAction, DispatchMember, DispatchOrder

DESCRIPTION = Path(__file__).parents[2] / "docs" / "upstream-openapi.json"
TYPES = {
    "string": str, "integer": int, "number": (int, float), "boolean": bool,
    "object": dict, "array": list,
}  # fmt: skip


class Description:
    """The OpenAPI description, as far as these tests check it."""

    def __init__(self):
        self.document = json.loads(DESCRIPTION.read_text())

    def problem(self, path, part, value):
        """Return what is wrong with a body of ``request`` or ``reply``."""
        operation = self.document["paths"][path]["post"]
        holder = operation["requestBody"]
        if part != "request":
            holder = operation["responses"][part]
        schema = holder["content"]["application/json"]["schema"]
        return self._mismatch(schema, value, path)

    def _mismatch(self, schema, value, where):
        if "$ref" in schema:
            name = schema["$ref"].rpartition("/")[2]
            schema = self.document["components"]["schemas"][name]
        if not isinstance(value, TYPES[schema["type"]]):
            return f"{where}: {value!r} is no {schema['type']}"
        if value not in schema.get("enum", [value]):
            return f"{where}: {value!r} is not allowed"
        if isinstance(value, list):
            for one in value:
                problem = self._mismatch(schema["items"], one, where)
                if problem:
                    return problem
        if not isinstance(value, dict):
            return None
        missing = set(schema["required"]) - set(value)
        unknown = set(value) - set(schema["properties"])
        if missing or unknown:
            return f"{where}: missing {missing}, unknown {unknown}"
        for name, one in value.items():
            problem = self._mismatch(schema["properties"][name], one, f"{where}.{name}")
            if problem:
                return problem
        return None


class UpstreamCallsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        """Run an entry's announce path and a stand-in, and note all bodies."""
        self.seen = []

        @post("/v1/upstreams/announce", status_code=200)
        async def announce(request: Request) -> dict:
            body = await request.json()
            reply = {"sent_at": body["sent_at"], "lease_s": 10.0, "heartbeat_s": 3.0}
            self.seen.append(("/v1/upstreams/announce", body, 200, reply))
            return reply

        entry = HttpServer(Litestar([announce]), "127.0.0.1", 0, 1.0)
        await entry.start()
        self.addAsyncCleanup(entry.stop)
        settings = StandinSettings(
            "up-1", "z1", "rack-1", "token", [f"http://127.0.0.1:{entry.port}"]
        )
        settings.drain_s = 0.0
        self.upstream = StandinUpstream(settings)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.calls = TaskClient()
        self.addAsyncCleanup(self.calls.close)
        self.calls._client.event_hooks = {"response": [self.note]}

    async def note(self, response):
        await response.aread()
        body = json.loads(response.request.content)
        path = response.request.url.path
        self.seen.append((path, body, response.status_code, response.json()))

    def order(self, number=1):
        """Return an order for one member on the stand-in."""
        member = DispatchMember(
            "up-1", self.upstream.incarnation, "z1", f"127.0.0.1:{self.upstream.port}"
        )
        return DispatchOrder(
            "r", number, 1, DispatchAction.RUN, (member,), 1, 1, 1, 1.0, True, b"scan"
        )

    async def finish(self, order):
        """Run a task to its end and return the statuses on the way."""
        await self.calls.call_task("prepare", order, 0)
        await self.calls.call_task("start", order, 0)
        task = {"attempt": "r.1", "member": 0, "fence": 1, "known_state": "running"}
        return await self.calls.renew(order.members[0], [task], 10.0)

    async def test_both_sides_fit_the_description(self):
        """Others can write an upstream from the description alone."""
        order = self.order()
        [status] = await self.finish(order)
        self.assertEqual(status.state, "finished")
        answer = await self.calls.fetch_answer(order, 0)
        self.assertEqual(answer.body, b"answer:0:scan")
        for call in ("checkpoint", "stop", "acknowledge"):
            await self.calls.call_task(call, order, 0)
        with self.assertRaises(PersimmonyardError) as caught:
            await self.calls.fetch_answer(order, 0)
        self.assertEqual(caught.exception.code, ResultCode.UNKNOWN_ATTEMPT)
        await self.upstream.leave()
        description = Description()
        paths = set()
        for path, body, code, reply in self.seen:
            paths.add(path)
            part = "200" if code == 200 else "4XX"
            self.assertIsNone(description.problem(path, "request", body))
            self.assertIsNone(description.problem(path, part, reply))
        undescribed = set(description.document["paths"]) - paths
        self.assertEqual(undescribed, {"/v1/tasks/throttle"})
        self.assertTrue(self.seen[-1][1]["leaving"])

    async def test_faulty_answers_are_fetched_again(self):
        """Cut, swapped and repeated answers are never handed out."""
        faults = ("cut", "swapped", "previous")
        self.upstream.settings.behaviour.answer_faults = faults
        order = self.order()
        await self.finish(order)
        for _ in faults[:2]:
            with self.assertRaises(UpstreamUnreachableError):
                await self.calls.fetch_answer(order, 0)
        answer = await self.calls.fetch_answer(order, 0)
        self.assertEqual(answer.body, b"answer:0:scan")

    async def test_reply_of_another_task_is_refused(self):
        """Attempt, member, length and digest must all fit."""
        digest = hashlib.sha256(b"a").hexdigest()
        whole = {"attempt": "r.1", "member": 0, "length": 1, "digest": digest}
        whole["body"] = base64.b64encode(b"a").decode()
        self.assertEqual(decode_answer(self.order(), 0, whole).body, b"a")
        other = {"attempt": "r.2", "member": 1, "length": 2, "digest": "0" * 64}
        for name, value in (other | {"body": "?"}).items():
            with self.assertRaises(UpstreamUnreachableError):
                decode_answer(self.order(), 0, whole | {name: value})

    async def test_connections_to_an_upstream_are_limited(self):
        """Many calls at once share this entry's part of the connections."""
        self.upstream.settings.behaviour.start_delay_s = 0.2
        orders = [self.order(number) for number in range(1, 9)]
        for order in orders:
            await self.calls.call_task("prepare", order, 0)
        starts = [self.calls.call_task("start", order, 0) for order in orders]
        running = asyncio.gather(*starts)
        await asyncio.sleep(0.1)
        connections = len(self.upstream._server.server_state.connections)
        await running
        self.assertLessEqual(connections, MAX_CONNECTIONS)
