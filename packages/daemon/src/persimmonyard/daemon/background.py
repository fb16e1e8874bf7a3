"""Loops that run in the background for as long as a process serves."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ["BackgroundTasks"]

RESTART_DELAY_S = 1.0


class BackgroundTasks:
    """Runs loops, and starts a loop again after an unexpected error.

    Without the restart, one error would leave a process that looks healthy
    but no longer watches its leadership or keeps its session, for example::

        tasks = BackgroundTasks(log)
        tasks.start("leadership", self._watch_leadership)
        ...
        tasks.cancel()
    """

    def __init__(self, log: Any, restart_delay_s: float = RESTART_DELAY_S):
        self._log = log
        self._restart_delay_s = restart_delay_s
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run the loop ``run`` until ``cancel``; ``name`` is only logged."""
        self._tasks.append(asyncio.create_task(self._keep_running(name, run)))

    def cancel(self) -> None:
        """Cancel all loops."""
        for task in self._tasks:
            task.cancel()

    async def _keep_running(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await run()
                self._log.error("background loop ended", loop=name)
            except Exception:
                self._log.exception("background loop failed", loop=name)
            await asyncio.sleep(self._restart_delay_s)
