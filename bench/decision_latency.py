"""Latency of one decision at the target size and at a tenth of it.

This is part of the benchmark ``scheduler`` and runs on its region workload;
``bench.decision_cost`` measures fleets of several sizes by itself.
"""

import math
import random
import time
from dataclasses import replace

from bench.measures import quantile
from bench.workload import Workload, region
from persimmonyard.model import Adjacency, Shape
from persimmonyard.scheduler import (
    AttemptEnded,
    AttemptPlaced,
    AttemptRunning,
    ClassChanged,
    ClientAccountChanged,
    Job,
    JobRemoved,
    JobWaiting,
    Scheduler,
    UpstreamUp,
    ZoneChanged,
)

__all__ = ["measure_decision_latency"]

TARGET_SCALE = 3.0  # in regions: 16,200 upstreams, 141,000 tasks, 411 accounts
WAITING_JOBS = 5_000
EVENT_COUNT = 300
WALL_LIMIT_S = 60.0


def measure_decision_latency(seed: int) -> dict:
    """Return decision times in seconds and their growth over a tenfold size.

    A decision is one call of ``decide``; the first call after an event (a job
    arrives or a task ends) includes the time to observe the event.
    ``event_p99_s`` is the time from an event until no decision is due.
    ``load_s`` is the time that a new leader needs to build the scheduler, and
    ``zone_out_s`` the time to handle a third of the fleet going out of
    service at once.

    ``growth_p99`` is the p99 at the target size divided by that at a tenth of
    it; ``growth_logarithmic`` is the value that a cost proportional to the
    logarithm of the number of upstreams would give.
    """
    tenth = _measure_at_scale(seed, TARGET_SCALE / 10.0, WAITING_JOBS // 10)
    target = _measure_at_scale(seed, TARGET_SCALE, WAITING_JOBS)
    return {
        "tenth": tenth,
        "target": target,
        "growth_p50": target["p50_s"] / tenth["p50_s"],
        "growth_p99": target["p99_s"] / tenth["p99_s"],
        "growth_logarithmic": math.log(target["workers"]) / math.log(tenth["workers"]),
    }


def _measure_at_scale(seed: int, scale: float, waiting: int) -> dict:
    workload = region(seed, scale)
    now = workload.start
    scheduler = Scheduler()
    started = time.perf_counter()
    _load(scheduler, workload, now)
    _add_waiting(scheduler, workload, waiting, now)
    wall_end = time.perf_counter() + WALL_LIMIT_S
    load_calls = _decide_until_idle(scheduler, now, wall_end)
    settled = time.perf_counter() < wall_end
    load_s = time.perf_counter() - started
    wall_end = time.perf_counter() + WALL_LIMIT_S
    call_times_s, event_times_s = _time_decisions(scheduler, workload, now, wall_end)
    zone_started = time.perf_counter()
    now += 60.0
    scheduler.observe(ZoneChanged(workload.zones[0], False), now)
    zone_calls = _decide_until_idle(scheduler, now, wall_end)
    zone_s = time.perf_counter() - zone_started
    return {
        "workers": len(workload.upstreams),
        "tasks": sum(len(ids) for _, ids in workload.running),
        "accounts": len(workload.accounts),
        "waiting": waiting,
        "load_s": load_s,
        "load_max_call_s": max(load_calls, default=math.nan),
        "settled": settled,
        "zone_out_s": zone_s,
        "zone_out_max_call_s": max(zone_calls, default=math.nan),
        "events": len(event_times_s),
        "calls": len(call_times_s),
        "p50_s": quantile(call_times_s, 0.5),
        "p99_s": quantile(call_times_s, 0.99),
        "max_s": max(call_times_s, default=math.nan),
        "event_p50_s": quantile(event_times_s, 0.5),
        "event_p99_s": quantile(event_times_s, 0.99),
    }


def _load(scheduler: Scheduler, workload: Workload, now: float) -> None:
    for zone in workload.zones:
        scheduler.observe(ZoneChanged(zone, True), now)
    for work_class in workload.classes:
        scheduler.observe(ClassChanged(work_class.name, work_class), now)
    for spec in workload.upstreams:
        scheduler.observe(UpstreamUp(spec), now)
    for account in workload.accounts:
        scheduler.observe(ClientAccountChanged(account.name, account), now)
    for planned, ids in workload.running:
        scheduler.observe(AttemptPlaced(planned.job, 1, ids, True), now)
        scheduler.observe(AttemptRunning(planned.job.request_id, 1, now), now)


def _add_waiting(scheduler, workload: Workload, count: int, now: float) -> None:
    """Add waiting gangs of several sizes that do not fit at present."""
    generator = random.Random(1)
    for number in range(count):
        shape = Shape(generator.choice((2, 4, 8, 16)), 8, 16, 65_536, Adjacency.RACK)
        account = generator.choice(workload.accounts).name
        job = Job(f"w-{number}", account, "analysis", shape, 3_600.0, True, True, now)
        scheduler.observe(JobWaiting(job), now)


def _decide_until_idle(
    scheduler: Scheduler, now: float, wall_end: float
) -> list[float]:
    """Call ``decide`` until nothing is due; return the time of each call."""
    times = []
    while time.perf_counter() < wall_end:
        started = time.perf_counter()
        decisions = scheduler.decide(now)
        times.append(time.perf_counter() - started)
        wakeup = scheduler.next_wakeup()
        if not decisions and (wakeup is None or wakeup > now):
            break
    return times


def _time_decisions(
    scheduler, workload, now, wall_end
) -> tuple[list[float], list[float]]:
    generator = random.Random(2)
    running = generator.sample(workload.running, EVENT_COUNT)
    accounts = [account.name for account in workload.accounts]
    call_times_s: list[float] = []
    event_times_s = []
    template = Job("", "", "urgent", Shape(1, 1, 4, 16_384), 60.0, True, False, now)
    for number, (planned, _) in enumerate(running):
        now += 0.1
        name = planned.job.request_id
        events = [AttemptEnded(name, 1, "finished", 60.0), JobRemoved(name)]
        if number % 2:
            job = replace(
                template,
                request_id=f"n-{number}",
                client_account=generator.choice(accounts),
                submitted_at=now,
            )
            events = [JobWaiting(job)]
        if time.perf_counter() > wall_end:
            break
        started = time.perf_counter()
        for event in events:
            scheduler.observe(event, now)
        observed_s = time.perf_counter() - started
        times = _decide_until_idle(scheduler, now, wall_end)
        call_times_s += [observed_s + times[0], *times[1:]]
        event_times_s.append(observed_s + sum(times))
    return call_times_s, event_times_s
