"""Tests of FileStorage: the log file, the snapshot file and the identity."""

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from persimmonyard.replication import folder as folder_module
from persimmonyard.replication.errors import LogDamagedError, WriteRefusedError
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
from persimmonyard.replication.snapshot_file import SnapshotFile
from persimmonyard.replication.storage import FileStorage

NO_SPACE = OSError(errno.ENOSPC, "no space left")


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
        storage = FileStorage(self.folder)
        loaded = storage.load("a")
        self.addCleanup(storage.close)
        return storage, loaded

    def write_batches(self, *batches):
        """Write batches, one sync each; return the file size after each."""
        storage, _ = self.open()
        sizes = []
        for batch in batches:
            storage.persist([Write(batch)])
            sizes.append((self.folder / "log").stat().st_size)
        storage.close()
        return sizes

    def load_data(self):
        storage, loaded = self.open()
        storage.close()
        return [entry.data for entry in loaded.state.entries]


class LogFileTests(StorageTestCase):
    def test_tail_torn_at_any_byte_is_cut(self):
        """Guards against a crash during a write that damages the log.

        Only the frame that was being written is lost, at whatever byte the
        write was interrupted.
        """
        whole, end = self.write_batches(entries(1, 2), entries(3, 2))
        content = (self.folder / "log").read_bytes()
        for size in range(whole, end):
            (self.folder / "log").write_bytes(content[:size])
            self.assertEqual(self.load_data(), [b"entry-1", b"entry-2"], size)
            self.assertEqual((self.folder / "log").stat().st_size, whole)

    def test_tail_of_zeros_is_cut(self):
        """Guards against a log that is unreadable after a power loss.

        The file may have grown before its data reached the disk; the missing
        data reads as zeros.
        """
        whole, end = self.write_batches(entries(1, 2), entries(3, 2))
        content = (self.folder / "log").read_bytes()
        (self.folder / "log").write_bytes(content[:whole] + bytes(end - whole))
        self.assertEqual(self.load_data(), [b"entry-1", b"entry-2"])

    def test_any_changed_byte_before_the_tail_is_damage(self):
        """Guards against synced entries that are silently dropped.

        A changed byte in any frame before the last one is reported as damage.
        """
        whole, _ = self.write_batches(entries(1, 2), entries(3, 2))
        content = (self.folder / "log").read_bytes()
        for position in range(whole):
            changed = bytearray(content)
            changed[position] ^= 0x20
            (self.folder / "log").write_bytes(changed)
            with self.assertRaises(LogDamagedError, msg=position):
                self.load_data()

    def test_entry_replaces_all_from_its_index(self):
        """Guards against conflicting entries that return after a restart."""
        self.write_batches(entries(1, 4), [VoteRecord(2, "b#0")], entries(3, 1, term=2))
        _, loaded = self.open()
        terms = [entry.term for entry in loaded.state.entries]
        self.assertEqual((terms, loaded.state.term), ([1, 1, 2], 2))

    def test_rewrite_keeps_what_follows(self):
        """Guards against votes or entries lost when the log is compacted."""
        storage, _ = self.open()
        storage.persist([Write(entries(1, 4))])
        storage.save_snapshot(SnapshotMeta(3, 1, Members({"a": "0"})), b"state")
        rewrite = [BaseRecord(3, 1), VoteRecord(5, "c#0"), *entries(4, 1)]
        storage.persist([Rewrite(rewrite), Write(entries(5, 1))])
        storage.close()
        storage, loaded = self.open()
        data = [entry.data for entry in loaded.state.entries]
        self.assertEqual(data, [b"entry-4", b"entry-5"])
        self.assertEqual((loaded.state.term, loaded.state.voted_for), (5, "c#0"))
        self.assertEqual((loaded.state.base.index, loaded.snapshot), (3, b"state"))

    def test_interrupted_rewrite_leaves_the_old_log(self):
        """Guards against entries lost in a crash before the rename."""
        self.write_batches(entries(1, 3))
        storage, _ = self.open()
        with (
            mock.patch.object(os, "rename", side_effect=OSError),
            self.assertRaises(OSError),
        ):
            storage.persist([Rewrite([BaseRecord(3, 1)])])
        storage.close()
        self.assertEqual(len(self.load_data()), 3)


class FullDiskFile:
    """A log file that stores half of each write, as on a full disk."""

    def __init__(self, file):
        self.file = file

    def write(self, data):
        return self.file.write(data[: len(data) // 2])

    def __getattr__(self, name):
        return getattr(self.file, name)


class FullDiskTests(StorageTestCase):
    def test_partial_write_fails_and_closing_writes_nothing(self):
        """Guards against failed writes that reach the disk on close."""
        storage, _ = self.open()
        storage.persist([Write(entries(1, 2))])
        log = storage._log
        log._file = FullDiskFile(log._file)
        with self.assertRaises(WriteRefusedError):
            storage.persist([Write(entries(3, 2))])
        size = (self.folder / "log").stat().st_size
        storage.close()
        self.assertEqual(size, (self.folder / "log").stat().st_size)
        self.assertEqual(self.load_data(), [b"entry-1", b"entry-2"])

    def test_reload_drops_the_refused_tail_and_writes_go_on(self):
        """Guards against a torn frame in the middle of the log.

        It would count as damage at the next start.
        """
        storage, _ = self.open()
        storage.persist([Write(entries(1, 2))])
        storage._log._file = FullDiskFile(storage._log._file)
        with self.assertRaises(WriteRefusedError):
            storage.persist([Write(entries(3, 2))])
        loaded = storage.reload("a")
        self.assertEqual(2, len(loaded.state.entries))
        storage.persist([Write(entries(3, 1))])
        storage.close()
        self.assertEqual(self.load_data(), [b"entry-1", b"entry-2", b"entry-3"])

    def test_refused_rewrite_leaves_the_log_as_it_was(self):
        """Guards against a log that is lost with its replacement.

        The file of the refused replacement must not occupy the disk.
        """
        storage, _ = self.open()
        storage.persist([Write(entries(1, 2))])
        with self.full_disk(), self.assertRaises(WriteRefusedError):
            storage.persist([Rewrite([BaseRecord(1, 1), *entries(2, 1)])])
        self.assertFalse((self.folder / "log.new").exists())
        storage.close()
        self.assertEqual(self.load_data(), [b"entry-1", b"entry-2"])

    def test_refused_snapshot_leaves_the_older_one(self):
        """Guards against a snapshot that is lost with its replacement."""
        storage, _ = self.open()
        storage.save_snapshot(SnapshotFileTests.META, b"older")
        newer = SnapshotMeta(9, 2, SnapshotFileTests.META.members)
        with self.full_disk(), self.assertRaises(WriteRefusedError):
            storage.save_snapshot(newer, b"newer")
        self.assertEqual(b"older", storage.load_snapshot())

    def test_refused_chunk_removes_the_partial_snapshot(self):
        """Guards against a partial snapshot that keeps the disk full."""
        storage, _ = self.open()
        meta = SnapshotFileTests.META
        storage.store_chunk(SnapshotChunk(2, meta, 0, 0.0, b"first", False))
        with (
            mock.patch.object(SnapshotFile, "_write_chunk", side_effect=NO_SPACE),
            self.assertRaises(WriteRefusedError),
        ):
            storage.store_chunk(SnapshotChunk(2, meta, 5, 0.0, b"next", False))
        self.assertFalse((self.folder / "snapshot.part").exists())

    def test_reload_waits_for_a_disk_that_takes_a_frame(self):
        """Guards against a return to a disk that is still full."""
        storage, _ = self.open()
        with self.full_disk(), self.assertRaises(WriteRefusedError):
            storage.reload("a")
        self.assertFalse((self.folder / "probe").exists())
        storage.persist([Write(entries(1, 1))])

    def test_full_disk_at_the_start_releases_the_folder(self):
        """Guards against a folder that stays locked after a failed start."""
        storage, _ = self.open()
        storage.close()
        (self.folder / "identity").unlink()
        (self.folder / "log").unlink()
        storage = FileStorage(self.folder)
        with self.full_disk(), self.assertRaises(WriteRefusedError):
            storage.load("a")
        storage.load("a")
        storage.close()

    def full_disk(self):
        """Accept only the first bytes of new files."""

        def write_part(path, parts):
            path.write_bytes(b"part")
            raise NO_SPACE

        return mock.patch.object(folder_module, "_write_synced", write_part)


class SnapshotFileTests(StorageTestCase):
    META = SnapshotMeta(7, 2, Members({"a": "0", "b": "0"}))

    def test_damaged_data_is_detected(self):
        """Guards against restoring a state from a damaged snapshot."""
        storage, _ = self.open()
        storage.save_snapshot(self.META, b"state" * 50)
        storage.close()
        content = bytearray((self.folder / "snapshot").read_bytes())
        content[-3] ^= 1
        (self.folder / "snapshot").write_bytes(content)
        with self.assertRaises(LogDamagedError):
            self.open()

    def test_damaged_header_or_truncation_is_detected(self):
        """Guards against a changed byte anywhere, or a truncated file."""
        storage, _ = self.open()
        storage.save_snapshot(self.META, b"state")
        storage.close()
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

    def test_missing_snapshot_is_damage(self):
        """Guards against an empty state if a compacted log has no snapshot."""
        self.write_batches([BaseRecord(3, 1), *entries(4, 1)])
        with self.assertRaises(LogDamagedError):
            self.open()

    def test_chunks_make_the_same_snapshot(self):
        """Guards against an incomplete transfer stored as a snapshot."""
        storage, _ = self.open()
        state = os.urandom(600_000)
        storage.save_snapshot(self.META, state)
        receiver = FileStorage(self.folder.parent / "b")
        self.addCleanup(receiver.close)
        receiver.load("b")
        offset = 0
        while True:
            part = storage.read_chunk(offset)
            chunk = SnapshotChunk(2, self.META, offset, 0.0, part.data, part.done)
            stored = receiver.store_chunk(chunk)
            offset += len(part.data)
            if part.done:
                break
            self.assertIsNone(stored)
        self.assertEqual(stored, self.META)
        self.assertEqual(receiver.load_snapshot(), state)

    def test_damaged_transfer_is_not_stored(self):
        """Guards against a damaged transfer that replaces the snapshot."""
        storage, _ = self.open()
        chunk = SnapshotChunk(2, self.META, 0, 0.0, b"nonsense", True)
        self.assertEqual(storage.store_chunk(chunk).index, 0)
        self.assertFalse((self.folder / "snapshot").exists())

    def test_older_snapshot_never_replaces_a_newer_one(self):
        """Guards against an older state when two threads save at once."""
        storage, _ = self.open()
        storage.save_snapshot(self.META, b"newer")
        storage.save_snapshot(SnapshotMeta(6, 2, self.META.members), b"older")
        self.assertEqual(storage.load_snapshot(), b"newer")


class FolderTests(StorageTestCase):
    def test_initialize_refuses_a_used_folder(self):
        """Guards against a repeated initialization that destroys data."""
        with self.assertRaises(FileExistsError):
            initialize(self.folder, "a", {"a": ""})

    def test_emptied_folder_gets_a_random_incarnation(self):
        """Guards against a replica that counts with votes of a lost disk.

        Each empty folder gets an incarnation unlike the first one and others.
        """
        incarnations = {self.open()[1].identity.incarnation}
        for name in ("x", "y"):
            storage = FileStorage(self.folder.parent / name)
            self.addCleanup(storage.close)
            loaded = storage.load("a")
            self.assertEqual(loaded.identity.members, Members())
            incarnations.add(loaded.identity.incarnation)
        self.assertEqual(len(incarnations), 3)

    def test_missing_or_foreign_files_are_damage(self):
        """Guards against a folder with a missing file treated as empty.

        A folder of another replica is refused too.
        """
        self.write_batches(entries(1, 1))
        with self.assertRaises(LogDamagedError):
            FileStorage(self.folder).load("b")
        (self.folder / "identity").unlink()
        with self.assertRaises(LogDamagedError):
            FileStorage(self.folder).load("a")

    def test_folder_in_use_is_refused(self):
        """Guards against two processes that write to one log."""
        self.open()
        with self.assertRaises(OSError):
            FileStorage(self.folder).load("a")
