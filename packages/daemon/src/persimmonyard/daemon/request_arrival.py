"""How long a request may have been on its way, as its connection shows.

Load pattern: a cut holds up the bytes of a request for seconds.  Its sender
has closed the connection and asked another process since, but the bytes still
arrive when the cut heals, and nothing in them tells their age.
"""

import asyncio
import contextlib
import math
import socket
import struct
from typing import Any, NamedTuple

__all__ = ["RequestArrival"]

# Interval of the checks whether a connection is still open, in seconds.
_OPEN_CHECK_S = 0.01
# How long a connection has to stay open after a request, in seconds: at least
# this, and longer than the round trip that its end takes behind held-up bytes.
_MIN_OPEN_S = 0.05
_ROUND_TRIPS = 2
_MARGIN_S = 0.02
# The same where the kernel does not tell the round trip.
_UNKNOWN_OPEN_S = 0.1
# The beginning of the kernel's struct tcp_info: tcpi_rtt, in microseconds, is
# at byte 68, and tcpi_total_retrans at byte 100.
_TCP_INFO = struct.Struct("=68xI28xI")


class _KernelView(NamedTuple):
    """What the kernel tells of a connection, from its struct tcp_info.

    ``round_trip_s`` is smoothed, and ``retransmitted`` the number of segments
    that were sent again.
    """

    round_trip_s: float
    retransmitted: int


class RequestArrival:
    """The arrival of a request on a connection.

    A sender that opens a connection for a request sends it at once, so the
    time from the connection to the first request is how long that has waited,
    however slow the path is.  A later request may have waited for any time;
    only that its connection stays open shows that its sender has not left.
    Times are those of the event loop, in seconds.
    """

    def __init__(self, transport: asyncio.Transport, is_first: bool):
        self._transport = transport
        self._is_first = is_first
        self._connected_at = asyncio.get_running_loop().time()
        view = _read_kernel_view(transport) if is_first else None
        self._handshake_was_late = view is not None and view.retransmitted > 0

    @classmethod
    def of_later_request(cls, transport: asyncio.Transport) -> "RequestArrival":
        """Return the arrival of a later request on a connection."""
        return cls(transport, is_first=False)

    def known_wait_s(self) -> float:
        """Return how long the request has waited at least, or infinity.

        The time for which the process itself did not read is not part of it.
        A handshake that had to be repeated has taken a second.
        """
        if not self._is_first:
            return 0.0
        if self._handshake_was_late:
            return math.inf
        return asyncio.get_running_loop().time() - self._connected_at

    def open_check_s(self) -> float:
        """Return for how long the connection has to stay open, in seconds."""
        if self._is_first:
            return _MIN_OPEN_S
        view = _read_kernel_view(self._transport)
        if view is None:
            return _UNKNOWN_OPEN_S
        return max(_MIN_OPEN_S, _ROUND_TRIPS * view.round_trip_s + _MARGIN_S)

    async def stays_open(self, within_s: float) -> bool:
        """Return whether the sender keeps the connection open for some time.

        The end of a connection follows held-up bytes by a round trip.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        while loop.time() < until:
            if self._transport.is_closing():
                return False
            await asyncio.sleep(_OPEN_CHECK_S)
        return not self._transport.is_closing()


def _read_kernel_view(transport: asyncio.Transport) -> _KernelView | None:
    """Return what the kernel tells of a connection, or None."""
    connection: Any = transport.get_extra_info("socket")
    if connection is None or not hasattr(socket, "TCP_INFO"):
        return None
    with contextlib.suppress(OSError, struct.error):
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        round_trip_us, retransmitted = _TCP_INFO.unpack(info)
        return _KernelView(round_trip_us / 1e6, retransmitted)
    return None
