"""Cost of decisions by the size of the fleet.

Each fleet is filled with running tasks and has waiting jobs that fit
nowhere.  A trial ends one task, or submits one job, and times the decisions
that follow.
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
WAITING = 5_000
TRIALS = 400
SIZES = (1_000, 4_000, 16_000)


class _Fleet:
    """A scheduler at one size, with the jobs that run on it."""

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
        self._fill(upstreams)

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
            blocks = (
                Shape(gang, 2, 4, 8_000, Adjacency.RACK),
                Shape(gang, 1, 4, 8_000, Adjacency.ZONE),
            )
            spec = ClientAccountSpec(f"team-{number}", guarantee=blocks)
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

    def _fill(self, upstreams: int) -> None:
        """Run as many tasks as the target asks for, most of one member."""
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
        """Return a new job of a random account."""
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
        """Decide once and carry the decisions out."""
        decisions = self.scheduler.decide(self.now)
        self.carry_out(decisions)
        return decisions

    def carry_out(self, decisions: list) -> None:
        """Note placements, and end what was preempted at once."""
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
        """Return a shape of the mix, up to gangs of 256."""
        gang = self.random.choice((1, 1, 1, 1, 4, 16, 64, 256))
        adjacency = Adjacency.NONE
        if 1 < gang <= 16:
            adjacency = Adjacency.RACK
        if gang > 16:
            adjacency = Adjacency.ZONE
        return Shape(gang, self.random.choice((1, 2)), 4, 8_000, adjacency)


def _measure(upstreams: int) -> dict:
    begin = time.perf_counter()
    fleet = _Fleet(upstreams)
    for _ in range(WAITING):
        job = fleet.job(fleet.random_shape(), fleet.random.choice(("day", "night")))
        fleet.scheduler.observe(JobWaiting(job), fleet.now)
    wakeups = 0
    while wakeups < 2_000:
        fleet.decide()
        wakeups += 1
        due = fleet.scheduler.next_wakeup()
        if due is None or due > fleet.now:
            break
    set_up_s = time.perf_counter() - begin
    # A full collection of the objects of 140,000 tasks takes longer than any
    # decision; a long-running process would freeze them as well.
    gc.collect()
    gc.freeze()
    costs = []
    calls = []
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
        observed = time.perf_counter() - start
        for _ in range(5):
            start = time.perf_counter()
            decisions = fleet.scheduler.decide(fleet.now)
            took = time.perf_counter() - start + observed
            observed = 0.0
            calls.append(took)
            fleet.carry_out(decisions)
            costs.append(took / max(1, len(decisions)))
            due = fleet.scheduler.next_wakeup()
            if due is None or due > fleet.now:
                break
    gc.unfreeze()
    return {
        "upstreams": upstreams,
        "tasks": len(fleet.number_by_id),
        "waiting": WAITING,
        "set_up_s": round(set_up_s, 1),
        "settling_calls": wakeups,
        "decision_p50_ms": _quantile(costs, 50),
        "decision_p99_ms": _quantile(costs, 99),
        "call_p99_ms": _quantile(calls, 99),
        "call_max_ms": round(max(calls) * 1_000, 2),
    }


def _quantile(values: list[float], percent: int) -> float:
    return round(statistics.quantiles(values, n=100)[percent - 1] * 1_000, 2)


def run(sizes: tuple[int, ...] = SIZES) -> dict:
    """Return times by fleet size, and their growth from first to last."""
    results = [_measure(size) for size in sizes]
    first, last = results[0], results[-1]
    return {
        "sizes": results,
        "growth_p99": round(last["decision_p99_ms"] / first["decision_p99_ms"], 2),
        "growth_upstreams": round(last["upstreams"] / first["upstreams"], 2),
    }


if __name__ == "__main__":
    chosen = tuple(int(one) for one in sys.argv[1:])
    print(json.dumps(run(chosen or SIZES), indent=2))
