"""Events that the scheduler observes."""

from dataclasses import dataclass

from persimmonyard.model import (
    ClientAccountSpec,
    Shape,
    UpstreamSpec,
    WorkClassSpec,
)

__all__ = [
    "AttemptEnded",
    "AttemptPlaced",
    "AttemptRunning",
    "ClassChanged",
    "ClientAccountChanged",
    "Event",
    "Job",
    "JobRemoved",
    "JobWaiting",
    "UpstreamDown",
    "UpstreamLeaving",
    "UpstreamUp",
    "ZoneChanged",
]


@dataclass(frozen=True)
class Job:
    """The scheduler's view of a request.

    Unlike ``persimmonyard.jobs.model.Job``, it is neither sent nor stored.
    Times are in seconds on the clock that the caller passes to the scheduler.
    ``avoid`` holds upstreams on which the request has failed, and ``crashes``
    is the number of attempts under which an upstream has crashed.
    ``attempts`` is the number of the last recorded attempt, ``None`` if the
    scheduler counts them itself.
    """

    request_id: str
    client_account: str
    class_name: str
    shape: Shape
    declared_run_s: float
    idempotent: bool
    checkpointable: bool
    submitted_at: float
    not_before: float = 0.0
    avoid: frozenset[str] = frozenset()
    attempts: int | None = None
    crashes: int = 0


@dataclass(frozen=True)
class UpstreamUp:
    """An upstream accepts work, or announced a new specification.

    ``quarantined_until`` tells a new scheduler when a quarantine in force
    ends, in seconds; it is ``None`` if there is none.
    """

    spec: UpstreamSpec
    quarantined_until: float | None = None


@dataclass(frozen=True)
class UpstreamLeaving:
    """An upstream accepts no new work; its tasks continue."""

    upstream_id: str


@dataclass(frozen=True)
class UpstreamDown:
    """An upstream is lost."""

    upstream_id: str


@dataclass(frozen=True)
class ZoneChanged:
    """An availability zone was taken out of service or put back."""

    zone: str
    in_service: bool


@dataclass(frozen=True)
class ClassChanged:
    """A class was set, or removed if ``spec`` is ``None``."""

    name: str
    spec: WorkClassSpec | None


@dataclass(frozen=True)
class ClientAccountChanged:
    """A client account was set, or removed if ``spec`` is ``None``."""

    name: str
    spec: ClientAccountSpec | None


@dataclass(frozen=True)
class JobWaiting:
    """A request waits for placement."""

    job: Job


@dataclass(frozen=True)
class JobRemoved:
    """A request needs no further placement, for example after it ended."""

    request_id: str


@dataclass(frozen=True)
class AttemptPlaced:
    """An attempt occupies capacity; also sent when state is rebuilt.

    ``incarnations`` holds the incarnation of each upstream at the time of the
    placement.  Members on an earlier incarnation occupy nothing.  If it is
    empty, the current incarnations are assumed.
    """

    job: Job
    number: int
    upstream_ids: tuple[str, ...]
    borrowed: bool
    incarnations: tuple[str, ...] = ()
    placed_at: float | None = None


@dataclass(frozen=True)
class AttemptRunning:
    """An attempt has been running since ``since``, in seconds."""

    request_id: str
    number: int
    since: float


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt released its capacity.

    ``outcome`` is ``finished``, ``never_began``, ``failed``, ``lost``,
    ``stopped`` or ``checkpointed``.  ``failed_on`` holds the upstreams of the
    members at fault.  ``job`` is set for attempts that may have ended before
    this scheduler knew of them; these only extend its history of run times
    and failures.
    """

    request_id: str
    number: int
    outcome: str
    run_s: float
    failed_on: tuple[str, ...] = ()
    job: Job | None = None


Event = (
    UpstreamUp
    | UpstreamLeaving
    | UpstreamDown
    | ZoneChanged
    | ClassChanged
    | ClientAccountChanged
    | JobWaiting
    | JobRemoved
    | AttemptPlaced
    | AttemptRunning
    | AttemptEnded
)
