"""Keeps the replicated list of upstreams in step with what a leader hears."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from persimmonyard.jobs import (
    Command,
    Fleet,
    ForgetUpstreams,
    JobStore,
    NoteUpstreams,
    UpstreamReport,
)

__all__ = ["Roster"]

# Reports of many upstreams arrive together after a start, in seconds.
_GATHER_S = 0.05
# How often silent upstreams are looked for, in seconds.
_CHECK_S = 0.5


class Roster:
    """Commit what upstreams are, so that the next leader can use them at once.

    Only changes are committed: a new incarnation, other facts, a leave, and
    silence.  ``fleet`` is what this leader has heard.
    """

    def __init__(
        self,
        store: JobStore,
        fleet: Fleet,
        propose: Callable[[Command], Awaitable[Any]],
        now: Callable[[], float],
    ):
        self._store = store
        self._fleet = fleet
        self._propose = propose
        self._now = now
        self._changed: set[str] = set()
        self._wake = asyncio.Event()

    def restore(self, lease_ms: int) -> int:
        """Take over what former leaders knew; return how many stay."""
        adopted = 0
        for report in self._store.report_by_upstream.values():
            self._fleet.restore(report, lease_ms, self._now())
            adopted += not report.leaving
        return adopted

    def note(self, report: UpstreamReport) -> None:
        """Commit a report soon if it says something new."""
        known = self._store.report_by_upstream.get(report.upstream_id)
        if known != report.stable_fields():
            self._changed.add(report.upstream_id)
            self._wake.set()

    async def note_leave(self, report: UpstreamReport) -> None:
        """Commit that an upstream leaves, before it is acknowledged."""
        if (
            self._store.report_by_upstream.get(report.upstream_id)
            == report.stable_fields()
        ):
            return
        await self._propose(NoteUpstreams((report.stable_fields(),)))

    async def run(self) -> None:
        """Commit changes in batches until the term ends."""
        while True:
            try:
                async with asyncio.timeout(_CHECK_S):
                    await self._wake.wait()
            except TimeoutError:
                await self._forget_silent()
                continue
            await asyncio.sleep(_GATHER_S)
            self._wake.clear()
            await self._commit_changes()

    async def _commit_changes(self) -> None:
        reports = []
        for upstream_id in self._changed:
            upstream = self._fleet.by_id.get(upstream_id)
            if upstream is not None:
                reports.append(upstream.report.stable_fields())
        self._changed.clear()
        if reports:
            await self._propose(NoteUpstreams(tuple(reports)))

    async def _forget_silent(self) -> None:
        silent = []
        for upstream_id in self._store.report_by_upstream:
            upstream = self._fleet.by_id.get(upstream_id)
            if upstream is None or upstream.gone:
                silent.append(upstream_id)
                continue
            if not upstream.report.leaving and not self._fleet.is_available(
                upstream, self._now()
            ):
                silent.append(upstream_id)
        if silent:
            await self._propose(ForgetUpstreams(tuple(silent)))
