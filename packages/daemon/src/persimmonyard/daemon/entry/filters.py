"""The filter chain in front of the handlers.

Each filter takes the call, and either fills in what it found or raises the
error that the caller gets.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from litestar import Request

from persimmonyard.daemon.entry.access import AccessTable
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.settings import Settings
from persimmonyard.model import PersimmonyardError, ResultCode, Role

__all__ = ["Call", "FilterChain"]


@dataclass
class Call:
    """One HTTP call on its way through the chain.

    Calls that only look at this process need no configuration lease.
    """

    request: Request
    role: Role
    needs_lease: bool = True
    client_account: str = ""
    body: bytes = b""


class Filter(Protocol):
    """One stage of the chain."""

    async def __call__(self, call: Call) -> None:
        """Check the call."""


class StopFilter:
    """Refuse new calls while the process is shutting down."""

    def __init__(self) -> None:
        self.refusing = False

    async def __call__(self, call: Call) -> None:
        """Raise STOPPING during a shutdown."""
        if self.refusing and call.needs_lease:
            raise PersimmonyardError(ResultCode.STOPPING, "this entry is stopping")


class LeaseFilter:
    """Refuse calls while the configuration may be out of date."""

    def __init__(self, state: LocalState):
        self._state = state

    async def __call__(self, call: Call) -> None:
        """Raise CONFIGURATION_LEASE_EXPIRED without a valid lease."""
        if call.needs_lease and not self._state.lease_valid():
            raise PersimmonyardError(
                ResultCode.CONFIGURATION_LEASE_EXPIRED,
                "this entry has no contact to the control leader",
            )


class TokenFilter:
    """Find the client account or role that the bearer token belongs to."""

    def __init__(self, access: AccessTable):
        self._access = access

    async def __call__(self, call: Call) -> None:
        """Raise UNAUTHENTICATED or FORBIDDEN for a token without the role."""
        scheme, _, token = call.request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise PersimmonyardError(
                ResultCode.UNAUTHENTICATED, "the call has no bearer token"
            )
        holder = self._access.holder_of(token.strip())
        if holder is None:
            raise PersimmonyardError(
                ResultCode.UNAUTHENTICATED, "the token is not accepted"
            )
        if holder.role != call.role:
            raise PersimmonyardError(
                ResultCode.FORBIDDEN, f"the call needs a token of role {call.role}"
            )
        call.client_account = holder.name


class BodyFilter:
    """Read the body, up to a size and within a time."""

    def __init__(self, limit: int, seconds: float):
        self._limit = limit
        self._seconds = seconds

    async def __call__(self, call: Call) -> None:
        """Raise BODY_TOO_LARGE past the size, CALL_TOO_SLOW past the time."""
        declared = call.request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > self._limit:
            raise self._too_large()
        try:
            async with asyncio.timeout(self._seconds):
                call.body = await self._read(call.request)
        except TimeoutError:
            raise PersimmonyardError(
                ResultCode.CALL_TOO_SLOW,
                f"the body did not arrive within {self._seconds:g} s",
            ) from None

    async def _read(self, request: Request) -> bytes:
        chunks = []
        size = 0
        async for chunk in request.stream():
            size += len(chunk)
            if size > self._limit:
                raise self._too_large()
            chunks.append(chunk)
        return b"".join(chunks)

    def _too_large(self) -> PersimmonyardError:
        return PersimmonyardError(
            ResultCode.BODY_TOO_LARGE, f"the body has more than {self._limit} bytes"
        )


class FilterChain:
    """All filters in their order, and the calls that are past them."""

    def __init__(self, settings: Settings, state: LocalState, access: AccessTable):
        limits = settings.limits
        self.stop = StopFilter()
        self._calls_per_account = limits.calls_per_account
        self._count_by_account: dict[str, int] = {}
        lease = LeaseFilter(state)
        token = TokenFilter(access)
        self._head: list[Filter] = [self.stop, lease, token]
        # A slow body may outlive the lease, and the token with it.
        self._rest: list[Filter] = [
            BodyFilter(limits.body_bytes, limits.body_s),
            lease,
            token,
        ]

    @contextlib.asynccontextmanager
    async def admit_call(
        self, request: Request, role: Role, needs_lease: bool = True
    ) -> AsyncIterator[Call]:
        """Yield the call after all filters let it pass."""
        call = Call(request, role, needs_lease)
        for one in self._head:
            await one(call)
        account = f"{role}/{call.client_account}"
        self._enter(account)
        try:
            for one in self._rest:
                await one(call)
            yield call
        finally:
            self._leave(account)

    def _enter(self, account: str) -> None:
        count = self._count_by_account.get(account, 0)
        if count >= self._calls_per_account:
            raise PersimmonyardError(
                ResultCode.QUEUE_FULL,
                f"this entry has {count} calls of the account in progress",
            )
        self._count_by_account[account] = count + 1

    def _leave(self, account: str) -> None:
        self._count_by_account[account] -= 1
        if not self._count_by_account[account]:
            del self._count_by_account[account]
