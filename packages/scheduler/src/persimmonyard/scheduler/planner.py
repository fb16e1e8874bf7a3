"""Planning of a job's placement and of the preemptions that it needs."""

from collections.abc import Callable
from typing import NamedTuple

from persimmonyard.scheduler.allocations import Task, TaskKind, preemptible
from persimmonyard.scheduler.decisions import Reason
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fit_index import RackKey
from persimmonyard.scheduler.fleet import CapacityView, Node
from persimmonyard.scheduler.placement import (
    MemberCapacity,
    MemberCounts,
    search_index,
    search_nodes,
)
from persimmonyard.scheduler.state import SchedulerState
from persimmonyard.scheduler.vector import (
    Vector,
    add,
    elementwise_min,
    fit_count,
    member_need,
    scale,
    subtract,
)
from persimmonyard.scheduler.victim_selection import choose_victims

__all__ = ["PlacementPlan", "PlacementPlanner"]

# A non-preemptible job may use capacity reserved for another job only if it is
# expected to end before that job starts.  Its expected end is based on this
# quantile of its run time.
BACKFILL_QUANTILE = 0.9

# Upstreams examined when a non-preemptible job may combine the guaranteed
# capacity of its account with surplus capacity.
MAX_CANDIDATE_UPSTREAMS = 256

IN_GUARANTEE = Reason("in_guarantee", "inside the guarantee of its client account")
UNNEEDED = Reason("unneeded", "on capacity that no guarantee needs")
BORROWED = Reason("borrowed", "on guaranteed capacity that others do not use")
RECLAIMED = Reason("reclaimed", "on guaranteed capacity taken back from borrowers")
RESERVED = Reason("held", "on capacity that was held back for it")
URGENT = Reason("urgent", "urgent work that takes the place of borrowers")
APART = Reason("apart", "on an empty upstream since one crashed under it")
PROBE = Reason("probe", "probes an upstream whose quarantine has ended")
NO_CAPACITY = Reason("no_capacity", "not enough free capacity now")
LAYOUT_PENDING = Reason("layout", "waits until guarantees are laid out anew")


class PlacementPlan(NamedTuple):
    """Members for a job, and the tasks that must end before it starts."""

    members: MemberCounts
    kind: TaskKind
    victims: list[Task]
    reason: Reason


class PlacementPlanner:
    """Find the upstreams for one waiting job at a time.

    ``persimmonyard.jobs.Planner`` is another planner, for the units of jobs.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def fits_unused_guarantee(self, job: Job, now: float) -> bool:
        """Return whether the job fits in its account's unused guarantee."""
        return _Search(self._state, job, now, frozenset()).fits_unused_guarantee()

    def plan(
        self,
        job: Job,
        now: float,
        preempt: bool = True,
        excluded: frozenset[str] = frozenset(),
    ) -> PlacementPlan | None:
        """Return where a job can be placed now, ``None`` if nowhere.

        Without ``preempt`` only unused capacity is considered.  ``excluded``
        holds upstreams that must not be used.
        """
        search = _Search(self._state, job, now, excluded)
        steps = [
            search.on_empty_upstream,
            search.on_probed_upstream,
            search.in_unused_guarantee,
            search.on_surplus,
        ]
        if preempt:
            steps.append(search.in_reclaimed_guarantee)
        if search.preemptible:
            steps.append(search.by_borrowing)
        else:
            steps.append(search.after_relocating_blocks)
        if preempt:
            steps.append(search.on_reserved_capacity)
        if preempt and self._state.urgent(job):
            steps.append(search.by_urgent_preemption)
        for step in steps:
            plan = step()
            if plan is not None:
                return plan
        return None


class _Search:
    """The placement steps for one job, from the cheapest to the costliest."""

    def __init__(
        self, state: SchedulerState, job: Job, now: float, excluded: frozenset[str]
    ) -> None:
        self._state = state
        self._fleet = state.fleet
        self._job = job
        self._now = now
        self._account = job.client_account
        self._need = member_need(job.shape)
        self.preemptible = preemptible(job)
        run_s = state.run_time_estimator.predict(job, BACKFILL_QUANTILE)
        self._expected_end = now + run_s
        self._avoid = job.avoid
        if job.avoid and not state.ever_fits(job.shape, job.avoid):
            self._avoid = frozenset()
        self._avoid |= excluded
        self._unused_guarantee_by_id = self._find_unused_guarantee()
        self._allowed_zones: frozenset[str] | None = None
        throttled = state.zone_rate_limits.throttled(now)
        if throttled:
            self._allowed_zones = frozenset(self._fleet.ids_by_zone) - throttled

    def on_empty_upstream(self) -> PlacementPlan | None:
        """Use empty upstreams for a job under which an upstream has crashed.

        If it is to blame, it then takes no other work along.
        """
        if not self._job.crashes or not self.preemptible:
            return None

        def available(node: Node) -> Vector:
            return (
                node.free
                if node.free == node.capacity
                else subtract(node.free, node.free)
            )

        members = self._search_view(CapacityView.FREE, available)
        if members is None:
            return None
        return PlacementPlan(members, TaskKind.BORROWER, [], APART)

    def on_probed_upstream(self) -> PlacementPlan | None:
        """Use an upstream that needs a probe after its quarantine."""
        probing = self._state.quarantine_manager.probing_ids
        job = self._job
        if not probing or not job.idempotent or job.shape.gang > 1:
            return None
        if job.crashes:
            return None
        if self._state.urgent(job):
            return None

        def member_capacity(node: Node) -> int:
            if node.node_id in self._avoid or not self._fleet.usable(node):
                return 0
            if node.free != node.capacity:
                return 0
            return fit_count(self._need, node.free)

        nodes = self._fleet.nodes(sorted(probing))
        members = search_nodes(nodes, job.shape, member_capacity, self._allowed_zones)
        if members is None:
            return None
        return PlacementPlan(members, TaskKind.BORROWER, [], PROBE)

    def fits_unused_guarantee(self) -> bool:
        """Return whether the job fits in its account's unused guarantee."""
        return bool(self._unused_guarantee_by_id)

    def in_unused_guarantee(self) -> PlacementPlan | None:
        """Use unused guaranteed capacity of the job's account that is free."""
        if not self._unused_guarantee_by_id:
            return None

        def available(node: Node) -> Vector:
            return elementwise_min(
                self._unused_guarantee_by_id[node.node_id], node.free
            )

        return self._in_guarantee(available, IN_GUARANTEE)

    def _find_unused_guarantee(self) -> dict[str, Vector]:
        """Return the account's unused guaranteed capacity by upstream.

        Only upstreams on which a member fits are included.  The result is
        empty if the whole gang does not fit on them.
        """
        unused_by_id = {}
        count = 0
        ids = self._fleet.guaranteed_ids_by_account.get(self._account, ())
        for node in self._fleet.nodes(sorted(ids)):
            unused = node.unused_guaranteed(self._account)
            member_count = fit_count(self._need, unused)
            if member_count:
                unused_by_id[node.node_id] = unused
                count += member_count
        return unused_by_id if count >= self._job.shape.gang else {}

    def in_reclaimed_guarantee(self) -> PlacementPlan | None:
        """Use guaranteed capacity of the account and preempt its borrowers."""
        if not self._unused_guarantee_by_id:
            return None

        def available(node: Node) -> Vector:
            reclaimable = node.reclaimable(node.borrowed)
            return elementwise_min(
                self._unused_guarantee_by_id[node.node_id], reclaimable
            )

        plan = self._in_guarantee(available, RECLAIMED)
        if plan is None:
            return None
        return self._with_victims(plan, lambda task: True)

    def _in_guarantee(
        self, available: Callable[[Node], Vector], reason: Reason
    ) -> PlacementPlan | None:
        nodes = self._fleet.nodes(self._unused_guarantee_by_id)
        member_capacity = self._member_capacity(available, respect_reservations=False)
        members = search_nodes(
            nodes, self._job.shape, member_capacity, self._allowed_zones
        )
        if members is None:
            return None
        kind = TaskKind.HOME if self.preemptible else TaskKind.FIXED
        return PlacementPlan(members, kind, [], reason)

    def on_surplus(self) -> PlacementPlan | None:
        """Use free capacity that no guarantee needs."""
        if self._state.layout.pending and not self.preemptible:
            return None
        members = self._search_view(CapacityView.SURPLUS, self._surplus_on)
        if members is None and not self.preemptible:
            members = self._own_guarantee_and_surplus()
        if members is None:
            return None
        kind = TaskKind.BORROWER if self.preemptible else TaskKind.FIXED
        return PlacementPlan(members, kind, [], UNNEEDED)

    def _own_guarantee_and_surplus(self) -> MemberCounts | None:
        """Combine guaranteed capacity of the account with surplus capacity.

        For gangs, all upstreams in the racks with guaranteed capacity of the
        account are searched.
        """
        ids = self._fleet.guaranteed_ids_by_account.get(self._account)
        if not ids:
            return None
        racks: list[RackKey] = []
        if self._job.shape.gang > 1:
            racks = sorted({self._fleet.node_by_id[node_id].rack for node_id in ids})
        candidate_ids = set(ids)
        for zone, index in self._fleet.indexes(CapacityView.SURPLUS):
            for rack in racks:
                if rack[0] == zone and len(candidate_ids) < MAX_CANDIDATE_UPSTREAMS:
                    candidate_ids.update(index.ids_in_rack(rack))
        member_capacity = self._member_capacity(self._surplus_on)
        nodes = self._fleet.nodes(sorted(candidate_ids))
        return search_nodes(
            nodes, self._job.shape, member_capacity, self._allowed_zones
        )

    def by_borrowing(self) -> PlacementPlan | None:
        """Borrow free capacity, even if it is guaranteed to others."""
        members = self._search_view(CapacityView.FREE, lambda node: node.free)
        if members is None:
            return None
        return PlacementPlan(members, TaskKind.BORROWER, [], BORROWED)

    def after_relocating_blocks(self) -> PlacementPlan | None:
        """Use free capacity after moving unused guaranteed blocks away.

        This is for non-preemptible jobs, because they cannot borrow.
        """
        if self._state.layout.pending:
            return None
        members = self._search_view(CapacityView.FREE, lambda node: node.free)
        if members is None:
            return None
        if not self._state.layout.make_room(self._account, self._need, members):
            return None
        self._state.update_layout(0)
        return PlacementPlan(members, TaskKind.FIXED, [], UNNEEDED)

    def on_reserved_capacity(self) -> PlacementPlan | None:
        """Use the capacity that is reserved for the job.

        Borrowers that were placed there after the reservation are preempted.
        """
        reservation = self._state.reservations.reservation_by_id.get(
            self._job.request_id
        )
        if reservation is None:
            return None

        nodes = self._fleet.nodes(reservation.node_ids)
        bound = sum(node.free[0] + node.borrowed[0] for node in nodes)
        if bound < self._need[0] * self._job.shape.gang:
            return None

        def may_preempt(task: Task) -> bool:
            return task.placed_at >= reservation.reserved_at

        def available(node: Node) -> Vector:
            total = node.free
            for task in self._state.allocations.tasks_on(node):
                if (
                    task.kind != TaskKind.BORROWER
                    or task.stopping
                    or not may_preempt(task)
                ):
                    continue
                need = member_need(task.job.shape)
                total = add(total, scale(need, task.members[node.node_id]))
            return self._capped_by_guarantees(node, total)

        member_capacity = self._member_capacity(available)
        members = search_nodes(
            nodes, self._job.shape, member_capacity, self._allowed_zones
        )
        if members is None:
            return None
        kind = TaskKind.BORROWER if self.preemptible else TaskKind.FIXED
        return self._with_victims(
            PlacementPlan(members, kind, [], RESERVED), may_preempt
        )

    def by_urgent_preemption(self) -> PlacementPlan | None:
        """Preempt borrowers that are not urgent."""

        def available(node: Node) -> Vector:
            return self._capped_by_guarantees(
                node, node.reclaimable(node.nonurgent_borrowed)
            )

        members = self._search_view(CapacityView.RECLAIMABLE, available)
        if members is None:
            return None
        kind = TaskKind.BORROWER if self.preemptible else TaskKind.FIXED
        plan = PlacementPlan(members, kind, [], URGENT)
        return self._with_victims(plan, lambda task: not task.urgent)

    def _surplus_on(self, node: Node) -> Vector:
        if self.preemptible:
            return elementwise_min(node.free, node.uncommitted())
        return elementwise_min(node.free, node.pinnable(self._account))

    def _capped_by_guarantees(self, node: Node, total: Vector) -> Vector:
        if self.preemptible:
            return total
        return elementwise_min(total, node.pinnable(self._account))

    def _member_capacity(
        self, available: Callable[[Node], Vector], respect_reservations: bool = True
    ) -> MemberCapacity:
        reservations = self._state.reservations

        def member_capacity(node: Node) -> int:
            if node.node_id in self._avoid or not self._fleet.usable(node):
                return 0
            if respect_reservations and reservations.would_delay_owner(
                node, self._job, self._expected_end
            ):
                return 0
            return fit_count(self._need, available(node))

        return member_capacity

    def _search_view(
        self, view: CapacityView, available: Callable[[Node], Vector]
    ) -> MemberCounts | None:
        member_capacity = self._member_capacity(available)
        return search_index(
            self._fleet, view, self._job.shape, member_capacity, self._allowed_zones
        )

    def _with_victims(
        self, plan: PlacementPlan, may_preempt: Callable[[Task], bool]
    ) -> PlacementPlan | None:
        victims = choose_victims(
            self._state.allocations, plan.members, self._need, may_preempt, self._now
        )
        if victims is None:
            return None
        return plan._replace(victims=victims)
