"""gRPC channels to control processes."""

import asyncio

import grpc

from persimmonyard.daemon.message_limits import MAX_MESSAGE_BYTES

__all__ = ["CHANNEL_OPTIONS", "await_connected", "describe_error"]

# Connections that fail are replaced, so gRPC's own reconnects are limited.
CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 300),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.enable_http_proxy", 0),
]


async def await_connected(channel: grpc.aio.Channel, within_s: float) -> bool:
    """Return whether a channel is connected within ``within_s``."""
    state = channel.get_state(try_to_connect=True)
    try:
        async with asyncio.timeout(within_s):
            while state != grpc.ChannelConnectivity.READY:
                if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                    return False
                await channel.wait_for_state_change(state)
                state = channel.get_state(try_to_connect=True)
    except (TimeoutError, grpc.aio.UsageError):
        # Another call may have closed the channel in the meantime.
        return False
    return True


def describe_error(error: Exception) -> str:
    """Return the text of an error of a call for a log line."""
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details()}"
    return str(error)
