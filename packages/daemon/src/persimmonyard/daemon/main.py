"""The daemon's command line, which runs one process in one role."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import typer

from persimmonyard.daemon.logs import configure_logging
from persimmonyard.daemon.serving import DaemonProcess, serve_process
from persimmonyard.daemon.settings import Settings, load_settings
from persimmonyard.model import ResultCode, UserError
from persimmonyard.replication import initialize

__all__ = ["run"]

app = typer.Typer(add_completion=False, help="Run one persimmonyard process.")


def _build_process(settings: Settings) -> DaemonProcess:
    if settings.process.role == "entry":
        from persimmonyard.daemon.entry.process import EntryProcess

        return EntryProcess(settings)
    from persimmonyard.daemon.control.process import ControlProcess

    return ControlProcess(settings)


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
    sys.exit(
        asyncio.run(serve_process(lambda: _build_process(loaded), loaded.process.role))
    )


@app.command()
def init(settings: SettingsFile) -> None:
    """Initialize the data folder of a member of a new group.

    Run it once for each control process of a new deployment.  Do not run it
    for a replica that lost its disk, because that replica recovers by itself.
    """
    loaded = load_settings(settings)
    if loaded.process.role != "control":
        raise UserError(
            ResultCode.BAD_SETTING, "only control processes have a data folder"
        )
    if loaded.process.name not in loaded.control.replicas:
        raise UserError(
            ResultCode.BAD_SETTING,
            f"control.replicas does not name {loaded.process.name!r}",
        )
    folder = Path(loaded.control.data_folder)
    try:
        initialize(folder, loaded.process.name, loaded.control.replicas)
    except OSError as error:
        raise UserError(
            ResultCode.BAD_SETTING, f"cannot initialize the data folder: {error}"
        ) from error


def run() -> None:
    """Run the command; print a ``UserError`` as one line and exit with 2."""
    try:
        app()
    except UserError as error:
        print(f"persimmonyardd: {error.message}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    run()
