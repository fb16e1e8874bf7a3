"""The tasks of a stand-in upstream, following the upstream protocol."""

import base64
import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from persimmonyard.model import ResultCode
from persimmonyard.standin.faults import Behaviour

__all__ = ["HonouredStart", "Task", "TaskTable"]

DEFAULT_RUN_S = 0.05
# How long an answer is kept after the last call that named its task.
ANSWER_KEPT_S = 600.0


class HonouredStart(NamedTuple):
    """A start that made a task run, for the oracles of tests."""

    attempt: str
    member: int
    at: float
    resumed: bool


@dataclass
class Task:
    """One member of an attempt on this upstream.

    A task that was stopped or has ended is kept as long as the upstream
    runs, without its answer, so that a late call never starts it again and
    ``began`` stays true.  ``checkpoint`` is set only by a checkpoint that the
    task stopped at, ``resumes_from`` is where it began.
    """

    attempt: str
    member: int
    state: str = "unknown"
    began: bool = False
    prepared_fence: int = 0
    permit_until: float = 0.0
    lease_until: float = 0.0
    total_s: float = 0.0
    done_s: float = 0.0
    rate: float = 1.0
    counted_at: float = 0.0
    named_at: float = 0.0
    body: bytes = b""
    message: str = ""
    resumes_from: str = ""
    checkpoint: str = ""

    def ends_at(self) -> float:
        """Return when the task finishes at its present rate."""
        return self.counted_at + (self.total_s - self.done_s) / self.rate

    def count(self, now: float) -> None:
        """Add the work done since the last count."""
        self.done_s += (now - self.counted_at) * self.rate
        self.counted_at = now


class TaskTable:
    """All tasks of one start of an upstream.

    ``starts`` lists every start that was honoured.  ``clock`` returns
    seconds.

    Example: ``TaskTable("a", 8).handle("prepare", {"attempt": "r.1",
    "member": 0, "fence": 1, "incarnation": "a", "permit_s": 2.0})``.
    """

    def __init__(
        self,
        incarnation: str,
        slots: int,
        behaviour: Behaviour | None = None,
        clock: Callable[[], float] = time.monotonic,
        on_start: Callable[[HonouredStart], None] | None = None,
    ):
        self.incarnation = incarnation
        self.behaviour = behaviour or Behaviour()
        self.starts: list[HonouredStart] = []
        self._slots = slots
        self._clock = clock
        self._on_start = on_start
        self._task_by_key: dict[tuple[str, int], Task] = {}
        self._active_by_key: dict[tuple[str, int], Task] = {}
        self._answered_by_key: dict[tuple[str, int], Task] = {}
        self._fence_by_attempt: dict[str, int] = {}

    # Reading.

    def busy(self) -> int:
        """Return the number of slots in use."""
        self._expire()
        return len(self._active_by_key)

    def kept_answers(self) -> int:
        """Return the number of answers that were not acknowledged."""
        self._expire()
        return len(self._answered_by_key)

    def running(self) -> list[tuple[str, int]]:
        """Return the attempt and member of each running task."""
        self._expire()
        keys = []
        for key, task in self._active_by_key.items():
            if task.state == "running":
                keys.append(key)
        return keys

    def seconds_to_next_end(self) -> float | None:
        """Return when the first running task finishes, from now."""
        now = self._clock()
        delays = []
        for task in self._active_by_key.values():
            if task.state == "running":
                delays.append(max(0.0, task.ends_at() - now))
        return min(delays, default=None)

    # Calls.

    def handle(self, call: str, body: dict[str, Any]) -> dict[str, Any]:
        """Answer one call about one task."""
        if body.get("incarnation") != self.incarnation:
            return _refusal(ResultCode.UNKNOWN_ATTEMPT, "another incarnation")
        if self._stale(body):
            return _refusal(ResultCode.STALE_FENCE, "a newer fence is known")
        self._expire()
        match call:
            case "prepare":
                return self._prepare(body)
            case "start":
                return self._start(body)
            case "stop":
                return self._stop(body)
            case "checkpoint":
                return self._checkpoint(body)
            case "throttle":
                return self._throttle(body)
            case "result":
                return self._result(body)
            case "acknowledge":
                return self._acknowledge(body)
        return _refusal(ResultCode.NOT_FOUND, f"no call {call!r}")

    def renew(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renew the leases of all named tasks, counted from now."""
        if body.get("incarnation") != self.incarnation:
            return _refusal(ResultCode.UNKNOWN_ATTEMPT, "another incarnation")
        self._expire()
        now = self._clock()
        for one in body["tasks"]:
            task = self._task_by_key.get(_key(one))
            if self._stale(one) or task is None:
                continue
            task.named_at = now
            task.lease_until = now + body["lease_s"]
        return self.statuses(body)

    def statuses(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the state of all tasks that a renewal names."""
        self._expire()
        replies = []
        for one in body["tasks"]:
            reply = self._report(one)
            if self._stale(one):
                reply["code"] = int(ResultCode.STALE_FENCE)
            replies.append(reply)
        return {"tasks": replies}

    # Single calls.

    def _prepare(self, body: dict[str, Any]) -> dict[str, Any]:
        if self.behaviour.refuse_all:
            return _refusal(ResultCode.NO_FREE_SLOT, "refusing")
        key = _key(body)
        task = self._task_by_key.get(key)
        if task is None and len(self._active_by_key) >= self._slots:
            return _refusal(ResultCode.NO_FREE_SLOT, "no free slot")
        if task is None:
            task = Task(body["attempt"], body["member"], "prepared")
            self._task_by_key[key] = task
            self._active_by_key[key] = task
        # A repeated prepare under the same fence is a duplicate: it must not
        # extend the permit.
        if task.state == "prepared" and task.prepared_fence < body["fence"]:
            task.prepared_fence = body["fence"]
            task.permit_until = self._clock() + body["permit_s"]
            task.resumes_from = body.get("checkpoint", "")
        return self._report(body)

    def _start(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(_key(body))
        if task is None:
            return _refusal(ResultCode.UNKNOWN_ATTEMPT, "not prepared")
        if task.began:
            return self._report(body)
        now = self._clock()
        if task.state != "prepared" or task.prepared_fence != body["fence"]:
            return _refusal(ResultCode.PERMIT_EXPIRED, "not prepared for this start")
        payload = base64.b64decode(body["payload"])
        task.state = "running"
        task.began = True
        task.lease_until = now + body["lease_s"]
        task.total_s = _run_time(payload)
        task.done_s = _checkpointed_s(task.resumes_from)
        task.counted_at = now
        task.body = b"answer:%d:" % task.member + payload
        resumed = bool(task.resumes_from)
        honoured = HonouredStart(task.attempt, task.member, now, resumed)
        self.starts.append(honoured)
        if self._on_start is not None:
            self._on_start(honoured)
        return self._report(body)

    def _stop(self, body: dict[str, Any]) -> dict[str, Any]:
        key = _key(body)
        task = self._task_by_key.setdefault(key, Task(*key, state="stopped"))
        if key in self._active_by_key:
            self._end(task, "stopped")
        return self._report(body)

    def _checkpoint(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(_key(body))
        if task is not None and task.state == "running":
            task.count(self._clock())
            task.checkpoint = f"checkpoint/{task.attempt}/{task.member}/{task.done_s}"
        return self._stop(body)

    def _throttle(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(_key(body))
        if task is not None and task.state == "running":
            task.count(self._clock())
            task.rate = max(0.01, min(1.0, body["rate"]))
        return self._report(body)

    def _result(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._answered_by_key.get(_key(body))
        if task is None:
            return _refusal(ResultCode.UNKNOWN_ATTEMPT, "no answer")
        task.named_at = self._clock()
        return {
            "attempt": task.attempt,
            "member": task.member,
            "body": base64.b64encode(task.body).decode(),
            "length": len(task.body),
            "digest": hashlib.sha256(task.body).hexdigest(),
        }

    def _acknowledge(self, body: dict[str, Any]) -> dict[str, Any]:
        reply = self._stop(body)
        task = self._answered_by_key.pop(_key(body), None)
        if task is not None:
            task.body = b""
        return reply

    # Helpers.

    def _stale(self, body: dict[str, Any]) -> bool:
        known = self._fence_by_attempt.get(body["attempt"], 0)
        if body["fence"] < known:
            return True
        self._fence_by_attempt[body["attempt"]] = body["fence"]
        return False

    def _report(self, body: dict[str, Any]) -> dict[str, Any]:
        key = _key(body)
        task = self._task_by_key.get(key) or Task(*key)
        return {
            "attempt": task.attempt,
            "member": task.member,
            "state": task.state,
            "began": task.began,
            "message": task.message,
            "checkpoint": task.checkpoint,
        }

    def _expire(self) -> None:
        now = self._clock()
        for key, task in list(self._active_by_key.items()):
            if task.state == "prepared":
                if now > task.permit_until:
                    # Nothing was promised about the attempt: another entry
                    # may prepare it again under a newer fence.
                    del self._active_by_key[key]
                    del self._task_by_key[key]
                continue
            ends_at = task.ends_at()
            if ends_at <= min(now, task.lease_until):
                self._finish(task, ends_at)
            elif now > task.lease_until:
                task.message = "the lease ran out"
                self._end(task, "stopped")
        for key, task in list(self._answered_by_key.items()):
            if now > task.named_at + ANSWER_KEPT_S:
                del self._answered_by_key[key]
                task.body = b""

    def _finish(self, task: Task, at: float) -> None:
        task.named_at = at
        if self.behaviour.fail_all:
            task.message = "the stand-in fails every task"
            self._end(task, "failed")
            return
        self._end(task, "finished")
        self._answered_by_key[(task.attempt, task.member)] = task

    def _end(self, task: Task, state: str) -> None:
        task.state = state
        del self._active_by_key[(task.attempt, task.member)]


def _key(body: dict[str, Any]) -> tuple[str, int]:
    return body["attempt"], body["member"]


def _run_time(payload: bytes) -> float:
    try:
        return float(json.loads(payload)["run_s"])
    except (ValueError, KeyError, TypeError):
        return DEFAULT_RUN_S


def _checkpointed_s(checkpoint: str) -> float:
    """Return how much of the run a checkpoint covers, in seconds."""
    return float(checkpoint.rpartition("/")[2]) if checkpoint else 0.0


def _refusal(code: ResultCode, message: str) -> dict[str, Any]:
    return {"code": int(code), "name": code.name, "message": message}
