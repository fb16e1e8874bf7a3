"""A circuit breaker for calls to the control leader."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

__all__ = ["CircuitBreaker"]

BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class CircuitBreaker:
    """Lets all calls pass, or only one probe at a time after a failure.

    After a failure, one call at a time is sent as a probe, after an
    exponential backoff with jitter of at most ``MAX_BACKOFF_S`` seconds.  All
    other calls wait instead of failing.  A failover therefore costs a few
    calls for each entry, however many callers wait there.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._probing = False
        self._state_changed = asyncio.Event()

    def healthy(self) -> bool:
        """Return whether no call has failed since the last success."""
        return self._failures == 0

    def record_success(self) -> None:
        """Let all calls pass again."""
        if self._failures:
            self._failures = 0
            self._notify()

    def record_failure(self) -> None:
        """Hold calls back, and lengthen the backoff after a failed probe.

        Failures of calls that were in flight at the first failure do not
        lengthen it.
        """
        if self.healthy() or self._probing:
            self._failures += 1

    @contextlib.asynccontextmanager
    async def call_slot(self) -> AsyncIterator[None]:
        """Wait until a call may be sent; the context spans the call."""
        while not self.healthy():
            if self._probing:
                await self._state_changed.wait()
                continue
            self._probing = True
            try:
                await self._back_off()
                yield
                return
            finally:
                self._probing = False
                self._notify()
        yield

    async def _back_off(self) -> None:
        """Wait until the backoff has passed or a call has succeeded."""
        backoff_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** min(self._failures, 10))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(backoff_s * random.uniform(0.5, 1.0)):
                while not self.healthy():
                    await self._state_changed.wait()

    def _notify(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()
