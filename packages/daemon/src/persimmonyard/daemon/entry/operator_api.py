"""HTTP handlers for operators: configuration, status and dump."""

import asyncio
import math
import time
import uuid
from collections.abc import Callable
from typing import Any

import msgspec
from litestar import Request

from persimmonyard.daemon.entry.command_errors import require_success
from persimmonyard.daemon.entry.configuration_body import (
    ConfigurationBody,
    parse_changes,
)
from persimmonyard.daemon.entry.filters import FilterChain
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.parsing import parse_json, require, require_range
from persimmonyard.daemon.entry.submission import MAX_REQUESTED_WAIT_S
from persimmonyard.daemon.settings import LimitSettings
from persimmonyard.model import AccessRole, PersimmonyardError
from persimmonyard.state.commands import ApplyConfiguration

__all__ = ["OperatorApi"]

MAX_IDENTITY_LENGTH = 128
# A wait consists of short queries, so that it continues after a failover.
IN_FORCE_QUERY_S = 1.0
IN_FORCE_RETRY_DELAY_S = 0.05


class OperatorApi:
    """Handlers for operators; each runs the filter chain on its call."""

    def __init__(
        self,
        limits: LimitSettings,
        leader: LeaderClient,
        chain: FilterChain,
        dump: Callable[[], dict[str, Any]],
    ):
        self._limits = limits
        self._leader = leader
        self._chain = chain
        self._dump = dump

    async def configuration(self, request: Request) -> Any:
        """Return the full configuration."""
        return await self._read(request, "configuration")

    async def status(self, request: Request) -> Any:
        """Return the status that the control leader reports."""
        return await self._read(request, "status")

    async def dump(self, request: Request) -> dict[str, Any]:
        """Return the state of this process; needs no configuration lease."""
        async with self._chain.admit_call(
            request, AccessRole.OPERATOR, needs_lease=False
        ):
            return self._dump()

    async def apply(self, request: Request) -> dict[str, Any]:
        """Apply changes, and wait until they are in force.

        The wait lasts at most ``wait_s`` seconds, or the limit in the
        settings if that is less.  The default is not to wait.
        A resend with the same ``Idempotency-Key`` header is applied once.
        """
        async with self._chain.admit_call(request, AccessRole.OPERATOR) as call:
            identity = _idempotency_key(request)
            body = parse_json(call.body, ConfigurationBody)
            require_range("wait_s", body.wait_s, 0, MAX_REQUESTED_WAIT_S)
            if body.expected_version is not None:
                require_range("expected_version", body.expected_version, 0, math.inf)
            changes = parse_changes(body.changes)
            command = ApplyConfiguration(changes, body.expected_version)
            result = require_success(
                await self._leader.execute(command, f"apply/{identity}")
            )
            in_force = await self._wait_in_force(result.version, body.wait_s)
            return {"version": result.version, "in_force": in_force}

    async def _read(self, request: Request, kind: str) -> Any:
        async with self._chain.admit_call(request, AccessRole.OPERATOR):
            return msgspec.json.decode(await self._leader.query(kind))

    async def _wait_in_force(self, version: int, wait_s: float) -> bool:
        """Return whether a version comes into force within ``wait_s`` seconds.

        The change is already committed, so a failed query is not reported as
        an error.
        """
        deadline = time.monotonic() + min(wait_s, self._limits.wait_s)
        while wait_s > 0:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return False
            query_id = f"{version}/{min(remaining_s, IN_FORCE_QUERY_S)}"
            try:
                reply = await self._leader.query(
                    "in_force", query_id, remaining_s + 1.0
                )
            except PersimmonyardError:
                return False
            if msgspec.json.decode(reply):
                return True
            await asyncio.sleep(IN_FORCE_RETRY_DELAY_S)
        return False


def _idempotency_key(request: Request) -> str:
    """Return the header ``Idempotency-Key``, or a unique value without one."""
    identity = request.headers.get("idempotency-key")
    if identity is None:
        return uuid.uuid4().hex
    valid = 1 <= len(identity) <= MAX_IDENTITY_LENGTH and identity.isprintable()
    accepted = f"1 to {MAX_IDENTITY_LENGTH} printable characters"
    require(valid, "Idempotency-Key", accepted)
    return identity
