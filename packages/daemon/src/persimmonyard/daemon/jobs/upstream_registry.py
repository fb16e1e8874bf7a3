"""The replicated registry of upstreams, updated from their reports."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from persimmonyard.daemon.jobs.wall_clock import SteadyWallClock
from persimmonyard.jobs import (
    Command,
    Fleet,
    ForgetUpstreams,
    JobStore,
    NoteUpstreams,
    UpstreamReport,
)

__all__ = ["UpstreamRegistry"]

# Delay in which changes are combined into one command, in seconds: when the
# service starts, the reports of many upstreams arrive together.
_BATCH_DELAY_S = 0.05
# Interval of the check for silent upstreams, in seconds.
_SILENCE_CHECK_INTERVAL_S = 0.2


class UpstreamRegistry:
    """Commits reports of upstreams, so that the next leader can use them.

    Only changes are committed: a new incarnation, a changed property, a
    departure and silence.  ``fleet`` holds the reports that this leader
    received.  ``on_failed`` gets the identifiers of jobs that fail because a
    task of theirs crashes upstreams.  An upstream without reports for
    ``silent_after_s`` is removed, so that the next leader does not rely on
    its last one.
    """

    def __init__(
        self,
        store: JobStore,
        fleet: Fleet,
        propose: Callable[[Command], Awaitable[Any]],
        now: Callable[[], float],
        wall_clock: SteadyWallClock,
        on_failed: Callable[[tuple[str, ...]], None],
        silent_after_s: float,
    ):
        self._store = store
        self._fleet = fleet
        self._propose = propose
        self._now = now
        self._wall_clock = wall_clock
        self._on_failed = on_failed
        self._silent_after_s = silent_after_s
        self._changed_ids: set[str] = set()
        self._changes_pending = asyncio.Event()

    def restore(
        self,
        lease_ms: int,
        valid_until: float,
        is_upstream: Callable[[UpstreamReport], bool],
    ) -> int:
        """Add the committed upstreams to the fleet.

        Until they report to this leader, they get work up to ``valid_until``.
        Committed reports for which ``is_upstream`` is false are left out, and
        ``run`` deletes them.  Returns the number of upstreams that are not
        leaving.
        """
        available_count = 0
        for report in self._store.report_by_upstream.values():
            if not is_upstream(report):
                continue
            self._fleet.restore(report, lease_ms, self._now(), valid_until)
            available_count += not report.leaving
        return available_count

    def record(self, report: UpstreamReport) -> None:
        """Schedule the commit of a report if it differs from the last one."""
        known = self._store.report_by_upstream.get(report.upstream_id)
        if known != report.stable_fields():
            self._changed_ids.add(report.upstream_id)
            self._changes_pending.set()

    async def commit_departure(self, report: UpstreamReport) -> None:
        """Commit the departure of an upstream before it is acknowledged."""
        if (
            self._store.report_by_upstream.get(report.upstream_id)
            == report.stable_fields()
        ):
            return
        await self.commit((report,))

    async def commit(self, reports: tuple[UpstreamReport, ...]) -> None:
        """Commit reports now."""
        command = NoteUpstreams(
            tuple(report.stable_fields() for report in reports),
            self._wall_clock.now_ms(),
        )
        failed_ids = await self._propose(command)
        if failed_ids:
            self._on_failed(failed_ids)

    async def run(self) -> None:
        """Commit changes in batches, and remove silent upstreams.

        This runs until the term ends.
        """
        while True:
            try:
                async with asyncio.timeout(_SILENCE_CHECK_INTERVAL_S):
                    await self._changes_pending.wait()
            except TimeoutError:
                await self._remove_silent_upstreams()
                continue
            await asyncio.sleep(_BATCH_DELAY_S)
            self._changes_pending.clear()
            await self._commit_changes()

    async def _commit_changes(self) -> None:
        reports = []
        for upstream_id in self._changed_ids:
            upstream = self._fleet.by_id.get(upstream_id)
            if upstream is not None:
                reports.append(upstream.report)
        self._changed_ids.clear()
        if reports:
            await self.commit(tuple(reports))

    async def _remove_silent_upstreams(self) -> None:
        silent_ids = []
        for upstream_id, stored in self._store.report_by_upstream.items():
            upstream = self._fleet.by_id.get(upstream_id)
            if upstream is None or upstream.gone:
                silent_ids.append(upstream_id)
                continue
            if upstream.report.incarnation < stored.incarnation:
                # The stored report was left out of the fleet.
                silent_ids.append(upstream_id)
                continue
            silent_s = self._now() - upstream.last_seen_at
            if not upstream.report.leaving and silent_s > self._silent_after_s:
                silent_ids.append(upstream_id)
        if silent_ids:
            await self._propose(ForgetUpstreams(tuple(silent_ids)))
