"""The daemon's command: one process, one role."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated, Protocol

import typer

from persimmonyard.daemon.logs import get_logger, set_up_logs
from persimmonyard.daemon.settings import Settings, load_settings
from persimmonyard.model import UserError

__all__ = ["run"]

app = typer.Typer(add_completion=False, help="Run one persimmonyard process.")


class Role(Protocol):
    """What the daemon runs."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Shut down gracefully."""


def _build(settings: Settings) -> Role:
    if settings.process.role == "entry":
        from persimmonyard.daemon.entry.process import EntryProcess

        return EntryProcess(settings)
    from persimmonyard.daemon.control.process import ControlProcess

    return ControlProcess(settings)


async def _serve(settings: Settings) -> None:
    logger = get_logger("daemon")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    role = _build(settings)
    await role.start()
    logger.info("started", role=settings.process.role)
    await stop.wait()
    logger.info("stopping")
    await role.stop()
    logger.info("stopped")


@app.command()
def serve(
    settings: Annotated[Path, typer.Option(help="The TOML settings file.")],
) -> None:
    """Run the process that the settings file describes."""
    loaded = load_settings(settings)
    set_up_logs(loaded.log.level, loaded.process.name, loaded.process.zone)
    asyncio.run(_serve(loaded))


def run() -> None:
    """Run the command and print a user's mistake as one line."""
    try:
        app()
    except UserError as error:
        print(f"persimmonyardd: {error.message}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    run()
