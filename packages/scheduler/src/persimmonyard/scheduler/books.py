"""Everything that the scheduler knows, shared by its parts."""

from persimmonyard.model import ClassSpec, ClientAccountSpec, Shape
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Fleet, Node
from persimmonyard.scheduler.freed import Freed
from persimmonyard.scheduler.holds import Holds
from persimmonyard.scheduler.layout import Layout
from persimmonyard.scheduler.placement import can_ever_fit
from persimmonyard.scheduler.prediction import RunTimePredictor
from persimmonyard.scheduler.quarantine import QuarantineManager
from persimmonyard.scheduler.queue import GroupKey, WaitingQueue
from persimmonyard.scheduler.targets import (
    MISSED_QUANTILE,
    HistoricalRunTimeEstimator,
    RunTimeEstimator,
    is_urgent,
    latest_start,
    latest_start_after_miss,
)
from persimmonyard.scheduler.work import Kind, Work
from persimmonyard.scheduler.zones import ZonePace

__all__ = ["Books"]


class Books:
    """The fleet, running and waiting work, guarantees and configuration."""

    def __init__(self, run_time_estimator: RunTimeEstimator | None) -> None:
        self.predictor = RunTimePredictor()
        self.run_time_estimator = run_time_estimator or HistoricalRunTimeEstimator(
            self.predictor
        )
        self.fleet = Fleet()
        self.work = Work(self.fleet)
        self.layout = Layout(self.fleet)
        self.queue = WaitingQueue()
        self.holds = Holds(self.fleet, self.work, self.run_time_estimator)
        self.quarantine_manager = QuarantineManager(self.fleet)
        self.pace = ZonePace()
        self.class_by_name: dict[str, ClassSpec] = {}
        self.account_by_name: dict[str, ClientAccountSpec] = {}
        self.freed = Freed(self.fleet)
        # Owners of holds on upstreams where capacity has come free.
        self.holders: set[str] = set()
        # Work to move away, with the zone that it is moved out of.
        self.evacuee_zone_by_id: dict[str, str] = {}
        # Requests whose attempt has ended since the last decision.
        self.ended: list[str] = []
        self.next_number_by_id: dict[str, int] = {}
        self._fits_by_shape: dict[tuple[Shape, frozenset[str]], bool] = {}
        self.fleet.on_freed = self.note_freed

    def note_freed(self, node: Node) -> None:
        """Remember that waiting work may fit on a node."""
        self.freed.note(node.node_id)
        holder = self.holds.owner(node)
        if holder is not None:
            self.holders.add(holder)

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
        self.queue.add(job, tier, latest_start(job, spec, self.run_time_estimator), now)

    def misses_target(self, job: Job, now: float) -> bool:
        """Return whether a start now is more likely than not too late."""
        spec = self.class_by_name.get(job.class_name)
        return latest_start(job, spec, self.run_time_estimator, MISSED_QUANTILE) < now

    def defer(self, job: Job, now: float) -> None:
        """Put a job behind those that can still meet their target."""
        self.queue.add(job, 1, latest_start_after_miss(job), now)

    def give_up_claim(self, request_id: str, now: float) -> None:
        """Return a claim's capacity; its job is tried again if it waits."""
        claim = self.work.drop_claim(request_id)
        if not claim.awaits_job:
            self.enqueue(claim.job, now)

    def settle_layout(self, limit: int) -> None:
        """Lay pending blocks, then match the kinds of running work."""
        if self.layout.pending and limit:
            self.layout.settle(limit)
            # Work that cannot be stopped waits for the layout.
            self.freed.note_everywhere()
        if self.layout.pending:
            return
        while self.layout.moved:
            account, node_id = self.layout.moved.pop()
            self._match_kinds(account, self.fleet.node_by_id[node_id])

    def _match_kinds(self, account: str, node: Node) -> None:
        for task in list(self.work.tasks_on(node)):
            if task.job.client_account != account:
                continue
            if task.kind == Kind.HOME and not self.work.covered(task):
                self.work.set_kind(task, Kind.BORROWER)
        for task in list(self.work.tasks_on(node)):
            if task.job.client_account != account or task.stopping:
                continue
            if task.kind == Kind.BORROWER and self.work.fits_home(task):
                self.work.set_kind(task, Kind.HOME)
