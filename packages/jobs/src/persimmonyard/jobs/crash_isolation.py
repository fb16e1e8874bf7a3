"""Placement of units that may crash their upstream, apart from others."""

from collections.abc import Iterable

from persimmonyard.jobs.capacity import UpstreamCapacity, fits_when_empty
from persimmonyard.jobs.commands import Seat
from persimmonyard.jobs.model import Step, UnitKey
from persimmonyard.jobs.records import Unit

__all__ = [
    "SEPARATION_MS",
    "Separation",
    "away_from_crashes",
    "away_from_suspects",
    "isolate_seats",
    "limit_watched",
    "rank_for_suspect",
    "started_within",
]

# At most one of this many upstreams is kept free of other work for a task that
# may crash it, so that such tasks cannot take the capacity of all others.
_UPSTREAMS_PER_WATCHED = 8
# Least time between a start on suspicion and others on the same upstream, and
# the longest wait for such a start, in milliseconds.
SEPARATION_MS = 300
_MAX_SEPARATION_WAIT_MS = 1_500
# A crash may be put down to any unit placed within this time, in milliseconds.
_SETTLED_AFTER_MS = 1_000


def started_within(limit_ms: int, placed_ms: int, wall_ms: int) -> bool:
    """Return whether a placement was made less than ``limit_ms`` ago.

    One that seems to lie ahead was made by a leader with another clock; it
    must keep no unit waiting until that time.
    """
    return 0 <= wall_ms - placed_ms < limit_ms


def limit_watched(capacity_by_id: dict[str, UpstreamCapacity]) -> None:
    """Open the upstreams that are watched beyond the limit to other units."""
    left = max(1, len(capacity_by_id) // _UPSTREAMS_PER_WATCHED)
    for candidate in capacity_by_id.values():
        candidate.watched = candidate.watched and left > 0
        left -= candidate.watched


def away_from_crashes(
    unit: Unit, step: Step, tasks: int, candidates: list[UpstreamCapacity]
) -> list[UpstreamCapacity]:
    """Return the candidates without a crash under a unit.

    Returns all of them if the tasks of the unit would not fit on the others
    even if these were empty.
    """
    addresses = {crash.address for crash in unit.crashes}
    elsewhere = [
        candidate
        for candidate in candidates
        if candidate.upstream.report.address not in addresses
    ]
    return elsewhere if fits_when_empty(step, tasks, elsewhere) else candidates


def away_from_suspects(candidates: list[UpstreamCapacity]) -> list[UpstreamCapacity]:
    """Return the candidates that no other unit may crash, or else all."""
    unwatched = [candidate for candidate in candidates if not candidate.watched]
    return unwatched or candidates


class Separation:
    """Keeps a start on suspicion apart in time from others on its upstream.

    If the upstream crashes right after two starts, nobody knows which of them
    has caused it.  A unit waits for a separate start, but not for long: a
    crowded upstream may start work all the time.
    """

    def __init__(self) -> None:
        self._waiting_since_ms: dict[UnitKey, int] = {}

    def forget_placed(self, waiting_keys: Iterable[UnitKey]) -> None:
        """Forget the units that no longer wait."""
        if not self._waiting_since_ms:
            return
        waiting = set(waiting_keys)
        for key in list(self._waiting_since_ms):
            if key not in waiting:
                del self._waiting_since_ms[key]

    def filter(
        self, key: UnitKey, candidates: list[UpstreamCapacity], wall_ms: int
    ) -> list[UpstreamCapacity]:
        """Return the candidates where a unit may start on suspicion now."""
        separate = [
            candidate
            for candidate in candidates
            if not started_within(SEPARATION_MS, candidate.placed_ms, wall_ms)
        ]
        if len(separate) == len(candidates):
            return candidates
        since_ms = self._waiting_since_ms.setdefault(key, wall_ms)
        if wall_ms - since_ms >= _MAX_SEPARATION_WAIT_MS:
            return candidates
        return separate


def rank_for_suspect(
    candidate: UpstreamCapacity, wall_ms: int
) -> tuple[bool, bool, int]:
    """Return the rank of a candidate for a unit that may be to blame.

    Where nothing else was placed just before, and where the upstream has not
    crashed lately, a crash tells the most about the unit.
    """
    unsettled = started_within(_SETTLED_AFTER_MS, candidate.placed_ms, wall_ms)
    return unsettled, candidate.unstable, candidate.runs


def isolate_seats(
    seats: list[Seat], capacity_by_id: dict[str, UpstreamCapacity]
) -> None:
    """Keep other units off the upstreams of a unit in this plan."""
    for seat in seats:
        capacity_by_id[seat.upstream_id].isolated = True
