"""The loop in which a leader plans and starts runs."""

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from persimmonyard.daemon.jobs.task_run import RunState, RunTrack
from persimmonyard.jobs import (
    Placement,
    PlaceRuns,
    Planner,
    Preemption,
    RunProgress,
    RunTimeEstimator,
    UnitKey,
)

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["Planning"]

# Longest time between two plans while units wait, in seconds: capacity may
# come back, and patience for a rack runs out, without an event.
_REPLAN_S = 0.5
# A burst of events leads to one plan, in seconds.
_GATHER_S = 0.002
# Plans take at most one part in this many of a leader's time, so that calls
# and heartbeats of the replicated log are not held up.
_PLAN_SHARE = 4


class Planning:
    """Plan after every event, commit the placements, then start them.

    The next plan begins when the last one is committed, so that it sees what
    was placed.
    """

    def __init__(self, leader_term: "LeaderTerm", estimator: RunTimeEstimator):
        self._lead = leader_term
        self._planner = Planner(leader_term.store, leader_term.fleet, estimator)
        self._kick = asyncio.Event()
        # How long the last plan took, without its commit, in seconds.
        self._took_s = 0.0

    def kick(self) -> None:
        """Plan again soon."""
        self._kick.set()

    async def run(self) -> None:
        """Plan until the term ends."""
        while True:
            # asyncio.wait_for may swallow a cancellation in Python 3.11.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._replan_s()):
                    await self._kick.wait()
            await asyncio.sleep(max(_GATHER_S, self._took_s * (_PLAN_SHARE - 1)))
            self._kick.clear()
            if not self._lead.leads():
                return
            await self._plan()

    def _replan_s(self) -> float:
        due = self._planner.next_due_ms
        if due is None:
            return _REPLAN_S
        return min(_REPLAN_S, max(0.01, due / 1_000 - time.time()))

    async def _plan(self) -> None:
        started_at = time.perf_counter()
        runs = self._live_runs()
        plan = self._planner.plan(self._lead.now(), int(time.time() * 1_000), runs)
        self._took_s = time.perf_counter() - started_at
        if plan.truncated:
            self.kick()
        for preemption in plan.preemptions:
            self._preempt(preemption)
        if not plan.placements:
            return
        await self._lead.propose(PlaceRuns(tuple(plan.placements)))
        self._log_placements(plan.placements)
        for placement in plan.placements:
            self._begin(placement)

    def _log_placements(self, placements: list[Placement]) -> None:
        """Write one line for each step with the seats of its tasks."""
        seats_by_step: dict[tuple[str, int, int], list[str]] = {}
        for placement in placements:
            key = placement.key
            seats = seats_by_step.setdefault((key.job_id, key.occurrence, key.step), [])
            for seat in placement.seats:
                seats.append(f"{seat.task}/{placement.run}@{seat.upstream_id}")
        for (job_id, occurrence, step), seats in seats_by_step.items():
            self._lead.log.info(
                "runs placed",
                job=job_id,
                step=f"{occurrence}.{step}",
                seats=seats,
                version=self._lead.store.version(),
                upstreams_known=len(self._lead.fleet.by_id),
            )

    def _live_runs(self) -> dict[tuple[UnitKey, int], RunProgress]:
        """Return the state of each run: the slowest of its tasks counts."""
        runs: dict[tuple[UnitKey, int], RunProgress] = {}
        now = self._lead.now()
        for session in self._lead.sessions():
            for track in session.track_by_run.values():
                place = (track.key, track.run)
                live = track.run_progress(now)
                known = runs.get(place)
                runs[place] = live if known is None else known.merged(live)
        return runs

    def _preempt(self, preemption: Preemption) -> None:
        self._lead.record_event("preempted")
        reason = f"room for {preemption.for_unit.job_id}"
        self._lead.stop_run(preemption.key, preemption.run, reason)

    def _begin(self, placement: Placement) -> None:
        """Start a run whose placement is committed."""
        key = placement.key
        record = self._lead.store.job_by_id.get(key.job_id)
        if record is None or record.units[key].run != placement.run:
            return
        if not record.units[key].seats:
            return
        now = self._lead.now()
        step = record.step_of(key)
        for seat in placement.seats:
            upstream = self._lead.fleet.by_id[seat.upstream_id]
            name = key.task_key(seat.task)
            track = RunTrack(name, placement.run, key, step, RunState.STARTING, now)
            session = self._lead.session(upstream)
            if upstream.report.incarnation != seat.incarnation:
                # It restarted while the placement was being committed.
                track.state = RunState.RUNNING
                session.add(track)
                session.stop(track, "upstream restarted")
                continue
            session.add(track)
        if not record.is_active():
            self._lead.stop_run(key, placement.run, "job has ended")
