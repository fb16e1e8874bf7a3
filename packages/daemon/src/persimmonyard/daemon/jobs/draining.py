"""Draining of upstreams that leave."""

import asyncio
from typing import TYPE_CHECKING

from persimmonyard.daemon.jobs.task_run import TaskRun
from persimmonyard.jobs import RunTimeEstimator, Upstream

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["UpstreamDrainer"]

# Interval of the checks whether the runs on a departing upstream have ended,
# in seconds.
_DEPARTURE_CHECK_S = 0.02
# How long the acknowledgement of a departure waits for the runs to end, in
# seconds.  Upstreams wait for it for a second.
_DEPARTURE_WAIT_S = 0.6


class UpstreamDrainer:
    """Drains each leaving upstream once in a term of the leader."""

    def __init__(self, leader_term: "LeaderTerm", estimator: RunTimeEstimator):
        self._term = leader_term
        self._estimator = estimator
        self._incarnation_by_id: dict[str, int] = {}
        self._departure_by_id: dict[str, asyncio.Task] = {}

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

    async def depart(self, upstream: Upstream) -> None:
        """Stop what still runs on an upstream that is about to end.

        The upstream ends once it has the answer to its announcement, or some
        seconds later without one.  So this returns as soon as the runs have
        ended, and after a short wait if they have not; they then stay open
        until something else proves their end.
        """
        upstream_id = upstream.report.upstream_id
        departure = self._departure_by_id.get(upstream_id)
        if departure is None:
            departure = self._term.spawn(self._settle_departure(upstream))
            self._departure_by_id[upstream_id] = departure
            departure.add_done_callback(
                lambda _: self._departure_by_id.pop(upstream_id, None)
            )
        await asyncio.wait((departure,), timeout=_DEPARTURE_WAIT_S)

    async def _settle_departure(self, upstream: Upstream) -> None:
        """Stop the runs on a departing upstream and wait until they ended."""
        term = self._term
        upstream_id = upstream.report.upstream_id
        session = term.find_session(upstream_id)
        run_count = 0
        if session is not None:
            run_count = len(session.task_run_by_key)
            session.depart()
            began_at = term.now()
            while not session.is_settled():
                await asyncio.sleep(_DEPARTURE_CHECK_S)
                if term.find_session(upstream_id) is not session:
                    # A later incarnation has taken over the runs.
                    return
                await session.record_expired()
                if session.task_run_by_key:
                    if await session.abandon_stopped():
                        break
                elif term.now() - began_at > _DEPARTURE_WAIT_S:
                    # The upstream may be gone with its unacknowledged ends.
                    break
        upstream.gone = True
        term.log.info("upstream left", upstream=upstream_id, runs=run_count)

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
