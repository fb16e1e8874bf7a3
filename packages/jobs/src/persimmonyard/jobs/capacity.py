"""Free capacity of upstreams while a plan is made."""

from collections.abc import Iterable
from dataclasses import dataclass

from persimmonyard.jobs.fleet import Upstream
from persimmonyard.jobs.model import Step
from persimmonyard.model import Resources

__all__ = [
    "UpstreamCapacity",
    "charged_resources",
    "fit_count",
    "fits_once_runs_end",
    "fits_when_empty",
    "free_accelerators",
    "half_free",
    "least_busy_fit",
    "most_free",
    "mostly_free",
]


@dataclass
class UpstreamCapacity:
    """Free capacity of one upstream while a plan is made.

    ``free`` is available now, ``future_free`` once the runs that are
    stopping or about to end have ended, and ``obtainable`` once all runs that
    end have ended.  A ``reserved`` upstream is kept for a unit that waits, and
    an ``isolated`` one has just started a suspect.  ``runs`` is the number of
    its runs, the last of them placed at ``placed_ms``, and ``watched`` is true
    while one of them may crash it.  ``unstable`` is true if it has crashed
    lately.  A ``doubtful`` upstream may not start work, or fail it.
    ``speed_level`` is the level of its speed, 0 at the reference speed.
    ``kinds`` counts the tasks by kind, those of the plan included, and is None
    until it is needed.
    """

    upstream: Upstream
    free: Resources
    future_free: Resources
    obtainable: Resources
    reserved: bool = False
    isolated: bool = False
    runs: int = 0
    watched: bool = False
    placed_ms: int = 0
    unstable: bool = False
    doubtful: bool = False
    speed_level: int = 0
    kinds: dict[str, int] | None = None


def charged_resources(step: Step) -> Resources:
    """Return the resources that a task takes from an upstream's capacity."""
    return step.needs._replace(cores=0) if step.fills else step.needs


def half_free(capacity_by_id: dict[str, UpstreamCapacity]) -> bool:
    """Return whether at least half of all accelerators are free."""
    free = sum(candidate.free.accelerators for candidate in capacity_by_id.values())
    total = sum(
        candidate.upstream.report.capacity.accelerators
        for candidate in capacity_by_id.values()
    )
    return 2 * free >= total


def mostly_free(capacity_by_id: dict[str, UpstreamCapacity]) -> bool:
    """Return whether over half of each resource of the fleet is free."""
    free = total = Resources(0, 0, 0)
    for candidate in capacity_by_id.values():
        free = free.plus(candidate.free)
        total = total.plus(candidate.upstream.report.capacity)
    return all(
        2 * available > whole or not whole
        for available, whole in zip(free, total, strict=True)
    )


def most_free(
    candidates: Iterable[UpstreamCapacity], service: str, label: str
) -> Resources:
    """Return the most that is free of each resource on one upstream.

    Only upstreams of the service count, and with ``label`` only those that
    have this label.
    """
    most = Resources(-1, -1, -1)
    for candidate in candidates:
        report = candidate.upstream.report
        if report.service != service or (label and label not in report.labels):
            continue
        most = Resources(*map(max, most, candidate.free))
    return most


def least_busy_fit(
    step: Step, tasks: int, group: list[UpstreamCapacity]
) -> tuple[int, list[UpstreamCapacity]] | None:
    """Return upstreams that fit all tasks once their runs have ended.

    Runs without an end keep their capacity.  Upstreams with the most free
    accelerators are preferred.  The first value is the number of busy
    accelerators on the returned upstreams.  Returns None if the tasks do not
    fit on the group.
    """
    needs = charged_resources(step)
    ranked = sorted(group, key=lambda candidate: -candidate.free.accelerators)
    chosen = []
    fitting = 0
    busy = 0
    for candidate in ranked:
        if fitting >= tasks:
            break
        count = fit_count(needs, candidate.obtainable)
        if step.per_upstream:
            count = min(count, step.per_upstream)
        if count <= 0:
            continue
        chosen.append(candidate)
        fitting += count
        busy += (
            candidate.upstream.report.capacity.accelerators
            - candidate.free.accelerators
        )
    return (busy, chosen) if fitting >= tasks else None


def fits_when_empty(step: Step, tasks: int, group: list[UpstreamCapacity]) -> bool:
    """Return whether a group that is empty fits tasks of a step together.

    It depends on the capacities and the limit per upstream, not on what runs.
    """
    capacities = (candidate.upstream.report.capacity for candidate in group)
    return _fits_together(step, tasks, capacities)


def fits_once_runs_end(step: Step, tasks: int, group: list[UpstreamCapacity]) -> bool:
    """Return whether a group fits tasks together once its runs have ended.

    Runs without an end keep their capacity.
    """
    capacities = (candidate.obtainable for candidate in group)
    return _fits_together(step, tasks, capacities)


def _fits_together(step: Step, tasks: int, capacities: Iterable[Resources]) -> bool:
    needs = charged_resources(step)
    fitting = 0
    for capacity in capacities:
        count = max(0, fit_count(needs, capacity))
        if step.per_upstream:
            count = min(count, step.per_upstream)
        fitting += count
        if fitting >= tasks:
            return True
    return False


def free_accelerators(candidates: list[UpstreamCapacity]) -> int:
    """Return how many accelerators are free on all candidates."""
    return sum(candidate.free.accelerators for candidate in candidates)


def fit_count(needs: Resources, capacity: Resources) -> int:
    """Return how many tasks with these needs fit, at most 1,000."""
    counts = [1_000]
    for need, available in zip(needs, capacity, strict=True):
        if need > 0:
            counts.append(available // need)
    return min(counts)
