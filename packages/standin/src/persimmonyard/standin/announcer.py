"""Announcements that a stand-in upstream sends to the entries."""

import asyncio
import contextlib
import itertools
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import httpx

from persimmonyard.standin.faults import Behaviour

__all__ = ["Announcer"]

ANNOUNCE_TIMEOUT_S = 2.0
RETRY_S = 0.3


class Announcer:
    """Announces an upstream to the entries in turn.

    ``describe`` returns a dictionary with the upstream's ``spec`` and the
    number of its ``busy`` slots.  ``lease_until`` is the end of the lease
    that the last answer granted, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        entries: list[str],
        token: str,
        behaviour: Behaviour,
        describe: Callable[[], dict[str, Any]],
    ):
        self.leaving = False
        self.lease_until = 0.0
        self._entries = itertools.cycle(entries)
        self._entry_count = len(entries)
        self._behaviour = behaviour
        self._describe = describe
        self._usage_samples: deque[tuple[float, int]] = deque()
        self._client = httpx.AsyncClient(
            trust_env=False,
            timeout=ANNOUNCE_TIMEOUT_S,
            headers={"Authorization": f"Bearer {token}"},
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start a background task that announces periodically."""
        self._task = asyncio.create_task(self._run())

    async def leave(self) -> None:
        """Announce that the upstream leaves, until an entry acknowledges it.

        Each entry is tried at most once.
        """
        self.leaving = True
        for _ in range(self._entry_count):
            if await self._announce() is not None:
                return

    async def stop(self) -> None:
        """Stop announcing."""
        if self._task is not None:
            self._task.cancel()
        await self._client.aclose()

    async def _run(self) -> None:
        while True:
            interval_s = await self._announce()
            await asyncio.sleep(RETRY_S if interval_s is None else interval_s)

    async def _announce(self) -> float | None:
        """Announce once and return the seconds until the next announcement.

        Return ``None`` if no valid answer came.
        """
        if self._behaviour.vanish:
            return None
        description = self._describe()
        sent_at = time.monotonic()
        body = {
            "spec": description["spec"],
            "sent_at": sent_at,
            "leaving": self.leaving,
            "usage": {
                "busy_slots": self._delayed_usage(description["busy"], sent_at),
                "age_s": self._behaviour.usage_lag_s,
            },
        }
        url = f"{next(self._entries)}/v1/upstreams/announce"
        with contextlib.suppress(httpx.HTTPError, KeyError, ValueError):
            response = await self._client.post(url, json=body)
            reply = response.raise_for_status().json()
            self.lease_until = reply["sent_at"] + reply["lease_s"]
            return float(reply["heartbeat_s"])
        return None

    def _delayed_usage(self, busy: int, now: float) -> int:
        """Return the number of slots that were busy ``usage_lag_s`` ago."""
        self._usage_samples.append((now, busy))
        cutoff = now - self._behaviour.usage_lag_s
        while len(self._usage_samples) > 1 and self._usage_samples[1][0] <= cutoff:
            self._usage_samples.popleft()
        return self._usage_samples[0][1]
