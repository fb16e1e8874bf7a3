"""The client accounts, as metrics and explanations show them."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from persimmonyard.daemon.metrics import GaugeValue, ProcessMetrics
from persimmonyard.jobs import AccountStatus, account_statuses, total_capacity
from persimmonyard.model import Resources

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["AccountOverview", "add_account_gauges"]

# How long a view of the accounts is used again, in seconds.  It takes time for
# every waiting unit, and callers may ask for it at any rate.
_VALID_S = 1.0
_EMPTY_STATUS = AccountStatus(Resources(0, 0, 0), Resources(0, 0, 0), 0.0, 0.0, 0, 0)
_HELP_BY_GAUGE = {
    "account_used": "What an account has running, by resource.",
    "account_limit": "What an account may have running, by resource; 0: no limit.",
    "account_share": "Share of the fleet's dominant resource that is in use.",
    "account_entitled_share": "Share to which the weight of an account entitles it.",
    "account_waiting_units": "Units of an account that wait.",
    "account_units_over_limit": "Waiting units that the limit does not let start.",
}


class AccountOverview:
    """The accounts as the leader of a term sees them."""

    def __init__(self, term: "LeaderTerm"):
        self._term = term
        self._status_by_name: dict[str, AccountStatus] = {}
        self._valid_until = float("-inf")

    def status(self, name: str) -> AccountStatus:
        """Return the status of an account, at most a second old."""
        return self._statuses().get(name, _EMPTY_STATUS)

    def configured(self) -> dict[str, AccountStatus]:
        """Return the status of configured accounts, at most a second old."""
        names = self._term.store.account_usage.configured_names()
        return {name: self.status(name) for name in names}

    def _statuses(self) -> dict[str, AccountStatus]:
        now = self._term.now()
        if now >= self._valid_until:
            capacity = total_capacity(self._term.fleet.available_reports(now))
            self._status_by_name = account_statuses(self._term.store, capacity)
            self._valid_until = now + _VALID_S
        return self._status_by_name


def add_account_gauges(
    metrics: ProcessMetrics, leader_term: "Callable[[], LeaderTerm | None]"
) -> None:
    """Export the configured accounts while this process leads."""

    def read() -> Iterator[GaugeValue]:
        term = leader_term()
        if term is None:
            return
        for name, status in term.accounts.configured().items():
            labels = {"account": name}
            for resource in Resources._fields:
                by_resource = labels | {"resource": resource}
                used = getattr(status.used, resource)
                yield GaugeValue("account_used", by_resource, used)
                limit = getattr(status.limit, resource)
                yield GaugeValue("account_limit", by_resource, limit)
            yield GaugeValue("account_share", labels, status.share)
            yield GaugeValue("account_entitled_share", labels, status.entitled_share)
            yield GaugeValue("account_waiting_units", labels, status.waiting_units)
            yield GaugeValue(
                "account_units_over_limit", labels, status.units_over_limit
            )

    metrics.add_gauges(_HELP_BY_GAUGE, read)
