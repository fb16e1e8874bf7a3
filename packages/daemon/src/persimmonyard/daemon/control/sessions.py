"""Sessions of entries: leases and the configuration in force."""

import asyncio

from persimmonyard.daemon.control.entry_session import EntrySession
from persimmonyard.daemon.control.replicated_state import ReplicatedState
from persimmonyard.daemon.control.views import outcome_of
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import CLOCK_MARGIN, ENTRY_LEASE_S
from persimmonyard.model import ConfigurationChange
from persimmonyard.state import ChangeEvent, ChangeKind
from persimmonyard.wire import ConfigurationUpdate, EntryBeat, LeaderBeat

__all__ = ["SessionController"]

IN_FORCE_POLL_INTERVAL_S = 0.05


class SessionController:
    """Grant leases to entries and know which configuration each one has.

    A version is in force once every entry has confirmed it or has let its
    lease lapse.  Leases granted by an earlier leader are unknown here, so
    nothing is in force before one full lease after the election.
    """

    def __init__(self, replicated_state: ReplicatedState):
        self._replicated_state = replicated_state
        self._logger = get_logger("sessions")
        self._leader_since = 0.0
        self.session_by_entry: dict[str, EntrySession] = {}

    # Following the replicated state.

    def on_leadership_gained(self) -> None:
        """Start without sessions; entries connect again."""
        self.on_leadership_lost()
        self._leader_since = self._replicated_state.clock()

    def on_leadership_lost(self) -> None:
        """Close all sessions."""
        for session in self.session_by_entry.values():
            session.close()
        self.session_by_entry = {}

    def on_changes(self, changes: list[ChangeEvent]) -> None:
        """Push a new configuration to every entry."""
        for change in changes:
            if change.kind != ChangeKind.CONFIGURATION:
                continue
            for session in self.session_by_entry.values():
                update = self._take_update(session)
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
            expires_at=self._new_expiry(),
            sent_version=beat.configuration_version,
            confirmed_version=beat.configuration_version,
        )
        self.session_by_entry[beat.entry_id] = session
        self._logger.info("session opened", entry=beat.entry_id)
        return session

    def handle_beat(
        self, session: EntrySession, beat: EntryBeat, assigned: int
    ) -> None:
        """Extend a session and answer the beat.

        The update travels with the lease: an entry that sees the lease
        extended has the version that was current when it was granted.
        """
        if session.closed:
            return
        session.expires_at = self._new_expiry()
        session.stopping = beat.stopping
        session.confirmed_version = beat.configuration_version
        outcomes = []
        for request_id in beat.watch:
            session.watched_ids.add(request_id)
            record = self._replicated_state.machine.request_by_id.get(request_id)
            if record is not None and record.ended():
                session.watched_ids.discard(request_id)
                outcomes.append(outcome_of(record))
        session.send(
            LeaderBeat(
                beat.sequence,
                ENTRY_LEASE_S,
                self._take_update(session),
                outcomes=tuple(outcomes),
                assigned=assigned,
            )
        )

    def is_live(self, entry_id: str) -> bool:
        """Return whether an entry has a session that has not lapsed."""
        session = self.session_by_entry.get(entry_id)
        return (
            session is not None and session.expires_at >= self._replicated_state.clock()
        )

    def accepts_work(self, entry_id: str) -> bool:
        """Return whether an entry is live and not shutting down."""
        return self.is_live(entry_id) and not self.session_by_entry[entry_id].stopping

    def remove_expired(self) -> None:
        """Forget the sessions whose lease has run out on any clock."""
        now = self._replicated_state.clock()
        for entry_id, session in list(self.session_by_entry.items()):
            if session.expires_at >= now:
                continue
            session.close()
            del self.session_by_entry[entry_id]
            self._logger.warning("session lapsed", entry=entry_id)

    def earlier_leases_expired(self) -> bool:
        """Return whether all leases of an earlier leader have run out."""
        return (
            self._replicated_state.clock()
            >= self._leader_since + ENTRY_LEASE_S * CLOCK_MARGIN
        )

    # Configuration in force.

    def is_in_force(self, version: int) -> bool:
        """Return whether every entry has ``version`` or holds no lease."""
        if not self.earlier_leases_expired():
            return False
        self.remove_expired()
        for session in self.session_by_entry.values():
            if session.confirmed_version < version:
                return False
        return self._replicated_state.is_leader()

    async def wait_in_force(self, version: int, wait_s: float) -> bool:
        """Wait until ``version`` is in force; return whether it is."""
        deadline = self._replicated_state.clock() + wait_s
        while not self.is_in_force(version):
            if self._replicated_state.clock() >= deadline:
                return False
            await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)
        return True

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the sessions for the state dump."""
        now = self._replicated_state.clock()
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

    def _new_expiry(self) -> float:
        return self._replicated_state.clock() + ENTRY_LEASE_S * CLOCK_MARGIN

    def _take_update(self, session: EntrySession) -> ConfigurationUpdate | None:
        """Return what the entry has not been sent yet."""
        version = self._replicated_state.machine.configuration.version
        if session.sent_version >= version:
            return None
        changes = self._changes_since(session.sent_version)
        full = changes is None
        if changes is None:
            changes = self._replicated_state.machine.configuration.as_changes()
        update = ConfigurationUpdate(
            version=version,
            changes=tuple(changes),
            full=full,
            base=session.sent_version,
        )
        session.sent_version = version
        return update

    def _changes_since(self, version: int) -> list[ConfigurationChange] | None:
        """Return the changes since ``version``, or ``None`` if forgotten."""
        machine = self._replicated_state.machine
        changes: list[ConfigurationChange] = []
        for number in range(version + 1, machine.configuration.version + 1):
            version_changes = machine.changes_by_version.get(number)
            if version_changes is None:
                return None
            changes.extend(version_changes)
        return changes
