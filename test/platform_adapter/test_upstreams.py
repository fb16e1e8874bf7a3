"""Tests of the calls to upstreams in the platform's form."""

import asyncio
import json
import unittest

from persimmonyard.daemon.jobs.upstream_client import (
    NoAnswerError,
    OrderReply,
    OrderResult,
    StartOrder,
    Target,
)
from persimmonyard.jobs import TaskKey
from persimmonyard.platform.upstreams import HttpUpstreamPort
from persimmonyard.standin.deployment import bind_free_port
from test.daemon.jobs.fakes import DURATIONS

NAME = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
ORDER = StartOrder(NAME, 2, "text", 486_000, 7, "saved")


class Upstream:
    """An HTTP server that answers every call with the same bytes."""

    def __init__(self):
        self.calls = []
        self.answer = b""
        self.delay_s = 0.0
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return Target("i-1", f"127.0.0.1:{port}")

    def say(self, status, body):
        text = body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(text)}\r\n\r\n"
        self.answer = head.encode() + text

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = int(head.split("content-length: ")[1].split("\r\n")[0])
                body = json.loads(await reader.readexactly(length))
                self.calls.append((head, body))
                await asyncio.sleep(self.delay_s)
                writer.write(self.answer)
        except (EOFError, ConnectionError, asyncio.CancelledError):
            writer.close()


class UpstreamCallTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = Upstream()
        self.target = await self.upstream.start()
        self.port = HttpUpstreamPort(DURATIONS)

    async def asyncTearDown(self):
        await self.port.close()
        self.upstream.server.close()

    async def test_start_is_sent_in_the_platforms_words(self):
        """Guards against an order that an upstream would misread."""
        self.upstream.say(200, {"clock_ms": 5})
        reply = await self.port.start(self.target, ORDER)
        self.assertEqual(OrderReply(OrderResult.DONE, 5), reply)
        head, body = self.upstream.calls[0]
        self.assertTrue(head.startswith("post /api/run-start http/1.1"))
        self.assertIn("x-persimmonyard-expect-instance: i-1", head)
        expected = {
            "task": "5c0e7a21d94b36f8.0.1.17",
            "run_id": 2,
            "spec": "text",
            "expires_ms": 486_000,
            "fencing_token": 7,
            "checkpoint": "saved",
        }
        self.assertEqual(expected, body)

    async def test_refusals_are_told_apart(self):
        """Guards against a refusal that is taken for another one."""
        cases = [
            (409, {"clock_ms": 5, "reason": "fence"}, OrderResult.STALE_FENCE),
            (409, {"clock_ms": 5, "reason": "old"}, OrderResult.OLD_RUN),
            (409, {"clock_ms": 5, "reason": "late"}, OrderResult.LEASE_OVER),
            (409, {"clock_ms": 5, "reason": "room"}, OrderResult.NO_ROOM),
            (409, b"{", OrderResult.INVALID),
            (400, {}, OrderResult.INVALID),
            (421, {}, OrderResult.OTHER_UPSTREAM),
            (429, {}, OrderResult.UNHEALTHY),
            (503, {}, OrderResult.UNHEALTHY),
        ]
        for status, body, expected in cases:
            self.upstream.say(status, body)
            reply = await self.port.stop(self.target, NAME, 2, 7)
            self.assertEqual(expected, reply.result, (status, body))

    async def test_connections_are_kept(self):
        """Guards against a connection for each call: new ones are priced."""
        self.upstream.say(200, {"clock_ms": 5})
        for _ in range(5):
            await self.port.stop(self.target, NAME, 2, 7)
        self.assertEqual(1, self.upstream.connections)

    async def test_silence_and_cut_answers_are_no_answer(self):
        """Guards against an order without an answer that counts as refused."""
        self.upstream.answer = b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"
        with self.assertRaises(NoAnswerError):
            await self.port.start(self.target, ORDER)
        self.upstream.answer = b"not HTTP\r\n\r\n"
        with self.assertRaises(NoAnswerError):
            await self.port.start(self.target, ORDER)
        self.upstream.delay_s = 60.0
        with self.assertRaises(NoAnswerError):
            await self.port.start(self.target, ORDER)

    async def test_refused_connection_is_no_answer(self):
        """Guards against an exception that ends the term of a leader."""
        holder = bind_free_port()
        self.addCleanup(holder.close)
        address = f"127.0.0.1:{holder.getsockname()[1]}"
        with self.assertRaises(NoAnswerError):
            await self.port.stop(Target("i-1", address), NAME, 2, 7)

    async def test_unusable_listing_is_no_answer(self):
        """Guards against a listing that is believed though it is broken."""
        for body in (b"{", {"clock_ms": 5, "running": [["x", 1, "", 0]]}):
            self.upstream.say(200, body)
            with self.assertRaises(NoAnswerError):
                await self.port.renew(self.target, 0, 7, 0, 0)


if __name__ == "__main__":
    unittest.main()
