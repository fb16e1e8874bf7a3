"""The order between client accounts whose units wait for capacity.

It is in effect only while the configuration has accounts with weights.
"""

from collections.abc import Iterable

from persimmonyard.decisions import ShareRank, entitled_shares, share_rank
from persimmonyard.jobs.account_usage import AccountUsage
from persimmonyard.jobs.fleet import UpstreamReport
from persimmonyard.jobs.waiting_queue import WaitingUnits
from persimmonyard.model import Resources

__all__ = ["account_entitlements", "order_by_share", "total_capacity"]


def total_capacity(reports: Iterable[UpstreamReport]) -> Resources:
    """Return the capacity of all upstreams together."""
    accelerators = cores = memory_mb = 0
    for report in reports:
        accelerators += report.capacity.accelerators
        cores += report.capacity.cores
        memory_mb += report.capacity.memory_mb
    return Resources(accelerators, cores, memory_mb)


def account_entitlements(
    usage: AccountUsage, waiting_accounts: Iterable[str]
) -> dict[str, float]:
    """Return the entitled share of capacity of each active account.

    It is from 0 to 1.  Accounts without a weight, or that neither have
    anything running nor wait, are left out.
    """
    active = dict.fromkeys([*usage.names_in_use(), *waiting_accounts])
    return entitled_shares(usage.weight_by_name, active)


def order_by_share(
    ready: list[WaitingUnits], usage: AccountUsage, reports: Iterable[UpstreamReport]
) -> list[WaitingUnits]:
    """Return units in queue order, accounts below their share first.

    Within a priority, units of jobs beyond the rate of their account come
    after all others, late ones included.  Within the same urgency, units of
    accounts below their share come before the others.  Work within a
    guarantee keeps its order, and without weights everything does.

    ``reports`` are those of the upstreams whose capacity is shared.  An
    account's share is that at the beginning of a plan.  What the plan
    itself places counts in the next one.
    """
    if not usage.weight_by_name:
        return ready
    capacity = total_capacity(reports)
    accounts = [waiting.record.job.account for waiting in ready]
    rank_by_account: dict[str, ShareRank] = {}
    entitlements = account_entitlements(usage, accounts)
    for account in accounts:
        entitled = entitlements.get(account, 0.0)
        rank_by_account[account] = share_rank(usage.used(account), capacity, entitled)

    def sort_key(waiting: WaitingUnits) -> tuple:
        hopeless, priority, unguaranteed, late, *rest = waiting.sort_key
        beyond_rate, rank = 0, 0
        if unguaranteed:
            account = waiting.record.job.account
            # A job keeps its mark when its account loses its weight.
            has_weight = account in usage.weight_by_name
            beyond_rate = int(waiting.record.beyond_rate and has_weight)
            rank = rank_by_account[account]
        return (hopeless, priority, unguaranteed, beyond_rate, late, rank, *rest)

    return sorted(ready, key=sort_key)
