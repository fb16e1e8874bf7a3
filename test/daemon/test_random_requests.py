"""Seeded tests of the HTTP parser with requests at and over its limits."""

import asyncio
import random
import unittest
from unittest import mock

import structlog

from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.intake import Intake, IntakeLimits
from persimmonyard.platform.http import HttpResponse, build_app

SEED = 20_261_206
CASES = 400
DEADLINE_S = 30.0
HEAD_BYTES = 1_024
BODY_BYTES = 4_096
ORDINARY = b"POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
METHODS = (b"GET", b"POST", b"HEAD", b"CONNECT", b"", b"\x00", b"G" * 2_000)
TARGETS = (b"/", b"/p/1", b"*", b"/%ff", b"/%", b"/" + b"a" * 2_000, b"\xff", b"")
VERSIONS = (b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0", b"HTTP/9", b"", b"http/1.1")
LENGTHS = (b"0", b"2", b"-1", b"+2", b"02", b" 2", b"2, 2", b"2, 3", b"4096", b"4097")
LENGTHS += (b"9" * 20, b"9" * 21, b"9" * 900, b"0x2", b"", b"18446744073709551616")
SIZES = (b"0", b"2", b"02", b"-1", b"7fffffffffffffff", b"8000000000000000")
SIZES += (b"ffffffffffffffff", b"f" * 20, b"f" * 21, b"0" * 900, b"", b"g", b"2;a=b")
HEADERS = (
    b"Connection: close",
    b"Connection: upgrade\r\nUpgrade: websocket",
    b"Connection: upgrade\r\nUpgrade: h2c",
    b"Expect: 100-continue",
    b"Transfer-Encoding: gzip",
    b"Transfer-Encoding: chunked, chunked",
    b": nothing",
    b" folded: x",
    b"no colon",
    b"X: " + b"y" * 1_200,
    b"X: \x00\x7f\xff",
)


def random_request(rng):
    """Return one request that may be valid, cut off or over a limit."""
    lines = [b" ".join((rng.choice(METHODS[:3]), rng.choice(TARGETS[:2]), VERSIONS[0]))]
    if rng.random() < 0.3:
        choices = (METHODS, TARGETS, VERSIONS)
        lines = [b" ".join(rng.choice(choice) for choice in choices)]
    if rng.random() < 0.9:
        lines.append(b"Host: h")
    if rng.random() < 0.4:
        lines.append(rng.choice(HEADERS))
    body = b""
    if rng.random() < 0.5:
        lines += [b"Content-Length: " + rng.choice(LENGTHS)] * rng.choice((1, 1, 2))
        body = rng.choice((b"{}", b"{}", b"x" * 4_096, b"x" * 5_000, b""))
    if rng.random() < 0.4:
        lines.append(b"Transfer-Encoding: chunked")
        for _ in range(rng.randrange(4)):
            body += rng.choice(SIZES) + b"\r\n" + rng.choice((b"ab", b"")) + b"\r\n"
        body += rng.choice((b"0\r\n\r\n", b"0\r\nX: y\r\n\r\n", b"", b"3"))
    ending = rng.choice((b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r"))
    data = ending.join([*lines, b"", b""]) + body
    return data[: rng.randrange(len(data))] if rng.random() < 0.2 else data


class RandomRequestTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.errors.append(context))
        self.handled = []
        limits = IntakeLimits(
            memory_bytes=256 << 10,
            connection_bytes=64 << 10,
            body_bytes=BODY_BYTES,
            head_bytes=HEAD_BYTES,
            head_s=0.3,
            body_s=0.3,
        )
        self.intake = Intake(limits)
        app = build_app(self.handle)
        self.server = HttpServer(app, "127.0.0.1", 0, 1.0, self.intake)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        logger = mock.patch("uvicorn.protocols.http.h11_impl.logging.getLogger")
        self.uvicorn_log = logger.start().return_value
        self.uvicorn_log.level = 40
        self.addCleanup(logger.stop)

    async def handle(self, request):
        self.handled.append(request.body)
        return HttpResponse(200, {})

    async def exchange(self, parts):
        """Send the parts, then nothing more; return all that is received."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        received = b""
        try:
            async with asyncio.timeout(DEADLINE_S):
                for part in parts:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0)
                writer.write_eof()
                received = await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()
        return received

    def assert_no_errors(self, logs, case=None):
        self.assertEqual([], self.errors, case)
        self.assertEqual([], self.uvicorn_log.error.call_args_list, case)
        errors = [line for line in logs if line["log_level"] == "error"]
        self.assertEqual([], errors, case)

    async def test_random_requests_are_answered_or_closed(self):
        """Guards against bytes that end in an unhandled error.

        Requests are split at random, some are sent ahead of others.  Whatever
        the application gets is within the limit on bodies.
        """
        rng = random.Random(SEED)
        with structlog.testing.capture_logs() as logs:
            for number in range(CASES):
                data = b"".join(random_request(rng) for _ in range(rng.choice((1, 3))))
                cuts = sorted(rng.randrange(len(data) + 1) for _ in range(4))
                edges = zip([0, *cuts], [*cuts, len(data)], strict=True)
                await self.exchange([data[a:b] for a, b in edges])
                self.assert_no_errors(logs, (number, data))
        self.assertLessEqual(max(map(len, self.handled)), BODY_BYTES)
        self.assertIn(b" 200 ", await self.exchange([ORDINARY]))
        self.assertEqual(0, self.intake.used_bytes)

    async def test_requests_split_at_every_byte_are_handled_once(self):
        """Guards against a request that is lost or run twice between reads."""
        with structlog.testing.capture_logs() as logs:
            for cut in range(1, len(ORDINARY)):
                received = await self.exchange([ORDINARY[:cut], ORDINARY[cut:]])
                self.assertEqual(1, received.count(b" 200 "), cut)
            whole = await self.exchange([bytes([byte]) for byte in ORDINARY])
            self.assertEqual(1, whole.count(b" 200 "))
            self.assert_no_errors(logs)
        self.assertEqual([b"{}"] * len(ORDINARY), self.handled)

    async def test_requests_over_a_limit_are_refused_unhandled(self):
        """Guards against a refused request that has run all the same."""
        start = b"POST / HTTP/1.1\r\nHost: h\r\n"
        chunked = start + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"400\r\n" + b"x" * 1_024 + b"\r\n"
        cases = (
            (start + b"Content-Length: 4097\r\n\r\n", b" 413 "),
            (start + b"Content-Length: " + b"9" * 20 + b"\r\n\r\n", b" 413 "),
            (chunked + 5 * chunk + b"0\r\n\r\n", b" 413 "),
            (start + b"X: " + b"y" * HEAD_BYTES + b"\r\n\r\n", b" 431 "),
            (start + b"X: " + b"y" * HEAD_BYTES, b" 431 "),
            (start + b"X: y\r\n" * 400, b" 431 "),
            (start + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", b" 400 "),
            (chunked + b"f" * 21 + b"\r\n", b" 400 "),
        )
        for data, status in cases:
            with self.subTest(data[:80]), structlog.testing.capture_logs() as logs:
                self.assertIn(status, await self.exchange([data]))
                self.assert_no_errors(logs)
        self.assertEqual([], self.handled)
        largest = start + b"Content-Length: 4096\r\n\r\n" + b"x" * BODY_BYTES
        self.assertIn(b" 200 ", await self.exchange([largest]))
