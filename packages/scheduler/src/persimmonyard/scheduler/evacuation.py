"""Moves work out of closed zones and off upstreams that leave."""

from persimmonyard.scheduler.allocations import Task, preemptible
from persimmonyard.scheduler.decisions import Decision, Preempt, Reason
from persimmonyard.scheduler.planner import Planner
from persimmonyard.scheduler.state import SchedulerState

__all__ = ["Evacuation", "claim_move"]

# Tasks looked at in one call, and the pause between two calls while some
# are left.
MAX_LOOKED_AT = 16
TICK_S = 0.2


class Evacuation:
    """Preempt tasks to be moved, at a bounded rate and only with room."""

    def __init__(self, state: SchedulerState, planner: Planner) -> None:
        self._state = state
        self._planner = planner

    def next_wakeup(self, decided_at: float) -> float | None:
        """Return when the next tasks are looked at."""
        if not self._state.evacuee_zone_by_id:
            return None
        return decided_at + TICK_S

    def run(self, now: float, decisions: list[Decision]) -> None:
        """Preempt the tasks that can be moved now."""
        state = self._state
        evacuees = state.evacuee_zone_by_id
        for request_id in list(evacuees)[:MAX_LOOKED_AT]:
            # Those that stay go to the end, so that all get their turn.
            zone = evacuees.pop(request_id)
            task = state.allocations.task_by_id.get(request_id)
            if task is None or not self._has_to_go(task):
                continue
            evacuees[request_id] = zone
            if task.stopping or not state.zone_rate_limits.may_evacuate(zone, now):
                continue
            reason = Reason("evacuated", f"moved out of zone {zone}")
            if claim_move(state, self._planner, task, reason, now):
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

    def _has_to_go(self, task: Task) -> bool:
        if not preemptible(task.job):
            return False
        fleet = self._state.fleet
        for node in fleet.nodes(task.members):
            if node.leaving or node.zone in fleet.closed_zones:
                return True
        return False


def claim_move(
    state: SchedulerState,
    planner: Planner,
    task: Task,
    reason: Reason,
    now: float,
    excluded: frozenset[str] = frozenset(),
) -> bool:
    """Claim unused capacity for a task's next attempt.

    Return whether there was room.
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
