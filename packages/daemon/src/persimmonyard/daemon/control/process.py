"""A control process: replica, controllers, gRPC service and HTTP server."""

import asyncio
import gc
import random
from pathlib import Path

import grpc
from litestar import Litestar

from persimmonyard.daemon.background import BackgroundTasks
from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.inspection import (
    ControlComponents,
    build_inspection_app,
)
from persimmonyard.daemon.control.operator_auth import OperatorAuthenticator
from persimmonyard.daemon.control.replicated_state import ReplicatedState
from persimmonyard.daemon.control.retention import RetentionController
from persimmonyard.daemon.control.scheduling import SchedulingController
from persimmonyard.daemon.control.service import ControlService
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.control.transport import MESSAGE_OPTIONS, GrpcTransport
from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.disk_log import log_disk_event
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.intake import Intake
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.settings import Settings
from persimmonyard.replication import (
    LOG_DAMAGED,
    CoreConfig,
    DiskEvent,
    FileStorage,
    LogDamagedError,
    Replica,
)
from persimmonyard.wire.generated import control_pb2_grpc

__all__ = ["ControlProcess"]

LEADERSHIP_CHECK_INTERVAL_S = 0.25


class ControlProcess:
    """Run the control role."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._logger = get_logger("control")
        self._intake = Intake(settings.intake_limits())
        self._replicated_state = ReplicatedState()
        self._sessions = SessionController(self._replicated_state)
        self._assignments = AssignmentController(self._replicated_state, self._sessions)
        self._scheduling = SchedulingController(
            self._replicated_state, self._assignments
        )
        self._upstreams = UpstreamController(self._replicated_state)
        self._retention = RetentionController(self._replicated_state)
        self._replicated_state.controllers = [
            self._sessions,
            self._assignments,
            self._scheduling,
            self._upstreams,
            self._retention,
        ]
        self._http: HttpServer | None = None
        self._background = BackgroundTasks(self._logger)
        # Resolves to a result code when the process must exit.
        self.failure: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    async def start(self) -> None:
        """Start the replica, the servers and the controllers."""
        settings = self._settings
        name = settings.process.name
        self._transport = GrpcTransport(name, settings.control.replicas)
        self._replica = self._build_replica()
        self._replicated_state.replica = self._replica
        self._server = grpc.aio.server(options=MESSAGE_OPTIONS)
        service = ControlService(
            self._replicated_state,
            self._sessions,
            self._assignments,
            self._scheduling,
            self._upstreams,
        )
        control_pb2_grpc.add_ControlServicer_to_server(service, self._server)
        control_pb2_grpc.add_ReplicationServicer_to_server(
            self._transport, self._server
        )
        port = self._server.add_insecure_port(settings.control.address)
        try:
            await self._replica.start()
        except LogDamagedError as error:
            self._logger.error("the data folder is damaged", error=str(error))
            self._fail(LOG_DAMAGED)
            return
        # Exclude the restored state from garbage collection.  A full
        # collection with 47,000 tasks blocks the event loop for 0.14 s and
        # frees nothing, because records form no reference cycles.
        gc.freeze()
        await self._server.start()
        self._http = HttpServer(
            self._build_inspection_app(),
            settings.http.host,
            settings.http.port,
            settings.shutdown.drain_s,
            self._intake,
            "inspection",
        )
        await self._http.start()
        self._background.start("leadership", self._watch_leadership)
        self._background.start("assignments", self._assignments.run)
        self._background.start("scheduling", self._scheduling.run)
        self._background.start("upstreams", self._upstreams.run)
        self._background.start("retention", self._retention.run)
        self._logger.info("listening", grpc_port=port, http_port=self._http.port)

    def _build_replica(self) -> Replica:
        settings = self._settings
        config = CoreConfig(
            replica_id=settings.process.name,
            incarnation="",
            peers=tuple(settings.control.replicas),
            seed=random.getrandbits(32),
        )
        storage = FileStorage(Path(settings.control.data_folder))
        return Replica(
            config,
            storage,
            self._transport,
            self._replicated_state,
            self._fail,
            self._on_disk_event,
        )

    def _on_disk_event(self, event: DiskEvent) -> None:
        log_disk_event(self._logger, event)

    def _fail(self, code: int) -> None:
        if not self.failure.done():
            self._logger.error("replica stopped", code=code)
            self.failure.set_result(code)

    async def stop(self) -> None:
        """Stop the replica, which transfers leadership, then the servers."""
        await self._replica.stop()
        if self._http is not None:
            # Ends the sessions, so that entries move to the next leader while
            # the leases of this one are valid.
            self._replicated_state.check_leadership()
        self._background.cancel()
        await self._server.stop(1.0)
        if self._http is not None:
            await self._http.stop()

    async def _watch_leadership(self) -> None:
        while True:
            self._replicated_state.check_leadership()
            await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)

    def _build_inspection_app(self) -> Litestar:
        components = ControlComponents(
            self._settings.process.name,
            self._replicated_state,
            self._replica,
            self._sessions,
            self._assignments,
            self._scheduling,
            self._upstreams,
        )
        token_hashes = self._settings.access.operator_token_hashes
        return build_inspection_app(components, OperatorAuthenticator(token_hashes))
