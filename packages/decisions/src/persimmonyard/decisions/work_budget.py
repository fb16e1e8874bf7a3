"""How much memory accepted work may take, and who may take how much of it.

Load pattern: callers send thousands of jobs that wait, or that repeat for
weeks.  Each takes memory in every control process until it has ended and its
state is no longer kept.  Without a bound the processes are killed, and again
after each restart, because the state is durable.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["BudgetFull", "BudgetUse", "FitsBudget", "NeverFits", "decide_budget"]

# Shares of the budget that one account may take, that all jobs with a schedule
# may take, and that those of one account may take: schedules last for weeks,
# and must leave room for other work and other accounts.
_ACCOUNT_SHARE = 0.75
_SCHEDULES_SHARE = 0.5
_ACCOUNT_SCHEDULES_SHARE = 0.25


class BudgetUse(NamedTuple):
    """What accepted work takes, in bytes.

    ``account`` and ``account_schedules`` are the parts of the account of the
    job in question, ``schedules`` and ``account_schedules`` those of jobs with
    a schedule.
    """

    total: int = 0
    account: int = 0
    schedules: int = 0
    account_schedules: int = 0


@dataclass(frozen=True)
class FitsBudget:
    """The work may be accepted."""


@dataclass(frozen=True)
class BudgetFull:
    """The work does not fit now; ``missing`` bytes have to become free."""

    missing: int


@dataclass(frozen=True)
class NeverFits:
    """The work would not fit without any other; ``limit`` is in bytes."""

    limit: int


def decide_budget(
    budget: int, use: BudgetUse, needed: int, has_schedule: bool
) -> FitsBudget | BudgetFull | NeverFits:
    """Decide whether work that takes ``needed`` bytes fits the budget."""
    parts = [(budget, use.total), (int(budget * _ACCOUNT_SHARE), use.account)]
    if has_schedule:
        parts.append((int(budget * _SCHEDULES_SHARE), use.schedules))
        account_limit = int(budget * _ACCOUNT_SCHEDULES_SHARE)
        parts.append((account_limit, use.account_schedules))
    smallest = min(limit for limit, _ in parts)
    if needed > smallest:
        return NeverFits(smallest)
    missing = max(used + needed - limit for limit, used in parts)
    return BudgetFull(missing) if missing > 0 else FitsBudget()
