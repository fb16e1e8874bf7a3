"""The HTTP server of a process: uvicorn in the process's own event loop."""

import asyncio
import contextlib
import functools
import logging
import socket

import uvicorn
from litestar import Litestar

from persimmonyard.daemon.http_protocol import LimitedProtocol
from persimmonyard.daemon.intake import Intake, IntakeLimits

__all__ = ["SMALL_BODY_BYTES", "HttpServer"]

# The limit on bodies of a server whose requests have none.
SMALL_BODY_BYTES = 16 << 10

# Callers may keep an idle connection for 15 s; this is longer, in seconds, so
# that none is closed while a request on it is in transit.
_KEEP_ALIVE_S = 20


class _Server(uvicorn.Server):
    """A uvicorn server that wakes up once a second instead of ten times.

    Each wake-up counts against the CPU budget of an idle process.
    """

    _TICKS_PER_SECOND = 10

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self._exit_requested = asyncio.Event()

    async def main_loop(self) -> None:
        """Refresh the date header until the server is told to exit."""
        counter = 0
        while not await self.on_tick(counter):
            counter += self._TICKS_PER_SECOND
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._exit_requested.wait(), 1.0)

    def request_exit(self) -> None:
        """Make the main loop exit without waiting for its next tick."""
        self.should_exit = True
        self._exit_requested.set()


class HttpServer:
    """Serves a Litestar application until it is stopped.

    ``port`` is the bound port, also if the settings have port 0.  The limits
    on connections are those of ``intake``, which all servers of a process
    share; without one they have their defaults, and bodies are small.
    ``listener`` is the name of the server in metrics and logs.
    ``body_bytes`` lowers the limit on bodies for a server that needs no large
    ones.
    """

    def __init__(
        self,
        app: Litestar,
        host: str,
        port: int,
        drain_s: float,
        intake: Intake | None = None,
        listener: str = "http",
        body_bytes: int | None = None,
    ):
        intake = intake or Intake(IntakeLimits(body_bytes=SMALL_BODY_BYTES))
        self._socket = socket.create_server((host, port), backlog=2048)
        # asyncio does not set this on sockets that are passed to it.  Without
        # it each response waits about 40 ms for the caller's delayed ACK,
        # because headers and body are separate writes.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self._socket.getsockname()[1]
        # uvicorn would log each request that is not HTTP.
        logging.getLogger("uvicorn.error").setLevel(logging.ERROR)
        protocol = functools.partial(
            LimitedProtocol,
            intake,
            listener,
            min(intake.limits.body_bytes, body_bytes or intake.limits.body_bytes),
        )
        self._config = uvicorn.Config(
            app,
            http=protocol,  # type: ignore[arg-type]
            ws="none",
            timeout_keep_alive=_KEEP_ALIVE_S,
            log_config=None,
            access_log=False,
            lifespan="off",
            timeout_graceful_shutdown=int(drain_s),
        )
        self._server = _Server(self._config)
        # The daemon handles signals itself, to drain before the server stops.
        self._server.capture_signals = contextlib.nullcontext  # type: ignore
        self._task: asyncio.Task | None = None
        self._accept_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start the server in the background."""
        serving = self._server.serve(sockets=[self._socket])
        self._task = asyncio.create_task(serving)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)

    def stop_listening(self) -> None:
        """Stop accepting connections; open connections continue.

        Connections in the kernel's accept queue are accepted first, because
        closing the listener would reset them.
        """
        listener = self._socket.dup()
        listener.setblocking(False)
        for server in self._server.servers:
            server.close()
        accepted = []
        with contextlib.suppress(BlockingIOError):
            while True:
                accepted.append(listener.accept()[0])
        listener.close()
        for connection in accepted:
            self._serve_accepted(connection)

    def _serve_accepted(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(self._create_protocol, connection)
        )
        self._accept_tasks.add(task)
        task.add_done_callback(self._accept_tasks.discard)

    def _create_protocol(self) -> asyncio.Protocol:
        return self._config.http_protocol_class(  # type: ignore
            config=self._config,
            server_state=self._server.server_state,
            app_state={},
        )

    async def stop(self) -> None:
        """Finish the calls in progress and close the socket."""
        self._server.request_exit()
        if self._task is not None:
            await self._task
