"""Why a job is in its state, for its caller."""

from typing import TypedDict

from persimmonyard.jobs import AccountStatus, JobRecord
from persimmonyard.model import Resources

__all__ = ["JobExplanation", "explain_job"]

# At most this many tasks with failures or crashes are listed.
_MAX_TASKS = 50
_MILLICORES_PER_CORE = 1_000


class TaskExplanation(TypedDict):
    """A task or gang that failed or under which upstreams crashed."""

    task: str
    runs: int
    failures: int
    crashed_upstreams: list[str]


class ResourceAmounts(TypedDict):
    """Amounts of resources; 0 in a limit stands for no limit."""

    accelerators: int
    cores: float
    memory_mb: int


class AccountExplanation(TypedDict):
    """Use, limit, shares from 0 to 1, and waiting units of an account.

    The share is that of its dominant resource.
    """

    name: str
    used: ResourceAmounts
    limit: ResourceAmounts
    share: float
    entitled_share: float
    waiting_units: int
    units_over_limit: int


class JobExplanation(TypedDict):
    """The state of a job, why it failed or "", and its troubled tasks.

    ``waiting_because`` says how the limit of its account holds up the job, or
    is "".  ``beyond_rate`` is true if the job was sent beyond the rate of its
    account, so that it comes after others.
    """

    state: str
    reason: str
    tasks: list[TaskExplanation]
    waiting_because: str
    beyond_rate: bool
    account: AccountExplanation | None


def explain_job(
    record: JobRecord, limit_reason: str = "", status: AccountStatus | None = None
) -> JobExplanation:
    """Return the explanation of a job.

    For example, the reason of a job that failed may be "task 0.0.2 failed 3
    times".  ``status`` is None for a job without a client account.
    """
    tasks: list[TaskExplanation] = []
    for key, unit in record.units.items():
        if not unit.failures and not unit.crashes:
            continue
        if len(tasks) == _MAX_TASKS:
            break
        tasks.append(
            TaskExplanation(
                task=key.log_label(),
                runs=unit.run,
                failures=unit.failures,
                crashed_upstreams=[crash.upstream_id for crash in unit.crashes],
            )
        )
    account = None
    if status is not None:
        account = _explain_account(record.job.account, status)
    return JobExplanation(
        state=str(record.state()),
        reason=record.failure,
        tasks=tasks,
        waiting_because=limit_reason,
        beyond_rate=record.beyond_rate,
        account=account,
    )


def _explain_account(name: str, status: AccountStatus) -> AccountExplanation:
    return AccountExplanation(
        name=name,
        used=_amounts(status.used),
        limit=_amounts(status.limit),
        share=round(status.share, 4),
        entitled_share=round(status.entitled_share, 4),
        waiting_units=status.waiting_units,
        units_over_limit=status.units_over_limit,
    )


def _amounts(resources: Resources) -> ResourceAmounts:
    return ResourceAmounts(
        accelerators=resources.accelerators,
        cores=resources.cores / _MILLICORES_PER_CORE,
        memory_mb=resources.memory_mb,
    )
