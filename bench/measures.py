"""The measures of one run of the driver, as plain numbers."""

import math
from collections import Counter
from collections.abc import Sequence

from bench.driver import Attempt, Driver, Request
from persimmonyard.model import Resources

__all__ = ["measure", "quantile"]

ROOM_S = 30.0  # a job could have started if its account had room this long
AFTER_RETURN_S = 600.0
LARGE_SHARE = 0.5  # the largest gangs: at least half of the largest size


def quantile(values: list[float], share: float) -> float:
    """Return the value of rank ``ceil(share * n)``, NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def measure(driver: Driver) -> dict:
    """Return all measures of a finished run."""
    counted = [r for r in driver.request_by_id.values() if _counts(r, driver)]
    return {
        "simulated_s": driver.end - driver.workload.start,
        "ended": dict(Counter(_end(r) for r in driver.request_by_id.values())),
        "faults": _faults(driver),
        "completion_by_class": _completion(driver, counted),
        "urgent": _urgent(driver, counted),
        "fragmentation": _fragmentation(driver, counted),
        "zone": _zone(driver),
        "violations": dict(driver.violations),
        "preemptions": dict(driver.preemptions),
        "quarantines": _quarantines(driver),
        "decide_p99_s": quantile(driver.decide_s, 0.99),
        "decide_max_s": max(driver.decide_s, default=0.0),
        "decide_calls": len(driver.decide_s),
        "series": _series(driver),
    }


def _counts(request: Request, driver: Driver) -> bool:
    """Return whether a request was submitted here and should finish.

    Jobs that are to be cancelled are left out even if they finished before,
    so that the same jobs are counted under every scheduler.
    """
    planned = request.planned
    if planned.fault or planned.cancel_at is not None:
        return False
    return planned.job.submitted_at >= driver.workload.start


def _end(request: Request) -> str:
    if request.end:
        return request.end
    return "waiting" if request.live() is None else "running"


def _faults(driver: Driver) -> dict:
    """Return how jobs that fail everywhere or fit nowhere ended."""
    ends: dict[str, Counter[str]] = {"fails": Counter(), "impossible": Counter()}
    for request in driver.request_by_id.values():
        if request.planned.fault:
            ends[request.planned.fault][_end(request)] += 1
    return {fault: dict(counter) for fault, counter in ends.items()}


def _completion_s(request: Request, driver: Driver) -> float:
    """Return the time to completion, of unfinished work the time so far."""
    ended_at = request.ended_at
    if request.end != "finished" or ended_at is None:
        ended_at = driver.end
    return ended_at - request.planned.job.submitted_at


def _is_late(request: Request, driver: Driver) -> bool | None:
    """Return whether the target is missed, ``None`` if that is still open."""
    spec = next(c for c in driver.workload.classes if c.name == request.job.class_name)
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
    if submitted + _completion_s(request, driver) > deadline:
        return True
    return False if request.end == "finished" else None


def _completion(driver: Driver, counted: list[Request]) -> dict:
    by_class: dict[str, dict] = {}
    for spec in driver.workload.classes:
        requests = [r for r in counted if r.job.class_name == spec.name]
        verdicts = [_is_late(request, driver) for request in requests]
        times = [_completion_s(request, driver) for request in requests]
        judged = verdicts.count(True) + verdicts.count(False)
        by_class[spec.name] = {
            "jobs": len(requests),
            "finished": sum(r.end == "finished" for r in requests),
            "late": verdicts.count(True),
            "in_target_share": verdicts.count(False) / judged if judged else math.nan,
            "p50_s": quantile(times, 0.5),
            "p99_s": quantile(times, 0.99),
        }
    return by_class


def _urgent(driver: Driver, counted: list[Request]) -> dict:
    name = driver.workload.urgent_class
    first, last = driver.workload.burst
    requests = [r for r in counted if r.job.class_name == name]
    burst = [r for r in requests if first <= r.planned.job.submitted_at <= last]
    late = [r for r in requests if _is_late(r, driver)]
    starts = []
    for request in requests:
        started = driver.end if request.first_start is None else request.first_start
        starts.append(started - request.planned.job.submitted_at)
    return {
        "late": len(late),
        "late_within_guarantee": _count_with_room(driver, late),
        "burst_jobs": len(burst),
        "burst_floor_p99_s": quantile([r.planned.run_s for r in burst], 0.99),
        "burst_p50_s": quantile([_completion_s(r, driver) for r in burst], 0.5),
        "burst_p99_s": quantile([_completion_s(r, driver) for r in burst], 0.99),
        "start_p99_s": quantile(starts, 0.99),
    }


def _count_with_room(driver: Driver, late: list[Request]) -> int:
    """Count late jobs whose account had room in its guarantee for them.

    A job counts if, for at least 30 s of its time in the system without a
    running attempt, it fitted beside its account's running work into the
    accelerators and cores that the account is guaranteed.
    """
    guarantee_by_account = {}
    for account in driver.workload.accounts:
        total = Resources(0, 0, 0)
        for shape in account.guarantee:
            total = total.plus(_total(shape))
        guarantee_by_account[account.name] = total
    count = 0
    for request in late:
        account = request.job.client_account
        limit = guarantee_by_account[account]
        need = _total(request.job.shape)
        room_s = 0.0
        changes = _usage(driver, account)
        for index, (at, usage) in enumerate(changes):
            until = changes[index + 1][0] if index + 1 < len(changes) else driver.end
            wanted = usage.plus(need)
            if wanted.accelerators > limit.accelerators or wanted.cores > limit.cores:
                continue
            room_s += _waiting_s(request, at, until, driver.end)
        count += room_s >= ROOM_S
    return count


def _total(shape) -> Resources:
    return Resources(*(amount * shape.gang for amount in shape.member_resources()))


def _usage(driver: Driver, account: str) -> list[tuple[float, Resources]]:
    """Return the account's running work after each change."""
    changes = [(driver.workload.start, Resources(0, 0, 0))]
    for request in driver.request_by_id.values():
        if request.job.client_account != account:
            continue
        total = _total(request.job.shape)
        for attempt in request.attempts:
            if attempt.started_at is None:
                continue
            changes.append((attempt.started_at, total))
            ended_at = attempt.ended_at or driver.end
            changes.append((ended_at, Resources(0, 0, 0).minus(total)))
    changes.sort(key=lambda change: change[0])
    usage = Resources(0, 0, 0)
    timeline = []
    for at, change in changes:
        usage = usage.plus(change)
        timeline.append((at, usage))
    return timeline


def _waiting_s(request: Request, first: float, last: float, end: float) -> float:
    """Return the time between two moments that the request did not run."""
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


def _fragmentation(driver: Driver, counted: list[Request]) -> dict:
    samples = driver.samples
    gangs = [request for request in counted if request.job.shape.gang > 1]
    sizes = [_total(request.job.shape).accelerators for request in gangs]
    largest = LARGE_SHARE * max(sizes, default=0)
    waits = []
    first_waits = []
    for request in gangs:
        if _total(request.job.shape).accelerators < largest:
            continue
        submitted = request.planned.job.submitted_at
        started = driver.end if request.first_start is None else request.first_start
        first_waits.append(started - submitted)
        waits.append(_useful_start(request, driver) - submitted)
    return {
        "free_mean": _mean([s.free for s in samples]),
        "stranded_mean": _mean([s.stranded for s in samples]),
        "stranded_waiting_mean": _mean([s.stranded_waiting for s in samples]),
        "gang_accelerators": largest,
        "gangs": len(waits),
        "gang_wait_mean_s": _mean(waits),
        "gang_wait_max_s": max(waits, default=math.nan),
        "gang_first_wait_mean_s": _mean(first_waits),
    }


def _useful_start(request: Request, driver: Driver) -> float:
    """Return when the gang first started, the end if it failed or was lost.

    A gang that starts on a bad upstream and ends as failed was not served,
    and its early start would count in favour of a scheduler that wastes it.
    """
    for attempt in request.attempts:
        if attempt.started_at is None or request.end in ("failed", "unknown"):
            continue
        if attempt.outcome in ("", "finished", "checkpointed"):
            return attempt.started_at
    return driver.end


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else math.nan


def _zone(driver: Driver) -> dict:
    """Return work done over possible work while a zone leaves and returns.

    Only work on upstreams in service counts, and not what was thrown away.
    Possible is, at each sample, the smaller of the capacity in service and of
    the accelerators that running and waiting jobs ask for.
    """
    at_by_kind = {incident.kind: incident for incident in driver.workload.incidents}
    zone = at_by_kind["zone_out"].target
    out, back = at_by_kind["zone_out"].at, at_by_kind["zone_back"].at
    last = back + AFTER_RETURN_S
    if last > driver.end:
        return {"share": math.nan}
    possible = 0.0
    for sample, following in zip(driver.samples, driver.samples[1:], strict=False):
        width = _overlap(sample.at, following.at, out, last)
        possible += width * min(sample.capacity, sample.demand)
    done = 0.0
    started_in_zone = 0
    for request in driver.request_by_id.values():
        for attempt in request.attempts:
            started_in_zone += _starts_in(driver, attempt, zone, out, back)
            if attempt.outcome in ("", "finished", "checkpointed"):
                done += _work(driver, attempt, zone, out, back, last)
    return {
        "share": done / possible if possible else math.nan,
        "done_accelerator_s": done,
        "possible_accelerator_s": possible,
        "starts_in_closed_zone": started_in_zone,
    }


def _starts_in(driver, attempt: Attempt, zone: str, out: float, back: float) -> int:
    if attempt.started_at is None or not out < attempt.started_at < back:
        return 0
    zones = {driver.spec_by_id[name].zone for name in attempt.upstream_ids}
    return int(zone in zones)


def _work(driver, attempt: Attempt, zone, out, back, last) -> float:
    if attempt.started_at is None:
        return 0.0
    ended_at = driver.end if attempt.ended_at is None else attempt.ended_at
    work = 0.0
    for upstream_id in attempt.upstream_ids:
        first = out
        if driver.spec_by_id[upstream_id].zone == zone:
            first = back
        work += _overlap(attempt.started_at, ended_at, first, last)
    return work * attempt.request.job.shape.accelerators


def _quarantines(driver: Driver) -> dict:
    bad = {i.target: i.at for i in driver.workload.incidents if i.kind == "bad"}
    found_at = {}
    for at, upstream_id in driver.quarantines:
        if upstream_id in bad:
            found_at.setdefault(upstream_id, at)
    innocent = {name for _, name in driver.quarantines if name not in bad}
    failed_at = []
    for request in driver.request_by_id.values():
        for attempt in request.attempts:
            if attempt.outcome == "failed" and set(attempt.upstream_ids) & set(bad):
                failed_at.append(attempt.ended_at)
    first_found = min(found_at.values(), default=math.inf)
    return {
        "found": sorted(found_at),
        "innocent": sorted(innocent),
        "attempts_failed_on_bad": len(failed_at),
        "attempts_failed_before_found": sum(at < first_found for at in failed_at),
    }


def _series(driver: Driver) -> dict:
    start = driver.workload.start
    return {
        "hours": [(s.at - start) / 3_600.0 for s in driver.samples],
        "stranded": [s.stranded for s in driver.samples],
        "used": [s.capacity - s.free for s in driver.samples],
        "possible": [min(s.capacity, s.demand) for s in driver.samples],
    }
