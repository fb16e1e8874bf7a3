"""Where one waiting job goes, and what is preempted for it."""

from collections.abc import Callable
from typing import NamedTuple

from persimmonyard.scheduler.books import Books
from persimmonyard.scheduler.decisions import Reason
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fit_index import RackKey
from persimmonyard.scheduler.fleet import Node, View
from persimmonyard.scheduler.placement import (
    Members,
    Room,
    search_index,
    search_nodes,
)
from persimmonyard.scheduler.vector import (
    Vector,
    add,
    lowest,
    member_need,
    scale,
    times,
)
from persimmonyard.scheduler.victim_selection import choose_victims
from persimmonyard.scheduler.work import Kind, Task, stoppable

__all__ = ["PlacementPlan", "PlacementPlanner"]

BACKFILL_QUANTILE = 0.9

# Upstreams compared when a gang that cannot be stopped may use own cells and
# unneeded capacity together.
MAX_NEAR = 256

IN_GUARANTEE = Reason("in_guarantee", "inside the guarantee of its client account")
UNNEEDED = Reason("unneeded", "on capacity that no guarantee needs")
BORROWED = Reason("borrowed", "on guaranteed capacity that others do not use")
RECLAIMED = Reason("reclaimed", "on guaranteed capacity taken back from borrowers")
HELD = Reason("held", "on capacity that was held back for it")
URGENT = Reason("urgent", "urgent work that takes the place of borrowers")
PROBE = Reason("probe", "probes an upstream whose quarantine has ended")
NO_CAPACITY = Reason("no_capacity", "not enough free capacity now")
LAYOUT_PENDING = Reason("layout", "waits until guarantees are laid out anew")


class PlacementPlan(NamedTuple):
    """Members for a job, and the borrowers that must end first."""

    members: Members
    kind: Kind
    victims: list[Task]
    reason: Reason


class PlacementPlanner:
    """Find a place for one job at a time."""

    def __init__(self, books: Books) -> None:
        self._books = books

    def has_home(self, job: Job, now: float) -> bool:
        """Return whether unused cells of the job's account could hold it."""
        return _Search(self._books, job, now, frozenset()).has_home()

    def plan(
        self,
        job: Job,
        now: float,
        preempt: bool = True,
        excluded: frozenset[str] = frozenset(),
    ) -> PlacementPlan | None:
        """Return where a job goes now, ``None`` if nowhere.

        Without ``preempt`` only unused capacity counts.  ``excluded`` names
        upstreams that are not to be used.
        """
        search = _Search(self._books, job, now, excluded)
        steps = [search.as_probe, search.at_home, search.on_surplus]
        if preempt:
            steps.append(search.at_home_reclaimed)
        if search.stoppable:
            steps.append(search.on_free)
        else:
            steps.append(search.after_moving_cells)
        if preempt:
            steps.append(search.on_hold)
        if preempt and self._books.urgent(job):
            steps.append(search.urgently)
        for step in steps:
            plan = step()
            if plan is not None:
                return plan
        return None


class _Search:
    """The steps for one job, from the cheapest to the dearest."""

    def __init__(
        self, books: Books, job: Job, now: float, excluded: frozenset[str]
    ) -> None:
        self._books = books
        self._fleet = books.fleet
        self._job = job
        self._now = now
        self._account = job.client_account
        self._need = member_need(job.shape)
        self.stoppable = stoppable(job)
        run_s = books.run_time_estimator.predict(job, BACKFILL_QUANTILE)
        self._ends_at = now + run_s
        self._avoid = job.avoid
        if job.avoid and not books.ever_fits(job.shape, job.avoid):
            self._avoid = frozenset()
        self._avoid |= excluded
        self._home_by_id = self._find_home()
        self._zones: frozenset[str] | None = None
        cold = books.pace.cold(now)
        if cold:
            self._zones = frozenset(self._fleet.ids_by_zone) - cold

    def as_probe(self) -> PlacementPlan | None:
        """Try an upstream whose quarantine has ended."""
        probing = self._books.quarantine_manager.probing_ids
        job = self._job
        if not probing or not job.idempotent or job.shape.gang > 1:
            return None
        if self._books.urgent(job):
            return None

        def room(node: Node) -> int:
            if node.node_id in self._avoid or not self._fleet.usable(node):
                return 0
            if node.free != node.capacity:
                return 0
            return times(self._need, node.free)

        nodes = self._fleet.nodes(sorted(probing))
        members = search_nodes(nodes, job.shape, room, self._zones)
        if members is None:
            return None
        return PlacementPlan(members, Kind.BORROWER, [], PROBE)

    def has_home(self) -> bool:
        """Return whether unused cells of the account could hold the job."""
        return bool(self._home_by_id)

    def at_home(self) -> PlacementPlan | None:
        """Use unused cells of the job's own account."""
        if not self._home_by_id:
            return None

        def available(node: Node) -> Vector:
            return lowest(self._home_by_id[node.node_id], node.free)

        return self._in_cells(available, IN_GUARANTEE)

    def _find_home(self) -> dict[str, Vector]:
        """Return unused cells that hold a member, if they hold the gang."""
        home_by_id = {}
        count = 0
        ids = self._fleet.cell_ids_by_account.get(self._account, ())
        for node in self._fleet.nodes(sorted(ids)):
            room = node.home_room(self._account)
            members = times(self._need, room)
            if members:
                home_by_id[node.node_id] = room
                count += members
        return home_by_id if count >= self._job.shape.gang else {}

    def at_home_reclaimed(self) -> PlacementPlan | None:
        """Take the account's cells back from borrowers."""
        if not self._home_by_id:
            return None

        def available(node: Node) -> Vector:
            reclaimable = node.reclaimable(node.borrowed)
            return lowest(self._home_by_id[node.node_id], reclaimable)

        plan = self._in_cells(available, RECLAIMED)
        if plan is None:
            return None
        return self._with_victims(plan, lambda task: True)

    def _in_cells(
        self, available: Callable[[Node], Vector], reason: Reason
    ) -> PlacementPlan | None:
        nodes = self._fleet.nodes(self._home_by_id)
        room = self._room(available, obey_holds=False)
        members = search_nodes(nodes, self._job.shape, room, self._zones)
        if members is None:
            return None
        kind = Kind.HOME if self.stoppable else Kind.FIXED
        return PlacementPlan(members, kind, [], reason)

    def on_surplus(self) -> PlacementPlan | None:
        """Use capacity that no guarantee needs."""
        if self._books.layout.pending and not self.stoppable:
            return None
        members = self._indexed(View.SURPLUS, self._surplus)
        if members is None and not self.stoppable:
            members = self._near_cells()
        if members is None:
            return None
        kind = Kind.BORROWER if self.stoppable else Kind.FIXED
        return PlacementPlan(members, kind, [], UNNEEDED)

    def _near_cells(self) -> Members | None:
        """Combine own cells with unneeded capacity around them."""
        ids = self._fleet.cell_ids_by_account.get(self._account)
        if not ids:
            return None
        racks: list[RackKey] = []
        if self._job.shape.gang > 1:
            racks = sorted({self._fleet.node_by_id[one].rack for one in ids})
        near = set(ids)
        for zone, index in self._fleet.indexes(View.SURPLUS):
            for rack in racks:
                if rack[0] == zone and len(near) < MAX_NEAR:
                    near.update(index.ids_in_rack(rack))
        room = self._room(self._surplus)
        nodes = self._fleet.nodes(sorted(near))
        return search_nodes(nodes, self._job.shape, room, self._zones)

    def on_free(self) -> PlacementPlan | None:
        """Borrow cells that their accounts do not use."""
        members = self._indexed(View.FREE, lambda node: node.free)
        if members is None:
            return None
        return PlacementPlan(members, Kind.BORROWER, [], BORROWED)

    def after_moving_cells(self) -> PlacementPlan | None:
        """Lay unused cells elsewhere to make room for unstoppable work."""
        if self._books.layout.pending:
            return None
        members = self._indexed(View.FREE, lambda node: node.free)
        if members is None:
            return None
        if not self._books.layout.make_room(self._account, self._need, members):
            return None
        self._books.settle_layout(0)
        return PlacementPlan(members, Kind.FIXED, [], UNNEEDED)

    def on_hold(self) -> PlacementPlan | None:
        """Take held capacity, preempting what was placed there since."""
        hold = self._books.holds.hold_by_id.get(self._job.request_id)
        if hold is None:
            return None

        nodes = self._fleet.nodes(hold.node_ids)
        bound = sum(node.free[0] + node.borrowed[0] for node in nodes)
        if bound < self._need[0] * self._job.shape.gang:
            return None

        def may_stop(task: Task) -> bool:
            return task.placed_at >= hold.since

        def available(node: Node) -> Vector:
            total = node.free
            for task in self._books.work.tasks_on(node):
                if task.kind != Kind.BORROWER or task.stopping or not may_stop(task):
                    continue
                held = member_need(task.job.shape)
                total = add(total, scale(held, task.members[node.node_id]))
            return self._within_needs(node, total)

        room = self._room(available)
        members = search_nodes(nodes, self._job.shape, room, self._zones)
        if members is None:
            return None
        kind = Kind.BORROWER if self.stoppable else Kind.FIXED
        return self._with_victims(PlacementPlan(members, kind, [], HELD), may_stop)

    def urgently(self) -> PlacementPlan | None:
        """Take the place of borrowers that are not urgent."""

        def available(node: Node) -> Vector:
            return self._within_needs(node, node.reclaimable(node.calm_borrowed))

        members = self._indexed(View.RECLAIMABLE, available)
        if members is None:
            return None
        kind = Kind.BORROWER if self.stoppable else Kind.FIXED
        plan = PlacementPlan(members, kind, [], URGENT)
        return self._with_victims(plan, lambda task: not task.urgent)

    # Amounts on one upstream.

    def _surplus(self, node: Node) -> Vector:
        if self.stoppable:
            return lowest(node.free, node.open())
        return lowest(node.free, node.pinnable(self._account))

    def _within_needs(self, node: Node, total: Vector) -> Vector:
        if self.stoppable:
            return total
        return lowest(total, node.pinnable(self._account))

    def _room(
        self, available: Callable[[Node], Vector], obey_holds: bool = True
    ) -> Room:
        holds = self._books.holds

        def room(node: Node) -> int:
            if node.node_id in self._avoid or not self._fleet.usable(node):
                return 0
            if obey_holds and holds.keeps_out(node, self._job, self._ends_at):
                return 0
            return times(self._need, available(node))

        return room

    def _indexed(
        self, view: View, available: Callable[[Node], Vector]
    ) -> Members | None:
        room = self._room(available)
        return search_index(self._fleet, view, self._job.shape, room, self._zones)

    def _with_victims(
        self, plan: PlacementPlan, may_stop: Callable[[Task], bool]
    ) -> PlacementPlan | None:
        victims = choose_victims(
            self._books.work, plan.members, self._need, may_stop, self._now
        )
        if victims is None:
            return None
        return plan._replace(victims=victims)
