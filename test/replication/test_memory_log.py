"""Tests of persimmonyard.replication.memory_log."""

import unittest

from persimmonyard.replication.memory_log import MemoryLog
from persimmonyard.replication.messages import Entry, EntryKind, Members, SnapshotMeta


class CompactionBaseTests(unittest.TestCase):
    def setUp(self):
        self.log = MemoryLog(10, 1, 10, Members())
        for _ in range(8):
            self.log.append(Entry(1, EntryKind.COMMAND, b"x" * 100))

    def test_count_and_size_limit_the_kept_entries(self):
        """Guards against trailing entries that use memory without a limit.

        An entry that would exceed the limit of bytes is not kept.
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
        """Guards against a base below entries that are compacted already."""
        self.assertEqual(self.log.compaction_base(12, 1_000, 1_000_000), 10)
        self.assertEqual(self.log.compaction_base(10, 1_000, 1_000_000), 10)

    def test_entries_after_the_snapshot_stay(self):
        """Guards against compaction of entries after the snapshot."""
        base = self.log.compaction_base(16, 8, 0)
        self.log.compact(base, SnapshotMeta(16, 1, Members()))
        self.assertEqual((self.log.base_index, self.log.last_index), (16, 18))
        self.assertEqual(self.log.term_at(16), 1)
