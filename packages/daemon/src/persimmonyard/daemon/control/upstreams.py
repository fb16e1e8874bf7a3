"""Liveness of upstreams, from the heartbeats that entries pass on."""

import asyncio
import time

from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import CLOCK_MARGIN, UPSTREAM_LEASE_S
from persimmonyard.model import PersimmonyardError
from persimmonyard.state import Change
from persimmonyard.state.commands import RegisterUpstream, SetUpstreamStatus
from persimmonyard.state.records import UpstreamRecord, UpstreamStatus
from persimmonyard.wire import UpstreamHeartbeat

__all__ = ["UpstreamController"]

LIVENESS_CHECK_S = 0.5


class UpstreamController:
    """Commit upstreams as lost when their lease has run out."""

    def __init__(self, ledger: Ledger):
        self._ledger = ledger
        self._logger = get_logger("upstreams")
        self._heard_at_by_id: dict[str, float] = {}
        self._returned_ids: set[str] = set()

    def lead(self) -> None:
        """Grant every upstream one full lease."""
        now = time.monotonic()
        self._heard_at_by_id = {}
        for upstream_id in self._ledger.machine.upstream_by_id:
            self._heard_at_by_id[upstream_id] = now

    def follow(self) -> None:
        """Forget all heartbeats."""
        self._heard_at_by_id = {}
        self._returned_ids = set()

    def changed(self, changes: list[Change]) -> None:
        """Do nothing: liveness depends on heartbeats only."""

    def heard(self, heartbeats: tuple[UpstreamHeartbeat, ...]) -> None:
        """Take note of heartbeats."""
        now = time.monotonic()
        for heartbeat in heartbeats:
            known = self._ledger.machine.upstream_by_id.get(heartbeat.upstream_id)
            if known is None or known.spec.incarnation != heartbeat.incarnation:
                continue
            heard_at = now - heartbeat.age_s
            if known.status == UpstreamStatus.LOST:
                self._note_return(heartbeat, heard_at)
            previous = self._heard_at_by_id.get(heartbeat.upstream_id, heard_at)
            self._heard_at_by_id[heartbeat.upstream_id] = max(previous, heard_at)

    def _note_return(self, heartbeat: UpstreamHeartbeat, heard_at: float) -> None:
        """Register a lost upstream again if it was heard within its lease.

        Entries do not register it again, because to them nothing changed.
        """
        if heard_at >= time.monotonic() - UPSTREAM_LEASE_S:
            self._returned_ids.add(heartbeat.upstream_id)

    async def _register_returned(self) -> None:
        while self._returned_ids:
            known = self._ledger.machine.upstream_by_id[self._returned_ids.pop()]
            try:
                await self._ledger.commit(RegisterUpstream(known.spec))
            except PersimmonyardError as error:
                self._logger.warning("return not committed", error=str(error))

    async def run(self) -> None:
        """Look for upstreams that are no longer heard."""
        while True:
            await asyncio.sleep(LIVENESS_CHECK_S)
            if not self._ledger.leading:
                continue
            await self._register_returned()
            limit = time.monotonic() - UPSTREAM_LEASE_S * CLOCK_MARGIN
            for known in list(self._ledger.machine.upstream_by_id.values()):
                await self._check(known, limit)

    async def _check(self, known: UpstreamRecord, limit: float) -> None:
        if known.status == UpstreamStatus.LOST:
            return
        upstream_id = known.spec.upstream_id
        heard_at = self._heard_at_by_id.setdefault(upstream_id, time.monotonic())
        if heard_at >= limit:
            return
        self._logger.warning("upstream lost", upstream=upstream_id)
        try:
            await self._ledger.commit(
                SetUpstreamStatus(
                    upstream_id,
                    known.spec.incarnation,
                    UpstreamStatus.LOST,
                    "no heartbeat within its lease",
                )
            )
        except PersimmonyardError as error:
            self._logger.warning("loss not committed", error=str(error))
