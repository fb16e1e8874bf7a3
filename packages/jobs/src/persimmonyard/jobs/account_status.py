"""What operators and callers see of the client accounts."""

from typing import NamedTuple

from persimmonyard.decisions import OverLimit, WithinLimit, dominant_share
from persimmonyard.jobs.account_shares import account_entitlements
from persimmonyard.jobs.records import JobRecord, UnitStatus
from persimmonyard.jobs.store import JobStore
from persimmonyard.model import Resources

__all__ = ["AccountStatus", "account_statuses", "limit_reason"]

_RESOURCE_NAMES = {
    "accelerators": "accelerators",
    "cores": "thousandths of a core",
    "memory_mb": "MB of memory",
}


class AccountStatus(NamedTuple):
    """Use, limit, shares from 0 to 1, and waiting units of an account.

    ``share`` is that of the dominant resource.  ``entitled_share`` is 0 for an
    account without a weight, or with nothing that runs or waits.
    """

    used: Resources
    limit: Resources
    share: float
    entitled_share: float
    waiting_units: int
    units_over_limit: int


def account_statuses(store: JobStore, capacity: Resources) -> dict[str, AccountStatus]:
    """Return the status of each account that is configured or in use.

    This looks at every waiting step.  ``units_over_limit`` is the number of
    those of which not even one may start now because of the limit.
    """
    usage = store.account_usage
    waiting_by_name: dict[str, int] = {}
    over_by_name: dict[str, int] = {}
    for step_key, units, record in store.waiting_steps():
        name = record.job.account
        waiting_by_name[name] = waiting_by_name.get(name, 0) + len(units)
        decision = usage.decide(name, record.job.steps[step_key.step])
        if isinstance(decision, OverLimit):
            over_by_name[name] = over_by_name.get(name, 0) + len(units)
    entitlements = account_entitlements(usage, waiting_by_name)
    names = dict.fromkeys(
        [*usage.configured_names(), *usage.names_in_use(), *waiting_by_name]
    )
    status_by_name: dict[str, AccountStatus] = {}
    for name in names:
        used, limit = usage.use(name)
        status_by_name[name] = AccountStatus(
            used,
            limit,
            dominant_share(used, capacity),
            entitlements.get(name, 0.0),
            waiting_by_name.get(name, 0),
            over_by_name.get(name, 0),
        )
    return status_by_name


def limit_reason(store: JobStore, record: JobRecord, wall_ms: int) -> str:
    """Return why the limit of its account holds up a job, or "".

    ``wall_ms`` is the time of day in Unix milliseconds.  Units that wait for
    an earlier step or for their time are not held up by the limit.
    """
    if not record.is_active():
        return ""
    usage = store.account_usage
    name = record.job.account
    for key, unit in record.units.items():
        if unit.status != UnitStatus.WAITING or unit.is_done():
            continue
        step = record.step_of(key)
        if record.job.due_ms(key.occurrence) > wall_ms:
            continue
        if not all(
            record.step_done(key.occurrence, index) for index in step.depends_on
        ):
            continue
        match usage.decide(name, step):
            case WithinLimit():
                continue
            case OverLimit(resource, used, limit):
                unit_name = _RESOURCE_NAMES[resource]
        if usage.can_never_start(name, step):
            return (
                f"{key.log_label()} alone needs more than the limit of account "
                f"{name!r}: {limit} {unit_name}"
            )
        return (
            f"{key.log_label()} waits for the limit of account {name!r}: "
            f"{used} of {limit} {unit_name} in use"
        )
    return ""
