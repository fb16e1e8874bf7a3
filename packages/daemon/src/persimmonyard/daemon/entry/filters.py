"""The filter chain in front of the handlers.

Each filter takes the call, and either fills in what it found or raises the
error that the caller gets.
"""

from dataclasses import dataclass
from typing import Protocol

from litestar import Request

from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.settings import Settings
from persimmonyard.daemon.tokens import matches_any
from persimmonyard.model import PersimmonyardError, ResultCode, Role

__all__ = ["Call", "FilterChain"]

OPERATOR_ACCOUNT = "operator"
UPSTREAM_ACCOUNT = "upstream"


@dataclass
class Call:
    """One HTTP call on its way through the chain."""

    request: Request
    role: Role
    client_account: str = ""
    body: bytes = b""


class Filter(Protocol):
    """One stage of the chain."""

    async def __call__(self, call: Call) -> None:
        """Check the call."""


class StopFilter:
    """Refuse new calls while the process is shutting down."""

    def __init__(self) -> None:
        self.stopping = False

    async def __call__(self, call: Call) -> None:
        """Raise STOPPING during a shutdown."""
        if self.stopping:
            raise PersimmonyardError(ResultCode.STOPPING, "this entry is stopping")


class LeaseFilter:
    """Refuse calls while the configuration may be out of date."""

    def __init__(self, state: LocalState):
        self._state = state

    async def __call__(self, call: Call) -> None:
        """Raise CONFIGURATION_LEASE_EXPIRED without a valid lease."""
        if not self._state.lease_valid():
            raise PersimmonyardError(
                ResultCode.CONFIGURATION_LEASE_EXPIRED,
                "this entry has no contact to the control leader",
            )


class TokenFilter:
    """Find the client account or role that the bearer token belongs to."""

    def __init__(self, settings: Settings, state: LocalState):
        self._settings = settings
        self._state = state

    async def __call__(self, call: Call) -> None:
        """Raise UNAUTHENTICATED for a token without the wanted role."""
        header = call.request.headers.get("authorization", "")
        token = header.removeprefix("Bearer ")
        account = self._account(token, call.role)
        if account is None:
            raise PersimmonyardError(ResultCode.UNAUTHENTICATED, "token not accepted")
        call.client_account = account

    def _account(self, token: str, role: Role) -> str | None:
        access = self._settings.access
        if role == Role.OPERATOR and matches_any(token, access.operator_token_hashes):
            return OPERATOR_ACCOUNT
        if role == Role.UPSTREAM and matches_any(token, access.upstream_token_hashes):
            return UPSTREAM_ACCOUNT
        account = self._state.account_for(token)
        if account is None or account.role != role:
            return None
        return account.name


class BodyFilter:
    """Read the body, up to the limit."""

    def __init__(self, limit: int):
        self._limit = limit

    async def __call__(self, call: Call) -> None:
        """Raise BODY_TOO_LARGE past the limit."""
        call.body = await call.request.body()
        if len(call.body) > self._limit:
            raise PersimmonyardError(
                ResultCode.BODY_TOO_LARGE,
                f"the body has more than {self._limit} bytes",
            )


class FilterChain:
    """All filters in their order."""

    def __init__(self, settings: Settings, state: LocalState):
        self.stop = StopFilter()
        self._filters: list[Filter] = [
            self.stop,
            LeaseFilter(state),
            TokenFilter(settings, state),
            BodyFilter(settings.limits.body_bytes),
        ]

    async def run(self, request: Request, role: Role) -> Call:
        """Return the call after all filters let it pass."""
        call = Call(request, role)
        for one in self._filters:
            await one(call)
        return call
