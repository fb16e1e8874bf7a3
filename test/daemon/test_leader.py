"""Tests of the entry's calls and session with control processes."""

import asyncio
import socket
import time
import unittest
import unittest.mock

import grpc

from persimmonyard.daemon.entry import leader as leader_module
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
from persimmonyard.state.commands import (
    CancelRequest,
    CommandResult,
    command_registry,
)
from persimmonyard.wire import (
    ConfigurationUpdate,
    LeaderBeat,
    NotLeader,
    Outcome,
    session_registry,
)
from persimmonyard.wire.generated import control_pb2, control_pb2_grpc

DEADLINE_S = 20.0


def outcome(request_id):
    """Return the outcome of a finished request."""
    return Outcome(request_id, "clinic", "finished", 0, "", False, True)


class FakeControl(control_pb2_grpc.ControlServicer):
    """A control process whose answers the test chooses."""

    def __init__(self):
        self.batches = []
        self.in_call = 0
        self.most_in_call = 0
        self.answer = self.accept
        self.ended = set()
        self.leads = True
        self.hint = ""
        self.beats = []
        self.queries = 0
        self.sessions = 0
        self.end_first = False
        self.thawed = asyncio.Event()
        self.thawed.set()

    def freeze(self):
        """Take calls and beats, and answer none of them."""
        self.thawed.clear()

    async def accept(self, commands):
        """Execute everything."""
        reply = control_pb2.ExecuteReply()
        for one in commands:
            result = CommandResult(request_id=one.request_id)
            reply.results.append(command_registry.encode(result))
        return reply

    async def Execute(self, request, context):  # noqa: N802
        commands = [command_registry.decode(one.command) for one in request.commands]
        self.batches.append(commands)
        await self.thawed.wait()
        if not self.leads:
            return control_pb2.ExecuteReply(code=601, leader_hint=self.hint)
        self.in_call += 1
        self.most_in_call = max(self.most_in_call, self.in_call)
        try:
            return await self.answer(commands)
        finally:
            self.in_call -= 1

    async def Query(self, request, context):  # noqa: N802
        self.queries += 1
        await self.thawed.wait()
        if not self.leads:
            return control_pb2.QueryReply(code=601, leader_hint=self.hint)
        return control_pb2.QueryReply(body=request.kind.encode())

    async def Session(self, request_iterator, context):  # noqa: N802
        if not self.leads:
            yield control_pb2.Envelope(
                body=session_registry.encode(NotLeader(self.hint))
            )
            return
        self.sessions += 1
        async for envelope in request_iterator:
            beat = session_registry.decode(envelope.body)
            self.beats.append(beat)
            await self.thawed.wait()
            ended = [outcome(one) for one in beat.watch if one in self.ended]
            reply = LeaderBeat(beat.sequence, 2.0, outcomes=tuple(ended))
            yield control_pb2.Envelope(body=session_registry.encode(reply))
            if self.sessions == 1 and self.end_first:
                return


async def serve(case, control):
    """Serve a fake control process; return its server and its address."""
    server = grpc.aio.server()
    control_pb2_grpc.add_ControlServicer_to_server(control, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    case.addAsyncCleanup(server.stop, None)
    return server, f"127.0.0.1:{port}"


class ClientCase(unittest.IsolatedAsyncioTestCase):
    def client(self, addresses, **options):
        """Return a client with a local state of its own."""
        self.state = LocalState()

        def make_beat(sequence):
            return self.state.make_beat("entry-1/x", "karen-bench", sequence, False)

        client = LeaderClient(addresses, make_beat, self.state.handle_beat, **options)
        self.addAsyncCleanup(client.close)
        return client

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(DEADLINE_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def code_of(self, work):
        """Return the code of the error that a call raises."""
        with self.assertRaises(PersimmonyardError) as caught:
            await work
        return caught.exception.code


class ExecuteTests(ClientCase):
    async def test_commands_share_calls(self):
        """A burst takes few calls, each with a bounded number of commands."""
        control = FakeControl()
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        work = [client.execute(CancelRequest(f"r-{n}", "a")) for n in range(1_000)]
        results = await asyncio.gather(*work)
        ids = [result.request_id for result in results]
        self.assertEqual(ids, [f"r-{n}" for n in range(1_000)])
        self.assertLess(len(control.batches), 100)
        self.assertLessEqual(max(len(batch) for batch in control.batches), 128)
        self.assertLessEqual(control.most_in_call, 8)

    async def test_answer_that_does_not_come_is_an_unknown_outcome(self):
        """A command that reached the leader is TIMEOUT, never not run."""
        control = FakeControl()

        async def stay_silent(commands):
            await asyncio.sleep(DEADLINE_S)

        control.answer = stay_silent
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        work = client.execute(CancelRequest("r-1", "a"), wait_s=0.5)
        self.assertEqual(await self.code_of(work), ResultCode.TIMEOUT)

    async def test_broken_connection_is_an_unknown_outcome(self):
        """A call that broke off in the middle may have been executed."""
        control = FakeControl()
        reached = asyncio.Event()

        async def stay_silent(commands):
            reached.set()
            await asyncio.sleep(DEADLINE_S)

        control.answer = stay_silent
        server, address = await serve(self, control)
        client = self.client({"control-1": address})
        work = asyncio.create_task(
            client.execute(CancelRequest("r-1", "a"), wait_s=2.0)
        )
        await reached.wait()
        await server.stop(None)
        self.assertEqual(await self.code_of(work), ResultCode.TIMEOUT)

    async def test_process_that_is_down_is_a_known_outcome(self):
        """Without any process that listens, the command was not executed."""
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        client = self.client({"control-1": f"127.0.0.1:{port}"})
        work = client.execute(CancelRequest("r-1", "a"), wait_s=1.0)
        self.assertEqual(await self.code_of(work), ResultCode.NO_LEADER)

    async def test_hint_leads_to_the_leader(self):
        """A process that does not lead is left for the one it names."""
        follower, leader = FakeControl(), FakeControl()
        follower.leads, follower.hint = False, "control-2"
        _, first = await serve(self, follower)
        _, second = await serve(self, leader)
        client = self.client({"control-1": first, "control-2": second})
        result = await client.execute(CancelRequest("r-1", "a"))
        self.assertEqual(result.request_id, "r-1")
        self.assertEqual(len(leader.batches), 1)

    async def test_refusal_after_an_unknown_outcome_is_unknown(self):
        """A refused resend does not say that the first was not recorded."""
        control = FakeControl()

        async def first_unknown_then_refused(commands):
            code = ResultCode.TIMEOUT
            if len(control.batches) > 1:
                code = ResultCode.QUEUE_FULL
            reply = control_pb2.ExecuteReply()
            reply.results.append(
                command_registry.encode(CommandResult.failed(code, "x"))
            )
            return reply

        control.answer = first_unknown_then_refused
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        work = client.execute(CancelRequest("r-1", "a"), account="a")
        self.assertEqual(await self.code_of(work), ResultCode.TIMEOUT)

    async def test_command_refused_inside_a_reply_goes_to_the_next_leader(self):
        """NOT_LEADER in a single result is sent again, not answered."""
        old, new = FakeControl(), FakeControl()

        async def lose_leadership(commands):
            old.leads, old.hint = False, "control-2"
            new.leads = True
            reply = control_pb2.ExecuteReply()
            for one in commands:
                result = CommandResult(request_id=one.request_id)
                if one.request_id == "r-2":
                    result = CommandResult.failed(ResultCode.NOT_LEADER, "x")
                reply.results.append(command_registry.encode(result))
            return reply

        old.answer = lose_leadership
        new.leads, new.hint = False, "control-1"
        _, first = await serve(self, old)
        _, second = await serve(self, new)
        client = self.client({"control-1": first, "control-2": second})
        work = [client.execute(CancelRequest(f"r-{n}", "a")) for n in (1, 2)]
        results = await asyncio.gather(*work)
        self.assertEqual([one.code for one in results], [0, 0])
        sent = [one.request_id for batch in new.batches for one in batch]
        self.assertEqual(sent[-1], "r-2")

    async def test_abandoned_command_is_not_sent(self):
        """A command whose caller went away before the call is dropped."""
        control = FakeControl()
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        work = asyncio.create_task(client.execute(CancelRequest("r-1", "a")))
        await asyncio.sleep(0)
        work.cancel()
        await client.execute(CancelRequest("r-2", "a"))
        sent = [one.request_id for batch in control.batches for one in batch]
        self.assertEqual(sent, ["r-2"])

    async def test_failover_causes_no_retry_storm(self):
        """While nobody leads, 500 waiting commands make a few calls."""
        control = FakeControl()
        control.leads = False
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        work = [
            asyncio.create_task(client.execute(CancelRequest(f"r-{n}", "a")))
            for n in range(500)
        ]
        await self.until(lambda: len(control.batches) >= 3)
        began = time.monotonic()
        before = len(control.batches)
        await asyncio.sleep(1.0)
        calls = len(control.batches) - before
        seconds = time.monotonic() - began
        self.assertLess(calls, 20 * seconds)
        control.leads = True
        results = await asyncio.gather(*work)
        self.assertEqual(len(results), 500)


class SessionTests(ClientCase):
    async def test_watch_sent_after_the_end_gets_the_outcome(self):
        """A request that ended before the watch still wakes the caller."""
        control = FakeControl()
        control.ended.add("r-1")
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        run = asyncio.create_task(client.run())
        self.addCleanup(run.cancel)
        await self.until(lambda: self.state.lease_valid())
        with self.state.waiters.add("r-1") as waiter:
            client.request_beat()
            found = await waiter.wait(DEADLINE_S)
        self.assertEqual(found.request_id, "r-1")

    async def test_caller_gets_its_answer_from_the_next_leader(self):
        """A watch is sent again to the leader of the next session."""
        first, second = FakeControl(), FakeControl()
        second.leads, second.hint = False, "control-1"
        server, address = await serve(self, first)
        _, other = await serve(self, second)
        client = self.client({"control-1": address, "control-2": other})
        run = asyncio.create_task(client.run())
        self.addCleanup(run.cancel)
        with self.state.waiters.add("r-1") as waiter:
            client.request_beat()
            await self.until(lambda: any(beat.watch for beat in first.beats))
            second.ended.add("r-1")
            second.leads = True
            await server.stop(None)
            found = await waiter.wait(DEADLINE_S)
        self.assertEqual(found.request_id, "r-1")

    async def test_call_to_a_frozen_leader_is_asked_again_at_the_next(self):
        """A call ends when the session moves on, not at its own time limit."""
        frozen, other = FakeControl(), FakeControl()
        other.leads, other.hint = False, "control-1"
        _, address = await serve(self, frozen)
        _, second = await serve(self, other)
        client = self.client({"control-1": address, "control-2": second})
        run = asyncio.create_task(client.run())
        self.addCleanup(run.cancel)
        await self.until(lambda: frozen.beats)
        frozen.freeze()
        with unittest.mock.patch.object(
            leader_module, "CALL_TIMEOUT_S", 10 * DEADLINE_S
        ):
            work = [
                asyncio.create_task(
                    client.execute(CancelRequest("r-1", "a"), wait_s=100.0)
                ),
                asyncio.create_task(client.query("status", wait_s=100.0)),
            ]
            await self.until(lambda: frozen.batches and frozen.queries)
            other.leads = True
            async with asyncio.timeout(DEADLINE_S):
                result, body = await asyncio.gather(*work)
        self.assertEqual(result.request_id, "r-1")
        self.assertEqual(body, b"status")

    async def test_cancelled_call_stays_cancelled(self):
        """The end of the caller is not taken for a change of the leader."""
        control = FakeControl()
        control.freeze()
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        work = asyncio.create_task(client.query("status", wait_s=100.0))
        await self.until(lambda: control.queries)
        work.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await work
        self.assertEqual(control.queries, 1)

    async def test_ended_session_takes_no_watch(self):
        """A watch is not lost in the stream that the leader has closed."""
        control = FakeControl()
        control.end_first = True
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        run = asyncio.create_task(client.run())
        self.addCleanup(run.cancel)
        await self.until(lambda: control.sessions == 2 and len(control.beats) >= 2)
        control.ended.add("r-1")
        with self.state.waiters.add("r-1") as waiter:
            client.request_beat()
            found = await waiter.wait(DEADLINE_S)
        self.assertIsNotNone(found)

    async def test_watches_are_sent_once_in_a_session(self):
        """Beats carry only the new watches, not the whole list."""
        control = FakeControl()
        _, address = await serve(self, control)
        client = self.client({"control-1": address})
        run = asyncio.create_task(client.run())
        self.addCleanup(run.cancel)
        with self.state.waiters.add("r-1"):
            await self.until(lambda: len(control.beats) >= 3)
        watched = [one for beat in control.beats for one in beat.watch]
        self.assertEqual(watched, ["r-1"])


class LocalStateTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.state = LocalState()

    def update(self, version, base, *zones, full=False):
        """Return an update that takes zones out of service."""
        changes = [ConfigurationChange(zone=ZoneSpec(name, False)) for name in zones]
        return ConfigurationUpdate(version, tuple(changes), full, base)

    def take(self, update, sequence=1, lease_s=60.0):
        beat = LeaderBeat(sequence, lease_s, update)
        return self.state.handle_beat(beat, time.monotonic())

    async def test_delta_that_follows_is_applied(self):
        """Deltas build on the local version."""
        self.assertTrue(self.take(self.update(3, 0, "a")))
        self.assertTrue(self.take(self.update(4, 3, "b")))
        self.assertEqual(self.state.configuration.version, 4)
        self.assertEqual(set(self.state.configuration.zone_by_name), {"a", "b"})

    async def test_delta_with_a_gap_asks_for_everything(self):
        """A missing change is never skipped, and gives no new lease."""
        self.take(self.update(3, 0, "a"), lease_s=0.0)
        self.assertFalse(self.take(self.update(6, 5, "b")))
        self.assertFalse(self.state.lease_valid())
        self.assertEqual(self.state.configuration.version, 3)
        beat = self.state.make_beat("e", "z", 1, False)
        self.assertEqual(beat.configuration_version, 0)
        self.assertTrue(self.take(self.update(6, 0, "a", "b")))
        beat = self.state.make_beat("e", "z", 2, False)
        self.assertEqual(beat.configuration_version, 6)

    async def test_older_version_is_never_taken(self):
        """A late full update does not turn the configuration back."""
        self.take(self.update(7, 0, "a"))
        self.take(self.update(5, 0, "b", full=True))
        self.assertEqual(self.state.configuration.version, 7)
        self.assertEqual(set(self.state.configuration.zone_by_name), {"a"})

    async def test_lease_counts_from_the_send_time(self):
        """A reply that took longer than the lease gives no lease."""
        beat = LeaderBeat(1, 2.0)
        self.state.handle_beat(beat, time.monotonic() - 2.5)
        self.assertFalse(self.state.lease_valid())

    async def test_push_extends_no_lease(self):
        """Only the answer to a beat of this entry is a lease."""
        self.state.handle_beat(LeaderBeat(0, 60.0), time.monotonic())
        self.assertFalse(self.state.lease_valid())

    async def test_removed_account_has_no_access(self):
        """A removed account's token stops working with the update."""
        account = ClientAccountSpec("a", (hash_token("t"),))
        added = ConfigurationChange(client_account=account)
        self.take(ConfigurationUpdate(1, (added,), False, 0))
        self.assertEqual(self.state.account_by_token("t").name, "a")
        removed = ConfigurationChange(remove="account/a")
        self.take(ConfigurationUpdate(2, (removed,), False, 1))
        self.assertIsNone(self.state.account_by_token("t"))

    async def test_heartbeat_lost_with_the_session_is_sent_again(self):
        """A heartbeat counts as delivered only when its beat is answered."""
        self.state.record_heartbeat("up-1", "a", 3.0)
        self.assertEqual(len(self.state.make_beat("e", "z", 4, False).heartbeats), 1)
        again = self.state.make_beat("e", "z", 1, False).heartbeats
        self.assertEqual([one.upstream_id for one in again], ["up-1"])
        self.assertEqual(again[0].accelerators_busy, 3.0)
        self.take(None, sequence=1)
        self.assertEqual(self.state.make_beat("e", "z", 1, False).heartbeats, ())

    async def test_newer_heartbeat_wins_over_a_lost_one(self):
        """An undelivered heartbeat does not replace one heard later."""
        self.state.record_heartbeat("up-1", "old")
        self.state.make_beat("e", "z", 4, False)
        self.state.record_heartbeat("up-1", "new")
        again = self.state.make_beat("e", "z", 1, False).heartbeats
        self.assertEqual([one.incarnation for one in again], ["new"])
