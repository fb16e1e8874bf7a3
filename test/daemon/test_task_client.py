"""Tests of the entry's client of the task API of upstreams."""

import asyncio
import base64
import hashlib
import json
import socket
import unittest
from pathlib import Path

import msgspec
from litestar import Litestar, Request, post
from litestar.response import Stream

from persimmonyard.daemon.entry.pooled_transport import MAX_CONNECTIONS
from persimmonyard.daemon.entry.task_client import (
    NoConnectionError,
    TaskClient,
    UpstreamUnreachableError,
    decode_answer,
    task_call_body,
)
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.standin.upstream import StandinSettings, StandinUpstream
from persimmonyard.wire import DispatchAction, DispatchMember, DispatchOrder

OPENAPI_PATH = Path(__file__).parents[2] / "docs" / "upstream-openapi.json"
PYTHON_TYPES = {
    "string": str, "integer": int, "number": (int, float), "boolean": bool,
    "object": dict, "array": list,
}  # fmt: skip


class OpenApiDescription:
    """The OpenAPI description of the calls between entries and upstreams.

    It supports the part of JSON Schema that the description uses.
    """

    def __init__(self):
        self.document = json.loads(OPENAPI_PATH.read_text())

    def find_problem(self, path, part, value):
        """Return how a body violates the schema, or ``None`` if it conforms.

        ``part`` is ``request`` or the status of a response.
        """
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
        if not isinstance(value, PYTHON_TYPES[schema["type"]]):
            return f"{where}: {value!r} is no {schema['type']}"
        if value not in schema.get("enum", [value]):
            return f"{where}: {value!r} is not allowed"
        if isinstance(value, list):
            for item in value:
                problem = self._mismatch(schema["items"], item, where)
                if problem:
                    return problem
        if not isinstance(value, dict):
            return None
        missing = set(schema["required"]) - set(value)
        unknown = set(value) - set(schema["properties"])
        if missing or unknown:
            return f"{where}: missing {missing}, unknown {unknown}"
        for name, field_value in value.items():
            problem = self._mismatch(
                schema["properties"][name], field_value, f"{where}.{name}"
            )
            if problem:
                return problem
        return None


class TaskClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        """Start a fake announce path and a stand-in; record all bodies."""
        self.exchanges = []

        @post("/v1/upstreams/announce", status_code=200)
        async def announce(request: Request) -> dict:
            body = await request.json()
            reply = {"sent_at": body["sent_at"], "lease_s": 10.0, "heartbeat_s": 3.0}
            self.exchanges.append(("/v1/upstreams/announce", body, 200, reply))
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
        self.client = TaskClient()
        self.addAsyncCleanup(self.client.close)
        self.client._client.event_hooks = {"response": [self.record_exchange]}

    async def record_exchange(self, response):
        await response.aread()
        body = json.loads(response.request.content)
        path = response.request.url.path
        self.exchanges.append((path, body, response.status_code, response.json()))

    def make_order(self, number=1):
        """Return an order for an attempt with one member on the stand-in."""
        member = DispatchMember(
            "up-1", self.upstream.incarnation, "z1", f"127.0.0.1:{self.upstream.port}"
        )
        return DispatchOrder(
            "r", number, 1, DispatchAction.RUN, (member,), 1, 1, 1, 1.0, True, b"scan"
        )

    async def run_to_end(self, order):
        """Run a task to its end and return the statuses of its renewal."""
        await self.client.call_task("prepare", order, 0)
        await self.client.call_task("start", order, 0)
        task = {"attempt": "r.1", "member": 0, "fence": 1, "known_state": "running"}
        return await self.client.renew(order.members[0], [task], 10.0)

    async def test_both_sides_follow_the_openapi_description(self):
        """Guards against a description that an upstream cannot rely on.

        All bodies between an entry and the stand-in conform to the OpenAPI
        description, and all described calls except throttle are used.
        """
        order = self.make_order()
        [status] = await self.run_to_end(order)
        self.assertEqual(status.state, "finished")
        answer = await self.client.fetch_answer(order, 0)
        self.assertEqual(answer.body, b"answer:0:scan")
        for call in ("checkpoint", "stop", "acknowledge"):
            await self.client.call_task(call, order, 0)
        with self.assertRaises(PersimmonyardError) as caught:
            await self.client.fetch_answer(order, 0)
        self.assertEqual(caught.exception.code, ResultCode.UNKNOWN_ATTEMPT)
        await self.upstream.leave()
        description = OpenApiDescription()
        paths = set()
        for path, body, code, reply in self.exchanges:
            paths.add(path)
            part = "200" if code == 200 else "4XX"
            self.assertIsNone(description.find_problem(path, "request", body))
            self.assertIsNone(description.find_problem(path, part, reply))
        unused_paths = set(description.document["paths"]) - paths
        self.assertEqual(unused_paths, {"/v1/tasks/throttle"})
        self.assertTrue(self.exchanges[-1][1]["leaving"])

    def test_each_call_names_the_incarnation_of_its_member(self):
        """Guards against a call that acts on the next incarnation."""
        members = []
        for incarnation in ("a", "b"):
            members.append(DispatchMember("up-1", incarnation, "z1", "127.0.0.1:1"))
        order = DispatchOrder(
            "r", 1, 1, DispatchAction.RUN, tuple(members), 1, 1, 1, 1.0, True, b"scan"
        )
        calls = ("prepare", "start", "checkpoint", "stop", "result", "acknowledge")
        for call in calls:
            for member, incarnation in enumerate(("a", "b")):
                body = task_call_body(call, order, member)
                self.assertEqual(incarnation, body["incarnation"])

    async def test_calls_for_an_earlier_incarnation_are_refused(self):
        """Guards against an entry that takes such a refusal for an answer."""
        order = self.make_order()
        await self.client.call_task("prepare", order, 0)
        self.upstream._set_behaviour({"forget": True})
        task = {"attempt": "r.1", "member": 0, "fence": 1, "known_state": "running"}
        refused = [
            self.client.renew(order.members[0], [task], 0.0),
            self.client.fetch_answer(order, 0),
        ]
        for call in ("prepare", "start", "checkpoint", "stop", "acknowledge"):
            refused.append(self.client.call_task(call, order, 0))
        for call in refused:
            with self.assertRaises(PersimmonyardError) as caught:
                await call
            self.assertEqual(ResultCode.UNKNOWN_ATTEMPT, caught.exception.code)
        self.assertEqual([], self.upstream.tasks.starts)

    async def test_refused_connection_is_told_from_a_lost_answer(self):
        """A call that found no listener has no effect."""
        order = self.make_order()
        bound = socket.socket()
        self.addCleanup(bound.close)
        bound.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{bound.getsockname()[1]}"
        member = msgspec.structs.replace(order.members[0], address=address)
        order = msgspec.structs.replace(order, members=(member,))
        with self.assertRaises(NoConnectionError):
            await self.client.call_task("start", order, 0)

    async def test_faulty_answers_are_refused(self):
        """Guards against handing out an answer that is cut or of another task.

        The client raises an error, so that the answer is fetched again.
        """
        fault_sequence = ("cut", "swapped", "previous")
        self.upstream.settings.behaviour.answer_faults = fault_sequence
        order = self.make_order()
        await self.run_to_end(order)
        for _ in fault_sequence[:2]:
            with self.assertRaises(UpstreamUnreachableError):
                await self.client.fetch_answer(order, 0)
        answer = await self.client.fetch_answer(order, 0)
        self.assertEqual(answer.body, b"answer:0:scan")

    async def test_reply_of_another_task_is_refused(self):
        """Guards against accepting a reply about another task.

        The attempt, member, length, digest and body of a reply must match.
        """
        digest = hashlib.sha256(b"a").hexdigest()
        complete = {"attempt": "r.1", "member": 0, "length": 1, "digest": digest}
        complete["body"] = base64.b64encode(b"a").decode()
        self.assertEqual(decode_answer(self.make_order(), 0, complete).body, b"a")
        wrong_values = {"attempt": "r.2", "member": 1, "length": 2, "digest": "0" * 64}
        for name, value in (wrong_values | {"body": "?"}).items():
            with self.assertRaises(UpstreamUnreachableError):
                decode_answer(self.make_order(), 0, complete | {name: value})

    async def test_connections_to_an_upstream_are_limited(self):
        """Guards against an entry that uses the connections of other entries.

        Eight calls at once use at most this entry's share of connections.
        """
        self.upstream.settings.behaviour.start_delay_s = 0.2
        orders = [self.make_order(number) for number in range(1, 9)]
        for order in orders:
            await self.client.call_task("prepare", order, 0)
        starts = [self.client.call_task("start", order, 0) for order in orders]
        running = asyncio.gather(*starts)
        await asyncio.sleep(0.1)
        connections = len(self.upstream._server.server_state.connections)
        await running
        self.assertLessEqual(connections, MAX_CONNECTIONS)

    async def test_calls_cancelled_during_their_clean_up_free_their_connections(self):
        """Guards against connections that stay in use after a cancellation.

        A call is cancelled again while it still closes its connection, for
        example because the task leases change just after a frozen process
        has resumed and the call has timed out.  A later call must find a free
        connection.
        """
        order = msgspec.structs.replace(self.make_order(), payload=b'{"run_s": 60}')
        await self.client.call_task("prepare", order, 0)
        await self.client.call_task("start", order, 0)
        task = {"attempt": "r.1", "member": 0, "fence": 1, "known_state": "running"}
        # The iterations of the event loop between the two cancellations.
        for delay in [*range(5)] * MAX_CONNECTIONS:
            call = self.client.renew(order.members[0], [task], 0.5)
            renewal = asyncio.create_task(call)
            await asyncio.sleep(0.02)
            renewal.cancel()
            for _ in range(delay):
                await asyncio.sleep(0)
            renewal.cancel()
            await asyncio.wait({renewal})
        status = await self.client.call_task("prepare", order, 0)
        self.assertEqual(status.state, "running")


class OddReplyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.body = b""
        self.sent_bytes = 0

        @post("/v1/tasks/{call:str}", status_code=200)
        async def task_call(call: str) -> Stream:
            return Stream(self.generate_body, media_type="application/json")

        self.server = HttpServer(Litestar([task_call]), "127.0.0.1", 0, 1.0)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = TaskClient()
        self.addAsyncCleanup(self.client.close)
        address = f"127.0.0.1:{self.server.port}"
        self.member = DispatchMember("up-1", "a", "z1", address)
        self.order = DispatchOrder(
            "r", 1, 1, DispatchAction.RUN, (self.member,), 1, 1, 1, 1.0, True, b""
        )

    async def generate_body(self):
        """Send the body in parts of at most 64 KiB."""
        for start in range(0, len(self.body), 65_536):
            part = self.body[start : start + 65_536]
            self.sent_bytes += len(part)
            yield part

    async def test_odd_reply_counts_as_no_reply(self):
        """Guards against an upstream whose odd reply ends an attempt.

        A text with half a surrogate pair cannot be sent to the leader.
        """
        status = '{"attempt": "r.1", "member": 0, "message": %s}'
        for body in (
            b"",
            b"null",
            b"[]",
            b"\xff",
            b"[" * 100_000,
            b'{"tasks": ' + b"[" * 100_000,
            (status % '"\\ud800"').encode(),
            (status % "NaN").encode(),
            (status % ("1" * 5_000)).encode(),
            b'{"code": [], "message": 1}',
        ):
            self.body = body
            with self.subTest(body=body[:40]):
                with self.assertRaises(UpstreamUnreachableError):
                    await self.client.call_task("prepare", self.order, 0)
                with self.assertRaises(UpstreamUnreachableError):
                    await self.client.fetch_answer(self.order, 0)
                with self.assertRaises(UpstreamUnreachableError):
                    await self.client.renew(self.member, [], 0.0)

    async def test_endless_reply_is_not_kept_in_memory(self):
        """Guards against memory that an upstream can fill."""
        self.body = b" " * (64 << 20)
        with self.assertRaises(UpstreamUnreachableError):
            await self.client.call_task("prepare", self.order, 0)
        self.assertLess(self.sent_bytes, len(self.body))
