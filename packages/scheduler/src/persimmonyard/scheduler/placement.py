"""Searches for the members of one job, tightest fit first."""

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

# Number of members by upstream.
MemberCounts = dict[str, int]

# Returns how many members of the job an upstream can take.
MemberCapacity = Callable[[Node], int]


def search_index(
    fleet: Fleet,
    view: CapacityView,
    shape: Shape,
    room: MemberCapacity,
    zones: frozenset[str] | None = None,
) -> MemberCounts | None:
    """Return members for a job from the index of ``view``.

    ``room`` is exact, the index only orders and narrows the candidates.
    ``zones`` limits the search, ``None`` for all zones in service.
    """
    indexes = []
    for zone, index in fleet.indexes(view):
        if zones is None or zone in zones:
            indexes.append(index)
    match shape.adjacency:
        case Adjacency.RACK:
            return _search_racks(fleet, indexes, shape, room)
        case Adjacency.ZONE if shape.gang > 1:
            return _search_zones(fleet, indexes, shape, room)
    if shape.gang == 1:
        return _search_single(fleet, indexes, shape, room)
    return _search_everywhere(fleet, indexes, shape, room)


def _search_single(
    fleet: Fleet, indexes: list[FitIndex], shape: Shape, room: MemberCapacity
) -> MemberCounts | None:
    best: tuple[int, str] | None = None
    for index in indexes:
        for node in _candidates(fleet, index, shape):
            if room(node) < 1:
                continue
            found = (node.free[0], node.node_id)
            if best is None or found < best:
                best = found
            break
    if best is None:
        return None
    return {best[1]: 1}


def _search_racks(
    fleet: Fleet, indexes: list[FitIndex], shape: Shape, room: MemberCapacity
) -> MemberCounts | None:
    if shape.gang == 1:
        return _search_single(fleet, indexes, shape, room)
    need = member_need(shape)
    for index in indexes:
        for rack in index.racks_for(need, shape.gang):
            nodes = fleet.nodes(index.ids_in_rack(rack))
            found = _fill(nodes, shape.gang, room)
            if found is not None:
                return found
    return None


def _search_zones(
    fleet: Fleet, indexes: list[FitIndex], shape: Shape, room: MemberCapacity
) -> MemberCounts | None:
    found = _search_racks(fleet, indexes, shape, room)
    if found is not None:
        return found
    for index in indexes:
        if index.members(member_need(shape)) < shape.gang:
            continue
        found = _collect(_candidates(fleet, index, shape), shape.gang, room)
        if found is not None:
            return found
    return None


def _search_everywhere(
    fleet: Fleet, indexes: list[FitIndex], shape: Shape, room: MemberCapacity
) -> MemberCounts | None:
    def candidates() -> Iterator[Node]:
        for index in indexes:
            yield from _candidates(fleet, index, shape)

    return _collect(candidates(), shape.gang, room)


def _candidates(fleet: Fleet, index: FitIndex, shape: Shape) -> Iterator[Node]:
    for node_id in index.at_least(member_need(shape)):
        yield fleet.node_by_id[node_id]


def _collect(
    nodes: Iterable[Node], gang: int, room: MemberCapacity
) -> MemberCounts | None:
    members: MemberCounts = {}
    left = gang
    for node in nodes:
        count = min(left, room(node))
        if count < 1:
            continue
        members[node.node_id] = count
        left -= count
        if left == 0:
            return members
    return None


def _fill(nodes: list[Node], gang: int, room: MemberCapacity) -> MemberCounts | None:
    """Return members on few nodes, so that the others stay whole."""
    rooms = []
    for node in nodes:
        count = room(node)
        if count > 0:
            rooms.append((count, node))
    if sum(count for count, _ in rooms) < gang:
        return None
    rooms.sort(key=lambda pair: (pair[0], pair[1].node_id))
    members: MemberCounts = {}
    left = gang
    while left > 0:
        chosen = _tightest(rooms, left)
        count, node = rooms.pop(chosen)
        members[node.node_id] = min(count, left)
        left -= members[node.node_id]
    return members


def _tightest(rooms: list[tuple[int, Node]], left: int) -> int:
    """Return the smallest room that takes all that is left, or the last."""
    for position, (count, _) in enumerate(rooms):
        if count >= left:
            return position
    return len(rooms) - 1


def search_nodes(
    nodes: list[Node],
    shape: Shape,
    room: MemberCapacity,
    zones: frozenset[str] | None = None,
) -> MemberCounts | None:
    """Return members for a job on some of ``nodes``, all in one group."""
    by_group: dict[tuple[str, str], list[Node]] = {}
    for node in nodes:
        if zones is not None and node.zone not in zones:
            continue
        by_group.setdefault(_group(node, shape), []).append(node)
    for group in sorted(by_group):
        found = _fill(by_group[group], shape.gang, room)
        if found is not None:
            return found
    return None


def _group(node: Node, shape: Shape) -> tuple[str, str]:
    if shape.gang == 1 or shape.adjacency == Adjacency.NONE:
        return ("", "")
    if shape.adjacency == Adjacency.ZONE:
        return (node.zone, "")
    return node.rack


def can_ever_fit(fleet: Fleet, shape: Shape, avoid: frozenset[str]) -> bool:
    """Return whether the empty registered fleet could hold the shape.

    Upstreams that are lost, leaving or in a zone out of service count.
    """
    need = member_need(shape)
    count_by_group: dict[tuple[str, str], int] = {}
    for node in fleet.node_by_id.values():
        if node.node_id in avoid:
            continue
        count = fit_count(need, node.capacity)
        if count == 0:
            continue
        group = _group(node, shape)
        count_by_group[group] = count_by_group.get(group, 0) + count
        if count_by_group[group] >= shape.gang:
            return True
    return False
