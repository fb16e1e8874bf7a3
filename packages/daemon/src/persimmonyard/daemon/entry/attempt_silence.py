"""How soon after their start the members of an attempt fell silent."""

import math

from persimmonyard.state.records import MemberSilence

__all__ = ["SilenceTracker"]


class SilenceTracker:
    """Tracks which members answer, and since when others do not.

    Times are in seconds of the entry's monotonic clock.  A member that
    another entry has started is not reported, because the time of its start
    is not known.
    """

    def __init__(self) -> None:
        self._alive_at: dict[int, float] = {}
        self._silent_at: dict[int, float] = {}
        self._undelivered: set[int] = set()

    def prepared(self, member: int, sent_at: float) -> None:
        """Record that the call before the start was answered."""
        self._alive_at[member] = sent_at

    def started(self, member: int, sent_at: float) -> None:
        """Record that a start that was sent at ``sent_at`` was answered."""
        if member in self._alive_at:
            self._alive_at[member] = sent_at
        self.answered(member)

    def not_delivered(self, member: int) -> None:
        """Record that no start has reached the member."""
        self._undelivered.add(member)

    def answered(self, member: int) -> None:
        """Record an answer, which voids an earlier silence."""
        self._silent_at.pop(member, None)

    def unanswered(self, member: int, now: float) -> None:
        """Record a call without an answer from the member's incarnation."""
        self._silent_at.setdefault(member, now)

    def silences(self) -> tuple[MemberSilence, ...]:
        """Return the members that are silent now or were never started."""
        silences = []
        for member in sorted({*self._silent_at, *self._undelivered}):
            if member in self._undelivered:
                silences.append(MemberSilence(member, 0, delivered=False))
                continue
            alive_at = self._alive_at.get(member)
            if alive_at is None:
                continue
            # Rounded up, because the time is a limit.
            after_ms = math.ceil(1_000 * (self._silent_at[member] - alive_at))
            silences.append(MemberSilence(member, max(1, after_ms)))
        return tuple(silences)
