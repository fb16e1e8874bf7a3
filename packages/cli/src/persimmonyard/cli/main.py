"""Entry point of the command-line interface."""

import json
import sys
from typing import Annotated

import typer

from persimmonyard.cli import (
    caller_commands,
    diagnostic_commands,
    operator_commands,
    trace,
)
from persimmonyard.cli.context import context
from persimmonyard.cli.exit_codes import exit_status
from persimmonyard.cli.settings import load_settings
from persimmonyard.model import UserError

__all__ = ["app", "run"]

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operate persimmonyard and submit requests to it.",
)


@app.callback()
def options(
    url: Annotated[
        list[str] | None,
        typer.Option(help="Base URL of an entry; can be repeated."),
    ] = None,
    token: Annotated[
        str | None, typer.Option(help="Token of a client account.")
    ] = None,
    operator_token: Annotated[
        str | None, typer.Option(help="Token of an operator.")
    ] = None,
    retry_s: Annotated[
        float | None,
        typer.Option(help="Seconds during which a failed call is retried."),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print results as JSON.")
    ] = False,
) -> None:
    """Store the options that all commands share."""
    context.as_json = as_json
    context.settings = load_settings(
        {
            "urls": url or None,
            "token": token,
            "operator_token": operator_token,
            "retry_s": retry_s,
        }
    )


app.add_typer(operator_commands.zone_app, name="zone")
app.add_typer(operator_commands.class_app, name="class")
app.add_typer(operator_commands.account_app, name="account")
for command in (
    operator_commands.apply,
    operator_commands.status,
    caller_commands.submit,
    caller_commands.wait,
    caller_commands.cancel,
    caller_commands.explain,
    caller_commands.where,
    diagnostic_commands.dump,
    trace.trace,
    diagnostic_commands.check_settings,
    diagnostic_commands.hash_token,
):
    app.command()(command)


def run() -> None:
    """Run a command; print a ``UserError`` as one line and exit."""
    try:
        app()
    except UserError as error:
        print(_error_line(error), file=sys.stderr)
        sys.exit(exit_status(error.code))


def _error_line(error: UserError) -> str:
    if not context.as_json:
        return f"persimmonyard: {error.message} (code {int(error.code)})"
    body = {
        "code": int(error.code),
        "name": error.code.name,
        "message": error.message,
        "field": error.field,
        "not_run": error.not_run,
    }
    return json.dumps(body)


if __name__ == "__main__":
    run()
