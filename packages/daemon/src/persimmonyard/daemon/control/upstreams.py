"""Liveness of upstreams, from the heartbeats that entries forward."""

import asyncio
import heapq
from dataclasses import dataclass
from typing import NamedTuple

from persimmonyard.daemon.control.replicated_state import ReplicatedState
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import CLOCK_DRIFT_FACTOR, UPSTREAM_LEASE_S
from persimmonyard.model import PersimmonyardError
from persimmonyard.state import ChangeEvent, ChangeKind
from persimmonyard.state.commands import RegisterUpstream, SetUpstreamStatus
from persimmonyard.state.records import UpstreamRecord, UpstreamStatus
from persimmonyard.wire import UpstreamHeartbeat

__all__ = ["UpstreamController"]

LIVENESS_CHECK_INTERVAL_S = 0.5
LEASE_WITH_MARGIN_S = UPSTREAM_LEASE_S * CLOCK_DRIFT_FACTOR


class _Usage(NamedTuple):
    """The busy slots of an upstream, at a time of the leader's clock."""

    busy_slots: float
    measured_at: float


@dataclass(slots=True)
class _Lease:
    """The lease of one incarnation, from its last heartbeat on."""

    incarnation: str
    heartbeat_at: float


class UpstreamController:
    """Mark upstreams as lost when their lease has expired.

    ``_deadlines`` is a heap with one entry for each upstream.  Heartbeats do
    not change it: when a deadline passes and a heartbeat has arrived since it
    was set, the upstream is pushed again with a later deadline.  Scanning all
    16,000 upstreams twice a second would exceed the CPU budget of a control
    process.
    """

    def __init__(self, replicated_state: ReplicatedState):
        self._replicated_state = replicated_state
        self._logger = get_logger("upstreams")
        self.on_leadership_lost()

    def on_leadership_gained(self) -> None:
        """Grant every upstream one lease, with the clock margin, from now."""
        self.on_leadership_lost()
        for record in self._replicated_state.machine.upstream_by_id.values():
            if record.status != UpstreamStatus.LOST:
                self._start_lease(record, self._replicated_state.clock())

    def on_leadership_lost(self) -> None:
        """Discard all heartbeats and deadlines."""
        self._lease_by_id: dict[str, _Lease] = {}
        self._usage_by_id: dict[str, _Usage] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._recovered_ids: set[str] = set()

    def on_changes(self, changes: list[ChangeEvent]) -> None:
        """Start the lease of upstreams that have registered or restarted."""
        for change in changes:
            if change.kind != ChangeKind.UPSTREAM:
                continue
            record = self._replicated_state.machine.upstream_by_id.get(change.item_id)
            if record is None or record.status == UpstreamStatus.LOST:
                continue
            lease = self._lease_by_id.get(change.item_id)
            incarnation = record.spec.incarnation
            if lease is not None and lease.incarnation == incarnation:
                continue
            self._usage_by_id.pop(change.item_id, None)
            now = self._replicated_state.clock()
            if lease is None:
                self._start_lease(record, now)
                continue
            # The deadline in the heap stays, as with a heartbeat.
            self._lease_by_id[change.item_id] = _Lease(incarnation, now)

    def record_heartbeats(self, heartbeats: tuple[UpstreamHeartbeat, ...]) -> None:
        """Record heartbeats of the current incarnations of known upstreams."""
        for heartbeat in heartbeats:
            record = self._replicated_state.machine.upstream_by_id.get(
                heartbeat.upstream_id
            )
            if record is None or record.spec.incarnation != heartbeat.incarnation:
                continue
            sent_at = self._replicated_state.clock() - heartbeat.age_s
            if heartbeat.usage_age_s is not None:
                self._usage_by_id[heartbeat.upstream_id] = _Usage(
                    heartbeat.busy_slots, sent_at - heartbeat.usage_age_s
                )
            self._record_heartbeat(record, sent_at)

    def _record_heartbeat(self, record: UpstreamRecord, heartbeat_at: float) -> None:
        upstream_id = record.spec.upstream_id
        if record.status == UpstreamStatus.LOST:
            if heartbeat_at > self._replicated_state.clock() - UPSTREAM_LEASE_S:
                self._recovered_ids.add(upstream_id)
            return
        lease = self._lease_by_id.get(upstream_id)
        if lease is None:
            self._start_lease(record, heartbeat_at)
            return
        lease.heartbeat_at = max(lease.heartbeat_at, heartbeat_at)

    def _start_lease(self, record: UpstreamRecord, heartbeat_at: float) -> None:
        spec = record.spec
        self._lease_by_id[spec.upstream_id] = _Lease(spec.incarnation, heartbeat_at)
        self._push_deadline(spec.upstream_id, heartbeat_at)

    def _push_deadline(self, upstream_id: str, heartbeat_at: float) -> None:
        heapq.heappush(
            self._deadlines, (heartbeat_at + LEASE_WITH_MARGIN_S, upstream_id)
        )

    def dump(self) -> dict[str, object]:
        """Return heartbeat ages and reported usage for the state dump."""
        now = self._replicated_state.clock()
        age_by_id = {}
        for upstream_id, lease in self._lease_by_id.items():
            age_by_id[upstream_id] = round(now - lease.heartbeat_at, 2)
        usage_by_id = {}
        for upstream_id, usage in self._usage_by_id.items():
            usage_by_id[upstream_id] = {
                "busy_slots": usage.busy_slots,
                "age_s": round(now - usage.measured_at, 2),
            }
        return {"heartbeat_age_s_by_id": age_by_id, "usage_by_id": usage_by_id}

    async def run(self) -> None:
        """Mark upstreams as lost or recovered, at a fixed interval."""
        while True:
            await asyncio.sleep(LIVENESS_CHECK_INTERVAL_S)
            if not self._replicated_state.is_leader():
                continue
            await self._restore_recovered()
            for record in self._take_expired():
                await self._commit_lost(record)

    def _take_expired(self) -> list[UpstreamRecord]:
        """Remove and return the upstreams whose lease has expired."""
        now = self._replicated_state.clock()
        expired = []
        while self._deadlines and self._deadlines[0][0] < now:
            _, upstream_id = heapq.heappop(self._deadlines)
            heartbeat_at = self._lease_by_id[upstream_id].heartbeat_at
            if heartbeat_at + LEASE_WITH_MARGIN_S >= now:
                self._push_deadline(upstream_id, heartbeat_at)
                continue
            del self._lease_by_id[upstream_id]
            self._usage_by_id.pop(upstream_id, None)
            record = self._replicated_state.machine.upstream_by_id.get(upstream_id)
            if record is not None and record.status != UpstreamStatus.LOST:
                expired.append(record)
        return expired

    async def _commit_lost(self, record: UpstreamRecord) -> None:
        upstream_id = record.spec.upstream_id
        self._logger.warning("upstream lost", upstream=upstream_id)
        command = SetUpstreamStatus(
            upstream_id,
            record.spec.incarnation,
            UpstreamStatus.LOST,
            "no heartbeat within its lease",
        )
        try:
            await self._replicated_state.commit(command)
        except PersimmonyardError as error:
            self._logger.warning("loss of upstream not committed", error=str(error))
            if upstream_id in self._lease_by_id:
                # It has restarted or was heard from meanwhile.
                return
            self._start_lease(
                record, self._replicated_state.clock() - LEASE_WITH_MARGIN_S
            )

    async def _restore_recovered(self) -> None:
        """Register lost upstreams again that have sent a heartbeat since."""
        recovered_ids = self._recovered_ids
        self._recovered_ids = set()
        for upstream_id in recovered_ids:
            record = self._replicated_state.machine.upstream_by_id.get(upstream_id)
            if record is None or record.status != UpstreamStatus.LOST:
                continue
            self._logger.info(
                "lost upstream sends heartbeats again", upstream=upstream_id
            )
            try:
                await self._replicated_state.commit(RegisterUpstream(record.spec))
            except PersimmonyardError as error:
                self._logger.warning(
                    "recovery of upstream not committed", error=str(error)
                )
