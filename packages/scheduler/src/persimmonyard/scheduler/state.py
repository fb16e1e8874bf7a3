"""Everything that the scheduler knows, shared by its parts."""

from persimmonyard.model import ClassSpec, ClientAccountSpec, Shape
from persimmonyard.scheduler.allocations import Allocations, TaskKind
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Fleet, Node
from persimmonyard.scheduler.freed_capacity import FreedCapacityLog
from persimmonyard.scheduler.layout import GuaranteeLayout
from persimmonyard.scheduler.placement import can_ever_fit
from persimmonyard.scheduler.prediction import RunTimePredictor
from persimmonyard.scheduler.probation import Probation
from persimmonyard.scheduler.queue import GroupKey, WaitingQueue
from persimmonyard.scheduler.reservations import BackfillReservations
from persimmonyard.scheduler.targets import (
    MISSED_QUANTILE,
    HistoryRunTimes,
    RunTimes,
    after_missed_target,
    is_urgent,
    latest_start,
)
from persimmonyard.scheduler.zone_rate_limits import ZoneRateLimits

__all__ = ["SchedulerState"]


class SchedulerState:
    """The fleet, running and waiting work, guarantees and configuration."""

    def __init__(self, run_times: RunTimes | None) -> None:
        self.predictor = RunTimePredictor()
        self.run_times = run_times or HistoryRunTimes(self.predictor)
        self.fleet = Fleet()
        self.allocations = Allocations(self.fleet)
        self.layout = GuaranteeLayout(self.fleet)
        self.queue = WaitingQueue()
        self.reservations = BackfillReservations(
            self.fleet, self.allocations, self.run_times
        )
        self.probation = Probation(self.fleet)
        self.zone_rate_limits = ZoneRateLimits()
        self.class_by_name: dict[str, ClassSpec] = {}
        self.account_by_name: dict[str, ClientAccountSpec] = {}
        self.freed_capacity = FreedCapacityLog(self.fleet)
        # Owners of holds on upstreams where capacity has come free.
        self.owners_to_retry: set[str] = set()
        # Work to move away, with the zone that it is moved out of.
        self.evacuee_zone_by_id: dict[str, str] = {}
        # Requests whose attempt has ended since the last decision.
        self.ended: list[str] = []
        self.next_number_by_id: dict[str, int] = {}
        self._fits_by_shape: dict[tuple[Shape, frozenset[str]], bool] = {}
        self.fleet.on_freed = self.record_freed

    def record_freed(self, node: Node) -> None:
        """Remember that waiting work may fit on a node."""
        self.freed_capacity.record(node.node_id)
        holder = self.reservations.owner(node)
        if holder is not None:
            self.owners_to_retry.add(holder)

    def urgent(self, job: Job) -> bool:
        """Return whether a job belongs to an urgent class."""
        return is_urgent(self.class_by_name.get(job.class_name))

    def urgent_group(self, group: GroupKey) -> bool:
        """Return whether a group's class is urgent."""
        return is_urgent(self.class_by_name.get(group.class_name))

    def fleet_changed(self) -> None:
        """Forget which shapes can ever fit."""
        self._fits_by_shape.clear()

    def ever_fits(self, shape: Shape, avoid: frozenset[str] = frozenset()) -> bool:
        """Return whether the empty registered fleet could hold a shape."""
        key = (shape, avoid)
        known = self._fits_by_shape.get(key)
        if known is None:
            known = can_ever_fit(self.fleet, shape, avoid)
            self._fits_by_shape[key] = known
        return known

    def enqueue(self, job: Job, now: float) -> None:
        """Add a job to the queue in the order that its class asks for."""
        spec = self.class_by_name.get(job.class_name)
        tier = 0 if is_urgent(spec) else 1
        self.queue.add(job, tier, latest_start(job, spec, self.run_times), now)

    def misses_target(self, job: Job, now: float) -> bool:
        """Return whether a start now is more likely than not too late."""
        spec = self.class_by_name.get(job.class_name)
        return latest_start(job, spec, self.run_times, MISSED_QUANTILE) < now

    def defer(self, job: Job, now: float) -> None:
        """Put a job behind those that can still meet their target."""
        self.queue.add(job, 1, after_missed_target(job), now)

    def release_claim(self, request_id: str, now: float) -> None:
        """Return a claim's capacity; its job is tried again if it waits."""
        claim = self.allocations.drop_claim(request_id)
        if not claim.awaits_job:
            self.enqueue(claim.job, now)

    def update_layout(self, limit: int) -> None:
        """Lay pending blocks, then match the kinds of running work."""
        if self.layout.pending and limit:
            self.layout.settle(limit)
            # Work that cannot be stopped waits for the layout.
            self.freed_capacity.record_global_change()
        if self.layout.pending:
            return
        while self.layout.moved:
            account, node_id = self.layout.moved.pop()
            self._match_kinds(account, self.fleet.node_by_id[node_id])

    def _match_kinds(self, account: str, node: Node) -> None:
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
            if task.kind == TaskKind.BORROWER and self.allocations.fits_home(task):
                self.allocations.set_kind(task, TaskKind.HOME)
