"""An append-only file of records with length and checksum."""

import os
import struct
import zlib
from pathlib import Path

from persimmonyard.replication.errors import LogDamagedError

__all__ = ["LogFile"]

_HEADER = struct.Struct("<II")


class LogFile:
    """Append records and read them back after a restart.

    A torn tail is cut when the file is opened.  Damage before the tail
    raises ``LogDamagedError``.
    """

    def __init__(self, path: Path):
        self._path = path
        self._file = open(path, "a+b")  # noqa: SIM115

    def read(self) -> list[bytes]:
        """Return all whole records and cut a torn tail."""
        self._file.seek(0)
        data = self._file.read()
        records = []
        position = 0
        while position < len(data):
            record = self._record_at(data, position)
            if record is None:
                break
            records.append(record)
            position += _HEADER.size + len(record)
        self._file.truncate(position)
        return records

    def _record_at(self, data: bytes, position: int) -> bytes | None:
        start = position + _HEADER.size
        if start > len(data):
            return None
        length, checksum = _HEADER.unpack(data[position:start])
        record = data[start : start + length]
        if len(record) < length:
            return None
        if zlib.crc32(record) != checksum:
            if start + length == len(data):
                return None
            raise LogDamagedError(f"{self._path.name}: bad checksum at {position}")
        return record

    def append(self, records: list[bytes]) -> None:
        """Write records without making them durable."""
        parts = []
        for record in records:
            parts.append(_HEADER.pack(len(record), zlib.crc32(record)))
            parts.append(record)
        self._file.write(b"".join(parts))
        self._file.flush()

    def sync(self) -> None:
        """Make everything written so far durable."""
        os.fdatasync(self._file.fileno())

    def close(self) -> None:
        """Close the file."""
        self._file.close()
