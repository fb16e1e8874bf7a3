"""Best-fit searches for the placement of one job."""

from collections.abc import Callable, Iterable, Iterator

from persimmonyard.model import Adjacency, Shape
from persimmonyard.scheduler.fit_index import FitIndex
from persimmonyard.scheduler.fleet import CapacityView, Fleet, Node
from persimmonyard.scheduler.vector import fit_count, member_need

__all__ = [
    "MemberCapacity",
    "MemberCounts",
    "can_ever_fit",
    "search_index",
    "search_nodes",
]

# Number of a job's members by upstream.
MemberCounts = dict[str, int]

# Returns how many members of the job fit on an upstream.
MemberCapacity = Callable[[Node], int]


def search_index(
    fleet: Fleet,
    view: CapacityView,
    shape: Shape,
    member_capacity: MemberCapacity,
    zones: frozenset[str] | None = None,
) -> MemberCounts | None:
    """Return members for a job from the index of ``view``.

    The index orders and narrows the candidates; ``member_capacity`` decides.
    ``zones`` limits the search; ``None`` stands for all zones in service.
    """
    indexes = []
    for zone, index in fleet.indexes(view):
        if zones is None or zone in zones:
            indexes.append(index)
    match shape.adjacency:
        case Adjacency.RACK:
            return _search_racks(fleet, indexes, shape, member_capacity)
        case Adjacency.ZONE if shape.gang > 1:
            return _search_zones(fleet, indexes, shape, member_capacity)
    if shape.gang == 1:
        return _search_single(fleet, indexes, shape, member_capacity)
    return _search_everywhere(fleet, indexes, shape, member_capacity)


def _search_single(
    fleet: Fleet, indexes: list[FitIndex], shape: Shape, member_capacity: MemberCapacity
) -> MemberCounts | None:
    best: tuple[int, str] | None = None
    for index in indexes:
        for node in _candidates(fleet, index, shape):
            if member_capacity(node) < 1:
                continue
            candidate = (node.free[0], node.node_id)
            if best is None or candidate < best:
                best = candidate
            break
    if best is None:
        return None
    return {best[1]: 1}


def _search_racks(
    fleet: Fleet, indexes: list[FitIndex], shape: Shape, member_capacity: MemberCapacity
) -> MemberCounts | None:
    if shape.gang == 1:
        return _search_single(fleet, indexes, shape, member_capacity)
    need = member_need(shape)
    for index in indexes:
        for rack in index.racks_for(need, shape.gang):
            nodes = fleet.nodes(index.ids_in_rack(rack))
            found = _pack(nodes, shape.gang, member_capacity)
            if found is not None:
                return found
    return None


def _search_zones(
    fleet: Fleet, indexes: list[FitIndex], shape: Shape, member_capacity: MemberCapacity
) -> MemberCounts | None:
    found = _search_racks(fleet, indexes, shape, member_capacity)
    if found is not None:
        return found
    for index in indexes:
        if index.max_members(member_need(shape)) < shape.gang:
            continue
        found = _take_first(
            _candidates(fleet, index, shape), shape.gang, member_capacity
        )
        if found is not None:
            return found
    return None


def _search_everywhere(
    fleet: Fleet, indexes: list[FitIndex], shape: Shape, member_capacity: MemberCapacity
) -> MemberCounts | None:
    def candidates() -> Iterator[Node]:
        for index in indexes:
            yield from _candidates(fleet, index, shape)

    return _take_first(candidates(), shape.gang, member_capacity)


def _candidates(fleet: Fleet, index: FitIndex, shape: Shape) -> Iterator[Node]:
    for node_id in index.best_fit(member_need(shape)):
        yield fleet.node_by_id[node_id]


def _take_first(
    nodes: Iterable[Node], gang: int, member_capacity: MemberCapacity
) -> MemberCounts | None:
    members: MemberCounts = {}
    remaining = gang
    for node in nodes:
        count = min(remaining, member_capacity(node))
        if count < 1:
            continue
        members[node.node_id] = count
        remaining -= count
        if remaining == 0:
            return members
    return None


def _pack(
    nodes: list[Node], gang: int, member_capacity: MemberCapacity
) -> MemberCounts | None:
    """Return members on few nodes, to leave more capacity free on others."""
    capacities = []
    for node in nodes:
        count = member_capacity(node)
        if count > 0:
            capacities.append((count, node))
    if sum(count for count, _ in capacities) < gang:
        return None
    capacities.sort(key=lambda pair: (pair[0], pair[1].node_id))
    members: MemberCounts = {}
    remaining = gang
    while remaining > 0:
        chosen = _best_fit(capacities, remaining)
        count, node = capacities.pop(chosen)
        members[node.node_id] = min(count, remaining)
        remaining -= members[node.node_id]
    return members


def _best_fit(capacities: list[tuple[int, Node]], remaining: int) -> int:
    """Return the index of the smallest capacity for all ``remaining`` members.

    If no capacity is large enough, return the index of the largest.
    """
    for position, (count, _) in enumerate(capacities):
        if count >= remaining:
            return position
    return len(capacities) - 1


def search_nodes(
    nodes: list[Node],
    shape: Shape,
    member_capacity: MemberCapacity,
    zones: frozenset[str] | None = None,
) -> MemberCounts | None:
    """Return members for a job on some of ``nodes``.

    They are in one rack or zone if the job's adjacency requires that.
    """
    by_location: dict[tuple[str, str], list[Node]] = {}
    for node in nodes:
        if zones is not None and node.zone not in zones:
            continue
        by_location.setdefault(_location(node, shape), []).append(node)
    for location in sorted(by_location):
        found = _pack(by_location[location], shape.gang, member_capacity)
        if found is not None:
            return found
    return None


def _location(node: Node, shape: Shape) -> tuple[str, str]:
    if shape.gang == 1 or shape.adjacency == Adjacency.NONE:
        return ("", "")
    if shape.adjacency == Adjacency.ZONE:
        return (node.zone, "")
    return node.rack


def can_ever_fit(fleet: Fleet, shape: Shape, avoid: frozenset[str]) -> bool:
    """Return whether the shape would fit on the fleet if it were idle.

    All registered upstreams count, even if they are lost, leaving or in a zone
    out of service.
    """
    need = member_need(shape)
    count_by_location: dict[tuple[str, str], int] = {}
    for node in fleet.node_by_id.values():
        if node.node_id in avoid:
            continue
        count = fit_count(need, node.capacity)
        if count == 0:
            continue
        location = _location(node, shape)
        count_by_location[location] = count_by_location.get(location, 0) + count
        if count_by_location[location] >= shape.gang:
            return True
    return False
