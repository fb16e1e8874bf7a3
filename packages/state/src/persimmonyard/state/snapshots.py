"""The encoding of snapshots as a sequence of length-prefixed parts.

Each part is a msgpack document after its length, a little-endian integer of
four bytes.  The first part holds everything but the requests, and each other
part holds up to ``REQUESTS_PER_PART`` requests.  The parts are decoded one at
a time: decoding all requests at once would hold many copies of each repeated
string in memory until the strings are interned.
"""

import io
import itertools
import struct
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import msgspec

from persimmonyard.state.records import RequestRecord
from persimmonyard.state.store import StoreContents

__all__ = ["decode_contents", "decode_requests", "encode_snapshot"]

REQUESTS_PER_PART = 256

_LENGTH = struct.Struct("<I")
_ENCODER = msgspec.msgpack.Encoder()
_CONTENTS_DECODER = msgspec.msgpack.Decoder(StoreContents)
_REQUESTS_DECODER = msgspec.msgpack.Decoder(list[RequestRecord])


def encode_snapshot(contents: StoreContents) -> bytes:
    """Return an encoded snapshot.

    The data is not copied at the end, because ``getvalue`` returns the
    internal buffer.
    """
    buffer = io.BytesIO()
    _append_part(buffer, replace(contents, request_by_id={}))
    records = iter(contents.request_by_id.values())
    while part := list(itertools.islice(records, REQUESTS_PER_PART)):
        _append_part(buffer, part)
    return buffer.getvalue()


def decode_contents(data: bytes) -> StoreContents:
    """Decode the contents of a snapshot, without its requests."""
    return _CONTENTS_DECODER.decode(next(_iter_parts(data)))


def decode_requests(data: bytes) -> Iterator[RequestRecord]:
    """Decode the requests of a snapshot one by one, in their order."""
    for part in itertools.islice(_iter_parts(data), 1, None):
        yield from _REQUESTS_DECODER.decode(part)


def _append_part(buffer: io.BytesIO, part: Any) -> None:
    encoded = _ENCODER.encode(part)
    buffer.write(_LENGTH.pack(len(encoded)))
    buffer.write(encoded)


def _iter_parts(data: bytes) -> Iterator[memoryview]:
    view = memoryview(data)
    offset = 0
    while offset < len(view):
        (size,) = _LENGTH.unpack_from(view, offset)
        offset += _LENGTH.size
        yield view[offset : offset + size]
        offset += size
