"""The refusal of submitted jobs, before anything of them is committed."""

import random

from persimmonyard.daemon.jobs.leader_term import LeaderTerm
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.rpc import CallReply, Outcome
from persimmonyard.decisions import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    Admit,
    BudgetFull,
    NeverFits,
    RefusalReason,
    Refuse,
)
from persimmonyard.jobs import Job, Withdrawn, decide_job

__all__ = ["refuse", "refuse_by_state"]

_BYTES_PER_MB = 1e6


def refuse(
    job: Job, service: str, term: LeaderTerm, metrics: JobMetrics
) -> CallReply | None:
    """Return the reply to a job that is refused, or None for any other."""
    decision = decide_job(term.store, job, service, _knows_fleet(term), random.random())
    match decision:
        case Admit():
            return None
        case Refuse(reason, retry_after_s):
            metrics.record_refusal(reason, retry_after_s)
            return CallReply(
                Outcome.REFUSED,
                detail=_detail(decision, job, service),
                retry_after_s=retry_after_s,
            )


def refuse_by_state(
    reason: BudgetFull | NeverFits | Withdrawn, term: LeaderTerm, metrics: JobMetrics
) -> CallReply:
    """Return the reply to a job that the replicated state does not accept."""
    match reason:
        case Withdrawn():
            retry_after_s = MAX_RETRY_AFTER_S
            metrics.record_refusal(RefusalReason.CANCELLED, retry_after_s)
            return CallReply(
                Outcome.REFUSED,
                detail=f"{RefusalReason.CANCELLED}: the job was cancelled before",
                retry_after_s=retry_after_s,
            )
        case NeverFits(limit):
            limit_mb = limit / _BYTES_PER_MB
            detail = f"the job needs more memory than the {limit_mb:.1f} MB for one"
            return CallReply(Outcome.INVALID, detail=detail)
        case BudgetFull(missing):
            retry_after_s = _wait_for_memory_s(term, missing, random.random())
            metrics.record_refusal(RefusalReason.NO_MEMORY, retry_after_s)
            return CallReply(
                Outcome.REFUSED,
                detail=f"{RefusalReason.NO_MEMORY}: too much work is stored",
                retry_after_s=retry_after_s,
            )


def _wait_for_memory_s(term: LeaderTerm, missing: int, spread: float) -> int:
    """Return when a caller may return to a service that is full.

    That is when enough of the jobs that have ended are deleted, or after the
    longest delay if they are too few.
    """
    freed_in_s = term.memory_free_in_s(missing)
    if freed_in_s is None:
        freed_in_s = MAX_RETRY_AFTER_S
    return int(max(freed_in_s, MIN_RETRY_AFTER_S) + spread * MIN_RETRY_AFTER_S)


def _knows_fleet(term: LeaderTerm) -> bool:
    """Return whether nearly all upstreams have reported to this leader.

    When the whole service starts, no upstream is known from before, so the
    time for their first reports has to have passed as well.
    """
    now = term.now()
    return now > term.first_reports_until and term.fleet.is_mostly_known(now)


def _detail(refusal: Refuse, job: Job, service: str) -> str:
    unit = "gang" if job.steps[refusal.step].gang else "task"
    subject = f"{refusal.reason}: a {unit} of step {refusal.step}"
    match refusal.reason:
        case RefusalReason.NO_UPSTREAM:
            return f"{subject} does not fit the empty upstreams of {service!r}"
        case RefusalReason.ACCOUNT_LIMIT:
            return f"{subject} alone exceeds the limit of account {job.account!r}"
        case _:
            return subject
