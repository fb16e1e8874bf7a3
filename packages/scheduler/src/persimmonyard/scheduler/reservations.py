"""Backfill reservations, so that large waiting jobs do not starve."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import NamedTuple

from persimmonyard.model import Adjacency, Shape
from persimmonyard.scheduler.allocations import Allocations, Task, preemptible
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fit_index import FitIndex, RackKey
from persimmonyard.scheduler.fleet import CapacityView, Fleet, Node
from persimmonyard.scheduler.targets import RunTimeEstimator
from persimmonyard.scheduler.vector import (
    Vector,
    add,
    elementwise_min,
    fit_count,
    member_need,
    scale,
)

__all__ = ["BackfillReservation", "BackfillReservations"]

# More reservations would keep non-preemptible jobs off more capacity.
MAX_RESERVATIONS = 8

# For one reservation: the racks of a zone that are examined, those with the
# most available capacity first, and the sets of upstreams for which the start
# time is computed and compared.
RACKS_COMPARED = 8
SETS_COMPARED = 8

# Seconds until a reservation is tried again for a kind of job for which none
# was possible.
RETRY_S = 30.0
MAX_SEARCH_KEYS = 1_000

END_QUANTILE = 0.9


@dataclass(frozen=True)
class BackfillReservation:
    """Upstreams on which a waiting job is expected to start.

    ``starts_at`` is the expected start time of the job, and ``reserved_at``
    the time of the reservation.  Both are in seconds.  Other jobs may be
    backfilled on the upstreams.
    """

    request_id: str
    node_ids: tuple[str, ...]
    starts_at: float
    reserved_at: float


class _SearchKey(NamedTuple):
    """What decides, together with the fleet, where a job fits when idle.

    ``pinning_account`` is empty for a preemptible job, which may use the
    capacity guaranteed to others.
    """

    shape: Shape
    pinning_account: str
    avoid: frozenset[str]


class BackfillReservations:
    """Reservations by request; an upstream has at most one."""

    def __init__(
        self,
        fleet: Fleet,
        allocations: Allocations,
        run_time_estimator: RunTimeEstimator,
    ) -> None:
        self._fleet = fleet
        self._allocations = allocations
        self._run_time_estimator = run_time_estimator
        self.reservation_by_id: dict[str, BackfillReservation] = {}
        self._owner_by_node_id: dict[str, str] = {}
        self._retry_at_by_key: dict[_SearchKey, float] = {}

    def drop(self, request_id: str) -> tuple[str, ...]:
        """Drop a job's reservation; return the upstreams that it had."""
        reservation = self.reservation_by_id.pop(request_id, None)
        if reservation is None:
            return ()
        for node_id in reservation.node_ids:
            del self._owner_by_node_id[node_id]
        return reservation.node_ids

    def drop_node(self, node_id: str) -> None:
        """Drop the reservation that includes an upstream."""
        owner = self._owner_by_node_id.get(node_id)
        if owner is not None:
            self.drop(owner)

    def owner(self, node: Node) -> str | None:
        """Return the request that an upstream is reserved for, if any."""
        return self._owner_by_node_id.get(node.node_id)

    def would_delay_owner(self, node: Node, job: Job, ends_at: float) -> bool:
        """Return whether a job would delay the owner of a node's reservation.

        A preemptible job never does, because the owner may preempt it.
        """
        owner = self._owner_by_node_id.get(node.node_id)
        if owner is None or owner == job.request_id or preemptible(job):
            return False
        return ends_at > self.reservation_by_id[owner].starts_at

    def try_reserve(self, job: Job, now: float) -> None:
        """Reserve the upstreams on which a waiting job can start first.

        Nothing is reserved if the job has a reservation, if there are
        ``MAX_RESERVATIONS``, if the job fits on no set of upstreams, or if
        that was found for such a job less than ``RETRY_S`` ago.
        """
        if len(self._retry_at_by_key) > MAX_SEARCH_KEYS:
            self._retry_at_by_key.clear()
        if (
            job.request_id in self.reservation_by_id
            or len(self.reservation_by_id) >= MAX_RESERVATIONS
        ):
            return
        key = _search_key(job)
        if now < self._retry_at_by_key.get(key, now):
            return
        best: BackfillReservation | None = None
        for nodes in self._candidate_sets(job):
            reservation = self._reservation_on(job, nodes, now)
            if reservation is not None and (
                best is None or reservation.starts_at < best.starts_at
            ):
                best = reservation
        if best is None:
            self._retry_at_by_key[key] = now + RETRY_S
            return
        self.reservation_by_id[job.request_id] = best
        for node_id in best.node_ids:
            self._owner_by_node_id[node_id] = job.request_id

    def _candidate_sets(self, job: Job) -> list[list[Node]]:
        """Return sets of upstreams on which the job would fit when idle."""
        indexes = [index for _, index in self._fleet.indexes(CapacityView.OPEN)]
        spans_racks = job.shape.gang > 1 and job.shape.adjacency != Adjacency.RACK
        if spans_racks and job.shape.adjacency == Adjacency.NONE:
            racks = [rack for index in indexes for rack in _most_available_racks(index)]
            return self._rack_sets(job, racks, RACKS_COMPARED, merge=True)
        candidate_sets = []
        limit = max(1, SETS_COMPARED // max(1, len(indexes)))
        for index in indexes:
            racks = list(_most_available_racks(index))
            candidate_sets += self._rack_sets(job, racks, limit, merge=spans_racks)
        return candidate_sets

    def _rack_sets(
        self, job: Job, racks: list[RackKey], limit: int, merge: bool
    ) -> list[list[Node]]:
        """Return at most ``limit`` sets of upstreams that would fit the job.

        Each set is in one rack.  With ``merge`` there is only one set, from as
        many racks as the job needs.
        """
        candidate_sets: list[list[Node]] = []
        nodes: list[Node] = []
        total_members = 0
        for rack in racks:
            if not merge:
                nodes = []
                total_members = 0
            for node in self._fleet.nodes(sorted(self._fleet.ids_by_rack[rack])):
                member_capacity = self._member_capacity(job, node)
                if member_capacity and node.node_id not in job.avoid:
                    nodes.append(node)
                    total_members += member_capacity
            if total_members < job.shape.gang:
                continue
            candidate_sets.append(nodes)
            if merge or len(candidate_sets) == limit:
                break
        return candidate_sets

    def _member_capacity(self, job: Job, node: Node) -> int:
        if node.node_id in self._owner_by_node_id or not self._fleet.accepts_guarantees(
            node
        ):
            return 0
        available = node.capacity
        if not preemptible(job):
            available = elementwise_min(available, node.pinnable(job.client_account))
        return fit_count(member_need(job.shape), available)

    def _reservation_on(
        self, job: Job, nodes: list[Node], now: float
    ) -> BackfillReservation | None:
        """Return a reservation from the time when enough tasks have ended.

        Return ``None`` if the job would not fit on ``nodes`` even after all
        tasks there have ended.
        """
        need = member_need(job.shape)
        free_by_id = {}
        for node in nodes:
            free_by_id[node.node_id] = node.free
        total_members = sum(fit_count(need, free) for free in free_by_id.values())
        starts_at = now
        for ends_at, node_id, task in self._task_ends(nodes, now):
            if total_members >= job.shape.gang:
                break
            starts_at = ends_at
            total_members -= fit_count(need, free_by_id[node_id])
            released = scale(member_need(task.job.shape), task.members[node_id])
            free_by_id[node_id] = add(free_by_id[node_id], released)
            total_members += fit_count(need, free_by_id[node_id])
        if total_members < job.shape.gang:
            return None
        ids = _fewest_nodes(need, free_by_id, job.shape.gang)
        return BackfillReservation(job.request_id, ids, starts_at, now)

    def _task_ends(
        self, nodes: list[Node], now: float
    ) -> list[tuple[float, str, Task]]:
        """Return the expected ends of the tasks on ``nodes``, in order."""
        ends = []
        for node in nodes:
            for task in self._allocations.tasks_on(node):
                run_s = self._run_time_estimator.predict(task.job, END_QUANTILE)
                started = (
                    task.placed_at if task.running_since is None else task.running_since
                )
                ends.append((max(now, started + run_s), node.node_id, task))
        ends.sort(key=lambda end: (end[0], end[1], end[2].job.request_id))
        return ends


def _search_key(job: Job) -> _SearchKey:
    account = "" if preemptible(job) else job.client_account
    return _SearchKey(job.shape, account, job.avoid)


def _most_available_racks(index: FitIndex) -> Iterator[RackKey]:
    return islice(index.most_available_racks(), RACKS_COMPARED)


def _fewest_nodes(
    need: Vector, free_by_id: dict[str, Vector], gang: int
) -> tuple[str, ...]:
    """Return the fewest upstreams on which the gang fits."""
    by_member_capacity = sorted(
        free_by_id, key=lambda node_id: (-fit_count(need, free_by_id[node_id]), node_id)
    )
    ids: list[str] = []
    for node_id in by_member_capacity:
        if gang <= 0:
            break
        gang -= fit_count(need, free_by_id[node_id])
        ids.append(node_id)
    return tuple(ids)
