"""A stand-in upstream: it serves task calls and announces to the entries."""

import asyncio
import contextlib
import json
import secrets
import signal
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
import uvicorn
from litestar import Litestar, Request, Response, get, post

from persimmonyard.standin.announcer import Announcer
from persimmonyard.standin.faults import AnswerFaults, Behaviour
from persimmonyard.standin.tasks import AcceptedStart, TaskTable

__all__ = ["StandinSettings", "StandinUpstream", "run"]

HANG_S = 3_600.0
RENEWAL_POLL_S = 0.25
DRAIN_POLL_S = 0.1
GRACEFUL_SHUTDOWN_S = 2


@dataclass
class StandinSettings:
    """Identity, capacity and entry URLs of a stand-in upstream.

    ``stop`` waits at most ``drain_s`` seconds for running tasks and for
    answers that are not acknowledged.  One JSON line for each accepted
    start is appended to ``starts_file``.
    """

    upstream_id: str
    zone: str
    rack: str
    token: str
    entries: list[str]
    accelerators: int = 8
    cores: int = 64
    memory_mb: int = 262_144
    slots: int = 8
    port: int = 0
    drain_s: float = 10.0
    starts_file: Path | None = None
    behaviour: Behaviour = field(default_factory=Behaviour)


class StandinUpstream:
    """An upstream on a loopback port; for port 0 the kernel chooses one."""

    def __init__(self, settings: StandinSettings):
        self.settings = settings
        self._socket = socket.create_server(("127.0.0.1", settings.port), backlog=512)
        # asyncio does not set TCP_NODELAY on sockets that are passed to it.
        # Without it, each response takes about 40 ms.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self._socket.getsockname()[1]
        self.announcer = Announcer(
            settings.entries, settings.token, settings.behaviour, self._announcement
        )
        self._server_task: asyncio.Task[None] | None = None
        self._discard_tasks()

    def _discard_tasks(self) -> None:
        """Lose all tasks and take a new incarnation, as in a restart."""
        self.incarnation = secrets.token_hex(4)
        self.answer_faults = AnswerFaults()
        self.tasks = TaskTable(
            self.incarnation,
            self.settings.slots,
            self.settings.behaviour,
            on_start=self._record_start,
        )

    async def start(self) -> None:
        """Start the server and the announcements."""
        config = uvicorn.Config(
            self._build_app(),
            log_config=None,
            access_log=False,
            lifespan="off",
            timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
        )
        self._server = uvicorn.Server(config)
        self._server.capture_signals = contextlib.nullcontext  # type: ignore
        serve = self._server.serve(sockets=[self._socket])
        self._server_task = asyncio.create_task(serve)
        self.announcer.start()

    async def leave(self) -> None:
        """Announce immediately that this upstream is leaving."""
        await self.announcer.leave()

    async def stop(self) -> None:
        """Leave, wait for tasks and acknowledgements, and stop the server."""
        await self.leave()
        await self._drain()
        await self.announcer.stop()
        self._server.should_exit = True
        if self._server_task is not None:
            await self._server_task

    async def _drain(self) -> None:
        deadline = time.monotonic() + self.settings.drain_s
        while time.monotonic() < deadline:
            if not self.tasks.busy() and not self.tasks.unacknowledged_answers():
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _announcement(self) -> dict[str, Any]:
        settings = self.settings
        spec = {
            "upstream_id": settings.upstream_id,
            "incarnation": self.incarnation,
            "zone": settings.zone,
            "rack": settings.rack,
            "address": f"127.0.0.1:{self.port}",
            "accelerators": settings.accelerators,
            "cores": settings.cores,
            "memory_mb": settings.memory_mb,
            "slots": settings.slots,
        }
        return {"spec": spec, "busy": self.tasks.busy()}

    def _record_start(self, start: AcceptedStart) -> None:
        if self.settings.starts_file is None:
            return
        line = json.dumps(start._asdict() | {"upstream": self.settings.upstream_id})
        with self.settings.starts_file.open("a") as file:
            file.write(f"{line}\n")

    async def _handle_call(self, call: str, body: dict[str, Any]) -> dict[str, Any]:
        behaviour = self.settings.behaviour
        if behaviour.vanish:
            await asyncio.sleep(HANG_S)
        if call == "renew":
            return await self._renew(body)
        reply = self.tasks.handle(call, body)
        if call == "start":
            await asyncio.sleep(behaviour.start_delay_s)
        if call == "result" and "name" not in reply:
            reply, delay = self.answer_faults.apply(reply, behaviour)
            await asyncio.sleep(delay)
        return reply

    async def _renew(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renew leases, and reply once the entry does not know a task's state.

        The state is compared with ``known_state`` in the call.  The reply is
        sent after at most ``wait_s`` seconds.
        """
        deadline = time.monotonic() + body["wait_s"]
        tasks = self.tasks
        reply = tasks.renew(body)
        while "tasks" in reply:
            for item, status in zip(body["tasks"], reply["tasks"], strict=True):
                if item["known_state"] != status["state"] or "code" in status:
                    return reply
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            next_end = tasks.seconds_to_next_end() or RENEWAL_POLL_S
            await asyncio.sleep(min(remaining_s, RENEWAL_POLL_S, next_end + 0.001))
            if tasks is not self.tasks:
                # The new incarnation refuses the call.
                return self.tasks.renew(body)
            reply = tasks.statuses(body)
        return reply

    def _set_behaviour(self, body: dict[str, Any]) -> None:
        """Change the injected faults, and lose all tasks on ``forget``."""
        if body.pop("forget", False):
            self._discard_tasks()
        changes = msgspec.convert(body, Behaviour)
        for name in body:
            setattr(self.settings.behaviour, name, getattr(changes, name))

    def _build_app(self) -> Litestar:
        @post("/v1/tasks/{call:str}", status_code=200)
        async def task_call(request: Request, call: str) -> Response[Any]:
            reply = await self._handle_call(call, await request.json())
            return Response(reply, status_code=409 if "name" in reply else 200)

        @get("/starts")
        async def starts() -> Response[Any]:
            return Response([start._asdict() for start in self.tasks.starts])

        @post("/faults", status_code=200)
        async def faults(request: Request) -> Response[Any]:
            self._set_behaviour(await request.json())
            return Response({})

        return Litestar([task_call, starts, faults], logging_config=None)


async def _serve(settings: StandinSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    upstream = StandinUpstream(settings)
    await upstream.start()
    await stop.wait()
    await upstream.stop()


app = typer.Typer(add_completion=False)


@app.command()
def serve(
    upstream_id: Annotated[str, typer.Option()],
    zone: Annotated[str, typer.Option()],
    rack: Annotated[str, typer.Option()],
    token: Annotated[str, typer.Option()],
    entry: Annotated[list[str], typer.Option(help="Base URL of an entry.")],
    fail_all: Annotated[bool, typer.Option()] = False,
    faults: Annotated[str, typer.Option(help="Injected faults as JSON.")] = "{}",
    port: Annotated[int, typer.Option()] = 0,
    slots: Annotated[int, typer.Option()] = 8,
    drain_s: Annotated[float, typer.Option()] = 10.0,
    starts_file: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Run a stand-in upstream until SIGTERM or SIGINT."""
    behaviour = msgspec.json.decode(faults, type=Behaviour)
    behaviour.fail_all = behaviour.fail_all or fail_all
    settings = StandinSettings(
        upstream_id,
        zone,
        rack,
        token,
        entry,
        slots=slots,
        port=port,
        drain_s=drain_s,
        starts_file=starts_file,
        behaviour=behaviour,
    )
    asyncio.run(_serve(settings))


def run() -> None:
    """Run the command-line application."""
    app()


if __name__ == "__main__":
    run()
