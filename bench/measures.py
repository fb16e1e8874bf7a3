"""Measures of one simulation: completion, fragmentation, zones, rules."""

import math
from collections import Counter
from collections.abc import Sequence

from bench.simulator import Attempt, Request, Simulator
from persimmonyard.model import Resources

__all__ = ["measure", "quantile"]

MIN_HEADROOM_S = 30.0  # a job could have started if its guarantee had room for so long
ZONE_RECOVERY_S = 600.0
LARGEST_GANG_SHARE = (
    0.5  # large gangs have at least half the accelerators of the largest
)


def quantile(values: list[float], share: float) -> float:
    """Return the value of rank ``ceil(share * n)``, NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def measure(simulator: Simulator) -> dict:
    """Return all measures of a finished run."""
    counted = [r for r in simulator.request_by_id.values() if _is_counted(r, simulator)]
    return {
        "simulated_s": simulator.end - simulator.workload.start,
        "ended": dict(Counter(_end_state(r) for r in simulator.request_by_id.values())),
        "faults": _end_states_by_fault(simulator),
        "completion_by_class": _completion_by_class(simulator, counted),
        "urgent": _urgent_measures(simulator, counted),
        "fragmentation": _fragmentation_measures(simulator, counted),
        "zone": _zone_measures(simulator),
        "violations": dict(simulator.violations),
        "preemptions": dict(simulator.preemptions),
        "quarantines": _quarantines(simulator),
        "decide_p99_s": quantile(simulator.decide_times_s, 0.99),
        "decide_max_s": max(simulator.decide_times_s, default=0.0),
        "decide_calls": len(simulator.decide_times_s),
        "series": _time_series(simulator),
    }


def _is_counted(request: Request, simulator: Simulator) -> bool:
    """Return whether a request counts in the measures.

    It must be submitted during the run and be able to finish.  Jobs that are
    to be cancelled are left out even if they finish first, so that the same
    jobs count under every scheduler.
    """
    planned = request.planned
    if planned.fault or planned.cancel_at is not None:
        return False
    return planned.job.submitted_at >= simulator.workload.start


def _end_state(request: Request) -> str:
    if request.end:
        return request.end
    return "waiting" if request.active_attempt() is None else "running"


def _end_states_by_fault(simulator: Simulator) -> dict:
    """Count the end states of the jobs with a planned fault, by fault."""
    ends: dict[str, Counter[str]] = {"fails": Counter(), "impossible": Counter()}
    for request in simulator.request_by_id.values():
        if request.planned.fault:
            ends[request.planned.fault][_end_state(request)] += 1
    return {fault: dict(counter) for fault, counter in ends.items()}


def _completion_s(request: Request, simulator: Simulator) -> float:
    """Return the time to completion, or the time so far if unfinished."""
    ended_at = request.ended_at
    if request.end != "finished" or ended_at is None:
        ended_at = simulator.end
    return ended_at - request.planned.job.submitted_at


def _is_late(request: Request, simulator: Simulator) -> bool | None:
    """Return whether the target is missed, or ``None`` if not known yet."""
    spec = next(
        c for c in simulator.workload.classes if c.name == request.job.class_name
    )
    submitted = request.planned.job.submitted_at
    deadline = math.inf
    if spec.within_s is not None:
        deadline = submitted + spec.within_s
    elif spec.done_by is not None:
        hours, minutes = spec.done_by.split(":")
        day_start = submitted - submitted % 86_400.0
        deadline = day_start + int(hours) * 3_600.0 + int(minutes) * 60.0
        if deadline <= submitted:
            deadline += 86_400.0
    if submitted + _completion_s(request, simulator) > deadline:
        return True
    return False if request.end == "finished" else None


def _completion_by_class(simulator: Simulator, counted: list[Request]) -> dict:
    by_class: dict[str, dict] = {}
    for spec in simulator.workload.classes:
        requests = [r for r in counted if r.job.class_name == spec.name]
        late_flags = [_is_late(request, simulator) for request in requests]
        times = [_completion_s(request, simulator) for request in requests]
        known_count = late_flags.count(True) + late_flags.count(False)
        by_class[spec.name] = {
            "jobs": len(requests),
            "finished": sum(r.end == "finished" for r in requests),
            "late": late_flags.count(True),
            "in_target_share": late_flags.count(False) / known_count
            if known_count
            else math.nan,
            "p50_s": quantile(times, 0.5),
            "p99_s": quantile(times, 0.99),
        }
    return by_class


def _urgent_measures(simulator: Simulator, counted: list[Request]) -> dict:
    name = simulator.workload.urgent_class
    first, last = simulator.workload.burst
    requests = [r for r in counted if r.job.class_name == name]
    burst = [r for r in requests if first <= r.planned.job.submitted_at <= last]
    late = [r for r in requests if _is_late(r, simulator)]
    starts = []
    for request in requests:
        started = simulator.end if request.first_start is None else request.first_start
        starts.append(started - request.planned.job.submitted_at)
    return {
        "late": len(late),
        "late_within_guarantee": _count_late_within_guarantee(simulator, late),
        "burst_jobs": len(burst),
        "burst_floor_p99_s": quantile([r.planned.run_s for r in burst], 0.99),
        "burst_p50_s": quantile([_completion_s(r, simulator) for r in burst], 0.5),
        "burst_p99_s": quantile([_completion_s(r, simulator) for r in burst], 0.99),
        "start_p99_s": quantile(starts, 0.99),
    }


def _count_late_within_guarantee(simulator: Simulator, late: list[Request]) -> int:
    """Count late jobs for which the guarantee of their account had room.

    A job counts if there were at least 30 s in which it had no running
    attempt and would have fitted, together with the running jobs of its
    account, into the guaranteed accelerators and cores.
    """
    guarantee_by_account = {}
    for account in simulator.workload.accounts:
        total = Resources(0, 0, 0)
        for shape in account.guarantee:
            total = total.plus(_gang_resources(shape))
        guarantee_by_account[account.name] = total
    count = 0
    for request in late:
        account = request.job.client_account
        limit = guarantee_by_account[account]
        need = _gang_resources(request.job.shape)
        headroom_s = 0.0
        changes = _usage_timeline(simulator, account)
        for index, (at, usage) in enumerate(changes):
            until = changes[index + 1][0] if index + 1 < len(changes) else simulator.end
            wanted = usage.plus(need)
            if wanted.accelerators > limit.accelerators or wanted.cores > limit.cores:
                continue
            headroom_s += _waiting_s(request, at, until, simulator.end)
        count += headroom_s >= MIN_HEADROOM_S
    return count


def _gang_resources(shape) -> Resources:
    return Resources(*(amount * shape.gang for amount in shape.member_resources()))


def _usage_timeline(
    simulator: Simulator, account: str
) -> list[tuple[float, Resources]]:
    """Return the resources in use by the account after each change."""
    changes = [(simulator.workload.start, Resources(0, 0, 0))]
    for request in simulator.request_by_id.values():
        if request.job.client_account != account:
            continue
        total = _gang_resources(request.job.shape)
        for attempt in request.attempts:
            if attempt.started_at is None:
                continue
            changes.append((attempt.started_at, total))
            ended_at = attempt.ended_at or simulator.end
            changes.append((ended_at, Resources(0, 0, 0).minus(total)))
    changes.sort(key=lambda change: change[0])
    usage = Resources(0, 0, 0)
    timeline = []
    for at, change in changes:
        usage = usage.plus(change)
        timeline.append((at, usage))
    return timeline


def _waiting_s(request: Request, first: float, last: float, end: float) -> float:
    """Return how long the request waited between two times, in seconds."""
    submitted = request.planned.job.submitted_at
    ended = end if request.ended_at is None else request.ended_at
    waiting = _overlap(submitted, ended, first, last)
    for attempt in request.attempts:
        if attempt.started_at is None:
            continue
        until = end if attempt.ended_at is None else attempt.ended_at
        waiting -= _overlap(attempt.started_at, until, first, last)
    return waiting


def _overlap(start: float, end: float, first: float, last: float) -> float:
    return max(0.0, min(end, last) - max(start, first))


def _fragmentation_measures(simulator: Simulator, counted: list[Request]) -> dict:
    samples = simulator.samples
    gangs = [request for request in counted if request.job.shape.gang > 1]
    sizes = [_gang_resources(request.job.shape).accelerators for request in gangs]
    min_accelerators = LARGEST_GANG_SHARE * max(sizes, default=0)
    waits = []
    first_waits = []
    for request in gangs:
        if _gang_resources(request.job.shape).accelerators < min_accelerators:
            continue
        submitted = request.planned.job.submitted_at
        started = simulator.end if request.first_start is None else request.first_start
        first_waits.append(started - submitted)
        waits.append(_useful_start(request, simulator) - submitted)
    return {
        "free_mean": _mean([s.free for s in samples]),
        "stranded_mean": _mean([s.stranded for s in samples]),
        "stranded_waiting_mean": _mean([s.stranded_waiting for s in samples]),
        "gang_accelerators": min_accelerators,
        "gangs": len(waits),
        "gang_wait_mean_s": _mean(waits),
        "gang_wait_max_s": max(waits, default=math.nan),
        "gang_first_wait_mean_s": _mean(first_waits),
    }


def _useful_start(request: Request, simulator: Simulator) -> float:
    """Return when the first useful attempt of a gang started.

    Without one, this is the end of the simulation.  A gang that starts on a
    faulty upstream and fails was not served; counting its early start would
    favour a scheduler that wastes attempts.
    """
    for attempt in request.attempts:
        if attempt.started_at is None or request.end in ("failed", "unknown"):
            continue
        if attempt.outcome in ("", "finished", "checkpointed"):
            return attempt.started_at
    return simulator.end


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else math.nan


def _zone_measures(simulator: Simulator) -> dict:
    """Return the share of possible work done while a zone is out of service.

    The period lasts until 600 s after the zone returns.  Only work on
    upstreams in service counts, without attempts that were lost or stopped.
    The possible work at each sample is the smaller of the capacity in service
    and the accelerators that running and waiting jobs request.
    """
    at_by_kind = {incident.kind: incident for incident in simulator.workload.incidents}
    zone = at_by_kind["zone_out"].target
    closed_at, reopened_at = at_by_kind["zone_out"].at, at_by_kind["zone_back"].at
    last = reopened_at + ZONE_RECOVERY_S
    if last > simulator.end:
        return {"share": math.nan}
    possible_work = 0.0
    for sample, following in zip(
        simulator.samples, simulator.samples[1:], strict=False
    ):
        interval_s = _overlap(sample.at, following.at, closed_at, last)
        possible_work += interval_s * min(sample.capacity, sample.demand)
    useful_work = 0.0
    started_in_zone = 0
    for request in simulator.request_by_id.values():
        for attempt in request.attempts:
            started_in_zone += _starts_in_zone(
                simulator, attempt, zone, closed_at, reopened_at
            )
            if attempt.outcome in ("", "finished", "checkpointed"):
                useful_work += _useful_work(
                    simulator, attempt, zone, closed_at, reopened_at, last
                )
    return {
        "share": useful_work / possible_work if possible_work else math.nan,
        "done_accelerator_s": useful_work,
        "possible_accelerator_s": possible_work,
        "starts_in_closed_zone": started_in_zone,
    }


def _starts_in_zone(
    simulator, attempt: Attempt, zone: str, closed_at: float, reopened_at: float
) -> int:
    if attempt.started_at is None or not closed_at < attempt.started_at < reopened_at:
        return 0
    zones = {simulator.spec_by_id[name].zone for name in attempt.upstream_ids}
    return int(zone in zones)


def _useful_work(
    simulator, attempt: Attempt, zone, closed_at, reopened_at, last
) -> float:
    if attempt.started_at is None:
        return 0.0
    ended_at = simulator.end if attempt.ended_at is None else attempt.ended_at
    work = 0.0
    for upstream_id in attempt.upstream_ids:
        first = closed_at
        if simulator.spec_by_id[upstream_id].zone == zone:
            first = reopened_at
        work += _overlap(attempt.started_at, ended_at, first, last)
    return work * attempt.request.job.shape.accelerators


def _quarantines(simulator: Simulator) -> dict:
    faulty_at_by_id = {
        i.target: i.at for i in simulator.workload.incidents if i.kind == "bad"
    }
    detected_at = {}
    for at, upstream_id in simulator.quarantines:
        if upstream_id in faulty_at_by_id:
            detected_at.setdefault(upstream_id, at)
    false_positives = {
        name for _, name in simulator.quarantines if name not in faulty_at_by_id
    }
    failed_at = []
    for request in simulator.request_by_id.values():
        for attempt in request.attempts:
            if attempt.outcome == "failed" and set(attempt.upstream_ids) & set(
                faulty_at_by_id
            ):
                failed_at.append(attempt.ended_at)
    first_detected_at = min(detected_at.values(), default=math.inf)
    return {
        "found": sorted(detected_at),
        "innocent": sorted(false_positives),
        "attempts_failed_on_bad": len(failed_at),
        "attempts_failed_before_found": sum(at < first_detected_at for at in failed_at),
    }


def _time_series(simulator: Simulator) -> dict:
    start = simulator.workload.start
    return {
        "hours": [(s.at - start) / 3_600.0 for s in simulator.samples],
        "stranded": [s.stranded for s in simulator.samples],
        "used": [s.capacity - s.free for s in simulator.samples],
        "possible": [min(s.capacity, s.demand) for s in simulator.samples],
    }
