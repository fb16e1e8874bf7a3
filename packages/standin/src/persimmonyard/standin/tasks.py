"""Tasks of a stand-in upstream, which follow the upstream protocol."""

import base64
import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from persimmonyard.model import ResultCode
from persimmonyard.standin.faults import Behaviour

__all__ = ["AcceptedStart", "Task", "TaskTable"]

DEFAULT_RUN_S = 0.05
# An answer that is not acknowledged is dropped this long after the last call
# that named its task.
ANSWER_RETENTION_S = 600.0


class AcceptedStart(NamedTuple):
    """A ``start`` call that made a task run, recorded for tests to check.

    ``resumed`` is true if the task began from a checkpoint.
    """

    attempt: str
    member: int
    at: float
    resumed: bool


@dataclass
class Task:
    """One member of an attempt, in the view of the upstream that runs it.

    A task that was stopped or has ended is kept as long as the upstream
    runs, without its answer, so that a late call never starts it again and
    ``began`` stays true.  ``checkpoint`` names the checkpoint with which the
    task was stopped, if any, and ``resumes_from`` the one that it began from.
    ``total_s`` is the run time at full rate and ``done_s`` the part of it
    that was done at ``counted_at``.  ``named_at`` is the time of the last
    call that named the task, or of its end.
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
        """Return the time at which the task finishes at its current rate."""
        return self.counted_at + (self.total_s - self.done_s) / self.rate

    def update_progress(self, now: float) -> None:
        """Add the work done since ``counted_at`` to ``done_s``."""
        self.done_s += (now - self.counted_at) * self.rate
        self.counted_at = now


class TaskTable:
    """All tasks of one incarnation of an upstream.

    ``starts`` lists every start that was accepted.  ``clock`` returns
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
        on_start: Callable[[AcceptedStart], None] | None = None,
    ):
        self.incarnation = incarnation
        self.behaviour = behaviour or Behaviour()
        self.starts: list[AcceptedStart] = []
        self._slots = slots
        self._clock = clock
        self._on_start = on_start
        self._task_by_key: dict[tuple[str, int], Task] = {}
        self._active_by_key: dict[tuple[str, int], Task] = {}
        self._unacknowledged_by_key: dict[tuple[str, int], Task] = {}
        self._fence_by_attempt: dict[str, int] = {}

    def busy(self) -> int:
        """Return the number of slots in use."""
        self._apply_elapsed_time()
        return len(self._active_by_key)

    def unacknowledged_answers(self) -> int:
        """Return the number of answers that are not acknowledged yet."""
        self._apply_elapsed_time()
        return len(self._unacknowledged_by_key)

    def running(self) -> list[tuple[str, int]]:
        """Return the attempt and member of each running task."""
        self._apply_elapsed_time()
        keys = []
        for key, task in self._active_by_key.items():
            if task.state == "running":
                keys.append(key)
        return keys

    def seconds_to_next_end(self) -> float | None:
        """Return the seconds until the next running task finishes.

        Return ``None`` if no task is running.
        """
        now = self._clock()
        delays = []
        for task in self._active_by_key.values():
            if task.state == "running":
                delays.append(max(0.0, task.ends_at() - now))
        return min(delays, default=None)

    def handle(self, call: str, body: dict[str, Any]) -> dict[str, Any]:
        """Return the reply to a call that names one task.

        A reply with a ``name`` is an error.
        """
        if body.get("incarnation") != self.incarnation:
            return _error_reply(ResultCode.UNKNOWN_ATTEMPT, "another incarnation")
        if self._is_stale(body):
            return _error_reply(ResultCode.STALE_FENCE, "a newer fence is known")
        self._apply_elapsed_time()
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
        return _error_reply(ResultCode.NOT_FOUND, f"no call {call!r}")

    def renew(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renew the leases of all tasks that the call names, from now on."""
        if body.get("incarnation") != self.incarnation:
            return _error_reply(ResultCode.UNKNOWN_ATTEMPT, "another incarnation")
        self._apply_elapsed_time()
        now = self._clock()
        for item in body["tasks"]:
            task = self._task_by_key.get(_task_key(item))
            if self._is_stale(item) or task is None:
                continue
            task.named_at = now
            task.lease_until = now + body["lease_s"]
        return self.statuses(body)

    def statuses(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the status of each task that a renewal names."""
        self._apply_elapsed_time()
        replies = []
        for item in body["tasks"]:
            reply = self._status_of(item)
            if self._is_stale(item):
                reply["code"] = int(ResultCode.STALE_FENCE)
            replies.append(reply)
        return {"tasks": replies}

    def _prepare(self, body: dict[str, Any]) -> dict[str, Any]:
        if self.behaviour.refuse_all:
            return _error_reply(ResultCode.NO_FREE_SLOT, "refusing")
        key = _task_key(body)
        task = self._task_by_key.get(key)
        if task is None and len(self._active_by_key) >= self._slots:
            return _error_reply(ResultCode.NO_FREE_SLOT, "no free slot")
        if task is None:
            task = Task(body["attempt"], body["member"], "prepared")
            self._task_by_key[key] = task
            self._active_by_key[key] = task
        # A repeated ``prepare`` with the same fence is a duplicate and must
        # not extend the permit.
        if task.state == "prepared" and task.prepared_fence < body["fence"]:
            task.prepared_fence = body["fence"]
            task.permit_until = self._clock() + body["permit_s"]
            task.resumes_from = body.get("checkpoint", "")
        return self._status_of(body)

    def _start(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(_task_key(body))
        if task is None:
            return _error_reply(ResultCode.UNKNOWN_ATTEMPT, "not prepared")
        if task.began:
            return self._status_of(body)
        now = self._clock()
        if task.state != "prepared" or task.prepared_fence != body["fence"]:
            return _error_reply(
                ResultCode.PERMIT_EXPIRED, "not prepared for this start"
            )
        payload = base64.b64decode(body["payload"])
        task.state = "running"
        task.began = True
        task.lease_until = now + body["lease_s"]
        task.total_s = _run_time_s(payload)
        task.done_s = _checkpointed_s(task.resumes_from)
        task.counted_at = now
        task.body = b"answer:%d:" % task.member + payload
        resumed = bool(task.resumes_from)
        accepted_start = AcceptedStart(task.attempt, task.member, now, resumed)
        self.starts.append(accepted_start)
        if self._on_start is not None:
            self._on_start(accepted_start)
        return self._status_of(body)

    def _stop(self, body: dict[str, Any]) -> dict[str, Any]:
        key = _task_key(body)
        task = self._task_by_key.setdefault(key, Task(*key, state="stopped"))
        if key in self._active_by_key:
            self._end(task, "stopped")
        return self._status_of(body)

    def _checkpoint(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(_task_key(body))
        if task is not None and task.state == "running":
            task.update_progress(self._clock())
            task.checkpoint = f"checkpoint/{task.attempt}/{task.member}/{task.done_s}"
        return self._stop(body)

    def _throttle(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(_task_key(body))
        if task is not None and task.state == "running":
            task.update_progress(self._clock())
            task.rate = max(0.01, min(1.0, body["rate"]))
        return self._status_of(body)

    def _result(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._unacknowledged_by_key.get(_task_key(body))
        if task is None:
            return _error_reply(ResultCode.UNKNOWN_ATTEMPT, "no answer")
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
        task = self._unacknowledged_by_key.pop(_task_key(body), None)
        if task is not None:
            task.body = b""
        return reply

    def _is_stale(self, body: dict[str, Any]) -> bool:
        """Return whether a newer fence is known; else record this one."""
        newest_fence = self._fence_by_attempt.get(body["attempt"], 0)
        if body["fence"] < newest_fence:
            return True
        self._fence_by_attempt[body["attempt"]] = body["fence"]
        return False

    def _status_of(self, body: dict[str, Any]) -> dict[str, Any]:
        key = _task_key(body)
        task = self._task_by_key.get(key) or Task(*key)
        return {
            "attempt": task.attempt,
            "member": task.member,
            "state": task.state,
            "began": task.began,
            "message": task.message,
            "checkpoint": task.checkpoint,
        }

    def _apply_elapsed_time(self) -> None:
        """End tasks that are due, and drop expired permits and answers."""
        now = self._clock()
        for key, task in list(self._active_by_key.items()):
            if task.state == "prepared":
                if now > task.permit_until:
                    # No reply has said that the task will never begin, so
                    # another entry may prepare it again with a newer fence.
                    del self._active_by_key[key]
                    del self._task_by_key[key]
                continue
            ends_at = task.ends_at()
            if ends_at <= min(now, task.lease_until):
                self._finish(task, ends_at)
            elif now > task.lease_until:
                task.message = "the lease ran out"
                self._end(task, "stopped")
        for key, task in list(self._unacknowledged_by_key.items()):
            if now > task.named_at + ANSWER_RETENTION_S:
                del self._unacknowledged_by_key[key]
                task.body = b""

    def _finish(self, task: Task, at: float) -> None:
        task.named_at = at
        if self.behaviour.fail_all:
            task.message = "the stand-in fails every task"
            self._end(task, "failed")
            return
        self._end(task, "finished")
        self._unacknowledged_by_key[(task.attempt, task.member)] = task

    def _end(self, task: Task, state: str) -> None:
        task.state = state
        del self._active_by_key[(task.attempt, task.member)]


def _task_key(body: dict[str, Any]) -> tuple[str, int]:
    return body["attempt"], body["member"]


def _run_time_s(payload: bytes) -> float:
    try:
        return float(json.loads(payload)["run_s"])
    except (ValueError, KeyError, TypeError):
        return DEFAULT_RUN_S


def _checkpointed_s(checkpoint: str) -> float:
    """Return the part of the run time that a checkpoint covers."""
    return float(checkpoint.rpartition("/")[2]) if checkpoint else 0.0


def _error_reply(code: ResultCode, message: str) -> dict[str, Any]:
    return {"code": int(code), "name": code.name, "message": message}
