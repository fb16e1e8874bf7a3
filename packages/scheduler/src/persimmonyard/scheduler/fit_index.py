"""An index of upstreams by how much of one amount they have available."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from persimmonyard.scheduler.vector import Vector

__all__ = ["FitIndex", "RackKey"]

RackKey = tuple[str, str]


class FitIndex:
    """Upstreams of one zone ordered by available accelerators.

    Buckets are keyed by available accelerators and by the power of two of
    the available memory; inside a bucket upstreams are sorted by cores.  A
    search visits buckets, not upstreams, except in the one memory bucket
    that the wanted amount itself falls into.
    """

    def __init__(self) -> None:
        self._entry_by_id: dict[str, tuple[RackKey, Vector]] = {}
        self._bucket_by_key: dict[tuple[int, int], list[tuple[int, str]]] = {}
        self._keys: list[tuple[int, int]] = []
        self._count_by_level: dict[int, int] = {}
        self._levels_by_rack: dict[RackKey, dict[int, int]] = {}
        self._ids_by_rack: dict[RackKey, set[str]] = {}
        self._sum_by_rack: dict[RackKey, int] = {}
        self._racks: list[tuple[int, RackKey]] = []

    def put(self, node_id: str, rack: RackKey, available: Vector) -> None:
        """Insert an upstream or change its available amount."""
        known = self._entry_by_id.get(node_id)
        if known == (rack, available):
            return
        absent = min(available) < 0 or available[3] == 0
        if known is not None:
            if not absent and known[0] == rack and known[1][0] == available[0]:
                # The counts by accelerators stay as they are.
                self._take_out(node_id, known[1])
                self._put_in(node_id, rack, available)
                return
            self.remove(node_id)
        if absent:
            return
        self._put_in(node_id, rack, available)
        self._count(rack, available[0], 1)
        self._ids_by_rack.setdefault(rack, set()).add(node_id)

    def _put_in(self, node_id: str, rack: RackKey, available: Vector) -> None:
        self._entry_by_id[node_id] = (rack, available)
        key = (available[0], available[2].bit_length())
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            bucket = self._bucket_by_key[key] = []
            insort(self._keys, key)
        insort(bucket, (available[1], node_id))

    def _take_out(self, node_id: str, available: Vector) -> None:
        key = (available[0], available[2].bit_length())
        bucket = self._bucket_by_key[key]
        del bucket[bisect_left(bucket, (available[1], node_id))]
        if not bucket:
            del self._bucket_by_key[key]
            del self._keys[bisect_left(self._keys, key)]

    def remove(self, node_id: str) -> None:
        """Take an upstream out; unknown ones are ignored."""
        known = self._entry_by_id.pop(node_id, None)
        if known is None:
            return
        rack, available = known
        self._take_out(node_id, available)
        self._ids_by_rack[rack].discard(node_id)
        self._count(rack, available[0], -1)

    def _count(self, rack: RackKey, level: int, step: int) -> None:
        for counts in (
            self._count_by_level,
            self._levels_by_rack.setdefault(rack, {}),
        ):
            counts[level] = counts.get(level, 0) + step
            if counts[level] == 0:
                del counts[level]
        old = self._sum_by_rack.get(rack)
        if old is not None:
            del self._racks[bisect_left(self._racks, (old, rack))]
        if not self._levels_by_rack[rack]:
            self._sum_by_rack.pop(rack, None)
            return
        self._sum_by_rack[rack] = (old or 0) + step * level
        insort(self._racks, (self._sum_by_rack[rack], rack))

    def at_least(self, need: Vector) -> Iterator[str]:
        """Yield upstreams that have ``need`` available, tightest first."""
        low = need[2].bit_length()
        for key in self._keys[bisect_left(self._keys, (need[0], 0)) :]:
            if key[1] < low:
                continue
            bucket = self._bucket_by_key[key]
            for position in range(bisect_left(bucket, (need[1], "")), len(bucket)):
                node_id = bucket[position][1]
                if self._entry_by_id[node_id][1][2] >= need[2]:
                    yield node_id

    def members(self, need: Vector, rack: RackKey | None = None) -> int:
        """Return how many members accelerators alone would allow here."""
        if rack is not None:
            return _members(self._levels_by_rack.get(rack, {}), need[0])
        return _members(self._count_by_level, need[0])

    def racks_for(self, need: Vector, gang: int) -> Iterator[RackKey]:
        """Yield racks that may hold the gang, the fullest first."""
        start = bisect_left(self._racks, (need[0] * gang, ("", "")))
        for _, rack in self._racks[start:]:
            if _members(self._levels_by_rack[rack], need[0]) >= gang:
                yield rack

    def freest_racks(self) -> Iterator[RackKey]:
        """Yield racks, those with most available accelerators first."""
        for _, rack in reversed(self._racks):
            yield rack

    def ids_in_rack(self, rack: RackKey) -> list[str]:
        """Return the indexed upstreams of a rack in a fixed order."""
        return sorted(self._ids_by_rack.get(rack, ()))


def _members(count_by_level: dict[int, int], accelerators: int) -> int:
    if accelerators == 0:
        return 1 << 30 if count_by_level else 0
    total = 0
    for level, count in count_by_level.items():
        total += count * (level // accelerators)
    return total
