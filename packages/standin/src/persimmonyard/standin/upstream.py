"""A stand-in upstream: HTTP for tasks, announcements to entries."""

import asyncio
import contextlib
import itertools
import secrets
import signal
import socket
import time
from dataclasses import dataclass, field
from typing import Annotated, Any

import httpx
import typer
import uvicorn
from litestar import Litestar, Request, Response, post

from persimmonyard.standin.tasks import Behaviour, TaskTable

__all__ = ["StandinSettings", "StandinUpstream", "run"]

ANNOUNCE_TIMEOUT_S = 2.0
RETRY_S = 0.3


@dataclass
class StandinSettings:
    """Identity, capacity and entries of a stand-in."""

    upstream_id: str
    zone: str
    rack: str
    token: str
    entries: list[str]
    accelerators: int = 8
    cores: int = 64
    memory_mb: int = 262_144
    slots: int = 8
    behaviour: Behaviour = field(default_factory=Behaviour)


class StandinUpstream:
    """One upstream on a loopback port that the kernel chooses."""

    def __init__(self, settings: StandinSettings):
        self.settings = settings
        self.incarnation = secrets.token_hex(4)
        self.tasks = TaskTable(self.incarnation, settings.slots, settings.behaviour)
        self.leaving = False
        self.lease_until = 0.0
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        # asyncio does not set this on sockets that it is given; without it
        # each response takes about 40 ms.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self._socket.getsockname()[1]
        self._jobs: list[asyncio.Task] = []

    async def start(self) -> None:
        """Serve and announce."""
        config = uvicorn.Config(
            self._build_app(), log_config=None, access_log=False, lifespan="off"
        )
        self._server = uvicorn.Server(config)
        self._server.capture_signals = contextlib.nullcontext  # type: ignore
        self._jobs.append(
            asyncio.create_task(self._server.serve(sockets=[self._socket]))
        )
        self._announcer = asyncio.create_task(self._announce_loop())

    async def stop(self) -> None:
        """Stop announcing and serving."""
        self._announcer.cancel()
        self._server.should_exit = True
        await asyncio.gather(*self._jobs)

    async def leave(self) -> None:
        """Announce that this upstream is leaving."""
        self.leaving = True
        async with httpx.AsyncClient(trust_env=False) as client:
            await self._announce(client, self.settings.entries[0])

    async def _announce_loop(self) -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            for entry in itertools.cycle(self.settings.entries):
                pause = RETRY_S
                with contextlib.suppress(httpx.HTTPError, KeyError, ValueError):
                    pause = await self._announce(client, entry)
                await asyncio.sleep(pause)

    async def _announce(self, client: httpx.AsyncClient, entry: str) -> float:
        if self.settings.behaviour.silent:
            return RETRY_S
        sent_at = time.monotonic()
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
        response = await client.post(
            f"{entry}/v1/upstreams/announce",
            json={"spec": spec, "sent_at": sent_at, "leaving": self.leaving},
            headers={"Authorization": f"Bearer {settings.token}"},
            timeout=ANNOUNCE_TIMEOUT_S,
        )
        reply = response.raise_for_status().json()
        self.lease_until = reply["sent_at"] + reply["lease_s"]
        return float(reply["heartbeat_s"])

    def _build_app(self) -> Litestar:
        @post("/v1/tasks/{call:str}", status_code=200)
        async def task_call(request: Request, call: str) -> Response[Any]:
            body = await request.json()
            await asyncio.sleep(self.settings.behaviour.answer_delay_s)
            if call == "renew":
                return Response(await self.tasks.renew(body))
            reply = self.tasks.handle(call, body)
            status = 409 if "name" in reply else 200
            return Response(reply, status_code=status)

        return Litestar([task_call], logging_config=None)


async def _serve(settings: StandinSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
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
) -> None:
    """Run one stand-in upstream until it is told to stop."""
    behaviour = Behaviour(fail_all=fail_all)
    settings = StandinSettings(
        upstream_id, zone, rack, token, entry, behaviour=behaviour
    )
    asyncio.run(_serve(settings))


def run() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    run()
