"""A log of freed capacity, to select the waiting jobs to retry."""

from collections import OrderedDict

from persimmonyard.model import Adjacency, Shape
from persimmonyard.scheduler.fleet import CapacityView, Fleet, Node
from persimmonyard.scheduler.queue import JobGroup
from persimmonyard.scheduler.vector import (
    ZERO,
    Vector,
    covers,
    elementwise_max,
    member_need,
)

__all__ = ["FreedCapacityLog"]

# With more freed upstreams than this, a placement search is cheaper than
# comparing each of them.
MAX_ENTRIES = 64


class FreedCapacityLog:
    """A log of upstreams whose available capacity may have grown.

    Each entry has a position.  A group of jobs whose placement failed at
    ``failed_position`` is retried only if it may fit on an upstream that was
    logged later.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.last_position = 0
        self._summarized_position = 0
        # Groups that failed at a position below this one are always retried.
        self._retry_all_below = 0
        self._position_by_id: OrderedDict[str, int] = OrderedDict()
        self._most_free: Vector = ZERO
        self._most_reclaimable: Vector = ZERO
        self._guaranteed_accounts: set[str] = set()

    def record(self, node_id: str) -> None:
        """Log that capacity may have been freed on an upstream."""
        self.last_position += 1
        self._position_by_id[node_id] = self.last_position
        self._position_by_id.move_to_end(node_id)
        if len(self._position_by_id) > MAX_ENTRIES:
            _, evicted_position = self._position_by_id.popitem(last=False)
            self._retry_all_below = max(self._retry_all_below, evicted_position)

    def record_global_change(self) -> None:
        """Log a change after which every group may fit."""
        self.last_position += 1
        self._retry_all_below = self.last_position

    def has_new_entries(self) -> bool:
        """Return whether anything was logged since the last ``summarize``."""
        return self.last_position > self._summarized_position

    def summarize(self) -> None:
        """Summarise the logged upstreams for ``may_fit_by_summary``."""
        self._summarized_position = self.last_position
        self._most_free = ZERO
        self._most_reclaimable = ZERO
        self._guaranteed_accounts = set()
        for node in self._logged_after(-1):
            self._most_free = elementwise_max(self._most_free, node.free)
            reclaimable = node.reclaimable(node.nonurgent_borrowed)
            self._most_reclaimable = elementwise_max(
                self._most_reclaimable, reclaimable
            )
            self._guaranteed_accounts.update(node.guaranteed_by_account)

    def may_fit_by_summary(
        self, group: JobGroup, urgent: bool, failed_position: int
    ) -> bool:
        """Return the result of ``may_fit``, in less time.

        It is only valid after ``summarize`` and until the state changes.
        """
        if self._retry_all_below > failed_position:
            return True
        upper_bound = self._most_reclaimable if urgent else self._most_free
        fits = covers(upper_bound, member_need(group.shape))
        if not fits and group.client_account not in self._guaranteed_accounts:
            return False
        return self.may_fit(group, urgent, failed_position)

    def may_fit(self, group: JobGroup, urgent: bool, failed_position: int) -> bool:
        """Return whether a group may fit on capacity freed since it failed.

        Only amounts on the freed upstreams and, for gangs, the accelerators in
        their rack or zone are compared, so that a job that still does not fit
        causes no placement search.
        """
        if self._retry_all_below > failed_position:
            return True
        need = member_need(group.shape)
        rejected: set[tuple[str, str]] = set()
        for node in self._logged_after(failed_position):
            if not self._fleet.usable(node):
                continue
            if covers(node.free, need) and self._gang_may_fit(
                node, group.shape, rejected
            ):
                return True
            if urgent and covers(node.reclaimable(node.nonurgent_borrowed), need):
                return True
            if covers(node.unused_guaranteed(group.client_account), need):
                return True
        return False

    def _logged_after(self, position: int) -> list[Node]:
        nodes = []
        for node_id in reversed(self._position_by_id):
            if self._position_by_id[node_id] <= position:
                break
            nodes.append(self._fleet.node_by_id[node_id])
        return nodes

    def _gang_may_fit(
        self, node: Node, shape: Shape, rejected: set[tuple[str, str]]
    ) -> bool:
        """Return whether the gang may fit in the rack or zone of a node.

        Only accelerators are compared.  ``rejected`` collects the racks and
        zones in which the gang does not fit.
        """
        if shape.gang == 1:
            return True
        location = _location(node, shape)
        if location in rejected:
            return False
        if self._max_members_in(location, shape) >= shape.gang:
            return True
        rejected.add(location)
        return False

    def _max_members_in(self, location: tuple[str, str], shape: Shape) -> int:
        need = member_need(shape)
        zone, rack = location
        if rack:
            return self._fleet.index(zone, CapacityView.FREE).max_members(
                need, location
            )
        if zone:
            return self._fleet.index(zone, CapacityView.FREE).max_members(need)
        total = 0
        for _, index in self._fleet.indexes(CapacityView.FREE):
            total += index.max_members(need)
        return total


def _location(node: Node, shape: Shape) -> tuple[str, str]:
    match shape.adjacency:
        case Adjacency.RACK:
            return node.rack
        case Adjacency.ZONE:
            return (node.zone, "")
    return ("", "")
