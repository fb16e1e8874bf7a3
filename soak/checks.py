"""The promises, checked against what callers and upstreams have seen."""

import json
from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

from soak.records import JobSeen, Seen

__all__ = ["check"]

# An order may be carried out this much after it was sent, in seconds: the
# stand-in upstream delays some by 4 s.
LATE_S = 4.5
# Bounds of the platform, in seconds.
CANCEL_S = 3.0
ZONE_S = 5.0
DRAIN_S = 2.0
CONFIGURATION_S = 2.0
VISIBLE_S = 3.0
ATTEMPTS = 3
ACCELERATORS = 8


class Task(NamedTuple):
    """One task of a job."""

    job_id: str
    step: int
    number: int

    @classmethod
    def parse(cls, text: str) -> "Task":
        """Return the task that an upstream names."""
        job_id, _, step, number = text.split(".")
        return cls(job_id, int(step), int(number))


class Place(NamedTuple):
    """One incarnation of an upstream."""

    upstream: str
    born: int


def _events(lines: list[str], seen: Seen) -> list[dict[str, Any]]:
    """Return the upstreams' lines and the deaths in order of time."""
    events = []
    for line in lines:
        if not line.startswith('{"at"'):
            continue
        try:
            event = json.loads(line)
        except ValueError:
            # The last line of a process that was killed may be torn.
            continue
        event["at"] = event.get("over_at", event["at"])
        events.append(event)
    for at, name in seen.deaths:
        events.append({"at": at, "event": "died", "upstream": name})
    return sorted(events, key=lambda event: event["at"])


class _World:
    """State of all upstreams as the events tell it."""

    def __init__(self, seen: Seen):
        self.seen = seen
        self.broken: list[str] = []
        self.place_by_task: dict[Task, Place] = {}
        self.tasks_by_place: dict[Place, set[Task]] = defaultdict(set)
        self.done: dict[Task, float] = {}
        self.acknowledged_done: dict[Task, float] = {}
        self.failures: dict[Task, int] = defaultdict(int)
        self.leaving: dict[Place, float] = {}
        self.zone_by_upstream: dict[str, str] = {}

    def take(self, event: dict[str, Any]) -> None:
        """Apply one event and note what it breaks."""
        place = Place(event["upstream"], event.get("born", 0))
        match event["event"]:
            case "born":
                self.zone_by_upstream[place.upstream] = event["zone"]
                self._clear(place.upstream)
            case "died" | "left":
                self._clear(place.upstream)
            case "reported" if event["state"] == "draining":
                self.leaving.setdefault(place, event["at"])
            case "start":
                self._start(Task.parse(event["task"]), place, event)
            case "end":
                self._end(Task.parse(event["task"]), place, event)
            case "acknowledged":
                self._acknowledge(Task.parse(event["task"]), event)

    def _clear(self, upstream: str) -> None:
        for place in list(self.tasks_by_place):
            if place.upstream != upstream:
                continue
            for task in self.tasks_by_place.pop(place):
                self.place_by_task.pop(task, None)

    def _start(self, task: Task, place: Place, event: dict[str, Any]) -> None:
        at = event["at"]
        for problem in self._wrong_start(task, place, at):
            self.broken.append(f"{at:.3f} {task} run {event['run']} {place}: {problem}")
        self.place_by_task[task] = place
        self.tasks_by_place[place].add(task)

    def _wrong_start(self, task: Task, place: Place, at: float) -> Iterator[str]:
        other = self.place_by_task.get(task)
        if other is not None:
            yield f"runs on {other} already"
        if task in self.acknowledged_done:
            yield "its end as done was taken note of"
        if self.failures[task] >= ATTEMPTS:
            yield "has failed too often"
        job = self.seen.job_by_id.get(task.job_id)
        if job is None:
            yield "nobody handed it in"
            return
        if job.refused_only and not job.accepted_at:
            yield "every attempt to hand it in was refused"
        if job.cancelled_at and at > job.cancelled_at + CANCEL_S + LATE_S:
            yield "its job was cancelled"
        yield from self._wrong_place(job, task, place, at)

    def _wrong_place(
        self, job: JobSeen, task: Task, place: Place, at: float
    ) -> Iterator[str]:
        step = job.steps[task.step]
        for number in step["after"]:
            if self.step_done_at(job, number) > at:
                yield f"step {number} is not done"
        there = self.tasks_by_place[place]
        used = step["accelerators"]
        for other in there:
            steps = self.seen.job_by_id[other.job_id].steps
            used += steps[other.step]["accelerators"]
        if used > ACCELERATORS:
            yield f"{used} accelerators are in use"
        same = [t for t in there if t[:2] == task[:2]]
        if step["per_upstream"] and len(same) >= step["per_upstream"]:
            yield "too many tasks of the step share the upstream"
        left_at = self.leaving.get(place)
        if left_at is not None and at > left_at + DRAIN_S + LATE_S:
            yield "the upstream is leaving"
        for out_at, back_at, zone in self.seen.zones_out:
            if zone != self.zone_by_upstream.get(place.upstream):
                continue
            if out_at + ZONE_S + LATE_S < at < back_at:
                yield "the zone is out of service"

    def step_done_at(self, job: JobSeen, number: int) -> float:
        """Return when a step was done, infinity if it is not.

        One end as done stands for all members of a gang.
        """
        step = job.steps[number]
        times = []
        for index in range(step["count"]):
            times.append(self.done.get(Task(job.job_id, number, index), float("inf")))
        return min(times) if step["gang"] else max(times)

    def _end(self, task: Task, place: Place, event: dict[str, Any]) -> None:
        self.tasks_by_place[place].discard(task)
        if self.place_by_task.get(task) == place:
            del self.place_by_task[task]
        if event["how"] == "done":
            self.done.setdefault(task, event["at"])

    def _acknowledge(self, task: Task, event: dict[str, Any]) -> None:
        if event["how"] == "done":
            self.acknowledged_done.setdefault(task, event["at"])
        if event["how"] == "failed":
            self.failures[task] += 1


def _check_job(job: JobSeen, world: _World) -> Iterator[str]:
    for at, state in job.states:
        if state == "completed":
            for number in range(len(job.steps)):
                if world.step_done_at(job, number) > at:
                    yield f"{job.job_id}: completed without step {number}"
        if state == "cancelled" and not job.cancel_sent_at:
            yield f"{job.job_id}: shown as cancelled"
        if state == "failed" and not _may_fail(job, world):
            yield f"{job.job_id}: failed without cause"
    for at in job.missing:
        if at > job.accepted_at + VISIBLE_S:
            yield f"{job.job_id}: lost {at - job.accepted_at:.1f} s after its ack"


def _may_fail(job: JobSeen, world: _World) -> bool:
    failures = 0
    for task, count in world.failures.items():
        if task.job_id == job.job_id:
            failures = max(failures, count)
    # The members of a gang share their attempts.
    gang = any(step["gang"] for step in job.steps)
    return gang or failures >= ATTEMPTS


def _check_configuration(seen: Seen) -> Iterator[str]:
    for sent_at, version in seen.reads:
        newest = 0
        for at, acknowledged in seen.acknowledged:
            if at + CONFIGURATION_S < sent_at:
                newest = max(newest, acknowledged)
        if version < newest:
            yield f"version {version} was read after the ack of {newest}"


def check(lines: list[str], seen: Seen) -> list[str]:
    """Return every promise that was broken."""
    world = _World(seen)
    for event in _events(lines, seen):
        world.take(event)
    broken = list(world.broken)
    for job in seen.job_by_id.values():
        broken += _check_job(job, world)
    broken += _check_configuration(seen)
    for job_id in seen.unfinished:
        broken.append(f"{job_id}: has not ended")
    return broken
