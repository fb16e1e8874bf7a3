"""The entry's session: a stream of beats with the control leader."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc

from persimmonyard.daemon.entry.circuit_breaker import CircuitBreaker
from persimmonyard.daemon.entry.replicas import Replicas
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import ENTRY_HEARTBEAT_S
from persimmonyard.wire import EntryBeat, LeaderBeat, NotLeader, session_codec
from persimmonyard.wire.generated import control_pb2

__all__ = ["SessionStream"]

SILENCE_S = 2.0
# Beats that are asked for within this time share one message.
MIN_GAP_S = 0.002
RECONNECT_S = (0.05, 0.2)
MAX_RECONNECT_S = 1.0


class SessionStream:
    """Keep a session with whichever control process leads.

    ``make_beat`` returns the beat with a sequence number, which is 1 for
    the first of a stream.  ``on_beat`` takes each message of the leader with
    the send time of the beat that it answers, and returns whether the stream
    should go on.
    """

    def __init__(
        self,
        replicas: Replicas,
        gate: CircuitBreaker,
        make_beat: Callable[[int], EntryBeat],
        on_beat: Callable[[LeaderBeat, float], bool],
    ):
        self._replicas = replicas
        self._gate = gate
        self._make_beat = make_beat
        self._on_beat = on_beat
        self._beat_now = asyncio.Event()
        self._failures = 0
        self._sessions_begun = 0
        self._logger = get_logger("leader")

    def beat_soon(self) -> None:
        """Send the next beat without waiting for its time."""
        self._beat_now.set()

    async def run(self) -> None:
        """Open sessions, one after the other, for ever."""
        while True:
            leader = self._replicas.leader
            try:
                await self._session(leader)
            except (grpc.aio.AioRpcError, TimeoutError) as error:
                self._logger.info(
                    "session ended", leader=leader, error=type(error).__name__
                )
                self._replicas.moved(leader)
            self._failures += 1
            limit = min(MAX_RECONNECT_S, RECONNECT_S[1] * 2 ** min(self._failures, 8))
            await asyncio.sleep(random.uniform(RECONNECT_S[0], limit))

    async def _session(self, leader: str) -> None:
        sent_at_by_sequence: dict[int, float] = {}
        call = self._replicas.stub(leader).Session(self._beats(sent_at_by_sequence))
        try:
            while True:
                envelope = await asyncio.wait_for(call.read(), SILENCE_S)
                if envelope is grpc.aio.EOF:
                    self._replicas.moved(leader)
                    return
                message = session_codec.decode(envelope.body)
                if isinstance(message, NotLeader):
                    self._replicas.moved(leader, message.leader_hint)
                    return
                self._heard_from(leader)
                sent_at = sent_at_by_sequence.pop(message.sequence, 0.0)
                if not self._on_beat(message, sent_at):
                    return
        finally:
            call.cancel()

    def _heard_from(self, leader: str) -> None:
        self._failures = 0
        self._gate.record_success()
        self._replicas.heard_leader(leader)

    async def _beats(self, sent_at_by_sequence: dict[int, float]) -> AsyncIterator[Any]:
        self._sessions_begun += 1
        number = self._sessions_begun
        sequence = 0
        # grpcio goes on reading beats of a stream that the server has ended,
        # and would lose the watches and heartbeats in them.
        while number == self._sessions_begun:
            sequence += 1
            self._beat_now.clear()
            beat = self._make_beat(sequence)
            sent_at_by_sequence[sequence] = time.monotonic()
            yield control_pb2.Envelope(body=session_codec.encode(beat))
            await asyncio.sleep(MIN_GAP_S)
            try:
                await asyncio.wait_for(self._beat_now.wait(), ENTRY_HEARTBEAT_S)
            except TimeoutError:
                continue
