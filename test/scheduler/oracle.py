"""An exhaustive scheduler for small fleets, used as a test oracle."""

from itertools import combinations_with_replacement

from persimmonyard.model import Adjacency, Shape

__all__ = ["ExhaustiveScheduler"]


class ExhaustiveScheduler:
    """Try every placement, on up to about six upstreams.

    ``occupy`` and ``release`` change the free capacity.  All upstreams given
    are in service.
    """

    def __init__(self, upstreams):
        self.spec_by_id = {spec.upstream_id: spec for spec in upstreams}
        self.free_by_id = {spec.upstream_id: spec.capacity() for spec in upstreams}
        self.slots_by_id = {spec.upstream_id: spec.slots for spec in upstreams}

    def occupy(self, upstream_ids, shape):
        """Allocate one member of ``shape`` for each upstream identifier."""
        for upstream_id in upstream_ids:
            free = self.free_by_id[upstream_id]
            self.free_by_id[upstream_id] = free.minus(shape.member_resources())
            self.slots_by_id[upstream_id] -= 1

    def release(self, upstream_ids, shape):
        """Release what ``occupy`` allocated."""
        for upstream_id in upstream_ids:
            free = self.free_by_id[upstream_id]
            self.free_by_id[upstream_id] = free.plus(shape.member_resources())
            self.slots_by_id[upstream_id] += 1

    def is_valid(self, upstream_ids, shape):
        """Return whether a gang's members fit and have its adjacency."""
        if len(upstream_ids) != shape.gang or not self._are_adjacent(
            upstream_ids, shape
        ):
            return False
        self.occupy(upstream_ids, shape)
        fits = all(
            min(self.free_by_id[upstream_id]) >= 0
            and self.slots_by_id[upstream_id] >= 0
            for upstream_id in upstream_ids
        )
        self.release(upstream_ids, shape)
        return fits

    def placements(self, shape, avoid=frozenset()):
        """Yield every valid placement as a tuple of upstream identifiers."""
        allowed = sorted(set(self.spec_by_id) - avoid)
        for upstream_ids in combinations_with_replacement(allowed, shape.gang):
            if self.is_valid(upstream_ids, shape):
                yield upstream_ids

    def can_place(self, job):
        """Return whether a job fits into the free capacity."""
        return any(True for _ in self.placements(job.shape, job.avoid))

    def guarantees_feasible(self, accounts):
        """Return whether all guaranteed blocks fit on the fleet together.

        The fleet counts as idle, whatever ``occupy`` allocated.
        """
        blocks: list[Shape] = []
        for account in accounts:
            blocks.extend(account.guarantee)
        return ExhaustiveScheduler(self.spec_by_id.values())._all_fit(blocks)

    def _all_fit(self, blocks):
        if not blocks:
            return True
        for upstream_ids in self.placements(blocks[0]):
            self.occupy(upstream_ids, blocks[0])
            fits = self._all_fit(blocks[1:])
            self.release(upstream_ids, blocks[0])
            if fits:
                return True
        return False

    def _are_adjacent(self, upstream_ids, shape):
        specs = [self.spec_by_id[upstream_id] for upstream_id in upstream_ids]
        match shape.adjacency:
            case Adjacency.RACK:
                return len({(spec.zone, spec.rack) for spec in specs}) == 1
            case Adjacency.ZONE:
                return len({spec.zone for spec in specs}) == 1
            case _:
                return True
