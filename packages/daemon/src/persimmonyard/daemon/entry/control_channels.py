"""gRPC channels to the control processes, and the presumed leader."""

import asyncio
import random
from typing import Any

import grpc

from persimmonyard.wire.generated import control_pb2_grpc

__all__ = ["ControlChannels", "LeaderChangedError", "never_sent"]

CHANNEL_OPTIONS = [
    # A pushed message with the outcomes of many requests may exceed the
    # default limit of 4 MB.
    ("grpc.max_receive_message_length", 64 << 20),
    # With the default backoff of 1 s, doubling up to 120 s, a restarted
    # process would be reconnected late.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    # BDP (bandwidth-delay product) probes would double the number of frames
    # for small messages.
    ("grpc.http2.bdp_probe", 0),
]

# grpcio reports the same status for a refused connection and for one that
# broke during a call; only this text distinguishes them.
_NOT_CONNECTED = "failed to connect to all addresses"


class LeaderChangedError(Exception):
    """The call was cancelled because the leader changed.

    Whether the call took effect is unknown.
    """


class ControlChannels:
    """One gRPC channel per control process, opened on first use.

    ``leader`` is the name of the presumed leader.
    """

    def __init__(self, address_by_name: dict[str, str]):
        self._address_by_name = address_by_name
        self._names = list(address_by_name)
        self.leader = random.choice(self._names)
        self._stub_by_name: dict[str, Any] = {}
        self._channels: list[Any] = []
        self._name_by_call: dict[Any, str] = {}

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels:
            await channel.close()

    def stub(self, name: str) -> Any:
        """Return the gRPC stub of a control process, opening its channel."""
        if name not in self._stub_by_name:
            channel = grpc.aio.insecure_channel(
                self._address_by_name[name], options=CHANNEL_OPTIONS
            )
            self._channels.append(channel)
            self._stub_by_name[name] = control_pb2_grpc.ControlStub(channel)
        return self._stub_by_name[name]

    async def call_unary(
        self, name: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Make a unary call to a control process and return its reply.

        Raises ``grpc.aio.AioRpcError`` if the call failed, and
        ``LeaderChangedError`` if another process was confirmed as the leader
        before the reply arrived.
        """
        call = getattr(self.stub(name), method)(request, timeout=timeout_s)
        self._name_by_call[call] = name
        try:
            return await call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if call in self._name_by_call or (task and task.cancelling()):
                raise
            raise LeaderChangedError(name) from None
        finally:
            self._name_by_call.pop(call, None)

    def confirm_leader(self, name: str) -> None:
        """Record a process as the leader and cancel the calls to all others.

        Calls to a frozen process would otherwise block until they time out.
        """
        self.leader = name
        for call, target in list(self._name_by_call.items()):
            if target == name:
                continue
            del self._name_by_call[call]
            call.cancel()

    def switch_leader(self, target: str, hint: str = "") -> None:
        """Replace the presumed leader after ``target`` failed or did not lead.

        The new one is ``hint``, which ``target`` gave, or else the next
        process in order.  Does nothing if another call has already replaced
        ``target``.
        """
        if target != self.leader:
            return
        if hint in self._address_by_name and hint != target:
            self.leader = hint
            return
        position = self._names.index(target)
        self.leader = self._names[(position + 1) % len(self._names)]


def never_sent(error: grpc.aio.AioRpcError) -> bool:
    """Return whether a failed call certainly did not reach its target."""
    if error.code() != grpc.StatusCode.UNAVAILABLE:
        return False
    return (error.details() or "").startswith(_NOT_CONNECTED)
