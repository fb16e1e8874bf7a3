"""Wiring and life cycle of an entry process."""

import asyncio
import secrets
import time
from typing import Any

from persimmonyard.daemon.background import BackgroundTasks
from persimmonyard.daemon.entry.access import Authenticator
from persimmonyard.daemon.entry.announcements import AnnouncementApi
from persimmonyard.daemon.entry.app import EntryApp
from persimmonyard.daemon.entry.dispatch import Dispatcher
from persimmonyard.daemon.entry.filters import FilterChain
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.operator_api import OperatorApi
from persimmonyard.daemon.entry.requests_api import RequestApi
from persimmonyard.daemon.entry.task_client import TaskClient
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.intake import Intake
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.metrics import EntryMetrics
from persimmonyard.daemon.settings import Settings
from persimmonyard.wire import EntryBeat, LeaderBeat

__all__ = ["EntryProcess"]

HANDOVER_POLL_INTERVAL_S = 0.05


class EntryProcess:
    """Run the entry role: the HTTP server and the session with the leader."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._logger = get_logger("entry")
        self._intake = Intake(settings.intake_limits())
        self._entry_id = f"{settings.process.name}/{secrets.token_hex(4)}"
        self._session_count = 0
        self._stopping = False
        self._state = LocalState()
        self._leader = LeaderClient(
            settings.control.replicas,
            self._make_beat,
            self._handle_beat,
            settings.limits.queued_commands,
        )
        self._task_client = TaskClient()
        self._dispatcher = Dispatcher(self._state, self._leader, self._task_client)
        authenticator = Authenticator(settings.access, self._state)
        self._chain = FilterChain(settings, self._state, authenticator)
        self._announcements = AnnouncementApi(self._state, self._leader, self._chain)
        self._app = self._build_app()

    def _build_app(self) -> EntryApp:
        limits = self._settings.limits
        requests = RequestApi(limits, self._state, self._leader, self._chain)
        operators = OperatorApi(limits, self._leader, self._chain, self._dump)
        metrics = EntryMetrics()
        metrics.watch_intake(self._intake)
        self._add_gauges(metrics)
        return EntryApp(
            self._state, self._chain, metrics, requests, operators, self._announcements
        )

    def _add_gauges(self, metrics: EntryMetrics) -> None:
        state = self._state
        metrics.add_gauge("attempts", "Attempts in hand.", self._dispatcher.count)
        metrics.add_gauge(
            "lease_valid", "1 under a configuration lease.", state.lease_valid
        )
        metrics.add_gauge(
            "configuration_version",
            "Version of the local configuration.",
            lambda: state.configuration.version,
        )
        metrics.add_gauge("sessions", "Sessions begun.", lambda: self._session_count)
        metrics.add_gauge("waiting", "Calls that wait.", state.waiters.count)
        metrics.add_gauge(
            "queued_commands",
            "Commands that wait for the control leader.",
            self._leader.queue_length,
        )
        metrics.add_gauge(
            "connections", "Open connections.", lambda: self._http.connection_count()
        )

    async def start(self) -> None:
        """Start the session and the HTTP server."""
        settings = self._settings
        self._background = BackgroundTasks(self._logger)
        self._background.start("session", self._leader.run)
        self._http = HttpServer(
            self._app.build(),
            settings.http.host,
            settings.http.port,
            settings.shutdown.drain_s,
            self._intake,
            "callers",
        )
        await self._http.start()
        self._logger.info("listening", http_port=self._http.port)

    async def stop(self) -> None:
        """Shut down gracefully.

        Announces the shutdown to the leader, keeps accepting calls for
        ``notice_s`` seconds, then refuses new ones.  Open calls and the
        handover of attempts get at most ``drain_s`` seconds more.
        """
        settings = self._settings.shutdown
        deadline = time.monotonic() + settings.notice_s + settings.drain_s
        self._app.stopping = True
        self._stopping = True
        self._leader.request_beat()
        await asyncio.sleep(settings.notice_s)
        self._chain.stop_filter.refusing = True
        self._http.stop_listening()
        self._state.waiters.stop()
        await asyncio.gather(self._http.stop(), self._hand_over(deadline))
        self._background.cancel()
        await self._dispatcher.close()
        await self._task_client.close()
        await self._leader.close()

    async def _hand_over(self, deadline: float) -> None:
        """Wait until other entries have taken over all attempts."""
        # An attempt is dropped once an upstream or the leader reports that its
        # fence is stale, because another entry has taken it over.
        while self._dispatcher.count() and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(HANDOVER_POLL_INTERVAL_S)
        self._logger.info("attempts handed over", left=self._dispatcher.count())

    def _make_beat(self, sequence: int) -> EntryBeat:
        if sequence == 1:
            self._session_count += 1
            self._announcements.clear_registered()
            zone = self._settings.process.zone
            return self._state.make_beat(self._entry_id, zone, 1, self._stopping)
        return self._state.make_beat("", "", sequence, self._stopping)

    def _handle_beat(self, beat: LeaderBeat, sent_at: float) -> bool:
        before = self._state.configuration.version
        if not self._state.handle_beat(beat, sent_at):
            return False
        if self._state.configuration.version != before:
            self._leader.request_beat()
        for order in beat.orders:
            self._dispatcher.handle_order(order)
        return True

    def _dump(self) -> dict[str, Any]:
        state = self._state
        return {
            "process": self._entry_id,
            "zone": self._settings.process.zone,
            "stopping": self._stopping,
            "configuration_version": state.configuration.version,
            "lease_valid": state.lease_valid(),
            "lease_left_s": round(max(0.0, state.lease_until - time.monotonic()), 3),
            "sessions": self._session_count,
            "attempts": self._dispatcher.count(),
            "waiting": state.waiters.count(),
            "queued_commands": self._leader.queue_length(),
            "connections": self._http.connection_count(),
        }
