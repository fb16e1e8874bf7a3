"""The order in which the seats of a unit are taken.

Load pattern: gangs of hundreds of tasks arrive at a fleet of thousands of
upstreams.  Each seat that is taken changes the rank of its upstream and of
those of its rack only, so that not all candidates are compared again for each
task of a gang.
"""

import heapq
import itertools
from collections.abc import Callable, Mapping
from typing import NamedTuple

from persimmonyard.decisions import Effect, FastestFirst, SpeedOrder
from persimmonyard.jobs.capacity import UpstreamCapacity, charged_resources
from persimmonyard.jobs.crash_isolation import rank_for_suspect
from persimmonyard.jobs.interference import Interference
from persimmonyard.jobs.model import Step, UnitKey

__all__ = ["RankedSeat", "SeatQueue", "SeatRanking", "UnitTasks", "seat_source"]

# Place of the share of its rate that a task loses, in a rank.
_LOSS = 2


class UnitTasks(NamedTuple):
    """The tasks of a unit, and how their seats are chosen."""

    key: UnitKey
    step: Step
    tasks: list[int]
    apart: bool
    order: SpeedOrder


class RankedSeat(NamedTuple):
    """The best candidate for a task.

    ``kept_apart`` is true if a better filled upstream was passed over because
    tasks would slow each other down there, and ``shared`` if they do here.
    """

    candidate: UpstreamCapacity
    kept_apart: bool
    shared: bool


class SeatRanking:
    """Compares candidates for the next task of a unit.

    ``count_by_id`` is the number of tasks of the step by upstream, and
    ``free_by_rack`` the number of free accelerators; both change as seats are
    taken.
    """

    def __init__(
        self,
        unit_tasks: UnitTasks,
        count_by_id: Mapping[str, int],
        free_by_rack: Mapping[str, int],
        interference: Interference,
        wall_ms: int,
    ):
        step = unit_tasks.step
        self._needs = charged_resources(step)
        self._per_upstream = step.per_upstream
        self._apart = unit_tasks.apart
        self._fastest_first = (
            isinstance(unit_tasks.order, FastestFirst) and len(unit_tasks.tasks) == 1
        )
        self._count_by_id = count_by_id
        self._free_by_rack = free_by_rack
        self._interference = interference
        self._wall_ms = wall_ms
        self.effects: dict[str, Effect] = interference.effects_on(unit_tasks.key, step)

    def has_room(self, candidate: UpstreamCapacity) -> bool:
        """Return whether one more task of the unit fits on a candidate."""
        if not self._needs.fits(candidate.free):
            return False
        if not self._needs.fits(candidate.future_free):
            return False
        if not self._per_upstream:
            return True
        upstream_id = candidate.upstream.report.upstream_id
        return self._count_by_id.get(upstream_id, 0) < self._per_upstream

    def rank(self, candidate: UpstreamCapacity) -> tuple:
        """Return the rank of a candidate as if no task were slowed down.

        The fullest upstreams and racks come first, so that others stay empty
        for work that needs a whole upstream or much of a rack.
        """
        report = candidate.upstream.report
        level = candidate.speed_level
        return (
            rank_for_suspect(candidate, self._wall_ms) if self._apart else (),
            -level if self._fastest_first else level,
            0.0,
            candidate.free.accelerators,
            self._free_by_rack[report.rack],
            candidate.free.cores,
            report.upstream_id,
        )

    def best(self, candidates: list[UpstreamCapacity]) -> RankedSeat | None:
        """Return the best seat for a task by comparing all candidates."""
        best: tuple[tuple, UpstreamCapacity] | None = None
        # The ranks of candidates where a task would be slowed down.
        disturbed: list[tuple] = []
        for candidate in candidates:
            if not self.has_room(candidate):
                continue
            rank = self.rank(candidate)
            if best is not None and best[0] < rank:
                continue
            if self.effects:
                loss = self._interference.loss(candidate, self.effects)
                if loss:
                    disturbed.append(rank)
                    rank = (*rank[:_LOSS], loss, *rank[_LOSS + 1 :])
                    if best is not None and best[0] < rank:
                        continue
            best = (rank, candidate)
        if best is None:
            return None
        rank, candidate = best
        shared = rank[_LOSS] > 0.0
        kept_apart = not shared and any(other < rank for other in disturbed)
        return RankedSeat(candidate, kept_apart, shared)


class SeatQueue:
    """The candidates with room for a task, best first.

    It gives the same order as ``SeatRanking.best`` where no task is slowed
    down.
    """

    def __init__(self, ranking: SeatRanking, candidates: list[UpstreamCapacity]):
        self._ranking = ranking
        self._numbers = itertools.count()
        self._heap: list[tuple[tuple, int, UpstreamCapacity]] = []
        self._candidates_by_rack: dict[str, list[UpstreamCapacity]] = {}
        for candidate in candidates:
            if not ranking.has_room(candidate):
                continue
            rack = candidate.upstream.report.rack
            self._candidates_by_rack.setdefault(rack, []).append(candidate)
            self._heap.append((ranking.rank(candidate), next(self._numbers), candidate))
        heapq.heapify(self._heap)

    def best(self) -> RankedSeat | None:
        """Return the best seat for the next task."""
        while self._heap:
            rank, _, candidate = self._heap[0]
            if self._ranking.has_room(candidate) and (
                rank == self._ranking.rank(candidate)
            ):
                return RankedSeat(candidate, False, False)
            heapq.heappop(self._heap)
        return None

    def update(self, rack: str) -> None:
        """Rank the candidates of a rack anew after a seat there was taken.

        Outdated entries stay in the queue until they come first.
        """
        for candidate in self._candidates_by_rack[rack]:
            if self._ranking.has_room(candidate):
                heapq.heappush(
                    self._heap,
                    (self._ranking.rank(candidate), next(self._numbers), candidate),
                )


def seat_source(
    ranking: SeatRanking, candidates: list[UpstreamCapacity], tasks: int
) -> tuple[Callable[[], RankedSeat | None], Callable[[str], None]]:
    """Return what gives the best seat, and what is told of each seat taken."""
    if tasks == 1 or ranking.effects:
        return lambda: ranking.best(candidates), lambda rack: None
    queue = SeatQueue(ranking, candidates)
    return queue.best, queue.update
