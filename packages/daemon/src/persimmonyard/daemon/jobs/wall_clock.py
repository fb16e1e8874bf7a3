"""The time of day, protected from jumps of the system's clock."""

import time
from collections.abc import Callable

from persimmonyard.replication import boottime_now

__all__ = ["SteadyWallClock"]

# Largest correction, in seconds for each second that passes.
_MAX_SLEW = 0.05


class SteadyWallClock:
    """A time of day that advances steadily and never goes back.

    Due times need the time of day, and waiting times and objectives are
    differences of it.  A jump of the system's clock by seconds would start
    scheduled work early, or make all work look late.  This clock advances
    with the steady clock and closes a difference from the system's clock by at
    most 5% of the time that passes, so a jump that is taken back soon leaves
    hardly a trace.
    """

    def __init__(
        self,
        steady: Callable[[], float] = boottime_now,
        system: Callable[[], float] = time.time,
    ):
        self._steady = steady
        self._system = system
        self._adjusted_at = steady()
        self._offset = system() - self._adjusted_at

    def now_s(self) -> float:
        """Return the time in seconds since 1970."""
        now = self._steady()
        error = self._system() - (now + self._offset)
        limit = _MAX_SLEW * (now - self._adjusted_at)
        self._offset += max(-limit, min(limit, error))
        self._adjusted_at = now
        return now + self._offset

    def now_ms(self) -> int:
        """Return the time in milliseconds since 1970."""
        return int(self.now_s() * 1_000)
