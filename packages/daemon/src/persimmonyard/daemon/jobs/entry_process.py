"""The entry role of the job service, which sends calls to the leader."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from persimmonyard.daemon.background import BackgroundTasks
from persimmonyard.daemon.http_server import SMALL_BODY_BYTES, HttpServer
from persimmonyard.daemon.intake import Intake
from persimmonyard.daemon.jobs.durations import derive_durations
from persimmonyard.daemon.jobs.inspection import inspection_server
from persimmonyard.daemon.jobs.leader_client import LeaderClient
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.settings import (
    JobSettings,
    load_job_settings,
    peer_seeds,
)
from persimmonyard.daemon.jobs.stall_clock import StallClock
from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import UserError
from persimmonyard.replication import boottime_now

__all__ = ["JobEntryProcess"]

# Time without an answer of a leader after which an entry probes for one, and
# the timeout of that probe, in seconds.
_PROBE_AFTER_S = 2.5
_PROBE_TIMEOUT_S = 0.7


class JobEntryProcess:
    """A process in the entry role.

    ``build_apps`` returns the applications for callers and for readiness.
    """

    def __init__(
        self,
        settings: JobSettings,
        settings_path: Path,
        build_apps: Callable[["JobEntryProcess"], tuple[Any, Any]],
    ):
        self._settings_path = settings_path
        self._settings = settings
        self._settings_changed_ns = 0
        self._build_apps = build_apps
        self._log = get_logger("entry")
        self._durations = derive_durations(settings.bounds)
        self.client = LeaderClient(peer_seeds(settings), self._durations.failover_s)
        self._intake = Intake(settings.intake_limits())
        self.metrics = JobMetrics()
        self.metrics.watch_intake(self._intake)
        self.metrics.add_gauge(
            "ready", "1 if callers should be sent here.", lambda: self._leader_reached
        )
        self.stall_clock = StallClock()
        self._background = BackgroundTasks(self._log)
        self.stopping = False
        self._leader_reached = False
        self._probe_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the servers for callers, readiness and inspection."""
        callers, readiness = self._build_apps(self)
        addresses = self._settings.addresses
        self._caller_server = self._http_server(callers, "callers", addresses.callers)
        self._readiness_server = self._http_server(
            readiness, "readiness", addresses.readiness, SMALL_BODY_BYTES
        )
        await self._caller_server.start()
        await self._readiness_server.start()
        self._inspection = inspection_server(
            self.metrics,
            self._dump,
            addresses.metrics_host(),
            addresses.metrics_port,
            self._intake,
        )
        await self._inspection.start()
        self._background.start("stall clock", self.stall_clock.run)
        self._log.info("listening", callers=addresses.callers)

    async def stop(self) -> None:
        """Report as not ready, then finish the calls in progress and stop."""
        self.stopping = True
        await asyncio.sleep(self._durations.notice_s)
        self._caller_server.stop_listening()
        await self._caller_server.stop()
        await self._readiness_server.stop()
        await self._inspection.stop()
        self._background.cancel()
        await self.client.close()

    def _dump(self) -> dict[str, Any]:
        """Return the state of this process for ``GET /dump``."""
        return {
            "stopping": self.stopping,
            "leader_reached": self._leader_reached,
            "leader_heard_s_ago": boottime_now() - self.client.leader_seen_at,
            "connections": self._caller_server.connection_count(),
        }

    def reload(self) -> None:
        """Read the settings file again and add its seeds."""
        try:
            settings = load_job_settings(self._settings_path)
        except UserError as error:
            self._log.error("settings refused", reason=error.message)
            return
        self.client.add_seeds(peer_seeds(settings))
        self._log.info("settings reloaded", seeds=settings.group.seeds)

    def _reload_if_changed(self) -> None:
        """Read the settings again if the file has changed without a signal."""
        try:
            changed_ns = self._settings_path.stat().st_mtime_ns
        except OSError as error:
            self._log.error("settings refused", reason=str(error))
            return
        if changed_ns != self._settings_changed_ns:
            self._settings_changed_ns = changed_ns
            self.reload()

    def ready(self) -> bool:
        """Return whether the load balancer should send callers here.

        If no leader has answered recently, a probe is started in the
        background and the result of the previous one is returned.
        """
        if self.stopping:
            return False
        if boottime_now() - self.client.leader_seen_at < _PROBE_AFTER_S:
            self._leader_reached = True
            return True
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.create_task(self._probe())
        return self._leader_reached

    async def _probe(self) -> None:
        leader_reached = await self.client.probe(_PROBE_TIMEOUT_S)
        if not leader_reached:
            # All control instances that are known here may have been replaced.
            self._reload_if_changed()
        if leader_reached != self._leader_reached:
            self._log.info("readiness changed", leader_reached=leader_reached)
        self._leader_reached = leader_reached

    def _http_server(
        self, app: Any, listener: str, address: str, body_bytes: int | None = None
    ) -> HttpServer:
        host, port = self._settings.addresses.listen_on(address)
        drain_s = self._durations.drain_s
        return HttpServer(app, host, port, drain_s, self._intake, listener, body_bytes)
