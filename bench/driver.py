"""A small event loop that runs a scheduler against fake upstreams."""

import heapq
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from bench.driver_records import Attempt, Policy, Request, Sample
from bench.workload import Incident, PlannedJob, Workload
from persimmonyard.model import Adjacency, ResultCode, Shape
from persimmonyard.scheduler import (
    AttemptEnded,
    AttemptPlaced,
    AttemptRunning,
    ClassChanged,
    ClientAccountChanged,
    Decision,
    Event,
    JobRemoved,
    JobWaiting,
    Place,
    Preempt,
    Quarantine,
    Refuse,
    UpstreamDown,
    UpstreamUp,
    ZoneChanged,
)
from persimmonyard.scheduler.fragmentation import (
    Demand,
    FreeCapacity,
    stranded_accelerators,
)

__all__ = ["Attempt", "Driver", "Policy", "Request", "Sample"]

COMMIT_S = 0.05  # time to commit a batch of decisions
IDLE_S = 5.0  # the controller decides every second; this keeps the bench short
START_DELAY_S = 0.05
STOP_S = 1.0
CHECKPOINT_S = 10.0
FAILURE_S = 5.0  # a bad job or upstream fails early, so it is free again soon
SAMPLE_S = 60.0
MAX_ATTEMPTS = 5
RETRY_BACKOFF_S = 0.5


class Driver:
    """Run one workload under one policy on a fake clock."""

    def __init__(self, workload: Workload, policy: Policy, wall_limit_s: float):
        self.workload = workload
        self.policy = policy
        self.wall_limit_s = wall_limit_s
        self.now = workload.start
        self.end = workload.start + workload.duration_s
        self.request_by_id: dict[str, Request] = {}
        self.samples: list[Sample] = []
        self.violations: Counter[str] = Counter()
        self.preemptions: Counter[str] = Counter()
        self.quarantines: list[tuple[float, str]] = []
        self.decide_s: list[float] = []
        self.spec_by_id = {spec.upstream_id: spec for spec in workload.upstreams}
        self._free_by_id: dict[str, list[int]] = {}
        self._down: set[str] = set()
        self._bad: set[str] = set()
        self._out: set[str] = set()
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._pushed = 0
        self._decide_at: float | None = None
        self._mix = [Demand(p.job.shape) for p in workload.planned if not p.fault]

    def run(self) -> None:
        """Run to the end of the workload or of the wall time."""
        wall_end = time.perf_counter() + self.wall_limit_s
        self._set_up()
        while self._heap and self._heap[0][0] <= self.end:
            if time.perf_counter() > wall_end:
                self.end = self.now
                break
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        self.now = self.end

    def _set_up(self) -> None:
        for zone in self.workload.zones:
            self._tell(ZoneChanged(zone, True))
        for work_class in self.workload.classes:
            self._tell(ClassChanged(work_class.name, work_class))
        for spec in self.workload.upstreams:
            self._free_by_id[spec.upstream_id] = [*spec.capacity(), spec.slots]
            self._tell(UpstreamUp(spec))
        for account in self.workload.accounts:
            self._tell(ClientAccountChanged(account.name, account))
        for planned, ids in self.workload.running:
            self._adopt(planned, ids)
        for planned in self.workload.planned:
            self._at(planned.job.submitted_at, self._submit, planned)
            if planned.cancel_at is not None:
                self._at(planned.cancel_at, self._cancel, planned.job.request_id)
        for incident in self.workload.incidents:
            self._at(incident.at, self._happen, incident)
        self._at(self.now, self._sample)
        self._wake(self.now)

    def _at(self, at: float, action: Callable, *arguments: Any) -> None:
        self._pushed += 1
        heapq.heappush(self._heap, (at, self._pushed, action, arguments))

    def _tell(self, event: Event) -> None:
        self.policy.observe(event, self.now)
        self._wake(self.now + self.workload.decide_gap_s)

    # Deciding.

    def _wake(self, at: float) -> None:
        if self._decide_at is not None and self._decide_at <= at:
            return
        self._decide_at = at
        self._at(at, self._decide, at)

    def _decide(self, due: float) -> None:
        if due != self._decide_at:
            return
        self._decide_at = None
        started = time.perf_counter()
        decisions = self.policy.decide(self.now)
        self.decide_s.append(time.perf_counter() - started)
        for decision in decisions:
            self._carry_out(decision)
        wakeup = self.policy.next_wakeup()
        idle = self.now + IDLE_S
        earliest = self.now + COMMIT_S
        self._wake(idle if wakeup is None else max(earliest, min(wakeup, idle)))

    def _carry_out(self, decision: Decision) -> None:
        match decision:
            case Place():
                self._place(decision)
            case Preempt(request_id, number, checkpoint):
                self._stop(request_id, number, checkpoint)
            case Refuse(request_id, code):
                self._refuse(request_id, code)
            case Quarantine(upstream_id):
                self.quarantines.append((self.now, upstream_id))
                if upstream_id not in self._down:
                    self._tell(UpstreamUp(self.spec_by_id[upstream_id]))

    def _place(self, decision: Place) -> None:
        request = self.request_by_id[decision.request_id]
        fault = self._fault_of(request, decision)
        if fault:
            self.violations[fault] += 1
            self._tell(
                AttemptEnded(decision.request_id, decision.number, "never_began", 0.0)
            )
            if not request.end and request.live() is None:
                self._tell(JobWaiting(request.job))
            return
        attempt = Attempt(request, decision.number, decision.upstream_ids)
        request.attempts.append(attempt)
        self._change(attempt, -1)
        self._tell(
            AttemptPlaced(
                request.job, decision.number, decision.upstream_ids, decision.borrowed
            )
        )
        self._at(self.now + START_DELAY_S, self._start, attempt)

    def _fault_of(self, request: Request, decision: Place) -> str:
        """Return what is wrong with a placement, or an empty string."""
        shape = request.job.shape
        ids = decision.upstream_ids
        if request.end:
            return "placed after its end"
        if request.live() is not None:
            return "placed twice"
        if request.attempts and decision.number <= request.attempts[-1].number:
            return "attempt number used twice"
        if len(ids) != shape.gang:
            return "part of a gang"
        specs = [self.spec_by_id[upstream_id] for upstream_id in ids]
        if any(spec.zone in self._out for spec in specs):
            return "zone out of service"
        if any(upstream_id in self._down for upstream_id in ids):
            return "lost upstream"
        if shape.adjacency != Adjacency.NONE and len({s.zone for s in specs}) > 1:
            return "not in one zone"
        if shape.adjacency == Adjacency.RACK and len({s.rack for s in specs}) > 1:
            return "not in one rack"
        need = (*shape.member_resources(), 1)
        for upstream_id, members in Counter(ids).items():
            free = self._free_by_id[upstream_id]
            if any(
                members * amount > left for amount, left in zip(need, free, strict=True)
            ):
                return "over capacity"
        return ""

    def _change(self, attempt: Attempt, sign: int) -> None:
        need = (*attempt.request.job.shape.member_resources(), 1)
        for upstream_id in attempt.upstream_ids:
            free = self._free_by_id[upstream_id]
            for index, amount in enumerate(need):
                free[index] += sign * amount

    def _stop(self, request_id: str, number: int, checkpoint: bool) -> None:
        request = self.request_by_id[request_id]
        attempt = request.live()
        if attempt is None or attempt.number != number:
            self.violations["preempted nothing"] += 1
            return
        if attempt.stopping:
            return
        attempt.stopping = True
        if attempt.started_at is None:
            self.preemptions["never began"] += 1
            self._finish(attempt, "never_began")
            return
        job = request.job
        if not checkpoint and not job.idempotent:
            self.violations["stopped work that must not run again"] += 1
        if checkpoint and not job.checkpointable:
            self.violations["checkpoint of work without checkpoints"] += 1
        kept = checkpoint and job.checkpointable
        self.preemptions["checkpointed" if kept else "stopped"] += 1
        delay = CHECKPOINT_S if kept else STOP_S
        outcome = "checkpointed" if kept else "stopped"
        self._at(self.now + delay, self._finish, attempt, outcome)

    def _refuse(self, request_id: str, code: int) -> None:
        request = self.request_by_id[request_id]
        if request.end or request.live() is not None:
            self.violations["refused after start or end"] += 1
            return
        known = request.planned.fault == "impossible"
        if code == ResultCode.NEVER_FITS and not known:
            self.violations["refused a job that fits"] += 1
        self._end(request, f"refused {code}")

    # What happens to jobs.

    def _submit(self, planned: PlannedJob) -> None:
        request = Request(planned, planned.job, planned.run_s)
        self.request_by_id[planned.job.request_id] = request
        self._tell(JobWaiting(planned.job))

    def _adopt(self, planned: PlannedJob, ids: tuple[str, ...]) -> None:
        request = Request(planned, planned.job, planned.run_s)
        self.request_by_id[planned.job.request_id] = request
        attempt = Attempt(request, 1, ids, started_at=self.now)
        request.attempts.append(attempt)
        request.first_start = self.now
        self._change(attempt, -1)
        self._tell(AttemptPlaced(planned.job, 1, ids, True))
        self._tell(AttemptRunning(planned.job.request_id, 1, self.now))
        self._at(self.now + request.left_s, self._finish, attempt, "finished")

    def _cancel(self, request_id: str) -> None:
        request = self.request_by_id[request_id]
        if request.end:
            return
        request.cancelled = True
        attempt = request.live()
        if attempt is None:
            self._end(request, "cancelled")
            return
        attempt.stopping = True
        self._at(self.now + STOP_S, self._finish, attempt, "stopped")

    def _start(self, attempt: Attempt) -> None:
        if attempt.outcome:
            return
        specs = [self.spec_by_id[upstream_id] for upstream_id in attempt.upstream_ids]
        request = attempt.request
        if request.end or any(spec.zone in self._out for spec in specs):
            self._finish(attempt, "never_began")
            return
        attempt.started_at = self.now
        if request.first_start is None:
            request.first_start = self.now
        self._tell(AttemptRunning(request.job.request_id, attempt.number, self.now))
        bad = tuple(sorted(self._bad.intersection(attempt.upstream_ids)))
        if not bad and request.planned.fault == "fails":
            bad = attempt.upstream_ids[:1]
        if bad:
            delay = min(FAILURE_S, request.left_s)
            self._at(self.now + delay, self._finish, attempt, "failed", bad)
            return
        self._at(self.now + request.left_s, self._finish, attempt, "finished")

    def _finish(
        self, attempt: Attempt, outcome: str, failed_on: tuple[str, ...] = ()
    ) -> None:
        if attempt.outcome:
            return
        attempt.outcome = outcome
        attempt.ended_at = self.now
        self._change(attempt, 1)
        request = attempt.request
        run_s = 0.0
        if attempt.started_at is not None:
            run_s = self.now - attempt.started_at
        self._tell(
            AttemptEnded(
                request.job.request_id, attempt.number, outcome, run_s, failed_on
            )
        )
        if request.cancelled and outcome != "finished":
            self._end(request, "cancelled")
        elif not request.end:
            self._follow_up(request, attempt, run_s, failed_on)

    def _follow_up(self, request, attempt, run_s, failed_on) -> None:
        match attempt.outcome:
            case "finished":
                self._end(request, "finished")
            case "checkpointed":
                request.left_s = max(0.0, request.left_s - run_s)
                self._wait(request)
            case "never_began":
                self._wait(request)
            case _ if not request.job.idempotent:
                code = "failed" if attempt.outcome == "failed" else "unknown"
                self._end(request, code)
            case "stopped":
                self._wait(request)
            case _:
                self._retry(request, failed_on)

    def _retry(self, request: Request, failed_on: tuple[str, ...]) -> None:
        request.failures += 1
        if request.failures >= MAX_ATTEMPTS:
            self._end(request, "failed on many upstreams")
            return
        delay = RETRY_BACKOFF_S * 2.0**request.failures
        avoid = request.job.avoid | set(failed_on)
        request.job = replace(request.job, not_before=self.now + delay, avoid=avoid)
        self._wait(request)

    def _wait(self, request: Request) -> None:
        self._tell(JobWaiting(request.job))

    def _end(self, request: Request, end: str) -> None:
        request.end = end
        request.ended_at = self.now
        self._tell(JobRemoved(request.job.request_id))

    # What happens to the fleet.

    def _happen(self, incident: Incident) -> None:
        target = incident.target
        match incident.kind:
            case "zone_out":
                self._out.add(target)
                self._tell(ZoneChanged(target, False))
            case "zone_back":
                self._out.discard(target)
                self._tell(ZoneChanged(target, True))
            case "bad":
                self._bad.add(target)
            case "lost":
                self._lose(target)
            case "back":
                spec = self.spec_by_id[target]
                incarnation = f"{spec.incarnation}+"
                self.spec_by_id[target] = replace(spec, incarnation=incarnation)
                self._down.discard(target)
                self._tell(UpstreamUp(self.spec_by_id[target]))

    def _lose(self, upstream_id: str) -> None:
        self._down.add(upstream_id)
        self._tell(UpstreamDown(upstream_id))
        for request in self.request_by_id.values():
            attempt = request.live()
            if attempt is None or upstream_id not in attempt.upstream_ids:
                continue
            outcome = "never_began" if attempt.started_at is None else "lost"
            failed_on = (upstream_id,) if outcome == "lost" else ()
            self._finish(attempt, outcome, failed_on)

    # Samples.

    def _sound_ids(self) -> list[str]:
        sound_ids = []
        for upstream_id, spec in self.spec_by_id.items():
            if spec.zone in self._out or upstream_id in self._down | self._bad:
                continue
            sound_ids.append(upstream_id)
        return sound_ids

    def _sample(self) -> None:
        free = []
        capacity = 0
        for upstream_id in self._sound_ids():
            spec = self.spec_by_id[upstream_id]
            left = self._free_by_id[upstream_id]
            resources = spec.capacity()._make(left[:3])
            free.append(FreeCapacity(spec.zone, spec.rack, resources, left[3]))
            capacity += spec.accelerators
        result = stranded_accelerators(free, self._mix)
        waiting = self._waiting_shapes()
        asked = sum(shape.gang * shape.accelerators for shape in waiting)
        mix = [Demand(shape) for shape in waiting]
        stranded_waiting = min(asked, stranded_accelerators(free, mix).stranded)
        self.samples.append(
            Sample(
                at=self.now,
                free=result.free,
                stranded=result.stranded,
                stranded_waiting=stranded_waiting,
                capacity=capacity,
                demand=capacity - result.free + asked,
            )
        )
        self._at(self.now + SAMPLE_S, self._sample)

    def _waiting_shapes(self) -> list[Shape]:
        waiting = []
        for request in self.request_by_id.values():
            if request.end or request.planned.fault or request.live() is not None:
                continue
            waiting.append(request.job.shape)
        return waiting
