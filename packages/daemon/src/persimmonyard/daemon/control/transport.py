"""Message transport between replicas, with one gRPC stream for each pair."""

import asyncio
import random
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
import msgspec

from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.message_limits import MAX_MESSAGE_BYTES
from persimmonyard.replication import (
    Message,
    decode_batch,
    encode_batch,
    payload_bytes,
)
from persimmonyard.wire.generated import control_pb2, control_pb2_grpc

__all__ = ["MESSAGE_OPTIONS", "GrpcTransport"]

MAX_QUEUED_MESSAGES = 4_096
MAX_BATCH_MESSAGES = 64
# A batch ends with the message that reaches this size.  A window of the
# largest entries is split into batches, each below the size limit of a gRPC
# message.
MAX_BATCH_BYTES = 1 << 20
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

MESSAGE_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Disable the bandwidth probe, which costs a ping for each heartbeat.
    ("grpc.http2.bdp_probe", 0),
    # Accept the keepalive pings that peers send once a second on an idle
    # connection; see ``_CHANNEL_OPTIONS``.
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
]
_CHANNEL_OPTIONS = [
    *MESSAGE_OPTIONS,
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 500),
    # Close a connection after these times if the peer disappeared without
    # closing it.
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_000),
    ("grpc.http2.max_pings_without_data", 0),
    # Without a pool of its own, a new channel to the same address would
    # reuse a dead connection.
    ("grpc.use_local_subchannel_pool", 1),
]
_REPLICA_ID_KEY = "replica"


class _SendQueue:
    """The messages to send to one replica; exists while its stream is open."""

    def __init__(self) -> None:
        self._messages: deque[Message] = deque()
        self._wakeup = asyncio.Event()

    def put(self, message: Message) -> None:
        """Queue a message, or drop it if the queue is full.

        The replication core sends dropped messages again.
        """
        if len(self._messages) < MAX_QUEUED_MESSAGES:
            self._messages.append(message)
            self._wakeup.set()

    async def next_envelope(self) -> Any:
        """Wait for messages and return a batch of them as one envelope."""
        await self._wakeup.wait()
        batch: list[Message] = []
        size = 0
        while (
            self._messages
            and len(batch) < MAX_BATCH_MESSAGES
            and size < MAX_BATCH_BYTES
        ):
            message = self._messages.popleft()
            size += payload_bytes(message)
            batch.append(message)
        if not self._messages:
            self._wakeup.clear()
        return control_pb2.Envelope(body=encode_batch(batch))


class GrpcTransport(control_pb2_grpc.ReplicationServicer):
    """Exchange messages with the other replicas.

    In each pair, the replica whose name sorts first opens the stream, which
    carries the messages of both directions.
    """

    def __init__(self, replica_id: str, address_by_name: dict[str, str]):
        self._replica_id = replica_id
        self._configured_address_by_name = dict(address_by_name)
        self._address_by_name = dict(address_by_name)
        self._send_queue_by_peer: dict[str, _SendQueue] = {}
        self._stream_task_by_peer: dict[str, asyncio.Task] = {}
        self._receive: Callable[[str, Message], None] | None = None
        self._logger = get_logger("transport")

    def register(self, server: grpc.aio.Server) -> None:
        """Add the service that accepts the streams of other replicas."""
        control_pb2_grpc.add_ReplicationServicer_to_server(self, server)

    async def start(self, receive: Callable[[str, Message], None]) -> None:
        """Start to open streams; pass received messages to ``receive``."""
        self._receive = receive
        self._open_missing_streams()

    async def stop(self) -> None:
        """Close all streams."""
        self._receive = None
        for task in self._stream_task_by_peer.values():
            task.cancel()
        await asyncio.gather(
            *self._stream_task_by_peer.values(), return_exceptions=True
        )

    def send(self, to: str, message: Message) -> None:
        """Queue a message, or drop it if no stream to ``to`` is open."""
        send_queue = self._send_queue_by_peer.get(to)
        if send_queue is not None:
            send_queue.put(message)

    def set_addresses(self, address_by_name: dict[str, str]) -> None:
        """Set the members' addresses; configured addresses take precedence."""
        self._address_by_name |= address_by_name | self._configured_address_by_name
        if self._receive is not None:
            self._open_missing_streams()

    def add_addresses(self, address_by_name: dict[str, str]) -> None:
        """Add configured addresses and open streams to these replicas.

        A replica with an empty data folder does not know the members from its
        log yet, and a member whose name sorts after its own waits for it to
        open the stream.
        """
        self._configured_address_by_name |= address_by_name
        self.set_addresses(address_by_name)

    def _open_missing_streams(self) -> None:
        for peer in self._address_by_name:
            if peer > self._replica_id and peer not in self._stream_task_by_peer:
                task = asyncio.create_task(self._maintain_stream(peer))
                self._stream_task_by_peer[peer] = task

    async def _maintain_stream(self, peer: str) -> None:
        delay = INITIAL_RETRY_DELAY_S
        while True:
            address = self._address_by_name[peer]
            try:
                async with grpc.aio.insecure_channel(
                    address, options=_CHANNEL_OPTIONS
                ) as channel:
                    if await self._run_stream(peer, channel):
                        delay = INITIAL_RETRY_DELAY_S
            except (grpc.aio.AioRpcError, msgspec.MsgspecError) as error:
                self._logger.info("stream ended", peer=peer, error=str(error))
            except Exception:
                # A stream that is not opened again cuts the peer off for good.
                self._logger.exception("stream failed", peer=peer)
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)

    async def _run_stream(self, peer: str, channel: grpc.aio.Channel) -> bool:
        """Serve a stream until it ends.

        Return True if the peer accepted the stream and closed it; raise
        ``AioRpcError`` if the call failed.
        """
        metadata = ((_REPLICA_ID_KEY, self._replica_id),)
        call = control_pb2_grpc.ReplicationStub(channel).Exchange(metadata=metadata)
        await call.initial_metadata()
        send_queue = self._add_send_queue(peer)
        writer = asyncio.create_task(self._send_queued(send_queue, call.write))
        try:
            while True:
                envelope = await call.read()
                if envelope is grpc.aio.EOF:
                    return True
                self._deliver(peer, envelope)
        finally:
            writer.cancel()
            call.cancel()
            self._remove_send_queue(peer, send_queue)

    async def _send_queued(
        self, send_queue: _SendQueue, write: Callable[[Any], Any]
    ) -> None:
        while True:
            await write(await send_queue.next_envelope())

    async def Exchange(  # noqa: N802
        self, request_iterator: AsyncIterator[Any], context: Any
    ) -> None:
        """Serve the stream of a replica whose name sorts before this one's."""
        peer = dict(context.invocation_metadata()).get(_REPLICA_ID_KEY, "")
        if not peer or self._receive is None:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "not a replica")
        await context.send_initial_metadata(())
        send_queue = self._add_send_queue(peer)
        writer = asyncio.create_task(self._send_queued(send_queue, context.write))
        try:
            async for envelope in request_iterator:
                self._deliver(peer, envelope)
        finally:
            writer.cancel()
            self._remove_send_queue(peer, send_queue)

    def _add_send_queue(self, peer: str) -> _SendQueue:
        send_queue = _SendQueue()
        self._send_queue_by_peer[peer] = send_queue
        return send_queue

    def _remove_send_queue(self, peer: str, send_queue: _SendQueue) -> None:
        if self._send_queue_by_peer.get(peer) is send_queue:
            del self._send_queue_by_peer[peer]

    def _deliver(self, peer: str, envelope: Any) -> None:
        for message in decode_batch(envelope.body):
            if self._receive is not None:
                self._receive(peer, message)
