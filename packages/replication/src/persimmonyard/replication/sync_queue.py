"""What waits until the disk has synced."""

from collections.abc import Callable

from persimmonyard.replication.events import Action, Sync

__all__ = ["SyncQueue"]


class SyncQueue:
    """Order writes and syncs, one sync at a time.

    Whatever is written during a sync shares the next one.  ``synced_index``
    is the last log index that is known to be durable.
    """

    def __init__(self, synced_index: int):
        self.synced_index = synced_index
        self._dirty = False
        self._token = 0
        self._in_flight = False
        self._in_flight_index = 0
        self._waiting_in_flight: list[Callable[[], None]] = []
        self._waiting_next: list[Callable[[], None]] = []

    def written(self) -> None:
        """Note that something was written."""
        self._dirty = True

    def truncated(self, last_index: int) -> None:
        """Note that the log ends at ``last_index`` now."""
        self.synced_index = min(self.synced_index, last_index)
        self._in_flight_index = min(self._in_flight_index, last_index)

    def after_sync(self, call: Callable[[], None]) -> None:
        """Call when everything written so far is durable."""
        if self._dirty:
            self._waiting_next.append(call)
        elif self._in_flight:
            self._waiting_in_flight.append(call)
        else:
            call()

    def start(self, last_index: int) -> list[Action]:
        """Return the sync to start, if there is one."""
        if self._in_flight or not self._dirty:
            return []
        self._dirty = False
        self._in_flight = True
        self._in_flight_index = last_index
        self._waiting_in_flight = self._waiting_next
        self._waiting_next = []
        self._token += 1
        return [Sync(self._token)]

    def finished(self, token: int) -> list[Callable[[], None]]:
        """Return the calls that waited for the sync ``token``."""
        if not self._in_flight or token != self._token:
            return []
        self._in_flight = False
        self.synced_index = max(self.synced_index, self._in_flight_index)
        calls = self._waiting_in_flight
        self._waiting_in_flight = []
        return calls
