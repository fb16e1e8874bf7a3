"""The records that the replicated state holds."""

from dataclasses import dataclass, field
from enum import StrEnum

from persimmonyard.model import Shape, UpstreamSpec

__all__ = [
    "ENDED_STATES",
    "Attempt",
    "AttemptCrash",
    "AttemptOutcome",
    "AttemptState",
    "Member",
    "MemberAnswer",
    "MemberSilence",
    "RequestRecord",
    "RequestState",
    "Transition",
    "UpstreamRecord",
    "UpstreamStatus",
]


class RequestState(StrEnum):
    """The state of a request in its life cycle."""

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
    """The state of an attempt.

    An attempt in state ``stopping`` still occupies its members.
    """

    PLACED = "placed"
    STARTED = "started"
    STOPPING = "stopping"
    ENDED = "ended"


class AttemptOutcome(StrEnum):
    """The outcome of an attempt.

    ``never_began`` is used only if no start was committed, or if every member
    confirmed that its task has not begun and will not begin.
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
    """A member of an attempt: the upstream incarnation that it runs on."""

    upstream_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """The answer of one member with the SHA-256 digest of its body."""

    body: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class MemberSilence:
    """What an entry knows of a member whose upstream stopped answering.

    ``after_ms`` is the time from the start of the member, or from the last
    answer before it if the start got none, to the first call without an
    answer.  ``delivered`` is false if no start reached the upstream.
    """

    member: int
    after_ms: int
    delivered: bool = True


@dataclass(slots=True)
class Attempt:
    """An attempt to run a request on a set of upstreams.

    ``lost_members``, ``failed_members`` and ``crashed_members`` are indexes
    into ``members``.  An upstream has crashed if it restarted without having
    announced to leave.  ``silences`` are those members of a lost attempt that
    gave no answer at its end, as far as its entry knows.
    ``preempted_for`` is the request that the capacity was freed for.
    Times are in seconds.
    """

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
    crashed_members: tuple[int, ...] = ()
    placed_at: float = 0.0
    started_at: float | None = None
    ended_at: float | None = None
    silences: tuple[MemberSilence, ...] = ()

    def ended(self) -> bool:
        """Return whether the attempt has released its members."""
        return self.state == AttemptState.ENDED


@dataclass(frozen=True, slots=True)
class AttemptCrash:
    """A crash of an upstream under an attempt of an idempotent request.

    ``members`` are the indexes of the members that were on the upstream, and
    ``window_ms`` is the time within which the crash followed their start.
    ``rate_per_s`` is the rate at which an upstream crashed without the
    request then, ``least_chance`` a lower limit of the chance that this was
    an accident, and an ``excused`` crash had another cause.  ``at`` is the
    time in seconds at which the crash was recorded.
    """

    attempt: int
    members: tuple[int, ...]
    upstream_id: str
    at: float
    window_ms: int
    rate_per_s: float
    least_chance: float = 0.0
    excused: bool = False


@dataclass(slots=True)
class Transition:
    """A state change in the history of a request, as shown by ``explain``."""

    at: float
    state: str
    reason: str


@dataclass(slots=True)
class RequestRecord:
    """A request with its state, attempts and result.

    ``may_have_begun`` is set when a started attempt ends with an outcome
    other than ``never_began``.  ``failures`` counts the attempts that failed
    or were lost, and ``reported_failures`` those whose task was reported as
    failed.  ``unready`` counts the attempts since the last start that
    ended because a member was not ready.  ``not_before`` is the earliest time
    of the next attempt.  ``crashes`` are the latest crashes of upstreams under
    attempts of an idempotent request.  Times are in seconds.
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
    crashes: tuple[AttemptCrash, ...] = ()
    reported_failures: int = 0

    def live_attempt(self) -> Attempt | None:
        """Return the attempt that has not ended, or ``None``."""
        if self.attempts and self.attempts[-1].state != AttemptState.ENDED:
            return self.attempts[-1]
        return None

    def ended(self) -> bool:
        """Return whether the request is in a final state."""
        return self.state in ENDED_STATES


@dataclass(slots=True)
class UpstreamRecord:
    """The announced specification of an upstream, and its status.

    ``before_loss`` is the status that a lost upstream returns to if it is
    heard from again under the same incarnation.  ``past_incarnations`` are
    the most recent incarnations before the current one, oldest first, and
    ``crashed_at`` the times of the crashes within the last minute.
    """

    spec: UpstreamSpec
    status: UpstreamStatus = UpstreamStatus.UP
    reason: str = ""
    until: float | None = None
    before_loss: UpstreamStatus | None = None
    past_incarnations: tuple[str, ...] = ()
    crashed_at: tuple[float, ...] = ()
