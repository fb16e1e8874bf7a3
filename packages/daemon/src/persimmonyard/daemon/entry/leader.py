"""Client for the control leader: commands, reads and the entry's session."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import grpc

from persimmonyard.daemon.entry.circuit_breaker import CircuitBreaker
from persimmonyard.daemon.entry.command_queue import CommandQueue, QueuedCommand
from persimmonyard.daemon.entry.control_channels import (
    ControlChannels,
    LeaderChangedError,
    never_sent,
)
from persimmonyard.daemon.entry.session_stream import SessionStream
from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult, command_codec
from persimmonyard.wire import EntryBeat, LeaderBeat
from persimmonyard.wire.generated import control_pb2

__all__ = ["LeaderClient"]

# grpcio handles only about 3,000 unary calls per second, so commands are
# sent in batches.
MAX_CALLS_IN_FLIGHT = 8
MAX_COMMANDS_PER_CALL = 128
# grpcio rejects messages larger than 4 MB.
MAX_BYTES_PER_CALL = 2 << 20
CALL_TIMEOUT_S = 5.0
MAX_QUERIES_IN_FLIGHT = 32
MAX_OPEN_QUERIES = 2_048
MAX_QUEUED_COMMANDS = 4_096

# Refusals that depend on the replicated state at the time when the command is
# applied.  After an earlier send with an unknown outcome, such a refusal does
# not prove that the command was not executed.
_STATE_DEPENDENT_REFUSALS = (
    ResultCode.QUEUE_FULL,
    ResultCode.UNKNOWN_ACCOUNT,
    ResultCode.UNKNOWN_CLASS,
)


class LeaderClient:
    """Finds the control leader, calls it, and keeps a session with it.

    This is the client of the entry role; the job roles have another one, in
    ``persimmonyard.daemon.jobs``.

    Commands are retried after an unknown outcome, because each one is
    idempotent by its identity or its content.  ``make_beat`` and ``on_beat``
    are those of ``SessionStream``.
    """

    def __init__(
        self,
        address_by_name: dict[str, str],
        make_beat: Callable[[int], EntryBeat],
        on_beat: Callable[[LeaderBeat, float], bool],
        max_queued_commands: int = MAX_QUEUED_COMMANDS,
    ):
        self._control_channels = ControlChannels(address_by_name)
        self._circuit_breaker = CircuitBreaker()
        self._session_stream = SessionStream(
            self._control_channels, self._circuit_breaker, make_beat, on_beat
        )
        self._queue = CommandQueue(max_queued_commands)
        self._calls: set[asyncio.Task] = set()
        self._batch_scheduled = False
        self._query_slots = asyncio.Semaphore(MAX_QUERIES_IN_FLIGHT)
        self._open_queries = 0
        self._logger = get_logger("leader")

    async def run(self) -> None:
        """Keep a session with the current leader open."""
        await self._session_stream.run()

    async def close(self) -> None:
        """Cancel the open command calls and close all channels."""
        for call in list(self._calls):
            call.cancel()
        await self._control_channels.close()

    def request_beat(self) -> None:
        """Send the next beat now rather than at its regular time."""
        self._session_stream.request_beat()

    def queue_length(self) -> int:
        """Return the number of commands that wait to be sent."""
        return len(self._queue)

    async def execute(
        self,
        command: Any,
        identity: str = "",
        wait_s: float = 10.0,
        account: str = "",
    ) -> CommandResult:
        """Send a command to the leader and return its result.

        Waits at most ``wait_s`` seconds.  Raises OVERLOADED or NO_LEADER if
        the command was certainly not executed, and TIMEOUT if its outcome is
        unknown.
        """
        encoded = command_codec.encode(command)
        message = control_pb2.IdentifiedCommand(identity=identity, command=encoded)
        future: asyncio.Future[CommandResult] = (
            asyncio.get_running_loop().create_future()
        )
        deadline = time.monotonic() + wait_s
        item = QueuedCommand(account, message, len(encoded), deadline, future)
        self._queue.put(item)
        self._schedule_batch()
        try:
            result = await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            raise self._timeout_error(item) from None
        if item.outcome_unknown and result.code in _STATE_DEPENDENT_REFUSALS:
            raise PersimmonyardError(
                ResultCode.TIMEOUT,
                "the outcome of an earlier send is unknown; "
                f"the later one was refused: {result.message}",
            )
        return result

    def _timeout_error(self, item: QueuedCommand) -> PersimmonyardError:
        if item.outcome_unknown or item.in_flight:
            return PersimmonyardError(
                ResultCode.TIMEOUT, "the control leader did not answer in time"
            )
        if item.was_sent or not self._circuit_breaker.healthy():
            return PersimmonyardError(
                ResultCode.NO_LEADER, "no control leader was found in time"
            )
        return PersimmonyardError(
            ResultCode.OVERLOADED, "the control leader has too much to do"
        )

    def _schedule_batch(self) -> None:
        """Schedule a call for the queued commands.

        It starts after the current callbacks, so that commands that arrive in
        the same iteration of the event loop share a call.
        """
        if not self._batch_scheduled:
            self._batch_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_batch)

    def _start_batch(self) -> None:
        self._batch_scheduled = False
        if len(self._calls) >= MAX_CALLS_IN_FLIGHT or not len(self._queue):
            return
        call = asyncio.create_task(self._send_next_batch())
        self._calls.add(call)
        call.add_done_callback(self._on_call_done)

    def _on_call_done(self, call: asyncio.Task) -> None:
        self._calls.discard(call)
        if call.cancelled():
            return
        if call.exception() is not None:
            self._logger.error("command call failed", exc_info=call.exception())
        if len(self._queue):
            self._schedule_batch()

    async def _send_next_batch(self) -> None:
        async with self._circuit_breaker.call_slot():
            now = time.monotonic()
            batch = self._queue.take_batch(
                MAX_COMMANDS_PER_CALL, MAX_BYTES_PER_CALL, now
            )
            if not batch:
                return
            if len(self._queue):
                self._schedule_batch()
            await self._execute_batch(batch)

    async def _execute_batch(self, batch: list[QueuedCommand]) -> None:
        request = control_pb2.ExecuteRequest(commands=[item.message for item in batch])
        remaining_s = max(item.deadline for item in batch) - time.monotonic()
        leader = self._control_channels.leader
        try:
            reply = await self._control_channels.call_unary(
                leader, "Execute", request, min(remaining_s, CALL_TIMEOUT_S)
            )
        except LeaderChangedError:
            for item in batch:
                item.outcome_unknown = True
            self._queue.requeue(batch)
            return
        except grpc.aio.AioRpcError as error:
            self._handle_failed_call(
                batch, leader, outcome_unknown=not never_sent(error)
            )
            return
        if reply.code:
            self._handle_failed_call(batch, leader, False, reply.leader_hint)
            return
        self._circuit_breaker.record_success()
        self._deliver_results(batch, leader, reply.results)

    def _handle_failed_call(
        self,
        batch: list[QueuedCommand],
        leader: str,
        outcome_unknown: bool,
        hint: str = "",
    ) -> None:
        for item in batch:
            item.outcome_unknown |= outcome_unknown
        self._circuit_breaker.record_failure()
        self._control_channels.switch_leader(leader, hint)
        self._queue.requeue(batch)

    def _deliver_results(
        self, batch: list[QueuedCommand], leader: str, results: Any
    ) -> None:
        to_retry = []
        for item, encoded in zip(batch, results, strict=True):
            result: CommandResult = command_codec.decode(encoded)
            if result.code in (ResultCode.NOT_LEADER, ResultCode.TIMEOUT):
                item.outcome_unknown |= result.code == ResultCode.TIMEOUT
                to_retry.append(item)
                continue
            item.in_flight = False
            if not item.future.done():
                item.future.set_result(result)
        if to_retry:
            self._handle_failed_call(to_retry, leader, outcome_unknown=False)

    async def query(self, kind: str, item_id: str = "", wait_s: float = 10.0) -> bytes:
        """Send a read to the leader and return the body of its reply.

        Raises the error that the reply reports, OVERLOADED if too many reads
        are open, and NO_LEADER if no leader answered within ``wait_s``
        seconds.
        """
        if self._open_queries >= MAX_OPEN_QUERIES:
            raise PersimmonyardError(ResultCode.OVERLOADED, "too many reads wait")
        request = control_pb2.QueryRequest(kind=kind, item_id=item_id)
        self._open_queries += 1
        try:
            async with asyncio.timeout(wait_s), self._query_slots:
                reply = await self._query_leader(request)
        except TimeoutError:
            raise PersimmonyardError(
                ResultCode.NO_LEADER, "no control leader answered in time"
            ) from None
        finally:
            self._open_queries -= 1
        if reply.code:
            raise PersimmonyardError(ResultCode(reply.code), reply.message)
        body: bytes = reply.body
        return body

    async def _query_leader(self, request: Any) -> Any:
        while True:
            async with self._circuit_breaker.call_slot():
                leader = self._control_channels.leader
                hint = ""
                try:
                    reply = await self._control_channels.call_unary(
                        leader, "Query", request, CALL_TIMEOUT_S
                    )
                except LeaderChangedError:
                    continue
                except grpc.aio.AioRpcError:
                    reply = None
                if reply is not None and reply.code != ResultCode.NOT_LEADER:
                    self._circuit_breaker.record_success()
                    return reply
                if reply is not None:
                    hint = reply.leader_hint
                self._circuit_breaker.record_failure()
                self._control_channels.switch_leader(leader, hint)
