"""What proves that a run is not at work on an upstream any more.

An announcement proves nothing: an upstream that has sent its departure works
on until it has the acknowledgement, which may be lost.
"""

from enum import StrEnum

from persimmonyard.daemon.jobs.task_run import RunState, TaskRun
from persimmonyard.jobs import Upstream

__all__ = ["EndProof", "is_lease_over", "is_stop_over"]

# Upstreams' clocks may be 2% slow, and a stop begins before its answer.
_STOP_MARGIN = 1.05


class EndProof(StrEnum):
    """Why a run that no listing shows as ended is not at work.

    The values are the reasons in the log.
    """

    LEASE_OVER = "all leases expired"
    STOP_OVER = "upstream left after the stop"
    SUCCESSOR = "another upstream started there"
    OTHER_UPSTREAM = "address belongs to another upstream"


def is_lease_over(
    task_run: TaskRun, upstream: Upstream, now: float, in_doubt_until: float
) -> bool:
    """Return whether a run cannot be at work because its lease has expired.

    Up to ``in_doubt_until`` the incarnation may execute a start for an earlier
    one.  Times are in seconds on the leader's monotonic clock.
    """
    if not upstream.leases_expired(now):
        return False
    if task_run.replaced and not upstream.confirmed:
        return now >= in_doubt_until
    return task_run.sent or task_run.taken_over


def is_stop_over(task_run: TaskRun, now: float, longest_stop_s: float) -> bool:
    """Return whether a run has ended because its stop was answered long ago.

    The upstream then rejects starts of the run that arrive later.
    """
    if task_run.state != RunState.STOPPING or task_run.replaced:
        return False
    if task_run.answered_at is None:
        return False
    return now - task_run.answered_at > longest_stop_s * _STOP_MARGIN
