"""Capacity held back for waiting jobs, so that large ones do not starve."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from persimmonyard.model import Adjacency, Shape
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fit_index import FitIndex, RackKey
from persimmonyard.scheduler.fleet import Fleet, Node, View
from persimmonyard.scheduler.targets import RunTimeEstimator
from persimmonyard.scheduler.vector import (
    Vector,
    add,
    lowest,
    member_need,
    scale,
    times,
)
from persimmonyard.scheduler.work import Task, Work, stoppable

__all__ = ["Hold", "Holds"]

# More holds would keep more capacity from work that cannot be preempted.
MAX_HOLDS = 8

# Racks of a zone, the freest first, that are looked at for one hold, and
# places whose running work is compared.
RACKS_COMPARED = 8
GROUPS_COMPARED = 8

# Seconds until a shape that found no place to hold is looked at again.
RETRY_S = 30.0
MAX_SHAPES = 1_000

END_QUANTILE = 0.9


@dataclass(frozen=True)
class Hold:
    """Upstreams on which a job is expected to start at ``at``."""

    request_id: str
    node_ids: tuple[str, ...]
    at: float
    since: float


class Holds:
    """Holds by request; no upstream is held twice."""

    def __init__(
        self, fleet: Fleet, work: Work, run_time_estimator: RunTimeEstimator
    ) -> None:
        self._fleet = fleet
        self._work = work
        self._run_times = run_time_estimator
        self.hold_by_id: dict[str, Hold] = {}
        self._owner_by_node: dict[str, str] = {}
        self._next_by_shape: dict[Shape, float] = {}

    def drop(self, request_id: str) -> tuple[str, ...]:
        """Give up a job's hold; return the upstreams that were held."""
        hold = self.hold_by_id.pop(request_id, None)
        if hold is None:
            return ()
        for node_id in hold.node_ids:
            del self._owner_by_node[node_id]
        return hold.node_ids

    def drop_node(self, node_id: str) -> None:
        """Give up the hold that includes an upstream."""
        owner = self._owner_by_node.get(node_id)
        if owner is not None:
            self.drop(owner)

    def owner(self, node: Node) -> str | None:
        """Return the request that an upstream is held for."""
        return self._owner_by_node.get(node.node_id)

    def keeps_out(self, node: Node, job: Job, ends_at: float) -> bool:
        """Return whether a job would delay the job that a node is held for.

        Work that can be stopped never does: the owner may preempt it.
        """
        owner = self._owner_by_node.get(node.node_id)
        if owner is None or owner == job.request_id or stoppable(job):
            return False
        return ends_at > self.hold_by_id[owner].at

    def consider(self, job: Job, now: float) -> None:
        """Hold capacity for a job that does not fit now."""
        if len(self._next_by_shape) > MAX_SHAPES:
            self._next_by_shape.clear()
        if job.request_id in self.hold_by_id or len(self.hold_by_id) >= MAX_HOLDS:
            return
        if now < self._next_by_shape.get(job.shape, now):
            return
        best: Hold | None = None
        for nodes in self._groups(job):
            hold = self._first_start(job, nodes, now)
            if hold is not None and (best is None or hold.at < best.at):
                best = hold
        if best is None:
            self._next_by_shape[job.shape] = now + RETRY_S
            return
        self.hold_by_id[job.request_id] = best
        for node_id in best.node_ids:
            self._owner_by_node[node_id] = job.request_id

    def _groups(self, job: Job) -> list[list[Node]]:
        """Return groups of upstreams that could hold the job when empty."""
        indexes = [index for _, index in self._fleet.indexes(View.OPEN)]
        wide = job.shape.gang > 1 and job.shape.adjacency != Adjacency.RACK
        if wide and job.shape.adjacency == Adjacency.NONE:
            racks = [rack for index in indexes for rack in _freest(index)]
            return self._gather(job, racks, RACKS_COMPARED, merge=True)
        groups = []
        limit = max(1, GROUPS_COMPARED // max(1, len(indexes)))
        for index in indexes:
            racks = list(_freest(index))
            groups += self._gather(job, racks, limit, merge=wide)
        return groups

    def _gather(
        self, job: Job, racks: list[RackKey], limit: int, merge: bool
    ) -> list[list[Node]]:
        """Return at most ``limit`` groups of racks that could hold the job.

        With ``merge`` racks are taken together until they are enough.
        """
        groups: list[list[Node]] = []
        gathered: list[Node] = []
        rooms = 0
        for rack in racks:
            if not merge:
                gathered = []
                rooms = 0
            for node in self._fleet.nodes(sorted(self._fleet.ids_by_rack[rack])):
                room = self._room(job, node)
                if room and node.node_id not in job.avoid:
                    gathered.append(node)
                    rooms += room
            if rooms < job.shape.gang:
                continue
            groups.append(gathered)
            if merge or len(groups) == limit:
                break
        return groups

    def _room(self, job: Job, node: Node) -> int:
        if node.node_id in self._owner_by_node or not self._fleet.sound(node):
            return 0
        available = node.capacity
        if not stoppable(job):
            available = lowest(available, node.pinnable(job.client_account))
        return times(member_need(job.shape), available)

    def _first_start(self, job: Job, nodes: list[Node], now: float) -> Hold | None:
        """Return when enough of the running work has ended on ``nodes``."""
        need = member_need(job.shape)
        free_by_id = {}
        for node in nodes:
            free_by_id[node.node_id] = node.free
        rooms = sum(times(need, free) for free in free_by_id.values())
        at = now
        for ends_at, node_id, task in self._ends(nodes, now):
            if rooms >= job.shape.gang:
                break
            at = ends_at
            rooms -= times(need, free_by_id[node_id])
            held = scale(member_need(task.job.shape), task.members[node_id])
            free_by_id[node_id] = add(free_by_id[node_id], held)
            rooms += times(need, free_by_id[node_id])
        if rooms < job.shape.gang:
            return None
        ids = _largest(need, free_by_id, job.shape.gang)
        return Hold(job.request_id, ids, at, now)

    def _ends(self, nodes: list[Node], now: float) -> list[tuple[float, str, Task]]:
        """Return when the tasks on ``nodes`` are expected to end, in order."""
        ends = []
        for node in nodes:
            for task in self._work.tasks_on(node):
                run_s = self._run_times.predict(task.job, END_QUANTILE)
                started = task.placed_at if task.since is None else task.since
                ends.append((max(now, started + run_s), node.node_id, task))
        ends.sort(key=lambda one: (one[0], one[1], one[2].job.request_id))
        return ends


def _freest(index: FitIndex) -> Iterator[RackKey]:
    return islice(index.freest_racks(), RACKS_COMPARED)


def _largest(need: Vector, free_by_id: dict[str, Vector], gang: int) -> tuple[str, ...]:
    """Return the fewest upstreams that together hold the gang."""
    by_room = sorted(free_by_id, key=lambda one: (-times(need, free_by_id[one]), one))
    ids: list[str] = []
    for node_id in by_room:
        if gang <= 0:
            break
        gang -= times(need, free_by_id[node_id])
        ids.append(node_id)
    return tuple(ids)
