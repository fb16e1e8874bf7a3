"""Deletes ended jobs and silent upstreams during a leader's term."""

import asyncio
from typing import TYPE_CHECKING

from persimmonyard.jobs import ExpireJobs

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["Expiry"]

# Interval at which expired jobs are deleted, in seconds, and the largest
# number of them in one command, so that no command is long.
_EXPIRY_INTERVAL_S = 20.0
_MAX_EXPIRED_JOBS = 200
# An upstream without reports for this long, in seconds, is removed; this is a
# multiple of the duration of a lease.
_REMOVE_SILENT_AFTER_S = 60.0


class Expiry:
    """Deletes jobs whose retention time has passed, and silent upstreams."""

    def __init__(self, leader_term: "LeaderTerm"):
        self._term = leader_term
        self._ended_job_seen_at: dict[str, float] = {}

    async def run(self) -> None:
        """Delete what has expired at intervals, until the term ends."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            if not self._term.leads():
                return
            self._remove_silent_upstreams()
            expired = self._expired_jobs()
            for first in range(0, len(expired), _MAX_EXPIRED_JOBS):
                job_ids = expired[first : first + _MAX_EXPIRED_JOBS]
                await self._term.propose(ExpireJobs(tuple(job_ids)))

    def memory_free_in_s(self, missing: int) -> float | None:
        """Return when ``missing`` bytes are free, in seconds, if it is known.

        Known are the jobs that have ended, and when they are deleted.
        """
        now = self._term.now()
        store = self._term.store
        retention_s = self._term.durations.retention_ms / 1_000
        ends = []
        for job_id, seen_at in self._ended_job_seen_at.items():
            record = store.job_by_id.get(job_id)
            if record is not None:
                ends.append((seen_at + retention_s, record.charged_bytes))
        for expires_at, size in sorted(ends):
            missing -= size
            if missing <= 0:
                return max(0.0, expires_at - now) + _EXPIRY_INTERVAL_S
        return None

    def _remove_silent_upstreams(self) -> None:
        """Remove upstreams that are silent and have no runs."""
        busy = set(self._term.store.seats_by_upstream)
        for upstream_id in self._term.fleet.remove_silent(
            _REMOVE_SILENT_AFTER_S, busy, self._term.now()
        ):
            self._term.forget_upstream(upstream_id)

    def _expired_jobs(self) -> list[str]:
        """Return the ended jobs that need not be kept any longer.

        The retention time counts on the steady clock from when this leader
        first saw the job ended, because the clocks of two leaders may differ.
        """
        now = self._term.now()
        seen_at_by_id = self._ended_job_seen_at
        self._ended_job_seen_at = {}
        expired = []
        for job_id, record in self._term.store.job_by_id.items():
            if not record.ended_ms:
                continue
            seen_at = seen_at_by_id.get(job_id, now)
            self._ended_job_seen_at[job_id] = seen_at
            if now < seen_at + self._term.durations.retention_ms / 1_000:
                continue
            if any(unit.seats for unit in record.units.values()):
                continue
            expired.append(job_id)
        return expired
