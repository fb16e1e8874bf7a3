"""The in-memory state of the scheduler, shared by its components."""

from persimmonyard.model import ClientAccountSpec, Shape, WorkClassSpec
from persimmonyard.scheduler.allocations import Allocations, TaskKind
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Fleet, Node
from persimmonyard.scheduler.freed_capacity import FreedCapacityLog
from persimmonyard.scheduler.layout import GuaranteeLayout
from persimmonyard.scheduler.placement import can_ever_fit
from persimmonyard.scheduler.prediction import RunTimePredictor
from persimmonyard.scheduler.quarantine import QuarantineManager
from persimmonyard.scheduler.queue import JobGroup, WaitingQueue
from persimmonyard.scheduler.reservations import BackfillReservations
from persimmonyard.scheduler.targets import (
    MISSED_QUANTILE,
    HistoricalRunTimeEstimator,
    RunTimeEstimator,
    is_urgent,
    latest_start,
    latest_start_after_miss,
)
from persimmonyard.scheduler.zone_rate_limits import ZoneRateLimits

__all__ = ["SchedulerState"]


class SchedulerState:
    """The fleet, allocations, waiting jobs, guarantees and configuration."""

    def __init__(self, run_time_estimator: RunTimeEstimator | None) -> None:
        self.predictor = RunTimePredictor()
        self.run_time_estimator = run_time_estimator or HistoricalRunTimeEstimator(
            self.predictor
        )
        self.fleet = Fleet()
        self.allocations = Allocations(self.fleet)
        self.layout = GuaranteeLayout(self.fleet)
        self.queue = WaitingQueue()
        self.reservations = BackfillReservations(
            self.fleet, self.allocations, self.run_time_estimator
        )
        self.quarantine_manager = QuarantineManager(self.fleet)
        self.zone_rate_limits = ZoneRateLimits()
        self.class_by_name: dict[str, WorkClassSpec] = {}
        self.account_by_name: dict[str, ClientAccountSpec] = {}
        self.freed_capacity = FreedCapacityLog(self.fleet)
        # Requests with a reservation on upstreams where capacity was freed.
        self.owners_to_retry: set[str] = set()
        # The zone from which a running request must be evacuated, by request.
        self.evacuee_zone_by_id: dict[str, str] = {}
        # Requests whose attempts have ended since the last call of ``decide``.
        self.ended_ids: list[str] = []
        self.next_number_by_id: dict[str, int] = {}
        self._fits_by_shape: dict[tuple[Shape, frozenset[str]], bool] = {}
        self.fleet.on_freed = self.record_freed

    def record_freed(self, node: Node) -> None:
        """Record that a waiting job may now fit on a node."""
        self.freed_capacity.record(node.node_id)
        owner = self.reservations.owner(node)
        if owner is not None:
            self.owners_to_retry.add(owner)

    def urgent(self, job: Job) -> bool:
        """Return whether a job belongs to an urgent class."""
        return is_urgent(self.class_by_name.get(job.class_name))

    def urgent_group(self, group: JobGroup) -> bool:
        """Return whether a group's class is urgent."""
        return is_urgent(self.class_by_name.get(group.class_name))

    def invalidate_fit_cache(self) -> None:
        """Invalidate the cached results of ``ever_fits``."""
        self._fits_by_shape.clear()

    def ever_fits(self, shape: Shape, avoid: frozenset[str] = frozenset()) -> bool:
        """Return whether a shape would fit if every upstream were idle.

        All registered upstreams count, even if they are unavailable now.
        """
        key = (shape, avoid)
        cached = self._fits_by_shape.get(key)
        if cached is None:
            cached = can_ever_fit(self.fleet, shape, avoid)
            self._fits_by_shape[key] = cached
        return cached

    def enqueue(self, job: Job, now: float) -> None:
        """Add a job to the queue with the priority of its class."""
        spec = self.class_by_name.get(job.class_name)
        tier = 0 if is_urgent(spec) else 1
        self.queue.add(job, tier, latest_start(job, spec, self.run_time_estimator), now)

    def misses_target(self, job: Job, now: float) -> bool:
        """Return whether a job that starts now will probably miss its target.

        The run time is predicted at ``MISSED_QUANTILE``.
        """
        spec = self.class_by_name.get(job.class_name)
        return latest_start(job, spec, self.run_time_estimator, MISSED_QUANTILE) < now

    def defer(self, job: Job, now: float) -> None:
        """Requeue a job behind those that can still meet their target."""
        self.queue.add(job, 1, latest_start_after_miss(job), now)

    def release_claim(self, request_id: str, now: float) -> None:
        """Release a claim, and requeue its job if the job is waiting."""
        claim = self.allocations.drop_claim(request_id)
        if not claim.awaits_job:
            self.enqueue(claim.job, now)

    def update_layout(self, limit: int) -> None:
        """Place at most ``limit`` pending blocks and update task kinds.

        The kinds are updated once no block is pending.
        """
        if self.layout.pending and limit:
            self.layout.place_pending(limit)
            # Retry all groups: non-preemptible jobs wait for the layout.
            self.freed_capacity.record_global_change()
        if self.layout.pending:
            return
        while self.layout.changed:
            account, node_id = self.layout.changed.pop()
            self._update_kinds(account, self.fleet.node_by_id[node_id])

    def _update_kinds(self, account: str, node: Node) -> None:
        for task in list(self.allocations.tasks_on(node)):
            if task.job.client_account != account:
                continue
            if task.kind == TaskKind.HOME and not self.allocations.within_guarantee(
                task
            ):
                self.allocations.set_kind(task, TaskKind.BORROWER)
        for task in list(self.allocations.tasks_on(node)):
            if task.job.client_account != account or task.stopping:
                continue
            if task.kind == TaskKind.BORROWER and self.allocations.fits_guarantee(task):
                self.allocations.set_kind(task, TaskKind.HOME)
