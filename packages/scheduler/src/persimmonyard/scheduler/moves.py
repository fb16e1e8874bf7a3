"""Moves a few checkpointable tasks aside so that a waiting job fits."""

from persimmonyard.model import Adjacency
from persimmonyard.scheduler.allocations import Task, TaskKind, preemptible
from persimmonyard.scheduler.decisions import Reason
from persimmonyard.scheduler.evacuation import claim_move
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Node
from persimmonyard.scheduler.placement import search_nodes
from persimmonyard.scheduler.planner import Plan, Planner
from persimmonyard.scheduler.reclaim import choose_victims, loss
from persimmonyard.scheduler.reservations import BackfillReservation
from persimmonyard.scheduler.state import SchedulerState
from persimmonyard.scheduler.vector import (
    add,
    elementwise_min,
    fit_count,
    member_need,
    scale,
)

__all__ = ["Moves"]

# More moves at once cost more planning than the wait they save is sure of.
MAX_MOVES = 4

# The accelerator seconds gained must be this many times those lost, because
# the expected wait is a prediction.
GAIN_OVER_LOSS = 2.0

# Seconds between two looks at the same job.
RETRY_S = 30.0

MOVED = Reason("moved", "on capacity from which a few tasks were moved away")
MOVED_AWAY = Reason("moved_away", "moved so that a waiting job fits")


class Moves:
    """Plan moves for a job that would otherwise wait for its hold."""

    def __init__(self, state: SchedulerState, planner: Planner) -> None:
        self._state = state
        self._planner = planner
        # When the owner of a hold is next looked at; at most one entry for
        # each hold and each job that had one lately.
        self._next_by_id: dict[str, float] = {}

    def forget(self, now: float) -> None:
        """Drop the times that are past."""
        for request_id, due in list(self._next_by_id.items()):
            if due <= now:
                del self._next_by_id[request_id]

    def plan(self, job: Job, now: float) -> Plan | None:
        """Return a plan whose victims have claims elsewhere, if that pays."""
        reservation = self._state.reservations.reservation_by_id.get(job.request_id)
        if reservation is None or reservation.starts_at <= now:
            return None
        if now < self._next_by_id.get(job.request_id, now):
            return None
        self._next_by_id[job.request_id] = now + RETRY_S
        need = member_need(job.shape)
        nodes = self._targets(job, reservation)
        members = search_nodes(nodes, job.shape, lambda node: self._room(job, node))
        if members is None:
            return None
        allocations = self._state.allocations
        victims = choose_victims(allocations, members, need, _movable, now)
        if victims is None or not self._pays(job, reservation, victims, now):
            return None
        moved = [task for task in victims if not task.stopping]
        if not self._claim_all(moved, frozenset(members), now):
            return None
        kind = TaskKind.BORROWER if preemptible(job) else TaskKind.FIXED
        return Plan(members, kind, victims, MOVED)

    def _targets(self, job: Job, reservation: BackfillReservation) -> list[Node]:
        fleet = self._state.fleet
        nodes = fleet.nodes(reservation.node_ids)
        if job.shape.adjacency == Adjacency.RACK:
            nodes = fleet.nodes(sorted(fleet.ids_by_rack[nodes[0].rack]))
        return nodes

    def _room(self, job: Job, node: Node) -> int:
        holder = self._state.reservations.owner(node)
        if holder not in (None, job.request_id) or node.node_id in job.avoid:
            return 0
        if not self._state.fleet.accepts_guarantees(node):
            return 0
        total = node.free
        for task in self._state.allocations.tasks_on(node):
            if task.kind == TaskKind.BORROWER and not task.stopping and _movable(task):
                held = scale(member_need(task.job.shape), task.members[node.node_id])
                total = add(total, held)
        if not preemptible(job):
            total = elementwise_min(total, node.pinnable(job.client_account))
        return fit_count(member_need(job.shape), total)

    def _pays(
        self,
        job: Job,
        reservation: BackfillReservation,
        victims: list[Task],
        now: float,
    ) -> bool:
        if not victims or len(victims) > MAX_MOVES:
            return False
        width = max(1, job.shape.accelerators) * job.shape.gang
        gain = (reservation.starts_at - now) * width
        return gain > GAIN_OVER_LOSS * sum(loss(task, now) for task in victims)

    def _claim_all(
        self, victims: list[Task], targets: frozenset[str], now: float
    ) -> bool:
        claimed: list[Task] = []
        for task in victims:
            if claim_move(self._state, self._planner, task, MOVED_AWAY, now, targets):
                claimed.append(task)
                continue
            for other in claimed:
                self._state.allocations.drop_claim(other.job.request_id)
            return False
        return True


def _movable(task: Task) -> bool:
    return task.job.checkpointable and not task.urgent
