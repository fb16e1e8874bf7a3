"""The monotonic clock of leases and elections."""

import time

__all__ = ["boottime_now"]


def boottime_now() -> float:
    """Return the time of ``CLOCK_BOOTTIME`` in seconds.

    Unlike the clock of the event loop it also advances while the instance is
    suspended, so a lease expires during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
