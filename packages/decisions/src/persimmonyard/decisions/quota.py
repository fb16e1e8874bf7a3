"""Limits of client accounts, and the order between accounts that wait.

Load pattern: callers of several accounts compete for capacity that does not
suffice, and one of them sends many times its usual load.  A limit bounds what
an account has running.  A share decides which account goes first while
several wait: one that sends more than it is entitled to does not make the
others late.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from persimmonyard.model import Resources

__all__ = [
    "NO_RESOURCES",
    "AccountUse",
    "JobRate",
    "OverLimit",
    "ShareRank",
    "WithinLimit",
    "decide_quota",
    "dominant_share",
    "entitled_shares",
    "share_rank",
]

NO_RESOURCES = Resources(0, 0, 0)
# Jobs that an account may send at once are those of this time, in seconds.
# The rate is stated in jobs per second, so an account that stays within it in
# each second is never beyond it.
_RATE_WINDOW_S = 1.0
_MS_PER_S = 1_000


class AccountUse(NamedTuple):
    """What an account has running, and its limit.

    A resource whose limit is 0 has no limit.
    """

    used: Resources
    limit: Resources


@dataclass(frozen=True)
class WithinLimit:
    """The tasks may start without taking the account above its limit."""


@dataclass(frozen=True)
class OverLimit:
    """The tasks would take the account above its limit of a resource.

    ``used`` is what the account has running, without these tasks.
    """

    resource: str
    used: int
    limit: int


def decide_quota(
    use: AccountUse, needs: Resources, tasks: int
) -> WithinLimit | OverLimit:
    """Decide whether an account may start tasks, each with these needs.

    An account that is above a limit, because the limit was lowered, starts
    nothing until it is at the limit again, not even tasks that do not need
    the resource.
    """
    if not any(use.limit):
        return WithinLimit()
    for resource, used, limit, need in zip(
        Resources._fields, use.used, use.limit, needs, strict=True
    ):
        if limit and used + tasks * need > limit:
            return OverLimit(resource, used, limit)
    return WithinLimit()


class ShareRank(IntEnum):
    """The order of accounts among units of the same urgency.

    ``AT_SHARE`` also holds for accounts without a weight.
    """

    BELOW_SHARE = 0
    AT_SHARE = 1


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest share of a resource that an account uses, from 0.

    A resource of which there is no capacity does not count.
    """
    share = 0.0
    for amount, available in zip(used, capacity, strict=True):
        if available > 0:
            share = max(share, amount / available)
    return share


def entitled_shares(
    weight_by_account: dict[str, float], active: Iterable[str]
) -> dict[str, float]:
    """Return the share of capacity, from 0 to 1, that active accounts may use.

    Only accounts that use or wait for capacity are active; the weights of the
    others are distributed over them.  Accounts without a weight are left out.
    """
    # Weights are divided by the largest before they are added, because the
    # sum of large ones would be infinite.
    weights = {
        account: weight_by_account[account]
        for account in active
        if weight_by_account.get(account)
    }
    largest = max(weights.values(), default=0.0)
    total = sum(weight / largest for weight in weights.values())
    return {account: weight / largest / total for account, weight in weights.items()}


def share_rank(used: Resources, capacity: Resources, entitled: float) -> ShareRank:
    """Return the rank of an account that uses ``used`` of a fleet's capacity.

    ``entitled`` is its share by weight, from 0 to 1, or 0 without a weight.
    """
    if dominant_share(used, capacity) < entitled:
        return ShareRank.BELOW_SHARE
    return ShareRank.AT_SHARE


class JobRate(NamedTuple):
    """How many jobs an account may still send within its rate.

    ``allowance`` was left at ``at_ms``, in Unix milliseconds.
    """

    allowance: float
    at_ms: int

    @classmethod
    def full(cls, weight: float, at_ms: int) -> "JobRate":
        """Return the rate of an account that has sent nothing yet."""
        return cls(_burst(weight), at_ms)

    def after_job(self, weight: float, at_ms: int) -> tuple["JobRate", bool]:
        """Return the rate after a job, and whether the job is within it.

        The account may send ``weight`` jobs a second.  A job beyond the rate
        takes nothing from it.  A clock that goes back adds nothing.
        """
        passed_s = max(0, at_ms - self.at_ms) / _MS_PER_S
        allowance = min(_burst(weight), self.allowance + passed_s * weight)
        within = allowance >= 1.0
        return JobRate(allowance - within, at_ms), within


def _burst(weight: float) -> float:
    return max(1.0, weight * _RATE_WINDOW_S)
