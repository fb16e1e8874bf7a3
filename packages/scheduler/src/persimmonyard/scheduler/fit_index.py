"""An index of upstreams by available capacity, for best-fit searches."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from persimmonyard.scheduler.vector import Vector

__all__ = ["FitIndex", "RackKey"]

RackKey = tuple[str, str]


class FitIndex:
    """Upstreams of one zone ordered by available accelerators.

    Buckets are keyed by the available accelerators and by the bit length of
    the available memory in MB; inside a bucket, upstreams are sorted by
    cores.  A search skips whole buckets.  It rejects single upstreams only in
    buckets whose bit length is that of the requested memory.
    """

    def __init__(self) -> None:
        self._entry_by_id: dict[str, tuple[RackKey, Vector]] = {}
        self._bucket_by_key: dict[tuple[int, int], list[tuple[int, str]]] = {}
        self._sorted_keys: list[tuple[int, int]] = []
        self._count_by_available: dict[int, int] = {}
        self._counts_by_rack: dict[RackKey, dict[int, int]] = {}
        self._ids_by_rack: dict[RackKey, set[str]] = {}
        self._accelerators_by_rack: dict[RackKey, int] = {}
        self._sorted_racks: list[tuple[int, RackKey]] = []

    def put(self, node_id: str, rack: RackKey, available: Vector) -> None:
        """Insert an upstream or change its available capacity."""
        entry = self._entry_by_id.get(node_id)
        if entry == (rack, available):
            return
        unavailable = min(available) < 0 or available[3] == 0
        if entry is not None:
            if not unavailable and entry[0] == rack and entry[1][0] == available[0]:
                # The counts of upstreams by accelerators do not change.
                self._delete(node_id, entry[1])
                self._insert(node_id, rack, available)
                return
            self.remove(node_id)
        if unavailable:
            return
        self._insert(node_id, rack, available)
        self._update_counts(rack, available[0], 1)
        self._ids_by_rack.setdefault(rack, set()).add(node_id)

    def _insert(self, node_id: str, rack: RackKey, available: Vector) -> None:
        self._entry_by_id[node_id] = (rack, available)
        key = (available[0], available[2].bit_length())
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            bucket = self._bucket_by_key[key] = []
            insort(self._sorted_keys, key)
        insort(bucket, (available[1], node_id))

    def _delete(self, node_id: str, available: Vector) -> None:
        key = (available[0], available[2].bit_length())
        bucket = self._bucket_by_key[key]
        del bucket[bisect_left(bucket, (available[1], node_id))]
        if not bucket:
            del self._bucket_by_key[key]
            del self._sorted_keys[bisect_left(self._sorted_keys, key)]

    def remove(self, node_id: str) -> None:
        """Remove an upstream; unknown ones are ignored."""
        entry = self._entry_by_id.pop(node_id, None)
        if entry is None:
            return
        rack, available = entry
        self._delete(node_id, available)
        self._ids_by_rack[rack].discard(node_id)
        self._update_counts(rack, available[0], -1)

    def _update_counts(self, rack: RackKey, accelerators: int, delta: int) -> None:
        for counts in (
            self._count_by_available,
            self._counts_by_rack.setdefault(rack, {}),
        ):
            counts[accelerators] = counts.get(accelerators, 0) + delta
            if counts[accelerators] == 0:
                del counts[accelerators]
        old = self._accelerators_by_rack.get(rack)
        if old is not None:
            del self._sorted_racks[bisect_left(self._sorted_racks, (old, rack))]
        if not self._counts_by_rack[rack]:
            self._accelerators_by_rack.pop(rack, None)
            return
        self._accelerators_by_rack[rack] = (old or 0) + delta * accelerators
        insort(self._sorted_racks, (self._accelerators_by_rack[rack], rack))

    def best_fit(self, need: Vector) -> Iterator[str]:
        """Yield the upstreams on which ``need`` fits, the best fit first."""
        min_memory_bits = need[2].bit_length()
        for key in self._sorted_keys[bisect_left(self._sorted_keys, (need[0], 0)) :]:
            if key[1] < min_memory_bits:
                continue
            bucket = self._bucket_by_key[key]
            for position in range(bisect_left(bucket, (need[1], "")), len(bucket)):
                node_id = bucket[position][1]
                if self._entry_by_id[node_id][1][2] >= need[2]:
                    yield node_id

    def max_members(self, need: Vector, rack: RackKey | None = None) -> int:
        """Return an upper bound on the number of members that fit.

        Only accelerators are compared, in one rack, or in the whole zone if
        ``rack`` is ``None``.
        """
        if rack is not None:
            return _max_members(self._counts_by_rack.get(rack, {}), need[0])
        return _max_members(self._count_by_available, need[0])

    def racks_for(self, need: Vector, gang: int) -> Iterator[RackKey]:
        """Yield racks in which the gang may fit, the least available first.

        Only accelerators are compared.
        """
        start = bisect_left(self._sorted_racks, (need[0] * gang, ("", "")))
        for _, rack in self._sorted_racks[start:]:
            if _max_members(self._counts_by_rack[rack], need[0]) >= gang:
                yield rack

    def most_available_racks(self) -> Iterator[RackKey]:
        """Yield racks, those with the most available accelerators first."""
        for _, rack in reversed(self._sorted_racks):
            yield rack

    def ids_in_rack(self, rack: RackKey) -> list[str]:
        """Return the indexed upstreams of a rack, sorted by identifier."""
        return sorted(self._ids_by_rack.get(rack, ()))


def _max_members(count_by_available: dict[int, int], accelerators: int) -> int:
    if accelerators == 0:
        return 1 << 30 if count_by_available else 0
    total = 0
    for available, count in count_by_available.items():
        total += count * (available // accelerators)
    return total
