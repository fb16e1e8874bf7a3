"""Defragmentation: checkpointable tasks are migrated to fit a waiting job."""

from persimmonyard.model import Adjacency
from persimmonyard.scheduler.allocations import Task, TaskKind, preemptible
from persimmonyard.scheduler.decisions import Reason
from persimmonyard.scheduler.evacuation import claim_migration_target
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Node
from persimmonyard.scheduler.placement import search_nodes
from persimmonyard.scheduler.planner import PlacementPlan, PlacementPlanner
from persimmonyard.scheduler.reservations import BackfillReservation
from persimmonyard.scheduler.state import SchedulerState
from persimmonyard.scheduler.vector import (
    add,
    elementwise_min,
    fit_count,
    member_need,
    scale,
)
from persimmonyard.scheduler.victim_selection import choose_victims, preemption_cost

__all__ = ["MigrationPlanner"]

# With more migrations for one job, the cost of the planning exceeds the value
# of the uncertain gain in waiting time.
MAX_MIGRATIONS = 4

# The accelerator seconds gained must be at least this many times those lost,
# because the expected wait is only a prediction.
MIN_GAIN_TO_COST_RATIO = 2.0

# Seconds between two planning attempts for the same job.
RETRY_INTERVAL_S = 30.0

MOVED = Reason("moved", "on capacity from which a few tasks were moved away")
MOVED_AWAY = Reason("moved_away", "moved so that a waiting job fits")


class MigrationPlanner:
    """Plan migrations for a waiting job that has a reservation."""

    def __init__(self, state: SchedulerState, planner: PlacementPlanner) -> None:
        self._state = state
        self._planner = planner
        # The earliest time of the next planning, by owner of a reservation.
        # There is at most one entry for each job that has a reservation or
        # had one in the last RETRY_INTERVAL_S.
        self._next_try_by_id: dict[str, float] = {}

    def drop_expired_retry_times(self, now: float) -> None:
        """Delete the retry times that have passed."""
        for request_id, retry_at in list(self._next_try_by_id.items()):
            if retry_at <= now:
                del self._next_try_by_id[request_id]

    def plan(self, job: Job, now: float) -> PlacementPlan | None:
        """Return a plan that migrates tasks away to make room for a job.

        For each victim that is not being preempted already, capacity on other
        upstreams is claimed for its next attempt.  Return ``None`` if there
        is no such plan or if the gain does not justify its cost.
        """
        reservation = self._state.reservations.reservation_by_id.get(job.request_id)
        if reservation is None or reservation.starts_at <= now:
            return None
        if now < self._next_try_by_id.get(job.request_id, now):
            return None
        self._next_try_by_id[job.request_id] = now + RETRY_INTERVAL_S
        need = member_need(job.shape)
        nodes = self._candidate_nodes(job, reservation)
        members = search_nodes(
            nodes, job.shape, lambda node: self._member_capacity(job, node)
        )
        if members is None:
            return None
        allocations = self._state.allocations
        victims = choose_victims(allocations, members, need, _migratable, now)
        if victims is None or not self._is_worthwhile(job, reservation, victims, now):
            return None
        moved = [task for task in victims if not task.stopping]
        if not self._claim_migration_targets(moved, frozenset(members), now):
            return None
        kind = TaskKind.BORROWER if preemptible(job) else TaskKind.FIXED
        return PlacementPlan(members, kind, victims, MOVED)

    def _candidate_nodes(
        self, job: Job, reservation: BackfillReservation
    ) -> list[Node]:
        fleet = self._state.fleet
        nodes = fleet.nodes(reservation.node_ids)
        if job.shape.adjacency == Adjacency.RACK:
            nodes = fleet.nodes(sorted(fleet.ids_by_rack[nodes[0].rack]))
        return nodes

    def _member_capacity(self, job: Job, node: Node) -> int:
        owner = self._state.reservations.owner(node)
        if owner not in (None, job.request_id) or node.node_id in job.avoid:
            return 0
        if not self._state.fleet.accepts_guarantees(node):
            return 0
        total = node.free
        for task in self._state.allocations.tasks_on(node):
            if (
                task.kind == TaskKind.BORROWER
                and not task.stopping
                and _migratable(task)
            ):
                used = scale(member_need(task.job.shape), task.members[node.node_id])
                total = add(total, used)
        if not preemptible(job):
            total = elementwise_min(total, node.pinnable(job.client_account))
        return fit_count(member_need(job.shape), total)

    def _is_worthwhile(
        self,
        job: Job,
        reservation: BackfillReservation,
        victims: list[Task],
        now: float,
    ) -> bool:
        if not victims or len(victims) > MAX_MIGRATIONS:
            return False
        accelerator_count = max(1, job.shape.accelerators) * job.shape.gang
        gain = (reservation.starts_at - now) * accelerator_count
        return gain > MIN_GAIN_TO_COST_RATIO * sum(
            preemption_cost(task, now) for task in victims
        )

    def _claim_migration_targets(
        self, victims: list[Task], excluded: frozenset[str], now: float
    ) -> bool:
        claimed: list[Task] = []
        for task in victims:
            if claim_migration_target(
                self._state, self._planner, task, MOVED_AWAY, now, excluded
            ):
                claimed.append(task)
                continue
            for other in claimed:
                self._state.allocations.drop_claim(other.job.request_id)
            return False
        return True


def _migratable(task: Task) -> bool:
    return task.job.checkpointable and not task.urgent
