"""Evacuation of zones out of service and of upstreams that are leaving."""

from persimmonyard.scheduler.allocations import Task, preemptible
from persimmonyard.scheduler.decisions import Decision, Preempt, Reason
from persimmonyard.scheduler.planner import PlacementPlanner
from persimmonyard.scheduler.state import SchedulerState

__all__ = ["Evacuation", "claim_migration_target"]

# Tasks examined in one call, and the interval in seconds between calls while
# tasks are left.
MAX_TASKS_PER_RUN = 16
INTERVAL_S = 0.2


class Evacuation:
    """Preempt tasks that have to move, at a limited rate for each zone.

    A task is preempted only once capacity for its next attempt is claimed.
    """

    def __init__(self, state: SchedulerState, planner: PlacementPlanner) -> None:
        self._state = state
        self._planner = planner

    def next_wakeup(self, last_decision_at: float) -> float | None:
        """Return when tasks are examined next, ``None`` if none are left."""
        if not self._state.evacuee_zone_by_id:
            return None
        return last_decision_at + INTERVAL_S

    def run(self, now: float, decisions: list[Decision]) -> None:
        """Preempt the tasks that can be moved now."""
        state = self._state
        evacuees = state.evacuee_zone_by_id
        for request_id in list(evacuees)[:MAX_TASKS_PER_RUN]:
            # Tasks that cannot move yet go to the end of the dictionary, so
            # that the limit does not keep the others from being examined.
            zone = evacuees.pop(request_id)
            task = state.allocations.task_by_id.get(request_id)
            if task is None or not self._must_move(task):
                continue
            evacuees[request_id] = zone
            if task.stopping or not state.zone_rate_limits.may_evacuate(zone, now):
                continue
            reason = Reason("evacuated", f"moved out of zone {zone}")
            if claim_migration_target(state, self._planner, task, reason, now):
                state.zone_rate_limits.record_evacuation(zone)
                state.allocations.set_stopping(task, True)
                decisions.append(
                    Preempt(
                        request_id,
                        task.number,
                        task.job.checkpointable,
                        request_id,
                        reason,
                    )
                )

    def _must_move(self, task: Task) -> bool:
        if not preemptible(task.job):
            return False
        fleet = self._state.fleet
        for node in fleet.nodes(task.members):
            if node.leaving or node.zone in fleet.out_of_service_zones:
                return True
        return False


def claim_migration_target(
    state: SchedulerState,
    planner: PlacementPlanner,
    task: Task,
    reason: Reason,
    now: float,
    excluded: frozenset[str] = frozenset(),
) -> bool:
    """Claim unused capacity for a task's next attempt.

    ``excluded`` holds upstreams that must not be used.  Return whether there
    was enough capacity.
    """
    plan = planner.plan(task.job, now, preempt=False, excluded=excluded)
    if plan is None:
        return False
    ids: list[str] = []
    for node_id, count in plan.members.items():
        ids += [node_id] * count
    claim = Task(
        job=task.job,
        number=task.number + 1,
        upstream_ids=tuple(ids),
        members=dict(plan.members),
        kind=plan.kind,
        urgent=task.urgent,
        placed_at=now,
        victims={task.job.request_id},
        reason=reason.text,
        awaits_job=True,
    )
    state.allocations.claim(claim)
    return True
