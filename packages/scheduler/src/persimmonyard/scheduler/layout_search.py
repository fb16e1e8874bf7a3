"""Bounded exhaustive search for a joint layout of guaranteed blocks."""

from typing import NamedTuple

from persimmonyard.model import Adjacency, Shape
from persimmonyard.scheduler.fleet import Fleet, Node
from persimmonyard.scheduler.placement import MemberCounts
from persimmonyard.scheduler.vector import (
    ZERO,
    Vector,
    add,
    covers,
    elementwise_max,
    fit_count,
    member_need,
    scale,
    subtract,
)

__all__ = ["Budget", "Demand", "can_search", "search_layout"]

# The search is complete for fleets of a few instances, and a second try after
# the greedy layout on larger ones.  Beyond this size it would end without a
# result.
MAX_NODES = 400


class Demand(NamedTuple):
    """A block that is to be laid; ``key`` begins with the account."""

    key: tuple[str, int]
    shape: Shape


class Budget:
    """Partial layouts that may still be looked at."""

    def __init__(self, steps: int) -> None:
        self.steps = steps

    def spend(self) -> bool:
        """Take one step; return whether it was left."""
        self.steps -= 1
        return self.steps >= 0


def can_search(fleet: Fleet) -> bool:
    """Return whether the fleet is small enough for a search."""
    return len(fleet.node_by_id) <= MAX_NODES


def search_layout(
    fleet: Fleet, demands: list[Demand], budget: Budget, around_home: bool = False
) -> list[MemberCounts] | None:
    """Return members for every demand, or ``None`` if none were found.

    The search ends without a result when ``budget`` is spent.  All cells are
    laid anew around the work that cannot be stopped, and with ``around_home``
    also around the work that stands inside its account's guarantee.
    """
    nodes = [
        node for node in fleet.node_by_id.values() if fleet.accepts_guarantees(node)
    ]
    nodes.sort(key=lambda node: (node.capacity[0], node.node_id))
    cells: dict[tuple[str, str], Vector] = {}
    found: list[MemberCounts] = []
    pinned: dict[tuple[str, str], Vector] = {}
    for node in nodes:
        for account in node.pinned_by_account:
            amount = node.pinned_by_account[account]
            if not around_home:
                amount = node.nonpreemptible_pinned(account)
            pinned[(account, node.node_id)] = amount
    if _lay_from(nodes, demands, pinned, cells, found, budget):
        return found
    return None


def _lay_from(
    nodes: list[Node],
    demands: list[Demand],
    pinned: dict[tuple[str, str], Vector],
    cells: dict[tuple[str, str], Vector],
    found: list[MemberCounts],
    budget: Budget,
) -> bool:
    if len(found) == len(demands):
        return True
    demand = demands[len(found)]
    for group in _groups(nodes, demand.shape):
        # Each entry: members so far, next node, members left to lay.
        stack: list[tuple[MemberCounts, int, int]] = [({}, 0, demand.shape.gang)]
        while stack:
            members, position, left = stack.pop()
            if not budget.spend():
                return False
            if left == 0:
                _change(cells, demand, members, 1)
                found.append(members)
                if _lay_from(nodes, demands, pinned, cells, found, budget):
                    return True
                found.pop()
                _change(cells, demand, members, -1)
                continue
            if position == len(group):
                continue
            node = group[position]
            most = min(left, _room(node, demand, pinned, cells))
            for count in range(most + 1):
                grown = members
                if count:
                    grown = members | {node.node_id: count}
                stack.append((grown, position + 1, left - count))
    return False


def _groups(nodes: list[Node], shape: Shape) -> list[list[Node]]:
    if shape.gang == 1 or shape.adjacency == Adjacency.NONE:
        return [nodes]
    by_place: dict[tuple[str, str], list[Node]] = {}
    for node in nodes:
        place = node.rack
        if shape.adjacency == Adjacency.ZONE:
            place = (node.zone, "")
        by_place.setdefault(place, []).append(node)
    return [by_place[place] for place in sorted(by_place)]


def _room(
    node: Node,
    demand: Demand,
    pinned: dict[tuple[str, str], Vector],
    cells: dict[tuple[str, str], Vector],
) -> int:
    account = demand.key[0]
    node_id = node.node_id
    taken = ZERO
    accounts = set(node.pinned_by_account)
    accounts.update(one for one, where in cells if where == node_id)
    accounts.discard(account)
    for other in accounts:
        key = (other, node_id)
        share = elementwise_max(cells.get(key, ZERO), pinned.get(key, ZERO))
        taken = add(taken, share)
    limit = subtract(node.capacity, taken)
    if not covers(limit, pinned.get((account, node_id), ZERO)):
        return 0
    laid = cells.get((account, node_id), ZERO)
    return fit_count(member_need(demand.shape), subtract(limit, laid))


def _change(
    cells: dict[tuple[str, str], Vector],
    demand: Demand,
    members: MemberCounts,
    sign: int,
) -> None:
    need = member_need(demand.shape)
    for node_id, count in members.items():
        key = (demand.key[0], node_id)
        cells[key] = add(cells.get(key, ZERO), scale(need, sign * count))
        if cells[key] == ZERO:
            del cells[key]
