"""Events and actions of ``AttemptCore``, exchanged with ``AttemptDriver``."""

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
    "MembersSilent",
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


# Result codes that leave open whether the command was or will be applied, so
# that it must be sent again.
_UNKNOWN_OUTCOME_CODES = (
    ResultCode.NO_LEADER,
    ResultCode.NOT_LEADER,
    ResultCode.TIMEOUT,
    ResultCode.STOPPING,
    ResultCode.OVERLOADED,
)


class Phase(Enum):
    """What the attempt waits for.

    ``ASKING`` waits for the leader to commit the start, ``REPORTING`` to
    commit the end.  ``RELEASING`` waits for the acknowledge calls.
    """

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
    ``failed`` or ``stopped``.  ``code`` is the result code of a refused
    renewal of this task, otherwise 0.
    """

    attempt: str
    member: int
    state: str = "unknown"
    began: bool = False
    message: str = ""
    checkpoint: str = ""
    code: int = 0


class TaskAnswer(msgspec.Struct):
    """The body of a finished task; it matches ``digest``, a SHA-256."""

    body: bytes
    digest: str


class Renewal(NamedTuple):
    """A member whose lease to renew, and its last known state."""

    member: int
    known_state: str


@dataclass(frozen=True)
class Begin:
    """The driver is ready to execute actions."""


@dataclass(frozen=True)
class StopOrdered:
    """The leader ordered a stop under the current fence of the attempt."""

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
    """A call returned no status.

    ``code`` is the result code of the upstream's refusal, or 0 if the effect
    of the call is unknown.  ``sent`` is false if the driver did not send the
    call, and ``connected`` is false if there was no connection to send it on.
    """

    call: str
    member: int
    code: int = 0
    sent: bool = True
    connected: bool = True


@dataclass(frozen=True)
class AnswerFetched:
    """An answer arrived completely and matches its digest."""

    member: int
    answer: TaskAnswer


@dataclass(frozen=True)
class MembersRenewed:
    """An upstream answered a renewal that was sent at ``sent_at``."""

    sent_at: float
    statuses: tuple[TaskStatus, ...]


@dataclass(frozen=True)
class MembersSilent:
    """A renewal of these members got no answer."""

    members: tuple[int, ...]


@dataclass(frozen=True)
class CommandAnswered:
    """A command returned; ``result`` is ``None`` if the outcome is unknown."""

    command: Any
    result: CommandResult | None


@dataclass(frozen=True)
class TimerFired:
    """The time returned by ``AttemptCore.next_wakeup`` has passed."""


Event = (
    Begin
    | StopOrdered
    | CallAnswered
    | CallFailed
    | AnswerFetched
    | MembersRenewed
    | MembersSilent
    | CommandAnswered
    | TimerFired
)


@dataclass(frozen=True)
class CallUpstream:
    """Send a call to the upstream of a member after ``delay_s`` seconds.

    With ``not_after``, the driver sends the call only before that time and
    only while the entry's session lease is valid, and checks both directly
    before sending.  Each call results in exactly one event.
    """

    call: str
    member: int
    delay_s: float = 0.0
    not_after: float | None = None


@dataclass(frozen=True)
class SendCommand:
    """Send a command to the leader after ``delay_s`` seconds."""

    command: Any
    delay_s: float = 0.0


@dataclass(frozen=True)
class Drop:
    """Discard the attempt; this entry has nothing left to do for it."""


Action = CallUpstream | SendCommand | Drop


def reports_stale_fence(event: Event) -> bool:
    """Return whether an event reports that another entry has a newer fence."""
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
    """Return the indexes of members whose upstream the leader marked lost."""
    lost = set()
    for index, member in enumerate(order.members):
        if member.lost:
            lost.add(index)
    return lost


def is_outcome_unknown(result: CommandResult | None) -> bool:
    """Return whether it is unknown if a command was applied."""
    return result is None or result.code in _UNKNOWN_OUTCOME_CODES


def call_members(
    members: Iterable[int], call: str, not_after: float | None = None
) -> list[Action]:
    """Return one ``CallUpstream`` action for each member."""
    return [CallUpstream(call, member, not_after=not_after) for member in members]
