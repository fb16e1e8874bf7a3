"""Urgent jobs that are covered by the guarantee of their client account."""

from persimmonyard.jobs.configuration import JobConfiguration
from persimmonyard.jobs.records import JobRecord
from persimmonyard.jobs.store import JobStore

__all__ = ["GUARANTEED_WAIT_S", "GuaranteedJobs"]

# After this wait, in seconds, guaranteed work is placed on any rack and
# preempts other runs at any cost.  It has to start within the platform's limit
# for reclaiming capacity (2.7 s), of which stopping runs takes up to 0.9 s.
GUARANTEED_WAIT_S = 1.0


class GuaranteedJobs:
    """The unfinished priority 0 jobs that fit the guarantee of their account.

    They are admitted in the order in which they were accepted.  Each takes as
    many accelerators from the guarantee as its largest step needs.
    """

    def __init__(self, store: JobStore, configuration: JobConfiguration):
        self._job_ids: set[str] = set()
        available_by_account = {
            spec.name: spec.guaranteed for spec in configuration.accounts
        }
        for record in store.job_by_id.values():
            route = store.route_of(record)
            if not record.is_active() or route is None or route.priority != 0:
                continue
            account = record.job.account
            available = available_by_account.get(account)
            needed = _peak_accelerators(record)
            if available is not None and needed <= available:
                available_by_account[account] -= needed
                self._job_ids.add(record.job.job_id)

    def covers(self, record: JobRecord) -> bool:
        """Return whether a job may reclaim capacity from other jobs."""
        return record.job.job_id in self._job_ids


def _peak_accelerators(record: JobRecord) -> int:
    peak = 0
    for step in record.job.steps:
        peak = max(peak, step.count * step.needs.accelerators)
    return peak
