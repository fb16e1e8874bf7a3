"""The command line for operators and callers."""

import base64
import json
import sys
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from persimmonyard.cli.client import EntryClient
from persimmonyard.model import ResultCode, UserError

__all__ = ["run"]

APPLY_WAIT_S = 30.0

app = typer.Typer(add_completion=False, help="Operate and use persimmonyard.")
zone_app = typer.Typer(help="Take availability zones in and out of service.")
app.add_typer(zone_app, name="zone")


@dataclass
class Session:
    """Options that every command shares."""

    url: str = ""
    token: str = ""
    operator_token: str = ""
    as_json: bool = False

    def caller(self) -> EntryClient:
        """Return a client with the caller's token."""
        return EntryClient(self.url, self.token)

    def operator(self) -> EntryClient:
        """Return a client with the operator's token."""
        return EntryClient(self.url, self.operator_token)

    def show(self, value: Any) -> None:
        """Print a result."""
        indent = None if self.as_json else 2
        print(json.dumps(value, indent=indent))


session = Session()


@app.callback()
def options(
    url: Annotated[str, typer.Option(envvar="PERSIMMONYARD_URL")],
    token: Annotated[str, typer.Option(envvar="PERSIMMONYARD_TOKEN")] = "",
    operator_token: Annotated[
        str, typer.Option(envvar="PERSIMMONYARD_OPERATOR_TOKEN")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Set what every command needs."""
    session.url = url
    session.token = token
    session.operator_token = operator_token
    session.as_json = as_json


def _apply(changes: list[dict[str, Any]], wait: bool) -> None:
    body = {"changes": changes, "wait_s": APPLY_WAIT_S if wait else 0.0}
    headers = {"Idempotency-Key": uuid.uuid4().hex}
    session.show(session.operator().post("/v1/operator/configuration", body, **headers))


@app.command()
def apply(path: Path, wait: bool = False) -> None:
    """Apply the changes in a JSON file."""
    try:
        changes = json.loads(path.read_text())["changes"]
    except (OSError, ValueError, KeyError) as error:
        raise UserError(ResultCode.BAD_JSON, f"cannot read {path}: {error}") from error
    _apply(changes, wait)


@zone_app.command("out")
def zone_out(name: str, wait: bool = False) -> None:
    """Start nothing more in an availability zone."""
    _apply([{"zone": {"name": name, "in_service": False}}], wait)


@zone_app.command("in")
def zone_in(name: str, wait: bool = False) -> None:
    """Put an availability zone back into service."""
    _apply([{"zone": {"name": name, "in_service": True}}], wait)


@app.command()
def status() -> None:
    """Show counts and upstreams."""
    session.show(session.operator().get("/v1/operator/status"))


@app.command()
def submit(
    work_class: Annotated[str, typer.Option("--class")],
    key: Annotated[str, typer.Option()],
    run_s: Annotated[float, typer.Option()],
    payload: Annotated[str, typer.Option()] = "",
    gang: Annotated[int, typer.Option()] = 1,
    accelerators: Annotated[int, typer.Option()] = 0,
    cores: Annotated[int, typer.Option()] = 1,
    memory_mb: Annotated[int, typer.Option()] = 1,
    adjacency: Annotated[str, typer.Option()] = "none",
    idempotent: Annotated[bool, typer.Option()] = False,
    checkpointable: Annotated[bool, typer.Option()] = False,
    wait_s: Annotated[float, typer.Option()] = 0.0,
) -> None:
    """Submit a request."""
    body = {
        "class": work_class,
        "key": key,
        "shape": {
            "gang": gang,
            "accelerators": accelerators,
            "cores": cores,
            "memory_mb": memory_mb,
            "adjacency": adjacency,
        },
        "declared_run_s": run_s,
        "idempotent": idempotent,
        "checkpointable": checkpointable,
        "payload": base64.b64encode(payload.encode()).decode(),
        "wait_s": wait_s,
    }
    session.show(session.caller().post("/v1/requests", body))


@app.command()
def wait(request: str, wait_s: float = 60.0) -> None:
    """Wait for the answer to a request."""
    session.show(session.caller().get(f"/v1/requests/{request}", wait_s=wait_s))


@app.command()
def cancel(request: str) -> None:
    """Cancel a request."""
    session.show(session.caller().post(f"/v1/requests/{request}/cancel"))


@app.command()
def explain(request: str) -> None:
    """Show why a request waits, where it ran and what happened to it."""
    session.show(session.caller().get(f"/v1/requests/{request}/explain"))


def run() -> None:
    """Run the command and print a user's mistake as one line."""
    try:
        app()
    except UserError as error:
        print(f"persimmonyard: {error.message} (code {error.code})", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    run()
