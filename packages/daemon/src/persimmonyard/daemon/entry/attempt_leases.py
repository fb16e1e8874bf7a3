"""The task leases of an attempt's members, as its entry knows them."""

from persimmonyard.daemon.entry.attempt_events import Renewal, TaskStatus
from persimmonyard.daemon.entry.attempt_stop import StopReason
from persimmonyard.daemon.timing import TASK_LEASE_S
from persimmonyard.state.records import AttemptOutcome

__all__ = ["MemberLeases"]


class MemberLeases:
    """When each member was last renewed, and which members have finished.

    A lease counts from the time when its renewal was sent, in seconds of the
    entry's clock, so the upstream's lease ends later.
    """

    def __init__(self, member_count: int):
        self._members = range(member_count)
        self._renewed_at: dict[int, float] = {}
        self._finished: set[int] = set()

    def begin(self, now: float) -> None:
        """Count the leases of members that were not renewed yet from now."""
        for member in self._members:
            self._renewed_at.setdefault(member, now)

    def take(self, status: TaskStatus, sent_at: float) -> StopReason | None:
        """Note one member's status; return why the attempt must stop."""
        member = status.member
        if member not in self._members:
            return None
        if status.code:
            return StopReason(AttemptOutcome.LOST, (member,), gone=(member,))
        match status.state:
            case "running":
                self._renewed_at[member] = max(self._renewed_at[member], sent_at)
            case "finished":
                self._finished.add(member)
            case "failed":
                return StopReason(
                    AttemptOutcome.FAILED, (member,), message=status.message
                )
            case _:
                return StopReason(AttemptOutcome.LOST, (member,))
        return None

    def any_finished(self) -> bool:
        """Return whether a member has finished."""
        return bool(self._finished)

    def all_finished(self) -> bool:
        """Return whether every member has finished."""
        return len(self._finished) == len(self._members)

    def silent(self, now: float) -> tuple[int, ...]:
        """Return the running members whose lease may have run out."""
        silent = []
        for member in self._members:
            if member in self._finished:
                continue
            if self._renewed_at[member] + TASK_LEASE_S <= now:
                silent.append(member)
        return tuple(silent)

    def renewals(self, now: float) -> tuple[Renewal, ...]:
        """Return the members to renew: all of them, or none."""
        if self.silent(now):
            return ()
        renewals = []
        for member in self._members:
            state = "finished" if member in self._finished else "running"
            renewals.append(Renewal(member, state))
        return tuple(renewals)

    def first_end(self) -> float | None:
        """Return when the first lease of a running member may run out."""
        ends = []
        for member, end in self.end_by_member().items():
            if member not in self._finished:
                ends.append(end)
        return min(ends, default=None)

    def end_by_member(self) -> dict[int, float]:
        """Return when the lease of each member may run out."""
        ends = {}
        for member, renewed_at in self._renewed_at.items():
            ends[member] = renewed_at + TASK_LEASE_S
        return ends
