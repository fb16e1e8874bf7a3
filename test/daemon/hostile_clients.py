"""Groups of hostile clients, and the memory of the process that they call."""

import contextlib
import selectors
import socket
import time
from typing import NamedTuple

import psutil

__all__ = ["Group", "Peak", "send_as_group"]

# A group has sent all that its peer accepts once no connection of it could
# send for this time, in seconds.
_STILL_S = 1.0
# The longest time that a group sends, in seconds.
_LONGEST_S = 6.0
_SEND_BYTES = 256 << 10


class Group(NamedTuple):
    """Clients that each send ``head``, then ``unit`` again and again.

    A client stops sending after ``size`` bytes of units, keeps its connection
    open and never reads.
    """

    name: str
    clients: int
    head: bytes
    unit: bytes
    size: int


class Peak(NamedTuple):
    """The most memory, in bytes, and descriptors that a process had."""

    memory: int
    descriptors: int


class _Client:
    """One connection of a group."""

    def __init__(self, address: tuple[str, int], group: Group):
        self.socket = socket.socket()
        # With little room in the kernel, responses stay unread sooner.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.socket.settimeout(10.0)
        self.socket.connect(address)
        self.socket.setblocking(False)
        repeats = max(1, _SEND_BYTES // len(group.unit))
        self._units = memoryview(group.unit * repeats)
        self._pending = memoryview(group.head)
        self._left = group.size

    def send(self) -> bool:
        """Send what the peer accepts; return false once there is no more."""
        while True:
            if not self._pending:
                self._pending = self._units[: self._left]
                self._left -= len(self._pending)
            if not self._pending:
                return False
            try:
                sent = self.socket.send(self._pending)
            except BlockingIOError:
                return True
            except OSError:
                return False
            self._pending = self._pending[sent:]
            if sent:
                return True


def measure(process: psutil.Process, peak: Peak) -> Peak:
    """Return the peak, raised to what the process has now."""
    return Peak(
        max(peak.memory, process.memory_info().rss),
        max(peak.descriptors, process.num_fds()),
    )


def send_as_group(address: tuple[str, int], group: Group, pid: int) -> Peak:
    """Send as a group until nothing more is accepted, then disconnect.

    Return the peak of the process ``pid`` meanwhile.  Raises
    ``psutil.NoSuchProcess`` if it has exited.
    """
    process = psutil.Process(pid)
    peak = measure(process, Peak(0, 0))
    with contextlib.ExitStack() as stack, selectors.DefaultSelector() as selector:
        for _ in range(group.clients):
            client = _Client(address, group)
            stack.callback(client.socket.close)
            selector.register(client.socket, selectors.EVENT_WRITE, client)
        deadline = time.monotonic() + _LONGEST_S
        while selector.get_map() and time.monotonic() < deadline:
            ready = selector.select(_STILL_S)
            if not ready:
                break
            for key, _ in ready:
                if not key.data.send():
                    selector.unregister(key.fileobj)
            peak = measure(process, peak)
        still_until = time.monotonic() + _STILL_S
        while time.monotonic() < still_until:
            peak = measure(process, peak)
            time.sleep(0.05)
    return peak
