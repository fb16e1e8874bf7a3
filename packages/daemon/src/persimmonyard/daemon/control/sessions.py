"""Sessions of entries: leases, configuration in force, dispatch."""

import asyncio
import time
from dataclasses import dataclass, field

from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.daemon.control.views import order_for, outcome_of
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import CLOCK_MARGIN, ENTRY_LEASE_S
from persimmonyard.model import PersimmonyardError
from persimmonyard.state import Change, ChangeKind
from persimmonyard.state.commands import AssignDispatch
from persimmonyard.state.records import AttemptState, RequestRecord
from persimmonyard.wire import (
    ConfigurationUpdate,
    DispatchOrder,
    EntryBeat,
    LeaderBeat,
    Outcome,
)

__all__ = ["EntrySession", "SessionController"]

EXPIRY_CHECK_S = 0.2


@dataclass
class EntrySession:
    """The stream of one entry process."""

    entry_id: str
    zone: str
    expires_at: float
    outbox: asyncio.Queue[LeaderBeat] = field(default_factory=asyncio.Queue)
    confirmed_version: int = 0
    sent_version: int = 0
    stopping: bool = False
    watched_ids: set[str] = field(default_factory=set)
    sent_fence_by_id: dict[str, tuple[int, str]] = field(default_factory=dict)

    def push(
        self,
        update: ConfigurationUpdate | None = None,
        orders: tuple[DispatchOrder, ...] = (),
        outcomes: tuple[Outcome, ...] = (),
    ) -> None:
        """Send something outside the reply to a beat."""
        self.outbox.put_nowait(LeaderBeat(0, 0.0, update, orders, outcomes))


class SessionController:
    """Keep the sessions of entries and give them their attempts."""

    def __init__(self, ledger: Ledger):
        self._ledger = ledger
        self._logger = get_logger("sessions")
        self._session_by_entry: dict[str, EntrySession] = {}
        self._request_ids_by_entry: dict[str, set[str]] = {}
        self._entry_by_request_id: dict[str, str] = {}
        self._led_since = 0.0
        self._confirmed = asyncio.Condition()

    # Following the replicated state.

    def lead(self) -> None:
        """Start without sessions; entries connect again."""
        self.follow()
        self._led_since = time.monotonic()
        for record in self._ledger.machine.request_by_id.values():
            self._index(record)

    def follow(self) -> None:
        """Drop all sessions."""
        self._session_by_entry = {}
        self._request_ids_by_entry = {}
        self._entry_by_request_id = {}

    def changed(self, changes: list[Change]) -> None:
        """Push what entries must know."""
        for change in changes:
            if change.kind == ChangeKind.CONFIGURATION:
                for session in self._session_by_entry.values():
                    self._push_configuration(session)
                continue
            if change.kind != ChangeKind.REQUEST:
                continue
            record = self._ledger.machine.request_by_id.get(change.item_id)
            if record is not None:
                self._index(record)
                self._push_request(record)

    # Streams.

    def open(self, beat: EntryBeat) -> EntrySession:
        """Return a new session for the entry that sent ``beat``."""
        session = EntrySession(beat.entry_id, beat.zone, self._expiry())
        version = self._ledger.machine.configuration.version
        session.sent_version = min(beat.configuration_version, version)
        self._session_by_entry[beat.entry_id] = session
        self._logger.info("session opened", entry=beat.entry_id)
        return session

    def beat(self, session: EntrySession, beat: EntryBeat) -> None:
        """Extend a session and answer the beat."""
        session.expires_at = self._expiry()
        session.stopping = beat.stopping
        session.confirmed_version = beat.configuration_version
        machine = self._ledger.machine
        outcomes = []
        for request_id in beat.watch:
            session.watched_ids.add(request_id)
            record = machine.request_by_id.get(request_id)
            if record is not None and record.ended():
                outcomes.append(outcome_of(record))
        # The update travels with the lease, so that an entry never holds a
        # new lease on an older configuration.
        update = self._next_update(session)
        session.outbox.put_nowait(
            LeaderBeat(beat.sequence, ENTRY_LEASE_S, update, outcomes=tuple(outcomes))
        )
        if beat.sequence == 1:
            for request_id in list(self._request_ids_by_entry.get(beat.entry_id, ())):
                self._push_request(machine.request_by_id[request_id])

    def close(self, session: EntrySession) -> None:
        """Forget a session whose stream ended; its lease still runs."""

    def pick_entry(self) -> str | None:
        """Return the live entry with the fewest attempts."""
        best = None
        best_count = 0
        for entry_id, session in self._session_by_entry.items():
            if session.stopping or session.expires_at < time.monotonic():
                continue
            count = len(self._request_ids_by_entry.get(entry_id, ()))
            if best is None or count < best_count:
                best = entry_id
                best_count = count
        return best

    # Configuration in force.

    def in_force(self, version: int) -> bool:
        """Return whether every entry has ``version`` or no lease."""
        settled = self._led_since + ENTRY_LEASE_S * CLOCK_MARGIN
        if time.monotonic() < settled:
            return False
        for session in self._session_by_entry.values():
            if session.confirmed_version < version:
                return False
        return self._ledger.leading

    async def wait_in_force(self, version: int, wait_s: float) -> bool:
        """Wait until ``version`` is in force; return whether it is."""
        deadline = time.monotonic() + wait_s
        while not self.in_force(version):
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(0.05)
        return True

    # Expiry.

    async def run(self) -> None:
        """Move attempts away from entries whose session has lapsed."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            if self._ledger.leading:
                await self._expire()

    async def _expire(self) -> None:
        now = time.monotonic()
        for entry_id, session in list(self._session_by_entry.items()):
            if session.expires_at < now:
                del self._session_by_entry[entry_id]
                self._logger.warning("session lapsed", entry=entry_id)
        if now < self._led_since + ENTRY_LEASE_S * CLOCK_MARGIN:
            return
        for entry_id in list(self._request_ids_by_entry):
            holder = self._session_by_entry.get(entry_id)
            if holder is not None and not holder.stopping:
                continue
            for request_id in list(self._request_ids_by_entry[entry_id]):
                await self._reassign(request_id)

    async def _reassign(self, request_id: str) -> None:
        record = self._ledger.machine.request_by_id.get(request_id)
        attempt = record.live_attempt() if record is not None else None
        entry_id = self.pick_entry()
        if attempt is None or entry_id is None:
            return
        try:
            await self._ledger.commit(
                AssignDispatch(request_id, attempt.number, entry_id)
            )
        except PersimmonyardError as error:
            self._logger.warning("reassignment failed", error=str(error))

    # Helpers.

    def _expiry(self) -> float:
        return time.monotonic() + ENTRY_LEASE_S * CLOCK_MARGIN

    def _index(self, record: RequestRecord) -> None:
        attempt = record.live_attempt()
        entry_id = attempt.entry_id if attempt is not None else None
        known = self._entry_by_request_id.get(record.request_id)
        if known == entry_id:
            return
        if known is not None:
            del self._entry_by_request_id[record.request_id]
            self._request_ids_by_entry[known].discard(record.request_id)
            if not self._request_ids_by_entry[known]:
                del self._request_ids_by_entry[known]
        if entry_id is not None:
            self._entry_by_request_id[record.request_id] = entry_id
            ids = self._request_ids_by_entry.setdefault(entry_id, set())
            ids.add(record.request_id)

    def _push_configuration(self, session: EntrySession) -> None:
        update = self._next_update(session)
        if update is not None:
            session.push(update)

    def _next_update(self, session: EntrySession) -> ConfigurationUpdate | None:
        machine = self._ledger.machine
        version = machine.configuration.version
        base = session.sent_version
        if base >= version:
            return None
        changes: list = []
        full = False
        for number in range(session.sent_version + 1, version + 1):
            known = machine.recent_changes.get(number)
            if known is None:
                full = True
                break
            changes.extend(known)
        if full:
            changes = machine.configuration.as_changes()
        session.sent_version = version
        return ConfigurationUpdate(version, tuple(changes), full, base)

    def _push_request(self, record: RequestRecord) -> None:
        if record.ended():
            self._push_outcome(record)
        attempt = record.live_attempt()
        if attempt is None:
            return
        session = self._session_by_entry.get(attempt.entry_id)
        if session is None:
            return
        sent = session.sent_fence_by_id.get(record.request_id)
        current = (attempt.fence, attempt.state.value)
        if sent == current:
            return
        taken_over = sent is None or sent[0] != attempt.fence
        session.sent_fence_by_id[record.request_id] = current
        if attempt.state == AttemptState.STARTED and not taken_over:
            return
        order = order_for(self._ledger.machine, record, attempt, taken_over)
        session.push(orders=(order,))

    def _push_outcome(self, record: RequestRecord) -> None:
        for session in self._session_by_entry.values():
            session.sent_fence_by_id.pop(record.request_id, None)
            if record.request_id not in session.watched_ids:
                continue
            session.watched_ids.discard(record.request_id)
            session.push(outcomes=(outcome_of(record),))
