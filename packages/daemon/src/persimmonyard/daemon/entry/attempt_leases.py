"""The entry's view of the task leases of an attempt's members."""

from persimmonyard.daemon.entry.attempt_events import Renewal, TaskStatus
from persimmonyard.daemon.entry.attempt_stop import StopReason
from persimmonyard.daemon.timing import TASK_LEASE_S
from persimmonyard.state.records import AttemptOutcome

__all__ = ["MemberLeases"]


class MemberLeases:
    """Tracks when each member was last renewed and which have finished.

    A lease counts from the time at which its renewal was sent, in seconds of
    the entry's monotonic clock.  The upstream counts from the time at which
    it receives the renewal, so its lease ends later.
    """

    def __init__(self, member_count: int):
        self._members = range(member_count)
        self._renewed_at: dict[int, float] = {}
        self._finished: set[int] = set()

    def start_missing(self, now: float) -> None:
        """Start the leases of members that were never renewed."""
        for member in self._members:
            self._renewed_at.setdefault(member, now)

    def apply_status(self, status: TaskStatus, sent_at: float) -> StopReason | None:
        """Update the lease of a member from its status.

        Returns the reason if the attempt must stop, otherwise ``None``.
        """
        member = status.member
        if member not in self._members:
            return None
        if status.code:
            return StopReason(AttemptOutcome.LOST, (member,), lost=(member,))
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

    def has_finished_member(self) -> bool:
        """Return whether a member has finished."""
        return bool(self._finished)

    def all_finished(self) -> bool:
        """Return whether every member has finished."""
        return len(self._finished) == len(self._members)

    def expired(self, now: float) -> tuple[int, ...]:
        """Return the unfinished members whose lease may have expired."""
        expired = []
        for member in self._members:
            if member in self._finished:
                continue
            if self._renewed_at[member] + TASK_LEASE_S <= now:
                expired.append(member)
        return tuple(expired)

    def renewals(self, now: float) -> tuple[Renewal, ...]:
        """Return the members to renew: all of them, or none.

        No member is renewed once the lease of one member has expired.
        """
        if self.expired(now):
            return ()
        renewals = []
        for member in self._members:
            state = "finished" if member in self._finished else "running"
            renewals.append(Renewal(member, state))
        return tuple(renewals)

    def earliest_expiry(self) -> float | None:
        """Return when the first lease of an unfinished member may expire."""
        expiries = []
        for member, expiry in self.expiry_by_member().items():
            if member not in self._finished:
                expiries.append(expiry)
        return min(expiries, default=None)

    def expiry_by_member(self) -> dict[int, float]:
        """Return when the lease of each member may expire."""
        expiries = {}
        for member, renewed_at in self._renewed_at.items():
            expiries[member] = renewed_at + TASK_LEASE_S
        return expiries
