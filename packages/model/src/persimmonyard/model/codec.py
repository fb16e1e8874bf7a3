"""MessagePack encoding of data classes that are tagged with their name."""

from typing import Any

import msgspec

from persimmonyard.model.result import PersimmonyardError, ResultCode

__all__ = ["MessageCodec"]


class MessageCodec:
    """Encodes and decodes objects of a fixed set of data classes.

    Each value is written as a pair of its class name and its fields, so the
    receiver of a stream can decode every type of message in it.

    Example: ``codec = MessageCodec([Ping])``, then
    ``codec.decode(codec.encode(Ping(1)))`` returns ``Ping(1)``.
    """

    def __init__(self, classes: list[type]):
        self._class_by_name = {cls.__name__: cls for cls in classes}
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, value: Any) -> bytes:
        """Return ``value``, an object of a registered class, as bytes."""
        return self._encoder.encode((type(value).__name__, value))

    def decode(self, data: bytes) -> Any:
        """Return the value encoded in ``data``.

        Raises ``PersimmonyardError`` with code BAD_JSON if ``data`` is
        malformed, nested too deeply or names a class that is not registered.
        """
        try:
            name, fields = msgspec.msgpack.decode(data)
            return msgspec.convert(fields, self._class_by_name[name])
        except (KeyError, ValueError, TypeError, RecursionError) as error:
            raise PersimmonyardError(
                ResultCode.BAD_JSON, f"malformed message: {error}"
            ) from error
