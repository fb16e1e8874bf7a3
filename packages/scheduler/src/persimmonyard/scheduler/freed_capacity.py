"""Capacity that has come free, and whom it could help."""

from collections import OrderedDict

from persimmonyard.model import Adjacency, Shape
from persimmonyard.scheduler.fleet import CapacityView, Fleet, Node
from persimmonyard.scheduler.queue import GroupKey
from persimmonyard.scheduler.vector import (
    ZERO,
    Vector,
    covers,
    elementwise_max,
    member_need,
)

__all__ = ["FreedCapacityLog"]

# With more freed upstreams than this a search is cheaper than to compare each
# of them.
MAX_LOGGED = 64


class FreedCapacityLog:
    """A log of upstreams whose available capacity may have grown.

    Entries are numbered.  A group of jobs that failed at number ``since`` is
    tried again only if a later entry could help it.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.last_number = 0
        self._looked_at = 0
        # Groups that failed at an earlier number are always tried again.
        self._floor = 0
        self._number_by_id: OrderedDict[str, int] = OrderedDict()
        self._most_free: Vector = ZERO
        self._reachable: Vector = ZERO
        self._owners: set[str] = set()

    def record(self, node_id: str) -> None:
        """Log that capacity has come free on an upstream."""
        self.last_number += 1
        self._number_by_id[node_id] = self.last_number
        self._number_by_id.move_to_end(node_id)
        if len(self._number_by_id) > MAX_LOGGED:
            _, dropped = self._number_by_id.popitem(last=False)
            self._floor = max(self._floor, dropped)

    def record_global_change(self) -> None:
        """Log a change that could help every group."""
        self.last_number += 1
        self._floor = self.last_number

    def has_new_entries(self) -> bool:
        """Return whether anything was logged since the last look."""
        return self.last_number > self._looked_at

    def summarize(self) -> None:
        """Summarise the logged upstreams for ``is_news_for``."""
        self._looked_at = self.last_number
        self._most_free = ZERO
        self._reachable = ZERO
        self._owners = set()
        for node in self._since(-1):
            self._most_free = elementwise_max(self._most_free, node.free)
            offered = node.reclaimable(node.nonurgent_borrowed)
            self._reachable = elementwise_max(self._reachable, offered)
            self._owners.update(node.guaranteed_by_account)

    def could_help_by_summary(self, group: GroupKey, urgent: bool, since: int) -> bool:
        """Return what ``could_help`` does; faster, but only after a look."""
        if self._floor > since:
            return True
        bound = self._reachable if urgent else self._most_free
        fits = covers(bound, member_need(group.shape))
        if not fits and group.client_account not in self._owners:
            return False
        return self.could_help(group, urgent, since)

    def could_help(self, group: GroupKey, urgent: bool, since: int) -> bool:
        """Return whether capacity freed later may be enough for a group.

        It compares amounts on the freed upstreams only, so that a job that
        still does not fit costs no search.
        """
        if self._floor > since:
            return True
        need = member_need(group.shape)
        too_full: set[tuple[str, str]] = set()
        for node in self._since(since):
            if not self._fleet.usable(node):
                continue
            if covers(node.free, need) and self._gang_may_fit(
                node, group.shape, too_full
            ):
                return True
            if urgent and covers(node.reclaimable(node.nonurgent_borrowed), need):
                return True
            if covers(node.unused_guaranteed(group.client_account), need):
                return True
        return False

    def _since(self, number: int) -> list[Node]:
        nodes = []
        for node_id in reversed(self._number_by_id):
            if self._number_by_id[node_id] <= number:
                break
            nodes.append(self._fleet.node_by_id[node_id])
        return nodes

    def _gang_may_fit(
        self, node: Node, shape: Shape, too_full: set[tuple[str, str]]
    ) -> bool:
        """Return whether accelerators allow the gang around a node.

        ``too_full`` collects the places that were found not to.
        """
        if shape.gang == 1:
            return True
        place = _place(node, shape)
        if place in too_full:
            return False
        if self._members_in(place, shape) >= shape.gang:
            return True
        too_full.add(place)
        return False

    def _members_in(self, place: tuple[str, str], shape: Shape) -> int:
        need = member_need(shape)
        zone, rack = place
        if rack:
            return self._fleet.index(zone, CapacityView.FREE).members(need, place)
        if zone:
            return self._fleet.index(zone, CapacityView.FREE).members(need)
        total = 0
        for _, index in self._fleet.indexes(CapacityView.FREE):
            total += index.members(need)
        return total


def _place(node: Node, shape: Shape) -> tuple[str, str]:
    match shape.adjacency:
        case Adjacency.RACK:
            return node.rack
        case Adjacency.ZONE:
            return (node.zone, "")
    return ("", "")
