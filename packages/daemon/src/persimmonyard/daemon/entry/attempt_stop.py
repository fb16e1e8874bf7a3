"""One round of stop or checkpoint calls to all members of an attempt."""

from dataclasses import dataclass
from typing import NamedTuple

from persimmonyard.daemon.entry.attempt_events import TaskStatus
from persimmonyard.state.records import AttemptOutcome

__all__ = ["StopReason", "StopResult", "StopRound"]

# A checkpoint is a reference; longer ones would fill the replicated log.
MAX_CHECKPOINT_BYTES = 1_024


@dataclass(frozen=True)
class StopReason:
    """Why an attempt must stop.

    ``failed_members`` are the members that failed or were lost.  ``lost``
    are those whose upstream restarted: their tasks no longer exist, so they
    are not called.
    """

    outcome: AttemptOutcome
    failed_members: tuple[int, ...] = ()
    lost: tuple[int, ...] = ()
    message: str = ""


class StopResult(NamedTuple):
    """How the attempt ended according to the replies of all members."""

    outcome: AttemptOutcome
    failed_members: tuple[int, ...] = ()
    checkpoints: tuple[str, ...] = ()
    message: str = ""


class StopRound:
    """Collects one reply from each member, or records the member as lost."""

    def __init__(self, member_count: int, reason: StopReason, checkpoint: bool):
        self.call = "stop"
        if checkpoint and reason.outcome == AttemptOutcome.STOPPED:
            self.call = "checkpoint"
        self._members = range(member_count)
        self._reason = reason
        # The status is None for lost members.
        self._status_by_member: dict[int, TaskStatus | None] = {}
        self._deadline_by_member: dict[int, float] = {}

    def begin(self, lost: set[int], deadline_by_member: dict[int, float]) -> list[int]:
        """Mark ``lost`` members as lost and return the others, to be called.

        ``deadline_by_member`` holds the time, in seconds, at which the lease
        of each member has expired.
        """
        self._deadline_by_member = deadline_by_member
        self.mark_lost(lost)
        return [member for member in self._members if member not in lost]

    def record_reply(self, status: TaskStatus) -> bool:
        """Record a reply; return whether the round is complete."""
        if status.member in self._members:
            self._status_by_member[status.member] = status
        return self.is_complete()

    def should_retry(self, member: int, code: int, now: float) -> bool:
        """Return whether to call a member again after a failed call.

        A refusal means that the upstream restarted and lost its tasks, so
        the call is not repeated.
        """
        if self._status_by_member.get(member, self) is None:
            return False
        return code == 0 and now < self._deadline_by_member[member]

    def mark_lost(self, members: set[int]) -> bool:
        """Record members as lost; return whether the round is complete."""
        for member in members:
            self._status_by_member.setdefault(member, None)
        return self.is_complete()

    def is_complete(self) -> bool:
        """Return whether each member has replied or is lost."""
        return len(self._status_by_member) == len(self._members)

    def result(self) -> StopResult:
        """Return how the attempt ended; the round must be complete."""
        statuses = []
        lost = []
        for member in self._members:
            status = self._status_by_member[member]
            if status is None:
                lost.append(member)
                continue
            statuses.append(status)
        if not lost and not any(status.began for status in statuses):
            # The members that were not ready are reported, so that the next
            # attempt does not try them again at once.
            return StopResult(AttemptOutcome.NEVER_BEGAN, self._reason.failed_members)
        if not lost and all(status.state == "finished" for status in statuses):
            return StopResult(AttemptOutcome.FINISHED)
        if self._reason.outcome != AttemptOutcome.STOPPED:
            return StopResult(
                self._reason.outcome,
                self._reason.failed_members,
                (),
                self._reason.message,
            )
        if lost:
            return StopResult(AttemptOutcome.LOST, tuple(lost))
        checkpoints = self._checkpoints(statuses)
        if checkpoints:
            return StopResult(AttemptOutcome.CHECKPOINTED, (), checkpoints)
        return StopResult(AttemptOutcome.STOPPED)

    def _checkpoints(self, statuses: list[TaskStatus]) -> tuple[str, ...]:
        """Return the checkpoint of each member, or ``()`` if one is missing.

        A checkpoint that is too long counts as missing.
        """
        if self.call != "checkpoint":
            return ()
        checkpoints = []
        for status in statuses:
            size = len(status.checkpoint.encode())
            if status.state != "stopped" or not 0 < size <= MAX_CHECKPOINT_BYTES:
                return ()
            checkpoints.append(status.checkpoint)
        return tuple(checkpoints)
