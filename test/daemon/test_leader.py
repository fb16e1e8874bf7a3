"""Tests of the entry's leader client and of its local state."""

import asyncio
import time
import unittest
import unittest.mock

import grpc

from persimmonyard.daemon.entry import leader as leader_module
from persimmonyard.daemon.entry import session_stream
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.tokens import hash_token
from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    PersimmonyardError,
    ResultCode,
    ZoneSpec,
)
from persimmonyard.standin.deployment import bind_free_port
from persimmonyard.state.commands import CancelRequest, CommandResult, command_codec
from persimmonyard.wire import (
    ConfigurationUpdate,
    LeaderBeat,
    NotLeader,
    Outcome,
    UpstreamHeartbeat,
    session_codec,
)
from persimmonyard.wire.generated import control_pb2, control_pb2_grpc

DEADLINE_S = 20.0


def make_outcome(request_id):
    """Return the outcome of a finished request."""
    return Outcome(request_id, "clinic", "finished", 0, "", False, True)


class FakeControlServicer(control_pb2_grpc.ControlServicer):
    """A control process whose behaviour the test controls.

    ``answer`` handles the commands of each call, ``ended`` has the requests
    whose outcome it reports, and ``hint`` is the leader that it names if
    ``leads`` is false.  ``next_leader`` is the leader to which it hands a
    session over after the first beat.
    """

    def __init__(self):
        self.batches = []
        self.calls_in_progress = 0
        self.max_calls_in_progress = 0
        self.answer = self.accept
        self.ended = set()
        self.leads = True
        self.hint = ""
        self.beats = []
        self.queries = 0
        self.sessions = 0
        self.end_first_session = False
        self.next_leader = ""
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()

    def freeze(self):
        """Receive calls and beats without answering any of them."""
        self.unfrozen.clear()

    async def accept(self, commands):
        """Answer each command with success."""
        reply = control_pb2.ExecuteReply()
        for command in commands:
            result = CommandResult(request_id=command.request_id)
            reply.results.append(command_codec.encode(result))
        return reply

    async def Execute(self, request, context):  # noqa: N802
        commands = [
            command_codec.decode(identified.command) for identified in request.commands
        ]
        self.batches.append(commands)
        await self.unfrozen.wait()
        if not self.leads:
            return control_pb2.ExecuteReply(code=601, leader_hint=self.hint)
        self.calls_in_progress += 1
        self.max_calls_in_progress = max(
            self.max_calls_in_progress, self.calls_in_progress
        )
        try:
            return await self.answer(commands)
        finally:
            self.calls_in_progress -= 1

    async def Query(self, request, context):  # noqa: N802
        self.queries += 1
        await self.unfrozen.wait()
        if not self.leads:
            return control_pb2.QueryReply(code=601, leader_hint=self.hint)
        return control_pb2.QueryReply(body=request.kind.encode())

    async def Session(self, request_iterator, context):  # noqa: N802
        if not self.leads:
            yield control_pb2.Envelope(body=session_codec.encode(NotLeader(self.hint)))
            return
        self.sessions += 1
        async for envelope in request_iterator:
            beat = session_codec.decode(envelope.body)
            self.beats.append(beat)
            await self.unfrozen.wait()
            ended = [
                make_outcome(watched_id)
                for watched_id in beat.watch
                if watched_id in self.ended
            ]
            reply = LeaderBeat(beat.sequence, 2.0, outcomes=tuple(ended))
            yield control_pb2.Envelope(body=session_codec.encode(reply))
            if self.next_leader:
                handed_over = NotLeader(self.next_leader)
                yield control_pb2.Envelope(body=session_codec.encode(handed_over))
                return
            if self.sessions == 1 and self.end_first_session:
                return


async def serve(case, control):
    """Serve a fake control process; return its server and its address."""
    server = grpc.aio.server()
    control_pb2_grpc.add_ControlServicer_to_server(control, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    case.addAsyncCleanup(server.stop, None)
    return server, f"127.0.0.1:{port}"


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    def make_client(self, addresses, **options):
        """Return a client with a local state of its own."""
        self.state = LocalState()

        def make_beat(sequence):
            return self.state.make_beat("entry-1/x", "karen-bench", sequence, False)

        client = LeaderClient(addresses, make_beat, self.state.handle_beat, **options)
        self.addAsyncCleanup(client.close)
        return client

    async def wait_until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(DEADLINE_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def connect(self, client):
        """Execute a command, so that the next ones find a connection."""
        await client.execute(CancelRequest("r-0", "a"), wait_s=DEADLINE_S)

    async def error_code_of(self, call):
        """Return the code of the error that a call raises."""
        with self.assertRaises(PersimmonyardError) as caught:
            await call
        return caught.exception.code


class ExecuteTests(ClientTestCase):
    async def test_commands_share_calls(self):
        """Guards against one call per command, and against unbounded batches.

        A burst of 1,000 commands is sent in fewer than 100 calls.
        """
        control = FakeControlServicer()
        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        pending_calls = [
            client.execute(CancelRequest(f"r-{n}", "a")) for n in range(1_000)
        ]
        results = await asyncio.gather(*pending_calls)
        ids = [result.request_id for result in results]
        self.assertEqual(ids, [f"r-{n}" for n in range(1_000)])
        self.assertLess(len(control.batches), 100)
        self.assertLessEqual(max(len(batch) for batch in control.batches), 128)
        self.assertLessEqual(control.max_calls_in_progress, 8)

    async def test_answer_that_does_not_come_is_an_unknown_outcome(self):
        """Guards against reporting "not run" for a command that may have run.

        The command reached the leader, which does not answer in time.
        """
        control = FakeControlServicer()

        async def never_answer(commands):
            await asyncio.sleep(DEADLINE_S)

        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        await self.connect(client)
        control.answer = never_answer
        call = client.execute(CancelRequest("r-1", "a"), wait_s=0.5)
        self.assertEqual(await self.error_code_of(call), ResultCode.TIMEOUT)

    async def test_broken_connection_is_an_unknown_outcome(self):
        """Guards against reporting "not run" after a broken connection.

        The server stops while it executes the call.
        """
        control = FakeControlServicer()
        reached = asyncio.Event()

        async def never_answer(commands):
            reached.set()
            await asyncio.sleep(DEADLINE_S)

        server, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        await self.connect(client)
        control.answer = never_answer
        call = asyncio.create_task(
            client.execute(CancelRequest("r-1", "a"), wait_s=2.0)
        )
        await asyncio.wait_for(reached.wait(), DEADLINE_S)
        await server.stop(None)
        self.assertEqual(await self.error_code_of(call), ResultCode.TIMEOUT)

    async def test_unreachable_process_is_a_known_outcome(self):
        """Guards against an unknown outcome for a command that was never sent.

        No process listens at the address.
        """
        with bind_free_port() as bound_socket:
            port = bound_socket.getsockname()[1]
            client = self.make_client({"control-1": f"127.0.0.1:{port}"})
            call = client.execute(CancelRequest("r-1", "a"), wait_s=1.0)
            self.assertEqual(await self.error_code_of(call), ResultCode.NO_LEADER)

    async def test_leader_hint_is_followed(self):
        """Guards against ignoring the leader hint of a follower."""
        follower, leader = FakeControlServicer(), FakeControlServicer()
        follower.leads, follower.hint = False, "control-2"
        _, first = await serve(self, follower)
        _, second = await serve(self, leader)
        client = self.make_client({"control-1": first, "control-2": second})
        result = await client.execute(CancelRequest("r-1", "a"))
        self.assertEqual(result.request_id, "r-1")
        self.assertEqual(len(leader.batches), 1)

    async def test_refusal_after_an_unknown_outcome_is_unknown(self):
        """Guards against reporting a refused resend as a refusal.

        The first send has an unknown outcome, so it may have been recorded.
        """
        control = FakeControlServicer()

        async def first_unknown_then_refused(commands):
            code = ResultCode.TIMEOUT
            if len(control.batches) > 1:
                code = ResultCode.QUEUE_FULL
            reply = control_pb2.ExecuteReply()
            reply.results.append(command_codec.encode(CommandResult.failed(code, "x")))
            return reply

        control.answer = first_unknown_then_refused
        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        call = client.execute(CancelRequest("r-1", "a"), account="a")
        self.assertEqual(await self.error_code_of(call), ResultCode.TIMEOUT)

    async def test_command_refused_inside_a_reply_goes_to_the_next_leader(self):
        """Guards against returning a single NOT_LEADER result to the caller.

        The leader loses its leadership in the middle of a batch, so the
        command must be sent to the next leader.
        """
        old, new = FakeControlServicer(), FakeControlServicer()

        async def lose_leadership(commands):
            old.leads, old.hint = False, "control-2"
            new.leads = True
            reply = control_pb2.ExecuteReply()
            for command in commands:
                result = CommandResult(request_id=command.request_id)
                if command.request_id == "r-2":
                    result = CommandResult.failed(ResultCode.NOT_LEADER, "x")
                reply.results.append(command_codec.encode(result))
            return reply

        old.answer = lose_leadership
        new.leads, new.hint = False, "control-1"
        _, first = await serve(self, old)
        _, second = await serve(self, new)
        client = self.make_client({"control-1": first, "control-2": second})
        pending_calls = [client.execute(CancelRequest(f"r-{n}", "a")) for n in (1, 2)]
        results = await asyncio.gather(*pending_calls)
        self.assertEqual([result.code for result in results], [0, 0])
        sent = [command.request_id for batch in new.batches for command in batch]
        self.assertEqual(sent[-1], "r-2")

    async def test_cancelled_command_is_not_sent(self):
        """Guards against executing a command that its caller has cancelled.

        The caller is cancelled while the command waits to be sent.
        """
        control = FakeControlServicer()
        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        call = asyncio.create_task(client.execute(CancelRequest("r-1", "a")))
        await asyncio.sleep(0)
        call.cancel()
        await client.execute(CancelRequest("r-2", "a"))
        sent = [command.request_id for batch in control.batches for command in batch]
        self.assertEqual(sent, ["r-2"])

    async def test_failover_causes_no_retry_storm(self):
        """Guards against a retry storm during a failover.

        500 commands wait while there is no leader, and the calls stay below
        20 per second.
        """
        control = FakeControlServicer()
        control.leads = False
        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        pending_calls = [
            asyncio.create_task(client.execute(CancelRequest(f"r-{n}", "a")))
            for n in range(500)
        ]
        await self.wait_until(lambda: len(control.batches) >= 3)
        started_at = time.monotonic()
        before = len(control.batches)
        await asyncio.sleep(1.0)
        calls = len(control.batches) - before
        seconds = time.monotonic() - started_at
        self.assertLess(calls, 20 * seconds)
        control.leads = True
        results = await asyncio.gather(*pending_calls)
        self.assertEqual(len(results), 500)


class SessionTests(ClientTestCase):
    async def test_watch_sent_after_the_end_gets_the_outcome(self):
        """Guards against losing an outcome that precedes its watch."""
        control = FakeControlServicer()
        control.ended.add("r-1")
        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        session_task = asyncio.create_task(client.run())
        self.addCleanup(session_task.cancel)
        await self.wait_until(lambda: self.state.lease_valid())
        with self.state.waiters.add("r-1") as waiter:
            client.request_beat()
            found = await waiter.wait(DEADLINE_S)
        self.assertEqual(found.request_id, "r-1")

    async def test_caller_gets_its_answer_from_the_next_leader(self):
        """Guards against losing watches in a failover.

        The request ends under a new leader, so the next session must watch it
        again.
        """
        first, second = FakeControlServicer(), FakeControlServicer()
        second.leads, second.hint = False, "control-1"
        server, address = await serve(self, first)
        _, other = await serve(self, second)
        client = self.make_client({"control-1": address, "control-2": other})
        session_task = asyncio.create_task(client.run())
        self.addCleanup(session_task.cancel)
        with self.state.waiters.add("r-1") as waiter:
            client.request_beat()
            await self.wait_until(lambda: any(beat.watch for beat in first.beats))
            second.ended.add("r-1")
            second.leads = True
            await server.stop(None)
            found = await waiter.wait(DEADLINE_S)
        self.assertEqual(found.request_id, "r-1")

    async def test_session_that_was_handed_over_is_reopened_at_once(self):
        """Guards against a lease that expires during a planned stop.

        Once the first session is open, the backoff is longer than the test, so
        the session has to follow the name of the next leader without it.
        """
        first, second = FakeControlServicer(), FakeControlServicer()
        _, address = await serve(self, first)
        _, other = await serve(self, second)
        client = self.make_client({"control-1": address, "control-2": other})
        second.leads, second.hint = False, "control-1"
        # A stall of this process must not end the first session.
        timeout = unittest.mock.patch.object(
            session_stream, "SESSION_TIMEOUT_S", DEADLINE_S
        )
        timeout.start()
        self.addCleanup(timeout.stop)
        session_task = asyncio.create_task(client.run())
        self.addCleanup(session_task.cancel)
        await self.wait_until(lambda: first.beats)
        delay_s = (10 * DEADLINE_S, 10 * DEADLINE_S)
        with unittest.mock.patch.object(session_stream, "RECONNECT_DELAY_S", delay_s):
            second.leads = True
            first.next_leader = "control-2"
            client.request_beat()
            await self.wait_until(lambda: second.beats)

    async def test_call_to_frozen_leader_is_retried_at_next_leader(self):
        """Guards against calls that wait for a frozen leader until a timeout.

        They must be sent to the next leader as soon as the session has found
        it.
        """
        frozen, other = FakeControlServicer(), FakeControlServicer()
        other.leads, other.hint = False, "control-1"
        _, address = await serve(self, frozen)
        _, second = await serve(self, other)
        client = self.make_client({"control-1": address, "control-2": second})
        session_task = asyncio.create_task(client.run())
        self.addCleanup(session_task.cancel)
        await self.wait_until(lambda: frozen.beats)
        frozen.freeze()
        with unittest.mock.patch.object(
            leader_module, "CALL_TIMEOUT_S", 10 * DEADLINE_S
        ):
            pending_calls = [
                asyncio.create_task(
                    client.execute(CancelRequest("r-1", "a"), wait_s=100.0)
                ),
                asyncio.create_task(client.query("status", wait_s=100.0)),
            ]
            await self.wait_until(lambda: frozen.batches and frozen.queries)
            other.leads = True
            async with asyncio.timeout(DEADLINE_S):
                result, body = await asyncio.gather(*pending_calls)
        self.assertEqual(result.request_id, "r-1")
        self.assertEqual(body, b"status")

    async def test_cancelled_call_stays_cancelled(self):
        """Guards against retrying a call whose caller was cancelled.

        A change of the leader also cancels the gRPC call, so the two causes
        must be told apart.
        """
        control = FakeControlServicer()
        control.freeze()
        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        call = asyncio.create_task(client.query("status", wait_s=100.0))
        await self.wait_until(lambda: control.queries)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        self.assertEqual(control.queries, 1)

    async def test_watch_is_not_lost_in_ended_session(self):
        """Guards against losing a watch in a stream that was closed.

        grpcio keeps consuming the beats of such a stream.
        """
        control = FakeControlServicer()
        control.end_first_session = True
        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        session_task = asyncio.create_task(client.run())
        self.addCleanup(session_task.cancel)
        await self.wait_until(lambda: control.sessions == 2 and len(control.beats) >= 2)
        control.ended.add("r-1")
        with self.state.waiters.add("r-1") as waiter:
            client.request_beat()
            found = await waiter.wait(DEADLINE_S)
        self.assertIsNotNone(found)

    async def test_watches_are_sent_once_in_a_session(self):
        """Guards against beats that repeat all watches.

        A slow answer may not end the session, as the next one repeats them.
        """
        timeout = unittest.mock.patch.object(
            session_stream, "SESSION_TIMEOUT_S", DEADLINE_S
        )
        timeout.start()
        self.addCleanup(timeout.stop)
        control = FakeControlServicer()
        _, address = await serve(self, control)
        client = self.make_client({"control-1": address})
        session_task = asyncio.create_task(client.run())
        self.addCleanup(session_task.cancel)
        with self.state.waiters.add("r-1"):
            await self.wait_until(lambda: len(control.beats) >= 3)
        self.assertEqual(control.sessions, 1)
        watched = [watched_id for beat in control.beats for watched_id in beat.watch]
        self.assertEqual(watched, ["r-1"])


class LocalStateTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.state = LocalState()

    def make_update(self, version, base, *zones, full=False):
        """Return a configuration update that takes zones out of service."""
        changes = [ConfigurationChange(zone=ZoneSpec(name, False)) for name in zones]
        return ConfigurationUpdate(version, tuple(changes), full, base)

    def handle_update(self, update, sequence=1, lease_s=60.0):
        beat = LeaderBeat(sequence, lease_s, update)
        return self.state.handle_beat(beat, time.monotonic())

    async def test_consecutive_update_is_applied(self):
        """Guards against rejecting updates that continue the local version."""
        self.assertTrue(self.handle_update(self.make_update(3, 0, "a")))
        self.assertTrue(self.handle_update(self.make_update(4, 3, "b")))
        self.assertEqual(self.state.configuration.version, 4)
        self.assertEqual(set(self.state.configuration.zone_by_name), {"a", "b"})

    async def test_update_with_a_gap_requests_full_update(self):
        """Guards against skipping a lost configuration change.

        The update must be refused without a new lease, and the next beat must
        request the full configuration.
        """
        self.handle_update(self.make_update(3, 0, "a"), lease_s=0.0)
        self.assertFalse(self.handle_update(self.make_update(6, 5, "b")))
        self.assertFalse(self.state.lease_valid())
        self.assertEqual(self.state.configuration.version, 3)
        beat = self.state.make_beat("e", "z", 1, False)
        self.assertEqual(beat.configuration_version, 0)
        self.assertTrue(self.handle_update(self.make_update(6, 0, "a", "b")))
        beat = self.state.make_beat("e", "z", 2, False)
        self.assertEqual(beat.configuration_version, 6)

    async def test_older_version_is_never_applied(self):
        """Guards against reverting to an older version after a late update."""
        self.handle_update(self.make_update(7, 0, "a"))
        self.handle_update(self.make_update(5, 0, "b", full=True))
        self.assertEqual(self.state.configuration.version, 7)
        self.assertEqual(set(self.state.configuration.zone_by_name), {"a"})

    async def test_lease_counts_from_the_send_time(self):
        """Guards against a lease that counts from the receipt of the reply.

        The reply took longer than the lease.
        """
        beat = LeaderBeat(1, 2.0)
        self.state.handle_beat(beat, time.monotonic() - 2.5)
        self.assertFalse(self.state.lease_valid())

    async def test_push_extends_no_lease(self):
        """Guards against extending the lease by a push.

        Only the answer to a beat extends it.
        """
        self.state.handle_beat(LeaderBeat(0, 60.0), time.monotonic())
        self.assertFalse(self.state.lease_valid())

    async def test_removed_account_has_no_access(self):
        """Guards against accepting the token of a removed account."""
        account = ClientAccountSpec("a", (hash_token("t"),))
        added = ConfigurationChange(client_account=account)
        self.handle_update(ConfigurationUpdate(1, (added,), False, 0))
        self.assertEqual(self.state.account_of_token("t").name, "a")
        removed = ConfigurationChange(remove="account/a")
        self.handle_update(ConfigurationUpdate(2, (removed,), False, 1))
        self.assertIsNone(self.state.account_of_token("t"))

    async def test_heartbeat_lost_with_the_session_is_sent_again(self):
        """Guards against losing upstream heartbeats when a session breaks.

        A heartbeat counts as delivered only when its beat is answered.
        """
        self.state.record_heartbeat(UpstreamHeartbeat("up-1", "a", 0.0, 3, 1.5))
        self.assertEqual(len(self.state.make_beat("e", "z", 4, False).heartbeats), 1)
        again = self.state.make_beat("e", "z", 1, False).heartbeats
        self.assertEqual([heartbeat.upstream_id for heartbeat in again], ["up-1"])
        self.assertEqual((again[0].busy_slots, again[0].usage_age_s), (3, 1.5))
        self.handle_update(None, sequence=1)
        self.assertEqual(self.state.make_beat("e", "z", 1, False).heartbeats, ())

    async def test_undelivered_heartbeat_does_not_replace_a_newer_one(self):
        """Guards against replacing a newer heartbeat by an undelivered one."""
        self.state.record_heartbeat(UpstreamHeartbeat("up-1", "old", 0.0))
        self.state.make_beat("e", "z", 4, False)
        self.state.record_heartbeat(UpstreamHeartbeat("up-1", "new", 0.0))
        again = self.state.make_beat("e", "z", 1, False).heartbeats
        self.assertEqual([heartbeat.incarnation for heartbeat in again], ["new"])
