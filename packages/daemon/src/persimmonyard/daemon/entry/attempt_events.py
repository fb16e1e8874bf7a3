"""What the core of an attempt is told, and what it asks its host to do."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from persimmonyard.model import ResultCode
from persimmonyard.state.commands import CommandResult
from persimmonyard.wire import DispatchOrder

__all__ = [
    "Action",
    "AnswerFetched",
    "Begin",
    "CallAnswered",
    "CallFailed",
    "CallUpstream",
    "CommandAnswered",
    "Drop",
    "Event",
    "MembersRenewed",
    "Phase",
    "Renewal",
    "SendCommand",
    "StopOrdered",
    "TaskAnswer",
    "TaskStatus",
    "TimerFired",
    "call_members",
    "is_outcome_unknown",
    "lost_members",
    "reports_stale_fence",
]


_UNKNOWN_OUTCOMES = (
    ResultCode.NO_LEADER,
    ResultCode.NOT_LEADER,
    ResultCode.TIMEOUT,
    ResultCode.STOPPING,
    ResultCode.OVERLOADED,
)


class Phase(Enum):
    """What the attempt waits for."""

    PREPARING = "preparing"
    ASKING = "asking"
    SENDING = "sending"
    RUNNING = "running"
    STOPPING = "stopping"
    FETCHING = "fetching"
    REPORTING = "reporting"
    RELEASING = "releasing"
    DROPPED = "dropped"


class TaskStatus(msgspec.Struct):
    """State of one task as its upstream reports it.

    ``state`` is ``unknown``, ``prepared``, ``running``, ``finished``,
    ``failed`` or ``stopped``.  ``code`` is not 0 if a renewal of this task
    was refused.
    """

    attempt: str
    member: int
    state: str = "unknown"
    began: bool = False
    message: str = ""
    checkpoint: str = ""
    code: int = 0


class TaskAnswer(msgspec.Struct):
    """The checked body of a finished task."""

    body: bytes
    digest: str


class Renewal(NamedTuple):
    """A member to renew and the state that is known of it."""

    member: int
    known_state: str


# Events.


@dataclass(frozen=True)
class Begin:
    """The host is ready to carry out actions."""


@dataclass(frozen=True)
class StopOrdered:
    """The leader ordered a stop under the fence of the attempt."""

    order: DispatchOrder


@dataclass(frozen=True)
class CallAnswered:
    """An upstream answered a call that was sent at ``sent_at``."""

    call: str
    member: int
    sent_at: float
    status: TaskStatus


@dataclass(frozen=True)
class CallFailed:
    """A call gave no status.

    ``code`` is that of the upstream's refusal, or 0 if the effect of the
    call is unknown.  ``sent`` is false if the host did not send the call.
    """

    call: str
    member: int
    code: int = 0
    sent: bool = True


@dataclass(frozen=True)
class AnswerFetched:
    """An answer arrived whole and matches its digest."""

    member: int
    answer: TaskAnswer


@dataclass(frozen=True)
class MembersRenewed:
    """An upstream answered a renewal that was sent at ``sent_at``."""

    sent_at: float
    statuses: tuple[TaskStatus, ...]


@dataclass(frozen=True)
class CommandAnswered:
    """The leader's result of a command; ``None`` if it is unknown."""

    command: Any
    result: CommandResult | None


@dataclass(frozen=True)
class TimerFired:
    """The time of ``next_wakeup`` has come."""


Event = (
    Begin
    | StopOrdered
    | CallAnswered
    | CallFailed
    | AnswerFetched
    | MembersRenewed
    | CommandAnswered
    | TimerFired
)


# Actions.


@dataclass(frozen=True)
class CallUpstream:
    """Send a call to a member after ``delay_s``.

    With ``not_after`` the host sends it only before that time and only while
    its session lease is valid, and checks both right before it sends.  Each
    call leads to one event.
    """

    call: str
    member: int
    delay_s: float = 0.0
    not_after: float | None = None


@dataclass(frozen=True)
class SendCommand:
    """Send a command to the leader after ``delay_s``."""

    command: Any
    delay_s: float = 0.0


@dataclass(frozen=True)
class Drop:
    """Forget the attempt; nothing of it is left to do here."""


Action = CallUpstream | SendCommand | Drop


def reports_stale_fence(event: Event) -> bool:
    """Return whether the event shows that another entry has a newer fence."""
    stale = ResultCode.STALE_FENCE
    match event:
        case CallFailed(code=code):
            return code == stale
        case MembersRenewed(statuses=statuses):
            return any(status.code == stale for status in statuses)
        case CommandAnswered(result=result):
            return result is not None and result.code == stale
    return False


def lost_members(order: DispatchOrder) -> set[int]:
    """Return the members whose upstream the leader knows to be lost."""
    lost = set()
    for index, member in enumerate(order.members):
        if member.lost:
            lost.add(index)
    return lost


def is_outcome_unknown(result: CommandResult | None) -> bool:
    """Return whether a command may or may not have been applied."""
    return result is None or result.code in _UNKNOWN_OUTCOMES


def call_members(
    members: Iterable[int], call: str, not_after: float | None = None
) -> list[Action]:
    """Return one call for each member."""
    return [CallUpstream(call, member, not_after=not_after) for member in members]
