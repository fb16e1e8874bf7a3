"""A TCP relay that counts bytes, and delays, cuts or resets connections."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

__all__ = ["Relay"]

CHUNK_BYTES = 65_536
CALL_DEADLINE_S = 10.0


class Relay:
    """Forward a loopback port to another one, in a thread of its own.

    While a direction is cut, its bytes are read by nobody: connections stay
    open and silent, as behind a network partition.  ``bytes_up`` counts what
    clients sent and ``bytes_down`` what they received.  Each piece of data is
    held for ``delay_s`` seconds.

    Example: ``relay = Relay(target_port)``, connect to ``relay.port``, then
    ``relay.cut()`` and ``relay.restore()``.
    """

    def __init__(
        self,
        target_port: int,
        target_host: str = "127.0.0.1",
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        self._target = (target_host, target_port)
        self._listen = (host, port)
        self.delay_s = 0.0
        self.bytes_up = 0
        self.bytes_down = 0
        self._loop = asyncio.new_event_loop()
        self._up_open = asyncio.Event()
        self._down_open = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.port: int = self._call(self._start())

    def cut(self, up: bool = True, down: bool = True) -> None:
        """Stop forwarding in the given directions."""
        self._call(self._set(not up, not down))

    def restore(self) -> None:
        """Forward in both directions again."""
        self._call(self._set(True, True))

    def reset(self) -> None:
        """Abort all open connections; new ones are forwarded."""
        self._call(self._abort())

    def close(self) -> None:
        """Close the port and all connections."""
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, work: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(CALL_DEADLINE_S)

    async def _start(self) -> int:
        await self._set(True, True)
        self._server = await asyncio.start_server(self._connected, *self._listen)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def _abort(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    async def _stop(self) -> None:
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _set(self, up_open: bool, down_open: bool) -> None:
        for event, is_open in (
            (self._up_open, up_open),
            (self._down_open, down_open),
        ):
            if is_open:
                event.set()
            else:
                event.clear()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        copies = {
            asyncio.create_task(self._copy_up(reader, target_writer)),
            asyncio.create_task(self._copy_down(target_reader, writer)),
        }
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            target_writer.close()

    async def _copy_up(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._hold_back(self._up_open)
            self.bytes_up += len(data)
            writer.write(data)
            await writer.drain()

    async def _copy_down(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._hold_back(self._down_open)
            self.bytes_down += len(data)
            writer.write(data)
            await writer.drain()

    async def _hold_back(self, is_open: asyncio.Event) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await is_open.wait()
