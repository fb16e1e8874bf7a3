"""The daemon's command: one process, one role."""

import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Protocol

import typer

from persimmonyard.daemon.logs import configure_logging, get_logger
from persimmonyard.daemon.settings import Settings, load_settings
from persimmonyard.model import ResultCode, UserError
from persimmonyard.replication import initialize

__all__ = ["DaemonProcess", "run", "serve_process"]

EXIT_FAILED = 3

app = typer.Typer(add_completion=False, help="Run one persimmonyard process.")


class DaemonProcess(Protocol):
    """What the daemon runs.

    A role may have an attribute ``failure``, a future that gets a result
    code if the process cannot go on.
    """

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Shut down gracefully."""


def _build(settings: Settings) -> DaemonProcess:
    if settings.process.role == "entry":
        from persimmonyard.daemon.entry.process import EntryProcess

        return EntryProcess(settings)
    from persimmonyard.daemon.control.process import ControlProcess

    return ControlProcess(settings)


async def serve_process(build: Callable[[], DaemonProcess], name: str) -> int:
    """Serve until a signal or a failure; return the exit status.

    ``build`` is called in the event loop.  A role with a method ``reload`` is
    told of SIGHUP.
    """
    logger = get_logger("daemon")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    role = build()
    reload = getattr(role, "reload", None)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    failure: asyncio.Future[int] | None = getattr(role, "failure", None)
    if failure is not None:
        failure.add_done_callback(lambda _: stop.set())
    await role.start()
    logger.info("started", role=name)
    await stop.wait()
    logger.info("stopping")
    await role.stop()
    logger.info("stopped")
    return EXIT_FAILED if failure is not None and failure.done() else 0


SettingsFile = Annotated[Path, typer.Option(help="The TOML settings file.")]


@app.callback(invoke_without_command=True)
def serve(
    context: typer.Context,
    settings: Annotated[
        Path | None, typer.Option(help="The TOML settings file.")
    ] = None,
) -> None:
    """Run the process that the settings file describes."""
    if context.invoked_subcommand is not None:
        return
    if settings is None:
        raise UserError(ResultCode.BAD_SETTING, "give the file with --settings FILE")
    loaded = load_settings(settings)
    configure_logging(loaded.log.level, loaded.process.name, loaded.process.zone)
    sys.exit(asyncio.run(serve_process(lambda: _build(loaded), loaded.process.role)))


@app.command()
def init(settings: SettingsFile) -> None:
    """Set up the data folder of a fresh member of a new group.

    Run it once for each control process of a new deployment.  A replica that
    lost its disk must not be set up again: it recovers by itself.
    """
    loaded = load_settings(settings)
    if loaded.process.role != "control":
        raise UserError(ResultCode.BAD_SETTING, "only control processes keep data")
    if loaded.process.name not in loaded.control.replicas:
        raise UserError(
            ResultCode.BAD_SETTING,
            f"control.replicas does not name {loaded.process.name!r}",
        )
    folder = Path(loaded.control.data_folder)
    try:
        initialize(folder, loaded.process.name, loaded.control.replicas)
    except OSError as error:
        raise UserError(ResultCode.BAD_SETTING, f"cannot set up: {error}") from error


def run() -> None:
    """Run the command and print a user's mistake as one line."""
    try:
        app()
    except UserError as error:
        print(f"persimmonyardd: {error.message}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    run()
