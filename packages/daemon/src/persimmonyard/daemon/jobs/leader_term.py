"""One term of the control leader: it plans, starts and supervises runs."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from persimmonyard.daemon.jobs.draining import Departures
from persimmonyard.daemon.jobs.durations import Durations
from persimmonyard.daemon.jobs.job_log import JobLog
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.planning_loop import Planning
from persimmonyard.daemon.jobs.session import UpstreamSession
from persimmonyard.daemon.jobs.task_run import RunState, RunTrack
from persimmonyard.daemon.jobs.upstream_client import UpstreamClient
from persimmonyard.daemon.jobs.upstream_registry import Roster
from persimmonyard.daemon.logs import get_logger
from persimmonyard.jobs import (
    Command,
    EndRuns,
    ExpireJobs,
    Fleet,
    JobRecord,
    JobStore,
    RunEnd,
    RunTimeEstimator,
    TaskEnd,
    TaskKey,
    Unit,
    UnitKey,
    Upstream,
    UpstreamHealth,
    UpstreamReport,
)
from persimmonyard.model import Resources
from persimmonyard.replication import (
    NotLeaderError,
    OutcomeUnknownError,
    steady_now,
)

__all__ = ["LeaderTerm"]

# A start that takes longer than a few round trips and a commit, in seconds.
_SLOW_START_S = 0.25
# How long an upstream on which a run stands still gets no work, in seconds.
_STALLED_PAUSE_S = 3.0
# Jobs that ended are looked for this often, in seconds.
_EXPIRY_S = 20.0
_EXPIRE_AT_ONCE = 200
# An upstream that is silent for many leases has gone, in seconds.
_FORGET_AFTER_S = 60.0


class LeaderTerm:
    """What a leader does and knows in one term.

    ``propose`` commits a command, ``leads`` tells if the term still holds,
    and ``fence`` is the fencing token of all orders.
    """

    def __init__(
        self,
        store: JobStore,
        port: UpstreamClient,
        durations: Durations,
        fence: int,
        propose: Callable[[Command], Awaitable[Any]],
        leads: Callable[[], bool],
        metrics: JobMetrics,
        now: Callable[[], float] = steady_now,
    ):
        self.store = store
        self.port = port
        self.durations = durations
        self.fence = fence
        self._leads = leads
        self._closed = False
        self.now = now
        self.log = get_logger("jobs").bind(term=fence)
        self.fleet = Fleet(durations.heartbeat_s)
        self._metrics = metrics
        # Set when a part of the term has failed, so that a new one begins.
        self.broken = False
        self.propose = propose
        self._estimator = RunTimeEstimator()
        self._health = UpstreamHealth()
        self._planning = Planning(self, self._estimator)
        self._departures = Departures(self, self._estimator)
        self._roster = Roster(store, self.fleet, propose, now)
        self.job_log = JobLog(self.log, store, self._estimator, metrics)
        self._session_by_id: dict[str, UpstreamSession] = {}
        self._tasks: set[asyncio.Task] = set()

    # Life cycle.

    def start(self) -> None:
        """Take over what former leaders placed, and begin to plan."""
        adopted = self._roster.restore(self.durations.lease_ms)
        inherited = 0
        for seats in list(self.store.seats_by_upstream.values()):
            for (name, run), one in list(seats.items()):
                self._inherit(name, run, one.seat)
                inherited += 1
        self.log.info(
            "leadership begins",
            jobs=len(self.store.job_by_id),
            runs=inherited,
            upstreams=adopted,
        )
        self.spawn(self._roster.run())
        self.spawn(self._planning.run())
        self.spawn(self._expiry_loop())

    def close(self) -> None:
        """Stop everything that belongs to this term."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        self.log.info("leadership ends", sessions=len(self._session_by_id))

    def leads(self) -> bool:
        """Return whether orders of this term may be sent."""
        return not self._closed and self._leads()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine until it ends or the term does."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, NotLeaderError | OutcomeUnknownError):
            self.log.info("leadership lost", error=str(error))
            return
        if error is not None:
            self.log.error("task failed", exc_info=error)
            self.broken = True

    def _inherit(self, name: TaskKey, run: int, seat: Any) -> None:
        report = UpstreamReport(
            seat.upstream_id,
            seat.incarnation,
            -1,
            "",
            seat.address,
            seat.zone,
            "",
            (),
            Resources(0, 0, 0),
            0,
        )
        now = self.now()
        self.fleet.restore_stale(report, self.durations.lease_ms, now)
        record = self.store.job_by_id[name.job_id]
        step = record.job.steps[name.step]
        key = name.unit_key(step.gang)
        track = RunTrack(name, run, key, step, RunState.INHERITED, now)
        session = self.session(self.fleet.by_id[seat.upstream_id])
        session.add(track)
        unit = record.units[key]
        broken = any(one.end not in (None, TaskEnd.DONE) for one in unit.seats)
        if not record.is_active() or broken:
            session.stop(track, "job has ended" if not broken else "gang is broken")

    def session(self, upstream: Upstream) -> UpstreamSession:
        """Return the session of an upstream, a new one if need be."""
        upstream_id = upstream.report.upstream_id
        session = self._session_by_id.get(upstream_id)
        if session is None:
            session = UpstreamSession(self, upstream)
            self._session_by_id[upstream_id] = session
        return session

    def known_session(self, upstream: Upstream) -> UpstreamSession | None:
        """Return the session of an upstream if it has one."""
        return self._session_by_id.get(upstream.report.upstream_id)

    def sessions(self) -> list[UpstreamSession]:
        """Return the sessions of this term."""
        return list(self._session_by_id.values())

    # Reports of upstreams.

    def observe(self, report: UpstreamReport) -> None:
        """Take a report of an upstream."""
        upstream, new = self.fleet.observe(report, self.now())
        if new:
            self.log.info(
                "upstream appears",
                upstream=report.upstream_id,
                incarnation=report.incarnation,
                zone=report.zone,
                rack=report.rack,
                service=report.service,
            )
            session = self._session_by_id.get(report.upstream_id)
            if session is not None:
                session.replace_incarnation(upstream)
        self._departures.consider(upstream, report.remaining_ms / 1_000)
        self._roster.note(upstream.report)
        self.kick()

    async def confirm(self, report: UpstreamReport) -> None:
        """Return when a leave that was reported is committed."""
        upstream = self.fleet.by_id.get(report.upstream_id)
        if upstream is not None and upstream.report.leaving:
            await self._roster.note_leave(upstream.report)

    async def mark_upstream_left(self, upstream_id: str) -> None:
        """Take the word of a leaving upstream that it has ended."""
        upstream = self.fleet.by_id.get(upstream_id)
        if upstream is None or not upstream.report.leaving:
            return
        upstream.gone = True
        self.log.info("upstream left", upstream=upstream_id)
        session = self._session_by_id.get(upstream_id)
        if session is not None:
            await session.lose_all("upstream left")

    # What sessions ask and tell.

    def unit(self, track: RunTrack) -> Unit | None:
        """Return the unit of a run if the run is still wanted."""
        record = self.store.job_by_id.get(track.name.job_id)
        if record is None or not record.is_active():
            return None
        unit = record.units[track.key]
        return unit if unit.run == track.run else None

    def may_start(self, upstream: Upstream) -> bool:
        """Return whether starts may still be sent to an upstream."""
        if upstream.report.leaving or upstream.gone:
            return False
        return upstream.report.zone not in self.store.zones_out

    def payload(self, track: RunTrack) -> str:
        """Return what the caller sent for the tasks of the job."""
        return self.store.job_by_id[track.name.job_id].job.payload

    def note_started(self, track: RunTrack, upstream: Upstream, took_s: float) -> None:
        """Count the begin of a run, and log it if it took long."""
        record = self.store.job_by_id.get(track.name.job_id)
        if record is not None:
            self._metrics.record_start(record.job.route, took_s)
        if took_s < _SLOW_START_S:
            return
        self.log.info(
            "run started late",
            job=track.name.job_id,
            task=track.name.log_label(),
            run=track.run,
            upstream=upstream.report.upstream_id,
            took_ms=int(took_s * 1_000),
        )

    def record_event(self, event: str) -> None:
        """Count a decision that is neither a start nor an end."""
        self._metrics.record_event(event)

    def note_stale_fence(self, upstream: Upstream) -> None:
        """Log that another leader has given orders since."""
        self.record_event("stale_fence")
        self.log.warning("fence refused", upstream=upstream.report.upstream_id)

    async def record_ends(self, session: UpstreamSession, ends: list[RunEnd]) -> None:
        """Commit ends, then act on them."""
        live = self._live_jobs(ends)
        await self.propose(EndRuns(tuple(ends), int(time.time() * 1_000)))
        for record in live:
            if not record.is_active():
                self.job_log.log_end(record)
        upstream_id = session.upstream.report.upstream_id
        for end in ends:
            name = end.key.task_key(end.task)
            track = session.track_by_run.pop((name, end.run), None)
            if track is None:
                continue
            self._note_end(track, end, upstream_id)
            self._stop_rest(end)
        self.kick()

    def _live_jobs(self, ends: list[RunEnd]) -> list[JobRecord]:
        """Return the jobs of some ends that have not ended so far."""
        record_by_id: dict[str, JobRecord] = {}
        for end in ends:
            record = self.store.job_by_id.get(end.key.job_id)
            if record is not None and record.is_active():
                record_by_id[end.key.job_id] = record
        return list(record_by_id.values())

    def _note_end(self, track: RunTrack, end: RunEnd, upstream_id: str) -> None:
        now = self.now()
        self._metrics.record_end(str(end.end))
        record = self.store.job_by_id.get(end.key.job_id)
        self.log.info(
            "run ended",
            job=end.key.job_id,
            task=track.name.log_label(),
            run=end.run,
            upstream=upstream_id,
            end=str(end.end),
            reason=track.stop_reason,
            saved=bool(end.checkpoint),
            state=str(record.state()) if record is not None else "unknown",
        )
        if end.end == TaskEnd.DONE:
            self._health.record_success(upstream_id)
            began = track.began_at
            if record is not None and began is not None and not track.checkpoint:
                self._estimator.observe(record.job.route, (now - began) * 1_000)
        if end.end == TaskEnd.FAILED:
            pause = self._health.record_failure(upstream_id, end.key.job_id)
            upstream = self.fleet.by_id.get(upstream_id)
            if pause and upstream is not None:
                upstream.avoid(now + pause)
                self.log.warning(
                    "upstream avoided", upstream=upstream_id, pause_s=pause
                )

    def _stop_rest(self, end: RunEnd) -> None:
        """Stop what makes no sense without the task that ended."""
        record = self.store.job_by_id.get(end.key.job_id)
        if record is None:
            return
        if record.failed or record.cancelled:
            self.stop_job(end.key.job_id, str(record.state()))
            return
        if end.end != TaskEnd.DONE and record.step_of(end.key).gang:
            self.stop_run(end.key, end.run, "gang is broken")

    def stop_job(self, job_id: str, reason: str) -> None:
        """Stop all runs of a job."""
        record = self.store.job_by_id.get(job_id)
        if record is None:
            return
        for key, unit in record.units.items():
            if unit.seats:
                self.stop_run(key, unit.run, reason)

    def stop_run(self, key: UnitKey, run: int, reason: str) -> None:
        """Stop what has not ended of a run."""
        unit = self.store.job_by_id[key.job_id].units[key]
        if unit.run != run:
            return
        for one in unit.seats:
            session = self._session_by_id.get(one.seat.upstream_id)
            if one.end is not None or session is None:
                continue
            name = key.task_key(one.seat.task)
            track = session.track_by_run.get((name, run))
            if track is not None:
                session.stop(track, reason)

    def consider_progress(self, session: UpstreamSession) -> None:
        """Move runs that stand still on an upstream."""
        now = self.now()
        for track in list(session.track_by_run.values()):
            if not track.stands_still(now):
                continue
            self.record_event("stalled")
            upstream = session.upstream
            upstream.avoid(now + _STALLED_PAUSE_S)
            self.stop_run(track.key, track.run, "stands still")

    # Planning.

    def kick(self) -> None:
        """Plan again soon."""
        self._planning.kick()

    async def commit(self, command: Command) -> Any:
        """Commit a command of a caller or an operator, then plan again."""
        result = await self.propose(command)
        self.kick()
        return result

    # Expiry.

    def _forget_silent(self) -> None:
        """Drop upstreams that were silent for long and run nothing."""
        busy = set(self.store.seats_by_upstream)
        for upstream_id in self.fleet.remove_silent(_FORGET_AFTER_S, busy, self.now()):
            session = self._session_by_id.pop(upstream_id, None)
            if session is not None:
                session.close()
            self.log.info("upstream forgotten", upstream=upstream_id)

    async def _expiry_loop(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_S)
            if not self.leads():
                return
            self._forget_silent()
            before = int(time.time() * 1_000) - self.durations.retention_ms
            expired = []
            for record in self.store.job_by_id.values():
                if not record.ended_ms or record.ended_ms > before:
                    continue
                if any(unit.seats for unit in record.units.values()):
                    continue
                expired.append(record.job.job_id)
            if expired:
                await self.propose(ExpireJobs(tuple(expired[:_EXPIRE_AT_ONCE])))
