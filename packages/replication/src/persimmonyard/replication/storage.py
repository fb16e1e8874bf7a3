"""Durable storage of one replica: the protocol and its implementation."""

import fcntl
from pathlib import Path
from typing import NamedTuple, Protocol

from persimmonyard.replication.config import DurableState
from persimmonyard.replication.errors import LogDamagedError, refused_writes
from persimmonyard.replication.events import (
    BaseRecord,
    EntryRecord,
    Record,
    Rewrite,
    VoteRecord,
    Write,
)
from persimmonyard.replication.folder import (
    Identity,
    check_writable,
    load_identity,
)
from persimmonyard.replication.log_file import LogFile
from persimmonyard.replication.messages import SnapshotChunk, SnapshotMeta
from persimmonyard.replication.snapshot_file import ChunkData, SnapshotFile

__all__ = ["FileStorage", "LoadedState", "Storage", "durable_state"]


class LoadedState(NamedTuple):
    """The contents of a data folder; ``snapshot`` is None if there is none."""

    identity: Identity
    state: DurableState
    snapshot: bytes | None


class Storage(Protocol):
    """Durable storage of one replica.  All methods may block the thread."""

    def load(self, replica_id: str) -> LoadedState:
        """Lock the folder and return its contents.

        Raises ``LogDamagedError`` if a file is damaged or missing,
        ``WriteRefusedError`` if the folder cannot be written, and another
        ``OSError`` if another process uses it.
        """

    def reload(self, replica_id: str) -> LoadedState:
        """Return what is durable, after a write was refused.

        Raises ``WriteRefusedError`` while the file system refuses writes,
        other ``OSError`` if it fails, and ``LogDamagedError`` for a damaged
        file.
        """

    def persist(self, changes: list[Write | Rewrite]) -> None:
        """Write and sync changes in order.

        Raises ``WriteRefusedError`` if the changes are not durable and all
        earlier ones are, and another ``OSError`` if neither is known.
        """

    def save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store a local snapshot durably; may overlap ``persist``."""

    def load_snapshot(self) -> bytes:
        """Return the data of the newest snapshot."""

    def read_chunk(self, offset: int) -> ChunkData:
        """Return the chunk of the newest snapshot at ``offset``."""

    def store_chunk(self, chunk: SnapshotChunk) -> SnapshotMeta | None:
        """Store a chunk of a received snapshot.

        Returns None until the last chunk, then the snapshot's metadata, with
        index 0 if the chunks do not form a valid snapshot.
        """

    def close(self) -> None:
        """Close the files and release the folder's lock."""


class FileStorage:
    """Storage in the files ``identity``, ``log`` and ``snapshot`` of a folder.

    The file ``lock`` keeps a second process from using the same folder.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._snapshots = SnapshotFile(folder)
        self._log: LogFile | None = None

    def load(self, replica_id: str) -> LoadedState:
        """Lock the folder and return its contents.

        See ``Storage`` for the errors.
        """
        with refused_writes():
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock_folder()
        try:
            return self._load(replica_id)
        except (LogDamagedError, OSError):
            self.close()
            raise

    def reload(self, replica_id: str) -> LoadedState:
        """Return what is durable, once the folder can be written again."""
        check_writable(self._folder)
        if self._log is not None:
            self._log.close()
        return self._load(replica_id)

    def _load(self, replica_id: str) -> LoadedState:
        identity = load_identity(self._folder, replica_id)
        self._log = LogFile(self._folder / "log")
        state = durable_state(self._log.read())
        stored_snapshot = self._snapshots.load()
        if stored_snapshot is None:
            state.snapshot = SnapshotMeta(0, 0, identity.members)
            if state.base.index:
                raise LogDamagedError("snapshot: the file is missing")
            return LoadedState(identity, state, None)
        if state.base.index > stored_snapshot[0].index:
            raise LogDamagedError("snapshot: older than the start of the log")
        state.snapshot = stored_snapshot[0]
        return LoadedState(identity, state, stored_snapshot[1])

    def _lock_folder(self) -> None:
        self._lock_file = open(self._folder / "lock", "wb")  # noqa: SIM115
        fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def persist(self, changes: list[Write | Rewrite]) -> None:
        """Write and sync changes in order; see ``Storage``."""
        assert self._log is not None
        records: list[Record] = []
        for change in changes:
            if isinstance(change, Rewrite):
                records = []
                self._log.rewrite(change.records)
                continue
            records += change.records
        if records:
            self._log.append(records)
            self.sync()

    def sync(self) -> None:
        """Sync the log file."""
        assert self._log is not None
        self._log.sync()

    def save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store a local snapshot durably; may overlap ``persist``."""
        self._snapshots.save(meta, data)

    def load_snapshot(self) -> bytes:
        """Return the data of the newest snapshot."""
        stored_snapshot = self._snapshots.load()
        assert stored_snapshot is not None
        return stored_snapshot[1]

    def read_chunk(self, offset: int) -> ChunkData:
        """Return the chunk of the newest snapshot at ``offset``."""
        return self._snapshots.read_chunk(offset)

    def store_chunk(self, chunk: SnapshotChunk) -> SnapshotMeta | None:
        """Store a chunk of a received snapshot; see ``Storage``."""
        return self._snapshots.store_chunk(chunk)

    def close(self) -> None:
        """Close the files and release the folder's lock."""
        if self._log is not None:
            self._log.close()
        self._lock_file.close()


def durable_state(records: list[Record]) -> DurableState:
    """Replay the records of a log file and return the resulting state.

    Raises ``LogDamagedError`` if the indexes of the entries have a gap.
    """
    state = DurableState()
    for record in records:
        match record:
            case BaseRecord():
                state.base = record
                state.entries = []
            case VoteRecord(term, voted_for):
                state.term = term
                state.voted_for = voted_for
            case EntryRecord(index, entry):
                position = index - state.base.index - 1
                if not 0 <= position <= len(state.entries):
                    raise LogDamagedError(f"log: entry {index} is out of place")
                del state.entries[position:]
                state.entries.append(entry)
    return state
