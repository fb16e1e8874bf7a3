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


@dataclass
class Member:
    """One member of an attempt: the upstream start that it runs on."""

    upstream_id: str
    incarnation: str


@dataclass
class MemberAnswer:
    """The result of one member with the SHA-256 digest of its body."""

    body: bytes
    digest: str


@dataclass
class Attempt:
    """One try to run a request on a set of upstreams."""

    number: int
    members: list[Member]
    entry_id: str
    fence: int
    state: AttemptState = AttemptState.PLACED
    outcome: AttemptOutcome | None = None
    borrowed: bool = False
    checkpoint_wanted: bool = False
    stop_reason: str = ""
    lost_members: list[int] = field(default_factory=list)
    failed_members: list[int] = field(default_factory=list)
    placed_at: float = 0.0
    started_at: float | None = None
    ended_at: float | None = None


@dataclass
class Transition:
    """One entry of a request's history, shown by ``explain``."""

    at: float
    state: str
    reason: str


@dataclass
class RequestRecord:
    """A request and everything that is decided about it."""

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
    answers: list[MemberAnswer] = field(default_factory=list)
    checkpoint: str = ""
    not_before: float = 0.0
    ended_at: float | None = None
    history: list[Transition] = field(default_factory=list)

    def live_attempt(self) -> Attempt | None:
        """Return the attempt that has not ended, if there is one."""
        if self.attempts and self.attempts[-1].state != AttemptState.ENDED:
            return self.attempts[-1]
        return None

    def ended(self) -> bool:
        """Return whether the request has its final outcome."""
        return self.state in ENDED_STATES


@dataclass
class UpstreamRecord:
    """An upstream as it announced itself, and its status."""

    spec: UpstreamSpec
    status: UpstreamStatus = UpstreamStatus.UP
    reason: str = ""
    until: float | None = None
