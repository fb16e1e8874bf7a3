"""Calls on upstreams, as ``docs/upstream-protocol.md`` describes them."""

import base64
import hashlib
from typing import Any

import httpx
import msgspec

from persimmonyard.daemon.timing import START_PERMIT_S, TASK_LEASE_S
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.wire import DispatchMember, DispatchOrder

__all__ = ["TaskAnswer", "TaskStatus", "UpstreamCalls", "UpstreamUnreachableError"]

CALL_TIMEOUT_S = 2.0
RESULT_TIMEOUT_S = 10.0


class UpstreamUnreachableError(Exception):
    """The upstream gave no usable answer; the effect is unknown."""


class TaskStatus(msgspec.Struct):
    """State of one task as its upstream reports it.

    ``state`` is ``unknown``, ``prepared``, ``running``, ``finished``,
    ``failed`` or ``stopped``.
    """

    attempt: str
    member: int
    state: str
    began: bool = False
    message: str = ""
    checkpoint: str = ""
    code: int = 0


class TaskAnswer(msgspec.Struct):
    """The checked body of a finished task."""

    body: bytes
    digest: str


class UpstreamCalls:
    """One HTTP client for all upstreams."""

    def __init__(self) -> None:
        limits = httpx.Limits(max_connections=4_096, max_keepalive_connections=512)
        self._client = httpx.AsyncClient(limits=limits, trust_env=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def prepare(self, order: DispatchOrder, member: int) -> TaskStatus:
        """Reserve a slot; the permit for the start counts from the reply."""
        body = self._identity(order, member)
        body |= {
            "accelerators": order.accelerators,
            "cores": order.cores,
            "memory_mb": order.memory_mb,
            "permit_s": START_PERMIT_S,
            "checkpoint": order.checkpoint,
        }
        return await self._status(order.members[member], "prepare", body)

    async def start(self, order: DispatchOrder, member: int) -> TaskStatus:
        """Start a prepared task."""
        body = self._identity(order, member)
        body |= {
            "lease_s": TASK_LEASE_S,
            "declared_run_s": order.declared_run_s,
            "payload": base64.b64encode(order.payload).decode(),
        }
        return await self._status(order.members[member], "start", body)

    async def stop(self, order: DispatchOrder, member: int) -> TaskStatus:
        """Stop a task; ``began`` tells whether it ever ran."""
        body = self._identity(order, member)
        return await self._status(order.members[member], "stop", body)

    async def checkpoint(self, order: DispatchOrder, member: int) -> TaskStatus:
        """Checkpoint a task and stop it there."""
        body = self._identity(order, member)
        return await self._status(order.members[member], "checkpoint", body)

    async def acknowledge(self, order: DispatchOrder, member: int) -> TaskStatus:
        """Let the upstream forget a task."""
        body = self._identity(order, member)
        return await self._status(order.members[member], "acknowledge", body)

    async def renew(
        self, member: DispatchMember, tasks: list[dict[str, Any]], wait_s: float
    ) -> list[TaskStatus]:
        """Renew leases and return once a task has stopped running."""
        body = {"lease_s": TASK_LEASE_S, "wait_s": wait_s, "tasks": tasks}
        reply = await self._post(member, "renew", body, wait_s + CALL_TIMEOUT_S)
        return self._convert(reply.get("tasks"), list[TaskStatus])

    async def result(self, order: DispatchOrder, member: int) -> TaskAnswer:
        """Return the answer of a finished task, whole and checked."""
        body = self._identity(order, member)
        reply = await self._post(
            order.members[member], "result", body, RESULT_TIMEOUT_S
        )
        return self._checked_answer(order, member, reply)

    def _checked_answer(
        self, order: DispatchOrder, member: int, reply: dict[str, Any]
    ) -> TaskAnswer:
        if reply.get("attempt") != self.attempt_id(order):
            raise UpstreamUnreachableError("answer of another attempt")
        if reply.get("member") != member:
            raise UpstreamUnreachableError("answer of another member")
        body = base64.b64decode(reply.get("body", ""))
        digest = hashlib.sha256(body).hexdigest()
        if len(body) != reply.get("length") or digest != reply.get("digest"):
            raise UpstreamUnreachableError("answer does not match its digest")
        return TaskAnswer(body, digest)

    @staticmethod
    def attempt_id(order: DispatchOrder) -> str:
        """Return the identity of an attempt."""
        return f"{order.request_id}.{order.number}"

    def _identity(self, order: DispatchOrder, member: int) -> dict[str, Any]:
        return {
            "attempt": self.attempt_id(order),
            "member": member,
            "fence": order.fence,
            "incarnation": order.members[member].incarnation,
        }

    async def _status(
        self, member: DispatchMember, call: str, body: dict[str, Any]
    ) -> TaskStatus:
        reply = await self._post(member, call, body, CALL_TIMEOUT_S)
        return self._convert(reply, TaskStatus)

    def _convert(self, reply: Any, expected: Any) -> Any:
        try:
            return msgspec.convert(reply, expected)
        except msgspec.ValidationError as error:
            raise UpstreamUnreachableError(f"malformed reply: {error}") from error

    async def _post(
        self, member: DispatchMember, call: str, body: dict[str, Any], timeout_s: float
    ) -> dict[str, Any]:
        url = f"http://{member.address}/v1/tasks/{call}"
        try:
            response = await self._client.post(url, json=body, timeout=timeout_s)
            reply = response.json()
        except (httpx.HTTPError, ValueError) as error:
            raise UpstreamUnreachableError(f"{call}: {error}") from error
        if response.status_code >= 500 or not isinstance(reply, dict):
            raise UpstreamUnreachableError(f"{call}: status {response.status_code}")
        if "code" in reply and "state" not in reply and response.status_code >= 400:
            code = ResultCode(reply["code"])
            raise PersimmonyardError(code, str(reply.get("message", "")))
        return reply
