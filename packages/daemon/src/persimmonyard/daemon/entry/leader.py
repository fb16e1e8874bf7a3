"""The entry's calls on the control leader."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import grpc

from persimmonyard.daemon.entry.circuit_breaker import CircuitBreaker
from persimmonyard.daemon.entry.command_queue import CommandQueue, QueuedCommand
from persimmonyard.daemon.entry.replicas import (
    CallGivenUpError,
    Replicas,
    never_sent,
)
from persimmonyard.daemon.entry.session_stream import SessionStream
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult, command_codec
from persimmonyard.wire import EntryBeat, LeaderBeat
from persimmonyard.wire.generated import control_pb2

__all__ = ["LeaderClient"]

# grpcio answers about 3,000 unary calls a second, so commands share calls.
MAX_CALLS_IN_FLIGHT = 8
MAX_COMMANDS_IN_CALL = 128
# grpcio refuses messages of more than 4 MB.
MAX_BYTES_IN_CALL = 2 << 20
CALL_TIMEOUT_S = 5.0
MAX_QUERIES_IN_FLIGHT = 32
MAX_QUERIES_WAITING = 2_048
QUEUED_COMMANDS = 4_096

# Refusals that depend on the state at the time of the command.
_PASSING_REFUSALS = (
    ResultCode.QUEUE_FULL,
    ResultCode.UNKNOWN_ACCOUNT,
    ResultCode.UNKNOWN_CLASS,
)


class LeaderClient:
    """Find the leader, call it, and keep a session with it.

    Commands are sent again after an unknown outcome, because each is
    idempotent by its identity or its content.
    """

    def __init__(
        self,
        addresses: dict[str, str],
        make_beat: Callable[[int], EntryBeat],
        on_beat: Callable[[LeaderBeat, float], bool],
        queued_commands: int = QUEUED_COMMANDS,
    ):
        self._replicas = Replicas(addresses)
        self._gate = CircuitBreaker()
        self._stream = SessionStream(self._replicas, self._gate, make_beat, on_beat)
        self._queue = CommandQueue(queued_commands)
        self._calls: set[asyncio.Task] = set()
        self._pump_due = False
        self._query_slots = asyncio.Semaphore(MAX_QUERIES_IN_FLIGHT)
        self._queries = 0

    async def run(self) -> None:
        """Keep a session with whichever replica leads."""
        await self._stream.run()

    async def close(self) -> None:
        """End all calls and close all channels."""
        for call in list(self._calls):
            call.cancel()
        await self._replicas.close()

    def beat_soon(self) -> None:
        """Send the next beat without waiting for its time."""
        self._stream.beat_soon()

    def queue_length(self) -> int:
        """Return the number of commands that wait for a call."""
        return len(self._queue)

    # Commands.

    async def execute(
        self,
        command: Any,
        identity: str = "",
        wait_s: float = 10.0,
        account: str = "",
    ) -> CommandResult:
        """Return the result of a command.

        Raises OVERLOADED or NO_LEADER if it was certainly not executed, and
        TIMEOUT if its outcome is unknown.
        """
        encoded = command_codec.encode(command)
        message = control_pb2.IdentifiedCommand(identity=identity, command=encoded)
        future: asyncio.Future[CommandResult] = (
            asyncio.get_running_loop().create_future()
        )
        deadline = time.monotonic() + wait_s
        item = QueuedCommand(account, message, len(encoded), deadline, future)
        self._queue.put(item)
        self._pump_soon()
        try:
            result = await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            raise self._unanswered(item) from None
        if item.outcome_unknown and result.code in _PASSING_REFUSALS:
            raise PersimmonyardError(
                ResultCode.TIMEOUT,
                "the outcome of an earlier send is unknown; "
                f"the later one was refused: {result.message}",
            )
        return result

    def _unanswered(self, item: QueuedCommand) -> PersimmonyardError:
        if item.outcome_unknown or item.in_flight:
            return PersimmonyardError(
                ResultCode.TIMEOUT, "the control leader did not answer in time"
            )
        if item.was_sent or not self._gate.healthy():
            return PersimmonyardError(
                ResultCode.NO_LEADER, "no control leader was found in time"
            )
        return PersimmonyardError(
            ResultCode.OVERLOADED, "the control leader has too much to do"
        )

    def _pump_soon(self) -> None:
        """Start calls once the current callbacks are done.

        Commands that arrive in the same turn of the event loop share a call.
        """
        if not self._pump_due:
            self._pump_due = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._pump_due = False
        if len(self._calls) >= MAX_CALLS_IN_FLIGHT or not len(self._queue):
            return
        call = asyncio.create_task(self._send_batch())
        self._calls.add(call)
        call.add_done_callback(self._call_done)

    def _call_done(self, call: asyncio.Task) -> None:
        self._calls.discard(call)
        if call.cancelled():
            return
        call.result()
        if len(self._queue):
            self._pump_soon()

    async def _send_batch(self) -> None:
        async with self._gate.call_slot():
            now = time.monotonic()
            batch = self._queue.take_batch(MAX_COMMANDS_IN_CALL, MAX_BYTES_IN_CALL, now)
            if not batch:
                return
            if len(self._queue):
                self._pump_soon()
            await self._call(batch)

    async def _call(self, batch: list[QueuedCommand]) -> None:
        request = control_pb2.ExecuteRequest(commands=[one.message for one in batch])
        left = max(one.deadline for one in batch) - time.monotonic()
        leader = self._replicas.leader
        try:
            reply = await self._replicas.unary(
                leader, "Execute", request, min(left, CALL_TIMEOUT_S)
            )
        except CallGivenUpError:
            for item in batch:
                item.outcome_unknown = True
            self._queue.requeue(batch)
            return
        except grpc.aio.AioRpcError as error:
            self._call_failed(batch, leader, outcome_unknown=not never_sent(error))
            return
        if reply.code:
            self._call_failed(batch, leader, False, reply.leader_hint)
            return
        self._gate.record_success()
        self._take_results(batch, leader, reply.results)

    def _call_failed(
        self,
        batch: list[QueuedCommand],
        leader: str,
        outcome_unknown: bool,
        hint: str = "",
    ) -> None:
        for item in batch:
            item.outcome_unknown |= outcome_unknown
        self._gate.record_failure()
        self._replicas.moved(leader, hint)
        self._queue.requeue(batch)

    def _take_results(
        self, batch: list[QueuedCommand], leader: str, results: Any
    ) -> None:
        again = []
        for item, encoded in zip(batch, results, strict=True):
            result: CommandResult = command_codec.decode(encoded)
            if result.code in (ResultCode.NOT_LEADER, ResultCode.TIMEOUT):
                item.outcome_unknown |= result.code == ResultCode.TIMEOUT
                again.append(item)
                continue
            item.in_flight = False
            if not item.future.done():
                item.future.set_result(result)
        if again:
            self._call_failed(again, leader, outcome_unknown=False)

    # Reads.

    async def query(self, kind: str, item_id: str = "", wait_s: float = 10.0) -> bytes:
        """Return the body of a read; raise the error that it reports.

        Raises OVERLOADED if too many reads wait, and NO_LEADER if no leader
        answered within ``wait_s`` seconds.
        """
        if self._queries >= MAX_QUERIES_WAITING:
            raise PersimmonyardError(ResultCode.OVERLOADED, "too many reads wait")
        request = control_pb2.QueryRequest(kind=kind, item_id=item_id)
        self._queries += 1
        try:
            async with asyncio.timeout(wait_s), self._query_slots:
                reply = await self._ask(request)
        except TimeoutError:
            raise PersimmonyardError(
                ResultCode.NO_LEADER, "no control leader answered in time"
            ) from None
        finally:
            self._queries -= 1
        if reply.code:
            raise PersimmonyardError(ResultCode(reply.code), reply.message)
        body: bytes = reply.body
        return body

    async def _ask(self, request: Any) -> Any:
        while True:
            async with self._gate.call_slot():
                leader = self._replicas.leader
                hint = ""
                try:
                    reply = await self._replicas.unary(
                        leader, "Query", request, CALL_TIMEOUT_S
                    )
                except CallGivenUpError:
                    continue
                except grpc.aio.AioRpcError:
                    reply = None
                if reply is not None and reply.code != ResultCode.NOT_LEADER:
                    self._gate.record_success()
                    return reply
                if reply is not None:
                    hint = reply.leader_hint
                self._gate.record_failure()
                self._replicas.moved(leader, hint)
