"""The filter chain that each call passes before it reaches its handler.

A filter either stores its result in the call, or raises the error that the
caller gets.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from litestar import Request

from persimmonyard.daemon.entry.access import Authenticator
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.settings import Settings
from persimmonyard.model import AccessRole, PersimmonyardError, ResultCode

__all__ = ["Call", "FilterChain"]


@dataclass
class Call:
    """One HTTP call, with the client account and body that filters set.

    ``role`` is the role that the caller must have.  ``needs_lease`` is false
    for calls that only inspect this process, which need no configuration
    lease.
    """

    request: Request
    role: AccessRole
    needs_lease: bool = True
    client_account: str = ""
    body: bytes = b""


class Filter(Protocol):
    """One filter of the chain."""

    async def __call__(self, call: Call) -> None:
        """Check the call; raise the error for the caller if it is refused."""


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
    """Authenticate the bearer token and check that it has the needed role."""

    def __init__(self, authenticator: Authenticator):
        self._authenticator = authenticator

    async def __call__(self, call: Call) -> None:
        """Set the client account of the call.

        Raises UNAUTHENTICATED for a missing or unknown token, and FORBIDDEN
        for a token of another role.
        """
        scheme, _, token = call.request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise PersimmonyardError(
                ResultCode.UNAUTHENTICATED, "the call has no bearer token"
            )
        principal = self._authenticator.authenticate(token.strip())
        if principal is None:
            raise PersimmonyardError(
                ResultCode.UNAUTHENTICATED, "the token is not accepted"
            )
        if principal.role != call.role:
            raise PersimmonyardError(
                ResultCode.FORBIDDEN, f"the call needs a token of role {call.role}"
            )
        call.client_account = principal.name


class BodyFilter:
    """Read the body with a limit on its size and on the time to arrive."""

    def __init__(self, max_bytes: int, timeout_s: float):
        self._max_bytes = max_bytes
        self._timeout_s = timeout_s

    async def __call__(self, call: Call) -> None:
        """Set the body of the call.

        Raises BODY_TOO_LARGE above the size limit, and CALL_TOO_SLOW after
        the time limit.
        """
        declared = call.request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > self._max_bytes:
            raise self._too_large_error()
        try:
            async with asyncio.timeout(self._timeout_s):
                call.body = await self._read(call.request)
        except TimeoutError:
            raise PersimmonyardError(
                ResultCode.CALL_TOO_SLOW,
                f"the body did not arrive within {self._timeout_s:g} s",
            ) from None

    async def _read(self, request: Request) -> bytes:
        chunks = []
        size = 0
        async for chunk in request.stream():
            size += len(chunk)
            if size > self._max_bytes:
                raise self._too_large_error()
            chunks.append(chunk)
        return b"".join(chunks)

    def _too_large_error(self) -> PersimmonyardError:
        return PersimmonyardError(
            ResultCode.BODY_TOO_LARGE, f"the body has more than {self._max_bytes} bytes"
        )


class FilterChain:
    """Applies the filters in order, and limits concurrent calls per account.

    A call counts towards the limit of its account from the time it is
    authenticated until its handler returns.
    """

    def __init__(
        self, settings: Settings, state: LocalState, authenticator: Authenticator
    ):
        limits = settings.limits
        self.stop_filter = StopFilter()
        self._calls_per_account = limits.calls_per_account
        self._count_by_account: dict[str, int] = {}
        lease = LeaseFilter(state)
        token = TokenFilter(authenticator)
        self._pre_limit_filters: list[Filter] = [self.stop_filter, lease, token]
        # Lease and token are checked again, because either may become invalid
        # while a slow body is read.
        self._post_limit_filters: list[Filter] = [
            BodyFilter(limits.body_bytes, limits.body_s),
            lease,
            token,
        ]

    @contextlib.asynccontextmanager
    async def admit_call(
        self, request: Request, role: AccessRole, needs_lease: bool = True
    ) -> AsyncIterator[Call]:
        """Yield the call once all filters have accepted it.

        Raises QUEUE_FULL if its account has too many calls in progress, and
        the errors of the filters.
        """
        call = Call(request, role, needs_lease)
        for apply_filter in self._pre_limit_filters:
            await apply_filter(call)
        account = f"{role}/{call.client_account}"
        self._acquire_call_slot(account)
        try:
            for apply_filter in self._post_limit_filters:
                await apply_filter(call)
            yield call
        finally:
            self._release_call_slot(account)

    def _acquire_call_slot(self, account: str) -> None:
        count = self._count_by_account.get(account, 0)
        if count >= self._calls_per_account:
            raise PersimmonyardError(
                ResultCode.QUEUE_FULL,
                f"this entry has {count} calls of the account in progress",
            )
        self._count_by_account[account] = count + 1

    def _release_call_slot(self, account: str) -> None:
        self._count_by_account[account] -= 1
        if not self._count_by_account[account]:
            del self._count_by_account[account]
