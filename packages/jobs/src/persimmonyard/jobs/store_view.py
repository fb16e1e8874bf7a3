"""A view of the replicated state that has one more job."""

import itertools
from collections.abc import Iterator, Mapping
from typing import Any, cast

from persimmonyard.jobs.commands import Command
from persimmonyard.jobs.model import Job, UnitKey
from persimmonyard.jobs.records import JobRecord, Unit
from persimmonyard.jobs.store import CommandResult, JobStore
from persimmonyard.jobs.waiting_units import StepKey, WaitingByStep

__all__ = ["MAX_SHOWN_UNITS", "StoreWithJob"]

# A preview shows at most this many units of a job.
MAX_SHOWN_UNITS = 200


class _JobsWithOneMore(Mapping[str, JobRecord]):
    """The jobs of a store and one more, without a copy of them."""

    def __init__(self, job_by_id: Mapping[str, JobRecord], record: JobRecord):
        self._job_by_id = job_by_id
        self._record = record

    def __getitem__(self, job_id: str) -> JobRecord:
        if job_id == self._record.job.job_id:
            return self._record
        return self._job_by_id[job_id]

    def __iter__(self) -> Iterator[str]:
        return itertools.chain(self._job_by_id, [self._record.job.job_id])

    def __len__(self) -> int:
        return len(self._job_by_id) + 1

    def values(self) -> Any:
        """Return an iterator over the records, for each job once."""
        return itertools.chain(self._job_by_id.values(), [self._record])


class StoreWithJob(JobStore):
    """The state of a store with one more job, ``record``, that waits.

    The view shares the state of the store, so it is valid until the store
    executes the next command.  It executes none itself.  The identifier of the
    job must not be that of a job of the store.  It has the occurrences that
    are due when the job is submitted, and those that a preview shows.
    """

    def __init__(self, store: JobStore, job: Job):
        # No attribute is copied: what a plan reads is read from the store.
        vars(self).update(vars(store))
        self._store = store
        self.record = JobRecord(job, self._route_by_name.get(job.route))
        self.record.beyond_rate = self._account_rates.is_beyond(job)
        self._waiting = WaitingByStep()
        self.record.opened = 0
        due = job.due_occurrences(job.submitted_ms)
        while self.record.opened < job.occurrences():
            if self.record.opened >= due and len(self.record.units) >= MAX_SHOWN_UNITS:
                break
            self._open_occurrence(self.record)
        jobs = _JobsWithOneMore(store.job_by_id, self.record)
        self.job_by_id = cast(dict[str, JobRecord], jobs)

    def waiting_steps(
        self,
    ) -> Iterator[tuple[StepKey, dict[UnitKey, Unit], JobRecord]]:
        """Yield the waiting steps of the store, then those of the job."""
        yield from self._store.waiting_steps()
        yield from super().waiting_steps()

    def execute(self, command: Command) -> CommandResult:
        """Raise ``TypeError``: a command would change the store."""
        raise TypeError("a view executes no commands")

    def restore(self, data: bytes) -> None:
        """Raise ``TypeError``: a snapshot would change the store."""
        raise TypeError("a view restores no snapshots")
