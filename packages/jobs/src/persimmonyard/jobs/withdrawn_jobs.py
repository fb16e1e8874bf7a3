"""Jobs that were cancelled before their submission arrived.

Load pattern: a cut holds up a submission.  Its caller gives up, cancels the
job at another entry, and is told that there is no such job.  When the cut
heals, the submission must not be accepted any more.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = ["Withdrawn", "WithdrawnJob", "WithdrawnJobs"]

# At most this many identifiers are kept, in total and for one account; the
# oldest ones are forgotten first.
_MAX_JOBS = 4_096
_MAX_JOBS_OF_ACCOUNT = 512


@dataclass(frozen=True)
class Withdrawn:
    """A job is not accepted because it was cancelled before."""


class WithdrawnJob(msgspec.Struct, frozen=True, array_like=True):
    """The identifier of a job, and the account that has cancelled it."""

    job_id: str
    account: str


class WithdrawnJobs:
    """The newest identifiers of such jobs, part of the replicated state."""

    def __init__(self, jobs: Iterable[WithdrawnJob] = ()):
        self._job_by_id: dict[str, WithdrawnJob] = {}
        self._ids_by_account: dict[str, dict[str, None]] = {}
        for job in jobs:
            self.add(job)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._job_by_id

    def all(self) -> list[WithdrawnJob]:
        """Return all of them, the oldest first."""
        return list(self._job_by_id.values())

    def add(self, job: WithdrawnJob) -> bool:
        """Add a job; return whether it is new."""
        if job.job_id in self._job_by_id:
            return False
        ids = self._ids_by_account.setdefault(job.account, {})
        if len(ids) >= _MAX_JOBS_OF_ACCOUNT:
            self._forget(next(iter(ids)))
        elif len(self._job_by_id) >= _MAX_JOBS:
            self._forget(next(iter(self._job_by_id)))
        self._job_by_id[job.job_id] = job
        self._ids_by_account.setdefault(job.account, {})[job.job_id] = None
        return True

    def _forget(self, job_id: str) -> None:
        job = self._job_by_id.pop(job_id)
        ids = self._ids_by_account[job.account]
        del ids[job_id]
        if not ids:
            del self._ids_by_account[job.account]
