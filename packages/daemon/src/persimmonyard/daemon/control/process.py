"""One control process: replica, controllers, gRPC service, HTTP port."""

import asyncio
from pathlib import Path
from typing import Any

import grpc
from litestar import Litestar, get

from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.daemon.control.scheduling import SchedulingController
from persimmonyard.daemon.control.service import ControlService
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.control.views import status
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.settings import Settings
from persimmonyard.replication import Replica
from persimmonyard.wire.generated import control_pb2_grpc

__all__ = ["ControlProcess"]

LEADERSHIP_CHECK_S = 0.05


class ControlProcess:
    """Run the control role."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._logger = get_logger("control")
        self._ledger = Ledger()
        self._sessions = SessionController(self._ledger)
        self._scheduling = SchedulingController(self._ledger, self._sessions)
        self._upstreams = UpstreamController(self._ledger)
        self._ledger.controllers = [
            self._sessions,
            self._scheduling,
            self._upstreams,
        ]
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start the replica, the services and the controllers."""
        settings = self._settings
        folder = Path(settings.control.data_folder)
        replica = Replica(settings.process.name, folder, self._ledger)
        self._ledger.replica = replica
        await replica.start()
        self._server = grpc.aio.server()
        service = ControlService(
            self._ledger, self._sessions, self._scheduling, self._upstreams
        )
        control_pb2_grpc.add_ControlServicer_to_server(service, self._server)
        port = self._server.add_insecure_port(settings.control.address)
        await self._server.start()
        self._http = HttpServer(
            self._build_app(),
            settings.http.host,
            settings.http.port,
            settings.shutdown.drain_s,
        )
        await self._http.start()
        for run in (
            self._watch_leadership,
            self._sessions.run,
            self._scheduling.run,
            self._upstreams.run,
        ):
            self._tasks.append(asyncio.create_task(run()))
        self._logger.info("listening", grpc_port=port, http_port=self._http.port)

    async def stop(self) -> None:
        """Stop the controllers, the services and the replica."""
        for task in self._tasks:
            task.cancel()
        await self._server.stop(1.0)
        await self._http.stop()
        assert self._ledger.replica is not None
        await self._ledger.replica.stop()

    async def _watch_leadership(self) -> None:
        while True:
            self._ledger.check_leadership()
            await asyncio.sleep(LEADERSHIP_CHECK_S)

    def _build_app(self) -> Litestar:
        ledger = self._ledger

        @get("/dump")
        async def dump() -> dict[str, Any]:
            return {
                "process": self._settings.process.name,
                "leading": ledger.leading,
                "state": status(ledger.machine),
            }

        @get("/health")
        async def health() -> dict[str, bool]:
            return {"leading": ledger.leading}

        return Litestar([dump, health], logging_config=None)
