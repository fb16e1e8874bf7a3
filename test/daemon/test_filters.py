"""Tests of the filter chain and the HTTP server over real sockets."""

import asyncio
import json
import socket
import unittest
from unittest import mock

import httpx
import msgspec

from persimmonyard.daemon import http_protocol
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.intake import Intake
from test.daemon.fakes import CLINIC_HEADERS, OTHER_HEADERS, EntryHarness

DEADLINE_S = 20.0
REQUEST_HEAD = (
    b"POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer clinic-token\r\n"
)


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    async def serve(self, connections=64, headers_s=5.0, **limits):
        """Serve an entry with the given limits."""
        self.entry = EntryHarness(**limits)
        intake = Intake(
            msgspec.structs.replace(
                self.entry.settings.intake_limits(),
                connections=connections,
                head_s=headers_s,
                unread_answer_s=headers_s,
            )
        )
        self.server = HttpServer(self.entry.app, "127.0.0.1", 0, 5.0, intake)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_error_code(self, reader):
        """Return the code in the error that a connection sends."""
        data = await asyncio.wait_for(reader.read(65_536), DEADLINE_S)
        head, _, body = data.partition(b"\r\n\r\n")
        if not body:
            body = await asyncio.wait_for(reader.read(65_536), DEADLINE_S)
        self.assertIn(b"application/json", head.lower())
        return json.loads(body)["code"]

    async def wait_until(self, condition):
        async with asyncio.timeout(DEADLINE_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)


class SlowCallerTests(ServerTestCase):
    async def test_slow_headers_end_the_connection(self):
        """Guards against connections held open by unfinished headers.

        The connection is closed with error 304 after the header timeout.
        """
        await self.serve(headers_s=0.2)
        reader, writer = await self.connect()
        writer.write(b"POST /v1/req")
        self.assertEqual(await self.read_error_code(reader), 304)
        self.assertEqual(await reader.read(), b"")

    async def test_silent_connection_is_closed(self):
        """Guards against connections that are held open without any data."""
        await self.serve(headers_s=0.2)
        reader, _ = await self.connect()
        self.assertEqual(await self.read_error_code(reader), 304)

    async def test_slow_body_is_refused(self):
        """Guards against calls that are held open by a body that never ends.

        The call fails with error 304 after the body timeout.
        """
        await self.serve(body_s=0.2)
        reader, writer = await self.connect()
        writer.write(REQUEST_HEAD + b"Content-Length: 100\r\n\r\n{")
        self.assertEqual(await self.read_error_code(reader), 304)

    async def test_body_without_length_is_bounded_while_reading(self):
        """Guards against reading a chunked body of any size into memory.

        Such a body declares no length, so it is refused while being read.
        """
        await self.serve(body_bytes=10_000)
        reader, writer = await self.connect()
        writer.write(REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        chunk = b"2000\r\n" + b" " * 0x2000 + b"\r\n"
        writer.write(chunk + chunk)
        self.assertEqual(await self.read_error_code(reader), 104)

    async def test_declared_length_is_refused_before_the_body(self):
        """Guards against reading a body whose declared length is too large."""
        await self.serve(body_bytes=10_000)
        reader, writer = await self.connect()
        writer.write(REQUEST_HEAD + b"Content-Length: 10001\r\n\r\n")
        self.assertEqual(await self.read_error_code(reader), 104)

    async def test_non_http_bytes_get_a_json_error(self):
        """Guards against a plain-text error of the HTTP server.

        Bytes that are not HTTP also get an error in the documented JSON form.
        """
        await self.serve()
        reader, writer = await self.connect()
        writer.write(b"nonsense\r\n\r\n")
        self.assertEqual(await self.read_error_code(reader), 100)


class StopTests(ServerTestCase):
    REQUEST = b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"

    async def test_new_connection_may_send_first_call_during_stop(self):
        """Guards against closing an idle connection at the start of a stop.

        A caller that has just connected may still send its first call.
        """
        await self.serve()
        reader, writer = await self.connect()
        await self.wait_until(lambda: self.server.connection_count() == 1)
        stop = asyncio.create_task(self.server.stop())
        await asyncio.sleep(0.3)
        writer.write(self.REQUEST)
        answer = await asyncio.wait_for(reader.read(), DEADLINE_S)
        self.assertIn(b"lease_valid", answer)
        await asyncio.wait_for(stop, DEADLINE_S)

    async def test_new_connection_may_send_first_call_late(self):
        """Guards against cutting off a caller without processor time.

        A caller has connected shortly before the stop and sends its call
        later than a connection may that was opened long ago.
        """
        await self.serve()
        reader, writer = await self.connect()
        await self.wait_until(lambda: self.server.connection_count() == 1)
        stop = asyncio.create_task(self.server.stop())
        await asyncio.sleep(http_protocol.FIRST_CALL_TIMEOUT_S + 0.5)
        writer.write(self.REQUEST)
        answer = await asyncio.wait_for(reader.read(), DEADLINE_S)
        self.assertIn(b"lease_valid", answer)
        await asyncio.wait_for(stop, DEADLINE_S)

    @mock.patch.object(http_protocol, "NEW_CONNECTION_TIMEOUT_S", 600.0)
    async def test_old_connection_is_refused_before_a_new_one(self):
        """Guards against a stop that waits long for unused connections.

        A connection that was opened long ago gets a refusal, which its caller
        reads also if it sends a call after the server has stopped.
        """
        await self.serve()
        caller = socket.create_connection(("127.0.0.1", self.server.port))
        self.addCleanup(caller.close)
        await self.wait_until(lambda: self.server.connection_count() == 1)
        (connection,) = self.server._server.server_state.connections
        connection._opened_at -= 600.0
        await self.server.stop()
        caller.settimeout(DEADLINE_S)
        caller.sendall(self.REQUEST)
        head, _, body = caller.recv(65_536).partition(b"\r\n\r\n")
        self.assertIn(b" 503 ", head)
        self.assertEqual(json.loads(body)["code"], 602)

    async def test_queued_connection_is_accepted_before_the_listener_closes(self):
        """Guards against dropping connections in the kernel's accept queue.

        The connection is established before the listener closes, but the
        server has not accepted it yet.
        """
        await self.serve()
        await self.wait_until(lambda: self.server._server.started)
        # No await until the listener is closed, so that the event loop cannot
        # accept the connection earlier.
        caller = socket.create_connection(("127.0.0.1", self.server.port))
        self.addCleanup(caller.close)
        caller.sendall(self.REQUEST)
        self.server.stop_listening()
        caller.settimeout(DEADLINE_S)
        answer = await asyncio.to_thread(caller.recv, 65_536)
        self.assertIn(b"200 OK", answer)


class SocketTests(ServerTestCase):
    async def test_caller_that_does_not_read_is_cut_off(self):
        """Guards against connections held open by callers that do not read.

        The test pauses writing, as the transport does when its buffer is full.
        """
        await self.serve(headers_s=0.2)
        await self.connect()
        await self.wait_until(lambda: self.server.connection_count() == 1)
        (connection,) = self.server._server.server_state.connections
        connection._cancel_arrival_timer()
        connection.pause_writing()
        await self.wait_until(lambda: self.server.connection_count() == 0)

    async def test_nagle_algorithm_is_disabled(self):
        """Guards against delays by Nagle's algorithm.

        Without TCP_NODELAY, the body waits for the ACK of the headers.
        """
        await self.serve()
        await self.connect()
        await self.wait_until(lambda: self.server.connection_count() == 1)
        (connection,) = self.server._server.server_state.connections
        accepted = connection.transport.get_extra_info("socket")
        value = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertNotEqual(value, 0)


class LimitTests(ServerTestCase):
    async def test_connections_are_limited(self):
        """Guards against an unlimited number of connections.

        One above the limit gets error 301; a closed one frees its place.
        """
        await self.serve(connections=2)
        held = [await self.connect() for _ in range(2)]
        await self.wait_until(lambda: self.server.connection_count() == 2)
        reader, _ = await self.connect()
        self.assertEqual(await self.read_error_code(reader), 301)
        held[0][1].close()
        await self.wait_until(lambda: self.server.connection_count() == 1)
        async with httpx.AsyncClient(trust_env=False) as client:
            reply = await client.get(f"http://127.0.0.1:{self.server.port}/health")
        self.assertEqual(reply.status_code, 200)

    async def test_one_account_cannot_hold_all_calls(self):
        """Guards against one account occupying all calls of an entry.

        An account at its limit gets error 300, while another is served.
        """
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
            waiting = asyncio.create_task(
                client.post(url, json=body, headers=CLINIC_HEADERS)
            )
            await self.wait_until(lambda: self.entry.state.waiters.count() == 1)
            refused = await client.post(url, json=body, headers=CLINIC_HEADERS)
            served = await client.post(
                url, json=body | {"wait_s": 0}, headers=OTHER_HEADERS
            )
            self.entry.state.waiters.stop()
            await waiting
            again = await client.post(url, json=body, headers=CLINIC_HEADERS)
        self.assertEqual((refused.status_code, refused.json()["code"]), (429, 300))
        self.assertTrue(refused.json()["not_run"])
        self.assertEqual(refused.headers["retry-after"], "1")
        self.assertEqual((served.status_code, again.status_code), (200, 200))

    async def test_disconnected_caller_stops_waiting(self):
        """Guards against long polls that outlive their caller.

        The caller closes the connection while it waits for an outcome.
        """
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
        writer.write(REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await self.wait_until(lambda: self.entry.state.waiters.count() == 1)
        writer.close()
        await self.wait_until(lambda: self.entry.state.waiters.count() == 0)

    async def test_stopping_entry_refuses_new_calls_as_not_run(self):
        """Guards against accepting calls during a shutdown.

        Such a call gets error 602, which says that the request was not run.
        """
        await self.serve()
        self.entry.chain.stop_filter.refusing = True
        async with httpx.AsyncClient(trust_env=False) as client:
            url = f"http://127.0.0.1:{self.server.port}/v1/requests"
            reply = await client.post(url, json={}, headers=CLINIC_HEADERS)
        self.assertEqual((reply.status_code, reply.json()["code"]), (503, 602))
        self.assertTrue(reply.json()["not_run"])
