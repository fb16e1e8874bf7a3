"""Checks of the platform's invariants against the record of a soak.

The record consists of what callers and operators observed and of the events
that the stand-in upstreams logged.
"""

import json
from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

from soak.records import JobObservations, Observations

__all__ = ["find_violations"]

# An order may take effect this long after it was sent, in seconds.  The
# stand-in upstream delays some orders by up to 4 s.
MAX_ORDER_DELAY_S = 4.5
# Time limits that the platform guarantees, in seconds.
CANCEL_LIMIT_S = 3.0
ZONE_OUT_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.0
CONFIGURATION_LIMIT_S = 2.0
JOB_VISIBILITY_LIMIT_S = 3.0
MAX_ATTEMPTS = 3
ACCELERATORS_PER_UPSTREAM = 8


class TaskId(NamedTuple):
    """Identifies a task of a job by its step and its number in the step."""

    job_id: str
    step: int
    number: int

    @classmethod
    def parse(cls, text: str) -> "TaskId":
        """Parse the task name of an upstream's event."""
        job_id, _, step, number = text.split(".")
        return cls(job_id, int(step), int(number))


class UpstreamIncarnation(NamedTuple):
    """Identifies one incarnation of an upstream.

    ``born`` is the time of its start, in ms of the time of day.
    """

    upstream: str
    born: int


def _parse_events(lines: list[str], observations: Observations) -> list[dict[str, Any]]:
    """Return the logged events and the kills, ordered by time.

    ``over_at``, where present, replaces the time of an event: a run whose
    lease expired ended with its lease, even if the upstream was paused and
    logged the end later.
    """
    events = []
    for line in lines:
        if not line.startswith('{"at"'):
            continue
        try:
            event = json.loads(line)
        except ValueError:
            # The last line of a killed process may be incomplete.
            continue
        event["at"] = event.get("over_at", event["at"])
        events.append(event)
    for at, name in observations.kills:
        events.append({"at": at, "event": "died", "upstream": name})
    events.sort(key=lambda event: event["at"])
    for index, event in enumerate(events):
        event["index"] = index
    return events


def _find_noted_ends(events: list[dict[str, Any]]) -> set[int]:
    """Return the indexes of the ends that count against later starts.

    They are acknowledged at some time, and the lease of their upstream did
    not expire before.  If it did, the run may count as lost and its task may
    run again, also after the acknowledgement.
    """
    noted = set()
    pending_by_incarnation: dict[UpstreamIncarnation, dict[tuple[str, int], int]]
    pending_by_incarnation = defaultdict(dict)
    for event in events:
        if "born" not in event:
            continue
        incarnation = UpstreamIncarnation(event["upstream"], event["born"])
        pending = pending_by_incarnation[incarnation]
        match event["event"]:
            case "end":
                pending[(event["task"], event["run"])] = event["index"]
            case "lease expired":
                pending.clear()
            case "acknowledged":
                end = pending.pop((event["task"], event["run"]), None)
                if end is not None:
                    noted.add(end)
    return noted


class _ClusterState:
    """State of all upstreams and tasks, reconstructed from the events."""

    def __init__(self, observations: Observations, noted_ends: set[int]):
        self.observations = observations
        self.noted_ends = noted_ends
        self.violations: list[str] = []
        self.incarnation_by_task: dict[TaskId, UpstreamIncarnation] = {}
        self.tasks_by_incarnation: dict[UpstreamIncarnation, set[TaskId]] = defaultdict(
            set
        )
        self.done_at: dict[TaskId, float] = {}
        self.noted_done_tasks: set[TaskId] = set()
        self.noted_failure_count_by_task: dict[TaskId, int] = defaultdict(int)
        self.failure_count_by_task: dict[TaskId, int] = defaultdict(int)
        self.leaving_since: dict[UpstreamIncarnation, float] = {}
        self.zone_by_upstream: dict[str, str] = {}

    def apply(self, event: dict[str, Any]) -> None:
        """Apply one event and record the violations that it reveals."""
        incarnation = UpstreamIncarnation(event["upstream"], event.get("born", 0))
        match event["event"]:
            case "born":
                self.zone_by_upstream[incarnation.upstream] = event["zone"]
                self._remove_tasks_of(incarnation.upstream)
            case "died" | "left":
                self._remove_tasks_of(incarnation.upstream)
            case "reported" if event["state"] == "draining":
                self.leaving_since.setdefault(incarnation, event["at"])
            case "start":
                self._start(TaskId.parse(event["task"]), incarnation, event)
            case "end":
                self._end(TaskId.parse(event["task"]), incarnation, event)
            case "acknowledged":
                self._acknowledge(TaskId.parse(event["task"]), event)

    def _remove_tasks_of(self, upstream: str) -> None:
        for incarnation in list(self.tasks_by_incarnation):
            if incarnation.upstream != upstream:
                continue
            for task in self.tasks_by_incarnation.pop(incarnation):
                self.incarnation_by_task.pop(task, None)

    def _start(
        self, task: TaskId, incarnation: UpstreamIncarnation, event: dict[str, Any]
    ) -> None:
        at = event["at"]
        for problem in self._start_violations(task, incarnation, at):
            self.violations.append(
                f"{at:.3f} {task} run {event['run']} {incarnation}: {problem}"
            )
        self.incarnation_by_task[task] = incarnation
        self.tasks_by_incarnation[incarnation].add(task)

    def _start_violations(
        self, task: TaskId, incarnation: UpstreamIncarnation, at: float
    ) -> Iterator[str]:
        current_incarnation = self.incarnation_by_task.get(task)
        if current_incarnation is not None:
            yield f"runs on {current_incarnation} already"
        if task in self.noted_done_tasks:
            yield "has ended as done before, and this end was acknowledged"
        if self.noted_failure_count_by_task[task] >= MAX_ATTEMPTS:
            yield "has failed too often"
        job = self.observations.job_by_id.get(task.job_id)
        if job is None:
            yield "no caller submitted it"
            return
        if job.all_refused and not job.accepted_at:
            yield "every submission of it was refused"
        if (
            job.cancel_acknowledged_at
            and at > job.cancel_acknowledged_at + CANCEL_LIMIT_S + MAX_ORDER_DELAY_S
        ):
            yield "its job was cancelled"
        yield from self._placement_violations(job, task, incarnation, at)

    def _placement_violations(
        self,
        job: JobObservations,
        task: TaskId,
        incarnation: UpstreamIncarnation,
        at: float,
    ) -> Iterator[str]:
        step = job.steps[task.step]
        for number in step["after"]:
            if self.step_done_at(job, number) > at:
                yield f"step {number} is not done"
        placed_tasks = self.tasks_by_incarnation[incarnation]
        accelerators_in_use = step["accelerators"]
        for other in placed_tasks:
            steps = self.observations.job_by_id[other.job_id].steps
            accelerators_in_use += steps[other.step]["accelerators"]
        if accelerators_in_use > ACCELERATORS_PER_UPSTREAM:
            yield f"{accelerators_in_use} accelerators are in use"
        step_tasks = [t for t in placed_tasks if t[:2] == task[:2]]
        if step["per_upstream"] and len(step_tasks) >= step["per_upstream"]:
            yield "too many tasks of the step share the upstream"
        leaving_at = self.leaving_since.get(incarnation)
        if (
            leaving_at is not None
            and at > leaving_at + DRAIN_LIMIT_S + MAX_ORDER_DELAY_S
        ):
            yield "the upstream is leaving"
        for out_at, back_at, zone in self.observations.zones_out:
            if zone != self.zone_by_upstream.get(incarnation.upstream):
                continue
            if out_at + ZONE_OUT_LIMIT_S + MAX_ORDER_DELAY_S < at < back_at:
                yield "the zone is out of service"

    def step_done_at(self, job: JobObservations, number: int) -> float:
        """Return the time at which a step was done, or infinity.

        A gang is done as soon as one of its members is done.
        """
        step = job.steps[number]
        times = []
        for index in range(step["count"]):
            times.append(
                self.done_at.get(TaskId(job.job_id, number, index), float("inf"))
            )
        return min(times) if step["gang"] else max(times)

    def _end(
        self, task: TaskId, incarnation: UpstreamIncarnation, event: dict[str, Any]
    ) -> None:
        self.tasks_by_incarnation[incarnation].discard(task)
        if self.incarnation_by_task.get(task) == incarnation:
            del self.incarnation_by_task[task]
        if event["how"] == "done":
            self.done_at.setdefault(task, event["at"])
        if event["index"] not in self.noted_ends:
            return
        if event["how"] == "done":
            self.noted_done_tasks.add(task)
        if event["how"] == "failed":
            self.noted_failure_count_by_task[task] += 1

    def _acknowledge(self, task: TaskId, event: dict[str, Any]) -> None:
        if event["how"] == "failed":
            self.failure_count_by_task[task] += 1


def _job_violations(job: JobObservations, cluster: _ClusterState) -> Iterator[str]:
    for at, state in job.observed_states:
        if state == "completed":
            for number in range(len(job.steps)):
                if cluster.step_done_at(job, number) > at:
                    yield f"{job.job_id}: completed without step {number}"
        if state == "cancelled" and not job.cancel_sent_at:
            yield f"{job.job_id}: cancelled without a cancel request"
        if state == "failed" and not _failure_is_justified(job, cluster):
            yield f"{job.job_id}: failed without cause"
    for at in job.not_found_at:
        if at > job.accepted_at + JOB_VISIBILITY_LIMIT_S:
            yield f"{job.job_id}: lost {at - job.accepted_at:.1f} s after its ack"


def _failure_is_justified(job: JobObservations, cluster: _ClusterState) -> bool:
    max_failures = 0
    for task, count in cluster.failure_count_by_task.items():
        if task.job_id == job.job_id:
            max_failures = max(max_failures, count)
    # The members of a gang share their attempts, so the failures of one task
    # are not enough to tell.
    gang = any(step["gang"] for step in job.steps)
    return gang or max_failures >= MAX_ATTEMPTS


def _configuration_violations(observations: Observations) -> Iterator[str]:
    for sent_at, version in observations.version_reads:
        newest = 0
        for at, acknowledged in observations.acknowledged_versions:
            if at + CONFIGURATION_LIMIT_S < sent_at:
                newest = max(newest, acknowledged)
        if version < newest:
            yield f"version {version} was read after the ack of {newest}"


def find_violations(lines: list[str], observations: Observations) -> list[str]:
    """Return a description of each violation of an invariant.

    ``lines`` are the logs of the stand-in upstreams.
    """
    events = _parse_events(lines, observations)
    cluster = _ClusterState(observations, _find_noted_ends(events))
    for event in events:
        cluster.apply(event)
    violations = list(cluster.violations)
    for job in observations.job_by_id.values():
        violations += _job_violations(job, cluster)
    violations += _configuration_violations(observations)
    for job_id in observations.unfinished:
        violations.append(f"{job_id}: has not ended")
    return violations
