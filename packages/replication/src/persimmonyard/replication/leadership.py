"""What a leader knows about the other replicas in its term."""

from dataclasses import dataclass, field

from persimmonyard.replication.messages import Members, SnapshotMeta

__all__ = ["Leadership", "Progress"]


@dataclass
class Progress:
    """How far one replica has come.

    ``chunk_offset`` is None unless a snapshot is being sent.  ``goal`` is the
    index that a learner has to reach in its present round.
    """

    incarnation: str
    next_index: int
    match: int = 0
    in_flight: int = 0
    sent_at: float = 0.0
    heard_at: float | None = None
    goal: int = 0
    round_started_at: float = 0.0
    chunk_offset: int | None = None
    chunk_meta: SnapshotMeta = field(default_factory=SnapshotMeta)


@dataclass
class Leadership:
    """State of a leader that ends with its term.

    ``first_index`` is the index of the entry that opened the term.
    """

    replica_id: str
    first_index: int
    since: float
    progress_by_name: dict[str, Progress] = field(default_factory=dict)
    next_heartbeat: float = 0.0
    transfer_to: str = ""
    transfer_deadline: float | None = None

    def follow_members(self, members: Members, next_index: int) -> None:
        """Forget replicas that left, and start over with new folders."""
        known = self.progress_by_name
        self.progress_by_name = {}
        for name in [*members.voters, *members.learners]:
            if name == self.replica_id:
                continue
            incarnation = members.incarnation(name) or ""
            progress = known.get(name)
            if progress is None or progress.incarnation != incarnation:
                progress = Progress(incarnation, next_index)
            self.progress_by_name[name] = progress

    def committable(self, members: Members, own_synced: int) -> int:
        """Return the highest index that a quorum of voters has synced."""
        matches = []
        for name in members.voters:
            if name == self.replica_id:
                matches.append(own_synced)
                continue
            matches.append(self.progress_by_name[name].match)
        matches.sort(reverse=True)
        return matches[members.quorum() - 1] if matches else 0

    def silent_voters(self, members: Members, since: float) -> list[str]:
        """Return the voters whose last answer was sent before ``since``."""
        silent = []
        for name in members.voters:
            progress = self.progress_by_name.get(name)
            if progress is None:
                continue
            if max(progress.heard_at or 0.0, self.since) < since:
                silent.append(name)
        return silent

    def confirmed_at(self, members: Members, now: float) -> float | None:
        """Return the last time at which a quorum followed this leader.

        It is the time at which the leader sent what the quorum answered.
        """
        times = []
        for name in members.voters:
            if name == self.replica_id:
                times.append(now)
                continue
            heard_at = self.progress_by_name[name].heard_at
            if heard_at is not None:
                times.append(heard_at)
        times.sort(reverse=True)
        if len(times) < members.quorum():
            return None
        return times[members.quorum() - 1]
