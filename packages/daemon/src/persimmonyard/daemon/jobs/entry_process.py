"""The entry role of the job service: it passes calls to the leader."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.jobs.durations import durations
from persimmonyard.daemon.jobs.inspection import inspection_server
from persimmonyard.daemon.jobs.leader_client import LeaderClient
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.settings import (
    JobSettings,
    load_job_settings,
    peer_seeds,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import UserError
from persimmonyard.replication import boottime_now

__all__ = ["JobEntryProcess"]

# Without an answer of a leader for this long, an entry asks again.
_FRESH_S = 2.5
_PROBE_S = 0.7


class JobEntryProcess:
    """Run the entry role.

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
        self._build_apps = build_apps
        self._log = get_logger("entry")
        self._durations = durations(settings.bounds)
        self.client = LeaderClient(peer_seeds(settings))
        self.metrics = JobMetrics()
        self.metrics.add_gauge(
            "ready", "1 if callers should be sent here.", lambda: self._reached
        )
        self.stopping = False
        self._reached = False
        self._probing: asyncio.Task | None = None

    async def start(self) -> None:
        """Serve callers and the load balancer."""
        callers, readiness = self._build_apps(self)
        addresses = self._settings.addresses
        self._callers = self._server(callers, addresses.callers)
        self._readiness = self._server(readiness, addresses.readiness)
        await self._callers.start()
        await self._readiness.start()
        self._inspection = inspection_server(
            self.metrics,
            self._dump,
            addresses.metrics_host(),
            addresses.metrics_port,
        )
        await self._inspection.start()
        self._log.info("listening", callers=addresses.callers)

    async def stop(self) -> None:
        """Leave the load balancer, then finish the calls in progress."""
        self.stopping = True
        await asyncio.sleep(self._durations.notice_s)
        self._callers.stop_listening()
        await self._callers.stop()
        await self._readiness.stop()
        await self._inspection.stop()
        await self.client.close()

    def _dump(self) -> dict[str, Any]:
        """Return what an operator sees of this process."""
        return {
            "stopping": self.stopping,
            "leader_reached": self._reached,
            "leader_heard_s_ago": boottime_now() - self.client.heard_at,
            "connections": self._callers.connection_count(),
        }

    def reload(self) -> None:
        """Take the seeds of the changed settings file."""
        try:
            settings = load_job_settings(self._settings_path)
        except UserError as error:
            self._log.error("settings refused", reason=error.message)
            return
        self.client.add_seeds(peer_seeds(settings))
        self._log.info("settings reloaded", seeds=settings.group.seeds)

    def ready(self) -> bool:
        """Return whether callers should be sent here.

        A leader that was not heard lately is asked in the background.
        """
        if self.stopping:
            return False
        if boottime_now() - self.client.heard_at < _FRESH_S:
            self._reached = True
            return True
        if self._probing is None or self._probing.done():
            self._probing = asyncio.create_task(self._probe())
        return self._reached

    async def _probe(self) -> None:
        reached = await self.client.probe(_PROBE_S)
        if reached != self._reached:
            self._log.info("readiness changed", leader_reached=reached)
        self._reached = reached

    def _server(self, app: Any, address: str) -> HttpServer:
        host, port = self._settings.addresses.listen_on(address)
        return HttpServer(app, host, port, self._durations.drain_s)
