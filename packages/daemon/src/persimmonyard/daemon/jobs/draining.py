"""Draining of upstreams that leave."""

import asyncio
from typing import TYPE_CHECKING

from persimmonyard.daemon.jobs.task_run import TaskRun
from persimmonyard.jobs import RunTimeEstimator, Upstream

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["UpstreamDrainer"]


class UpstreamDrainer:
    """Drains each leaving upstream once in a term of the leader."""

    def __init__(self, leader_term: "LeaderTerm", estimator: RunTimeEstimator):
        self._term = leader_term
        self._estimator = estimator
        self._incarnation_by_id: dict[str, int] = {}

    def drain_if_leaving(self, upstream: Upstream, remaining_s: float) -> None:
        """Start to drain an upstream if it is leaving.

        ``remaining_s`` is the minimum time until it ends, in seconds.
        """
        report = upstream.report
        drained_incarnation = self._incarnation_by_id.get(report.upstream_id)
        if not report.leaving or drained_incarnation == report.incarnation:
            return
        self._incarnation_by_id[report.upstream_id] = report.incarnation
        self._term.log.info(
            "upstream leaves",
            upstream=report.upstream_id,
            remaining_ms=int(remaining_s * 1_000),
        )
        self._term.spawn(self._drain(upstream, remaining_s))

    async def _drain(self, upstream: Upstream, remaining_s: float) -> None:
        """Stop the runs that cannot end before an upstream leaves.

        Runs without checkpoints are stopped at once, so that they restart
        elsewhere.  Runs with checkpoints continue until shortly before the
        upstream leaves.
        """
        session = self._term.find_session(upstream.report.upstream_id)
        if session is None:
            return
        for task_run in list(session.task_run_by_key.values()):
            if not task_run.step.checkpoints and not self._ends_within(
                task_run, remaining_s
            ):
                self._term.supervisor.stop_run(
                    task_run.unit_key, task_run.run, "upstream leaves"
                )
        await asyncio.sleep(
            max(0.0, remaining_s - self._term.durations.checkpoint_lead_s)
        )
        if self._term.find_session(upstream.report.upstream_id) is not session:
            # The upstream has ended before.
            return
        for task_run in list(session.task_run_by_key.values()):
            if task_run.step.checkpoints:
                self._term.supervisor.stop_run(
                    task_run.unit_key, task_run.run, "upstream leaves"
                )

    def _ends_within(self, task_run: TaskRun, seconds: float) -> bool:
        """Return whether a run is expected to end within ``seconds``."""
        now = self._term.now()
        remaining_s = task_run.remaining_s(now)
        if remaining_s is None:
            record = self._term.store.job_by_id.get(task_run.task_key.job_id)
            if record is None or task_run.started_at is None:
                return False
            task_s = self._estimator.task_ms(record.job, task_run.step) / 1_000
            remaining_s = max(0.0, task_run.started_at + task_s - now)
        return remaining_s < seconds
