"""Tests of the HTTP client for calls to upstreams."""

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
from persimmonyard.platform.upstreams import HttpUpstreamClient
from persimmonyard.standin.deployment import bind_free_port
from test.daemon.jobs.fakes import DURATIONS

TASK_KEY = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
# Generous, so that a busy machine does not make an answer late.
PATIENT_DURATIONS = DURATIONS._replace(order_timeout_s=20.0)
START_ORDER = StartOrder(TASK_KEY, 2, "text", 486_000, 7, "saved")


class StubUpstream:
    """An HTTP server that answers all requests with the same bytes.

    ``requests`` holds the head and the decoded body of each request.
    """

    def __init__(self):
        self.requests = []
        self.response = b""
        self.delay_s = 0.0
        self.connection_count = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return Target("i-1", f"127.0.0.1:{port}")

    def set_response(self, status, body):
        text = body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(text)}\r\n\r\n"
        self.response = head.encode() + text

    async def serve(self, reader, writer):
        self.connection_count += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = int(head.split("content-length: ")[1].split("\r\n")[0])
                body = json.loads(await reader.readexactly(length))
                self.requests.append((head, body))
                await asyncio.sleep(self.delay_s)
                writer.write(self.response)
        except (EOFError, ConnectionError, asyncio.CancelledError):
            writer.close()


class UpstreamClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = StubUpstream()
        self.target = await self.upstream.start()
        self.client = HttpUpstreamClient(PATIENT_DURATIONS)

    async def asyncTearDown(self):
        await self.client.close()
        self.upstream.server.close()

    async def test_start_is_sent_in_the_platforms_format(self):
        """Guards against an order that an upstream would misread.

        The path, the header with the expected upstream and the names of all
        fields must be those of the platform.
        """
        self.upstream.set_response(200, {"clock_ms": 5})
        reply = await self.client.start(self.target, START_ORDER)
        self.assertEqual(OrderReply(OrderResult.DONE, 5), reply)
        head, body = self.upstream.requests[0]
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

    async def test_refusals_are_distinguished(self):
        """Guards against taking one kind of refusal for another.

        The leader handles each kind differently; for example, it retries a
        start whose lease is over and avoids an upstream without room.
        """
        cases = [
            (409, {"clock_ms": 5, "reason": "fence"}, OrderResult.STALE_FENCE),
            (409, {"clock_ms": 5, "reason": "old"}, OrderResult.OLD_RUN),
            (409, {"clock_ms": 5, "reason": "late"}, OrderResult.LEASE_OVER),
            (409, {"clock_ms": 5, "reason": "room"}, OrderResult.NO_ROOM),
            (409, b"{", OrderResult.INVALID),
            (409, b"[" * 100_000, OrderResult.INVALID),
            (409, b'{"x":' + b"[" * 100_000, OrderResult.INVALID),
            (409, {"clock_ms": 10**30, "reason": "fence"}, OrderResult.INVALID),
            (409, {"clock_ms": -1, "reason": "fence"}, OrderResult.INVALID),
            (400, {}, OrderResult.INVALID),
            (421, {}, OrderResult.OTHER_UPSTREAM),
            (429, {}, OrderResult.UNHEALTHY),
            (503, {}, OrderResult.UNHEALTHY),
        ]
        for status, body, expected in cases:
            self.upstream.set_response(status, body)
            reply = await self.client.stop(self.target, TASK_KEY, 2, 7)
            self.assertEqual(expected, reply.result, (status, body))

    async def test_odd_clock_is_not_used(self):
        """Guards against leases that are granted on a clock out of range."""
        for clock_ms in (-1, 2**53, 10**30, "5", 1.5):
            self.upstream.set_response(200, {"clock_ms": clock_ms})
            reply = await self.client.start(self.target, START_ORDER)
            self.assertEqual(OrderReply(OrderResult.DONE, None), reply)

    async def test_answer_that_is_too_large_raises_no_answer(self):
        """Guards against a process that runs out of memory."""
        self.upstream.set_response(200, b'{"clock_ms": 5}' + b" " * (5 << 20))
        with self.assertRaises(NoAnswerError):
            await self.client.stop(self.target, TASK_KEY, 2, 7)

    async def test_connections_are_reused(self):
        """Guards against opening a connection for each call.

        The platform charges for new connections.
        """
        self.upstream.set_response(200, {"clock_ms": 5})
        for _ in range(5):
            await self.client.stop(self.target, TASK_KEY, 2, 7)
        self.assertEqual(1, self.upstream.connection_count)

    async def test_connections_are_not_shared_between_incarnations(self):
        """Guards against calls on a connection to an upstream that is dead."""
        self.upstream.set_response(200, {"clock_ms": 1})
        for incarnation in (1, 1, 2, 2):
            target = self.target._replace(incarnation=incarnation)
            await self.client.stop(target, TASK_KEY, 2, 7)
        self.assertEqual(2, self.upstream.connection_count)

    async def test_missing_and_truncated_responses_raise_no_answer(self):
        """Guards against treating an order without an answer as refused.

        The upstream may have executed the order if its response is truncated,
        invalid or late.
        """
        client = HttpUpstreamClient(DURATIONS)
        self.addAsyncCleanup(client.close)
        self.upstream.response = b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"
        with self.assertRaises(NoAnswerError):
            await client.start(self.target, START_ORDER)
        self.upstream.response = b"not HTTP\r\n\r\n"
        with self.assertRaises(NoAnswerError):
            await client.start(self.target, START_ORDER)
        self.upstream.delay_s = 60.0
        with self.assertRaises(NoAnswerError):
            await client.start(self.target, START_ORDER)

    async def test_refused_connection_raises_no_answer(self):
        """Guards against an exception that ends the term of a leader.

        No process listens on the address, as after an upstream has exited.
        """
        reserved_socket = bind_free_port()
        self.addCleanup(reserved_socket.close)
        address = f"127.0.0.1:{reserved_socket.getsockname()[1]}"
        with self.assertRaises(NoAnswerError):
            await self.client.stop(Target("i-1", address), TASK_KEY, 2, 7)

    async def test_invalid_listing_raises_no_answer(self):
        """Guards against accepting a malformed run listing.

        The listing is not JSON or contains an invalid task name.
        """
        for body in (b"{", {"clock_ms": 5, "running": [["x", 1, "", 0]]}):
            self.upstream.set_response(200, body)
            with self.assertRaises(NoAnswerError):
                await self.client.renew(self.target, 0, 7, 0, 0)


if __name__ == "__main__":
    unittest.main()
