"""The encoding of snapshots: parts that are decoded one after the other.

Each part is a msgpack document behind its length in four bytes.  The first
one holds everything but the requests, the others hold up to
``REQUESTS_PER_PART`` requests each.  Decoding all requests at once would hold
every repeated string of the state many times until the strings are shared.
"""

import io
import itertools
import struct
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import msgspec

from persimmonyard.state.records import RequestRecord
from persimmonyard.state.store import Contents

__all__ = ["decode_contents", "decode_requests", "encode_contents"]

REQUESTS_PER_PART = 256

_LENGTH = struct.Struct("<I")
_ENCODER = msgspec.msgpack.Encoder()
_CONTENTS = msgspec.msgpack.Decoder(Contents)
_REQUESTS = msgspec.msgpack.Decoder(list[RequestRecord])


def encode_contents(contents: Contents) -> bytes:
    """Return a snapshot; ``getvalue`` hands its buffer out without a copy."""
    buffer = io.BytesIO()
    _append(buffer, replace(contents, request_by_id={}))
    records = iter(contents.request_by_id.values())
    while part := list(itertools.islice(records, REQUESTS_PER_PART)):
        _append(buffer, part)
    return buffer.getvalue()


def decode_contents(data: bytes) -> Contents:
    """Return the contents of a snapshot without its requests."""
    return _CONTENTS.decode(next(_parts(data)))


def decode_requests(data: bytes) -> Iterator[RequestRecord]:
    """Yield the requests of a snapshot in their order."""
    for part in itertools.islice(_parts(data), 1, None):
        yield from _REQUESTS.decode(part)


def _append(buffer: io.BytesIO, part: Any) -> None:
    encoded = _ENCODER.encode(part)
    buffer.write(_LENGTH.pack(len(encoded)))
    buffer.write(encoded)


def _parts(data: bytes) -> Iterator[memoryview]:
    view = memoryview(data)
    offset = 0
    while offset < len(view):
        (size,) = _LENGTH.unpack_from(view, offset)
        offset += _LENGTH.size
        yield view[offset : offset + size]
        offset += size
