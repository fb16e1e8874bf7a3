"""Client for calls from an entry or control process to the control leader."""

import asyncio
import functools
import math
import random
from collections.abc import Callable, Iterable
from typing import Any

import grpc
import msgspec

from persimmonyard.daemon.jobs.channels import (
    CHANNEL_OPTIONS,
    await_connected,
    describe_error,
)
from persimmonyard.daemon.jobs.held_calls import Attempt, HeldCalls
from persimmonyard.daemon.jobs.rpc import (
    CALL_METHOD,
    Call,
    CallReply,
    JobCall,
    OperatorCall,
    OperatorOrder,
    Outcome,
    Probe,
    Verb,
    decode_reply,
    encode,
    encoding_problem,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.jobs import (
    ComeBack,
    KeepWaiting,
    LeaderLoss,
    decide_without_leader,
)
from persimmonyard.replication import boottime_now

__all__ = ["LeaderClient", "probe_interval_s"]

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
_MEMBERS_INTERVAL_S = 2.5
# Mean delay before a call is sent again to the same leader, and before a
# process that does not answer is probed again, in seconds.
_RETRY_DELAY_S = 0.05
# Mean interval of the probes of a process that answers, in seconds.  A search
# takes half of it, on average, to notice that a process leads.
_PROBE_INTERVAL_S = 0.025
# The interval grows to this share of the time without a leader, up to the
# limit in seconds: hundreds of entries that probe 40 times a second take the
# processor time that control processes need to elect a leader.
_PROBE_SHARE = 0.1
_MAX_PROBE_INTERVAL_S = 0.4


def probe_interval_s(outage_s: float) -> float:
    """Return the mean interval of probes after a time without a leader."""
    return min(max(_PROBE_INTERVAL_S, outage_s * _PROBE_SHARE), _MAX_PROBE_INTERVAL_S)


class LeaderClient:
    """Finds the leader among the control processes and sends calls to it.

    ``seeds`` are gRPC addresses; replies add those of the members, and the
    leader's members replace the ones before.  Without a leader, one search
    probes the known processes for all calls, which are held meanwhile and sent
    in the order of their arrival once it is found.  A call of a caller is
    rejected before its deadline once there has been no leader for about
    ``failover_s`` seconds.  ``leader_seen_at`` is when a leader last answered,
    in seconds of the monotonic clock.

    ``persimmonyard.daemon.entry.leader`` has another class of this name, for
    the entry role of the request service.
    """

    def __init__(self, seeds: list[str], failover_s: float = math.inf):
        self._failover_s = failover_s
        # When a call first found no leader, since the last answer of one.
        self._missed_since: float | None = None
        # When the last probe of each known process began that has ended.
        self._probed_at_by_address: dict[str, float] = {}
        self._seeds = list(seeds)
        self._known_addresses = list(seeds)
        self._leader = ""
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._closing_tasks: set[asyncio.Task] = set()
        self._log = get_logger("leader")
        self.leader_seen_at = float("-inf")
        self._held_calls = HeldCalls()
        # The search for a leader, and how many calls wait for the known one
        # for so long that it may have been replaced.
        self._search: asyncio.Task[None] | None = None
        self._late_calls = 0
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
        for address in self._probed_at_by_address.keys() - set(self._known_addresses):
            del self._probed_at_by_address[address]

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
        if isinstance(call, JobCall) and (problem := encoding_problem(call)):
            return CallReply(Outcome.INVALID, detail=problem)
        started_at = boottime_now()
        deadline = started_at + within_s
        arrival = self._held_calls.arrive()
        start = functools.partial(self._start_attempt, call, deadline)
        in_doubt = False
        spread = random.random()
        failed_address = ""
        attempt: Attempt | None = None
        while (remaining_s := deadline - boottime_now()) > 0:
            if attempt is None and self._leader in ("", failed_address):
                attempt = await self._hold(arrival, start, remaining_s)
                failed_address = ""
                if (
                    attempt is None
                    and isinstance(call, JobCall)
                    and self._is_rejected(started_at, in_doubt, spread)
                ):
                    break
                continue
            if attempt is None:
                attempt = start()
            address = attempt.address
            reply, attempt = await self._await_reply(attempt, arrival, start)
            if reply is None or reply.outcome == Outcome.UNKNOWN:
                in_doubt = in_doubt or isinstance(call, JobCall)
                failed_address = address
                continue
            self._update_addresses(reply)
            if reply.outcome == Outcome.NOT_LEADER:
                self._forget_leader(address)
                failed_address = address
                continue
            if attempt is None:
                self._record_leader(address)
                self._ask_for_members(address)
            else:
                # Another leader was found just now.
                attempt.reply.cancel()
            if in_doubt and _denies_execution(call, reply):
                break  # An earlier attempt may have been executed.
            return reply
        if attempt is not None:
            attempt.reply.cancel()
            in_doubt = in_doubt or isinstance(call, JobCall)
        return CallReply(Outcome.UNKNOWN if in_doubt else Outcome.NOT_LEADER)

    def _start_attempt(self, call: Call, deadline: float) -> Attempt:
        """Start to send a call to the leader."""
        within_s = min(deadline - boottime_now(), _ATTEMPT_TIMEOUT_S)
        reply = self._attempt(self._leader, call, within_s)
        return Attempt(self._leader, asyncio.create_task(reply))

    async def _hold(
        self, arrival: int, start: Callable[[], Attempt], within_s: float
    ) -> Attempt | None:
        """Hold a call at most for the delay of a retry.

        Returns the attempt if a leader has been found in the meantime.
        """
        if not self._leader:
            self._start_search()
        with self._held_calls.hold(arrival, start) as attempt:
            await asyncio.wait(
                {attempt}, timeout=min(within_s, _jittered_s(_RETRY_DELAY_S))
            )
        return attempt.result() if attempt.done() else None

    async def _await_reply(
        self, attempt: Attempt, arrival: int, start: Callable[[], Attempt]
    ) -> tuple[CallReply | None, Attempt | None]:
        """Return the reply, or None if the outcome is unknown.

        A call that has no reply is given up as soon as a leader is found at
        another address or on a new connection, so that later calls to that
        leader do not overtake it.  The attempt there is returned, too.
        """
        reply = attempt.reply
        try:
            with self._held_calls.hold(arrival, start) as next_attempt:
                futures: set[asyncio.Future[Any]] = {reply, next_attempt}
                await asyncio.wait(
                    futures,
                    timeout=_FAILOVER_DELAY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not reply.done() and not next_attempt.done():
                    self._late_calls += 1
                    self._start_search()
                    try:
                        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
                    finally:
                        self._late_calls -= 1
            return (
                reply.result() if reply.done() else None,
                next_attempt.result() if next_attempt.done() else None,
            )
        finally:
            reply.cancel()

    def _is_rejected(self, started_at: float, in_doubt: bool, spread: float) -> bool:
        """Return whether a caller's call that has found no leader ends now.

        It does not before every known process was probed since its start.
        """
        if self._leader:
            return False
        for address in self._known_addresses:
            if self._probed_at_by_address.get(address, -math.inf) < started_at:
                return False
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
        outcome is ``UNKNOWN`` if the order was executed or may still be.
        """
        if problem := encoding_problem(OperatorCall(order, 0.0)):
            return CallReply(Outcome.INVALID, detail=problem)
        deadline = boottime_now() + within_s
        while (remaining_s := deadline - boottime_now()) > 0:
            probed = await self.call(Probe(), remaining_s)
            address = self._leader
            remaining_s = deadline - boottime_now()
            if probed.outcome == Outcome.NOT_LEADER or remaining_s <= 0:
                break
            if not address:
                continue
            call = OperatorCall(order, probed.clock_s + remaining_s)
            reply = await self._attempt(address, call, remaining_s)
            if reply is None:
                return CallReply(Outcome.UNKNOWN)
            if reply.outcome != Outcome.NOT_LEADER:
                return reply
            self._update_addresses(reply)
            self._forget_leader(address)
            await asyncio.sleep(_RETRY_DELAY_S)
        return CallReply(Outcome.NOT_LEADER)

    def _update_addresses(self, reply: CallReply) -> None:
        if reply.outcome == Outcome.NOT_LEADER:
            self._add_addresses(filter(None, [reply.leader, *reply.members]))
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
        """Record that a process leads, and send it the calls if it is new."""
        changed = self._leader != address
        if changed or self.leader_seen_at == float("-inf"):
            self._log.info("leader found", address=address)
        self._leader = address
        self._missed_since = None
        self.leader_seen_at = boottime_now()
        if changed:
            self._held_calls.send()

    def _forget_leader(self, address: str) -> None:
        """Record that a process does not lead."""
        if self._leader == address:
            self._leader = ""

    def _start_search(self) -> None:
        """Start the search for a leader, which all calls share."""
        if self._search is None or self._search.done():
            self._search = asyncio.create_task(self._find_leader())

    async def _find_leader(self) -> None:
        """Probe the processes until one leads or nothing waits for it.

        Each process is probed on its own, so that one that does not answer
        delays nothing.  A leader that is late is not probed, and the search
        ends once it answers any call.
        """
        started_at = boottime_now()
        probe_by_address: dict[str, asyncio.Task[None]] = {}
        try:
            while self._is_search_wanted(started_at):
                for address in self._known_addresses:
                    probe = probe_by_address.get(address)
                    if address == self._leader or (probe and not probe.done()):
                        continue
                    probe_by_address[address] = asyncio.create_task(
                        self._probe(address)
                    )
                missed_since = self._missed_since or started_at
                interval_s = probe_interval_s(boottime_now() - missed_since)
                await asyncio.sleep(_jittered_s(interval_s))
        finally:
            for probe in probe_by_address.values():
                probe.cancel()

    def _is_search_wanted(self, started_at: float) -> bool:
        if not self._leader:
            return len(self._held_calls) > 0
        return self._late_calls > 0 and self.leader_seen_at < started_at

    async def _probe(self, address: str) -> None:
        now = boottime_now()
        if now < self._probed_at_by_address.get(address, -math.inf) + _PROBE_INTERVAL_S:
            return
        reply = await self._attempt(address, Probe(), _CONNECT_TIMEOUT_S)
        self._probed_at_by_address[address] = now
        if reply is not None:
            self._update_addresses(reply)
        if reply is not None and reply.outcome != Outcome.NOT_LEADER:
            self._record_leader(address)
        elif reply is None or not reply.members:
            # Not connected: only processes that answer name the members.
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
        if not await await_connected(channel, min(within_s, _CONNECT_TIMEOUT_S)):
            self._discard_channel(address, channel, "not connected")
            return CallReply(Outcome.NOT_LEADER)
        method = channel.unary_unary(
            CALL_METHOD, request_serializer=encode, response_deserializer=decode_reply
        )
        try:
            return await method(call, timeout=within_s)
        except (grpc.aio.AioRpcError, msgspec.MsgspecError) as error:
            self._discard_channel(address, channel, describe_error(error))
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


def _denies_execution(call: Call, reply: CallReply) -> bool:
    """Return whether a reply tells the caller that nothing was executed."""
    if isinstance(call, JobCall) and call.verb == Verb.SUBMIT:
        return reply.outcome not in (Outcome.OK, Outcome.UNKNOWN)
    return reply.outcome == Outcome.REFUSED


def _jittered_s(delay_s: float) -> float:
    """Return a random delay, so that entries do not probe in step."""
    return delay_s * random.uniform(0.5, 1.5)
