"""Tests of the log file, the snapshot file and the identity of a folder."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from persimmonyard.replication.errors import LogDamagedError
from persimmonyard.replication.events import (
    BaseRecord,
    EntryRecord,
    Rewrite,
    VoteRecord,
    Write,
)
from persimmonyard.replication.folder import initialize
from persimmonyard.replication.messages import (
    Entry,
    EntryKind,
    Members,
    SnapshotChunk,
    SnapshotMeta,
)
from persimmonyard.replication.storage import FileStorage


def entries(start, count, term=1):
    records = []
    for index in range(start, start + count):
        data = b"entry-%d" % index
        records.append(EntryRecord(index, Entry(term, EntryKind.COMMAND, data)))
    return records


class StorageTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "a"
        initialize(self.folder, "a", {"a": "", "b": "", "c": ""})

    def open(self):
        disk = FileStorage(self.folder)
        found = disk.load("a")
        self.addCleanup(disk.close)
        return disk, found

    def written(self, *batches):
        """Write batches, one sync each, and return the sizes after each."""
        disk, _ = self.open()
        sizes = []
        for batch in batches:
            disk.persist([Write(batch)])
            sizes.append((self.folder / "log").stat().st_size)
        disk.close()
        return sizes

    def loaded(self):
        disk, found = self.open()
        disk.close()
        return [entry.data for entry in found.state.entries]


class LogFileTests(StorageTestCase):
    def test_tail_torn_at_any_byte_is_cut(self):
        """Only the frame that was being written is lost, at every length."""
        whole, end = self.written(entries(1, 2), entries(3, 2))
        content = (self.folder / "log").read_bytes()
        for size in range(whole, end):
            (self.folder / "log").write_bytes(content[:size])
            self.assertEqual(self.loaded(), [b"entry-1", b"entry-2"], size)
            self.assertEqual((self.folder / "log").stat().st_size, whole)

    def test_tail_of_zeros_is_cut(self):
        """A file that grew before its data reached the disk is cut."""
        whole, end = self.written(entries(1, 2), entries(3, 2))
        content = (self.folder / "log").read_bytes()
        (self.folder / "log").write_bytes(content[:whole] + bytes(end - whole))
        self.assertEqual(self.loaded(), [b"entry-1", b"entry-2"])

    def test_any_changed_byte_before_the_tail_is_damage(self):
        """A synced entry is never dropped in silence, wherever it is hit."""
        whole, _ = self.written(entries(1, 2), entries(3, 2))
        content = (self.folder / "log").read_bytes()
        for position in range(whole):
            changed = bytearray(content)
            changed[position] ^= 0x20
            (self.folder / "log").write_bytes(changed)
            with self.assertRaises(LogDamagedError, msg=position):
                self.loaded()

    def test_entry_replaces_later_ones(self):
        """A conflicting entry drops the rest, also after a restart."""
        self.written(entries(1, 4), [VoteRecord(2, "b#0")], entries(3, 1, term=2))
        _, found = self.open()
        terms = [entry.term for entry in found.state.entries]
        self.assertEqual((terms, found.state.term), ([1, 1, 2], 2))

    def test_rewrite_keeps_what_follows(self):
        """Truncation after a snapshot loses neither votes nor entries."""
        disk, _ = self.open()
        disk.persist([Write(entries(1, 4))])
        disk.save_snapshot(SnapshotMeta(3, 1, Members({"a": "0"})), b"state")
        rewrite = [BaseRecord(3, 1), VoteRecord(5, "c#0"), *entries(4, 1)]
        disk.persist([Rewrite(rewrite), Write(entries(5, 1))])
        disk.close()
        disk, found = self.open()
        data = [entry.data for entry in found.state.entries]
        self.assertEqual(data, [b"entry-4", b"entry-5"])
        self.assertEqual((found.state.term, found.state.voted_for), (5, "c#0"))
        self.assertEqual((found.state.base.index, found.snapshot), (3, b"state"))

    def test_interrupted_rewrite_leaves_the_old_log(self):
        """A crash before the rename keeps every entry."""
        self.written(entries(1, 3))
        disk, _ = self.open()
        with (
            mock.patch.object(os, "rename", side_effect=OSError),
            self.assertRaises(OSError),
        ):
            disk.persist([Rewrite([BaseRecord(3, 1)])])
        disk.close()
        self.assertEqual(len(self.loaded()), 3)


class FullDisk:
    """A log file that takes half of what is written, as a full disk does."""

    def __init__(self, file):
        self.file = file

    def write(self, data):
        return self.file.write(data[: len(data) // 2])

    def __getattr__(self, name):
        return getattr(self.file, name)


class FullDiskTests(StorageTestCase):
    def test_partial_write_fails_and_closing_writes_nothing(self):
        """Guards against refused records that reach the disk later on."""
        disk, _ = self.open()
        disk.persist([Write(entries(1, 2))])
        log = disk._log
        log._file = FullDisk(log._file)
        with self.assertRaises(OSError):
            disk.persist([Write(entries(3, 2))])
        size = (self.folder / "log").stat().st_size
        disk.close()
        self.assertEqual(size, (self.folder / "log").stat().st_size)
        self.assertEqual(self.loaded(), [b"entry-1", b"entry-2"])


class SnapshotFileTests(StorageTestCase):
    META = SnapshotMeta(7, 2, Members({"a": "0", "b": "0"}))

    def test_damage_is_found(self):
        """A changed byte in a snapshot never reaches the state."""
        disk, _ = self.open()
        disk.save_snapshot(self.META, b"state" * 50)
        disk.close()
        content = bytearray((self.folder / "snapshot").read_bytes())
        content[-3] ^= 1
        (self.folder / "snapshot").write_bytes(content)
        with self.assertRaises(LogDamagedError):
            self.open()

    def test_damage_before_the_data_is_found(self):
        """A changed byte in any field of the header, or a cut, is noticed."""
        disk, _ = self.open()
        disk.save_snapshot(self.META, b"state")
        disk.close()
        path = self.folder / "snapshot"
        content = path.read_bytes()
        for position in range(len(content)):
            changed = bytearray(content)
            changed[position] ^= 1
            path.write_bytes(changed)
            with self.subTest(changed=position), self.assertRaises(LogDamagedError):
                self.open()
            path.write_bytes(content[:position])
            with self.subTest(size=position), self.assertRaises(LogDamagedError):
                self.open()

    def test_lost_snapshot_is_damage(self):
        """A truncated log without its snapshot is not an empty state."""
        self.written([BaseRecord(3, 1), *entries(4, 1)])
        with self.assertRaises(LogDamagedError):
            self.open()

    def test_chunks_make_the_same_snapshot(self):
        """A snapshot that arrives in parts is stored only when whole."""
        disk, _ = self.open()
        state = os.urandom(600_000)
        disk.save_snapshot(self.META, state)
        receiver = FileStorage(self.folder.parent / "b")
        self.addCleanup(receiver.close)
        receiver.load("b")
        offset = 0
        while True:
            part = disk.read_chunk(offset)
            chunk = SnapshotChunk(2, self.META, offset, 0.0, part.data, part.done)
            stored = receiver.store_chunk(chunk)
            offset += len(part.data)
            if part.done:
                break
            self.assertIsNone(stored)
        self.assertEqual(stored, self.META)
        self.assertEqual(receiver.load_snapshot(), state)

    def test_damaged_transfer_is_not_stored(self):
        """Parts with a wrong checksum leave the old snapshot in place."""
        disk, _ = self.open()
        chunk = SnapshotChunk(2, self.META, 0, 0.0, b"nonsense", True)
        self.assertEqual(disk.store_chunk(chunk).index, 0)
        self.assertFalse((self.folder / "snapshot").exists())

    def test_older_snapshot_never_replaces_a_newer_one(self):
        """Two threads that save at once leave the newer state."""
        disk, _ = self.open()
        disk.save_snapshot(self.META, b"newer")
        disk.save_snapshot(SnapshotMeta(6, 2, self.META.members), b"older")
        self.assertEqual(disk.load_snapshot(), b"newer")


class FolderTests(StorageTestCase):
    def test_set_up_twice_is_refused(self):
        """A used folder keeps its data when init is repeated."""
        with self.assertRaises(FileExistsError):
            initialize(self.folder, "a", {"a": ""})

    def test_emptied_folder_gets_a_nonce(self):
        """Each loss of a disk is told from the first set-up and others."""
        incarnations = {self.open()[1].identity.incarnation}
        for name in ("x", "y"):
            disk = FileStorage(self.folder.parent / name)
            self.addCleanup(disk.close)
            found = disk.load("a")
            self.assertEqual(found.identity.members, Members())
            incarnations.add(found.identity.incarnation)
        self.assertEqual(len(incarnations), 3)

    def test_missing_or_foreign_files_are_damage(self):
        """A folder that lost one file does not pass for an empty one."""
        self.written(entries(1, 1))
        with self.assertRaises(LogDamagedError):
            FileStorage(self.folder).load("b")
        (self.folder / "identity").unlink()
        with self.assertRaises(LogDamagedError):
            FileStorage(self.folder).load("a")

    def test_folder_in_use_is_refused(self):
        """Two processes never write to one log."""
        self.open()
        with self.assertRaises(OSError):
            FileStorage(self.folder).load("a")
