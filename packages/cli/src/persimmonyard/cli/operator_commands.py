"""Commands for operators: fleet file, zones, classes, accounts, status."""

from pathlib import Path
from typing import Annotated, Any

import typer

from persimmonyard.cli.context import context
from persimmonyard.cli.fleet_file import parse_shape, read_fleet_file
from persimmonyard.cli.formatting import accounts_text, classes_text, status_text
from persimmonyard.model import ResultCode, UserError

__all__ = ["account_app", "apply", "class_app", "status", "zone_app"]

zone_app = typer.Typer(
    help="Take availability zones in and out of service.", no_args_is_help=True
)
class_app = typer.Typer(
    help="Set classes of work and their targets.", no_args_is_help=True
)
account_app = typer.Typer(
    help="Set client accounts and their guarantees.", no_args_is_help=True
)

Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until the change is in force everywhere.")
]
Version = Annotated[
    int | None,
    typer.Option(help="Apply only if the configuration still has this version."),
]


def apply(path: Path, wait: Wait = False, expected_version: Version = None) -> None:
    """Apply a fleet file (TOML, or JSON if its name ends with .json)."""
    context.apply(read_fleet_file(path), wait, expected_version)


def status() -> None:
    """Show counts of requests, and all upstreams."""
    context.show(context.operator().get("/v1/operator/status"), status_text)


@zone_app.command("out")
def zone_out(name: str, wait: Wait = False, expected_version: Version = None) -> None:
    """Start nothing more in an availability zone."""
    change = {"zone": {"name": name, "in_service": False}}
    context.apply([change], wait, expected_version)


@zone_app.command("in")
def zone_in(name: str, wait: Wait = False, expected_version: Version = None) -> None:
    """Put an availability zone back into service."""
    change = {"zone": {"name": name, "in_service": True}}
    context.apply([change], wait, expected_version)


@class_app.command("set")
def class_set(
    name: str,
    within_s: Annotated[
        float | None, typer.Option(help="Seconds from submission to the answer.")
    ] = None,
    done_by: Annotated[
        str | None, typer.Option(help="Time of day of the answer in UTC, HH:MM.")
    ] = None,
    start_within_s: Annotated[
        float | None, typer.Option(help="Longest wait before the first start.")
    ] = None,
    wait: Wait = False,
    expected_version: Version = None,
) -> None:
    """Set a class of work and its target, in place of the earlier one."""
    fields = {
        "name": name,
        "within_s": within_s,
        "done_by": done_by,
        "start_within_s": start_within_s,
    }
    context.apply([{"work_class": fields}], wait, expected_version)


@class_app.command("remove")
def class_remove(
    name: str, wait: Wait = False, expected_version: Version = None
) -> None:
    """Remove a class of work."""
    context.apply([{"remove": f"class/{name}"}], wait, expected_version)


@class_app.command("list")
def class_list() -> None:
    """Show the classes of work."""
    by_name = context.configuration()["class_by_name"]
    context.show(list(by_name.values()), classes_text)


@account_app.command("set")
def account_set(
    name: str,
    token_hash: Annotated[
        list[str] | None,
        typer.Option(help="Hash of a token, see hash-token; may be repeated."),
    ] = None,
    guarantee: Annotated[
        list[str] | None,
        typer.Option(
            help="Guaranteed shape, like gang=4,accelerators=2,cores=8,"
            "memory_mb=16384,adjacency=rack; may be repeated."
        ),
    ] = None,
    no_guarantee: Annotated[
        bool, typer.Option("--no-guarantee", help="Take all guarantees away.")
    ] = False,
    max_waiting: Annotated[
        int | None, typer.Option(help="Most requests in progress at a time.")
    ] = None,
    max_accelerators: Annotated[
        int | None, typer.Option(help="Most accelerators in use at a time.")
    ] = None,
    wait: Wait = False,
    expected_version: Version = None,
) -> None:
    """Set a client account; what is not given stays as it is."""
    if guarantee and no_guarantee:
        raise UserError(
            ResultCode.BAD_FIELD,
            "--guarantee and --no-guarantee exclude each other",
            "guarantee",
        )
    given: dict[str, Any] = {
        "token_hashes": token_hash or None,
        "guarantee": [parse_shape(text) for text in guarantee or ()] or None,
        "max_waiting": max_waiting,
        "max_accelerators": max_accelerators,
    }
    if no_guarantee:
        given["guarantee"] = []
    configuration = context.configuration()
    account = configuration["client_account_by_name"].get(name, {"name": name})
    for field, value in given.items():
        if value is not None:
            account[field] = value
    # Another operator's change between the read and this one is a conflict,
    # because the command would undo it.
    if expected_version is None:
        expected_version = configuration["version"]
    context.apply([{"client_account": account}], wait, expected_version)


@account_app.command("remove")
def account_remove(
    name: str, wait: Wait = False, expected_version: Version = None
) -> None:
    """Remove a client account."""
    context.apply([{"remove": f"account/{name}"}], wait, expected_version)


@account_app.command("list")
def account_list() -> None:
    """Show the client accounts and their guarantees."""
    by_name = context.configuration()["client_account_by_name"]
    context.show(list(by_name.values()), accounts_text)
