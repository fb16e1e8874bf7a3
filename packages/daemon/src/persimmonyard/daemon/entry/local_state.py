"""What an entry knows: configuration under a lease, watched outcomes."""

import asyncio
import time

from persimmonyard.daemon.tokens import matches_any
from persimmonyard.model import ClientAccountSpec
from persimmonyard.state import Configuration
from persimmonyard.wire import (
    ConfigurationUpdate,
    LeaderBeat,
    Outcome,
    UpstreamHeartbeat,
)

__all__ = ["LocalState"]


class LocalState:
    """Volatile state of one entry process."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.lease_until = 0.0
        self.ready = asyncio.Event()
        self._heard_at_by_id: dict[str, tuple[str, float]] = {}
        self._waiters_by_id: dict[str, set[asyncio.Future[Outcome]]] = {}

    # Lease and configuration.

    def lease_valid(self) -> bool:
        """Return whether the session lease is valid on this clock."""
        return time.monotonic() < self.lease_until

    def take_beat(self, beat: LeaderBeat, sent_at: float) -> None:
        """Apply a message of the leader."""
        if beat.sequence:
            self.lease_until = max(self.lease_until, sent_at + beat.lease_s)
        if beat.update is not None:
            self._apply(beat.update)
        for outcome in beat.outcomes:
            self._resolve(outcome)

    def _apply(self, update: ConfigurationUpdate) -> None:
        if update.version <= self.configuration.version:
            return
        if update.full:
            self.configuration = Configuration()
        for change in update.changes:
            self.configuration.apply(change)
        self.configuration.version = update.version
        self.ready.set()

    def account_for(self, token: str) -> ClientAccountSpec | None:
        """Return the client account whose token this is."""
        found = None
        for account in self.configuration.client_account_by_name.values():
            if matches_any(token, account.token_hashes):
                found = account
        return found

    # Upstreams.

    def heard(self, upstream_id: str, incarnation: str) -> None:
        """Note an announcement for the next beat."""
        self._heard_at_by_id[upstream_id] = (incarnation, time.monotonic())

    def take_heartbeats(self) -> tuple[UpstreamHeartbeat, ...]:
        """Return the announcements since the last call."""
        now = time.monotonic()
        heartbeats = []
        for upstream_id, (incarnation, heard_at) in self._heard_at_by_id.items():
            heartbeats.append(
                UpstreamHeartbeat(upstream_id, incarnation, round(now - heard_at, 2))
            )
        self._heard_at_by_id = {}
        return tuple(heartbeats)

    # Outcomes.

    def watched_ids(self) -> tuple[str, ...]:
        """Return the requests whose outcome is waited for."""
        return tuple(self._waiters_by_id)

    async def wait_outcome(self, request_id: str, wait_s: float) -> Outcome | None:
        """Return the outcome of a request, or ``None`` after ``wait_s``."""
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        waiters = self._waiters_by_id.setdefault(request_id, set())
        waiters.add(future)
        try:
            return await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            return None
        finally:
            waiters.discard(future)
            if not waiters:
                self._waiters_by_id.pop(request_id, None)

    def _resolve(self, outcome: Outcome) -> None:
        for future in self._waiters_by_id.pop(outcome.request_id, set()):
            if not future.done():
                future.set_result(outcome)
