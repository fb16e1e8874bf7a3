"""Tell upstreams that fail everything from jobs that fail everywhere."""

from collections import OrderedDict, deque
from typing import NamedTuple, TypeVar

__all__ = ["HealthTracker"]

WINDOW = 8  # outcomes remembered for each upstream
FAILED_JOBS = 3  # different jobs; two can meet on one upstream by chance
FAILURES_PER_SUCCESS = 3  # a rare success does not hide a bad upstream
FAILED_UPSTREAMS = 3  # sound upstreams that convict a job; the budget is 5
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 3_600.0
RELAPSE_S = 3_600.0  # a later quarantine starts again at the first duration
MAX_UPSTREAMS = 8_192
MAX_JOBS = 8_192
MAX_GROUPS = 4_096
MAX_REACH = 32  # upstreams remembered for each job or group

_Item = TypeVar("_Item")


class HealthTracker:
    """Judge upstreams and jobs by where failures meet.

    An upstream is quarantined when different jobs fail on it and almost
    nothing succeeds.  A job is at fault when it fails on several upstreams
    that run other work.  Failures of a job at fault, or of a group of jobs
    that fails on most upstreams it reaches, do not count against upstreams.
    A group is what shares a cause, for example the class and client account.

    After its quarantine an upstream takes one idempotent job as a probe.  A
    success clears it, and a failure doubles the quarantine, up to an hour.
    Records are kept by upstream identifier, not by incarnation, so a restart
    after each failure hides nothing.  All times are in seconds.

    Example: after failures of three jobs on ``up-1`` at time 0,
    ``quarantined_until("up-1", 1.0)`` is 30.0.
    """

    def __init__(self) -> None:
        self._upstream_by_id: OrderedDict[str, _Upstream] = OrderedDict()
        self._job_by_id: OrderedDict[str, _Reach] = OrderedDict()
        self._group_by_name: OrderedDict[str, _Reach] = OrderedDict()

    def record_success(
        self, upstream_id: str, request_id: str, now: float, group: str = ""
    ) -> None:
        """Take note that a job finished on an upstream."""
        self._job_by_id.pop(request_id, None)
        if group in self._group_by_name:
            self._group_by_name[group].note(upstream_id, False)
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            return
        upstream.outcomes.append(_Outcome(request_id, group, False))
        if upstream.until is None or now < upstream.until:
            return
        upstream.until = None
        upstream.outcomes.clear()

    def record_failure(
        self, upstream_id: str, request_id: str, now: float, group: str = ""
    ) -> float | None:
        """Take note of a failed job.

        Return the end of the quarantine if this failure started one.
        """
        upstream = _touch(self._upstream_by_id, upstream_id, _Upstream(), MAX_UPSTREAMS)
        job = _touch(self._job_by_id, request_id, _Reach(), MAX_JOBS)
        sound = self._is_sound_for(upstream, request_id)
        job.note(upstream_id, sound)
        if group:
            reach = _touch(self._group_by_name, group, _Reach(), MAX_GROUPS)
            reach.note(upstream_id, True)
        outcome = _Outcome(request_id, group, True)
        upstream.outcomes.append(outcome)
        if upstream.until is None:
            is_bad = self._fails_everything(upstream)
        else:
            is_bad = now >= upstream.until and self._counts(outcome)
        if not is_bad:
            return None
        self._quarantine(upstream_id, upstream, now)
        return upstream.until

    def quarantined_until(self, upstream_id: str, now: float) -> float | None:
        """Return the end of a quarantine in force, or ``None``."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None or upstream.until is None or now >= upstream.until:
            return None
        return upstream.until

    def needs_probe(self, upstream_id: str, now: float) -> bool:
        """Return whether only one idempotent job at a time may run there.

        This holds from the end of a quarantine to the next outcome.
        """
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None or upstream.until is None:
            return False
        return now >= upstream.until

    def is_job_at_fault(self, request_id: str) -> bool:
        """Return whether a job failed on several sound upstreams."""
        job = self._job_by_id.get(request_id)
        return job is not None and job.count(True) >= FAILED_UPSTREAMS

    def is_group_at_fault(self, group: str) -> bool:
        """Return whether a group fails on most upstreams that it reaches."""
        reach = self._group_by_name.get(group)
        if reach is None:
            return False
        failed = reach.count(True)
        return failed >= FAILED_UPSTREAMS and failed > reach.count(False)

    def forget_job(self, request_id: str) -> None:
        """Drop a job that ended."""
        self._job_by_id.pop(request_id, None)

    def _is_sound_for(self, upstream: "_Upstream", request_id: str) -> bool:
        if upstream.until is not None:
            return False
        failed = set()
        successes = 0
        for outcome in upstream.outcomes:
            if outcome.request_id == request_id:
                continue
            successes += not outcome.failed
            if self._counts(outcome):
                failed.add(outcome.request_id)
        return len(failed) <= successes

    def _fails_everything(self, upstream: "_Upstream") -> bool:
        """Judge the outcomes since the last success, and the whole window."""
        failed = set()
        failed_in_a_row: set[str] = set()
        successes = 0
        for outcome in upstream.outcomes:
            if not outcome.failed:
                successes += 1
                failed_in_a_row.clear()
            if self._counts(outcome):
                failed.add(outcome.request_id)
                failed_in_a_row.add(outcome.request_id)
        if len(failed_in_a_row) >= FAILED_JOBS:
            return True
        if len(failed) < FAILED_JOBS:
            return False
        return len(failed) >= FAILURES_PER_SUCCESS * successes

    def _counts(self, outcome: "_Outcome") -> bool:
        if not outcome.failed or self.is_job_at_fault(outcome.request_id):
            return False
        return not self.is_group_at_fault(outcome.group)

    def _quarantine(self, upstream_id: str, upstream: "_Upstream", now: float) -> None:
        if upstream.until is None and now > upstream.relapse_until:
            upstream.level = 0
        duration = FIRST_QUARANTINE_S * 2.0**upstream.level
        if duration >= MAX_QUARANTINE_S:
            duration = MAX_QUARANTINE_S
        else:
            upstream.level += 1
        upstream.until = now + duration
        upstream.relapse_until = upstream.until + RELAPSE_S
        for outcome in upstream.outcomes:
            job = self._job_by_id.get(outcome.request_id)
            if job is not None and job.count(True) < FAILED_UPSTREAMS:
                job.note(upstream_id, False)


class _Outcome(NamedTuple):
    request_id: str
    group: str
    failed: bool


class _Upstream:
    """Recent outcomes on an upstream and its quarantine."""

    def __init__(self) -> None:
        self.outcomes: deque[_Outcome] = deque(maxlen=WINDOW)
        self.until: float | None = None
        self.relapse_until = 0.0
        self.level = 0


class _Reach:
    """The latest verdict by upstream: true counts against the job or group."""

    def __init__(self) -> None:
        self._verdict_by_id: OrderedDict[str, bool] = OrderedDict()

    def note(self, upstream_id: str, verdict: bool) -> None:
        self._verdict_by_id[upstream_id] = verdict
        self._verdict_by_id.move_to_end(upstream_id)
        if len(self._verdict_by_id) > MAX_REACH:
            self._verdict_by_id.popitem(last=False)

    def count(self, verdict: bool) -> int:
        return sum(value == verdict for value in self._verdict_by_id.values())


def _touch(
    by_key: OrderedDict[str, _Item], key: str, fresh: _Item, limit: int
) -> _Item:
    item = by_key.setdefault(key, fresh)
    by_key.move_to_end(key)
    if len(by_key) > limit:
        by_key.popitem(last=False)
    return item
