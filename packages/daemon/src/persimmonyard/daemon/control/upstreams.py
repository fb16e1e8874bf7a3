"""Liveness of upstreams, from the heartbeats that entries pass on."""

import asyncio
import heapq

from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import CLOCK_DRIFT_FACTOR, UPSTREAM_LEASE_S
from persimmonyard.model import PersimmonyardError
from persimmonyard.state import ChangeEvent, ChangeKind
from persimmonyard.state.commands import RegisterUpstream, SetUpstreamStatus
from persimmonyard.state.records import UpstreamRecord, UpstreamStatus
from persimmonyard.wire import UpstreamHeartbeat

__all__ = ["UpstreamController"]

LIVENESS_CHECK_S = 0.5


FULL_LEASE_S = UPSTREAM_LEASE_S * CLOCK_DRIFT_FACTOR


class UpstreamController:
    """Commit upstreams as lost when their lease has run out.

    Each upstream stands once in ``_deadlines``, a heap that heartbeats do
    not touch: a deadline that comes due is moved if the upstream was heard
    since.  Scanning 16,000 upstreams twice a second would cost more than a
    control process may spend.
    """

    def __init__(self, ledger: Ledger):
        self._ledger = ledger
        self._logger = get_logger("upstreams")
        self.follow()

    def lead(self) -> None:
        """Grant every upstream one full lease."""
        self.follow()
        for upstream_id, known in self._ledger.machine.upstream_by_id.items():
            if known.status != UpstreamStatus.LOST:
                self._expect(upstream_id, self._ledger.clock())

    def follow(self) -> None:
        """Forget all heartbeats."""
        self._heard_at_by_id: dict[str, float] = {}
        self._usage_by_id: dict[str, float] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._returned_ids: set[str] = set()

    def changed(self, changes: list[ChangeEvent]) -> None:
        """Expect heartbeats of upstreams that have registered."""
        for change in changes:
            if change.kind != ChangeKind.UPSTREAM:
                continue
            known = self._ledger.machine.upstream_by_id.get(change.item_id)
            if known is None or known.status == UpstreamStatus.LOST:
                continue
            if change.item_id not in self._heard_at_by_id:
                self._expect(change.item_id, self._ledger.clock())

    def heard(self, heartbeats: tuple[UpstreamHeartbeat, ...]) -> None:
        """Take note of heartbeats."""
        for heartbeat in heartbeats:
            known = self._ledger.machine.upstream_by_id.get(heartbeat.upstream_id)
            if known is None or known.spec.incarnation != heartbeat.incarnation:
                continue
            self._usage_by_id[heartbeat.upstream_id] = heartbeat.accelerators_busy
            self._note(known, self._ledger.clock() - heartbeat.age_s)

    def _note(self, known: UpstreamRecord, heard_at: float) -> None:
        upstream_id = known.spec.upstream_id
        if known.status == UpstreamStatus.LOST:
            if heard_at > self._ledger.clock() - UPSTREAM_LEASE_S:
                self._returned_ids.add(upstream_id)
            return
        previous = self._heard_at_by_id.get(upstream_id)
        if previous is None:
            self._expect(upstream_id, heard_at)
            return
        self._heard_at_by_id[upstream_id] = max(previous, heard_at)

    def _expect(self, upstream_id: str, heard_at: float) -> None:
        self._heard_at_by_id[upstream_id] = heard_at
        heapq.heappush(self._deadlines, (heard_at + FULL_LEASE_S, upstream_id))

    def state(self) -> dict[str, object]:
        """Return what is known of heartbeats, for the state dump."""
        now = self._ledger.clock()
        age_by_id = {}
        for upstream_id, heard_at in self._heard_at_by_id.items():
            age_by_id[upstream_id] = round(now - heard_at, 2)
        return {"heartbeat_age_s_by_id": age_by_id, "busy_by_id": self._usage_by_id}

    async def run(self) -> None:
        """Look for upstreams that are no longer heard, or heard again."""
        while True:
            await asyncio.sleep(LIVENESS_CHECK_S)
            if not self._ledger.leads():
                continue
            await self._restore_returned()
            for known in self._late():
                await self._lose(known)

    def _late(self) -> list[UpstreamRecord]:
        """Return the upstreams whose lease has run out, and forget them."""
        now = self._ledger.clock()
        late = []
        while self._deadlines and self._deadlines[0][0] < now:
            _, upstream_id = heapq.heappop(self._deadlines)
            heard_at = self._heard_at_by_id[upstream_id]
            if heard_at + FULL_LEASE_S >= now:
                self._expect(upstream_id, heard_at)
                continue
            del self._heard_at_by_id[upstream_id]
            known = self._ledger.machine.upstream_by_id.get(upstream_id)
            if known is not None and known.status != UpstreamStatus.LOST:
                late.append(known)
        return late

    async def _lose(self, known: UpstreamRecord) -> None:
        upstream_id = known.spec.upstream_id
        self._logger.warning("upstream lost", upstream=upstream_id)
        command = SetUpstreamStatus(
            upstream_id,
            known.spec.incarnation,
            UpstreamStatus.LOST,
            "no heartbeat within its lease",
        )
        try:
            await self._ledger.commit(command)
        except PersimmonyardError as error:
            self._logger.warning("loss not committed", error=str(error))
            self._expect(upstream_id, self._ledger.clock() - FULL_LEASE_S)

    async def _restore_returned(self) -> None:
        """Register again what was lost and has been heard since."""
        returned = self._returned_ids
        self._returned_ids = set()
        for upstream_id in returned:
            known = self._ledger.machine.upstream_by_id.get(upstream_id)
            if known is None or known.status != UpstreamStatus.LOST:
                continue
            self._logger.info("upstream heard again", upstream=upstream_id)
            try:
                await self._ledger.commit(RegisterUpstream(known.spec))
            except PersimmonyardError as error:
                self._logger.warning("return not committed", error=str(error))
