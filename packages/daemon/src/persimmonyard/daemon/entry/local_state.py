"""In-memory state of an entry, updated by the beats of the leader."""

import time

import msgspec

from persimmonyard.daemon.entry.waiters import Waiters
from persimmonyard.daemon.tokens import TokenIndex
from persimmonyard.model import ClientAccountSpec, ConfigurationChange
from persimmonyard.state import Configuration
from persimmonyard.wire import (
    ConfigurationUpdate,
    EntryBeat,
    LeaderBeat,
    UpstreamHeartbeat,
)

__all__ = ["LocalState"]


class LocalState:
    """In-memory state of one entry process.

    ``lease_until`` is the time of the monotonic clock at which the lease on
    the configuration expires.
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.lease_until = 0.0
        self.waiters = Waiters()
        self._full_update_needed = False
        self._token_index = TokenIndex()
        self._heartbeat_by_id: dict[str, tuple[float, UpstreamHeartbeat]] = {}
        self._unacknowledged_by_sequence: dict[
            int, dict[str, tuple[float, UpstreamHeartbeat]]
        ] = {}

    def lease_valid(self) -> bool:
        """Return whether the configuration lease is valid on this clock."""
        return time.monotonic() < self.lease_until

    def handle_beat(self, beat: LeaderBeat, sent_at: float) -> bool:
        """Apply a message of the leader.

        Returns whether the session can continue.  It cannot if a change of
        the configuration is missing; the next session then requests the full
        configuration.  The lease is extended only after the update in the
        same message is applied, so an older configuration is never used under
        a new lease.
        """
        if beat.update is not None and not self._apply_update(beat.update):
            self._full_update_needed = True
            return False
        if beat.sequence:
            self.lease_until = max(self.lease_until, sent_at + beat.lease_s)
            self._confirm_delivery(beat.sequence)
        for outcome in beat.outcomes:
            self.waiters.resolve(outcome)
        return True

    def _apply_update(self, update: ConfigurationUpdate) -> bool:
        """Apply an update unless a version before it is missing.

        Returns whether none is missing.  An update that is not newer than
        the local version is ignored.
        """
        if update.version <= self.configuration.version:
            return True
        replaces_all = update.full or update.base == 0
        if not replaces_all and update.base != self.configuration.version:
            return False
        if replaces_all:
            self.configuration = Configuration()
        for change in update.changes:
            self.configuration.apply(change)
        self.configuration.version = update.version
        self._full_update_needed = False
        if replaces_all or _changes_accounts(update.changes):
            self._index_tokens()
        return True

    def _index_tokens(self) -> None:
        self._token_index = TokenIndex()
        for account in self.configuration.client_account_by_name.values():
            for digest in account.token_hashes:
                self._token_index.add(digest, account.name)

    def account_of_token(self, token: str) -> ClientAccountSpec | None:
        """Return the client account that the token belongs to, if any."""
        name = self._token_index.owner_of(token)
        if name is None:
            return None
        return self.configuration.client_account_by_name.get(name)

    def make_beat(
        self, entry_id: str, zone: str, sequence: int, stopping: bool
    ) -> EntryBeat:
        """Return the next beat; ``sequence`` 1 begins a new session."""
        if sequence == 1:
            self._begin_session()
        version = self.configuration.version
        if self._full_update_needed:
            version = 0
        return EntryBeat(
            entry_id=entry_id,
            zone=zone,
            sequence=sequence,
            configuration_version=version,
            heartbeats=self._take_heartbeats(sequence),
            watch=self.waiters.take_unwatched_ids(),
            stopping=stopping,
        )

    def _begin_session(self) -> None:
        for undelivered in self._unacknowledged_by_sequence.values():
            for upstream_id, received in undelivered.items():
                known = self._heartbeat_by_id.get(upstream_id)
                if known is None or known[0] < received[0]:
                    self._heartbeat_by_id[upstream_id] = received
        self._unacknowledged_by_sequence = {}
        self.waiters.rewatch_all()

    def record_heartbeat(self, heartbeat: UpstreamHeartbeat) -> None:
        """Store a heartbeat that has just arrived for the next beat."""
        self._heartbeat_by_id[heartbeat.upstream_id] = (time.monotonic(), heartbeat)

    def _take_heartbeats(self, sequence: int) -> tuple[UpstreamHeartbeat, ...]:
        """Return the pending heartbeats for a beat.

        They are kept until the leader answers the beat.  If it never does,
        the next session sends them again.
        """
        if not self._heartbeat_by_id:
            return ()
        now = time.monotonic()
        heartbeats = []
        for received_at, heartbeat in self._heartbeat_by_id.values():
            age_s = round(now - received_at, 2)
            heartbeats.append(msgspec.structs.replace(heartbeat, age_s=age_s))
        self._unacknowledged_by_sequence[sequence] = self._heartbeat_by_id
        self._heartbeat_by_id = {}
        return tuple(heartbeats)

    def _confirm_delivery(self, sequence: int) -> None:
        for earlier in list(self._unacknowledged_by_sequence):
            if earlier <= sequence:
                del self._unacknowledged_by_sequence[earlier]


def _changes_accounts(changes: tuple[ConfigurationChange, ...]) -> bool:
    for change in changes:
        if change.client_account is not None or change.remove is not None:
            return True
    return False
