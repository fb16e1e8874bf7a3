"""Tests of the limits on connections, in one process."""

import asyncio
import resource
import unittest
from unittest import mock

import structlog

from persimmonyard.daemon import http_protocol
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.intake import Intake, IntakeLimits
from persimmonyard.platform.http import HttpResponse, build_app

DEADLINE_S = 30.0
BODY_BYTES = 64 << 10
HEAD_BYTES = 16 << 10
HEAD = b"POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


class FakeConnection:
    """Holds a number of bytes until it is shed."""

    charged_bytes = 0
    opened_number = 0

    def __init__(self, held):
        self.held = held

    def held_bytes(self):
        return self.held

    def shed(self):
        self.held = 0


class IntakeTests(unittest.IsolatedAsyncioTestCase):
    def open_all(self, *held):
        intake = Intake(IntakeLimits(memory_bytes=1_000))
        connections = [FakeConnection(size) for size in held]
        for connection in connections:
            intake.open(connection)
        return intake, [connection.held for connection in connections]

    def test_newest_of_those_that_hold_most_is_shed(self):
        """Guards against refusing a body since more of it has arrived."""
        _, left = self.open_all(400, 300, 10, 310)
        self.assertEqual([400, 300, 10, 0], left)

    def test_small_connections_outlive_a_large_one(self):
        """Guards against clients refused for what another one holds."""
        intake, left = self.open_all(100, 900, 100)
        self.assertEqual([100, 0, 100], left)
        self.assertEqual(200, intake.used_bytes)

    def test_connections_leave_half_of_the_descriptors(self):
        """Guards against a process that cannot open a file or a connection."""
        with mock.patch.object(resource, "getrlimit", return_value=(6, 6)):
            intake = Intake(IntakeLimits())
        for _ in range(3):
            intake.open(FakeConnection(0))
        self.assertFalse(intake.has_too_many())
        intake.open(FakeConnection(0))
        self.assertTrue(intake.has_too_many())

    async def test_refusals_are_logged_as_one_line(self):
        """Guards against a log line for each refusal."""
        intake = Intake(IntakeLimits())
        intake._log = mock.Mock()
        for _ in range(50):
            intake.count_refusal("callers", "memory")
        intake.log_refusals()
        intake.log_refusals()
        counts = [call.kwargs["count"] for call in intake._log.warning.mock_calls]
        self.assertEqual([50], counts)


class ServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies = []
        self.answer = asyncio.Event()
        self.answer.set()
        limits = IntakeLimits(
            memory_bytes=4 * BODY_BYTES,
            connection_bytes=BODY_BYTES + HEAD_BYTES,
            body_bytes=BODY_BYTES,
            head_bytes=HEAD_BYTES,
        )
        self.server = HttpServer(
            build_app(self.handle), "127.0.0.1", 0, 10.0, Intake(limits)
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.addCleanup(self.answer.set)

    async def handle(self, request):
        self.bodies.append(request.body)
        await self.answer.wait()
        return HttpResponse(200, {})

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_head(self, reader):
        data = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), DEADLINE_S)
        return data.lower()

    async def wait_until(self, is_true):
        async with asyncio.timeout(DEADLINE_S):
            while not is_true():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_open_requests_go_on_when_new_ones_are_refused(self):
        """Guards against refused requests that run, and open ones that end.

        Four bodies of 60 KiB are held one byte short; three fit.  A refusal
        is logged by the server, once for many.
        """
        size = 60 << 10
        connections = []
        with structlog.testing.capture_logs() as logs:
            for _ in range(4):
                connections.append(await self.connect())
                connections[-1][1].write(HEAD % size + b"x" * (size - 1))
                await asyncio.sleep(0.1)
            refusal = await self.read_head(connections[-1][0])
            await asyncio.sleep(0.1)
        self.assertEqual([], logs)
        self.assertIn(b" 503 ", refusal)
        self.assertIn(b"retry-after", refusal)
        for reader, writer in connections[:3]:
            writer.write(b"x")
            self.assertIn(b" 200 ", await self.read_head(reader))
        self.assertEqual([size] * 3, [len(body) for body in self.bodies])

    @mock.patch.object(http_protocol, "NEW_CONNECTION_TIMEOUT_S", 0.1)
    @mock.patch.object(http_protocol, "FIRST_CALL_TIMEOUT_S", 0.1)
    async def test_first_call_during_a_stop_is_not_cut_off(self):
        """Guards against the wait for a first call that ends the call."""
        self.answer.clear()
        reader, writer = await self.connect()
        await self.wait_until(lambda: self.server.connection_count() == 1)
        stopping = asyncio.create_task(self.server.stop())
        await asyncio.sleep(0)
        (connection,) = self.server._server.server_state.connections
        connection.shutdown()
        writer.write(HEAD % 2 + b"{}")
        await self.wait_until(lambda: self.bodies)
        await asyncio.sleep(0.5)
        self.answer.set()
        self.assertIn(b" 200 ", await self.read_head(reader))
        await stopping

    async def test_requests_that_were_sent_ahead_are_answered_in_order(self):
        """Guards against reading that is not resumed after it was held."""
        reader, writer = await self.connect()
        count = 3_000
        writer.write((HEAD % 4 + b"%04d") * count % tuple(range(count)))
        for _ in range(count):
            self.assertIn(b" 200 ", await self.read_head(reader))
            await reader.readexactly(2)
        self.assertEqual([b"%04d" % number for number in range(count)], self.bodies)

    async def test_largest_request_within_the_limits_is_read(self):
        """Guards against a body that is never read to its end.

        Head and body are at their limits, and take the whole allotment.
        """
        reader, writer = await self.connect()
        head = HEAD % BODY_BYTES
        # Without the request line and with the end, as the parser counts.
        filler = HEAD_BYTES - len(head) - len(b"X: \r\n")
        head = head.replace(b"\r\n\r\n", b"\r\nX: " + b"y" * filler + b"\r\n\r\n")
        for part in (head, b"x" * (BODY_BYTES - 1), b"x"):
            writer.write(part)
            await asyncio.sleep(0.1)
        self.assertIn(b" 200 ", await self.read_head(reader))
        self.assertEqual(HEAD_BYTES, len(head))
