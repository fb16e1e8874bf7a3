"""The snapshot file: the applied state at one index, with a checksum."""

import os
import struct
import threading
import zlib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from persimmonyard.replication.errors import LogDamagedError
from persimmonyard.replication.folder import replace_file, sync_folder
from persimmonyard.replication.messages import Chunk, SnapshotMeta

__all__ = ["CHUNK_BYTES", "ChunkData", "SnapshotFile"]

CHUNK_BYTES = 256 * 1024

_MAGIC = b"PYS1"
_HEADER = struct.Struct("<4sIQI")


@dataclass(frozen=True, slots=True)
class ChunkData:
    """Bytes of the newest snapshot file, which is labelled with ``index``."""

    index: int
    data: bytes
    done: bool


class SnapshotFile:
    """Save, load, send and receive snapshots in one folder.

    Own snapshots and received ones are stored by different threads; the one
    with the higher index stays.
    """

    def __init__(self, folder: Path):
        self._path = folder / "snapshot"
        self._part = folder / "snapshot.part"
        self._lock = threading.Lock()
        self._index = 0

    def load(self) -> tuple[SnapshotMeta, bytes] | None:
        """Return the newest snapshot, or None if there is none yet.

        Raises ``LogDamagedError`` if the file is bad.
        """
        if not self._path.exists():
            return None
        loaded = _read(self._path)
        if loaded is None:
            raise LogDamagedError("snapshot: bad checksum")
        self._index = loaded[0].index
        return loaded

    def save(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store an own snapshot durably."""
        header = _header(meta, data)
        with self._lock:
            if meta.index > self._index:
                replace_file(self._path, [header, data])
                self._index = meta.index

    def read_chunk(self, offset: int) -> ChunkData:
        """Return the part of the file that starts at ``offset``."""
        with self._lock, open(self._path, "rb") as file:
            size = os.fstat(file.fileno()).st_size
            file.seek(offset)
            data = file.read(CHUNK_BYTES)
            return ChunkData(self._index, data, offset + len(data) >= size)

    def store_chunk(self, chunk: Chunk) -> SnapshotMeta | None:
        """Store a part; after the last one return what was received.

        The meta data has index 0 if the parts do not make a whole snapshot.
        """
        mode = "wb" if chunk.offset == 0 else "r+b"
        with open(self._part, mode) as file:
            file.seek(chunk.offset)
            file.truncate()
            file.write(chunk.data)
            if chunk.done:
                file.flush()
                os.fsync(file.fileno())
        if not chunk.done:
            return None
        loaded = _read(self._part)
        if loaded is None or loaded[0] != chunk.meta:
            return SnapshotMeta()
        with self._lock:
            if chunk.meta.index > self._index:
                os.rename(self._part, self._path)
                sync_folder(self._path.parent)
                self._index = chunk.meta.index
        return chunk.meta


def _header(meta: SnapshotMeta, data: bytes) -> bytes:
    label = msgspec.msgpack.encode(meta)
    checksum = zlib.crc32(data, zlib.crc32(label))
    return _HEADER.pack(_MAGIC, len(label), len(data), checksum) + label


def _read(path: Path) -> tuple[SnapshotMeta, bytes] | None:
    """Return what a file holds, or None if it is bad.

    The data is read by itself, so that it is in memory only once.
    """
    with open(path, "rb") as file:
        header = file.read(_HEADER.size)
        if len(header) < _HEADER.size:
            return None
        magic, label_size, size, checksum = _HEADER.unpack(header)
        file_size = os.fstat(file.fileno()).st_size
        if magic != _MAGIC or file_size != _HEADER.size + label_size + size:
            return None
        label = file.read(label_size)
        data = file.read(size)
    if zlib.crc32(data, zlib.crc32(label)) != checksum:
        return None
    return msgspec.msgpack.decode(label, type=SnapshotMeta), data
