"""Selection of the borrowers that are cheapest to preempt."""

from collections.abc import Callable

from persimmonyard.scheduler.allocations import Allocations, Task, TaskKind
from persimmonyard.scheduler.placement import MemberCounts
from persimmonyard.scheduler.vector import (
    Vector,
    add,
    covers,
    member_need,
    scale,
)

__all__ = ["choose_victims", "preemption_cost"]

# Seconds that each accelerator of a task loses to a checkpoint and a restart
# from it.
CHECKPOINT_COST_S = 30.0


def preemption_cost(task: Task, now: float) -> float:
    """Return the accelerator seconds lost if a task is preempted.

    A task without accelerators counts as one accelerator for each member.
    """
    if task.stopping:
        return 0.0
    accelerator_count = max(1, task.job.shape.accelerators) * task.job.shape.gang
    if task.running_since is None:
        return 0.0
    if task.job.checkpointable:
        return CHECKPOINT_COST_S * accelerator_count
    return max(0.0, now - task.running_since) * accelerator_count


def choose_victims(
    allocations: Allocations,
    members: MemberCounts,
    need: Vector,
    may_preempt: Callable[[Task], bool],
    now: float,
) -> list[Task] | None:
    """Return borrowers to preempt so that ``need`` is free for each member.

    The result includes borrowers that are already being preempted.  ``None``
    means that preempting all of them would not free enough.
    """
    selection = _VictimSelection(allocations, now)
    for node_id, count in members.items():
        if not selection.select_on(node_id, scale(need, count), may_preempt):
            return None
    selection.drop_unneeded(
        {node_id: scale(need, count) for node_id, count in members.items()}
    )
    return list(selection.task_by_id.values())


class _VictimSelection:
    """Victims selected so far and the capacity that is free after they end."""

    def __init__(self, allocations: Allocations, now: float) -> None:
        self._allocations = allocations
        self._now = now
        self._free_by_id: dict[str, Vector] = {}
        self.task_by_id: dict[str, Task] = {}

    def select_on(
        self, node_id: str, wanted: Vector, may_preempt: Callable[[Task], bool]
    ) -> bool:
        """Select the cheapest tasks on an upstream until ``wanted`` is free.

        Return whether that much can be freed.
        """
        candidates = []
        for task in self._allocations.tasks_on(
            self._allocations.fleet.node_by_id[node_id]
        ):
            if task.kind != TaskKind.BORROWER or task.job.request_id in self.task_by_id:
                continue
            if not task.stopping and not may_preempt(task):
                continue
            candidates.append(
                (preemption_cost(task, self._now), task.job.request_id, task)
            )
        candidates.sort(key=lambda candidate: candidate[:2])
        for _, request_id, task in candidates:
            if covers(self._free(node_id), wanted):
                return True
            self.task_by_id[request_id] = task
            self._adjust_free(task, 1)
        return covers(self._free(node_id), wanted)

    def drop_unneeded(self, wanted_by_id: dict[str, Vector]) -> None:
        """Drop victims that are not needed, the costliest first."""
        tasks = list(self.task_by_id.values())
        for task in sorted(tasks, key=lambda task: -preemption_cost(task, self._now)):
            self._adjust_free(task, -1)
            if self._is_needed(task, wanted_by_id):
                self._adjust_free(task, 1)
                continue
            del self.task_by_id[task.job.request_id]

    def _is_needed(self, task: Task, wanted_by_id: dict[str, Vector]) -> bool:
        for node_id in task.members:
            wanted = wanted_by_id.get(node_id)
            if wanted is not None and not covers(self._free(node_id), wanted):
                return True
        return False

    def _free(self, node_id: str) -> Vector:
        known = self._free_by_id.get(node_id)
        if known is None:
            known = self._allocations.fleet.node_by_id[node_id].free
        return known

    def _adjust_free(self, task: Task, sign: int) -> None:
        need = member_need(task.job.shape)
        for node_id, count in task.members.items():
            freed = scale(need, sign * count)
            self._free_by_id[node_id] = add(self._free(node_id), freed)
