"""The snapshot file: the applied state at one index, with a checksum."""

import os
import struct
import threading
import zlib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from persimmonyard.replication.errors import LogDamagedError, refused_writes
from persimmonyard.replication.folder import replace_file, sync_folder
from persimmonyard.replication.messages import SnapshotChunk, SnapshotMeta

__all__ = ["CHUNK_BYTES", "ChunkData", "SnapshotFile"]

CHUNK_BYTES = 256 * 1024

_MAGIC = b"PYS1"
_HEADER = struct.Struct("<4sIQI")


@dataclass(frozen=True, slots=True)
class ChunkData:
    """A chunk of the newest snapshot file; ``index`` is the snapshot index."""

    index: int
    data: bytes
    done: bool


class SnapshotFile:
    """Stores the newest snapshot in one folder.

    Local snapshots and those received from a leader are stored by different
    threads.  The one with the higher index is kept.
    """

    def __init__(self, folder: Path):
        self._path = folder / "snapshot"
        self._partial_path = folder / "snapshot.part"
        self._lock = threading.Lock()
        self._index = 0

    def load(self) -> tuple[SnapshotMeta, bytes] | None:
        """Return the newest snapshot, or None if there is none yet.

        Raises ``LogDamagedError`` if the file is damaged.
        """
        if not self._path.exists():
            return None
        loaded = _read_snapshot(self._path)
        if loaded is None:
            raise LogDamagedError("snapshot: bad checksum")
        self._index = loaded[0].index
        return loaded

    def save(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store a local snapshot durably, unless a newer one is stored."""
        header = _encode_header(meta, data)
        with self._lock:
            if meta.index > self._index:
                replace_file(self._path, [header, data])
                self._index = meta.index

    def read_chunk(self, offset: int) -> ChunkData:
        """Return up to ``CHUNK_BYTES`` of the file from ``offset`` on."""
        with self._lock, open(self._path, "rb") as file:
            size = os.fstat(file.fileno()).st_size
            file.seek(offset)
            data = file.read(CHUNK_BYTES)
            return ChunkData(self._index, data, offset + len(data) >= size)

    def store_chunk(self, chunk: SnapshotChunk) -> SnapshotMeta | None:
        """Store a chunk of a received snapshot.

        Returns None until the last chunk, then the snapshot's metadata, with
        index 0 if the chunks do not form a valid snapshot.  Raises
        ``WriteRefusedError`` if the chunk cannot be written; the chunks
        before it are removed then.
        """
        try:
            with refused_writes():
                self._write_chunk(chunk)
        except OSError:
            self._partial_path.unlink(missing_ok=True)
            raise
        if not chunk.done:
            return None
        loaded = _read_snapshot(self._partial_path)
        if loaded is None or loaded[0] != chunk.meta:
            return SnapshotMeta()
        with self._lock:
            if chunk.meta.index > self._index:
                os.rename(self._partial_path, self._path)
                sync_folder(self._path.parent)
                self._index = chunk.meta.index
        return chunk.meta

    def _write_chunk(self, chunk: SnapshotChunk) -> None:
        mode = "wb" if chunk.offset == 0 else "r+b"
        with open(self._partial_path, mode) as file:
            file.seek(chunk.offset)
            file.truncate()
            file.write(chunk.data)
            if chunk.done:
                file.flush()
                os.fsync(file.fileno())


def _encode_header(meta: SnapshotMeta, data: bytes) -> bytes:
    encoded_meta = msgspec.msgpack.encode(meta)
    checksum = zlib.crc32(data, zlib.crc32(encoded_meta))
    return _HEADER.pack(_MAGIC, len(encoded_meta), len(data), checksum) + encoded_meta


def _read_snapshot(path: Path) -> tuple[SnapshotMeta, bytes] | None:
    """Return the contents of a snapshot file, or None if it is damaged.

    The data is read separately from the header, because slicing one buffer
    would hold it in memory twice.
    """
    with open(path, "rb") as file:
        header = file.read(_HEADER.size)
        if len(header) < _HEADER.size:
            return None
        magic, meta_size, size, checksum = _HEADER.unpack(header)
        file_size = os.fstat(file.fileno()).st_size
        if magic != _MAGIC or file_size != _HEADER.size + meta_size + size:
            return None
        encoded_meta = file.read(meta_size)
        data = file.read(size)
    if zlib.crc32(data, zlib.crc32(encoded_meta)) != checksum:
        return None
    return msgspec.msgpack.decode(encoded_meta, type=SnapshotMeta), data
