"""Tests of persimmonyard.replication.memory_log."""

import unittest

from persimmonyard.replication.memory_log import MemoryLog
from persimmonyard.replication.messages import Entry, EntryKind, Members, SnapshotMeta


class BaseBeforeTests(unittest.TestCase):
    def setUp(self):
        self.log = MemoryLog(10, 1, 10, Members())
        for _ in range(8):
            self.log.append(Entry(1, EntryKind.COMMAND, b"x" * 100))

    def test_number_and_bytes_bound_what_is_kept(self):
        """Large entries do not fill the memory, nor small ones the list.

        An entry that passes the bound of bytes is dropped whole.
        """
        for entries, size, base in (
            (3, 1_000, 13),
            (8, 300, 13),
            (8, 299, 14),
            (8, 0, 16),
            (0, 1_000, 16),
        ):
            with self.subTest(entries=entries, size=size):
                self.assertEqual(self.log.compaction_base(16, entries, size), base)

    def test_base_never_moves_back(self):
        """Entries that are already dropped are not counted on."""
        self.assertEqual(self.log.compaction_base(12, 1_000, 1_000_000), 10)
        self.assertEqual(self.log.compaction_base(10, 1_000, 1_000_000), 10)

    def test_entries_after_the_snapshot_stay(self):
        """Compaction without room for trailing entries keeps later ones."""
        base = self.log.compaction_base(16, 8, 0)
        self.log.compact(base, SnapshotMeta(16, 1, Members()))
        self.assertEqual((self.log.base_index, self.log.last_index), (16, 18))
        self.assertEqual(self.log.term_at(16), 1)
