"""Decisions of the scheduler, each with its reason."""

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
    """A short fixed code and one sentence that explains a decision."""

    code: str
    text: str


@dataclass(frozen=True)
class Place:
    """Run attempt ``number`` of a request on ``upstream_ids``."""

    request_id: str
    number: int
    upstream_ids: tuple[str, ...]
    borrowed: bool
    reason: Reason


@dataclass(frozen=True)
class Preempt:
    """Stop an attempt, after a checkpoint if ``checkpoint`` is true."""

    request_id: str
    number: int
    checkpoint: bool
    for_request: str
    reason: Reason


@dataclass(frozen=True)
class Refuse:
    """End a waiting request that can never run; ``code`` is a result code."""

    request_id: str
    code: int
    reason: Reason


@dataclass(frozen=True)
class Quarantine:
    """Keep an upstream out of use until the given time.

    A time that is past ends the quarantine.
    """

    upstream_id: str
    until: float
    reason: Reason


class GuaranteeProblem(NamedTuple):
    """A guaranteed shape that does not fit, and what would bring it back."""

    client_account: str
    block: int
    text: str


Decision = Place | Preempt | Refuse | Quarantine
