"""The volatile state of a leader: the progress of the other replicas."""

from dataclasses import dataclass, field

from persimmonyard.replication.messages import Members, SnapshotMeta

__all__ = ["LeaderState", "Progress"]


@dataclass
class Progress:
    """Replication progress of one other replica.

    ``match`` is the highest index that is known to be synced there.
    ``in_flight`` counts unanswered ``AppendEntries`` messages.
    ``added_at`` is when the leader began to replicate to the replica, and
    ``acked_sent_at`` when it sent the latest message that was answered.
    ``chunk_offset`` is None unless a snapshot is being sent.
    ``round_target`` is the index that a learner has to reach in the current
    catch-up round.
    """

    incarnation: str
    next_index: int
    added_at: float = 0.0
    match: int = 0
    in_flight: int = 0
    sent_at: float = 0.0
    acked_sent_at: float | None = None
    round_target: int = 0
    round_started_at: float = 0.0
    chunk_offset: int | None = None
    chunk_meta: SnapshotMeta = field(default_factory=SnapshotMeta)


@dataclass
class LeaderState:
    """State that a leader keeps until its term ends.

    ``first_index`` is the index of the no-op entry that starts the term, and
    ``elected_at`` is when the leader was elected.  ``transfer_to`` is the
    target of a leadership transfer; it is empty if there is none.
    """

    replica_id: str
    first_index: int
    elected_at: float
    progress_by_name: dict[str, Progress] = field(default_factory=dict)
    next_heartbeat: float = 0.0
    transfer_to: str = ""
    transfer_deadline: float | None = None

    def update_members(self, members: Members, next_index: int, now: float) -> None:
        """Drop replicas that left; reset those with a new incarnation."""
        known = self.progress_by_name
        self.progress_by_name = {}
        for name in [*members.voters, *members.learners]:
            if name == self.replica_id:
                continue
            incarnation = members.incarnation(name) or ""
            progress = known.get(name)
            if progress is None or progress.incarnation != incarnation:
                progress = Progress(incarnation, next_index, now)
            self.progress_by_name[name] = progress

    def quorum_synced_index(self, members: Members, local_synced_index: int) -> int:
        """Return the highest index that a quorum of voters has synced."""
        matches = []
        for name in members.voters:
            if name == self.replica_id:
                matches.append(local_synced_index)
                continue
            matches.append(self.progress_by_name[name].match)
        matches.sort(reverse=True)
        return matches[members.quorum() - 1] if matches else 0

    def silent_members(self, members: Members, cutoff: float) -> list[str]:
        """Return the members that answered nothing sent since ``cutoff``.

        The longest silent one comes first, among equals the oldest voter.  The
        election of the leader and the addition of a member count as answers.
        """
        answered_at_by_name: dict[str, float] = {}
        for name in [*members.voters, *members.learners]:
            progress = self.progress_by_name.get(name)
            if progress is None:
                continue
            answered_at = max(
                progress.acked_sent_at or 0.0, progress.added_at, self.elected_at
            )
            if answered_at < cutoff:
                answered_at_by_name[name] = answered_at
        return sorted(answered_at_by_name, key=answered_at_by_name.__getitem__)

    def quorum_acked_at(self, members: Members, now: float) -> float | None:
        """Return the latest time at which a quorum followed this leader.

        It is when the leader sent the messages that the quorum answered, not
        when the answers arrived.  None if no quorum has answered yet.
        """
        times = []
        for name in members.voters:
            if name == self.replica_id:
                times.append(now)
                continue
            acked_sent_at = self.progress_by_name[name].acked_sent_at
            if acked_sent_at is not None:
                times.append(acked_sent_at)
        times.sort(reverse=True)
        if len(times) < members.quorum():
            return None
        return times[members.quorum() - 1]
