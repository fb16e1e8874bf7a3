"""Sessions of entries: leases and the configuration in force."""

import asyncio

from persimmonyard.daemon.control.entry_session import EntrySession
from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.daemon.control.views import outcome_of
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import CLOCK_DRIFT_FACTOR, ENTRY_LEASE_S
from persimmonyard.model import ConfigurationChange
from persimmonyard.state import ChangeEvent, ChangeKind
from persimmonyard.wire import ConfigurationUpdate, EntryBeat, LeaderBeat

__all__ = ["SessionController"]

IN_FORCE_CHECK_S = 0.05


class SessionController:
    """Grant leases to entries and know which configuration each one has.

    A version is in force once every entry has confirmed it or has let its
    lease lapse.  Leases granted by an earlier leader are unknown here, so
    nothing is in force before one full lease after the election.
    """

    def __init__(self, ledger: Ledger):
        self._ledger = ledger
        self._logger = get_logger("sessions")
        self._led_since = 0.0
        self.session_by_entry: dict[str, EntrySession] = {}

    # Following the replicated state.

    def lead(self) -> None:
        """Start without sessions; entries connect again."""
        self.follow()
        self._led_since = self._ledger.clock()

    def follow(self) -> None:
        """Close all sessions."""
        for session in self.session_by_entry.values():
            session.close()
        self.session_by_entry = {}

    def changed(self, changes: list[ChangeEvent]) -> None:
        """Push a new configuration to every entry."""
        for change in changes:
            if change.kind != ChangeKind.CONFIGURATION:
                continue
            for session in self.session_by_entry.values():
                update = self._next_update(session)
                if update is not None:
                    session.push(update)

    # Streams.

    def open(self, beat: EntryBeat) -> EntrySession:
        """Return a new session for the entry that sent its first ``beat``."""
        previous = self.session_by_entry.get(beat.entry_id)
        if previous is not None:
            previous.close()
        session = EntrySession(
            entry_id=beat.entry_id,
            zone=beat.zone,
            expires_at=self._expiry(),
            sent_version=beat.configuration_version,
            confirmed_version=beat.configuration_version,
        )
        self.session_by_entry[beat.entry_id] = session
        self._logger.info("session opened", entry=beat.entry_id)
        return session

    def beat(self, session: EntrySession, beat: EntryBeat, assigned: int) -> None:
        """Extend a session and answer the beat.

        The update travels with the lease: an entry that sees the lease
        extended has the version that was current when it was granted.
        """
        if session.closed:
            return
        session.expires_at = self._expiry()
        session.stopping = beat.stopping
        session.confirmed_version = beat.configuration_version
        outcomes = []
        for request_id in beat.watch:
            session.watched_ids.add(request_id)
            record = self._ledger.machine.request_by_id.get(request_id)
            if record is not None and record.ended():
                session.watched_ids.discard(request_id)
                outcomes.append(outcome_of(record))
        session.send(
            LeaderBeat(
                beat.sequence,
                ENTRY_LEASE_S,
                self._next_update(session),
                outcomes=tuple(outcomes),
                assigned=assigned,
            )
        )

    def is_live(self, entry_id: str) -> bool:
        """Return whether an entry has a session that has not lapsed."""
        session = self.session_by_entry.get(entry_id)
        return session is not None and session.expires_at >= self._ledger.clock()

    def accepts_work(self, entry_id: str) -> bool:
        """Return whether an entry is live and not shutting down."""
        return self.is_live(entry_id) and not self.session_by_entry[entry_id].stopping

    def drop_lapsed(self) -> None:
        """Forget the sessions whose lease has run out on any clock."""
        now = self._ledger.clock()
        for entry_id, session in list(self.session_by_entry.items()):
            if session.expires_at >= now:
                continue
            session.close()
            del self.session_by_entry[entry_id]
            self._logger.warning("session lapsed", entry=entry_id)

    def settled(self) -> bool:
        """Return whether all leases of an earlier leader have run out."""
        return (
            self._ledger.clock() >= self._led_since + ENTRY_LEASE_S * CLOCK_DRIFT_FACTOR
        )

    # Configuration in force.

    def in_force(self, version: int) -> bool:
        """Return whether every entry has ``version`` or holds no lease."""
        if not self.settled():
            return False
        self.drop_lapsed()
        for session in self.session_by_entry.values():
            if session.confirmed_version < version:
                return False
        return self._ledger.leads()

    async def wait_in_force(self, version: int, wait_s: float) -> bool:
        """Wait until ``version`` is in force; return whether it is."""
        deadline = self._ledger.clock() + wait_s
        while not self.in_force(version):
            if self._ledger.clock() >= deadline:
                return False
            await asyncio.sleep(IN_FORCE_CHECK_S)
        return True

    def state(self) -> dict[str, dict[str, object]]:
        """Return the sessions for the state dump."""
        now = self._ledger.clock()
        sessions: dict[str, dict[str, object]] = {}
        for entry_id, session in self.session_by_entry.items():
            sessions[entry_id] = {
                "zone": session.zone,
                "lease_left_s": round(session.expires_at - now, 2),
                "confirmed_version": session.confirmed_version,
                "sent_version": session.sent_version,
                "stopping": session.stopping,
                "outbox": session.outbox.qsize(),
                "watched": len(session.watched_ids),
            }
        return sessions

    # Helpers.

    def _expiry(self) -> float:
        return self._ledger.clock() + ENTRY_LEASE_S * CLOCK_DRIFT_FACTOR

    def _next_update(self, session: EntrySession) -> ConfigurationUpdate | None:
        """Return what the entry has not been sent yet."""
        version = self._ledger.machine.configuration.version
        if session.sent_version >= version:
            return None
        changes = self._changes_after(session.sent_version)
        full = changes is None
        if changes is None:
            changes = self._ledger.machine.configuration.as_changes()
        update = ConfigurationUpdate(
            version=version,
            changes=tuple(changes),
            full=full,
            base=session.sent_version,
        )
        session.sent_version = version
        return update

    def _changes_after(self, version: int) -> list[ConfigurationChange] | None:
        """Return the changes since ``version``, or ``None`` if forgotten."""
        machine = self._ledger.machine
        changes: list[ConfigurationChange] = []
        for number in range(version + 1, machine.configuration.version + 1):
            known = machine.changes_by_version.get(number)
            if known is None:
                return None
            changes.extend(known)
        return changes
