"""Detection of upstreams on which tasks of different jobs keep failing."""

from dataclasses import dataclass, field

__all__ = ["UpstreamHealth"]

# Number of different jobs that fail in a row before an upstream is avoided.
_FAILURE_THRESHOLD = 2
# First and longest time for which an upstream is avoided, in seconds; the time
# doubles with each further failure.
_FIRST_AVOID_S = 3.0
_MAX_AVOID_S = 12.0


@dataclass
class _FailureStreak:
    job_ids: set[str] = field(default_factory=set)
    times_avoided: int = 0


class UpstreamHealth:
    """Counts consecutive failures for each upstream.

    Once the threshold is reached, the upstream is avoided for longer after
    each further failure.  One success resets the count.  Failures are counted
    by identifier and not by incarnation, so that an upstream that restarts
    after each failure is still detected.
    """

    def __init__(self) -> None:
        self._streak_by_id: dict[str, _FailureStreak] = {}

    def record_success(self, upstream_id: str) -> None:
        """Record a task that completed on an upstream."""
        self._streak_by_id.pop(upstream_id, None)

    def record_failure(self, upstream_id: str, job_id: str) -> float:
        """Record a failed task; return the seconds to avoid the upstream."""
        streak = self._streak_by_id.setdefault(upstream_id, _FailureStreak())
        streak.job_ids.add(job_id)
        if len(streak.job_ids) < _FAILURE_THRESHOLD:
            return 0.0
        avoid_s = min(_FIRST_AVOID_S * 2**streak.times_avoided, _MAX_AVOID_S)
        streak.times_avoided += 1
        return avoid_s
