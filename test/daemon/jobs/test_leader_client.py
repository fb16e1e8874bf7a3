"""Tests of the client for the control leader."""

import asyncio
import unittest
from unittest import mock

import grpc
import msgspec

from persimmonyard.daemon.jobs import leader_client
from persimmonyard.daemon.jobs.leader_client import LeaderClient
from persimmonyard.daemon.jobs.rpc import (
    CallReply,
    JobCall,
    OperatorCall,
    Outcome,
    Probe,
    Verb,
    ZoneOrder,
    call_handler,
)
from persimmonyard.replication import boottime_now
from persimmonyard.standin.deployment import bind_free_port
from test.jobs.fixtures import job, step

# Calls that have to end by their own deadline are short, so they are made only
# once there is a connection, for which a busy machine has this long.
CONNECT_DEADLINE_S = 20.0
SUBMIT_CALL = JobCall(Verb.SUBMIT, "h.example", "/p/5c0e7a21d94b36f8", "key-1")


class LeaderClientTests(unittest.IsolatedAsyncioTestCase):
    def client(self, *ports):
        client = LeaderClient([f"127.0.0.1:{port}" for port in ports])
        self.addAsyncCleanup(client.close)
        return client

    async def serve(self, answer):
        server = grpc.aio.server()
        server.add_generic_rpc_handlers((call_handler(answer),))
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        return port

    async def test_call_that_cannot_be_encoded_is_invalid(self):
        """Guards against a value in one call that breaks the connection.

        The other calls on the connection to the leader would fail with it.
        """

        async def answer(call, context):
            return CallReply(Outcome.OK)

        client = self.client(await self.serve(answer))
        self.assertEqual(Outcome.OK, (await client.call(SUBMIT_CALL, 5.0)).outcome)
        channels = dict(client._channel_by_address)
        for odd_call in (
            msgspec.structs.replace(SUBMIT_CALL, key="\ud800"),
            msgspec.structs.replace(SUBMIT_CALL, job=job(step(estimate_ms=2**70))),
        ):
            reply = await client.call(odd_call, 5.0)
            self.assertEqual(Outcome.INVALID, reply.outcome)
        reply = await client.forward(ZoneOrder("\ud800", True), 5.0)
        self.assertEqual(Outcome.INVALID, reply.outcome)
        self.assertEqual(channels, client._channel_by_address)

    async def test_members_are_learned_from_a_leader_that_answers_calls(self):
        """Guards against an entry that finds no leader for good.

        One control process after another is replaced, the leader last, while
        the leader answers calls all the time, whose answers name no members.
        """
        members = ()

        async def lead(call, context):
            if isinstance(call, Probe):
                return CallReply(Outcome.OK, members=members)
            return CallReply(Outcome.OK)

        leader = grpc.aio.server()
        leader.add_generic_rpc_handlers((call_handler(lead),))
        port = leader.add_insecure_port("127.0.0.1:0")
        await leader.start()
        self.addAsyncCleanup(leader.stop, 0)
        client = self.client(port)
        self.assertEqual(Outcome.OK, (await client.call(SUBMIT_CALL, 5.0)).outcome)
        members = (f"127.0.0.1:{await self.serve(lead)}",)
        with mock.patch.object(leader_client, "_MEMBERS_INTERVAL_S", 0.0, create=True):
            async with asyncio.timeout(CONNECT_DEADLINE_S):
                while members[0] not in client._known_addresses:
                    await client.call(SUBMIT_CALL, 5.0)
        await leader.stop(0)
        self.assertEqual(Outcome.OK, (await client.call(SUBMIT_CALL, 5.0)).outcome)

    async def test_replaced_members_are_forgotten(self):
        """Guards against calls that try each member that there ever was."""
        port = 0

        async def lead(call, context):
            return CallReply(Outcome.OK, members=(f"127.0.0.1:{port}",))

        port = await self.serve(lead)
        client = self.client(port)
        client._known_addresses += ["127.0.0.9:1", "127.0.0.9:2"]
        async with asyncio.timeout(CONNECT_DEADLINE_S):
            while not await client.probe(1.0):
                pass
        self.assertEqual([f"127.0.0.1:{port}"], client._known_addresses)

    async def test_call_that_was_not_sent_is_not_in_doubt(self):
        """Guards against the outcome "unknown" for a call that is not sent."""
        reserved_socket = bind_free_port()
        self.addCleanup(reserved_socket.close)
        client = self.client(reserved_socket.getsockname()[1])
        reply = await client.call(SUBMIT_CALL, 0.5)
        self.assertEqual(Outcome.NOT_LEADER, reply.outcome)

    async def test_silent_instance_is_not_in_doubt(self):
        """Guards against the outcome "unknown" without a connection.

        An instance that accepts the TCP connection but never answers has not
        received the call.
        """
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = self.client(server.sockets[0].getsockname()[1])
        reply = await client.call(SUBMIT_CALL, 0.7)
        self.assertEqual(Outcome.NOT_LEADER, reply.outcome)

    async def test_lost_leader_is_told_before_the_deadline(self):
        """Guards against callers that are held although nobody leads.

        Other calls of processes go on until their own deadline.
        """

        async def follow(call, context):
            return CallReply(Outcome.NOT_LEADER)

        address = f"127.0.0.1:{await self.serve(follow)}"
        client = LeaderClient([address], failover_s=0.2)
        self.addAsyncCleanup(client.close)
        call = client.call(SUBMIT_CALL, 600.0)
        reply = await asyncio.wait_for(call, 60.0)
        self.assertEqual(Outcome.NOT_LEADER, reply.outcome)
        probe = asyncio.create_task(client.call(Probe(), 600.0))
        done, _ = await asyncio.wait({probe}, timeout=1.0)
        self.assertEqual(set(), done)
        probe.cancel()

    async def test_call_that_was_received_stays_in_doubt(self):
        """Guards against "not leader" for a call that a process received."""
        received = []

        async def receive(call, context):
            if isinstance(call, Probe):
                return CallReply(Outcome.OK)
            received.append(call)
            return await asyncio.sleep(60.0)

        client = self.client(await self.serve(receive))
        self.assertTrue(await client.probe(CONNECT_DEADLINE_S))
        reply = await client.call(SUBMIT_CALL, 2.0)
        self.assertTrue(received)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)

    async def test_refusal_after_a_call_in_doubt_stays_in_doubt(self):
        """Guards against a refused job that runs.

        The first attempt is without an answer and may still be executed.
        """
        outcomes = [Outcome.UNKNOWN]

        async def lead(call, context):
            if isinstance(call, Probe):
                return CallReply(Outcome.OK)
            return CallReply(outcomes.pop() if outcomes else Outcome.REFUSED)

        client = self.client(await self.serve(lead))
        reply = await client.call(SUBMIT_CALL, CONNECT_DEADLINE_S)
        self.assertEqual(([], Outcome.UNKNOWN), (outcomes, reply.outcome))
        reply = await client.call(SUBMIT_CALL, CONNECT_DEADLINE_S)
        self.assertEqual(Outcome.REFUSED, reply.outcome)

    async def test_rejection_after_a_submission_in_doubt_stays_in_doubt(self):
        """Guards against a rejected job that runs.

        Its key or route is withdrawn between the two attempts, or its account
        has too many jobs with this one.
        """
        outcomes = []

        async def lead(call, context):
            if isinstance(call, Probe):
                return CallReply(Outcome.OK)
            return CallReply(outcomes.pop())

        client = self.client(await self.serve(lead))
        for outcome in (
            Outcome.UNAUTHENTICATED,
            Outcome.NO_ROUTE,
            Outcome.TOO_MANY,
            Outcome.INVALID,
            Outcome.NO_CONFIGURATION,
        ):
            outcomes[:] = [outcome, Outcome.UNKNOWN]
            reply = await client.call(SUBMIT_CALL, CONNECT_DEADLINE_S)
            self.assertEqual(([], Outcome.UNKNOWN), (outcomes, reply.outcome))
            outcomes[:] = [outcome]
            reply = await client.call(SUBMIT_CALL, CONNECT_DEADLINE_S)
            self.assertEqual(outcome, reply.outcome)
        read_call = msgspec.structs.replace(SUBMIT_CALL, verb=Verb.READ)
        outcomes[:] = [Outcome.NO_JOB, Outcome.UNKNOWN]
        reply = await client.call(read_call, CONNECT_DEADLINE_S)
        self.assertEqual(Outcome.NO_JOB, reply.outcome)

    async def test_silent_instance_leaves_time_for_the_leader(self):
        """Guards against a call that waits for an unreachable instance.

        The call must reach the leader before its deadline.
        """

        async def lead(call, context):
            return CallReply(Outcome.OK)

        silent_server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.addCleanup(silent_server.close)
        leader_port = await self.serve(lead)
        client = self.client(silent_server.sockets[0].getsockname()[1], leader_port)
        reply = await client.call(SUBMIT_CALL, 10.0)
        self.assertEqual(Outcome.OK, reply.outcome)

    async def test_call_moves_from_a_silent_leader_to_its_successor(self):
        """Guards against a call that waits for a leader that was replaced."""
        suspended = asyncio.Event()

        async def first(call, context):
            if suspended.is_set():
                await asyncio.sleep(60.0)
            return CallReply(Outcome.OK)

        async def second(call, context):
            return CallReply(Outcome.OK if suspended.is_set() else Outcome.NOT_LEADER)

        client = self.client(await self.serve(first), await self.serve(second))
        self.assertEqual(Outcome.OK, (await client.call(SUBMIT_CALL, 10.0)).outcome)
        suspended.set()
        with mock.patch.object(leader_client, "_ATTEMPT_TIMEOUT_S", 30.0):
            reply = await client.call(SUBMIT_CALL, 30.0)
        self.assertEqual(Outcome.OK, reply.outcome)

    async def test_held_calls_are_sent_in_the_order_of_their_arrival(self):
        """Guards against a call that overtakes one that waits for a leader.

        The caller would see the state of the leader go back: the earlier call
        is answered later and with a newer configuration.  One address does
        not answer, as that of an instance without power.
        """
        leads = False
        keys = [f"key-{number}" for number in range(20)]
        received = []

        async def answer(call, context):
            if not leads:
                return CallReply(Outcome.NOT_LEADER)
            if isinstance(call, JobCall):
                received.append(call.key)
            return CallReply(Outcome.OK)

        silent_server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.addCleanup(silent_server.close)
        client = self.client(
            silent_server.sockets[0].getsockname()[1], await self.serve(answer)
        )
        calls = []
        for key in keys:
            call = msgspec.structs.replace(SUBMIT_CALL, key=key)
            calls.append(asyncio.create_task(client.call(call, 60.0)))
            await asyncio.sleep(0.02)
        leads = True
        for reply in await asyncio.gather(*calls):
            self.assertEqual(Outcome.OK, reply.outcome)
        self.assertEqual(keys, received)

    async def test_call_to_a_silent_leader_is_not_overtaken(self):
        """Guards against a call that stays with a leader that was replaced.

        The first call finds the successor; the second waits for the silent
        leader at that time, and the third is made afterwards.
        """
        suspended = asyncio.Event()
        received = []

        async def first(call, context):
            if suspended.is_set():
                await asyncio.sleep(60.0)
            return CallReply(Outcome.OK)

        async def second(call, context):
            if not suspended.is_set():
                return CallReply(Outcome.NOT_LEADER)
            if isinstance(call, JobCall):
                received.append(call.key)
            return CallReply(Outcome.OK)

        client = self.client(await self.serve(first), await self.serve(second))
        self.assertEqual(Outcome.OK, (await client.call(SUBMIT_CALL, 10.0)).outcome)
        suspended.set()
        calls = []
        for key in ("key-1", "key-2"):
            call = msgspec.structs.replace(SUBMIT_CALL, key=key)
            calls.append(asyncio.create_task(client.call(call, 60.0)))
            await asyncio.sleep(0.15)
        await calls[0]
        call = msgspec.structs.replace(SUBMIT_CALL, key="key-3")
        calls.append(asyncio.create_task(client.call(call, 60.0)))
        for reply in await asyncio.gather(*calls):
            self.assertEqual(Outcome.OK, reply.outcome)
        self.assertEqual(["key-1", "key-2", "key-3"], received)

    async def test_slow_leader_is_waited_for(self):
        """Guards against giving up a call because a commit is slow."""

        async def slow(call, context):
            await asyncio.sleep(0.0 if isinstance(call, Probe) else 0.6)
            return CallReply(Outcome.OK)

        async def follow(call, context):
            return CallReply(Outcome.NOT_LEADER)

        client = self.client(await self.serve(slow), await self.serve(follow))
        for _ in range(2):
            reply = await client.call(SUBMIT_CALL, 20.0)
            self.assertEqual(Outcome.OK, reply.outcome)
        # The search for a new leader ends with the answer.
        await asyncio.wait_for(client._search, 20.0)

    async def test_concurrent_calls_survive_a_discarded_connection(self):
        """Guards against an error in a call whose channel was closed.

        Concurrent calls share a channel, and each may discard it.
        """
        silent_server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.addCleanup(silent_server.close)
        client = self.client(silent_server.sockets[0].getsockname()[1])
        calls = []
        for _ in range(12):
            calls.append(asyncio.create_task(client.call(SUBMIT_CALL, 0.9)))
            await asyncio.sleep(0.03)
        for reply in await asyncio.gather(*calls):
            self.assertEqual(Outcome.NOT_LEADER, reply.outcome)

    async def test_order_without_an_answer_is_sent_once(self):
        """Guards against an order that overtakes a newer one.

        The leader receives the order and does not answer.  A repetition could
        arrive after the operator has given the opposite order.
        """
        received = []

        async def receive(call, context):
            if isinstance(call, Probe):
                return CallReply(Outcome.OK, clock_s=boottime_now())
            received.append(call)
            return await asyncio.sleep(60.0)

        client = self.client(await self.serve(receive))
        self.assertTrue(await client.probe(CONNECT_DEADLINE_S))
        reply = await client.forward(ZoneOrder("z1", True), 1.5)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual([ZoneOrder("z1", True)], [call.order for call in received])

    async def test_order_expires_on_the_clock_of_the_leader(self):
        """Guards against an expiry that depends on the sender's clock."""
        leader_clock_s = 5_000_000.0
        received = []

        async def receive(call, context):
            if isinstance(call, OperatorCall):
                received.append(call)
            return CallReply(Outcome.OK, clock_s=leader_clock_s)

        client = self.client(await self.serve(receive))
        reply = await client.forward(ZoneOrder("z1", True), 20.0)
        self.assertEqual(Outcome.OK, reply.outcome)
        self.assertLessEqual(received[0].expires_at, leader_clock_s + 20.0)
        self.assertGreater(received[0].expires_at, leader_clock_s)

    async def test_order_refused_by_a_former_leader_reaches_the_next(self):
        """Guards against giving up an order because leadership moved."""
        executed = []

        async def former(call, context):
            if isinstance(call, Probe) and not executed:
                return CallReply(Outcome.OK, clock_s=boottime_now())
            return CallReply(Outcome.NOT_LEADER, leader=next_address)

        async def current(call, context):
            if isinstance(call, OperatorCall):
                executed.append(call.order)
            return CallReply(Outcome.OK, clock_s=boottime_now())

        former_port = await self.serve(former)
        next_address = f"127.0.0.1:{await self.serve(current)}"
        client = self.client(former_port)
        reply = await client.forward(ZoneOrder("z1", False), 10.0)
        self.assertEqual(Outcome.OK, reply.outcome)
        self.assertEqual([ZoneOrder("z1", False)], executed)


class ProbeIntervalTests(unittest.TestCase):
    def test_probes_become_rare_in_a_long_outage(self):
        """Guards against entries whose probes keep a leader from election."""
        interval_s = leader_client.probe_interval_s
        self.assertEqual([0.025, 0.1, 0.4], [interval_s(s) for s in (0.1, 1.0, 9.0)])


if __name__ == "__main__":
    unittest.main()
