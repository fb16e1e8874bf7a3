"""Elections: pre-vote, voting, and vote refusal during a leader's lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonyard.replication.events import Role, RoleChanged
from persimmonyard.replication.messages import (
    PreVoteReply,
    PreVoteRequest,
    RecoveryRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

if TYPE_CHECKING:
    from persimmonyard.replication.core import ReplicaCore

__all__ = ["Election"]


# Shares of the shortest election timeout after which a candidate that has not
# been elected tries again.
_RETRY_SHARES = (0.25, 0.75)


class Election:
    """Starts elections and votes in them, for one replica core.

    ``deadline`` is when the election timeout ends; contact with a leader
    postpones it.
    """

    def __init__(self, core: ReplicaCore):
        self._core = core
        # Before a restart, the earlier process may have extended a leader's
        # lease up to the moment at which this process began.
        began_at = core.config.began_at
        self._leader_contact_at = (
            core.now if began_at is None else min(core.now, began_at)
        )
        # When a leader led this replica, itself or another, or None.
        self.leader_contact_at: float | None = None
        self._votes: set[str] = set()
        self._pre_voting = False
        self._pre_vote_term = 0
        self.deadline = core.now
        if core.is_voter and len(core.members.voters) > 1:
            self.restart_timer(self._leader_contact_at)

    def on_leader_contact(self) -> None:
        """Record a message from the current leader."""
        self._leader_contact_at = self._core.now
        self.leader_contact_at = self._core.now
        # A leader that knows this replica under an older incarnation sends
        # heartbeats too.  Recovery requests have to go on until the leader has
        # accepted the new incarnation, so the timer is not restarted.
        if not self._core.recovering:
            self.restart_timer()

    def on_tick(self) -> None:
        """Start a pre-vote or request recovery on election timeout."""
        core = self._core
        if core.role == Role.LEADER or core.now < self.deadline:
            return
        self.restart_timer()
        if core.recovering:
            self._request_recovery()
            return
        if core.is_voter:
            self._start_pre_vote()

    def restart_timer(self, since: float | None = None) -> None:
        """Set a random election timeout from now, or from ``since``."""
        config = self._core.config
        timeout = self._core.random.uniform(
            config.election_min_s, config.election_max_s
        )
        self.deadline = (self._core.now if since is None else since) + timeout

    def _request_recovery(self) -> None:
        core = self._core
        names = set(core.config.peers) | set(core.members.voters)
        for name in sorted(names - {core.config.replica_id}):
            core.send(name, RecoveryRequest(core.config.incarnation))

    def _other_voters(self) -> list[str]:
        core = self._core
        return [name for name in core.members.voters if name != core.config.replica_id]

    def _start_pre_vote(self) -> None:
        core = self._core
        core.become_follower(core.term)
        self._pre_voting = True
        self._pre_vote_term = core.term + 1
        self._votes = {core.config.replica_id}
        message = PreVoteRequest(
            self._pre_vote_term, core.log.last_index, core.log.last_term
        )
        for name in self._other_voters():
            core.send(name, message)
        if self._has_quorum():
            self._start_election(False)

    def _start_election(self, transfer: bool) -> None:
        core = self._core
        self._pre_voting = False
        self._votes = set()
        core.set_term_and_vote(
            core.term + 1, self._vote_identity(core.config.replica_id)
        )
        core.role = Role.CANDIDATE
        core.leader_id = ""
        core.emit(RoleChanged(core.role, core.term))
        # Two candidates may split the votes.  Each retries after a fraction of
        # an election timeout, because a quorum has just agreed that there is
        # no leader.
        self.deadline = core.now + core.config.election_min_s * core.random.uniform(
            *_RETRY_SHARES
        )
        core.after_sync(lambda: self._request_votes(transfer))

    def _request_votes(self, transfer: bool) -> None:
        """Request votes, and count this replica's own vote, now durable."""
        core = self._core
        if core.role != Role.CANDIDATE:
            return
        message = VoteRequest(
            core.term,
            core.log.last_index,
            core.log.last_term,
            core.config.incarnation,
            transfer,
        )
        for name in self._other_voters():
            core.send(name, message)
        self._count_vote(core.config.replica_id, core.config.incarnation)

    def _vote_identity(self, name: str) -> str:
        return f"{name}#{self._core.config.incarnation}"

    def _has_quorum(self) -> bool:
        return len(self._votes) >= self._core.members.quorum()

    def _count_vote(self, name: str, incarnation: str) -> None:
        """Count a vote if it comes from a voter's current incarnation."""
        core = self._core
        if core.members.voters.get(name) != incarnation:
            return
        self._votes.add(name)
        if self._has_quorum():
            core.leader_role.become_leader()

    def on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        """Count a pre-vote; start the election once a quorum has granted."""
        core = self._core
        if message.current > core.term:
            core.become_follower(message.current)
        if not self._pre_voting or message.term != self._pre_vote_term:
            return
        if message.term != core.term + 1 or not message.granted:
            return
        if core.members.voters.get(sender) != message.incarnation:
            return
        self._votes.add(sender)
        if self._has_quorum():
            self._start_election(False)

    def on_vote_reply(self, sender: str, message: VoteReply) -> None:
        """Count a vote for this candidate in the current term."""
        if self._core.role == Role.CANDIDATE and message.granted:
            self._count_vote(sender, message.incarnation)

    def on_timeout_now(self, message: TimeoutNow) -> None:
        """Start an election at once: the leader transfers its leadership."""
        core = self._core
        if message.term != core.term or core.role != Role.FOLLOWER:
            return
        if core.is_voter:
            self.restart_timer()
            self._start_election(True)

    def cancel_pre_vote(self) -> None:
        """Cancel a pre-vote because a leader is in contact."""
        self._pre_voting = False

    def on_pre_vote_request(self, sender: str, message: PreVoteRequest) -> None:
        """Answer whether a vote would be granted, without casting one."""
        core = self._core
        granted = (
            message.term > core.term
            and not self._leader_may_hold_lease()
            and self._can_vote_for(message)
        )
        incarnation = core.config.incarnation
        core.send(sender, PreVoteReply(message.term, granted, incarnation, core.term))

    def on_vote_request(self, sender: str, message: VoteRequest) -> None:
        """Vote for the first candidate of a term whose log is up to date."""
        core = self._core
        incarnation = core.config.incarnation
        if message.term < core.term:
            core.send_after_sync(sender, VoteReply(core.term, False, incarnation))
            return
        if not message.transfer and self._leader_may_hold_lease():
            return
        if message.term > core.term:
            core.become_follower(message.term)
        candidate = f"{sender}#{message.incarnation}"
        granted = core.voted_for in ("", candidate) and self._can_vote_for(message)
        if granted and not core.voted_for:
            core.set_term_and_vote(core.term, candidate)
            self.restart_timer()
        core.send_after_sync(sender, VoteReply(core.term, granted, incarnation))

    def _leader_may_hold_lease(self) -> bool:
        """Return whether a leader may hold a lease from this replica."""
        core = self._core
        if core.role == Role.LEADER:
            return core.leader_role.lease_valid(core.now)
        return core.now < self._leader_contact_at + core.config.election_min_s

    def _can_vote_for(self, message: PreVoteRequest | VoteRequest) -> bool:
        core = self._core
        if core.recovering:
            return False
        candidate = (message.last_term, message.last_index)
        return candidate >= (core.log.last_term, core.log.last_index)
