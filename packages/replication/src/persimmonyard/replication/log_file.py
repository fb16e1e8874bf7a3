"""The log file: a sequence of checksummed frames, one for each sync."""

import errno
import os
import struct
import zlib
from io import FileIO
from pathlib import Path

import msgspec

from persimmonyard.replication.errors import (
    LogDamagedError,
    WriteRefusedError,
    refused_writes,
)
from persimmonyard.replication.events import Record
from persimmonyard.replication.folder import replace_file

__all__ = ["LogFile"]

_MAGIC = b"PYL1"
_HEADER = struct.Struct("<4sIII")
_POSITION_AND_LENGTH = struct.Struct("<QI")

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[Record]] = msgspec.msgpack.Decoder(list[Record])


class LogFile:
    """An append-only file of the records in ``events.Record``.

    All records of one sync form one frame, and a frame is written only after
    the previous one is durable.  So an invalid frame before a valid one is
    damage, and an invalid frame at the end is a torn write, which is cut off.
    """

    def __init__(self, path: Path):
        self._path = path
        self._file = _open_unbuffered(path)

    def read(self) -> list[Record]:
        """Return all records and cut off a torn tail.

        Raises ``LogDamagedError`` if an invalid frame precedes a valid one.
        """
        self._file.seek(0)
        data = self._file.read()
        records: list[Record] = []
        position = 0
        while position < len(data):
            body = _decode_frame(data, position)
            if body is None:
                self._check_torn_tail(data, position)
                break
            records += _decoder.decode(body)
            position += _HEADER.size + len(body)
        self._file.seek(position)
        if position < len(data):
            self._file.truncate()
            self.sync()
        return records

    def _check_torn_tail(self, data: bytes, position: int) -> None:
        later = data.find(_MAGIC, position + 1)
        while later != -1:
            if _decode_frame(data, later) is not None:
                raise LogDamagedError(
                    f"{self._path.name}: invalid frame at byte {position}"
                )
            later = data.find(_MAGIC, later + 1)

    def append(self, records: list[Record]) -> None:
        """Write records as one frame, without a sync.

        Raises ``WriteRefusedError`` if the file system refuses the frame or
        a part of it.  What is left of it is cut off by the next ``read``.
        """
        frame = _encode_frame(self._file.tell(), records)
        with refused_writes():
            written = self._file.write(frame)
        if written != len(frame):
            raise WriteRefusedError(
                errno.ENOSPC, f"log write truncated: {written} of {len(frame)} bytes"
            )

    def sync(self) -> None:
        """Make everything written so far durable."""
        os.fdatasync(self._file.fileno())

    def rewrite(self, records: list[Record]) -> None:
        """Replace the contents with ``records``, atomically and durably.

        Raises ``WriteRefusedError`` if the new file cannot be written; the
        old one is intact then.
        """
        replace_file(self._path, [_encode_frame(0, records)])
        self._file.close()
        self._file = _open_unbuffered(self._path)
        self._file.seek(0, os.SEEK_END)

    def close(self) -> None:
        """Close the file; writes are unbuffered, so none is pending."""
        self._file.close()


def _open_unbuffered(path: Path) -> FileIO:
    """Open a log file without a buffer.

    With a buffer, data that a full disk has refused would be written when the
    file is closed, although the write was reported as failed.
    """
    return open(path, "r+b", buffering=0)


def _header_checksum(position: int, length: int) -> int:
    return zlib.crc32(_POSITION_AND_LENGTH.pack(position, length))


def _encode_frame(position: int, records: list[Record]) -> bytes:
    body = _encoder.encode(records)
    header = _HEADER.pack(
        _MAGIC, len(body), _header_checksum(position, len(body)), zlib.crc32(body)
    )
    return header + body


def _decode_frame(data: bytes, position: int) -> bytes | None:
    """Return the body of the frame at ``position``, or None if invalid."""
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
