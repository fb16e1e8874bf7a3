"""Everything that the scheduler knows, shared by its parts."""

from persimmonyard.model import Adjacency, ClassSpec, ClientAccountSpec, Shape
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Fleet, Node, View
from persimmonyard.scheduler.holds import Holds
from persimmonyard.scheduler.layout import Layout
from persimmonyard.scheduler.placement import can_ever_fit
from persimmonyard.scheduler.prediction import RunTimePredictor
from persimmonyard.scheduler.probation import Probation
from persimmonyard.scheduler.queue import GroupKey, WaitingQueue
from persimmonyard.scheduler.targets import (
    HistoryRunTimes,
    RunTimes,
    is_urgent,
    latest_start,
)
from persimmonyard.scheduler.vector import (
    ZERO,
    Vector,
    add,
    covers,
    highest,
    member_need,
)
from persimmonyard.scheduler.work import Kind, Work
from persimmonyard.scheduler.zones import ZonePace

__all__ = ["Books"]

# With more freed upstreams than this the search itself is cheaper than to
# compare each of them.
MAX_HOT = 64


class Books:
    """The fleet, running and waiting work, guarantees and configuration."""

    def __init__(self, run_times: RunTimes | None) -> None:
        self.predictor = RunTimePredictor()
        self.run_times = run_times or HistoryRunTimes(self.predictor)
        self.fleet = Fleet()
        self.work = Work(self.fleet)
        self.layout = Layout(self.fleet)
        self.queue = WaitingQueue()
        self.holds = Holds(self.fleet, self.work, self.run_times)
        self.probation = Probation(self.fleet)
        self.pace = ZonePace()
        self.class_by_name: dict[str, ClassSpec] = {}
        self.account_by_name: dict[str, ClientAccountSpec] = {}
        # Upstreams where capacity has come free, and those among them whose
        # capacity the jobs that were woken are tried for.
        self.freed_ids: set[str] = set()
        self.hot_ids: set[str] = set()
        self._most_free: Vector = ZERO
        self._reachable: Vector = ZERO
        self._owners: set[str] = set()
        # Owners of holds on upstreams where capacity has come free.
        self.holders: set[str] = set()
        self.wake_all = False
        # Work to move away, with the zone that it is moved out of.
        self.evacuee_zone_by_id: dict[str, str] = {}
        # Requests whose attempt has ended since the last decision.
        self.ended: list[str] = []
        self.next_number_by_id: dict[str, int] = {}
        self._fits_by_shape: dict[tuple[Shape, frozenset[str]], bool] = {}
        self.fleet.on_freed = self.note_freed

    def note_freed(self, node: Node) -> None:
        """Remember that waiting work may fit on a node."""
        self.freed_ids.add(node.node_id)
        holder = self.holds.owner(node)
        if holder is not None:
            self.holders.add(holder)

    def look_at_freed(self) -> None:
        """Summarise the freed upstreams for ``could_help``."""
        self._most_free = ZERO
        self._reachable = ZERO
        self._owners = set()
        if len(self.hot_ids) > MAX_HOT:
            return
        for node in self.fleet.nodes(self.hot_ids):
            self._most_free = highest(self._most_free, node.free)
            offered = add(node.free, node.calm_borrowed)
            self._reachable = highest(self._reachable, offered)
            self._owners.update(node.cells_by_account)

    def could_help(self, group: GroupKey) -> bool:
        """Return whether freed capacity may be enough for a group's jobs.

        It compares amounts on the freed upstreams only, so that a job that
        still does not fit costs no search.
        """
        if len(self.hot_ids) > MAX_HOT:
            return True
        need = member_need(group.shape)
        urgent = is_urgent(self.class_by_name.get(group.class_name))
        bound = self._reachable if urgent else self._most_free
        if not covers(bound, need) and group.client_account not in self._owners:
            return False
        for node in self.fleet.nodes(self.hot_ids):
            if not self.fleet.usable(node):
                continue
            if covers(node.free, need) and self._gang_may_fit(node, group.shape):
                return True
            if urgent and covers(add(node.free, node.calm_borrowed), need):
                return True
            if covers(node.home_room(group.client_account), need):
                return True
        return False

    def _gang_may_fit(self, node: Node, shape: Shape) -> bool:
        if shape.gang == 1:
            return True
        need = member_need(shape)
        match shape.adjacency:
            case Adjacency.RACK:
                index = self.fleet.index(node.zone, View.FREE)
                return index.members(need, node.rack) >= shape.gang
            case Adjacency.ZONE:
                index = self.fleet.index(node.zone, View.FREE)
                return index.members(need) >= shape.gang
        total = 0
        for _, index in self.fleet.indexes(View.FREE):
            total += index.members(need)
        return total >= shape.gang

    def urgent(self, job: Job) -> bool:
        """Return whether a job belongs to an urgent class."""
        return is_urgent(self.class_by_name.get(job.class_name))

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
            self.wake_all = True
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
