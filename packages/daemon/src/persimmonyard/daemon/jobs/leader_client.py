"""An entry's way to the control leader."""

import asyncio
import random

import grpc
import msgspec

from persimmonyard.daemon.jobs.rpc import (
    CALL_METHOD,
    Call,
    CallReply,
    JobCall,
    Outcome,
    Probe,
    decode_reply,
    encode,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.replication import steady_now

__all__ = ["CHANNEL_OPTIONS", "LeaderClient"]

# A call inside a region takes a few ms and a commit; a lost connection shows
# after this many seconds.
_ATTEMPT_S = 0.9
# A connection inside a region is up after a round trip of a few ms.  A dark
# instance shows after this many seconds, before anything was sent to it.
_CONNECT_S = 0.3
# A leader that has not answered for this long may have been replaced, so the
# others are asked; a commit takes a few syncs of 9 ms.
_PATIENCE_S = 0.3
# Pause before all known processes are tried again, in seconds.
_PAUSE_S = 0.05
# A connection that has failed is replaced; this bounds the reconnects.
CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 300),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.enable_http_proxy", 0),
]


class LeaderClient:
    """Find the leader among the control processes and pass calls to it.

    ``seeds`` are gRPC addresses; more are learned from replies.
    """

    def __init__(self, seeds: list[str]):
        self._known = list(seeds)
        self._leader = ""
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._closing: set[asyncio.Task] = set()
        self._log = get_logger("leader")
        self.heard_at = float("-inf")
        # The search for another leader while the known one is silent.
        self._search: asyncio.Task[None] | None = None

    def add_seeds(self, seeds: list[str]) -> None:
        """Take further addresses to look for the leader at."""
        for address in seeds:
            if address not in self._known:
                self._known.append(address)

    async def close(self) -> None:
        """Close all connections."""
        if self._search is not None:
            self._search.cancel()
        for channel in self._channel_by_address.values():
            await channel.close()

    async def probe(self, within_s: float) -> bool:
        """Return whether a leader answers in time."""
        reply = await self.call(Probe(), within_s)
        return reply.outcome in (Outcome.OK, Outcome.NO_CONFIGURATION)

    async def call(self, call: Call, within_s: float) -> CallReply:
        """Return the leader's reply.

        Without one in time the outcome is ``UNKNOWN`` if a process may have
        carried the call out, else ``NOT_LEADER``.
        """
        deadline = steady_now() + within_s
        in_doubt = False
        tried: set[str] = set()
        while (left := deadline - steady_now()) > 0:
            address = self._next_address(tried)
            if address is None:
                tried.clear()
                await asyncio.sleep(min(left, _PAUSE_S * random.uniform(0.5, 1.5)))
                continue
            tried.add(address)
            reply = await self._attempt_or_move(address, call, min(left, _ATTEMPT_S))
            if reply is None or reply.outcome == Outcome.UNKNOWN:
                in_doubt = in_doubt or isinstance(call, JobCall)
                continue
            self._learn(reply)
            if reply.outcome == Outcome.NOT_LEADER:
                if reply.leader not in ("", address):
                    tried.discard(reply.leader)
                continue
            self._note_leader(address)
            return reply
        return CallReply(Outcome.UNKNOWN if in_doubt else Outcome.NOT_LEADER)

    def _next_address(self, tried: set[str]) -> str | None:
        if self._leader and self._leader not in tried:
            return self._leader
        untried = [address for address in self._known if address not in tried]
        return random.choice(untried) if untried else None

    def _learn(self, reply: CallReply) -> None:
        self.add_seeds(list(reply.members))
        if reply.outcome == Outcome.NOT_LEADER and reply.leader:
            self._leader = reply.leader

    def _note_leader(self, address: str) -> None:
        if self._leader != address or self.heard_at == float("-inf"):
            self._log.info("leader found", address=address)
        self._leader = address
        self.heard_at = steady_now()

    async def _attempt_or_move(
        self, address: str, call: Call, within_s: float
    ) -> CallReply | None:
        """Return a reply, or None once another process is known to lead.

        None says as well that the outcome is unknown.
        """
        attempt = asyncio.create_task(self._attempt(address, call, within_s))
        try:
            await asyncio.wait({attempt}, timeout=_PATIENCE_S)
            if not attempt.done() and address == self._leader:
                search = self._search_other(address)
                await asyncio.wait(
                    {attempt, search}, return_when=asyncio.FIRST_COMPLETED
                )
            if not attempt.done() and self._leader not in ("", address):
                return None
            return await attempt
        finally:
            attempt.cancel()

    def _search_other(self, silent: str) -> asyncio.Task[None]:
        """Return the one search that runs for all calls."""
        if self._search is None or self._search.done():
            self._search = asyncio.create_task(self._find_other(silent))
        return self._search

    async def _find_other(self, silent: str) -> None:
        """Ask the other processes until one leads, or the leader answers."""
        began_at = steady_now()
        while self._leader == silent and self.heard_at < began_at:
            for address in self._known:
                if address == silent:
                    continue
                reply = await self._attempt(address, Probe(), _CONNECT_S)
                if reply is not None and reply.outcome != Outcome.NOT_LEADER:
                    self._note_leader(address)
                    break
            await asyncio.sleep(_PAUSE_S)

    async def _attempt(
        self, address: str, call: Call, within_s: float
    ) -> CallReply | None:
        """Return a reply, or None if the outcome is unknown.

        Nothing is sent before the connection is up, so that a call to a dark
        instance is known not to have been carried out.
        """
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channel_by_address[address] = channel
        if not await _connected(channel, min(within_s, _CONNECT_S)):
            self._drop(address, channel, "not connected")
            return CallReply(Outcome.NOT_LEADER)
        method = channel.unary_unary(
            CALL_METHOD, request_serializer=encode, response_deserializer=decode_reply
        )
        try:
            return await method(call, timeout=within_s)
        except (grpc.aio.AioRpcError, msgspec.MsgspecError) as error:
            self._drop(address, channel, _brief(error))
            return None

    def _drop(self, address: str, channel: grpc.aio.Channel, reason: str) -> None:
        """Use a new connection next time: the old one may be silent."""
        if self._channel_by_address.get(address) is channel:
            del self._channel_by_address[address]
        if self._leader == address:
            self._leader = ""
            self._log.warning("leader lost", address=address, error=reason)
        # Calls that are still open on the channel end with their own timeout.
        task = asyncio.create_task(channel.close(grace=2 * _ATTEMPT_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _connected(channel: grpc.aio.Channel, within_s: float) -> bool:
    """Return whether a channel is up, or comes up in time."""
    state = channel.get_state(try_to_connect=True)
    try:
        async with asyncio.timeout(within_s):
            while state != grpc.ChannelConnectivity.READY:
                if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                    return False
                await channel.wait_for_state_change(state)
                state = channel.get_state(try_to_connect=True)
    except (TimeoutError, grpc.aio.UsageError):
        # Another call may have closed the channel meanwhile.
        return False
    return True


def _brief(error: Exception) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details()}"
    return str(error)
