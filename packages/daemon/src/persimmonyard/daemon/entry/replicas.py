"""The control processes, and which of them leads as far as is known."""

import asyncio
import random
from typing import Any

import grpc

from persimmonyard.wire.generated import control_pb2_grpc

__all__ = ["CallGivenUpError", "Replicas", "never_sent"]

CHANNEL_OPTIONS = [
    # A push with the outcomes of many requests may be larger than the
    # default limit of 4 MB.
    ("grpc.max_receive_message_length", 64 << 20),
    # The default of 1 s, doubling up to 120 s, delays the return of a
    # process that was restarted.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    # Probes of the bandwidth would double the frames of small messages.
    ("grpc.http2.bdp_probe", 0),
]

# grpcio reports a refused connection and one that broke in the middle of a
# call with the same status; only this text tells them apart.
_NOT_CONNECTED = "failed to connect to all addresses"


class CallGivenUpError(Exception):
    """Another process leads, so the call was ended; its effect is unknown."""


class Replicas:
    """Channels to the control processes by name, and the probable leader."""

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
        """Return the stub of one control process."""
        if name not in self._stub_by_name:
            channel = grpc.aio.insecure_channel(
                self._address_by_name[name], options=CHANNEL_OPTIONS
            )
            self._channels.append(channel)
            self._stub_by_name[name] = control_pb2_grpc.ControlStub(channel)
        return self._stub_by_name[name]

    async def unary(
        self, name: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Return the reply of one control process.

        Raises ``grpc.aio.AioRpcError`` if the call failed, and
        ``CallGivenUpError`` if another process was heard as the leader before
        the reply came.
        """
        call = getattr(self.stub(name), method)(request, timeout=timeout_s)
        self._name_by_call[call] = name
        try:
            return await call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if call in self._name_by_call or (task and task.cancelling()):
                raise
            raise CallGivenUpError(name) from None
        finally:
            self._name_by_call.pop(call, None)

    def heard_leader(self, name: str) -> None:
        """Take a process as the leader, and give up calls to all others.

        A frozen process would otherwise hold them until their time is up.
        """
        self.leader = name
        for call, asked in list(self._name_by_call.items()):
            if asked == name:
                continue
            del self._name_by_call[call]
            call.cancel()

    def moved(self, asked: str, hint: str = "") -> None:
        """Follow the hint of the process that was asked, or try the next.

        Nothing changes if another call has already found another leader.
        """
        if asked != self.leader:
            return
        if hint in self._address_by_name and hint != asked:
            self.leader = hint
            return
        position = self._names.index(asked)
        self.leader = self._names[(position + 1) % len(self._names)]


def never_sent(error: grpc.aio.AioRpcError) -> bool:
    """Return whether a failed call certainly did not reach the process."""
    if error.code() != grpc.StatusCode.UNAVAILABLE:
        return False
    return (error.details() or "").startswith(_NOT_CONNECTED)
