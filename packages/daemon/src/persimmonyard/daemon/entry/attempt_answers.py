"""The answers of an attempt's members, as they are fetched."""

from persimmonyard.daemon.entry.attempt_events import TaskAnswer
from persimmonyard.state.records import MemberAnswer

__all__ = ["MAX_ANSWER_BYTES", "MemberAnswers"]

# Answers stand in the replicated log.
MAX_ANSWER_BYTES = 65_536


class MemberAnswers:
    """Collect one answer of each member."""

    def __init__(self, member_count: int):
        self._members = range(member_count)
        self._answer_by_member: dict[int, TaskAnswer] = {}

    def add(self, member: int, answer: TaskAnswer) -> None:
        """Keep the answer of a member."""
        self._answer_by_member[member] = answer

    def missing(self) -> list[int]:
        """Return the members whose answer is not here."""
        missing = []
        for member in self._members:
            if member not in self._answer_by_member:
                missing.append(member)
        return missing

    def size(self) -> int:
        """Return the length of all answers together, in bytes."""
        return sum(len(answer.body) for answer in self._answer_by_member.values())

    def in_order(self) -> tuple[MemberAnswer, ...]:
        """Return all answers in the order of the members."""
        answers = []
        for member in self._members:
            answer = self._answer_by_member[member]
            answers.append(MemberAnswer(answer.body, answer.digest))
        return tuple(answers)
