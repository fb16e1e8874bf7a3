"""Configuration items: availability zones, work classes, client accounts."""

from dataclasses import dataclass
from enum import StrEnum

from persimmonyard.model.shape import Shape

__all__ = [
    "AccessRole",
    "ClientAccountSpec",
    "ConfigurationChange",
    "WorkClassSpec",
    "ZoneSpec",
]


class AccessRole(StrEnum):
    """The API that a token gives access to.

    This is unrelated to the role of a replica in its group and to the role
    of a daemon process.
    """

    CLIENT = "client"
    OPERATOR = "operator"
    UPSTREAM = "upstream"


@dataclass(frozen=True)
class ZoneSpec:
    """An availability zone.

    ``in_service`` is false while no new work may start in the zone.
    """

    name: str
    in_service: bool = True


@dataclass(frozen=True)
class WorkClassSpec:
    """A work class and the service level that its requests should meet.

    ``within_s`` is the maximum time from submission to the answer in seconds.
    ``done_by`` is the time of day by which the answer is due, ``HH:MM`` in
    UTC.  A class sets at most one of the two.  ``start_within_s`` is the
    maximum time from submission to the first start in seconds.
    """

    name: str
    within_s: float | None = None
    done_by: str | None = None
    start_within_s: float | None = None


@dataclass(frozen=True)
class ClientAccountSpec:
    """A client account with its token hashes, guarantee and limits.

    ``guarantee`` lists the shapes whose capacity the account can reclaim at
    any time.  ``max_waiting`` is the maximum number of requests in progress:
    requests that have not ended, whether they wait or run.
    ``max_accelerators`` is the maximum number of accelerators in use at the
    same time (``None`` for no quota).
    """

    name: str
    token_hashes: tuple[str, ...] = ()
    role: AccessRole = AccessRole.CLIENT
    guarantee: tuple[Shape, ...] = ()
    max_waiting: int = 1_000
    max_accelerators: int | None = None


@dataclass(frozen=True)
class ConfigurationChange:
    """One configuration change: sets one item, or removes the item ``remove``.

    ``remove`` has the form ``kind/name``, for example ``class/fit-check``.
    """

    zone: ZoneSpec | None = None
    work_class: WorkClassSpec | None = None
    client_account: ClientAccountSpec | None = None
    remove: str | None = None
