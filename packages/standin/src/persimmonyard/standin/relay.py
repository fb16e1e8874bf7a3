"""A TCP relay that simulates network faults and counts bytes.

It can delay data, block it in one or both directions and reset connections.
"""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

__all__ = ["Relay"]

CHUNK_BYTES = 65_536
CALL_TIMEOUT_S = 10.0


class Relay:
    """Forwards connections to a target address, in a thread of its own.

    The direction "up" is from the clients to the target, "down" is from the
    target to the clients.  While a direction is blocked, its connections
    stay open but no data is forwarded, as in a network partition; held data
    is forwarded after ``restore``.
    ``bytes_up`` and ``bytes_down`` count the forwarded bytes.  Each chunk of
    data is delayed by ``delay_s`` seconds.

    Example: ``relay = Relay(target_port)``, connect to ``relay.port``, then
    ``relay.block()`` and ``relay.restore()``.
    """

    def __init__(
        self,
        target_port: int,
        target_host: str = "127.0.0.1",
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        self._target_address = (target_host, target_port)
        self._listen_address = (host, port)
        self.delay_s = 0.0
        self.bytes_up = 0
        self.bytes_down = 0
        self._loop = asyncio.new_event_loop()
        self._up_open = asyncio.Event()
        self._down_open = asyncio.Event()
        self._connection_tasks: set[asyncio.Task] = set()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.port: int = self._run_in_loop(self._start())

    def block(self, up: bool = True, down: bool = True) -> None:
        """Stop forwarding in the given directions.

        A direction that is not given is forwarded again.
        """
        self._run_in_loop(self._set_forwarding(not up, not down))

    def restore(self) -> None:
        """Forward in both directions again."""
        self._run_in_loop(self._set_forwarding(True, True))

    def reset(self) -> None:
        """Close all open connections; new ones are forwarded."""
        self._run_in_loop(self._abort_connections())

    def close(self) -> None:
        """Close the port and all connections, and end the thread."""
        self._run_in_loop(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run_in_loop(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_TIMEOUT_S)

    async def _start(self) -> int:
        await self._set_forwarding(True, True)
        self._server = await asyncio.start_server(
            self._handle_connection, *self._listen_address
        )
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def _abort_connections(self) -> None:
        for task in list(self._connection_tasks):
            task.cancel()

    async def _stop(self) -> None:
        self._server.close()
        tasks = list(self._connection_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _set_forwarding(self, up_open: bool, down_open: bool) -> None:
        for event, is_open in (
            (self._up_open, up_open),
            (self._down_open, down_open),
        ):
            if is_open:
                event.set()
            else:
                event.clear()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._connection_tasks.discard(task)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            *self._target_address
        )
        copy_tasks = {
            asyncio.create_task(self._copy_up(reader, target_writer)),
            asyncio.create_task(self._copy_down(target_reader, writer)),
        }
        try:
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy_task in copy_tasks:
                copy_task.cancel()
            target_writer.close()

    async def _copy_up(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_to_forward(self._up_open)
            self.bytes_up += len(data)
            writer.write(data)
            await writer.drain()

    async def _copy_down(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_to_forward(self._down_open)
            self.bytes_down += len(data)
            writer.write(data)
            await writer.drain()

    async def _wait_to_forward(self, is_open: asyncio.Event) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await is_open.wait()
