"""What an entry knows: configuration under a lease, watched outcomes."""

import time

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
    """Volatile state of one entry process."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.lease_until = 0.0
        self.waiters = Waiters()
        self._want_everything = False
        self._tokens = TokenIndex()
        self._heard_by_id: dict[str, tuple[float, UpstreamHeartbeat]] = {}
        self._unanswered_by_sequence: dict[
            int, dict[str, tuple[float, UpstreamHeartbeat]]
        ] = {}

    # Lease and configuration.

    def lease_valid(self) -> bool:
        """Return whether the session lease is valid on this clock."""
        return time.monotonic() < self.lease_until

    def take_beat(self, beat: LeaderBeat, sent_at: float) -> bool:
        """Apply a message of the leader.

        Returns whether the session can go on.  It cannot if a change of the
        configuration is missing; the next session then asks for everything.
        The lease is extended only after the update in the same message, so
        an older configuration is never used under a new lease.
        """
        if beat.update is not None and not self._apply(beat.update):
            self._want_everything = True
            return False
        if beat.sequence:
            self.lease_until = max(self.lease_until, sent_at + beat.lease_s)
            self._answered(beat.sequence)
        for outcome in beat.outcomes:
            self.waiters.resolve(outcome)
        return True

    def _apply(self, update: ConfigurationUpdate) -> bool:
        """Apply an update; return whether it follows the local version."""
        if update.version <= self.configuration.version:
            return True
        from_nothing = update.full or update.base == 0
        if not from_nothing and update.base != self.configuration.version:
            return False
        if from_nothing:
            self.configuration = Configuration()
        for change in update.changes:
            self.configuration.apply(change)
        self.configuration.version = update.version
        self._want_everything = False
        if from_nothing or _touches_accounts(update.changes):
            self._index_tokens()
        return True

    def _index_tokens(self) -> None:
        self._tokens = TokenIndex()
        for account in self.configuration.client_account_by_name.values():
            for digest in account.token_hashes:
                self._tokens.add(digest, account.name)

    def account_for(self, token: str) -> ClientAccountSpec | None:
        """Return the client account whose token this is."""
        name = self._tokens.owner_of(token)
        if name is None:
            return None
        return self.configuration.client_account_by_name.get(name)

    # Beats.

    def make_beat(
        self, entry_id: str, zone: str, sequence: int, stopping: bool
    ) -> EntryBeat:
        """Return the next beat; ``sequence`` 1 begins a session."""
        if sequence == 1:
            self._begin_session()
        version = self.configuration.version
        if self._want_everything:
            version = 0
        return EntryBeat(
            entry_id=entry_id,
            zone=zone,
            sequence=sequence,
            configuration_version=version,
            heartbeats=self._take_heartbeats(sequence),
            watch=self.waiters.take_new_ids(),
            stopping=stopping,
        )

    def _begin_session(self) -> None:
        for undelivered in self._unanswered_by_sequence.values():
            for upstream_id, one in undelivered.items():
                known = self._heard_by_id.get(upstream_id)
                if known is None or known[0] < one[0]:
                    self._heard_by_id[upstream_id] = one
        self._unanswered_by_sequence = {}
        self.waiters.watch_all_again()

    # Upstreams.

    def record_heartbeat(
        self, upstream_id: str, incarnation: str, accelerators_busy: float = 0.0
    ) -> None:
        """Note an announcement for the next beat."""
        heartbeat = UpstreamHeartbeat(upstream_id, incarnation, 0.0, accelerators_busy)
        self._heard_by_id[upstream_id] = (time.monotonic(), heartbeat)

    def _take_heartbeats(self, sequence: int) -> tuple[UpstreamHeartbeat, ...]:
        """Return what was heard, and keep it until the beat is answered."""
        if not self._heard_by_id:
            return ()
        now = time.monotonic()
        heartbeats = []
        for heard_at, one in self._heard_by_id.values():
            age_s = round(now - heard_at, 2)
            heartbeats.append(
                UpstreamHeartbeat(
                    one.upstream_id, one.incarnation, age_s, one.accelerators_busy
                )
            )
        self._unanswered_by_sequence[sequence] = self._heard_by_id
        self._heard_by_id = {}
        return tuple(heartbeats)

    def _answered(self, sequence: int) -> None:
        for earlier in list(self._unanswered_by_sequence):
            if earlier <= sequence:
                del self._unanswered_by_sequence[earlier]


def _touches_accounts(changes: tuple[ConfigurationChange, ...]) -> bool:
    for change in changes:
        if change.client_account is not None or change.remove is not None:
            return True
    return False
