"""How long requests may have waited while a process did not run.

Load pattern: an instance freezes for seconds, with requests in its sockets,
and wakes.  Their senders have given up and have sent others elsewhere since,
so what is read right after a stall may be as old as the stall.
"""

import asyncio
from collections.abc import Callable

from persimmonyard.replication import boottime_now

__all__ = ["STALL_TICK_S", "StallClock"]

# Interval of ``tick``, in seconds.
STALL_TICK_S = 0.05
# A tick that is this late, in seconds, shows a stall.
_MIN_STALL_S = 0.15
# What waited during a stall is read within this time after it, in seconds, or
# within the length of the stall if that is shorter.
_BACKLOG_S = 1.0


class StallClock:
    """Bounds the age of the requests that a process is reading.

    ``run`` has to be running on the event loop that reads the requests, for
    example::

        if clock.longest_wait_s() > timeout_s:
            refuse()  # The sender may have left.
    """

    def __init__(self, now: Callable[[], float] = boottime_now):
        self._now = now
        self._ticked_at = now()
        self._stall_began_at = self._ticked_at
        self._backlog_until = float("-inf")

    def tick(self) -> None:
        """Record that the event loop runs."""
        now = self._now()
        if now - self._ticked_at > STALL_TICK_S + _MIN_STALL_S:
            if self._ticked_at >= self._backlog_until:
                self._stall_began_at = self._ticked_at
            stall_s = now - self._stall_began_at
            self._backlog_until = now + min(_BACKLOG_S, stall_s)
        self._ticked_at = now

    async def run(self) -> None:
        """Tick until the task is cancelled."""
        # The process has read nothing before.
        self._ticked_at = self._now()
        while True:
            self.tick()
            await asyncio.sleep(STALL_TICK_S)

    def longest_wait_s(self) -> float:
        """Return how long a request that is read now may have waited."""
        # The loop may read requests before it ticks again after a stall.
        self.tick()
        now = self._now()
        if now >= self._backlog_until:
            return 0.0
        return now - self._stall_began_at
