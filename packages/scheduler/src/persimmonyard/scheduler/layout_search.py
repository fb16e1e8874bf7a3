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

__all__ = ["BlockDemand", "SearchBudget", "can_search", "search_layout"]

# On fleets of a few instances the search is exhaustive.  On larger ones it is
# a bounded second attempt after the greedy placement.  On fleets above this
# size it would use up its steps without a result.
MAX_NODES = 400


class BlockDemand(NamedTuple):
    """A block to place; ``key`` is its account and its index there."""

    key: tuple[str, int]
    shape: Shape


class SearchBudget:
    """The number of partial layouts that a search may still examine."""

    def __init__(self, steps: int) -> None:
        self.steps = steps

    def spend(self) -> bool:
        """Spend one step; return whether one was left."""
        self.steps -= 1
        return self.steps >= 0


def can_search(fleet: Fleet) -> bool:
    """Return whether the fleet is small enough for a search."""
    return len(fleet.node_by_id) <= MAX_NODES


def search_layout(
    fleet: Fleet,
    demands: list[BlockDemand],
    budget: SearchBudget,
    keep_preemptible_pinned: bool = False,
) -> list[MemberCounts] | None:
    """Return members for every demand, or ``None`` if none were found.

    The search ends without a result when ``budget`` is spent.  All blocks are
    placed again.  The capacity that non-preemptible tasks use is kept for
    them.  With ``keep_preemptible_pinned``, so is that of the preemptible
    tasks inside their account's guarantee.
    """
    nodes = [
        node for node in fleet.node_by_id.values() if fleet.accepts_guarantees(node)
    ]
    nodes.sort(key=lambda node: (node.capacity[0], node.node_id))
    guaranteed: dict[tuple[str, str], Vector] = {}
    found: list[MemberCounts] = []
    pinned: dict[tuple[str, str], Vector] = {}
    for node in nodes:
        for account in node.pinned_by_account:
            amount = node.pinned_by_account[account]
            if not keep_preemptible_pinned:
                amount = node.nonpreemptible_pinned(account)
            pinned[(account, node.node_id)] = amount
    if _place_remaining(nodes, demands, pinned, guaranteed, found, budget):
        return found
    return None


def _place_remaining(
    nodes: list[Node],
    demands: list[BlockDemand],
    pinned: dict[tuple[str, str], Vector],
    guaranteed: dict[tuple[str, str], Vector],
    found: list[MemberCounts],
    budget: SearchBudget,
) -> bool:
    if len(found) == len(demands):
        return True
    demand = demands[len(found)]
    for candidates in _candidate_sets(nodes, demand.shape):
        # Each entry: members placed so far, index of the next node, and number
        # of members left.
        stack: list[tuple[MemberCounts, int, int]] = [({}, 0, demand.shape.gang)]
        while stack:
            members, position, left = stack.pop()
            if not budget.spend():
                return False
            if left == 0:
                _add_guaranteed(guaranteed, demand, members, 1)
                found.append(members)
                if _place_remaining(nodes, demands, pinned, guaranteed, found, budget):
                    return True
                found.pop()
                _add_guaranteed(guaranteed, demand, members, -1)
                continue
            if position == len(candidates):
                continue
            node = candidates[position]
            max_count = min(left, _member_capacity(node, demand, pinned, guaranteed))
            for count in range(max_count + 1):
                extended = members
                if count:
                    extended = members | {node.node_id: count}
                stack.append((extended, position + 1, left - count))
    return False


def _candidate_sets(nodes: list[Node], shape: Shape) -> list[list[Node]]:
    if shape.gang == 1 or shape.adjacency == Adjacency.NONE:
        return [nodes]
    by_location: dict[tuple[str, str], list[Node]] = {}
    for node in nodes:
        location = node.rack
        if shape.adjacency == Adjacency.ZONE:
            location = (node.zone, "")
        by_location.setdefault(location, []).append(node)
    return [by_location[location] for location in sorted(by_location)]


def _member_capacity(
    node: Node,
    demand: BlockDemand,
    pinned: dict[tuple[str, str], Vector],
    guaranteed: dict[tuple[str, str], Vector],
) -> int:
    account = demand.key[0]
    node_id = node.node_id
    committed = ZERO
    accounts = set(node.pinned_by_account)
    accounts.update(other for other, where in guaranteed if where == node_id)
    accounts.discard(account)
    for other in accounts:
        key = (other, node_id)
        share = elementwise_max(guaranteed.get(key, ZERO), pinned.get(key, ZERO))
        committed = add(committed, share)
    limit = subtract(node.capacity, committed)
    if not covers(limit, pinned.get((account, node_id), ZERO)):
        return 0
    placed_before = guaranteed.get((account, node_id), ZERO)
    return fit_count(member_need(demand.shape), subtract(limit, placed_before))


def _add_guaranteed(
    guaranteed: dict[tuple[str, str], Vector],
    demand: BlockDemand,
    members: MemberCounts,
    sign: int,
) -> None:
    need = member_need(demand.shape)
    for node_id, count in members.items():
        key = (demand.key[0], node_id)
        guaranteed[key] = add(guaranteed.get(key, ZERO), scale(need, sign * count))
        if guaranteed[key] == ZERO:
            del guaranteed[key]
