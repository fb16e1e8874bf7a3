"""Facts that the scheduler is told."""

from dataclasses import dataclass

from persimmonyard.model import (
    ClassSpec,
    ClientAccountSpec,
    Shape,
    UpstreamSpec,
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
    """What the scheduler needs to know of a request.

    Times are in seconds on the clock that is passed to the scheduler.
    ``avoid`` holds upstreams on which the request failed before.
    ``attempts`` is the number of attempts on record, ``None`` if the
    scheduler is to count them itself.
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


@dataclass(frozen=True)
class UpstreamUp:
    """An upstream takes work, or announced new figures.

    ``quarantined_until`` tells a new scheduler of a quarantine in force.
    """

    spec: UpstreamSpec
    quarantined_until: float | None = None


@dataclass(frozen=True)
class UpstreamLeaving:
    """An upstream takes no new work; its tasks go on."""

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
    spec: ClassSpec | None


@dataclass(frozen=True)
class ClientAccountChanged:
    """A client account was set, or removed if ``spec`` is ``None``."""

    name: str
    spec: ClientAccountSpec | None


@dataclass(frozen=True)
class JobWaiting:
    """A request waits for a placement."""

    job: Job


@dataclass(frozen=True)
class JobRemoved:
    """A request needs no further placement."""

    request_id: str


@dataclass(frozen=True)
class AttemptPlaced:
    """An attempt occupies its members, also told when state is rebuilt.

    ``incarnations`` names the start of each upstream that the attempt is on;
    members of an earlier start occupy nothing.  Empty means the current one.
    """

    job: Job
    number: int
    upstream_ids: tuple[str, ...]
    borrowed: bool
    incarnations: tuple[str, ...] = ()
    placed_at: float | None = None


@dataclass(frozen=True)
class AttemptRunning:
    """An attempt was started at ``since``."""

    request_id: str
    number: int
    since: float


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt released its members.

    ``outcome`` is ``finished``, ``never_began``, ``failed``, ``lost``,
    ``stopped`` or ``checkpointed``; ``failed_on`` names the upstreams of the
    members at fault.  ``job`` is given for attempts that may have ended before
    this scheduler knew of them: they only add to its history.
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
