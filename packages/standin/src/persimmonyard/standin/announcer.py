"""The announcements of a stand-in upstream to the entries."""

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
    """Announce to one entry after another, and at once when leaving.

    ``describe`` returns the upstream's ``spec`` and its ``busy`` slots.
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
        self._usages: deque[tuple[float, int]] = deque()
        self._client = httpx.AsyncClient(
            trust_env=False,
            timeout=ANNOUNCE_TIMEOUT_S,
            headers={"Authorization": f"Bearer {token}"},
        )
        self._loop: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Announce in the background."""
        self._loop = asyncio.create_task(self._run())

    async def leave(self) -> None:
        """Tell the first entry that answers that the upstream leaves."""
        self.leaving = True
        for _ in range(self._entry_count):
            if await self._announce() is not None:
                return

    async def stop(self) -> None:
        """Stop announcing."""
        if self._loop is not None:
            self._loop.cancel()
        await self._client.aclose()

    async def _run(self) -> None:
        while True:
            pause = await self._announce()
            await asyncio.sleep(RETRY_S if pause is None else pause)

    async def _announce(self) -> float | None:
        """Announce once; return the time to the next announcement."""
        if self._behaviour.vanish:
            return None
        described = self._describe()
        sent_at = time.monotonic()
        body = {
            "spec": described["spec"],
            "sent_at": sent_at,
            "leaving": self.leaving,
            "usage": {
                "busy_slots": self._lagging_usage(described["busy"], sent_at),
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

    def _lagging_usage(self, busy: int, now: float) -> int:
        """Return the number of busy slots of some seconds ago."""
        self._usages.append((now, busy))
        limit = now - self._behaviour.usage_lag_s
        while len(self._usages) > 1 and self._usages[1][0] <= limit:
            self._usages.popleft()
        return self._usages[0][1]
