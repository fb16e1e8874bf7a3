"""Baseline scheduler: first come, first served with first fit."""

from persimmonyard.model import Adjacency, ClientAccountSpec, Shape, UpstreamSpec
from persimmonyard.scheduler import (
    AttemptEnded,
    AttemptPlaced,
    Decision,
    Event,
    GuaranteeProblem,
    Job,
    JobRemoved,
    JobWaiting,
    Place,
    Reason,
    UpstreamDown,
    UpstreamLeaving,
    UpstreamUp,
    ZoneChanged,
)

__all__ = ["FirstFit"]


class FirstFit:
    """Places jobs in order of arrival on the first upstreams that fit.

    A job that does not fit is skipped, so that later, smaller jobs may use
    the free capacity.  Targets, guarantees, predictions and faulty upstreams
    are ignored, and no job is preempted or refused.
    """

    def __init__(self) -> None:
        self._spec_by_id: dict[str, UpstreamSpec] = {}
        self._free_by_id: dict[str, list[int]] = {}
        self._unavailable_ids: set[str] = set()
        self._closed_zones: set[str] = set()
        self._waiting_by_id: dict[str, Job] = {}
        self._running_by_id: dict[str, AttemptPlaced] = {}
        self._number_by_id: dict[str, int] = {}
        self._unplaceable: set[tuple[Shape, frozenset[str]]] = set()
        self._now = 0.0

    def observe(self, event: Event, now: float) -> None:
        """Process a scheduling event."""
        match event:
            case UpstreamUp(spec):
                self._add_upstream(spec)
            case UpstreamLeaving(upstream_id) | UpstreamDown(upstream_id):
                self._unavailable_ids.add(upstream_id)
            case ZoneChanged(zone, in_service):
                self._closed_zones.discard(zone)
                if not in_service:
                    self._closed_zones.add(zone)
                self._unplaceable.clear()
            case JobWaiting(job):
                self._waiting_by_id[job.request_id] = job
            case JobRemoved(request_id):
                self._waiting_by_id.pop(request_id, None)
            case AttemptPlaced():
                self._occupy(event)
            case AttemptEnded(request_id, number):
                self._release(request_id, number)

    def decide(self, now: float) -> list[Decision]:
        """Return a placement for each job that fits, in order of arrival."""
        self._now = now
        decisions: list[Decision] = []
        for job in list(self._waiting_by_id.values()):
            if job.not_before > now or (job.shape, job.avoid) in self._unplaceable:
                continue
            chosen = self._choose(job)
            if chosen is None:
                self._unplaceable.add((job.shape, job.avoid))
                continue
            number = self._number_by_id.get(job.request_id, 1)
            self._occupy(AttemptPlaced(job, number, chosen, False))
            reason = Reason("placed", "first fit")
            decisions.append(Place(job.request_id, number, chosen, False, reason))
        return decisions

    def next_wakeup(self) -> float | None:
        """Return when the next retry delay ends, ``None`` without one."""
        times = [job.not_before for job in self._waiting_by_id.values()]
        return min((time for time in times if time > self._now), default=None)

    def waiting_reason(self, request_id: str) -> Reason | None:
        """Return ``None``: the baseline gives no reasons."""
        return None

    def check_guarantees(
        self, accounts: list[ClientAccountSpec]
    ) -> list[GuaranteeProblem]:
        """Return an empty list: the baseline ignores guarantees."""
        return []

    def _add_upstream(self, spec: UpstreamSpec) -> None:
        previous = self._spec_by_id.get(spec.upstream_id)
        self._spec_by_id[spec.upstream_id] = spec
        self._unavailable_ids.discard(spec.upstream_id)
        self._unplaceable.clear()
        if previous is None or previous.incarnation != spec.incarnation:
            self._free_by_id[spec.upstream_id] = [*spec.capacity(), spec.slots]

    def _occupy(self, placed: AttemptPlaced) -> None:
        request_id = placed.job.request_id
        self._waiting_by_id.pop(request_id, None)
        if request_id in self._running_by_id:
            return
        self._running_by_id[request_id] = placed
        self._number_by_id[request_id] = placed.number + 1
        self._adjust_free(placed, -1)

    def _release(self, request_id: str, number: int) -> None:
        placed = self._running_by_id.get(request_id)
        if placed is None or placed.number != number:
            return
        del self._running_by_id[request_id]
        self._adjust_free(placed, 1)
        self._unplaceable.clear()

    def _adjust_free(self, placed: AttemptPlaced, direction: int) -> None:
        need = (*placed.job.shape.member_resources(), 1)
        for upstream_id in placed.upstream_ids:
            free = self._free_by_id.get(upstream_id)
            if free is None:
                continue
            for index, amount in enumerate(need):
                free[index] += direction * amount

    def _choose(self, job: Job) -> tuple[str, ...] | None:
        chosen_by_location: dict[tuple[str, str], list[str]] = {}
        need = (*job.shape.member_resources(), 1)
        for upstream_id, free in self._free_by_id.items():
            if free[0] < need[0] or free[1] < need[1] or upstream_id in job.avoid:
                continue
            spec = self._spec_by_id[upstream_id]
            if upstream_id in self._unavailable_ids or spec.zone in self._closed_zones:
                continue
            chosen = chosen_by_location.setdefault(
                _location(spec, job.shape.adjacency), []
            )
            chosen.extend([upstream_id] * _max_members(free, need))
            if len(chosen) >= job.shape.gang:
                return tuple(chosen[: job.shape.gang])
        return None


def _max_members(free: list[int], need: tuple[int, ...]) -> int:
    max_members = free[-1]
    for amount, needed in zip(free, need, strict=True):
        if needed > 0:
            max_members = min(max_members, amount // needed)
    return max(max_members, 0)


def _location(spec: UpstreamSpec, adjacency: Adjacency) -> tuple[str, str]:
    match adjacency:
        case Adjacency.RACK:
            return spec.zone, spec.rack
        case Adjacency.ZONE:
            return spec.zone, ""
        case _:
            return "", ""
