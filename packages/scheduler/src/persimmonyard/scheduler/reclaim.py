"""Choice of the cheapest borrowers to preempt."""

from collections.abc import Callable

from persimmonyard.scheduler.placement import Members
from persimmonyard.scheduler.vector import (
    Vector,
    add,
    covers,
    member_need,
    scale,
)
from persimmonyard.scheduler.work import Kind, Task, Work

__all__ = ["choose_victims", "loss"]

# Accelerator seconds that a checkpoint and a restart from it cost each
# accelerator of a task.
CHECKPOINT_LOSS_S = 30.0


def loss(task: Task, now: float) -> float:
    """Return the accelerator seconds that preempting a task throws away."""
    width = max(1, task.job.shape.accelerators) * task.job.shape.gang
    if task.since is None:
        return 0.0
    if task.job.checkpointable:
        return CHECKPOINT_LOSS_S * width
    return max(0.0, now - task.since) * width


def choose_victims(
    work: Work,
    members: Members,
    need: Vector,
    may_stop: Callable[[Task], bool],
    now: float,
) -> list[Task] | None:
    """Return borrowers whose end frees ``need`` for each of ``members``.

    ``None`` means that stopping all of them would not be enough.
    """
    chosen: dict[str, Task] = {}
    for node_id, count in members.items():
        wanted = scale(need, count)
        if not _choose_on(work, node_id, wanted, may_stop, now, chosen):
            return None
    _spare(work, members, need, chosen, now)
    return list(chosen.values())


def _choose_on(
    work: Work,
    node_id: str,
    wanted: Vector,
    may_stop: Callable[[Task], bool],
    now: float,
    chosen: dict[str, Task],
) -> bool:
    free = _free_after(work, node_id, chosen)
    candidates = []
    for task in work.tasks_on(work.fleet.node_by_id[node_id]):
        if task.kind != Kind.BORROWER or task.stopping:
            continue
        if task.job.request_id in chosen or not may_stop(task):
            continue
        candidates.append((loss(task, now), task.job.request_id, task))
    candidates.sort(key=lambda one: one[:2])
    for _, request_id, task in candidates:
        if covers(free, wanted):
            return True
        chosen[request_id] = task
        free = add(free, _held(task, node_id))
    return covers(free, wanted)


def _spare(
    work: Work,
    members: Members,
    need: Vector,
    chosen: dict[str, Task],
    now: float,
) -> None:
    """Drop victims that are not needed, the dearest first."""
    dearest = sorted(chosen.values(), key=lambda task: -loss(task, now))
    for task in dearest:
        request_id = task.job.request_id
        del chosen[request_id]
        for node_id in task.members:
            if node_id not in members:
                continue
            wanted = scale(need, members[node_id])
            if not covers(_free_after(work, node_id, chosen), wanted):
                chosen[request_id] = task
                break


def _free_after(work: Work, node_id: str, chosen: dict[str, Task]) -> Vector:
    free = work.fleet.node_by_id[node_id].free
    for task in chosen.values():
        if node_id in task.members:
            free = add(free, _held(task, node_id))
    return free


def _held(task: Task, node_id: str) -> Vector:
    return scale(member_need(task.job.shape), task.members[node_id])
