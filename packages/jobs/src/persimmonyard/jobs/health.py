"""Finds upstreams that fail what they start, from results across jobs."""

from dataclasses import dataclass, field

__all__ = ["UpstreamHealth"]

# Failures in a row, of different jobs, after which an upstream is avoided.
_FAILURES = 2
# How long it is avoided at first and at most, in seconds.
_FIRST_PAUSE_S = 3.0
_LONGEST_PAUSE_S = 12.0


@dataclass
class _Streak:
    job_ids: set[str] = field(default_factory=set)
    pauses: int = 0


class UpstreamHealth:
    """Counts failures in a row for each upstream.

    After a pause, one more failure leads to a longer pause, and one success
    clears the record.
    """

    def __init__(self) -> None:
        self._streak_by_id: dict[str, _Streak] = {}

    def note_success(self, upstream_id: str) -> None:
        """Take a task that ended as done."""
        self._streak_by_id.pop(upstream_id, None)

    def note_failure(self, upstream_id: str, job_id: str) -> float:
        """Take a failed task; return for how many seconds to avoid it."""
        streak = self._streak_by_id.setdefault(upstream_id, _Streak())
        streak.job_ids.add(job_id)
        if len(streak.job_ids) < _FAILURES:
            return 0.0
        pause = min(_FIRST_PAUSE_S * 2**streak.pauses, _LONGEST_PAUSE_S)
        streak.pauses += 1
        return pause
