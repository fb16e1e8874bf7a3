"""Decisions that the scheduler returns, each with its reason."""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "Decision",
    "GuaranteeProblem",
    "Place",
    "Preempt",
    "Quarantine",
    "Reason",
    "Refuse",
]


class Reason(NamedTuple):
    """A fixed code and a text that explain a decision or why a job waits."""

    code: str
    text: str


@dataclass(frozen=True)
class Place:
    """Start attempt ``number`` of a request on ``upstream_ids``.

    An upstream is listed once for each member that it runs.  ``borrowed``
    tells whether the attempt is outside the guarantee of its client account.
    """

    request_id: str
    number: int
    upstream_ids: tuple[str, ...]
    borrowed: bool
    reason: Reason


@dataclass(frozen=True)
class Preempt:
    """Stop an attempt, after a checkpoint if ``checkpoint`` is true.

    ``for_request`` is the request that gets the capacity; it is the request
    itself if the attempt is evacuated.
    """

    request_id: str
    number: int
    checkpoint: bool
    for_request: str
    reason: Reason


@dataclass(frozen=True)
class Refuse:
    """Refuse a waiting request that can never run, with a result code."""

    request_id: str
    code: int
    reason: Reason


@dataclass(frozen=True)
class Quarantine:
    """Place nothing on an upstream until the given time in seconds.

    If ``until`` is not in the future, the quarantine has ended.
    """

    upstream_id: str
    until: float
    reason: Reason


class GuaranteeProblem(NamedTuple):
    """A guaranteed block that does not fit, with an explanation.

    ``block`` is the index of the block's shape in the account's guarantee.
    """

    client_account: str
    block: int
    text: str


Decision = Place | Preempt | Refuse | Quarantine
