"""The upstreams with the used, guaranteed and free capacity of each."""

from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum

from persimmonyard.model import UpstreamSpec
from persimmonyard.scheduler.fit_index import FitIndex, RackKey
from persimmonyard.scheduler.vector import (
    ZERO,
    Vector,
    add,
    capacity_of,
    elementwise_max,
    elementwise_min,
    subtract,
)

__all__ = ["CapacityView", "Fleet", "Node"]


class CapacityView(IntEnum):
    """What an index of the fleet counts as available on an upstream.

    ``FREE`` is the unused capacity.  ``OPEN`` is the uncommitted capacity,
    which no guarantee and no pinned task needs, even if borrowers use it.
    ``SURPLUS`` is the smaller of the two.  ``RECLAIMABLE`` is the unused
    capacity plus what preempted tasks and borrowers that are not urgent use.
    """

    FREE = 0
    SURPLUS = 1
    OPEN = 2
    RECLAIMABLE = 3


class Node:
    """One incarnation of an upstream and how its capacity is used.

    Tasks of the kinds ``HOME`` and ``FIXED`` are pinned: they are not
    preempted for other accounts.  ``committed`` is the sum over client
    accounts of the larger of their guaranteed and their pinned capacity.
    """

    __slots__ = (
        "borrowed",
        "capacity",
        "committed",
        "free",
        "guaranteed_by_account",
        "incarnation",
        "leaving",
        "lost",
        "node_id",
        "nonurgent_borrowed",
        "pinned_by_account",
        "preemptible_pinned_by_account",
        "probing",
        "quarantined",
        "rack",
        "stopping_borrowed",
        "task_ids",
        "zone",
    )

    def __init__(self, spec: UpstreamSpec):
        self.node_id = spec.upstream_id
        self.incarnation = spec.incarnation
        self.zone = spec.zone
        self.rack: RackKey = (spec.zone, spec.rack)
        self.capacity = capacity_of(spec)
        self.free = self.capacity
        self.committed = ZERO
        self.guaranteed_by_account: dict[str, Vector] = {}
        self.pinned_by_account: dict[str, Vector] = {}
        # The part of the pinned capacity that ``HOME`` tasks use.
        self.preemptible_pinned_by_account: dict[str, Vector] = {}
        self.borrowed = ZERO
        self.nonurgent_borrowed = ZERO
        # Used by borrowers that have been preempted and have not ended yet.
        self.stopping_borrowed = ZERO
        self.task_ids: dict[str, int] = {}
        self.leaving = False
        self.lost = False
        self.quarantined = False
        self.probing = False

    def uncommitted(self) -> Vector:
        """Return the capacity that no guarantee and no pinned task needs.

        Components are negative if more is committed than the node has.
        """
        return subtract(self.capacity, self.committed)

    def reclaimable(self, borrowed: Vector) -> Vector:
        """Return what is free once preempted tasks and some borrowers end.

        ``borrowed`` is the capacity that these borrowers use.
        """
        return add(add(self.free, self.stopping_borrowed), borrowed)

    def committed_to(self, account: str) -> Vector:
        """Return the capacity that is committed to one client account."""
        return elementwise_max(
            self.guaranteed_by_account.get(account, ZERO),
            self.pinned_by_account.get(account, ZERO),
        )

    def pinnable(self, account: str) -> Vector:
        """Return how much more capacity the account may pin on the node."""
        others = subtract(self.committed, self.committed_to(account))
        pinned = self.pinned_by_account.get(account, ZERO)
        return subtract(subtract(self.capacity, others), pinned)

    def nonpreemptible_pinned(self, account: str) -> Vector:
        """Return what non-preemptible tasks of the account use."""
        pinned = self.pinned_by_account.get(account, ZERO)
        return subtract(pinned, self.preemptible_pinned_by_account.get(account, ZERO))

    def unused_guaranteed(self, account: str) -> Vector:
        """Return the unused part of the account's guaranteed capacity.

        Slots are an exception: all slots count that are not committed to other
        accounts, although each guaranteed member comes with one slot only.
        """
        guaranteed = self.guaranteed_by_account.get(account)
        if guaranteed is None:
            return ZERO
        left = subtract(guaranteed, self.pinned_by_account.get(account, ZERO))
        return (left[0], left[1], left[2], self.pinnable(account)[3])


class Fleet:
    """All upstreams by identifier, and a fit index for each zone and view."""

    def __init__(self) -> None:
        self.node_by_id: dict[str, Node] = {}
        self.out_of_service_zones: set[str] = set()
        self.guaranteed_ids_by_account: dict[str, set[str]] = {}
        self.pinned_ids_by_account: dict[str, set[str]] = {}
        # The number of an account's borrowing members, by upstream.
        self.borrowing_by_account: dict[str, dict[str, int]] = {}
        self.ids_by_zone: dict[str, set[str]] = {}
        self.ids_by_rack: dict[RackKey, set[str]] = {}
        self._index_by_zone: dict[str, list[FitIndex]] = {}
        # Called with a node when its free capacity may have grown.
        self.on_freed: Callable[[Node], None] = lambda node: None

    def add_node(self, node: Node) -> None:
        """Register an upstream or a new incarnation of one."""
        old = self.node_by_id.get(node.node_id)
        if old is not None:
            self.ids_by_zone[old.zone].discard(old.node_id)
            self.ids_by_rack[old.rack].discard(old.node_id)
        self.node_by_id[node.node_id] = node
        self.ids_by_zone.setdefault(node.zone, set()).add(node.node_id)
        self.ids_by_rack.setdefault(node.rack, set()).add(node.node_id)
        self._index_by_zone.setdefault(node.zone, [FitIndex() for _ in CapacityView])
        self.refresh(node)

    def remove_from_indexes(self, node: Node) -> None:
        """Remove a node from the fit indexes of its zone."""
        for index in self._index_by_zone.get(node.zone, ()):
            index.remove(node.node_id)

    def usable(self, node: Node) -> bool:
        """Return whether new work may be placed on a node."""
        if node.leaving or node.lost or node.quarantined:
            return False
        return node.zone not in self.out_of_service_zones

    def accepts_guarantees(self, node: Node) -> bool:
        """Return whether guaranteed blocks may be placed on a node."""
        return self.usable(node) and not node.probing

    def refresh(self, node: Node) -> None:
        """Update the indexes for one node."""
        if self.node_by_id.get(node.node_id) is not node:
            return
        if not self.usable(node):
            self.remove_from_indexes(node)
            return
        indexes = self._index_by_zone[node.zone]
        if node.probing:
            self.remove_from_indexes(node)
            return
        uncommitted = node.uncommitted()
        node_id, rack = node.node_id, node.rack
        indexes[CapacityView.FREE].put(node_id, rack, node.free)
        indexes[CapacityView.SURPLUS].put(
            node_id, rack, elementwise_min(node.free, uncommitted)
        )
        indexes[CapacityView.OPEN].put(node_id, rack, uncommitted)
        reclaimable = node.reclaimable(node.nonurgent_borrowed)
        indexes[CapacityView.RECLAIMABLE].put(node_id, rack, reclaimable)

    def refresh_zone(self, zone: str) -> None:
        """Update the indexes after a zone returned to service."""
        for node_id in sorted(self.ids_by_zone.get(zone, ())):
            self.refresh(self.node_by_id[node_id])

    def index(self, zone: str, view: CapacityView) -> FitIndex:
        """Return the index of one zone and view."""
        return self._index_by_zone[zone][view]

    def indexes(self, view: CapacityView) -> Iterator[tuple[str, FitIndex]]:
        """Yield the zones in service, each with its index of one view."""
        for zone, indexes in self._index_by_zone.items():
            if zone not in self.out_of_service_zones:
                yield zone, indexes[view]

    def nodes(self, node_ids: Iterable[str]) -> list[Node]:
        """Return the nodes with the given identifiers."""
        return [self.node_by_id[node_id] for node_id in node_ids]

    def allocate(self, node: Node, amount: Vector) -> None:
        """Subtract an amount from a node's free capacity."""
        node.free = subtract(node.free, amount)

    def release(self, node: Node, amount: Vector) -> None:
        """Add an amount to a node's free capacity."""
        node.free = add(node.free, amount)
        self.on_freed(node)

    def pin(self, node: Node, account: str, amount: Vector) -> None:
        """Add to the pinned capacity of an account; negative subtracts."""
        before = node.committed_to(account)
        pinned = add(node.pinned_by_account.get(account, ZERO), amount)
        _store_amount(node, node.pinned_by_account, account, pinned)
        _update_ids(self.pinned_ids_by_account, account, node, pinned)
        node.committed = add(
            subtract(node.committed, before), node.committed_to(account)
        )

    def add_borrowers(self, node: Node, account: str, count: int) -> None:
        """Add to the count of an account's borrowing members on a node."""
        by_id = self.borrowing_by_account.setdefault(account, {})
        by_id[node.node_id] = by_id.get(node.node_id, 0) + count
        if by_id[node.node_id] == 0:
            del by_id[node.node_id]
        if not by_id:
            del self.borrowing_by_account[account]

    def add_guaranteed(self, node: Node, account: str, amount: Vector) -> None:
        """Add to the guaranteed capacity of an account; negative subtracts."""
        before = node.committed_to(account)
        guaranteed = add(node.guaranteed_by_account.get(account, ZERO), amount)
        _store_amount(node, node.guaranteed_by_account, account, guaranteed)
        _update_ids(self.guaranteed_ids_by_account, account, node, guaranteed)
        node.committed = add(
            subtract(node.committed, before), node.committed_to(account)
        )
        self.refresh(node)


def _store_amount(
    node: Node, by_account: dict[str, Vector], account: str, amount: Vector
) -> None:
    if amount == ZERO:
        by_account.pop(account, None)
        return
    by_account[account] = amount


def _update_ids(
    ids_by_account: dict[str, set[str]], account: str, node: Node, amount: Vector
) -> None:
    if amount == ZERO:
        ids_by_account.get(account, set()).discard(node.node_id)
        return
    ids_by_account.setdefault(account, set()).add(node.node_id)
