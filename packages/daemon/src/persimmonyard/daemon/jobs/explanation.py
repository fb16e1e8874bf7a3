"""Why a job is in its state, for its caller."""

from typing import TypedDict

from persimmonyard.jobs import JobRecord

__all__ = ["JobExplanation", "explain_job"]

# At most this many tasks with failures or crashes are listed.
_MAX_TASKS = 50


class TaskExplanation(TypedDict):
    """A task or gang that failed or under which upstreams crashed."""

    task: str
    runs: int
    failures: int
    crashed_upstreams: list[str]


class JobExplanation(TypedDict):
    """The state of a job, why it failed or "", and its troubled tasks."""

    state: str
    reason: str
    tasks: list[TaskExplanation]


def explain_job(record: JobRecord) -> JobExplanation:
    """Return the explanation of a job.

    For example, the reason of a job that failed may be "task 0.0.2 failed 3
    times".
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
    return JobExplanation(state=str(record.state()), reason=record.failure, tasks=tasks)
