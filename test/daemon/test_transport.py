"""Tests of persimmonyard.daemon.control.transport."""

import asyncio
import unittest

import grpc

from persimmonyard.daemon.control import transport
from persimmonyard.replication import decode_batch
from persimmonyard.replication.messages import (
    AppendEntries,
    Entry,
    EntryKind,
    TimeoutNow,
)

LARGEST_ENTRY = 256 * 65_536


class SendQueueTests(unittest.IsolatedAsyncioTestCase):
    async def test_batches_of_the_largest_entries_stay_below_size_limit(self):
        """A batch must not exceed the size limit of a gRPC message.

        The receiver would reject a whole window of the largest entries in one
        batch.  The messages also keep their order.
        """
        send_queue = transport._SendQueue()
        entry = Entry(1, EntryKind.COMMAND, bytes(LARGEST_ENTRY))
        for index in range(3):
            send_queue.put(AppendEntries(1, index, 1, 0, 0.0, [entry]))
        send_queue.put(TimeoutNow(1))
        received = []
        while len(received) < 4:
            envelope = await send_queue.next_envelope()
            self.assertLess(envelope.ByteSize(), transport.MAX_MESSAGE_BYTES)
            received += decode_batch(envelope.body)
        indexes = [message.prev_index for message in received[:3]]
        self.assertEqual((indexes, received[3]), ([0, 1, 2], TimeoutNow(1)))

    async def test_full_queue_drops_messages(self):
        """The queue to a replica that does not read must stay bounded."""
        send_queue = transport._SendQueue()
        for term in range(transport.MAX_QUEUED_MESSAGES + 10):
            send_queue.put(TimeoutNow(term))
        count = 0
        while send_queue._messages:
            count += len(decode_batch((await send_queue.next_envelope()).body))
        self.assertEqual(count, transport.MAX_QUEUED_MESSAGES)


class AddAddressesTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, name):
        served_transport = transport.GrpcTransport(name, {})
        received = []
        server = grpc.aio.server()
        served_transport.register(server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        await served_transport.start(lambda sender, message: received.append(sender))
        self.addAsyncCleanup(server.stop, None)
        self.addAsyncCleanup(served_transport.stop)
        return served_transport, received, f"127.0.0.1:{port}"

    async def test_added_replica_with_a_higher_name_is_reached(self):
        """A replica with an empty data folder must reach the leader.

        If the leader has a higher name and is not a seed, neither side opens
        a stream: the leader waits for the new replica to do so, which does
        not know the leader's address until it is added.
        """
        low, _, _ = await self.serve("10.0.0.1")
        high, received, address = await self.serve("10.0.0.2")
        low.add_addresses({"10.0.0.2": address})
        async with asyncio.timeout(20.0):
            while not received:
                low.send("10.0.0.2", TimeoutNow(1))
                await asyncio.sleep(0.02)
        self.assertEqual("10.0.0.1", received[0])
        self.assertIn("10.0.0.1", high._send_queue_by_peer)
