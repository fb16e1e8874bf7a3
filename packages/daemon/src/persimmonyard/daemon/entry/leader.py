"""The entry's connection to the control leader."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc

from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import BEAT_S
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult, command_registry
from persimmonyard.wire import (
    EntryBeat,
    LeaderBeat,
    NotLeader,
    session_registry,
)
from persimmonyard.wire.generated import control_pb2, control_pb2_grpc

__all__ = ["LeaderClient"]

MAX_CALLS_IN_FLIGHT = 64
CALL_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
SESSION_SILENCE_S = 2.0


class LeaderClient:
    """Find the leader, call it, and keep a session with it.

    Commands may be sent again after an unknown outcome, because each is
    idempotent by its identity or its content.
    """

    def __init__(
        self,
        addresses: dict[str, str],
        make_beat: Callable[[int], EntryBeat],
        on_beat: Callable[[LeaderBeat, float], None],
    ):
        self._address_by_name = addresses
        self._names = list(addresses)
        self._leader = random.choice(self._names)
        self._make_beat = make_beat
        self._on_beat = on_beat
        self._stub_by_name: dict[str, Any] = {}
        self._channels: list[Any] = []
        self._slots = asyncio.Semaphore(MAX_CALLS_IN_FLIGHT)
        self._beat_now = asyncio.Event()
        self._logger = get_logger("leader")

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels:
            await channel.close()

    def beat_soon(self) -> None:
        """Send the next beat without waiting for its time."""
        self._beat_now.set()

    # Calls.

    async def execute(
        self, command: Any, identity: str = "", wait_s: float = 10.0
    ) -> CommandResult:
        """Return the result of a command.

        Raises NO_LEADER if no replica accepted it, and TIMEOUT if its
        outcome is unknown.
        """
        one = control_pb2.IdentifiedCommand(
            identity=identity, command=command_registry.encode(command)
        )
        request = control_pb2.ExecuteRequest(commands=[one])
        reply = await self._call("Execute", request, wait_s)
        result: CommandResult = command_registry.decode(reply.results[0])
        return result

    async def query(self, kind: str, item_id: str = "", wait_s: float = 10.0) -> bytes:
        """Return the body of a read; raise the error that it reports."""
        request = control_pb2.QueryRequest(kind=kind, item_id=item_id)
        reply = await self._call("Query", request, wait_s)
        if reply.code:
            raise PersimmonyardError(ResultCode(reply.code), reply.message)
        body: bytes = reply.body
        return body

    async def _call(self, method: str, request: Any, wait_s: float) -> Any:
        deadline = time.monotonic() + wait_s
        delay = RETRY_DELAY_S
        outcome_known = True
        while True:
            left = deadline - time.monotonic()
            if left <= 0:
                code = ResultCode.NO_LEADER if outcome_known else ResultCode.TIMEOUT
                raise PersimmonyardError(code, "no control leader answered in time")
            try:
                reply = await self._call_once(method, request, left)
            except grpc.aio.AioRpcError as error:
                if error.code() != grpc.StatusCode.UNAVAILABLE:
                    outcome_known = False
                self._try_next()
            else:
                if reply.code != ResultCode.NOT_LEADER:
                    return reply
                self._follow(reply.leader_hint)
            await asyncio.sleep(min(left, delay * random.uniform(0.5, 1.0)))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)

    async def _call_once(self, method: str, request: Any, left: float) -> Any:
        async with self._slots:
            call = getattr(self._stub(self._leader), method)
            return await call(request, timeout=min(left, CALL_TIMEOUT_S))

    # Session.

    async def run(self) -> None:
        """Keep a session with whichever replica leads."""
        while True:
            leader = self._leader
            try:
                await self._session(leader)
            except (grpc.aio.AioRpcError, TimeoutError, StopAsyncIteration) as error:
                self._logger.info(
                    "session ended", leader=leader, error=type(error).__name__
                )
            if leader == self._leader:
                self._try_next()
            await asyncio.sleep(random.uniform(0.05, 0.2))

    async def _session(self, leader: str) -> None:
        sent_at_by_sequence: dict[int, float] = {}
        call = self._stub(leader).Session(self._beats(sent_at_by_sequence))
        try:
            while True:
                envelope = await asyncio.wait_for(call.read(), SESSION_SILENCE_S)
                if envelope is grpc.aio.EOF:
                    return
                message = session_registry.decode(envelope.body)
                if isinstance(message, NotLeader):
                    self._follow(message.leader_hint)
                    return
                sent_at = sent_at_by_sequence.pop(message.sequence, 0.0)
                self._on_beat(message, sent_at)
        finally:
            call.cancel()

    async def _beats(self, sent_at_by_sequence: dict[int, float]) -> AsyncIterator[Any]:
        sequence = 0
        while True:
            sequence += 1
            self._beat_now.clear()
            beat = self._make_beat(sequence)
            sent_at_by_sequence[sequence] = time.monotonic()
            yield control_pb2.Envelope(body=session_registry.encode(beat))
            try:
                await asyncio.wait_for(self._beat_now.wait(), BEAT_S)
            except TimeoutError:
                continue

    # Finding the leader.

    def _follow(self, hint: str) -> None:
        if hint in self._address_by_name and hint != self._leader:
            self._leader = hint
            return
        self._try_next()

    def _try_next(self) -> None:
        position = self._names.index(self._leader)
        self._leader = self._names[(position + 1) % len(self._names)]

    def _stub(self, name: str) -> Any:
        if name not in self._stub_by_name:
            channel = grpc.aio.insecure_channel(self._address_by_name[name])
            self._channels.append(channel)
            self._stub_by_name[name] = control_pb2_grpc.ControlStub(channel)
        return self._stub_by_name[name]
