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
    help="Manage work classes and their targets.", no_args_is_help=True
)
account_app = typer.Typer(
    help="Manage client accounts and their guarantees.", no_args_is_help=True
)

WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until the change is in force everywhere.")
]
ExpectedVersionOption = Annotated[
    int | None,
    typer.Option(help="Apply only if the configuration still has this version."),
]


def apply(
    path: Path, wait: WaitOption = False, expected_version: ExpectedVersionOption = None
) -> None:
    """Apply a fleet file (TOML, or JSON if its name ends with .json)."""
    context.apply(read_fleet_file(path), wait, expected_version)


def status() -> None:
    """Show the number of requests in each state, and all upstreams."""
    context.show(context.operator_client().get("/v1/operator/status"), status_text)


@zone_app.command("out")
def zone_out(
    name: str, wait: WaitOption = False, expected_version: ExpectedVersionOption = None
) -> None:
    """Take an availability zone out of service: no new work starts in it."""
    change = {"zone": {"name": name, "in_service": False}}
    context.apply([change], wait, expected_version)


@zone_app.command("in")
def zone_in(
    name: str, wait: WaitOption = False, expected_version: ExpectedVersionOption = None
) -> None:
    """Put an availability zone back into service."""
    change = {"zone": {"name": name, "in_service": True}}
    context.apply([change], wait, expected_version)


@class_app.command("set")
def class_set(
    name: str,
    within_s: Annotated[
        float | None,
        typer.Option(help="Maximum seconds from submission to the answer."),
    ] = None,
    done_by: Annotated[
        str | None,
        typer.Option(help="Time of day in UTC, HH:MM, when the answer is due."),
    ] = None,
    start_within_s: Annotated[
        float | None,
        typer.Option(help="Maximum seconds from submission to the first start."),
    ] = None,
    wait: WaitOption = False,
    expected_version: ExpectedVersionOption = None,
) -> None:
    """Create or replace a work class and its target."""
    fields = {
        "name": name,
        "within_s": within_s,
        "done_by": done_by,
        "start_within_s": start_within_s,
    }
    context.apply([{"work_class": fields}], wait, expected_version)


@class_app.command("remove")
def class_remove(
    name: str, wait: WaitOption = False, expected_version: ExpectedVersionOption = None
) -> None:
    """Remove a work class."""
    context.apply([{"remove": f"class/{name}"}], wait, expected_version)


@class_app.command("list")
def class_list() -> None:
    """Show the work classes."""
    class_by_name = context.fetch_configuration()["class_by_name"]
    context.show(list(class_by_name.values()), classes_text)


@account_app.command("set")
def account_set(
    name: str,
    token_hash: Annotated[
        list[str] | None,
        typer.Option(help="Hash of a token, see hash-token; can be repeated."),
    ] = None,
    guarantee: Annotated[
        list[str] | None,
        typer.Option(
            help="Guaranteed shape, e.g. gang=4,accelerators=2,cores=8,"
            "memory_mb=16384,adjacency=rack; can be repeated."
        ),
    ] = None,
    no_guarantee: Annotated[
        bool, typer.Option("--no-guarantee", help="Remove all guarantees.")
    ] = False,
    max_waiting: Annotated[
        int | None, typer.Option(help="Maximum number of requests in progress.")
    ] = None,
    max_accelerators: Annotated[
        int | None, typer.Option(help="Maximum number of accelerators in use.")
    ] = None,
    wait: WaitOption = False,
    expected_version: ExpectedVersionOption = None,
) -> None:
    """Create or update a client account; omitted options stay unchanged."""
    if guarantee and no_guarantee:
        raise UserError(
            ResultCode.BAD_FIELD,
            "--guarantee and --no-guarantee cannot be combined",
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
    configuration = context.fetch_configuration()
    account = configuration["client_account_by_name"].get(name, {"name": name})
    for field, value in given.items():
        if value is not None:
            account[field] = value
    # Expect the version that was read: this command sends the whole account,
    # so it would undo a change that another operator made in the meantime.
    if expected_version is None:
        expected_version = configuration["version"]
    context.apply([{"client_account": account}], wait, expected_version)


@account_app.command("remove")
def account_remove(
    name: str, wait: WaitOption = False, expected_version: ExpectedVersionOption = None
) -> None:
    """Remove a client account."""
    context.apply([{"remove": f"account/{name}"}], wait, expected_version)


@account_app.command("list")
def account_list() -> None:
    """Show the client accounts and their guarantees."""
    account_by_name = context.fetch_configuration()["client_account_by_name"]
    context.show(list(account_by_name.values()), accounts_text)
