"""Binary coding of tagged data classes."""

from typing import Any

import msgspec

from persimmonyard.model.result import PersimmonyardError, ResultCode

__all__ = ["Registry"]


class Registry:
    """Encode and decode instances of the registered data classes.

    Each value is written as its class name and its fields, so one reader can
    decode every kind of message.

    Example: ``Registry([Ping]).decode(Registry([Ping]).encode(Ping(1)))``.
    """

    def __init__(self, classes: list[type]):
        self._class_by_name = {cls.__name__: cls for cls in classes}
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, value: Any) -> bytes:
        """Return the bytes of ``value``, an instance of a known class."""
        return self._encoder.encode((type(value).__name__, value))

    def decode(self, data: bytes) -> Any:
        """Return the value in ``data``; raise BAD_JSON if it is malformed."""
        try:
            name, fields = msgspec.msgpack.decode(data)
            return msgspec.convert(fields, self._class_by_name[name])
        except (KeyError, ValueError, TypeError) as error:
            raise PersimmonyardError(
                ResultCode.BAD_JSON, f"malformed message: {error}"
            ) from error
