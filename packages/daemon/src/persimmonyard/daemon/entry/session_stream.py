"""The entry's session with the control leader: a stream of session heartbeats.

Session heartbeats are called beats, to tell them from the heartbeats of
upstreams that they carry.
"""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc

from persimmonyard.daemon.entry.circuit_breaker import CircuitBreaker
from persimmonyard.daemon.entry.control_channels import ControlChannels
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import ENTRY_HEARTBEAT_S
from persimmonyard.wire import EntryBeat, LeaderBeat, NotLeader, session_codec
from persimmonyard.wire.generated import control_pb2

__all__ = ["SessionStream"]

SESSION_TIMEOUT_S = 2.0
# Beats requested within this interval are combined into one message.
MIN_BEAT_INTERVAL_S = 0.002
# Range of the random delay; the upper bound doubles with each failure.
RECONNECT_DELAY_S = (0.05, 0.2)
MAX_RECONNECT_DELAY_S = 1.0


class SessionStream:
    """Keep a session open with the current control leader.

    ``make_beat`` returns the beat for a sequence number; the numbers of a
    stream start at 1.  ``on_beat`` is called with each message of the leader
    and the send time of the beat that it answers (0.0 for a push), and
    returns whether to keep the stream open.
    """

    def __init__(
        self,
        control_channels: ControlChannels,
        circuit_breaker: CircuitBreaker,
        make_beat: Callable[[int], EntryBeat],
        on_beat: Callable[[LeaderBeat, float], bool],
    ):
        self._control_channels = control_channels
        self._circuit_breaker = circuit_breaker
        self._make_beat = make_beat
        self._on_beat = on_beat
        self._beat_requested = asyncio.Event()
        self._failures = 0
        self._sessions_opened = 0
        self._logger = get_logger("leader")

    def request_beat(self) -> None:
        """Send the next beat now rather than at its regular time."""
        self._beat_requested.set()

    async def run(self) -> None:
        """Open one session after another, with a random backoff in between.

        A session that its leader handed over is followed by the next one at
        once.
        """
        while True:
            leader = self._control_channels.leader
            try:
                if await self._run_session(leader):
                    continue
            except (grpc.aio.AioRpcError, TimeoutError) as error:
                self._logger.info(
                    "session ended", leader=leader, error=type(error).__name__
                )
                self._control_channels.switch_leader(leader)
            self._failures += 1
            limit = min(
                MAX_RECONNECT_DELAY_S,
                RECONNECT_DELAY_S[1] * 2 ** min(self._failures, 8),
            )
            await asyncio.sleep(random.uniform(RECONNECT_DELAY_S[0], limit))

    async def _run_session(self, leader: str) -> bool:
        """Return whether the leader has named its successor at the end."""
        has_led = False
        sent_at_by_sequence: dict[int, float] = {}
        call = self._control_channels.stub(leader).Session(
            self._generate_beats(sent_at_by_sequence)
        )
        try:
            while True:
                envelope = await asyncio.wait_for(call.read(), SESSION_TIMEOUT_S)
                if envelope is grpc.aio.EOF:
                    self._control_channels.switch_leader(leader)
                    return False
                message = session_codec.decode(envelope.body)
                if isinstance(message, NotLeader):
                    self._control_channels.switch_leader(leader, message.leader_hint)
                    return has_led and message.leader_hint not in ("", leader)
                has_led = True
                self._record_contact(leader)
                sent_at = sent_at_by_sequence.pop(message.sequence, 0.0)
                if not self._on_beat(message, sent_at):
                    return False
        finally:
            call.cancel()

    def _record_contact(self, leader: str) -> None:
        self._failures = 0
        self._circuit_breaker.record_success()
        self._control_channels.confirm_leader(leader)

    async def _generate_beats(
        self, sent_at_by_sequence: dict[int, float]
    ) -> AsyncIterator[Any]:
        self._sessions_opened += 1
        session_number = self._sessions_opened
        sequence = 0
        # grpcio keeps consuming this iterator after the server has closed the
        # stream, so the watches and heartbeats in further beats would be lost.
        while session_number == self._sessions_opened:
            sequence += 1
            self._beat_requested.clear()
            beat = self._make_beat(sequence)
            sent_at_by_sequence[sequence] = time.monotonic()
            yield control_pb2.Envelope(body=session_codec.encode(beat))
            await asyncio.sleep(MIN_BEAT_INTERVAL_S)
            try:
                await asyncio.wait_for(self._beat_requested.wait(), ENTRY_HEARTBEAT_S)
            except TimeoutError:
                continue
