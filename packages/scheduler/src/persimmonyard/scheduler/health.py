"""Detection of failing upstreams, as opposed to jobs that always fail."""

from collections import OrderedDict, deque
from typing import NamedTuple, TypeVar

__all__ = ["HealthTracker"]

OUTCOME_WINDOW = 8  # outcomes kept for each upstream
MIN_FAILED_JOBS = 3  # different jobs; two can fail on one upstream by chance
MIN_FAILURES_PER_SUCCESS = 3  # a rare success does not hide a bad upstream
MIN_FAILED_UPSTREAMS = 3  # healthy ones; less than the retry budget of 5 attempts
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 3_600.0
BACKOFF_RESET_S = 3_600.0  # after this the backoff restarts at the first duration
MAX_UPSTREAMS = 8_192
MAX_JOBS = 8_192
MAX_WORKLOADS = 4_096
MAX_VERDICTS = 32  # upstreams kept for each job or workload

_Item = TypeVar("_Item")


class HealthTracker:
    """Attribute failures to upstreams, to jobs or to workloads.

    An upstream is quarantined when different jobs fail on it and almost
    none succeed.  A job is at fault when it fails on several upstreams that
    run other work.  A workload is a set of jobs that can share a cause of
    failure, for example those of one class and client account; it is at fault
    when it fails on most upstreams that it runs on.  Failures of a job or
    workload at fault do not count against upstreams.

    After its quarantine an upstream takes one idempotent job as a probe.  A
    success clears the upstream, and a failure doubles the quarantine, up to
    an hour.  Records are kept by upstream identifier and not by incarnation,
    so an upstream that restarts after each failure is still detected.  All
    times are in seconds.

    Example: after failures of three jobs on ``up-1`` at time 0,
    ``quarantined_until("up-1", 1.0)`` is 30.0.
    """

    def __init__(self) -> None:
        self._upstream_by_id: OrderedDict[str, _UpstreamRecord] = OrderedDict()
        self._job_by_id: OrderedDict[str, _Verdicts] = OrderedDict()
        self._workload_by_name: OrderedDict[str, _Verdicts] = OrderedDict()

    def record_success(
        self, upstream_id: str, request_id: str, now: float, workload: str = ""
    ) -> None:
        """Record that a job finished on an upstream.

        The first success after a quarantine passes the probe.
        """
        self._job_by_id.pop(request_id, None)
        if workload in self._workload_by_name:
            self._workload_by_name[workload].record(upstream_id, False)
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            return
        upstream.outcomes.append(_Outcome(request_id, workload, False))
        if upstream.quarantined_until is None or now < upstream.quarantined_until:
            return
        upstream.quarantined_until = None
        upstream.outcomes.clear()

    def record_failure(
        self, upstream_id: str, request_id: str, now: float, workload: str = ""
    ) -> float | None:
        """Record that a job failed on an upstream.

        Return the end of the quarantine if this failure started one.
        """
        upstream = _get_or_insert(
            self._upstream_by_id, upstream_id, _UpstreamRecord(), MAX_UPSTREAMS
        )
        job = _get_or_insert(self._job_by_id, request_id, _Verdicts(), MAX_JOBS)
        healthy = self._is_healthy_for(upstream, request_id)
        job.record(upstream_id, healthy)
        if workload:
            verdicts = _get_or_insert(
                self._workload_by_name, workload, _Verdicts(), MAX_WORKLOADS
            )
            verdicts.record(upstream_id, True)
        outcome = _Outcome(request_id, workload, True)
        upstream.outcomes.append(outcome)
        if upstream.quarantined_until is None:
            is_failing = self._is_failing(upstream)
        else:
            is_failing = (
                now >= upstream.quarantined_until
                and self._counts_against_upstream(outcome)
            )
        if not is_failing:
            return None
        self._quarantine(upstream_id, upstream, now)
        return upstream.quarantined_until

    def quarantined_until(self, upstream_id: str, now: float) -> float | None:
        """Return when the quarantine in force ends, ``None`` without one."""
        upstream = self._upstream_by_id.get(upstream_id)
        if (
            upstream is None
            or upstream.quarantined_until is None
            or now >= upstream.quarantined_until
        ):
            return None
        return upstream.quarantined_until

    def needs_probe(self, upstream_id: str, now: float) -> bool:
        """Return whether an upstream may run only a probe.

        A probe is one idempotent job at a time.  Probes are needed from the
        end of a quarantine until a job succeeds on the upstream, or fails and
        starts the next quarantine.
        """
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None or upstream.quarantined_until is None:
            return False
        return now >= upstream.quarantined_until

    def is_job_at_fault(self, request_id: str) -> bool:
        """Return whether a job failed on several healthy upstreams."""
        job = self._job_by_id.get(request_id)
        return job is not None and job.count(True) >= MIN_FAILED_UPSTREAMS

    def is_workload_at_fault(self, workload: str) -> bool:
        """Return whether a workload fails on most upstreams it runs on."""
        verdicts = self._workload_by_name.get(workload)
        if verdicts is None:
            return False
        failed = verdicts.count(True)
        return failed >= MIN_FAILED_UPSTREAMS and failed > verdicts.count(False)

    def forget_job(self, request_id: str) -> None:
        """Delete the records of a job that ended."""
        self._job_by_id.pop(request_id, None)

    def _is_healthy_for(self, upstream: "_UpstreamRecord", request_id: str) -> bool:
        if upstream.quarantined_until is not None:
            return False
        failed = set()
        successes = 0
        for outcome in upstream.outcomes:
            if outcome.request_id == request_id:
                continue
            successes += not outcome.failed
            if self._counts_against_upstream(outcome):
                failed.add(outcome.request_id)
        return len(failed) <= successes

    def _is_failing(self, upstream: "_UpstreamRecord") -> bool:
        """Return whether an upstream's recent outcomes require a quarantine.

        Enough different jobs must have failed either since the last success,
        or in the whole window with few successes.
        """
        failed = set()
        failed_in_a_row: set[str] = set()
        successes = 0
        for outcome in upstream.outcomes:
            if not outcome.failed:
                successes += 1
                failed_in_a_row.clear()
            if self._counts_against_upstream(outcome):
                failed.add(outcome.request_id)
                failed_in_a_row.add(outcome.request_id)
        if len(failed_in_a_row) >= MIN_FAILED_JOBS:
            return True
        if len(failed) < MIN_FAILED_JOBS:
            return False
        return len(failed) >= MIN_FAILURES_PER_SUCCESS * successes

    def _counts_against_upstream(self, outcome: "_Outcome") -> bool:
        if not outcome.failed or self.is_job_at_fault(outcome.request_id):
            return False
        return not self.is_workload_at_fault(outcome.workload)

    def _quarantine(
        self, upstream_id: str, upstream: "_UpstreamRecord", now: float
    ) -> None:
        if upstream.quarantined_until is None and now > upstream.backoff_reset_at:
            upstream.backoff_exponent = 0
        duration = FIRST_QUARANTINE_S * 2.0**upstream.backoff_exponent
        if duration >= MAX_QUARANTINE_S:
            duration = MAX_QUARANTINE_S
        else:
            upstream.backoff_exponent += 1
        upstream.quarantined_until = now + duration
        upstream.backoff_reset_at = upstream.quarantined_until + BACKOFF_RESET_S
        for outcome in upstream.outcomes:
            job = self._job_by_id.get(outcome.request_id)
            if job is not None and job.count(True) < MIN_FAILED_UPSTREAMS:
                job.record(upstream_id, False)


class _Outcome(NamedTuple):
    request_id: str
    workload: str
    failed: bool


class _UpstreamRecord:
    """Recent outcomes on an upstream and the state of its quarantine.

    ``quarantined_until`` is also set while a probe is due after the
    quarantine, and ``None`` otherwise.  The next quarantine lasts
    ``FIRST_QUARANTINE_S`` times two to the power of ``backoff_exponent``, at
    most ``MAX_QUARANTINE_S``.
    """

    def __init__(self) -> None:
        self.outcomes: deque[_Outcome] = deque(maxlen=OUTCOME_WINDOW)
        self.quarantined_until: float | None = None
        self.backoff_reset_at = 0.0
        self.backoff_exponent = 0


class _Verdicts:
    """The last verdict on a job or workload from each upstream it ran on.

    ``True`` counts against the job or workload.
    """

    def __init__(self) -> None:
        self._verdict_by_id: OrderedDict[str, bool] = OrderedDict()

    def record(self, upstream_id: str, verdict: bool) -> None:
        self._verdict_by_id[upstream_id] = verdict
        self._verdict_by_id.move_to_end(upstream_id)
        if len(self._verdict_by_id) > MAX_VERDICTS:
            self._verdict_by_id.popitem(last=False)

    def count(self, verdict: bool) -> int:
        return sum(value == verdict for value in self._verdict_by_id.values())


def _get_or_insert(
    by_key: OrderedDict[str, _Item], key: str, default: _Item, limit: int
) -> _Item:
    item = by_key.setdefault(key, default)
    by_key.move_to_end(key)
    if len(by_key) > limit:
        by_key.popitem(last=False)
    return item
