"""Where a replica keeps its durable state."""

import fcntl
from pathlib import Path
from typing import NamedTuple, Protocol

from persimmonyard.replication.config import DurableState
from persimmonyard.replication.errors import LogDamagedError
from persimmonyard.replication.events import (
    BaseRecord,
    EntryRecord,
    Record,
    Rewrite,
    VoteRecord,
    Write,
)
from persimmonyard.replication.folder import Identity, load_identity
from persimmonyard.replication.log_file import LogFile
from persimmonyard.replication.messages import Chunk, SnapshotMeta
from persimmonyard.replication.snapshot_file import ChunkData, SnapshotFile

__all__ = ["FileStorage", "Loaded", "Storage", "durable_state"]


class Loaded(NamedTuple):
    """What a folder holds."""

    identity: Identity
    state: DurableState
    snapshot: bytes | None


class Storage(Protocol):
    """Durable storage of one replica.  All methods may block."""

    def load(self, replica_id: str) -> Loaded:
        """Return what is stored; raise ``LogDamagedError`` on damage."""

    def persist(self, changes: list[Write | Rewrite]) -> None:
        """Make changes durable in order; raise ``OSError`` if it fails."""

    def save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store an own snapshot durably; may run beside ``persist``."""

    def load_snapshot(self) -> bytes:
        """Return the data of the newest snapshot."""

    def read_chunk(self, offset: int) -> ChunkData:
        """Return a part of the newest snapshot."""

    def store_chunk(self, chunk: Chunk) -> SnapshotMeta | None:
        """Store a part of a received snapshot."""

    def close(self) -> None:
        """Release the folder."""


class FileStorage:
    """Storage in the files ``identity``, ``log`` and ``snapshot``."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._snapshots = SnapshotFile(folder)
        self._log: LogFile | None = None

    def load(self, replica_id: str) -> Loaded:
        """Return what is stored; raise ``LogDamagedError`` on damage."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock()
        try:
            return self._load(replica_id)
        except LogDamagedError:
            self.close()
            raise

    def _load(self, replica_id: str) -> Loaded:
        identity = load_identity(self._folder, replica_id)
        self._log = LogFile(self._folder / "log")
        state = durable_state(self._log.read())
        found = self._snapshots.load()
        if found is None:
            state.snapshot = SnapshotMeta(0, 0, identity.members)
            if state.base.index:
                raise LogDamagedError("snapshot: the file is missing")
            return Loaded(identity, state, None)
        if state.base.index > found[0].index:
            raise LogDamagedError("snapshot: older than the start of the log")
        state.snapshot = found[0]
        return Loaded(identity, state, found[1])

    def _lock(self) -> None:
        self._lock_file = open(self._folder / "lock", "wb")  # noqa: SIM115
        fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def persist(self, changes: list[Write | Rewrite]) -> None:
        """Make changes durable in order; raise ``OSError`` if it fails."""
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
        """Make the written frame durable."""
        assert self._log is not None
        self._log.sync()

    def save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store an own snapshot durably; may run beside ``persist``."""
        self._snapshots.save(meta, data)

    def load_snapshot(self) -> bytes:
        """Return the data of the newest snapshot."""
        found = self._snapshots.load()
        assert found is not None
        return found[1]

    def read_chunk(self, offset: int) -> ChunkData:
        """Return a part of the newest snapshot."""
        return self._snapshots.read_chunk(offset)

    def store_chunk(self, chunk: Chunk) -> SnapshotMeta | None:
        """Store a part of a received snapshot."""
        return self._snapshots.store_chunk(chunk)

    def close(self) -> None:
        """Release the folder."""
        if self._log is not None:
            self._log.close()
        self._lock_file.close()


def durable_state(records: list[Record]) -> DurableState:
    """Return the state that the records of a log file describe.

    Raises ``LogDamagedError`` if an entry is missing between two others.
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
