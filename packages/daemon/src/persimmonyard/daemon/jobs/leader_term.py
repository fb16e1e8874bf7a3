"""One term of the control leader: it plans, starts and supervises runs."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from persimmonyard.daemon.jobs.account_overview import AccountOverview
from persimmonyard.daemon.jobs.draining import UpstreamDrainer
from persimmonyard.daemon.jobs.durations import Durations
from persimmonyard.daemon.jobs.expiry import Expiry
from persimmonyard.daemon.jobs.interference import InterferenceMonitor
from persimmonyard.daemon.jobs.job_log import JobLog
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.planning_loop import PlanningLoop
from persimmonyard.daemon.jobs.progress_observer import ProgressObserver
from persimmonyard.daemon.jobs.replacements import Replacements
from persimmonyard.daemon.jobs.report_filter import ReportFilter
from persimmonyard.daemon.jobs.run_supervisor import RunSupervisor
from persimmonyard.daemon.jobs.session import UpstreamSession
from persimmonyard.daemon.jobs.speed_keeper import SpeedKeeper
from persimmonyard.daemon.jobs.task_run import TaskRun
from persimmonyard.daemon.jobs.upstream_client import UpstreamClient
from persimmonyard.daemon.jobs.upstream_guard import UpstreamGuard
from persimmonyard.daemon.jobs.upstream_registry import UpstreamRegistry
from persimmonyard.daemon.jobs.wall_clock import SteadyWallClock
from persimmonyard.daemon.logs import get_logger
from persimmonyard.estimation import RunTimes, SpeedModel
from persimmonyard.jobs import (
    Command,
    EndRuns,
    Fleet,
    Job,
    JobStore,
    PlacementPreview,
    RunEnd,
    RunTimeEstimator,
    TaskEnd,
    Unit,
    Upstream,
    UpstreamHealth,
    UpstreamReport,
)
from persimmonyard.replication import NotLeaderError, OutcomeUnknownError, boottime_now

__all__ = ["LeaderTerm"]

# Starts slower than this are logged, in seconds: a start takes a few round
# trips and a commit.
_SLOW_START_S = 0.25
# How long an upstream with a stalled run gets no new work, in seconds.
_STALLED_AVOID_S = 3.0


# A new leader waits this many report intervals for the upstreams to report
# before it preempts runs or refuses jobs.
_REPORTS_AWAITED = 1.5


class LeaderTerm:
    """The work and state of the control leader during one term.

    ``propose`` commits a command, ``leads`` returns whether the process still
    leads this term, and ``fence`` is the fencing token of all orders to
    upstreams.  ``leader_contact_at`` is when this process last heard from the
    previous leader, on the clock ``now``, or None if it never did.  Accepted
    jobs may take ``work_budget`` bytes, or any amount if it is 0.  The state
    of the leader of the consensus group is another
    class, ``persimmonyard.replication.leader_state.LeaderState``.
    """

    def __init__(
        self,
        store: JobStore,
        upstream_client: UpstreamClient,
        durations: Durations,
        fence: int,
        propose: Callable[[Command], Awaitable[Any]],
        leads: Callable[[], bool],
        metrics: JobMetrics,
        wall_clock: SteadyWallClock,
        now: Callable[[], float] = boottime_now,
        leader_contact_at: float | None = None,
        work_budget: int = 0,
    ):
        self.store = store
        self.upstream_client = UpstreamGuard(upstream_client)
        self.durations = durations
        self.fence = fence
        self.work_budget = work_budget
        self._leads = leads
        self._closed = False
        self.now = now
        self.wall_clock = wall_clock
        self.log = get_logger("jobs").bind(term=fence)
        self.fleet = Fleet(durations.report_valid_s)
        self._leader_contact_at = leader_contact_at
        self.first_reports_until = now() + _REPORTS_AWAITED * durations.heartbeat_s
        # Incarnations that began in this time, in Unix milliseconds, may have
        # executed orders of earlier leaders for other incarnations.
        late_ms = int(durations.late_order_s * 1_000)
        began_ms = wall_clock.now_ms()
        self._foreign_orders_ms = range(began_ms - late_ms, began_ms + late_ms)
        if not store.job_by_id:
            # No earlier leader has sent an order.
            self._foreign_orders_ms = range(0)
        self._metrics = metrics
        # Set when a background task has failed or the lease has lapsed; the
        # process then replaces this object by a new one.
        self.failed = False
        self.propose = propose
        self.run_times = RunTimes()
        self._estimator = RunTimeEstimator(self.run_times)
        self._health = UpstreamHealth()
        self.interference = InterferenceMonitor(store, metrics, self.log)
        self.speeds = SpeedModel()
        self.progress_observer = ProgressObserver(self.speeds)
        self.speed_keeper = SpeedKeeper(self)
        self._planning_loop = PlanningLoop(self, self._estimator, self.speeds)
        self._drainer = UpstreamDrainer(self, self._estimator)
        self._upstream_registry = UpstreamRegistry(
            store,
            self.fleet,
            propose,
            now,
            wall_clock,
            self._log_failed_jobs,
            durations.silent_after_s,
        )
        self._report_filter = ReportFilter(self.log, store, self.fleet, metrics)
        self.replacements = Replacements(self, self._upstream_registry)
        self.job_log = JobLog(self.log, store, self._estimator, metrics)
        self.supervisor = RunSupervisor(self)
        self._expiry = Expiry(self)
        self.accounts = AccountOverview(self)
        self._session_by_id: dict[str, UpstreamSession] = {}
        self._tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Take over the runs of previous leaders and start planning."""
        valid_until = float("-inf")
        if self._leader_contact_at is not None:
            valid_until = self._leader_contact_at + self.durations.restored_report_s
        upstream_count = self._upstream_registry.restore(
            self.durations.longest_lease_ms, valid_until, self._report_filter.restores
        )
        speed_count = self.speed_keeper.restore()
        run_count = self.supervisor.take_over()
        self.log.info(
            "leadership begins",
            jobs=len(self.store.job_by_id),
            runs=run_count,
            upstreams=upstream_count,
            speeds=speed_count,
        )
        self.spawn(self._upstream_registry.run())
        self.spawn(self._planning_loop.run())
        self.spawn(self._expiry.run())
        self.spawn(self.speed_keeper.run())

    def close(self) -> None:
        """Cancel all tasks of this term."""
        self._closed = True
        self.supervisor.close()
        self.interference.close()
        for task in list(self._tasks):
            task.cancel()
        self.log.info("leadership ends", sessions=len(self._session_by_id))

    def leads(self) -> bool:
        """Return whether orders may be sent in this term.

        A term whose lease has lapsed does not go on when it is back, because
        its loops may have ended meanwhile; the process then replaces it.
        """
        if self._closed:
            return False
        if not self._leads():
            self._record_loss("the lease has lapsed")
            return False
        return True

    def _record_loss(self, reason: str) -> None:
        """Log that this term is over unless that is known."""
        if not self.failed:
            self.log.info("leadership lost", error=reason)
        self.failed = True

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine as a task that is cancelled when the term ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, NotLeaderError | OutcomeUnknownError):
            self._record_loss(str(error))
            return
        if error is not None:
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        """Log an unexpected error; the process then replaces this term."""
        self.log.error("task failed", exc_info=error)
        self.failed = True

    def session(self, upstream: Upstream) -> UpstreamSession:
        """Return the session of an upstream; create it if there is none."""
        upstream_id = upstream.report.upstream_id
        session = self._session_by_id.get(upstream_id)
        if session is None:
            session = UpstreamSession(self, upstream)
            self._session_by_id[upstream_id] = session
        return session

    def may_have_foreign_orders(self, upstream: Upstream) -> bool:
        """Return whether an incarnation may execute an earlier leader's order.

        Such an order was sent to the incarnation before it, which may have
        ended at the time of the change of leaders.
        """
        return upstream.report.incarnation in self._foreign_orders_ms

    def replace_session(
        self, session: UpstreamSession, upstream: Upstream
    ) -> UpstreamSession:
        """Replace the session of an incarnation by one of its successor."""
        successor = UpstreamSession(self, upstream, session)
        self._session_by_id[upstream.report.upstream_id] = successor
        return successor

    def find_session(self, upstream_id: str) -> UpstreamSession | None:
        """Return the session of an upstream, or None."""
        return self._session_by_id.get(upstream_id)

    def has_runs(self, upstream: Upstream) -> bool:
        """Return whether the end of a run on an upstream is not known yet."""
        session = self._session_by_id.get(upstream.report.upstream_id)
        return session is not None and bool(session.task_run_by_key)

    def sessions(self) -> list[UpstreamSession]:
        """Return all sessions of this term."""
        return list(self._session_by_id.values())

    def observe(self, report: UpstreamReport) -> None:
        """Process a heartbeat report; ignore it if it is not an upstream's."""
        if not self._report_filter.accepts(report):
            return
        upstream, new = self.fleet.observe(report, self.now())
        if new:
            self.speed_keeper.forget(report.upstream_id)
            self.log.info(
                "upstream appears",
                upstream=report.upstream_id,
                incarnation=report.incarnation,
                address=report.address,
                zone=report.zone,
                rack=report.rack,
                service=report.service,
            )
            self.replacements.replace_predecessors(upstream)
        elif self._needs_look(upstream):
            # The report may have been sent before a crash, so only a poll
            # shows that the upstream was cut off.
            self.session(upstream).request_look()
        self._drainer.drain_if_leaving(upstream, report.remaining_ms / 1_000)
        self._upstream_registry.record(upstream.report)
        self.request_plan()

    def _needs_look(self, upstream: Upstream) -> bool:
        """Return whether a poll has to show that an upstream was cut off.

        A leaving one without runs is left alone: ends that an earlier leader
        has not read must not be acknowledged once their tasks start again.
        """
        if upstream.report.leaving and not self.has_runs(upstream):
            return False
        return self.replacements.ends_silence(upstream.report)

    def _log_failed_jobs(self, job_ids: tuple[str, ...]) -> None:
        """Log jobs with a task that crashes upstreams."""
        for job_id in job_ids:
            record = self.store.job_by_id[job_id]
            self.record_event("given_up")
            self.log.warning("job given up", job=job_id, reason=record.failure)

    async def commit_departure(self, report: UpstreamReport) -> None:
        """Commit the departure of an upstream if it is leaving."""
        upstream = self.fleet.by_id.get(report.upstream_id)
        if upstream is not None and upstream.report.leaving:
            await self._upstream_registry.commit_departure(upstream.report)

    async def mark_upstream_left(self, upstream_id: str) -> None:
        """Process the announcement of a leaving upstream that it ends now.

        The upstream ends once it has the acknowledgement, which follows the
        return.  Other upstreams are ignored.
        """
        upstream = self.fleet.by_id.get(upstream_id)
        if upstream is None or not upstream.report.leaving:
            return
        await self._drainer.depart(upstream)
        if not self.leads():
            # The next leader does not know of the announcement.
            raise NotLeaderError("")

    def preview(self, job: Job) -> PlacementPreview:
        """Return where the next plan would place a job that is not stored."""
        return self._planning_loop.preview(job)

    def current_unit(self, task_run: TaskRun) -> Unit | None:
        """Return the unit of a run, or None if the run is obsolete.

        A run is obsolete if its job has ended or a later run was placed.
        """
        record = self.store.job_by_id.get(task_run.task_key.job_id)
        if record is None or not record.is_active():
            return None
        unit = record.find_unit(task_run.unit_key)
        return unit if unit is not None and unit.run == task_run.run else None

    def since_placement_ms(self, task_run: TaskRun) -> int:
        """Return the time since the placement of a run was committed.

        An earlier leader's clock may have been ahead, so this is at least the
        time for which this leader has known the run.
        """
        known_ms = int((self.now() - task_run.placed_at) * 1_000)
        record = self.store.job_by_id.get(task_run.task_key.job_id)
        unit = record.find_unit(task_run.unit_key) if record is not None else None
        if unit is None or unit.run != task_run.run:
            return known_ms
        return max(known_ms, self.wall_clock.now_ms() - unit.placed_ms)

    def may_start(self, upstream: Upstream) -> bool:
        """Return whether starts may still be sent to an upstream."""
        if upstream.report.leaving or upstream.gone:
            return False
        if not self.fleet.is_report_valid(upstream, self.now()):
            return False
        return upstream.report.zone not in self.store.zones_out

    def may_preempt(self) -> bool:
        """Return whether runs may be stopped to make room for other work.

        In the first seconds of a term the fleet seems smaller than it is,
        until the upstreams have reported to the new leader.
        """
        now = self.now()
        if now > self.first_reports_until:
            return True
        return self.fleet.is_mostly_known(now)

    def payload(self, task_run: TaskRun) -> str:
        """Return the payload that the caller submitted with the job."""
        return self.store.job_by_id[task_run.task_key.job_id].job.payload

    def record_started(
        self, task_run: TaskRun, upstream: Upstream, took_s: float
    ) -> None:
        """Record the start of a run, and log it if it was slow."""
        record = self.store.job_by_id.get(task_run.task_key.job_id)
        if record is not None:
            self._metrics.record_start(record.job.route, took_s)
        if took_s < _SLOW_START_S:
            return
        self.log.info(
            "run started late",
            job=task_run.task_key.job_id,
            task=task_run.task_key.log_label(),
            run=task_run.run,
            upstream=upstream.report.upstream_id,
            took_ms=int(took_s * 1_000),
        )

    def record_event(self, event: str) -> None:
        """Count a decision that is neither a start nor an end."""
        self._metrics.record_event(event)

    def record_seats(self, kept_apart: int, shared: int) -> None:
        """Count the seats of a plan that were chosen for their neighbours."""
        self._metrics.record_seats(kept_apart, shared)

    def record_stale_fence(self, upstream: Upstream) -> None:
        """Record that an upstream has accepted a later leader's fence."""
        self.record_event("stale_fence")
        self.log.warning("fence refused", upstream=upstream.report.upstream_id)

    async def commit_ends(self, ends: list[RunEnd]) -> None:
        """Commit ends of runs; what follows is done once they are applied."""
        await self.propose(EndRuns(tuple(ends), self.wall_clock.now_ms()))

    def record_end(self, end: RunEnd, upstream_id: str) -> None:
        """Log an applied end and stop supervising the run."""
        session = self._session_by_id.get(upstream_id)
        if session is None:
            return
        task_key = end.key.task_key(end.task)
        task_run = session.task_run_by_key.pop((task_key, end.run), None)
        if task_run is None:
            return
        now = self.now()
        self._metrics.record_end(str(end.end))
        record = self.store.job_by_id.get(end.key.job_id)
        unit = record.find_unit(end.key) if record is not None else None
        self.log.info(
            "run ended",
            job=end.key.job_id,
            task=task_run.task_key.log_label(),
            run=end.run,
            upstream=upstream_id,
            end=str(end.end),
            reason=task_run.stop_reason,
            saved=bool(end.checkpoint),
            failures=unit.failures if unit is not None else 0,
            state=str(record.state()) if record is not None else "unknown",
        )
        upstream = self.fleet.by_id.get(upstream_id)
        if upstream is not None and task_run.incarnation != upstream.report.incarnation:
            # Says nothing about the incarnation that is there now.
            upstream = None
        if end.end == TaskEnd.DONE:
            self._health.record_success(upstream_id)
            if upstream is not None:
                upstream.failing = False
            work_s = self.progress_observer.work_s(task_run, upstream_id, now)
            if record is not None and work_s is not None:
                self._estimator.observe(
                    record.job.route, work_s * 1_000, task_run.step.image
                )
        if end.end == TaskEnd.FAILED:
            avoid_s = self._health.record_failure(upstream_id, end.key.job_id)
            if upstream is not None:
                upstream.failing = True
            if avoid_s and upstream is not None:
                upstream.avoid(now + avoid_s)
                self.log.warning(
                    "upstream avoided", upstream=upstream_id, pause_s=avoid_s
                )

    def stop_stalled_runs(self, session: UpstreamSession) -> None:
        """Stop stalled runs on an upstream, so that they are placed again."""
        now = self.now()
        for task_run in list(session.task_run_by_key.values()):
            if not task_run.is_stalled(now):
                continue
            self.record_event("stalled")
            upstream = session.upstream
            upstream.avoid(now + _STALLED_AVOID_S)
            self.supervisor.stop_run(task_run.unit_key, task_run.run, "stalled")

    def forget_upstream(self, upstream_id: str) -> None:
        """Close the session of an upstream that was removed from the fleet."""
        session = self._session_by_id.pop(upstream_id, None)
        if session is not None:
            session.close()
        self.speed_keeper.forget(upstream_id)
        self.interference.forget_upstream(upstream_id)
        self.log.info("upstream forgotten", upstream=upstream_id)

    def memory_free_in_s(self, missing: int) -> float | None:
        """Return when ``missing`` bytes are free, or None if not known."""
        return self._expiry.memory_free_in_s(missing)

    def request_plan(self) -> None:
        """Request a new plan."""
        self._planning_loop.request_plan()

    async def commit(self, command: Command) -> Any:
        """Commit a command of a caller or operator and request a new plan."""
        result = await self.propose(command)
        self.request_plan()
        return result
