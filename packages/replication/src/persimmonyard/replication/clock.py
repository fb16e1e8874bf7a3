"""The clock that leases and elections use."""

import time

__all__ = ["boottime_now"]


def boottime_now() -> float:
    """Return the steady clock in seconds.

    Unlike the event loop's clock it counts the time for which the instance
    was suspended, so that a lease ends meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
