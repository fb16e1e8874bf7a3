"""The memory that accepted jobs take in each control process."""

from persimmonyard.decisions import (
    BudgetFull,
    BudgetUse,
    FitsBudget,
    NeverFits,
    decide_budget,
)
from persimmonyard.jobs.model import Job
from persimmonyard.jobs.records import JobRecord

__all__ = ["WorkUsage", "job_bytes", "occurrence_bytes"]

# What the parts of a record count as, in bytes.  ``bench/work_memory.py``
# measures them: a waiting task takes less, a placed one with its seat about an
# eighth more, for which the budget leaves room.
_JOB_BYTES = 900
_STEP_BYTES = 400
_DEPENDENCY_BYTES = 16
_TASK_BYTES = 1_200
# Text that is not ASCII takes up to this many bytes for each character.
_WIDE_CHARACTER_BYTES = 4


def job_bytes(job: Job) -> int:
    """Return what a job takes without its tasks, in bytes."""
    size = _JOB_BYTES + _text_bytes(job.payload)
    for step in job.steps:
        size += _STEP_BYTES + _DEPENDENCY_BYTES * len(step.depends_on)
        for text in (step.label, step.rack, step.image):
            size += _text_bytes(text)
    return size


def occurrence_bytes(job: Job) -> int:
    """Return what the tasks of one occurrence of a job take, in bytes."""
    return _TASK_BYTES * job.tasks_per_occurrence()


def _text_bytes(text: str) -> int:
    return len(text) * (1 if text.isascii() else _WIDE_CHARACTER_BYTES)


def _record_bytes(record: JobRecord) -> int:
    """Return what the record of a job takes, in bytes.

    Room for one occurrence stays taken until the job has ended, so that its
    next one can always begin.
    """
    tasks = record.kept_tasks()
    if record.is_active():
        tasks = max(tasks, record.job.tasks_per_occurrence())
    return job_bytes(record.job) + _TASK_BYTES * tasks


class WorkUsage:
    """What the records of all jobs take, in total and by account.

    It follows from the records, so it is the same on all replicas.
    """

    def __init__(self) -> None:
        self._total = 0
        self._schedules = 0
        self._bytes_by_account: dict[str, int] = {}
        self._schedule_bytes_by_account: dict[str, int] = {}

    def restore(self, record: JobRecord) -> None:
        """Count a record of a snapshot."""
        record.charged_bytes = 0
        self.update(record)

    def update(self, record: JobRecord) -> None:
        """Count a record as it is now."""
        size = _record_bytes(record)
        self._add(record.job, size - record.charged_bytes)
        record.charged_bytes = size

    def add_occurrence(self, record: JobRecord) -> None:
        """Count a further open occurrence until the record is updated."""
        size = occurrence_bytes(record.job)
        self._add(record.job, size)
        record.charged_bytes += size

    def remove(self, record: JobRecord) -> None:
        """Stop counting a record."""
        self._add(record.job, -record.charged_bytes)

    def use(self, account: str) -> BudgetUse:
        """Return what is in use, in total and by one account."""
        return BudgetUse(
            self._total,
            self._bytes_by_account.get(account, 0),
            self._schedules,
            self._schedule_bytes_by_account.get(account, 0),
        )

    def decide(
        self, budget: int, job: Job, needed: int
    ) -> FitsBudget | BudgetFull | NeverFits:
        """Decide whether ``needed`` bytes more for a job fit the budget."""
        return decide_budget(budget, self.use(job.account), needed, job.has_schedule())

    def _add(self, job: Job, change: int) -> None:
        self._total += change
        _add_to(self._bytes_by_account, job.account, change)
        if job.has_schedule():
            self._schedules += change
            _add_to(self._schedule_bytes_by_account, job.account, change)


def _add_to(bytes_by_account: dict[str, int], account: str, change: int) -> None:
    size = bytes_by_account.get(account, 0) + change
    if size:
        bytes_by_account[account] = size
    else:
        bytes_by_account.pop(account, None)
