"""Running tasks and claims, and the capacity that they use on the fleet."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Fleet, Node
from persimmonyard.scheduler.placement import MemberCounts
from persimmonyard.scheduler.vector import (
    ZERO,
    Vector,
    add,
    covers,
    member_need,
    scale,
    subtract,
)

__all__ = ["Allocations", "Task", "TaskKind", "preemptible"]


class TaskKind(StrEnum):
    """How the capacity of a task is accounted.

    ``HOME`` tasks are preemptible and inside their account's guarantee.
    ``FIXED`` tasks are not preemptible.  ``BORROWER`` tasks are outside the
    guarantee and may be preempted for other requests.
    """

    HOME = "home"
    FIXED = "fixed"
    BORROWER = "borrower"


def preemptible(job: Job) -> bool:
    """Return whether a job can be stopped and run again later."""
    return job.idempotent or job.checkpointable


@dataclass
class Task:
    """A running attempt, or a claim of capacity for the next attempt.

    ``members`` counts the members by upstream, without those whose upstream
    has restarted since the placement.  ``victims`` are the requests whose
    attempts must end before a claim can be placed.  ``awaits_job`` marks a
    claim for a job that still runs, or that has not been reported as waiting
    since its last attempt ended.
    """

    job: Job
    number: int
    upstream_ids: tuple[str, ...]
    members: MemberCounts
    kind: TaskKind
    urgent: bool
    placed_at: float
    running_since: float | None = None
    stopping: bool = False
    victims: set[str] = field(default_factory=set)
    claimed: bool = False
    awaits_job: bool = False
    reason: str = ""


class Allocations:
    """Tasks and claims by request; updates the fleet's usage with them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.task_by_id: dict[str, Task] = {}
        self.claim_by_id: dict[str, Task] = {}
        self.claim_ids_by_victim: dict[str, set[str]] = {}
        self.accelerators_by_account: dict[str, int] = {}

    def start(self, task: Task) -> None:
        """Add a running task and allocate its capacity."""
        request_id = task.job.request_id
        self.task_by_id[request_id] = task
        for node_id, count in task.members.items():
            self.fleet.node_by_id[node_id].task_ids[request_id] = count
        self._change_allocation(task, 1)

    def end(self, request_id: str) -> Task:
        """Remove a running task and release its capacity."""
        task = self.task_by_id.pop(request_id)
        for node_id in task.members:
            del self.fleet.node_by_id[node_id].task_ids[request_id]
        self._change_allocation(task, -1)
        return task

    def start_claim(self, request_id: str) -> None:
        """Turn a claim without victims into a running task."""
        task = self.claim_by_id.pop(request_id)
        self.task_by_id[request_id] = task
        self._update_usage(task, task.members, -1)
        task.claimed = False
        self._update_usage(task, task.members, 1)
        for node_id, count in task.members.items():
            node = self.fleet.node_by_id[node_id]
            node.task_ids[request_id] = count
            if task.kind == TaskKind.BORROWER:
                self.fleet.refresh(node)

    def claim(self, task: Task) -> None:
        """Claim capacity for a job until its victims have ended."""
        task.claimed = True
        self.claim_by_id[task.job.request_id] = task
        for victim in task.victims:
            ids = self.claim_ids_by_victim.setdefault(victim, set())
            ids.add(task.job.request_id)
        self._change_allocation(task, 1)

    def drop_claim(self, request_id: str) -> Task:
        """Remove a claim and release its capacity."""
        task = self.claim_by_id.pop(request_id)
        for victim in task.victims:
            ids = self.claim_ids_by_victim[victim]
            ids.discard(request_id)
            if not ids:
                del self.claim_ids_by_victim[victim]
        self._change_allocation(task, -1)
        task.claimed = False
        return task

    def victim_ended(self, request_id: str) -> list[str]:
        """Remove a victim from its claims; return those without victims."""
        ready = []
        for claim_id in sorted(self.claim_ids_by_victim.pop(request_id, ())):
            claim = self.claim_by_id[claim_id]
            claim.victims.discard(request_id)
            if not claim.victims:
                ready.append(claim_id)
        return ready

    def set_kind(self, task: Task, kind: TaskKind) -> None:
        """Change how the capacity of a running task is accounted."""
        if task.kind == kind:
            return
        self._update_usage(task, task.members, -1)
        task.kind = kind
        self._update_usage(task, task.members, 1)
        self._refresh(task.members)

    def set_stopping(self, task: Task, stopping: bool) -> None:
        """Record whether a task is being preempted."""
        if task.stopping == stopping:
            return
        self._update_usage(task, task.members, -1)
        task.stopping = stopping
        self._update_usage(task, task.members, 1)
        self._refresh(task.members)

    def release_members(self, node: Node) -> None:
        """Release all members on an incarnation that has ended."""
        for request_id in list(node.task_ids):
            self._remove_member(self.task_by_id[request_id], node)
        node.task_ids.clear()

    def _remove_member(self, task: Task, node: Node) -> None:
        members = {node.node_id: task.members.pop(node.node_id)}
        self._update_usage(task, members, -1)
        self.fleet.release(node, _task_resources(task, members[node.node_id]))

    def tasks_on(self, node: Node) -> Iterator[Task]:
        """Yield the running tasks with members on an upstream."""
        for request_id in node.task_ids:
            yield self.task_by_id[request_id]

    def within_guarantee(self, task: Task) -> bool:
        """Return whether the guarantee of a pinned task's account covers it.

        That is the case if on each of the task's nodes the account's
        guaranteed capacity covers its pinned capacity.  Slots are not
        compared.
        """
        account = task.job.client_account
        for node in self.fleet.nodes(task.members):
            guaranteed = node.guaranteed_by_account.get(account, ZERO)
            pinned = node.pinned_by_account.get(account, ZERO)
            if not _covers_without_slots(guaranteed, pinned):
                return False
        return True

    def fits_guarantee(self, task: Task) -> bool:
        """Return whether a borrower fits in its account's unused guarantee."""
        for node_id, count in task.members.items():
            node = self.fleet.node_by_id[node_id]
            unused = node.unused_guaranteed(task.job.client_account)
            if not covers(unused, _task_resources(task, count)):
                return False
        return bool(task.members)

    def _change_allocation(self, task: Task, sign: int) -> None:
        account = task.job.client_account
        accelerators = sign * task.job.shape.accelerators * task.job.shape.gang
        used = self.accelerators_by_account.get(account, 0) + accelerators
        self.accelerators_by_account[account] = used
        self._update_usage(task, task.members, sign)
        for node_id, count in task.members.items():
            node = self.fleet.node_by_id[node_id]
            if sign > 0:
                self.fleet.allocate(node, _task_resources(task, count))
            else:
                self.fleet.release(node, _task_resources(task, count))
        self._refresh(task.members)

    def _update_usage(self, task: Task, members: MemberCounts, sign: int) -> None:
        account = task.job.client_account
        for node_id, count in members.items():
            node = self.fleet.node_by_id[node_id]
            amount = _task_resources(task, sign * count)
            if task.kind == TaskKind.BORROWER:
                if task.claimed:
                    continue
                self.fleet.add_borrowers(node, account, sign * count)
                if task.stopping:
                    node.stopping_borrowed = add(node.stopping_borrowed, amount)
                    continue
                node.borrowed = add(node.borrowed, amount)
                if not task.urgent:
                    node.nonurgent_borrowed = add(node.nonurgent_borrowed, amount)
                continue
            self.fleet.pin(node, account, amount)
            if task.kind == TaskKind.HOME:
                pinned = add(
                    node.preemptible_pinned_by_account.get(account, ZERO), amount
                )
                node.preemptible_pinned_by_account[account] = pinned
                if pinned == ZERO:
                    del node.preemptible_pinned_by_account[account]

    def _refresh(self, members: MemberCounts) -> None:
        for node_id in members:
            self.fleet.refresh(self.fleet.node_by_id[node_id])


def _task_resources(task: Task, count: int) -> Vector:
    return scale(member_need(task.job.shape), count)


def _covers_without_slots(guaranteed: Vector, pinned: Vector) -> bool:
    left = subtract(guaranteed, pinned)
    return min(left[0], left[1], left[2]) >= 0
