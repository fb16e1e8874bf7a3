"""Cost of decisions by fleet size.

Each fleet runs the number of tasks of the target and has waiting jobs that
do not fit.  A trial ends one task, or submits one job, and times the
decisions that follow.
"""

import gc
import json
import random
import statistics
import sys
import time

from persimmonyard.model import (
    Adjacency,
    ClientAccountSpec,
    Shape,
    UpstreamSpec,
    WorkClassSpec,
)
from persimmonyard.scheduler import (
    AttemptEnded,
    AttemptPlaced,
    ClassChanged,
    ClientAccountChanged,
    Job,
    JobRemoved,
    JobWaiting,
    Place,
    Preempt,
    Scheduler,
    UpstreamUp,
)

__all__ = ["run"]

SEED = 20_261
RACK_SIZE = 40
ZONES = 8
ACCOUNTS = 410
TASKS_PER_UPSTREAM = 8.75
WAITING_JOBS = 5_000
TRIALS = 400
SIZES = (1_000, 4_000, 16_000)


class _LoadedFleet:
    """A scheduler with a fleet of one size and its running jobs."""

    def __init__(self, upstreams: int) -> None:
        self.random = random.Random(SEED)
        self.scheduler = Scheduler()
        self.job_by_id: dict[str, Job] = {}
        self.number_by_id: dict[str, int] = {}
        self.now = 1_000_000.0
        self.count = 0
        self.shares = upstreams / SIZES[-1]
        self._add_configuration(upstreams)
        self._add_upstreams(upstreams)
        while True:
            self.decide()
            wakeup = self.scheduler.next_wakeup()
            if wakeup is None or wakeup > self.now:
                break
        self._add_running_tasks(upstreams)

    def _add_configuration(self, upstreams: int) -> None:
        classes = [
            WorkClassSpec("urgent", within_s=600.0, start_within_s=7.3),
            WorkClassSpec("day", within_s=20_000.0),
            WorkClassSpec("night", done_by="06:00"),
        ]
        for spec in classes:
            self.scheduler.observe(ClassChanged(spec.name, spec), self.now)
        # About half of all accelerators are guaranteed.
        accelerators = upstreams * 2.5 / 2 / ACCOUNTS
        for number in range(ACCOUNTS):
            gang = max(1, int(accelerators / 4))
            guaranteed_shapes = (
                Shape(gang, 2, 4, 8_000, Adjacency.RACK),
                Shape(gang, 1, 4, 8_000, Adjacency.ZONE),
            )
            spec = ClientAccountSpec(f"team-{number}", guarantee=guaranteed_shapes)
            self.scheduler.observe(ClientAccountChanged(spec.name, spec), self.now)

    def _add_upstreams(self, upstreams: int) -> None:
        for number in range(upstreams):
            accelerators = (2, 2, 2, 4)[number % 4]
            rack = number // RACK_SIZE
            spec = UpstreamSpec(
                f"u-{number:05d}",
                "1",
                f"zone-{rack % ZONES}",
                f"rack-{rack}",
                "127.0.0.1:1",
                accelerators,
                64,
                256_000,
                12,
            )
            self.scheduler.observe(UpstreamUp(spec), self.now)

    def _add_running_tasks(self, upstreams: int) -> None:
        """Add running tasks of one member up to the number of the target."""
        wanted = int(upstreams * TASKS_PER_UPSTREAM)
        placed = 0
        for number in range(upstreams):
            accelerators = (2, 2, 2, 4)[number % 4]
            for index in range(8 + number % 2 + (number % 4 == 0)):
                if placed >= wanted:
                    return
                size = 1 if index < accelerators else 0
                job = self.job(Shape(1, size, 4, 8_000))
                self.number_by_id[job.request_id] = 1
                name = f"u-{number:05d}"
                event = AttemptPlaced(job, 1, (name,), True)
                self.scheduler.observe(event, self.now)
                placed += 1

    def job(self, shape: Shape, class_name: str = "day") -> Job:
        """Return a new job of a randomly chosen account."""
        self.count += 1
        job = Job(
            f"r-{self.count}",
            f"team-{self.random.randrange(ACCOUNTS)}",
            class_name,
            shape,
            self.random.uniform(600.0, 30_000.0),
            self.random.random() < 0.8,
            self.random.random() < 0.5,
            self.now,
        )
        self.job_by_id[job.request_id] = job
        return job

    def decide(self) -> list:
        """Call ``decide`` once, apply the decisions and return them."""
        decisions = self.scheduler.decide(self.now)
        self.apply_decisions(decisions)
        return decisions

    def apply_decisions(self, decisions: list) -> None:
        """Record placements, and end preempted attempts without delay."""
        for decision in decisions:
            match decision:
                case Place(request_id, number):
                    self.number_by_id[request_id] = number
                case Preempt(request_id, number):
                    event = AttemptEnded(request_id, number, "checkpointed", 60.0)
                    self.scheduler.observe(event, self.now)
                    self.number_by_id.pop(request_id, None)
                    job = self.job_by_id[request_id]
                    self.scheduler.observe(JobWaiting(job), self.now)

    def random_shape(self) -> Shape:
        """Return a random shape, from single tasks to gangs of 256."""
        gang = self.random.choice((1, 1, 1, 1, 4, 16, 64, 256))
        adjacency = Adjacency.NONE
        if 1 < gang <= 16:
            adjacency = Adjacency.RACK
        if gang > 16:
            adjacency = Adjacency.ZONE
        return Shape(gang, self.random.choice((1, 2)), 4, 8_000, adjacency)


def _measure(upstreams: int) -> dict:
    set_up_started = time.perf_counter()
    fleet = _LoadedFleet(upstreams)
    for _ in range(WAITING_JOBS):
        job = fleet.job(fleet.random_shape(), fleet.random.choice(("day", "night")))
        fleet.scheduler.observe(JobWaiting(job), fleet.now)
    settling_calls = 0
    while settling_calls < 2_000:
        fleet.decide()
        settling_calls += 1
        due = fleet.scheduler.next_wakeup()
        if due is None or due > fleet.now:
            break
    set_up_s = time.perf_counter() - set_up_started
    # A full garbage collection of the objects of 140,000 tasks takes longer
    # than any decision.  A long-running process would also freeze them.
    gc.collect()
    gc.freeze()
    decision_times_s = []
    call_times_s = []
    for trial in range(TRIALS):
        fleet.now += 0.5
        if trial % 2:
            name = "urgent" if trial % 8 == 1 else "day"
            event = JobWaiting(fleet.job(fleet.random_shape(), name))
        else:
            ended = fleet.random.choice(sorted(fleet.number_by_id)[:5_000])
            number = fleet.number_by_id.pop(ended)
            event = AttemptEnded(ended, number, "finished", 60.0)
            fleet.scheduler.observe(JobRemoved(ended), fleet.now)
        start = time.perf_counter()
        fleet.scheduler.observe(event, fleet.now)
        observe_s = time.perf_counter() - start
        for _ in range(5):
            start = time.perf_counter()
            decisions = fleet.scheduler.decide(fleet.now)
            elapsed_s = time.perf_counter() - start + observe_s
            observe_s = 0.0
            call_times_s.append(elapsed_s)
            fleet.apply_decisions(decisions)
            decision_times_s.append(elapsed_s / max(1, len(decisions)))
            due = fleet.scheduler.next_wakeup()
            if due is None or due > fleet.now:
                break
    gc.unfreeze()
    return {
        "upstreams": upstreams,
        "tasks": len(fleet.number_by_id),
        "waiting": WAITING_JOBS,
        "set_up_s": round(set_up_s, 1),
        "settling_calls": settling_calls,
        "decision_p50_ms": _percentile_ms(decision_times_s, 50),
        "decision_p99_ms": _percentile_ms(decision_times_s, 99),
        "call_p99_ms": _percentile_ms(call_times_s, 99),
        "call_max_ms": round(max(call_times_s) * 1_000, 2),
    }


def _percentile_ms(values: list[float], percent: int) -> float:
    return round(statistics.quantiles(values, n=100)[percent - 1] * 1_000, 2)


def run(sizes: tuple[int, ...] = SIZES) -> dict:
    """Return times in ms by fleet size, and their growth, last over first."""
    results = [_measure(size) for size in sizes]
    first, last = results[0], results[-1]
    return {
        "sizes": results,
        "growth_p99": round(last["decision_p99_ms"] / first["decision_p99_ms"], 2),
        "growth_upstreams": round(last["upstreams"] / first["upstreams"], 2),
    }


if __name__ == "__main__":
    chosen = tuple(int(size) for size in sys.argv[1:])
    print(json.dumps(run(chosen or SIZES), indent=2))
