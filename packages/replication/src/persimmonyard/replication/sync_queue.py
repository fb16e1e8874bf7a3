"""Scheduling of disk syncs, and the callbacks that wait for them."""

from collections.abc import Callable

from persimmonyard.replication.events import Action, Sync

__all__ = ["SyncQueue"]


class SyncQueue:
    """Runs one sync at a time; writes made during a sync share the next one.

    ``synced_index`` is the last log index that is known to be durable.
    """

    def __init__(self, synced_index: int):
        self.synced_index = synced_index
        self._dirty = False
        self._token = 0
        self._in_flight = False
        self._in_flight_index = 0
        self._in_flight_callbacks: list[Callable[[], None]] = []
        self._next_callbacks: list[Callable[[], None]] = []

    def mark_dirty(self) -> None:
        """Record that there are writes to sync."""
        self._dirty = True

    def on_truncated(self, last_index: int) -> None:
        """Record that the log was truncated and ends at ``last_index``."""
        self.synced_index = min(self.synced_index, last_index)
        self._in_flight_index = min(self._in_flight_index, last_index)

    def after_sync(self, callback: Callable[[], None]) -> None:
        """Call back when all writes so far are durable, maybe at once."""
        if self._dirty:
            self._next_callbacks.append(callback)
        elif self._in_flight:
            self._in_flight_callbacks.append(callback)
        else:
            callback()

    def start(self, last_index: int) -> list[Action]:
        """Return a ``Sync`` action if a sync is due and none is running."""
        if self._in_flight or not self._dirty:
            return []
        self._dirty = False
        self._in_flight = True
        self._in_flight_index = last_index
        self._in_flight_callbacks = self._next_callbacks
        self._next_callbacks = []
        self._token += 1
        return [Sync(self._token)]

    def on_synced(self, token: int) -> list[Callable[[], None]]:
        """Record that the sync ``token`` ended and return its callbacks."""
        if not self._in_flight or token != self._token:
            return []
        self._in_flight = False
        self.synced_index = max(self.synced_index, self._in_flight_index)
        callbacks = self._in_flight_callbacks
        self._in_flight_callbacks = []
        return callbacks
