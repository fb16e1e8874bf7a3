"""What a leader does with the runs on an upstream that leaves."""

import asyncio
from typing import TYPE_CHECKING

from persimmonyard.daemon.jobs.task_run import RunTrack
from persimmonyard.jobs import RunTimeEstimator, Upstream

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["Departures"]


class Departures:
    """Empty each leaving upstream once in a term."""

    def __init__(self, leader_term: "LeaderTerm", estimator: RunTimeEstimator):
        self._lead = leader_term
        self._estimator = estimator
        self._incarnation_by_id: dict[str, int] = {}

    def consider(self, upstream: Upstream, remaining_s: float) -> None:
        """Begin to empty an upstream if it leaves.

        It will be there for at least ``remaining_s`` seconds.
        """
        report = upstream.report
        known = self._incarnation_by_id.get(report.upstream_id)
        if not report.leaving or known == report.incarnation:
            return
        self._incarnation_by_id[report.upstream_id] = report.incarnation
        self._lead.log.info(
            "upstream leaves",
            upstream=report.upstream_id,
            remaining_ms=int(remaining_s * 1_000),
        )
        self._lead.spawn(self._empty(upstream, remaining_s))

    async def _empty(self, upstream: Upstream, remaining_s: float) -> None:
        """Move what cannot end before an upstream leaves.

        Work that would be lost begins again elsewhere at once.  Runs that
        save their work go on until the last moment.
        """
        session = self._lead.known_session(upstream)
        if session is None:
            return
        for track in list(session.track_by_run.values()):
            if not track.step.checkpoints and not self._ends_within(track, remaining_s):
                self._lead.stop_run(track.key, track.run, "upstream leaves")
        await asyncio.sleep(max(0.0, remaining_s - self._lead.durations.leave_s))
        if session.upstream is not upstream:
            return
        for track in list(session.track_by_run.values()):
            if track.step.checkpoints:
                self._lead.stop_run(track.key, track.run, "upstream leaves")

    def _ends_within(self, track: RunTrack, seconds: float) -> bool:
        """Return whether a run will probably end in time."""
        now = self._lead.now()
        remaining_s = track.remaining_s(now)
        if remaining_s is None:
            record = self._lead.store.job_by_id.get(track.name.job_id)
            if record is None or track.began_at is None:
                return False
            task_s = self._estimator.task_ms(record.job, track.step) / 1_000
            remaining_s = max(0.0, track.began_at + task_s - now)
        return remaining_s < seconds
