"""The log file: frames with length and checksum, one for each sync."""

import errno
import os
import struct
import zlib
from io import FileIO
from pathlib import Path

import msgspec

from persimmonyard.replication.errors import LogDamagedError
from persimmonyard.replication.events import Record
from persimmonyard.replication.folder import replace_file

__all__ = ["LogFile"]

_MAGIC = b"PYL1"
_HEADER = struct.Struct("<4sIII")
_OFFSET = struct.Struct("<QI")

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[Record]] = msgspec.msgpack.Decoder(list[Record])


class LogFile:
    """Append records and read them back after a restart.

    All records of one sync form one frame, and a frame is written only after
    the one before it is durable.  So a bad frame with a good one after it is
    damage, and a bad frame at the end is a torn tail, which is cut.
    """

    def __init__(self, path: Path):
        self._path = path
        self._file = _open(path)

    def read(self) -> list[Record]:
        """Return all records and cut a torn tail.

        Raises ``LogDamagedError`` if a frame before the tail is bad.
        """
        self._file.seek(0)
        data = self._file.read()
        records: list[Record] = []
        position = 0
        while position < len(data):
            body = _frame_at(data, position)
            if body is None:
                self._check_tail(data, position)
                break
            records += _decoder.decode(body)
            position += _HEADER.size + len(body)
        self._file.seek(position)
        if position < len(data):
            self._file.truncate()
            self.sync()
        return records

    def _check_tail(self, data: bytes, position: int) -> None:
        later = data.find(_MAGIC, position + 1)
        while later != -1:
            if _frame_at(data, later) is not None:
                raise LogDamagedError(f"{self._path.name}: bad frame at {position}")
            later = data.find(_MAGIC, later + 1)

    def append(self, records: list[Record]) -> None:
        """Write records as one frame without making them durable.

        Raises ``OSError`` if the disk takes only a part of it.
        """
        frame = _frame(self._file.tell(), records)
        written = self._file.write(frame)
        if written != len(frame):
            raise OSError(errno.ENOSPC, f"{written} of {len(frame)} bytes were written")

    def sync(self) -> None:
        """Make everything written so far durable."""
        os.fdatasync(self._file.fileno())

    def rewrite(self, records: list[Record]) -> None:
        """Replace the file by one that holds ``records``, durably."""
        replace_file(self._path, [_frame(0, records)])
        self._file.close()
        self._file = _open(self._path)
        self._file.seek(0, os.SEEK_END)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _open(path: Path) -> FileIO:
    """Open a log without a buffer, so that nothing is left to write later.

    What a full disk refused must not be written when the file is closed.
    """
    return open(path, "r+b", buffering=0)


def _header_checksum(position: int, length: int) -> int:
    return zlib.crc32(_OFFSET.pack(position, length))


def _frame(position: int, records: list[Record]) -> bytes:
    body = _encoder.encode(records)
    header = _HEADER.pack(
        _MAGIC, len(body), _header_checksum(position, len(body)), zlib.crc32(body)
    )
    return header + body


def _frame_at(data: bytes, position: int) -> bytes | None:
    """Return the body of the frame at ``position``, or None if it is bad."""
    start = position + _HEADER.size
    if start > len(data):
        return None
    magic, length, header_checksum, checksum = _HEADER.unpack(data[position:start])
    if magic != _MAGIC or header_checksum != _header_checksum(position, length):
        return None
    body = data[start : start + length]
    if len(body) < length or zlib.crc32(body) != checksum:
        return None
    return body
