"""Running work and what it takes on the fleet."""

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
    """On whose behalf a task holds its capacity.

    ``HOME`` is work inside its account's guarantee.  ``FIXED`` is work that
    cannot be stopped and run again.  ``BORROWER`` is work that may be
    preempted.
    """

    HOME = "home"
    FIXED = "fixed"
    BORROWER = "borrower"


def preemptible(job: Job) -> bool:
    """Return whether a job can be stopped and run again."""
    return job.idempotent or job.checkpointable


@dataclass
class Task:
    """One attempt, or a claim of capacity for the next attempt of a job.

    ``members`` counts members by upstream; a member whose upstream has
    restarted is no longer in it.  ``victims`` are the requests whose
    attempts must end before a claim can be placed.  A claim that
    ``awaits_job`` is for a job that still runs or was not yet reported to
    wait again.
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
    """Tasks by request, with their effect on the fleet's accounts."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.task_by_id: dict[str, Task] = {}
        self.claim_by_id: dict[str, Task] = {}
        self.claim_ids_by_victim: dict[str, set[str]] = {}
        self.accelerators_by_account: dict[str, int] = {}

    def start(self, task: Task) -> None:
        """Count a task as running."""
        request_id = task.job.request_id
        self.task_by_id[request_id] = task
        for node_id, count in task.members.items():
            self.fleet.node_by_id[node_id].task_ids[request_id] = count
        self._occupy(task, 1)

    def end(self, request_id: str) -> Task:
        """Release what a running task holds."""
        task = self.task_by_id.pop(request_id)
        for node_id in task.members:
            del self.fleet.node_by_id[node_id].task_ids[request_id]
        self._occupy(task, -1)
        return task

    def start_claim(self, request_id: str) -> None:
        """Count a claim without victims as running, on the same upstreams."""
        task = self.claim_by_id.pop(request_id)
        self.task_by_id[request_id] = task
        self._account(task, task.members, -1)
        task.claimed = False
        self._account(task, task.members, 1)
        for node_id, count in task.members.items():
            node = self.fleet.node_by_id[node_id]
            node.task_ids[request_id] = count
            if task.kind == TaskKind.BORROWER:
                self.fleet.refresh(node)

    def claim(self, task: Task) -> None:
        """Hold capacity for a job until its victims have ended."""
        task.claimed = True
        self.claim_by_id[task.job.request_id] = task
        for victim in task.victims:
            ids = self.claim_ids_by_victim.setdefault(victim, set())
            ids.add(task.job.request_id)
        self._occupy(task, 1)

    def drop_claim(self, request_id: str) -> Task:
        """Give back the capacity that is held for a job."""
        task = self.claim_by_id.pop(request_id)
        for victim in task.victims:
            ids = self.claim_ids_by_victim[victim]
            ids.discard(request_id)
            if not ids:
                del self.claim_ids_by_victim[victim]
        self._occupy(task, -1)
        task.claimed = False
        return task

    def victim_ended(self, request_id: str) -> list[str]:
        """Return the claims that wait for no further victim."""
        ready = []
        for claim_id in sorted(self.claim_ids_by_victim.pop(request_id, ())):
            claim = self.claim_by_id[claim_id]
            claim.victims.discard(request_id)
            if not claim.victims:
                ready.append(claim_id)
        return ready

    def set_kind(self, task: Task, kind: TaskKind) -> None:
        """Change on whose behalf a running task holds its capacity."""
        if task.kind == kind:
            return
        self._account(task, task.members, -1)
        task.kind = kind
        self._account(task, task.members, 1)
        self._refresh(task.members)

    def set_stopping(self, task: Task, stopping: bool) -> None:
        """Note that a task is being preempted, or no longer is."""
        if task.stopping == stopping:
            return
        self._account(task, task.members, -1)
        task.stopping = stopping
        self._account(task, task.members, 1)
        self._refresh(task.members)

    def detach(self, node: Node) -> None:
        """Release all members on one upstream, whose start is over."""
        for request_id in list(node.task_ids):
            self._remove_member(self.task_by_id[request_id], node)
        node.task_ids.clear()

    def _remove_member(self, task: Task, node: Node) -> None:
        members = {node.node_id: task.members.pop(node.node_id)}
        self._account(task, members, -1)
        self.fleet.release(node, _amount(task, members[node.node_id]))

    def tasks_on(self, node: Node) -> Iterator[Task]:
        """Yield the running tasks with members on an upstream."""
        for request_id in node.task_ids:
            yield self.task_by_id[request_id]

    def within_guarantee(self, task: Task) -> bool:
        """Return whether the account's cells cover its pinned work."""
        account = task.job.client_account
        for node in self.fleet.nodes(task.members):
            cells = node.guaranteed_by_account.get(account, ZERO)
            pinned = node.pinned_by_account.get(account, ZERO)
            if not _covers_without_slots(cells, pinned):
                return False
        return True

    def fits_home(self, task: Task) -> bool:
        """Return whether a borrower stands in unused cells of its account."""
        for node_id, count in task.members.items():
            node = self.fleet.node_by_id[node_id]
            room = node.unused_guaranteed(task.job.client_account)
            if not covers(room, _amount(task, count)):
                return False
        return bool(task.members)

    def _occupy(self, task: Task, sign: int) -> None:
        account = task.job.client_account
        accelerators = sign * task.job.shape.accelerators * task.job.shape.gang
        used = self.accelerators_by_account.get(account, 0) + accelerators
        self.accelerators_by_account[account] = used
        self._account(task, task.members, sign)
        for node_id, count in task.members.items():
            node = self.fleet.node_by_id[node_id]
            if sign > 0:
                self.fleet.take(node, _amount(task, count))
            else:
                self.fleet.release(node, _amount(task, count))
        self._refresh(task.members)

    def _account(self, task: Task, members: MemberCounts, sign: int) -> None:
        account = task.job.client_account
        for node_id, count in members.items():
            node = self.fleet.node_by_id[node_id]
            amount = _amount(task, sign * count)
            if task.kind == TaskKind.BORROWER:
                if task.claimed:
                    continue
                self.fleet.count_borrowers(node, account, sign * count)
                if task.stopping:
                    node.stopping_borrowed = add(node.stopping_borrowed, amount)
                    continue
                node.borrowed = add(node.borrowed, amount)
                if not task.urgent:
                    node.nonurgent_borrowed = add(node.nonurgent_borrowed, amount)
                continue
            self.fleet.pin(node, account, amount)
            if task.kind == TaskKind.HOME:
                home = add(node.home_by_account.get(account, ZERO), amount)
                node.home_by_account[account] = home
                if home == ZERO:
                    del node.home_by_account[account]

    def _refresh(self, members: MemberCounts) -> None:
        for node_id in members:
            self.fleet.refresh(self.fleet.node_by_id[node_id])


def _amount(task: Task, count: int) -> Vector:
    return scale(member_need(task.job.shape), count)


def _covers_without_slots(cells: Vector, pinned: Vector) -> bool:
    left = subtract(cells, pinned)
    return min(left[0], left[1], left[2]) >= 0
