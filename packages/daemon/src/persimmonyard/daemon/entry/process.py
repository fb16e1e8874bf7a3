"""One entry process."""

import asyncio
import secrets
from typing import Any

from persimmonyard.daemon.entry.api import EntryApi
from persimmonyard.daemon.entry.dispatch import Dispatcher
from persimmonyard.daemon.entry.filters import FilterChain
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.upstream_calls import UpstreamCalls
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.settings import Settings
from persimmonyard.wire import EntryBeat, LeaderBeat

__all__ = ["EntryProcess"]


class EntryProcess:
    """Run the entry role."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._logger = get_logger("entry")
        self._entry_id = f"{settings.process.name}/{secrets.token_hex(4)}"
        self._state = LocalState()
        self._leader = LeaderClient(
            settings.control.replicas, self._make_beat, self._take_beat
        )
        self._calls = UpstreamCalls()
        self._dispatcher = Dispatcher(self._state, self._leader, self._calls)
        self._chain = FilterChain(settings, self._state)
        self._api = EntryApi(settings, self._state, self._leader, self._chain)

    async def start(self) -> None:
        """Start the session and the HTTP server."""
        settings = self._settings
        self._session = asyncio.create_task(self._leader.run())
        self._http = HttpServer(
            self._api.build_app(self._dump),
            settings.http.host,
            settings.http.port,
            settings.shutdown.drain_s,
        )
        await self._http.start()
        self._logger.info("listening", http_port=self._http.port)

    async def stop(self) -> None:
        """Finish the calls in progress and hand attempts over."""
        self._chain.stop.stopping = True
        self._leader.beat_soon()
        await self._http.stop()
        self._session.cancel()
        await self._dispatcher.close()
        await self._calls.close()
        await self._leader.close()

    def _make_beat(self, sequence: int) -> EntryBeat:
        return EntryBeat(
            entry_id=self._entry_id,
            zone=self._settings.process.zone,
            sequence=sequence,
            configuration_version=self._state.configuration.version,
            heartbeats=self._state.take_heartbeats(),
            watch=self._state.watched_ids(),
            stopping=self._chain.stop.stopping,
        )

    def _take_beat(self, beat: LeaderBeat, sent_at: float) -> None:
        before = self._state.configuration.version
        self._state.take_beat(beat, sent_at)
        if self._state.configuration.version != before:
            self._leader.beat_soon()
        for order in beat.orders:
            self._dispatcher.take_order(order)

    def _dump(self) -> dict[str, Any]:
        return {
            "process": self._entry_id,
            "configuration_version": self._state.configuration.version,
            "lease_valid": self._state.lease_valid(),
            "attempts": self._dispatcher.count(),
        }
