"""Collection of the answers of an attempt's members."""

from persimmonyard.daemon.entry.attempt_events import TaskAnswer
from persimmonyard.state.records import MemberAnswer

__all__ = ["MAX_ANSWER_BYTES", "AnswerCollector"]

# Answers are stored in the replicated log.
MAX_ANSWER_BYTES = 65_536


class AnswerCollector:
    """Collects one answer of each member of an attempt."""

    def __init__(self, member_count: int):
        self._members = range(member_count)
        self._answer_by_member: dict[int, TaskAnswer] = {}

    def add(self, member: int, answer: TaskAnswer) -> None:
        """Store the answer of a member."""
        self._answer_by_member[member] = answer

    def missing(self) -> list[int]:
        """Return the members whose answer has not been fetched yet."""
        missing = []
        for member in self._members:
            if member not in self._answer_by_member:
                missing.append(member)
        return missing

    def total_bytes(self) -> int:
        """Return the total length of all answers, in bytes."""
        return sum(len(answer.body) for answer in self._answer_by_member.values())

    def answers_in_order(self) -> tuple[MemberAnswer, ...]:
        """Return the answers of all members, in the order of the members."""
        answers = []
        for member in self._members:
            answer = self._answer_by_member[member]
            answers.append(MemberAnswer(answer.body, answer.digest))
        return tuple(answers)
