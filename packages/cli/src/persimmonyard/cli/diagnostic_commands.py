"""Commands that dump one process, check settings files and hash tokens."""

import hashlib
import secrets
import sys
from importlib import metadata
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer

from persimmonyard.cli.context import context
from persimmonyard.cli.formatting import key_value_text
from persimmonyard.model import ResultCode, UserError

__all__ = ["check_settings", "dump", "hash_token"]

DUMP_TIMEOUT_S = 10.0
# The entry point group in which the daemon registers its check of settings
# files.  It lets the command line work without an import of the daemon.
SETTINGS_CHECK_GROUP = "persimmonyard.settings_check"


def dump(process: str) -> None:
    """Show the state of a process, given by its URL or its settings name."""
    url = context.settings.processes.get(process, process)
    if not url.startswith(("http://", "https://")):
        known = ", ".join(sorted(context.settings.processes)) or "none"
        raise UserError(
            ResultCode.NOT_FOUND,
            f"process {process!r} has no URL in 'processes'; known: {known}",
            "process",
        )
    context.show(_fetch_dump(url.rstrip("/")), key_value_text)


def _fetch_dump(url: str) -> Any:
    headers = {"Authorization": f"Bearer {context.settings.operator_token}"}
    try:
        # An entry serves its dump with the operator API under /v1, a control
        # process serves it at /dump on its own port.
        for path in ("/v1/dump", "/dump"):
            response = httpx.get(
                url + path, headers=headers, timeout=DUMP_TIMEOUT_S, trust_env=False
            )
            if response.status_code == 404:
                continue
            body = response.json()
            if response.status_code < 400:
                return body
            raise UserError(ResultCode(body["code"]), body["message"])
    except (httpx.HTTPError, ValueError, KeyError) as error:
        raise UserError(
            ResultCode.NO_LEADER, f"cannot fetch the dump from {url}: {error}"
        ) from error
    raise UserError(ResultCode.UNKNOWN_PATH, f"{url} serves no dump")


def check_settings(path: Path) -> None:
    """Validate a settings file of persimmonyardd without starting it."""
    entry_points = list(metadata.entry_points(group=SETTINGS_CHECK_GROUP))
    if not entry_points:
        raise UserError(
            ResultCode.BAD_SETTING, "the package persimmonyard-daemon is not installed"
        )
    for entry_point in entry_points:
        entry_point.load()(path)
    context.show({"path": str(path), "valid": True}, lambda _: f"{path} is valid")


def hash_token(
    new: Annotated[
        bool,
        typer.Option(
            "--new", help="Generate a new random token and print it with its hash."
        ),
    ] = False,
) -> None:
    """Print the hash of a token that is read from standard input."""
    token = secrets.token_urlsafe(32) if new else _read_token()
    if not token:
        raise UserError(ResultCode.BAD_FIELD, "the token is empty", "token")
    result = {"hash": hashlib.sha256(token.encode()).hexdigest()}
    if new:
        result["token"] = token
    context.show(result, key_value_text)


def _read_token() -> str:
    if sys.stdin.isatty():
        token: str = typer.prompt("Token", hide_input=True)
        return token.strip()
    return sys.stdin.readline().strip()
