"""Serves one process until a signal or a failure.

This module imports no command line, whose libraries would stay in the memory
of every process.
"""

import asyncio
import signal
from collections.abc import Callable
from typing import Any, Protocol

from persimmonyard.daemon.logs import get_logger

__all__ = ["FAILURE_EXIT_STATUS", "DaemonProcess", "serve_process"]

FAILURE_EXIT_STATUS = 3


class DaemonProcess(Protocol):
    """A process that the daemon runs; its role decides the implementation.

    It may have an attribute ``failure``, a future that receives a result
    code if the process cannot continue.
    """

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Shut down gracefully."""


async def serve_process(build: Callable[[], DaemonProcess], role: str) -> int:
    """Serve until a signal or a failure; return the exit status.

    ``build`` is called in the event loop.  ``role`` is only logged.  If the
    process has a method ``reload``, it is called on SIGHUP; otherwise SIGHUP
    is only logged.
    """
    logger = get_logger("daemon")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    process = build()
    # Without a handler, SIGHUP would end the process without a shutdown.  The
    # kernel sends it to a process that is frozen by SIGSTOP when the shell
    # that started it exits.
    reload = getattr(process, "reload", lambda: logger.info("hangup ignored"))
    loop.add_signal_handler(signal.SIGHUP, reload)
    failure: asyncio.Future[int] | None = getattr(process, "failure", None)
    if failure is not None:
        failure.add_done_callback(lambda _: stop.set())
    exit_status = await _start_unless_stopped(process, stop, logger)
    if exit_status is not None:
        return exit_status
    logger.info("started", role=role)
    await stop.wait()
    logger.info("stopping")
    await process.stop()
    logger.info("stopped")
    return FAILURE_EXIT_STATUS if failure is not None and failure.done() else 0


async def _start_unless_stopped(
    process: DaemonProcess, stop: asyncio.Event, logger: Any
) -> int | None:
    """Start the process; return None if it runs, else the exit status.

    A start may take long, because it waits for a disk that refuses writes, so
    a signal cancels it.
    """
    starting = asyncio.create_task(process.start())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if not starting.done():
        starting.cancel()
        logger.info("stopped during the start")
        return 0
    try:
        starting.result()
    except (OSError, RuntimeError) as error:
        # An address or the data folder is in use, for example.
        logger.error("start failed", error=str(error))
        return FAILURE_EXIT_STATUS
    return None
