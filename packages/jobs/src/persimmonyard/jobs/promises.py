"""Which urgent jobs lie within what their accounts were promised."""

from persimmonyard.jobs.configuration import JobConfiguration
from persimmonyard.jobs.store import JobRecord, JobStore

__all__ = ["OWED_PATIENCE_S", "PromisedJobs"]

# Promised work goes far from its data, and stops others at any cost, after
# this long, in seconds: it has to begin within the platform's bound for
# reclaiming (2.7 s), of which the stops take 0.9 s at the most.
OWED_PATIENCE_S = 1.0


class PromisedJobs:
    """Which urgent jobs lie within the guarantee of their account."""

    def __init__(self, store: JobStore, configuration: JobConfiguration):
        self._covered: set[str] = set()
        left = {one.name: one.guaranteed for one in configuration.accounts}
        for record in store.job_by_id.values():
            route = store.route_of(record)
            if not record.live() or route is None or route.priority != 0:
                continue
            account = record.job.account
            needed = _peak_accelerators(record)
            if needed <= left.get(account, 0):
                left[account] -= needed
                self._covered.add(record.job.job_id)

    def covers(self, record: JobRecord) -> bool:
        """Return whether a job may reclaim capacity from others."""
        return record.job.job_id in self._covered


def _peak_accelerators(record: JobRecord) -> int:
    peak = 0
    for step in record.job.steps:
        peak = max(peak, step.count * step.needs.accelerators)
    return peak
