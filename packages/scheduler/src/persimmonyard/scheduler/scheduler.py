"""The scheduler: facts in, decisions out, time as an argument."""

from typing import NamedTuple

from persimmonyard.model import Adjacency, ClientAccountSpec, Resources, UpstreamSpec
from persimmonyard.scheduler.decisions import (
    Decision,
    GuaranteeProblem,
    Place,
    Reason,
)
from persimmonyard.scheduler.events import (
    AttemptEnded,
    AttemptPlaced,
    Event,
    Job,
    JobGone,
    JobWaiting,
    UpstreamDown,
    UpstreamLeaving,
    UpstreamUp,
    ZoneChanged,
)

__all__ = ["Scheduler"]


class _Running(NamedTuple):
    job: Job
    number: int
    upstream_ids: tuple[str, ...]


class Scheduler:
    """Place waiting jobs on upstreams.

    Example: after ``observe(UpstreamUp(spec), now)`` and
    ``observe(JobWaiting(job), now)``, ``decide(now)`` returns a ``Place``.
    """

    def __init__(self) -> None:
        self._spec_by_id: dict[str, UpstreamSpec] = {}
        self._free_by_id: dict[str, Resources] = {}
        self._slots_by_id: dict[str, int] = {}
        self._closed_ids: set[str] = set()
        self._closed_zones: set[str] = set()
        self._waiting_by_id: dict[str, Job] = {}
        self._running_by_id: dict[str, _Running] = {}
        self._next_number_by_id: dict[str, int] = {}
        self._reason_by_id: dict[str, Reason] = {}

    def observe(self, event: Event, now: float) -> None:
        """Take note of a fact."""
        match event:
            case UpstreamUp(spec):
                self._add(spec)
            case UpstreamLeaving(upstream_id):
                self._closed_ids.add(upstream_id)
            case UpstreamDown(upstream_id):
                self._closed_ids.add(upstream_id)
            case ZoneChanged(zone, in_service):
                self._closed_zones.discard(zone)
                if not in_service:
                    self._closed_zones.add(zone)
            case JobWaiting(job):
                self._waiting_by_id[job.request_id] = job
            case JobGone(request_id):
                self._waiting_by_id.pop(request_id, None)
                self._reason_by_id.pop(request_id, None)
                self._next_number_by_id.pop(request_id, None)
            case AttemptPlaced(job, number, upstream_ids, _):
                self._occupy(job, number, upstream_ids)
            case AttemptEnded(request_id, number):
                self._release(request_id, number)

    def decide(self, now: float) -> list[Decision]:
        """Return the decisions that the known facts call for."""
        decisions: list[Decision] = []
        for job in list(self._waiting_by_id.values()):
            if job.not_before > now:
                continue
            chosen = self._choose(job)
            if chosen is None:
                self._reason_by_id[job.request_id] = Reason(
                    "no_capacity", "not enough free capacity now"
                )
                continue
            number = self._next_number_by_id.get(job.request_id, 1)
            self._occupy(job, number, chosen)
            reason = Reason("placed", "first fit")
            decisions.append(Place(job.request_id, number, chosen, False, reason))
        return decisions

    def next_wakeup(self) -> float | None:
        """Return when ``decide`` is due without a new fact."""
        times = [job.not_before for job in self._waiting_by_id.values()]
        return min(times, default=None)

    def why_waiting(self, request_id: str) -> Reason | None:
        """Return why a request waits."""
        return self._reason_by_id.get(request_id)

    def check_guarantees(
        self, accounts: list[ClientAccountSpec]
    ) -> list[GuaranteeProblem]:
        """Return the guaranteed shapes that do not fit on the fleet."""
        return []

    def _add(self, spec: UpstreamSpec) -> None:
        known = self._spec_by_id.get(spec.upstream_id)
        self._spec_by_id[spec.upstream_id] = spec
        self._closed_ids.discard(spec.upstream_id)
        if known is not None and known.incarnation == spec.incarnation:
            return
        self._free_by_id[spec.upstream_id] = spec.capacity()
        self._slots_by_id[spec.upstream_id] = spec.slots

    def _occupy(self, job: Job, number: int, upstream_ids: tuple[str, ...]) -> None:
        self._waiting_by_id.pop(job.request_id, None)
        if job.request_id in self._running_by_id:
            return
        self._running_by_id[job.request_id] = _Running(job, number, upstream_ids)
        self._next_number_by_id[job.request_id] = number + 1
        for upstream_id in upstream_ids:
            if upstream_id not in self._free_by_id:
                continue
            free = self._free_by_id[upstream_id]
            self._free_by_id[upstream_id] = free.minus(job.shape.member())
            self._slots_by_id[upstream_id] -= 1

    def _release(self, request_id: str, number: int) -> None:
        running = self._running_by_id.get(request_id)
        if running is None or running.number != number:
            return
        del self._running_by_id[request_id]
        for upstream_id in running.upstream_ids:
            if upstream_id not in self._free_by_id:
                continue
            free = self._free_by_id[upstream_id]
            self._free_by_id[upstream_id] = free.plus(running.job.shape.member())
            self._slots_by_id[upstream_id] += 1

    def _choose(self, job: Job) -> tuple[str, ...] | None:
        for group in self._groups(job.shape.adjacency):
            chosen = self._choose_in(job, group)
            if chosen is not None:
                return chosen
        return None

    def _groups(self, adjacency: Adjacency) -> list[list[UpstreamSpec]]:
        by_place: dict[tuple[str, str], list[UpstreamSpec]] = {}
        for spec in self._spec_by_id.values():
            if spec.upstream_id in self._closed_ids:
                continue
            if spec.zone in self._closed_zones:
                continue
            place = ("", "")
            if adjacency == Adjacency.ZONE:
                place = (spec.zone, "")
            if adjacency == Adjacency.RACK:
                place = (spec.zone, spec.rack)
            by_place.setdefault(place, []).append(spec)
        return list(by_place.values())

    def _choose_in(self, job: Job, group: list[UpstreamSpec]) -> tuple[str, ...] | None:
        need = job.shape.member()
        chosen: list[str] = []
        for spec in group:
            if spec.upstream_id in job.avoid:
                continue
            free = self._free_by_id[spec.upstream_id]
            slots = self._slots_by_id[spec.upstream_id]
            while slots > 0 and need.fits(free):
                chosen.append(spec.upstream_id)
                if len(chosen) == job.shape.gang:
                    return tuple(chosen)
                free = free.minus(need)
                slots -= 1
        return None
