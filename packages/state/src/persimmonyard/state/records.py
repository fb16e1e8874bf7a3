"""The records that the replicated state holds."""

from dataclasses import dataclass, field
from enum import StrEnum

from persimmonyard.model import Shape, UpstreamSpec

__all__ = [
    "ENDED_STATES",
    "Attempt",
    "AttemptOutcome",
    "AttemptState",
    "Member",
    "MemberAnswer",
    "RequestRecord",
    "RequestState",
    "Transition",
    "UpstreamRecord",
    "UpstreamStatus",
]


class RequestState(StrEnum):
    """Where a request is in its life cycle."""

    ACCEPTED = "accepted"
    PLACED = "placed"
    STARTED = "started"
    FINISHED = "finished"
    ANSWERED = "answered"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


ENDED_STATES = frozenset(
    {
        RequestState.FINISHED,
        RequestState.ANSWERED,
        RequestState.CANCELLED,
        RequestState.REFUSED,
        RequestState.UNKNOWN,
    }
)


class AttemptState(StrEnum):
    """Where an attempt is; ``stopping`` still occupies its members."""

    PLACED = "placed"
    STARTED = "started"
    STOPPING = "stopping"
    ENDED = "ended"


class AttemptOutcome(StrEnum):
    """How an attempt ended.

    ``never_began`` is used only when no start was committed or every member
    stated that its task never began and never will.
    """

    FINISHED = "finished"
    NEVER_BEGAN = "never_began"
    FAILED = "failed"
    LOST = "lost"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


class UpstreamStatus(StrEnum):
    """Whether an upstream may receive work."""

    UP = "up"
    LEAVING = "leaving"
    LOST = "lost"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Member:
    """One member of an attempt: the upstream start that it runs on."""

    upstream_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """The result of one member with the SHA-256 digest of its body."""

    body: bytes
    digest: str


@dataclass(slots=True)
class Attempt:
    """One try to run a request on a set of upstreams."""

    number: int
    members: tuple[Member, ...]
    entry_id: str
    fence: int
    state: AttemptState = AttemptState.PLACED
    outcome: AttemptOutcome | None = None
    borrowed: bool = False
    checkpoint_wanted: bool = False
    stop_reason: str = ""
    preempted_for: str = ""
    lost_members: tuple[int, ...] = ()
    failed_members: tuple[int, ...] = ()
    placed_at: float = 0.0
    started_at: float | None = None
    ended_at: float | None = None

    def ended(self) -> bool:
        """Return whether the attempt occupies its members no longer."""
        return self.state == AttemptState.ENDED


@dataclass(slots=True)
class Transition:
    """One entry of a request's history, shown by ``explain``."""

    at: float
    state: str
    reason: str


@dataclass(slots=True)
class RequestRecord:
    """A request and everything that is decided about it.

    ``may_have_begun`` is set once an attempt ended that was started and that
    is not known to have never begun.  ``failures`` counts the attempts that
    failed or were lost, ``unready`` those since the last start that ended
    because a member was not ready.
    """

    request_id: str
    client_account: str
    class_name: str
    key: str
    digest: str
    shape: Shape
    declared_run_s: float
    idempotent: bool
    checkpointable: bool
    payload: bytes
    submitted_at: float
    state: RequestState = RequestState.ACCEPTED
    code: int = 0
    message: str = ""
    cancel_requested: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    answers: tuple[MemberAnswer, ...] = ()
    checkpoint: str = ""
    not_before: float = 0.0
    ended_at: float | None = None
    history: list[Transition] = field(default_factory=list)
    may_have_begun: bool = False
    failures: int = 0
    unready: int = 0

    def live_attempt(self) -> Attempt | None:
        """Return the attempt that has not ended, if there is one."""
        if self.attempts and self.attempts[-1].state != AttemptState.ENDED:
            return self.attempts[-1]
        return None

    def ended(self) -> bool:
        """Return whether the request has its final outcome."""
        return self.state in ENDED_STATES


@dataclass(slots=True)
class UpstreamRecord:
    """An upstream as it announced itself, and its status.

    ``before_loss`` is the status that a lost start gets back if it is heard
    again.  ``past_incarnations`` are the starts that newer ones replaced.
    """

    spec: UpstreamSpec
    status: UpstreamStatus = UpstreamStatus.UP
    reason: str = ""
    until: float | None = None
    before_loss: UpstreamStatus | None = None
    past_incarnations: tuple[str, ...] = ()
