"""The HTTP handler for the announcements of upstreams."""

import ipaddress
import math

import msgspec
from litestar import Request

from persimmonyard.daemon.entry.command_errors import require_success
from persimmonyard.daemon.entry.filters import FilterChain
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.parsing import parse_json, require, require_range
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import UPSTREAM_HEARTBEAT_S, UPSTREAM_LEASE_S
from persimmonyard.model import AccessRole, ResultCode, UpstreamSpec
from persimmonyard.state.commands import RegisterUpstream, SetUpstreamStatus
from persimmonyard.state.records import UpstreamStatus
from persimmonyard.wire import UpstreamHeartbeat

__all__ = ["AnnouncementApi", "AnnouncementBody"]

MAX_NAME_LENGTH = 128
MAX_COUNT = 1 << 40
MAX_USAGE_AGE_S = 86_400.0
# Characters of a number in a log line.
MAX_LOGGED_NUMBER = 24


class UsageBody(msgspec.Struct):
    """The slots that were busy ``age_s`` seconds before the announcement."""

    busy_slots: int
    age_s: float


class AnnouncementBody(msgspec.Struct):
    """The body of ``POST /v1/upstreams/announce``.

    ``sent_at`` is a time of the upstream's clock, in seconds, that is
    returned to it.  Unknown fields are ignored, so that an upstream can be
    newer than an entry.
    """

    spec: UpstreamSpec
    sent_at: float
    leaving: bool = False
    usage: UsageBody | None = None


class AnnouncementApi:
    """Registers upstreams that are new or changed, and records heartbeats."""

    def __init__(self, state: LocalState, leader: LeaderClient, chain: FilterChain):
        self._state = state
        self._leader = leader
        self._chain = chain
        self._logger = get_logger("announcements")
        self._registered_by_id: dict[str, tuple[UpstreamSpec, bool]] = {}

    def clear_registered(self) -> None:
        """Clear the cache of the upstreams that the leader has registered.

        Called for each new session, because the leader may have changed.
        """
        self._registered_by_id = {}

    async def announce(self, request: Request) -> dict[str, float]:
        """Handle an announcement: register the upstream and grant a lease."""
        async with self._chain.admit_call(request, AccessRole.UPSTREAM) as call:
            body = parse_json(call.body, AnnouncementBody)
            _check_body(body)
            await self._register(body)
            if body.usage is not None and not _is_plausible(body.usage, body.spec):
                self._logger.warning(
                    "usage ignored",
                    upstream=body.spec.upstream_id,
                    busy_slots=str(body.usage.busy_slots)[:MAX_LOGGED_NUMBER],
                    age_s=body.usage.age_s,
                )
                body.usage = None
            self._state.record_heartbeat(_heartbeat_of(body))
            return {
                "sent_at": body.sent_at,
                "lease_s": UPSTREAM_LEASE_S,
                "heartbeat_s": UPSTREAM_HEARTBEAT_S,
            }

    async def _register(self, body: AnnouncementBody) -> None:
        """Register the upstream if the leader may not know its current state.

        The commands are idempotent.
        """
        current = (body.spec, body.leaving)
        if self._registered_by_id.get(body.spec.upstream_id) == current:
            return
        if not (body.leaving and await self._set_leaving(body.spec)):
            require_success(await self._leader.execute(RegisterUpstream(body.spec)))
            if body.leaving:
                await self._set_leaving(body.spec)
        self._registered_by_id[body.spec.upstream_id] = current

    async def _set_leaving(self, spec: UpstreamSpec) -> bool:
        """Commit that an upstream is leaving; return whether it was known."""
        command = SetUpstreamStatus(
            spec.upstream_id,
            spec.incarnation,
            UpstreamStatus.LEAVING,
            "announced by the upstream",
        )
        result = await self._leader.execute(command)
        if result.code == ResultCode.NOT_FOUND:
            return False
        require_success(result)
        return True


def _check_body(body: AnnouncementBody) -> None:
    spec = body.spec
    for field in ("upstream_id", "incarnation", "zone", "rack"):
        _check_name(f"spec.{field}", getattr(spec, field))
    for field in ("accelerators", "cores", "memory_mb"):
        require_range(f"spec.{field}", getattr(spec, field), 0, MAX_COUNT)
    for field in ("slots", "connections"):
        require_range(f"spec.{field}", getattr(spec, field), 1, MAX_COUNT)
    _check_address("spec.address", spec.address)
    require(math.isfinite(body.sent_at), "sent_at", "a finite number of seconds")


def _is_plausible(usage: UsageBody, spec: UpstreamSpec) -> bool:
    """Return whether a usage may be shown; the lease does not depend on it."""
    return 0 <= usage.busy_slots <= spec.slots and 0 <= usage.age_s <= MAX_USAGE_AGE_S


def _heartbeat_of(body: AnnouncementBody) -> UpstreamHeartbeat:
    spec = body.spec
    if body.usage is None:
        return UpstreamHeartbeat(spec.upstream_id, spec.incarnation, 0.0)
    return UpstreamHeartbeat(
        spec.upstream_id,
        spec.incarnation,
        0.0,
        body.usage.busy_slots,
        body.usage.age_s,
    )


def _check_name(field: str, value: str) -> None:
    fits = 1 <= len(value) <= MAX_NAME_LENGTH and value.isprintable()
    require(fits, field, f"1 to {MAX_NAME_LENGTH} printable characters")


def _check_address(field: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = 1 <= int(port) <= 65_535
    except ValueError:
        valid = False
    require(valid, field, "a numeric IP address and a port, like 10.0.0.7:9000")
