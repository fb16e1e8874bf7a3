"""Client of the task API of upstreams; see ``docs/upstream-protocol.md``."""

import base64
import hashlib
import json
from typing import Any, NamedTuple

import httpx
import msgspec

from persimmonyard.daemon.entry.attempt_events import TaskAnswer, TaskStatus
from persimmonyard.daemon.entry.cancellation import ScopedCalls
from persimmonyard.daemon.entry.pooled_transport import PooledTransport
from persimmonyard.daemon.timing import START_PERMIT_S, TASK_LEASE_S
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.wire import DispatchMember, DispatchOrder

__all__ = [
    "NoConnectionError",
    "TaskAnswer",
    "TaskClient",
    "TaskStatus",
    "UpstreamUnreachableError",
    "attempt_id",
    "decode_answer",
    "task_call_body",
]

CALL_TIMEOUT_S = 2.0
RESULT_TIMEOUT_S = 10.0
# An answer has at most 65,536 bytes, and a reply to a renewal some hundred
# for each task.
MAX_REPLY_BYTES = 4 << 20


class UpstreamUnreachableError(Exception):
    """The upstream gave no valid reply, so the effect of a call is unknown.

    The upstream did not answer in time, or its reply is malformed or about
    another task.
    """


class NoConnectionError(UpstreamUnreachableError):
    """No connection to the upstream was made, so a call had no effect."""


class _Response(NamedTuple):
    """A whole reply of an upstream."""

    status: int
    body: bytes


class TaskClient:
    """Calls the task API of upstreams, with few connections to each."""

    def __init__(self) -> None:
        self._client = httpx.AsyncClient(transport=PooledTransport(), trust_env=False)
        self._calls = ScopedCalls()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def call_task(
        self, call: str, order: DispatchOrder, member: int
    ) -> TaskStatus:
        """Send a call for one task and return its status.

        Raises ``UpstreamUnreachableError`` if the effect is unknown, and
        ``PersimmonyardError`` with the code of a refusal.
        """
        body = task_call_body(call, order, member)
        target = order.members[member]
        reply = await self._post(target, call, body, CALL_TIMEOUT_S)
        status: TaskStatus = self._decode(reply, TaskStatus)
        if status.attempt != body["attempt"] or status.member != member:
            raise UpstreamUnreachableError(f"{call}: status of another task")
        return status

    async def renew(
        self, member: DispatchMember, tasks: list[dict[str, Any]], wait_s: float
    ) -> list[TaskStatus]:
        """Renew the leases of tasks on an upstream; return their statuses.

        The upstream answers as soon as a task is in another state than its
        ``known_state``, at the latest after ``wait_s`` seconds.  Raises the
        same errors as ``call_task``.
        """
        body = {
            "incarnation": member.incarnation,
            "lease_s": TASK_LEASE_S,
            "wait_s": wait_s,
            "tasks": tasks,
        }
        reply = await self._post(member, "renew", body, wait_s + CALL_TIMEOUT_S)
        statuses: list[TaskStatus] = self._decode(reply.get("tasks"), list[TaskStatus])
        return statuses

    async def fetch_answer(self, order: DispatchOrder, member: int) -> TaskAnswer:
        """Return the complete, verified answer of a finished task.

        Raises the same errors as ``call_task``.
        """
        body = task_call_body("result", order, member)
        reply = await self._post(
            order.members[member], "result", body, RESULT_TIMEOUT_S
        )
        return decode_answer(order, member, reply)

    def _decode(self, reply: Any, expected: Any) -> Any:
        try:
            return msgspec.convert(reply, expected)
        except msgspec.ValidationError as error:
            raise UpstreamUnreachableError(f"malformed reply: {error}") from error

    async def _post(
        self, member: DispatchMember, call: str, body: dict[str, Any], timeout_s: float
    ) -> dict[str, Any]:
        url = f"http://{member.address}/v1/tasks/{call}"
        try:
            response = await self._calls.run(self._exchange(url, body, timeout_s))
            reply = msgspec.json.decode(response.body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise NoConnectionError(f"{call}: {error!r}") from error
        except (httpx.HTTPError, ValueError, RecursionError) as error:
            # The message of a timeout is empty.
            raise UpstreamUnreachableError(f"{call}: {error!r}") from error
        if response.status >= 500 or not isinstance(reply, dict):
            raise UpstreamUnreachableError(f"{call}: status {response.status}")
        if "code" in reply and "state" not in reply and response.status >= 400:
            raise PersimmonyardError(
                _refusal_code(reply["code"]), str(reply.get("message", ""))
            )
        return reply

    async def _exchange(
        self, url: str, body: dict[str, Any], timeout_s: float
    ) -> _Response:
        """Send a call and return the whole reply.

        Raises ``httpx.HTTPError``, or ``UpstreamUnreachableError`` for a reply
        above ``MAX_REPLY_BYTES``.
        """
        parts: list[bytes] = []
        size = 0
        async with self._client.stream(
            "POST", url, json=body, timeout=timeout_s
        ) as response:
            async for part in response.aiter_bytes():
                parts.append(part)
                size += len(part)
                if size > MAX_REPLY_BYTES:
                    raise UpstreamUnreachableError(
                        f"the reply has more than {MAX_REPLY_BYTES} bytes"
                    )
        return _Response(response.status_code, b"".join(parts))


def attempt_id(order: DispatchOrder) -> str:
    """Return the identifier of an attempt in the task API."""
    return f"{order.request_id}.{order.number}"


def task_call_body(call: str, order: DispatchOrder, member: int) -> dict[str, Any]:
    """Return the body of a call for one task."""
    body: dict[str, Any] = {
        "attempt": attempt_id(order),
        "member": member,
        "fence": order.fence,
        "incarnation": order.members[member].incarnation,
    }
    match call:
        case "prepare":
            body |= {
                "accelerators": order.accelerators,
                "cores": order.cores,
                "memory_mb": order.memory_mb,
                "permit_s": START_PERMIT_S,
                "checkpoint": _member_checkpoint(order, member),
            }
        case "start":
            body |= {
                "lease_s": TASK_LEASE_S,
                "declared_run_s": order.declared_run_s,
                "payload": base64.b64encode(order.payload).decode(),
            }
    return body


def _member_checkpoint(order: DispatchOrder, member: int) -> str:
    """Return the member's checkpoint of the previous attempt.

    The checkpoints of a gang are one JSON list.
    """
    if not order.checkpoint or len(order.members) == 1:
        return order.checkpoint
    checkpoint: str = json.loads(order.checkpoint)[member]
    return checkpoint


def _refusal_code(value: Any) -> ResultCode:
    try:
        return ResultCode(value)
    except ValueError as error:
        raise UpstreamUnreachableError(f"unknown code {value!r}") from error


def decode_answer(
    order: DispatchOrder, member: int, reply: dict[str, Any]
) -> TaskAnswer:
    """Return the answer in a reply, if it is complete and of this task.

    Raises ``UpstreamUnreachableError`` otherwise, so that the caller fetches
    the answer again.
    """
    if reply.get("attempt") != attempt_id(order):
        raise UpstreamUnreachableError("answer of another attempt")
    if reply.get("member") != member:
        raise UpstreamUnreachableError("answer of another member")
    try:
        body = base64.b64decode(reply.get("body", ""), validate=True)
    except (ValueError, TypeError) as error:
        raise UpstreamUnreachableError(f"malformed answer: {error}") from error
    digest = hashlib.sha256(body).hexdigest()
    if len(body) != reply.get("length") or digest != reply.get("digest"):
        raise UpstreamUnreachableError("answer does not match its digest")
    return TaskAnswer(body, digest)
