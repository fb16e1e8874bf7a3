"""Tests of the batches that replicas exchange."""

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
    async def test_window_of_the_largest_entries_fits_into_envelopes(self):
        """Batches never exceed what the receiver accepts, and keep order."""
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
        """A replica that does not read costs a bounded amount of memory."""
        send_queue = transport._SendQueue()
        for term in range(transport.MAX_QUEUED_MESSAGES + 10):
            send_queue.put(TimeoutNow(term))
        count = 0
        while send_queue._messages:
            count += len(decode_batch((await send_queue.next_envelope()).body))
        self.assertEqual(count, transport.MAX_QUEUED_MESSAGES)


class AddAddressesTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, name):
        served = transport.GrpcTransport(name, {})
        received = []
        server = grpc.aio.server()
        served.register(server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        await served.start(lambda sender, message: received.append(sender))
        self.addAsyncCleanup(server.stop, None)
        self.addAsyncCleanup(served.stop)
        return served, received, f"127.0.0.1:{port}"

    async def test_learned_replica_with_a_higher_name_is_reached(self):
        """Guards against a replica with an empty folder that stays alone.

        The leader has a higher name and is not a seed, so neither side opens
        a stream before the other has told its address.
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
