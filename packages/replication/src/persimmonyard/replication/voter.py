"""Elections: pre-vote, votes and the refusal while a leader is heard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonyard.replication.events import Role, RoleChanged
from persimmonyard.replication.messages import (
    PreVote,
    PreVoteReply,
    Recover,
    TimeoutNow,
    Vote,
    VoteReply,
)

if TYPE_CHECKING:
    from persimmonyard.replication.core import ReplicaCore

__all__ = ["Voter"]


class Voter:
    """Campaign and vote for one replica core.

    ``deadline`` is when the replica campaigns unless it hears a leader.
    """

    def __init__(self, core: ReplicaCore):
        self._core = core
        # A replica that restarts may have confirmed a lease just before its
        # process began.
        began_at = core.config.began_at
        self._heard_at = core.now if began_at is None else min(core.now, began_at)
        self._votes: set[str] = set()
        self._pre_voting = False
        self._pre_vote_term = 0
        self.deadline = core.now
        if core.may_lead and len(core.members.voters) > 1:
            self.restart_timer(self._heard_at)

    def heard_leader(self) -> None:
        """Note a message of the current leader."""
        self._heard_at = self._core.now
        # A leader that knows a former folder of this replica sends heartbeats
        # too; the requests for recovery go on until it takes the new one in.
        if not self._core.recovering:
            self.restart_timer()

    def on_time(self) -> None:
        """Campaign, or ask for recovery, when the time has come."""
        core = self._core
        if core.role == Role.LEADER or core.now < self.deadline:
            return
        self.restart_timer()
        if core.recovering:
            self._ask_for_recovery()
            return
        if core.may_lead:
            self._start_pre_vote()

    def restart_timer(self, since: float | None = None) -> None:
        """Wait a random election timeout from now on, or from ``since``."""
        config = self._core.config
        span = self._core.random.uniform(config.election_min_s, config.election_max_s)
        self.deadline = (self._core.now if since is None else since) + span

    def _ask_for_recovery(self) -> None:
        core = self._core
        names = set(core.config.peers) | set(core.members.voters)
        for name in sorted(names - {core.config.replica_id}):
            core.send(name, Recover(core.config.incarnation))

    def _other_voters(self) -> list[str]:
        core = self._core
        return [one for one in core.members.voters if one != core.config.replica_id]

    # Campaigning.

    def _start_pre_vote(self) -> None:
        core = self._core
        core.become_follower(core.term)
        self._pre_voting = True
        self._pre_vote_term = core.term + 1
        self._votes = {core.config.replica_id}
        message = PreVote(self._pre_vote_term, core.log.last_index, core.log.last_term)
        for name in self._other_voters():
            core.send(name, message)
        if self._won():
            self._start_vote(False)

    def _start_vote(self, transfer: bool) -> None:
        core = self._core
        self._pre_voting = False
        self._votes = set()
        core.set_vote(core.term + 1, self._identity(core.config.replica_id))
        core.role = Role.CANDIDATE
        core.leader = ""
        core.act(RoleChanged(core.role, core.term))
        core.after_sync(lambda: self._ask_for_votes(transfer))

    def _ask_for_votes(self, transfer: bool) -> None:
        """Ask after the own vote is durable, which then counts."""
        core = self._core
        if core.role != Role.CANDIDATE:
            return
        message = Vote(
            core.term,
            core.log.last_index,
            core.log.last_term,
            core.config.incarnation,
            transfer,
        )
        for name in self._other_voters():
            core.send(name, message)
        self._count(core.config.replica_id, core.config.incarnation)

    def _identity(self, name: str) -> str:
        return f"{name}#{self._core.config.incarnation}"

    def _won(self) -> bool:
        return len(self._votes) >= self._core.members.quorum()

    def _count(self, name: str, incarnation: str) -> None:
        """Count a vote if it comes from a voter's present folder."""
        core = self._core
        if core.members.voters.get(name) != incarnation:
            return
        self._votes.add(name)
        if self._won():
            core.leading.begin()

    def on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        """Count a promise; start the vote when a quorum would grant it."""
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
        if self._won():
            self._start_vote(False)

    def on_vote_reply(self, sender: str, message: VoteReply) -> None:
        """Count a vote of the current term."""
        if self._core.role == Role.CANDIDATE and message.granted:
            self._count(sender, message.incarnation)

    def on_timeout_now(self, message: TimeoutNow) -> None:
        """Campaign at once: the leader of the current term gave up."""
        core = self._core
        if message.term != core.term or core.role != Role.FOLLOWER:
            return
        if core.may_lead:
            self.restart_timer()
            self._start_vote(True)

    def stop_pre_vote(self) -> None:
        """Give up a campaign because a leader was heard."""
        self._pre_voting = False

    # Voting.

    def on_pre_vote(self, sender: str, message: PreVote) -> None:
        """Answer whether a vote would be granted, without any promise."""
        core = self._core
        granted = (
            message.term > core.term
            and not self._leader_may_hold_lease()
            and self._may_vote_for_log(message)
        )
        incarnation = core.config.incarnation
        core.send(sender, PreVoteReply(message.term, granted, incarnation, core.term))

    def on_vote(self, sender: str, message: Vote) -> None:
        """Vote for the first candidate of a term with a complete log."""
        core = self._core
        incarnation = core.config.incarnation
        if message.term < core.term:
            core.send_synced(sender, VoteReply(core.term, False, incarnation))
            return
        if not message.transfer and self._leader_may_hold_lease():
            return
        if message.term > core.term:
            core.become_follower(message.term)
        candidate = f"{sender}#{message.incarnation}"
        granted = core.voted_for in ("", candidate) and self._may_vote_for_log(message)
        if granted and not core.voted_for:
            core.set_vote(core.term, candidate)
            self.restart_timer()
        core.send_synced(sender, VoteReply(core.term, granted, incarnation))

    def _leader_may_hold_lease(self) -> bool:
        """Return whether a leader may rely on what this replica confirmed."""
        core = self._core
        if core.role == Role.LEADER:
            return core.leading.lease_valid(core.now)
        return core.now < self._heard_at + core.config.election_min_s

    def _may_vote_for_log(self, message: PreVote | Vote) -> bool:
        core = self._core
        if core.recovering:
            return False
        candidate = (message.last_term, message.last_index)
        return candidate >= (core.log.last_term, core.log.last_index)
