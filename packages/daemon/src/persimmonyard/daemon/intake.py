"""The limits on what the connections of a process hold in memory.

All HTTP servers of a process share one ``Intake``, which counts the bytes that
their connections hold and disconnects some of them above the limit.
"""

import asyncio
import resource
from collections import Counter
from typing import Protocol

import msgspec

from persimmonyard.daemon.logs import get_logger

__all__ = ["CONNECTION_COST_BYTES", "Holder", "Intake", "IntakeLimits"]

# What an open connection counts without any data, in bytes.  Measured were 5.1
# KB for each of 1,000 connections after their first request.
CONNECTION_COST_BYTES = 8 << 10
# Half of the process's descriptors are left for its files, its own connections
# and refused connections that have not been closed yet.
_DESCRIPTOR_DIVISOR = 2
# Refusals are counted for this time, in seconds, before they are logged.
_LOG_INTERVAL_S = 10.0


class IntakeLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a process; fields that end in ``_s`` are seconds.

    ``memory_bytes`` is for all connections, ``connections`` for those of one
    listener, and the others are for each connection.  A ``body_bytes`` of 0
    in a settings file stands for the limit of the role.
    """

    memory_bytes: int = 32 << 20
    connection_bytes: int = (4 << 20) + (256 << 10)
    body_bytes: int = 0
    head_bytes: int = 65_536
    head_s: float = 20.0
    body_s: float = 30.0
    unread_answer_s: float = 10.0
    connections: int = 2_048

    def find_conflict(self) -> str:
        """Return a bad field and what it accepts; empty if none is bad."""
        for name in self.__struct_fields__:
            if getattr(self, name) <= 0:
                return f"{name} above 0"
        least = self.body_bytes + self.head_bytes
        if self.connection_bytes < least:
            return f"connection_bytes at least {least}, for a body and its headers"
        if self.memory_bytes < self.connection_bytes:
            return "memory_bytes at least connection_bytes"
        return ""


class Holder(Protocol):
    """A connection, as the intake sees it.

    ``charged_bytes`` is written by the intake only.  ``opened_number`` grows
    with each connection of the process.
    """

    charged_bytes: int
    opened_number: int

    def held_bytes(self) -> int:
        """Return the bytes that the connection holds now."""

    def shed(self) -> None:
        """Refuse the request that is being received, or disconnect."""


class Intake:
    """Counts the bytes that connections hold, and keeps them under a limit.

    ``used_bytes`` is what connections hold, as they last stated it.
    """

    def __init__(self, limits: IntakeLimits):
        self.limits = limits
        self.used_bytes = 0
        self.refusals: Counter[tuple[str, str]] = Counter()
        self._holders: set[Holder] = set()
        self._opened = 0
        self._most_connections = _most_connections()
        self._relieving = False
        self._log = get_logger("intake")
        self._unlogged: Counter[tuple[str, str]] = Counter()

    def open(self, holder: Holder) -> None:
        """Begin to count a connection."""
        self._opened += 1
        holder.opened_number = self._opened
        holder.charged_bytes = 0
        self._holders.add(holder)
        self.charge(holder)

    def close(self, holder: Holder) -> None:
        """Count a connection no longer."""
        if holder in self._holders:
            self._holders.remove(holder)
            self.used_bytes -= holder.charged_bytes

    def has_too_many(self) -> bool:
        """Return whether more connections are open than descriptors allow."""
        return len(self._holders) > self._most_connections

    def charge(self, holder: Holder) -> None:
        """Count what a connection holds now, and shed load above the limit."""
        self._recount(holder)
        if self.used_bytes > self.limits.memory_bytes and not self._relieving:
            self._relieve()

    def count_refusal(self, listener: str, reason: str) -> None:
        """Count a refused or closed connection; it is logged with others."""
        self.refusals[listener, reason] += 1
        if not self._unlogged:
            loop = asyncio.get_running_loop()
            loop.call_later(_LOG_INTERVAL_S, self.log_refusals)
        self._unlogged[listener, reason] += 1

    def log_refusals(self) -> None:
        """Log what was refused since the last time, a line for each kind."""
        unlogged, self._unlogged = self._unlogged, Counter()
        for (listener, reason), count in unlogged.items():
            self._log.warning(
                "connections refused",
                listener=listener,
                reason=reason,
                count=count,
                used_bytes=self.used_bytes,
            )

    def _recount(self, holder: Holder) -> None:
        if holder not in self._holders:
            return
        held = holder.held_bytes()
        self.used_bytes += held - holder.charged_bytes
        holder.charged_bytes = held

    def _relieve(self) -> None:
        """Shed connections until the others are under the limit.

        Those that hold most go first, and among those that hold about the same
        (up to a factor of two) the newest, so that a request is not refused
        for having arrived further than others.
        """
        self._relieving = True
        try:
            # Buffers drain without notice, so the counts may be too high.
            for holder in self._holders:
                self._recount(holder)
            if self.used_bytes <= self.limits.memory_bytes:
                return
            by_rank = sorted(self._holders, key=_shed_rank)
            while by_rank and self.used_bytes > self.limits.memory_bytes:
                holder = by_rank.pop()
                holder.shed()
                self._recount(holder)
        finally:
            self._relieving = False


def _most_connections() -> float:
    """Return how many connections the process may have open at a time."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return float("inf")
    return soft_limit // _DESCRIPTOR_DIVISOR


def _shed_rank(holder: Holder) -> tuple[int, int]:
    return holder.charged_bytes.bit_length(), holder.opened_number
