"""Refusal of jobs that can never start on the upstreams that there are.

Load pattern: callers send jobs that are larger than every upstream, or gangs
above the limit of their account.  Such a job would wait until it expires, and
its caller would find out too late.  Many of them are sent at once, so they
must not all return at once either.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from persimmonyard.decisions.quota import ShareRank
from persimmonyard.model import Resources

__all__ = [
    "MAX_RETRY_AFTER_S",
    "MIN_RETRY_AFTER_S",
    "AdmissionFacts",
    "Admit",
    "RefusalReason",
    "Refuse",
    "StepDemand",
    "decide_admission",
]

# Range of Retry-After, in whole seconds.  A refusal holds until a larger
# upstream joins or another configuration is accepted, which is rare within
# 5 s; 30 s is the longest deadline of a call.  The 26 values leave at most a
# 13th of the callers of one half of the range to any one second.
MIN_RETRY_AFTER_S = 5
MAX_RETRY_AFTER_S = 30


class RefusalReason(StrEnum):
    """Why a job cannot start.

    ``NO_UPSTREAM``: the upstreams of the service do not hold a unit even when
    all are empty.  ``ACCOUNT_LIMIT``: a unit alone exceeds the limit of its
    account.  ``NO_MEMORY``: the state of the jobs that are stored takes up the
    memory for it, or the part of the job's account.  ``CANCELLED``: its caller
    cancelled it before the submission arrived.
    """

    NO_UPSTREAM = "no_upstream"
    ACCOUNT_LIMIT = "account_limit"
    NO_MEMORY = "no_memory"
    CANCELLED = "cancelled"


class StepDemand(NamedTuple):
    """What one unit of a step needs, and the upstreams that may hold it.

    ``needs`` is what a task takes from the capacity of its upstream, and
    ``tasks`` how many run together: all of a gang, else 1.  At most
    ``per_upstream`` of them share an upstream (0: no limit).  ``capacities``
    counts the upstreams of the service with the label of the step by capacity.
    ``over_limit`` is true if a unit alone exceeds the limit of its account.
    """

    needs: Resources
    tasks: int
    per_upstream: int
    capacities: Mapping[Resources, int]
    over_limit: bool


class AdmissionFacts(NamedTuple):
    """What the admission of a job depends on.

    ``fleet_known`` is false while upstreams may exist of which there is no
    report.  ``rank`` is that of the account, or None without a weight.
    ``spread`` is from 0 to below 1, different for each call.
    """

    fleet_known: bool
    steps: Iterable[StepDemand]
    rank: ShareRank | None
    spread: float


@dataclass(frozen=True)
class Admit:
    """The job may be accepted; it may have to wait."""


@dataclass(frozen=True)
class Refuse:
    """The job cannot start because of the step with number ``step``.

    Its caller may send it again after ``retry_after_s`` seconds.
    """

    reason: RefusalReason
    retry_after_s: int
    step: int


def decide_admission(facts: AdmissionFacts) -> Admit | Refuse:
    """Decide whether a job is accepted; all its steps count.

    Nothing is refused while the fleet is not known.
    """
    if not facts.fleet_known:
        return Admit()
    for number, step in enumerate(facts.steps):
        if step.over_limit:
            reason = RefusalReason.ACCOUNT_LIMIT
        elif not _could_hold(step):
            reason = RefusalReason.NO_UPSTREAM
        else:
            continue
        return Refuse(reason, _retry_after_s(facts.rank, facts.spread), number)
    return Admit()


def _could_hold(step: StepDemand) -> bool:
    """Return whether empty upstreams hold all tasks of a unit together."""
    missing = step.tasks
    for capacity, upstreams in step.capacities.items():
        missing -= upstreams * _fit_count(step, capacity)
        if missing <= 0:
            return True
    return False


def _fit_count(step: StepDemand, capacity: Resources) -> int:
    """Return how many tasks of a unit one empty upstream holds."""
    count = step.per_upstream or step.tasks
    for need, available in zip(step.needs, capacity, strict=True):
        if need > 0:
            count = min(count, available // need)
    return count


def _retry_after_s(rank: ShareRank | None, spread: float) -> int:
    """Return a delay from the range that the rank of an account has.

    Accounts below their share return in the first half and those at their
    share in the second; accounts without a weight use the whole range.
    """
    values = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S + 1
    half = values // 2
    match rank:
        case ShareRank.BELOW_SHARE:
            first, values = MIN_RETRY_AFTER_S, half
        case ShareRank.AT_SHARE:
            first, values = MIN_RETRY_AFTER_S + half, values - half
        case None:
            first = MIN_RETRY_AFTER_S
    return first + int(spread * values)
