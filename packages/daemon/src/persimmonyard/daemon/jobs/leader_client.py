"""Client for calls from an entry or control process to the control leader."""

import asyncio
import math
import random
from collections.abc import Iterable

import grpc
import msgspec

from persimmonyard.daemon.jobs.rpc import (
    CALL_METHOD,
    Call,
    CallReply,
    JobCall,
    OperatorCall,
    OperatorOrder,
    Outcome,
    Probe,
    decode_reply,
    encode,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.message_limits import MAX_MESSAGE_BYTES
from persimmonyard.jobs import (
    ComeBack,
    KeepWaiting,
    LeaderLoss,
    decide_without_leader,
)
from persimmonyard.replication import boottime_now

__all__ = ["CHANNEL_OPTIONS", "LeaderClient"]

# Timeout of a call to one process, in seconds, after which its connection
# counts as lost; inside a region a call takes a few ms and the time of a
# commit.
_ATTEMPT_TIMEOUT_S = 0.9
# Timeout for connecting, in seconds, so that an unreachable instance is
# detected before anything is sent to it; inside a region a connection takes a
# round trip of a few ms.
_CONNECT_TIMEOUT_S = 0.3
# A leader that has not answered for this long, in seconds, may have been
# replaced, so the other processes are probed; a commit takes a few disk syncs
# of 9 ms.
_FAILOVER_DELAY_S = 0.3
# A leader that answers calls is asked for the members this often, in seconds.
# Control instances are replaced one at a time, with seconds in between.
_MEMBERS_INTERVAL_S = 2.5
# Delay before all known processes are tried again, in seconds.
_RETRY_DELAY_S = 0.05
# Connections that fail are replaced, so gRPC's own reconnects are limited.
CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 300),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.enable_http_proxy", 0),
]


class LeaderClient:
    """Finds the leader among the control processes and sends calls to it.

    ``seeds`` are gRPC addresses; replies add those of the members, and the
    leader's members replace the ones before.  A call of a caller is rejected
    before its deadline once there has been no leader for about ``failover_s``
    seconds.  ``leader_seen_at`` is when a leader last answered, in seconds of
    the monotonic clock.

    ``persimmonyard.daemon.entry.leader`` has another class of this name, for
    the entry role of the request service.
    """

    def __init__(self, seeds: list[str], failover_s: float = math.inf):
        self._failover_s = failover_s
        # When a call first found no leader, since the last answer of one.
        self._missed_since: float | None = None
        self._seeds = list(seeds)
        self._known_addresses = list(seeds)
        self._leader = ""
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._closing_tasks: set[asyncio.Task] = set()
        self._log = get_logger("leader")
        self.leader_seen_at = float("-inf")
        # The search for a new leader while the known one does not answer.
        self._search: asyncio.Task[None] | None = None
        # When the leader was last asked for the members, and that call.
        self._members_asked_at = float("-inf")
        self._members_query: asyncio.Task[None] | None = None

    def add_seeds(self, seeds: list[str]) -> None:
        """Add addresses of control processes that may lead."""
        for address in seeds:
            if address not in self._seeds:
                self._seeds.append(address)
        self._add_addresses(seeds)

    def set_members(self, addresses: Iterable[str]) -> None:
        """Replace the known processes by the members and the seeds."""
        self._known_addresses = list(dict.fromkeys([*addresses, *self._seeds]))

    def _add_addresses(self, addresses: Iterable[str]) -> None:
        for address in addresses:
            if address not in self._known_addresses:
                self._known_addresses.append(address)

    async def close(self) -> None:
        """Close all connections."""
        for task in (self._search, self._members_query):
            if task is not None:
                task.cancel()
        for channel in self._channel_by_address.values():
            await channel.close()

    async def probe(self, within_s: float) -> bool:
        """Return whether a leader answers within ``within_s``."""
        reply = await self.call(Probe(), within_s)
        return reply.outcome in (Outcome.OK, Outcome.NO_CONFIGURATION)

    async def call(self, call: Call, within_s: float) -> CallReply:
        """Return the leader's reply.

        If there is none within ``within_s``, the outcome is ``UNKNOWN`` if a
        process may have executed the call, else ``NOT_LEADER``.  A job call
        may get ``NOT_LEADER`` earlier, see ``decide_without_leader``.
        """
        if isinstance(call, JobCall) and (problem := _encoding_problem(call)):
            return CallReply(Outcome.INVALID, detail=problem)
        deadline = boottime_now() + within_s
        in_doubt = False
        spread = random.random()
        tried: set[str] = set()
        while (remaining_s := deadline - boottime_now()) > 0:
            address = self._next_address(tried)
            if address is None:
                if isinstance(call, JobCall) and self._is_rejected(in_doubt, spread):
                    break
                tried.clear()
                await asyncio.sleep(
                    min(remaining_s, _RETRY_DELAY_S * random.uniform(0.5, 1.5))
                )
                continue
            tried.add(address)
            reply = await self._attempt_with_failover(
                address, call, min(remaining_s, _ATTEMPT_TIMEOUT_S)
            )
            if reply is None or reply.outcome == Outcome.UNKNOWN:
                in_doubt = in_doubt or isinstance(call, JobCall)
                continue
            self._update_addresses(reply)
            if reply.outcome == Outcome.NOT_LEADER:
                if reply.leader not in ("", address):
                    tried.discard(reply.leader)
                continue
            self._record_leader(address)
            self._ask_for_members(address)
            return reply
        return CallReply(Outcome.UNKNOWN if in_doubt else Outcome.NOT_LEADER)

    def _is_rejected(self, in_doubt: bool, spread: float) -> bool:
        """Return whether a caller's call that has found no leader ends now."""
        now = boottime_now()
        if self._missed_since is None:
            self._missed_since = now
        loss = LeaderLoss(now, self._missed_since, self._failover_s, in_doubt, spread)
        match decide_without_leader(loss):
            case ComeBack():
                return True
            case KeepWaiting():
                return False

    async def forward(self, order: OperatorOrder, within_s: float) -> CallReply:
        """Send an operator's order to the leader at most once.

        The leader refuses the order after ``within_s`` on its own clock, so an
        order that is delayed on its way never overtakes a newer one.  The
        outcome is ``UNKNOWN`` if the order may have been executed, or may
        still be.
        """
        if problem := _encoding_problem(OperatorCall(order, 0.0)):
            return CallReply(Outcome.INVALID, detail=problem)
        deadline = boottime_now() + within_s
        while (remaining_s := deadline - boottime_now()) > 0:
            probed = await self.call(Probe(), remaining_s)
            address = self._leader
            remaining_s = deadline - boottime_now()
            if probed.outcome == Outcome.NOT_LEADER or remaining_s <= 0:
                break
            call = OperatorCall(order, probed.clock_s + remaining_s)
            reply = await self._attempt(address, call, remaining_s)
            if reply is None:
                return CallReply(Outcome.UNKNOWN)
            if reply.outcome != Outcome.NOT_LEADER:
                return reply
            self._update_addresses(reply)
            await asyncio.sleep(_RETRY_DELAY_S)
        return CallReply(Outcome.NOT_LEADER)

    def _next_address(self, tried: set[str]) -> str | None:
        if self._leader and self._leader not in tried:
            return self._leader
        untried = [address for address in self._known_addresses if address not in tried]
        return random.choice(untried) if untried else None

    def _update_addresses(self, reply: CallReply) -> None:
        if reply.outcome == Outcome.NOT_LEADER:
            self._add_addresses(reply.members)
            if reply.leader:
                self._leader = reply.leader
        elif reply.members:
            self._members_asked_at = boottime_now()
            self.set_members(reply.members)

    def _ask_for_members(self, leader: str) -> None:
        """Ask the leader for the members unless it was asked just now.

        Its answers to calls of callers do not name them.
        """
        now = boottime_now()
        if now < self._members_asked_at + _MEMBERS_INTERVAL_S:
            return
        if self._members_query is None or self._members_query.done():
            self._members_asked_at = now
            self._members_query = asyncio.create_task(self._query_members(leader))

    async def _query_members(self, leader: str) -> None:
        reply = await self._attempt(leader, Probe(), _ATTEMPT_TIMEOUT_S)
        if reply is not None:
            self._update_addresses(reply)

    def _record_leader(self, address: str) -> None:
        if self._leader != address or self.leader_seen_at == float("-inf"):
            self._log.info("leader found", address=address)
        self._leader = address
        self._missed_since = None
        self.leader_seen_at = boottime_now()

    async def _attempt_with_failover(
        self, address: str, call: Call, within_s: float
    ) -> CallReply | None:
        """Return a reply, or None if the outcome is unknown.

        A call to a leader that does not answer is given up with None as soon
        as another process is known to lead.
        """
        attempt = asyncio.create_task(self._attempt(address, call, within_s))
        try:
            await asyncio.wait({attempt}, timeout=_FAILOVER_DELAY_S)
            if not attempt.done() and address == self._leader:
                search = self._start_search(address)
                await asyncio.wait(
                    {attempt, search}, return_when=asyncio.FIRST_COMPLETED
                )
            if not attempt.done() and self._leader not in ("", address):
                return None
            return await attempt
        finally:
            attempt.cancel()

    def _start_search(self, silent_address: str) -> asyncio.Task[None]:
        """Return the search for a new leader, which all calls share."""
        if self._search is None or self._search.done():
            self._search = asyncio.create_task(self._find_new_leader(silent_address))
        return self._search

    async def _find_new_leader(self, silent_address: str) -> None:
        """Probe the other processes until one leads or the leader answers."""
        started_at = boottime_now()
        while self._leader == silent_address and self.leader_seen_at < started_at:
            for address in self._known_addresses:
                if address == silent_address:
                    continue
                reply = await self._attempt(address, Probe(), _CONNECT_TIMEOUT_S)
                if reply is not None and reply.outcome != Outcome.NOT_LEADER:
                    self._record_leader(address)
                    break
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _attempt(
        self, address: str, call: Call, within_s: float
    ) -> CallReply | None:
        """Return a reply, or None if the outcome is unknown.

        Nothing is sent before the connection is established, so that a call
        to an unreachable instance is known not to have been executed.
        """
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channel_by_address[address] = channel
        if not await _connected(channel, min(within_s, _CONNECT_TIMEOUT_S)):
            self._discard_channel(address, channel, "not connected")
            return CallReply(Outcome.NOT_LEADER)
        method = channel.unary_unary(
            CALL_METHOD, request_serializer=encode, response_deserializer=decode_reply
        )
        try:
            return await method(call, timeout=within_s)
        except (grpc.aio.AioRpcError, msgspec.MsgspecError) as error:
            self._discard_channel(address, channel, _describe_error(error))
            return None

    def _discard_channel(
        self, address: str, channel: grpc.aio.Channel, reason: str
    ) -> None:
        """Discard a connection that may be dead, so that a new one is used."""
        if self._channel_by_address.get(address) is channel:
            del self._channel_by_address[address]
        if self._leader == address:
            self._leader = ""
            self._log.warning("leader lost", address=address, error=reason)
        # The grace lets other calls on the channel end with their own timeout.
        task = asyncio.create_task(channel.close(grace=2 * _ATTEMPT_TIMEOUT_S))
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)


def _encoding_problem(call: Call) -> str:
    """Return why a call cannot be sent, or "".

    An error while a call is sent would count as the loss of the leader.
    """
    try:
        encode(call)
    except (OverflowError, UnicodeEncodeError) as error:
        return str(error)
    return ""


async def _connected(channel: grpc.aio.Channel, within_s: float) -> bool:
    """Return whether a channel is connected within ``within_s``."""
    state = channel.get_state(try_to_connect=True)
    try:
        async with asyncio.timeout(within_s):
            while state != grpc.ChannelConnectivity.READY:
                if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                    return False
                await channel.wait_for_state_change(state)
                state = channel.get_state(try_to_connect=True)
    except (TimeoutError, grpc.aio.UsageError):
        # Another call may have closed the channel in the meantime.
        return False
    return True


def _describe_error(error: Exception) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details()}"
    return str(error)
