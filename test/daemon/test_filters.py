"""Tests of the filter chain and the HTTP server, over real sockets."""

import asyncio
import json
import socket
import unittest

import httpx

from persimmonyard.daemon.http_server import HttpServer
from test.daemon.fakes import CLINIC, OTHER, FakeEntry

DEADLINE_S = 20.0
HEAD = (
    b"POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer clinic-token\r\n"
)


class ServerCase(unittest.IsolatedAsyncioTestCase):
    async def serve(self, connections=64, headers_s=5.0, **limits):
        """Serve an entry with the given limits."""
        self.entry = FakeEntry(**limits)
        self.server = HttpServer(
            self.entry.app, "127.0.0.1", 0, 5.0, connections, headers_s
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def code_from(self, reader):
        """Return the code of the error that a connection answers."""
        data = await asyncio.wait_for(reader.read(65_536), DEADLINE_S)
        head, _, body = data.partition(b"\r\n\r\n")
        if not body:
            body = await asyncio.wait_for(reader.read(65_536), DEADLINE_S)
        self.assertIn(b"application/json", head.lower())
        return json.loads(body)["code"]

    async def until(self, condition):
        async with asyncio.timeout(DEADLINE_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)


class SlowCallerTests(ServerCase):
    async def test_slow_headers_end_the_connection(self):
        """A connection that sends no headers is closed with 304."""
        await self.serve(headers_s=0.2)
        reader, writer = await self.connect()
        writer.write(b"POST /v1/req")
        self.assertEqual(await self.code_from(reader), 304)
        self.assertEqual(await reader.read(), b"")

    async def test_silent_connection_is_closed(self):
        """A connection that sends nothing at all is closed too."""
        await self.serve(headers_s=0.2)
        reader, _ = await self.connect()
        self.assertEqual(await self.code_from(reader), 304)

    async def test_slow_body_is_refused(self):
        """A body that does not arrive in time gives 304, not a held call."""
        await self.serve(body_s=0.2)
        reader, writer = await self.connect()
        writer.write(HEAD + b"Content-Length: 100\r\n\r\n{")
        self.assertEqual(await self.code_from(reader), 304)

    async def test_body_without_length_is_bounded_while_reading(self):
        """A chunked body is refused at the limit, before it has ended."""
        await self.serve(body_bytes=10_000)
        reader, writer = await self.connect()
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        chunk = b"2000\r\n" + b" " * 0x2000 + b"\r\n"
        writer.write(chunk + chunk)
        self.assertEqual(await self.code_from(reader), 104)

    async def test_declared_length_is_refused_before_the_body(self):
        """A large declared length is refused without reading the body."""
        await self.serve(body_bytes=10_000)
        reader, writer = await self.connect()
        writer.write(HEAD + b"Content-Length: 10001\r\n\r\n")
        self.assertEqual(await self.code_from(reader), 104)

    async def test_what_is_not_http_gets_the_json_form(self):
        """Bytes that are not HTTP give an error in the documented form."""
        await self.serve()
        reader, writer = await self.connect()
        writer.write(b"nonsense\r\n\r\n")
        self.assertEqual(await self.code_from(reader), 100)


class StopTests(ServerCase):
    REQUEST = b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"

    async def test_new_connection_may_still_bring_its_first_call(self):
        """A connection that was opened before the stop is not cut."""
        await self.serve()
        reader, writer = await self.connect()
        await self.until(lambda: self.server.connection_count() == 1)
        stop = asyncio.create_task(self.server.stop())
        await asyncio.sleep(0.3)
        writer.write(self.REQUEST)
        answer = await asyncio.wait_for(reader.read(), DEADLINE_S)
        self.assertIn(b"lease_valid", answer)
        await asyncio.wait_for(stop, DEADLINE_S)

    async def test_queued_connection_is_accepted_before_the_listener_closes(self):
        """A call that waits in the kernel's queue gets its answer."""
        await self.serve()
        await self.until(lambda: self.server._server.started)
        # No await until the listener has closed: the loop accepts nothing.
        caller = socket.create_connection(("127.0.0.1", self.server.port))
        self.addCleanup(caller.close)
        caller.sendall(self.REQUEST)
        self.server.stop_listening()
        caller.settimeout(DEADLINE_S)
        answer = await asyncio.to_thread(caller.recv, 65_536)
        self.assertIn(b"200 OK", answer)


class SocketTests(ServerCase):
    async def test_caller_that_does_not_read_is_cut_off(self):
        """A response that nobody reads holds its connection for a time."""
        await self.serve(headers_s=0.2)
        await self.connect()
        await self.until(lambda: self.server.connection_count() == 1)
        (connection,) = self.server._server.server_state.connections
        connection._clear_timer()
        connection.pause_writing()
        await self.until(lambda: self.server.connection_count() == 0)

    async def test_responses_are_not_held_back_by_the_kernel(self):
        """Accepted sockets send the body without waiting for an ACK."""
        await self.serve()
        await self.connect()
        await self.until(lambda: self.server.connection_count() == 1)
        (connection,) = self.server._server.server_state.connections
        accepted = connection.transport.get_extra_info("socket")
        value = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertNotEqual(value, 0)


class LimitTests(ServerCase):
    async def test_connections_are_limited(self):
        """A connection above the limit gets 301; one that ends makes room."""
        await self.serve(connections=2)
        held = [await self.connect() for _ in range(2)]
        await self.until(lambda: self.server.connection_count() == 2)
        reader, _ = await self.connect()
        self.assertEqual(await self.code_from(reader), 301)
        held[0][1].close()
        await self.until(lambda: self.server.connection_count() == 1)
        async with httpx.AsyncClient(trust_env=False) as client:
            reply = await client.get(f"http://127.0.0.1:{self.server.port}/health")
        self.assertEqual(reply.status_code, 200)

    async def test_one_account_cannot_hold_all_calls(self):
        """An account at its limit gets 300; another is served."""
        await self.serve(calls_per_account=1)
        url = f"http://127.0.0.1:{self.server.port}/v1/requests"
        body = {
            "class": "fit",
            "key": "a",
            "declared_run_s": 1,
            "idempotent": True,
            "wait_s": 60,
        }
        async with httpx.AsyncClient(trust_env=False, timeout=60) as client:
            waiting = asyncio.create_task(client.post(url, json=body, headers=CLINIC))
            await self.until(lambda: self.entry.state.waiters.count() == 1)
            refused = await client.post(url, json=body, headers=CLINIC)
            served = await client.post(url, json=body | {"wait_s": 0}, headers=OTHER)
            self.entry.state.waiters.stop()
            await waiting
            again = await client.post(url, json=body, headers=CLINIC)
        self.assertEqual((refused.status_code, refused.json()["code"]), (429, 300))
        self.assertTrue(refused.json()["not_run"])
        self.assertEqual(refused.headers["retry-after"], "1")
        self.assertEqual((served.status_code, again.status_code), (200, 200))

    async def test_caller_that_goes_away_frees_its_place(self):
        """A long poll ends when its caller closes the connection."""
        await self.serve(wait_s=600.0)
        _, writer = await self.connect()
        body = json.dumps(
            {
                "class": "fit",
                "key": "a",
                "declared_run_s": 1,
                "idempotent": True,
                "wait_s": 60,
            }
        ).encode()
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await self.until(lambda: self.entry.state.waiters.count() == 1)
        writer.close()
        await self.until(lambda: self.entry.state.waiters.count() == 0)

    async def test_stopping_entry_refuses_new_calls_as_not_run(self):
        """A call that arrives during a shutdown gets 602."""
        await self.serve()
        self.entry.chain.stop_filter.refusing = True
        async with httpx.AsyncClient(trust_env=False) as client:
            url = f"http://127.0.0.1:{self.server.port}/v1/requests"
            reply = await client.post(url, json={}, headers=CLINIC)
        self.assertEqual((reply.status_code, reply.json()["code"]), (503, 602))
        self.assertTrue(reply.json()["not_run"])
