"""uvicorn run inside the process's own event loop."""

import asyncio
import contextlib
import socket

import uvicorn
from litestar import Litestar

__all__ = ["HttpServer"]


class HttpServer:
    """Serve a litestar application until it is stopped.

    ``port`` is the bound port, also if the settings asked for port 0.
    """

    def __init__(self, app: Litestar, host: str, port: int, drain_s: float):
        self._socket = socket.create_server((host, port), backlog=2048)
        self.port = self._socket.getsockname()[1]
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            timeout_graceful_shutdown=int(drain_s),
        )
        self._server = uvicorn.Server(config)
        # The daemon handles signals itself, to drain before the server stops.
        self._server.capture_signals = contextlib.nullcontext  # type: ignore
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start serving in the background."""
        serve = self._server.serve(sockets=[self._socket])
        self._task = asyncio.create_task(serve)

    async def stop(self) -> None:
        """Finish the calls in progress and close the socket."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
