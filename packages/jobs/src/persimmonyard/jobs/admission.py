"""The facts of the replicated state that decide on the admission of a job."""

from collections.abc import Iterator

from persimmonyard.decisions import (
    AdmissionFacts,
    Admit,
    Refuse,
    ShareRank,
    StepDemand,
    decide_admission,
    share_rank,
)
from persimmonyard.jobs.account_shares import account_entitlements
from persimmonyard.jobs.account_usage import unit_tasks
from persimmonyard.jobs.capacity import charged_resources
from persimmonyard.jobs.model import Job
from persimmonyard.jobs.store import JobStore

__all__ = ["decide_job"]


def decide_job(
    store: JobStore, job: Job, service: str, fleet_known: bool, spread: float
) -> Admit | Refuse:
    """Decide whether a job of a service is accepted.

    Reports of all upstreams count, also of those that are leaving, silent or
    in an availability zone out of service.  Without any report of the service
    its fleet is not known.  ``spread``, from 0 to below 1, chooses the delay
    after which the caller of a refused job may return.
    """
    has_reports = bool(store.service_capacities.with_label(service, ""))
    facts = AdmissionFacts(
        fleet_known and has_reports,
        _demands(store, job, service),
        _rank(store, job.account),
        spread,
    )
    return decide_admission(facts)


def _demands(store: JobStore, job: Job, service: str) -> Iterator[StepDemand]:
    for step in job.steps:
        yield StepDemand(
            charged_resources(step),
            unit_tasks(step),
            step.per_upstream,
            store.service_capacities.with_label(service, step.label),
            store.account_usage.can_never_start(job.account, step),
        )


def _rank(store: JobStore, account: str) -> ShareRank | None:
    """Return the rank of an account, or None without a weight.

    Accounts that only wait do not count as active: to find them takes time
    for every waiting unit.
    """
    usage = store.account_usage
    if account not in usage.weight_by_name:
        return None
    entitled = account_entitlements(usage, [account])[account]
    total = store.service_capacities.total
    return share_rank(usage.used(account), total, entitled)
