"""What a leader knows of ends that an upstream may forget unread."""

from typing import TYPE_CHECKING

from persimmonyard.jobs import EndDoubt, NoteDoubts, Upstream

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["ForgottenEnds"]

# Number of the last end that an earlier leader may have acknowledged.
_UNKNOWN_END = 1 << 31


class ForgottenEnds:
    """How many ends one incarnation of an upstream may forget unread.

    ``count`` is 0 if there is no doubt.  A doubt is part of the replicated
    state before the first start is sent, so that it outlives the leader.  An
    incarnation that may have executed orders of earlier leaders is in doubt
    until it lists a run of theirs: they would have noted a doubt.
    """

    def __init__(self, leader_term: "LeaderTerm", upstream: Upstream):
        self._term = leader_term
        self._upstream_id = upstream.report.upstream_id
        self._incarnation = upstream.report.incarnation
        self.count = leader_term.store.noted_doubts.count(
            self._upstream_id, self._incarnation
        )
        # Whether the doubt is in the replicated state, or will be.
        self._noted = self._proposed = self.count > 0
        self._is_guess = False
        if leader_term.may_have_foreign_orders(upstream):
            self._is_guess = not self.count
            self.count = _UNKNOWN_END

    def raise_to(self, count: int) -> None:
        """Count the ends that a call to another incarnation acknowledged."""
        if count:
            self._is_guess = False
            self.count = max(self.count, count)

    def is_noted(self) -> bool:
        """Return whether the next leader will know of the doubt."""
        return self._noted or not self.count

    async def note(self) -> None:
        """Commit the doubt unless it is in the replicated state."""
        if self.is_noted():
            return
        self._proposed = True
        self._term.log.info(
            "ends in doubt",
            upstream=self._upstream_id,
            incarnation=self._incarnation,
            ends=self.count,
        )
        await self._propose(self.count)
        self._noted = True

    def record_listed_run(self, taken_over: bool) -> None:
        """Record that the incarnation runs what an earlier leader started."""
        if taken_over and self._is_guess:
            self.end()

    def record_forgotten_end(self) -> None:
        """Record a run that has ended and is not listed."""
        if self.count > 1:
            self.count -= 1
        else:
            self.end()

    def end(self) -> None:
        """Record that the incarnation forgets no further end."""
        if not self.count:
            return
        self.count = 0
        if self._proposed:
            self._term.log.info(
                "ends no longer in doubt",
                upstream=self._upstream_id,
                incarnation=self._incarnation,
            )
            self._term.spawn(self._propose(0))

    async def _propose(self, count: int) -> None:
        doubt = EndDoubt(self._upstream_id, self._incarnation, count)
        await self._term.propose(NoteDoubts((doubt,)))
