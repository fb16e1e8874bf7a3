"""The tasks of a stand-in upstream, following the upstream protocol."""

import asyncio
import base64
import hashlib
import json
import time
from dataclasses import dataclass, field
from typing import Any

from persimmonyard.model import ResultCode

__all__ = ["Behaviour", "Task", "TaskTable"]

DEFAULT_RUN_S = 0.05


@dataclass
class Behaviour:
    """Faults that the stand-in shows; the default shows none."""

    fail_all: bool = False
    refuse_all: bool = False
    answer_delay_s: float = 0.0
    cut_answers: bool = False
    silent: bool = False


@dataclass
class Task:
    """One member of an attempt on this upstream."""

    attempt: str
    member: int
    state: str = "prepared"
    began: bool = False
    permit_until: float = 0.0
    lease_until: float = 0.0
    ends_at: float = 0.0
    body: bytes = b""
    message: str = ""
    checkpoint: str = ""
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class TaskTable:
    """All tasks of one start of an upstream.

    ``starts`` lists every start that was honoured, for the oracles of tests.
    """

    def __init__(self, incarnation: str, slots: int, behaviour: Behaviour):
        self.incarnation = incarnation
        self.behaviour = behaviour
        self.starts: list[tuple[str, int, float]] = []
        self._slots = slots
        self._task_by_key: dict[tuple[str, int], Task] = {}
        self._fence_by_attempt: dict[str, int] = {}

    def busy(self) -> int:
        """Return the number of slots in use."""
        self._expire()
        count = 0
        for task in self._task_by_key.values():
            if task.state in ("prepared", "running"):
                count += 1
        return count

    def handle(self, call: str, body: dict[str, Any]) -> dict[str, Any]:
        """Answer one call about one task."""
        refusal = self._check(body)
        if refusal is not None:
            return refusal
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
                return self._report(body)
            case "result":
                return self._result(body)
            case "acknowledge":
                self._task_by_key.pop(self._key(body), None)
                return self._report(body)
        return _refusal(ResultCode.NOT_FOUND, f"no call {call!r}")

    async def renew(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renew leases; answer once a task is not running or time is up."""
        deadline = time.monotonic() + body["wait_s"]
        tasks = body["tasks"]
        while True:
            self._expire()
            replies = [self._renew_one(one, body["lease_s"]) for one in tasks]
            if any(reply["state"] != "running" for reply in replies):
                return {"tasks": replies}
            left = deadline - time.monotonic()
            if left <= 0:
                return {"tasks": replies}
            await asyncio.sleep(min(left, self._until_next_end()))

    # Single calls.

    def _prepare(self, body: dict[str, Any]) -> dict[str, Any]:
        if self.behaviour.refuse_all:
            return _refusal(ResultCode.NO_FREE_SLOT, "refusing")
        key = self._key(body)
        task = self._task_by_key.get(key)
        if task is None and self.busy() >= self._slots:
            return _refusal(ResultCode.NO_FREE_SLOT, "no free slot")
        if task is None:
            task = Task(body["attempt"], body["member"])
            self._task_by_key[key] = task
        if task.state == "prepared":
            task.permit_until = time.monotonic() + body["permit_s"]
        return self._report(body)

    def _start(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(self._key(body))
        if task is None:
            return _refusal(ResultCode.UNKNOWN_ATTEMPT, "not prepared")
        if task.began:
            return self._report(body)
        now = time.monotonic()
        if task.state != "prepared" or now > task.permit_until:
            return _refusal(ResultCode.PERMIT_EXPIRED, "the permit has expired")
        task.state = "running"
        task.began = True
        task.lease_until = now + body["lease_s"]
        payload = base64.b64decode(body["payload"])
        task.ends_at = now + _run_time(payload)
        task.body = b"answer:%d:" % task.member + payload
        self.starts.append((task.attempt, task.member, now))
        return self._report(body)

    def _stop(self, body: dict[str, Any]) -> dict[str, Any]:
        key = self._key(body)
        task = self._task_by_key.get(key)
        if task is None:
            task = Task(body["attempt"], body["member"], state="stopped")
            self._task_by_key[key] = task
        if task.state in ("prepared", "running"):
            task.state = "stopped"
        return self._report(body)

    def _checkpoint(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(self._key(body))
        if task is not None and task.state == "running":
            task.checkpoint = f"checkpoint/{task.attempt}/{task.member}"
        return self._stop(body)

    def _result(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(self._key(body))
        if task is None or task.state != "finished":
            return _refusal(ResultCode.UNKNOWN_ATTEMPT, "no answer")
        content = task.body
        digest = hashlib.sha256(content).hexdigest()
        if self.behaviour.cut_answers:
            content = content[:-1]
        return {
            "attempt": task.attempt,
            "member": task.member,
            "body": base64.b64encode(content).decode(),
            "length": len(task.body),
            "digest": digest,
        }

    def _renew_one(self, one: dict[str, Any], lease_s: float) -> dict[str, Any]:
        stale = self._stale(one)
        if stale:
            return self._report(one) | {"code": int(ResultCode.STALE_FENCE)}
        task = self._task_by_key.get(self._key(one))
        if task is not None and task.state == "running":
            task.lease_until = time.monotonic() + lease_s
        return self._report(one)

    # Helpers.

    def _check(self, body: dict[str, Any]) -> dict[str, Any] | None:
        if body.get("incarnation") != self.incarnation:
            return _refusal(ResultCode.UNKNOWN_ATTEMPT, "another incarnation")
        if self._stale(body):
            return _refusal(ResultCode.STALE_FENCE, "a newer fence is known")
        return None

    def _stale(self, body: dict[str, Any]) -> bool:
        known = self._fence_by_attempt.get(body["attempt"], 0)
        if body["fence"] < known:
            return True
        self._fence_by_attempt[body["attempt"]] = body["fence"]
        return False

    def _key(self, body: dict[str, Any]) -> tuple[str, int]:
        return body["attempt"], body["member"]

    def _report(self, body: dict[str, Any]) -> dict[str, Any]:
        task = self._task_by_key.get(self._key(body))
        if task is None:
            task = Task(body["attempt"], body["member"], state="unknown")
        return {
            "attempt": task.attempt,
            "member": task.member,
            "state": task.state,
            "began": task.began,
            "message": task.message,
            "checkpoint": task.checkpoint,
        }

    def _expire(self) -> None:
        now = time.monotonic()
        for task in self._task_by_key.values():
            if task.state == "prepared" and now > task.permit_until:
                task.state = "stopped"
            if task.state != "running":
                continue
            if now >= task.ends_at:
                self._end(task)
            elif now > task.lease_until:
                task.state = "stopped"

    def _end(self, task: Task) -> None:
        task.state = "finished"
        if self.behaviour.fail_all:
            task.state = "failed"
            task.message = "the stand-in fails every task"

    def _until_next_end(self) -> float:
        now = time.monotonic()
        delay = 0.25
        for task in self._task_by_key.values():
            if task.state == "running":
                delay = min(delay, task.ends_at - now)
        return max(0.005, delay)


def _run_time(payload: bytes) -> float:
    try:
        return float(json.loads(payload)["run_s"])
    except (ValueError, KeyError, TypeError):
        return DEFAULT_RUN_S


def _refusal(code: ResultCode, message: str) -> dict[str, Any]:
    return {"code": int(code), "name": code.name, "message": message}
