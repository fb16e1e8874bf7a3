"""A bound on calls while the control leader does not answer."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

__all__ = ["CircuitBreaker"]

FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0


class CircuitBreaker:
    """Let calls through freely, or one at a time after a failure.

    While calls fail, one call at a time probes, with a pause before it that
    doubles up to ``MAX_PAUSE_S`` and has jitter.  All other calls wait.  A
    failover therefore costs a few calls for each entry, however many callers
    wait there.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._probing = False
        self._changed = asyncio.Event()

    def healthy(self) -> bool:
        """Return whether the last call was answered."""
        return self._failures == 0

    def record_success(self) -> None:
        """Let all calls through."""
        if self._failures:
            self._failures = 0
            self._notify()

    def record_failure(self) -> None:
        """Hold calls back.

        Calls that were under way at the first failure do not lengthen the
        pause.
        """
        if self.healthy() or self._probing:
            self._failures += 1

    @contextlib.asynccontextmanager
    async def call_slot(self) -> AsyncIterator[None]:
        """Wait until a call may be made."""
        while not self.healthy():
            if self._probing:
                await self._changed.wait()
                continue
            self._probing = True
            try:
                await self._pause()
                yield
                return
            finally:
                self._probing = False
                self._notify()
        yield

    async def _pause(self) -> None:
        """Wait out the back-off, or until a call is answered."""
        limit = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(self._failures, 10))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit * random.uniform(0.5, 1.0)):
                while not self.healthy():
                    await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
