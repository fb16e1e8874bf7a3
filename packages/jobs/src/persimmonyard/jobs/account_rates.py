"""The rate of jobs to which each client account is entitled."""

from persimmonyard.decisions import JobRate
from persimmonyard.jobs.configuration import JobConfiguration
from persimmonyard.jobs.model import Job

__all__ = ["AccountRates"]


class AccountRates:
    """How many jobs each account may still send within its rate.

    This is replicated state.  It has entries only for accounts with a weight,
    which is their rate in jobs per second.
    """

    def __init__(self) -> None:
        self.rate_by_account: dict[str, JobRate] = {}
        self._weight_by_account: dict[str, float] = {}

    def set_configuration(self, configuration: JobConfiguration | None) -> None:
        """Apply the weights of a configuration."""
        accounts = configuration.accounts if configuration is not None else ()
        self._weight_by_account = {
            spec.name: spec.weight for spec in accounts if spec.weight
        }
        for account in list(self.rate_by_account):
            if account not in self._weight_by_account:
                del self.rate_by_account[account]

    def count_job(self, job: Job) -> bool:
        """Count an accepted job; return whether it is beyond the rate."""
        rate, within = self._after_job(job)
        if rate is not None:
            self.rate_by_account[job.account] = rate
        return not within

    def is_beyond(self, job: Job) -> bool:
        """Return whether a job would be beyond the rate; count nothing."""
        return not self._after_job(job)[1]

    def _after_job(self, job: Job) -> tuple[JobRate | None, bool]:
        """Return the rate after a job, and whether the job is within it."""
        weight = self._weight_by_account.get(job.account)
        if weight is None:
            return None, True
        rate = self.rate_by_account.get(job.account)
        if rate is None:
            rate = JobRate.full(weight, job.submitted_ms)
        return rate.after_job(weight, job.submitted_ms)
