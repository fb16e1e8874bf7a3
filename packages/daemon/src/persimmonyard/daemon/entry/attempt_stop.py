"""One round of stops on all members of an attempt, and what it shows."""

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

    ``at_fault`` are the members that failed or were lost, ``gone`` those
    whose upstream restarted, so that no stop can reach their tasks.
    """

    outcome: AttemptOutcome
    at_fault: tuple[int, ...] = ()
    gone: tuple[int, ...] = ()
    message: str = ""


class StopResult(NamedTuple):
    """How the attempt ended, from the replies of all members."""

    outcome: AttemptOutcome
    at_fault: tuple[int, ...] = ()
    checkpoints: tuple[str, ...] = ()
    message: str = ""


class StopRound:
    """Collect one reply of each member, or note that there will be none."""

    def __init__(self, member_count: int, cause: StopReason, checkpoint: bool):
        self.call = "stop"
        if checkpoint and cause.outcome == AttemptOutcome.STOPPED:
            self.call = "checkpoint"
        self._members = range(member_count)
        self._cause = cause
        self._status_by_member: dict[int, TaskStatus | None] = {}
        self._deadline_by_member: dict[int, float] = {}

    def begin(self, gone: set[int], deadline_by_member: dict[int, float]) -> list[int]:
        """Return the members to call.

        After its deadline, in seconds, a member's lease has run out.
        """
        self._deadline_by_member = deadline_by_member
        self.lose(gone)
        return [member for member in self._members if member not in gone]

    def answered(self, status: TaskStatus) -> bool:
        """Note a reply; return whether the round is settled."""
        if status.member in self._members:
            self._status_by_member[status.member] = status
        return self.settled()

    def must_retry(self, member: int, code: int, now: float) -> bool:
        """Return whether to call a member again after a failed call.

        A refusal means that the upstream restarted: its tasks are gone.
        """
        if self._status_by_member.get(member, self) is None:
            return False
        return code == 0 and now < self._deadline_by_member[member]

    def lose(self, members: set[int]) -> bool:
        """Give members up; return whether the round is settled."""
        for member in members:
            self._status_by_member.setdefault(member, None)
        return self.settled()

    def settled(self) -> bool:
        """Return whether nothing more is to be heard."""
        return len(self._status_by_member) == len(self._members)

    def end(self) -> StopResult:
        """Return how the attempt ended; the round must be settled."""
        statuses = []
        lost = []
        for member in self._members:
            status = self._status_by_member[member]
            if status is None:
                lost.append(member)
                continue
            statuses.append(status)
        if not lost and not any(status.began for status in statuses):
            # Members that were not ready must not be tried again at once.
            return StopResult(AttemptOutcome.NEVER_BEGAN, self._cause.at_fault)
        if not lost and all(status.state == "finished" for status in statuses):
            return StopResult(AttemptOutcome.FINISHED)
        if self._cause.outcome != AttemptOutcome.STOPPED:
            return StopResult(
                self._cause.outcome, self._cause.at_fault, (), self._cause.message
            )
        if lost:
            return StopResult(AttemptOutcome.LOST, tuple(lost))
        checkpoints = self._checkpoints(statuses)
        if checkpoints:
            return StopResult(AttemptOutcome.CHECKPOINTED, (), checkpoints)
        return StopResult(AttemptOutcome.STOPPED)

    def _checkpoints(self, statuses: list[TaskStatus]) -> tuple[str, ...]:
        """Return a checkpoint of each member, or none if one has none."""
        if self.call != "checkpoint":
            return ()
        checkpoints = []
        for status in statuses:
            size = len(status.checkpoint.encode())
            if status.state != "stopped" or not 0 < size <= MAX_CHECKPOINT_BYTES:
                return ()
            checkpoints.append(status.checkpoint)
        return tuple(checkpoints)
