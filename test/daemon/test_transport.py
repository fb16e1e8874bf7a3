"""Tests of the batches that replicas exchange."""

import unittest

from persimmonyard.daemon.control import transport
from persimmonyard.replication import decode_batch
from persimmonyard.replication.messages import Append, Entry, EntryKind, TimeoutNow

LARGEST_ENTRY = 256 * 65_536


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def test_window_of_the_largest_entries_fits_into_envelopes(self):
        """Batches never exceed what the receiver accepts, and keep order."""
        link = transport._Link()
        entry = Entry(1, EntryKind.COMMAND, bytes(LARGEST_ENTRY))
        for index in range(3):
            link.put(Append(1, index, 1, 0, 0.0, [entry]))
        link.put(TimeoutNow(1))
        received = []
        while len(received) < 4:
            envelope = await link.next_envelope()
            self.assertLess(envelope.ByteSize(), transport.MAX_MESSAGE_BYTES)
            received += decode_batch(envelope.body)
        indexes = [message.prev_index for message in received[:3]]
        self.assertEqual((indexes, received[3]), ([0, 1, 2], TimeoutNow(1)))

    async def test_full_queue_drops_messages(self):
        """A replica that does not read costs a bounded amount of memory."""
        link = transport._Link()
        for term in range(transport.MAX_QUEUED + 10):
            link.put(TimeoutNow(term))
        count = 0
        while link._queue:
            count += len(decode_batch((await link.next_envelope()).body))
        self.assertEqual(count, transport.MAX_QUEUED)
