"""The HTTP/1.1 parser of a connection, with limits on the size of requests."""

from typing import Any

import h11

__all__ = ["CountingConnection"]


class _TooLargeError(h11.RemoteProtocolError):
    """The head or the body of a request is over its limit."""


class CountingConnection(h11.Connection):
    """Parses requests, and counts the bytes of the one in progress.

    ``request_bytes`` are those of its head and body so far, without framing.
    ``error`` is the error that ended the parsing.
    """

    def __init__(self, head_bytes: int, body_bytes: int):
        super().__init__(h11.SERVER, head_bytes)
        self._head_limit = head_bytes
        self._body_limit = body_bytes
        self._body_bytes = 0
        self.request_bytes = 0
        self.error: h11.RemoteProtocolError | None = None

    def next_event(self) -> Any:
        """Return the next event.

        Raises ``h11.RemoteProtocolError`` for what is not HTTP, or over a
        limit.
        """
        try:
            event = super().next_event()
            kind = type(event)
            if kind is h11.Data:
                self._count_body(len(event.data))  # type: ignore[union-attr]
            elif kind is h11.Request:
                self._check_head(event)
            return event
        except h11.RemoteProtocolError as error:
            self.error = error
            raise

    def start_next_cycle(self) -> None:
        """Begin to count the next request."""
        super().start_next_cycle()
        self._body_bytes = 0
        self.request_bytes = 0

    def unparsed_bytes(self) -> int:
        """Return the bytes received that are not part of an event yet."""
        return len(self._receive_buffer)

    def _check_head(self, event: Any) -> None:
        if event.method == b"CONNECT":
            # An accepted one would turn the connection into a tunnel.
            raise h11.RemoteProtocolError("CONNECT is not served")
        size = len(event.target)
        for name, value in event.headers:
            size += len(name) + len(value) + 4
            # Other values than digits are refused by h11.
            if name == b"content-length" and int(value) > self._body_limit:
                raise self._body_error()
        self.request_bytes = size
        if size > self._head_limit:
            raise _TooLargeError(
                f"the headers have more than {self._head_limit} bytes",
                error_status_hint=431,
            )

    def _count_body(self, size: int) -> None:
        self._body_bytes += size
        self.request_bytes += size
        if self._body_bytes > self._body_limit:
            raise self._body_error()

    def _body_error(self) -> _TooLargeError:
        return _TooLargeError(
            f"the body has more than {self._body_limit} bytes", error_status_hint=413
        )
