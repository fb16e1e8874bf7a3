"""What every command shares: settings, clients, and how results are shown."""

import json
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import typer

from persimmonyard.cli.client import EntryClient
from persimmonyard.cli.settings import CliSettings

__all__ = ["CommandContext", "context"]

APPLY_WAIT_S = 30.0


@dataclass
class CommandContext:
    """Settings and output mode of one run of the command line."""

    settings: CliSettings = field(default_factory=CliSettings)
    as_json: bool = False

    def caller(self) -> EntryClient:
        """Return a client with the caller's token."""
        settings = self.settings
        return EntryClient(settings.urls, settings.token, settings.retry_s)

    def operator(self) -> EntryClient:
        """Return a client with the operator's token."""
        settings = self.settings
        return EntryClient(settings.urls, settings.operator_token, settings.retry_s)

    def configuration(self) -> dict[str, Any]:
        """Return the whole configuration."""
        found: dict[str, Any] = self.operator().get("/v1/operator/configuration")
        return found

    def apply(
        self,
        changes: list[dict[str, Any]],
        wait: bool,
        expected_version: int | None = None,
    ) -> None:
        """Apply changes and show the new version."""
        body: dict[str, Any] = {
            "changes": changes,
            "wait_s": APPLY_WAIT_S if wait else 0.0,
        }
        if expected_version is not None:
            body["expected_version"] = expected_version
        headers = {"Idempotency-Key": uuid.uuid4().hex}
        reply = self.operator().post("/v1/operator/configuration", body, **headers)
        self.show(reply, _applied)

    def show(self, value: Any, as_text: Callable[[Any], str]) -> None:
        """Print a result as one JSON line, or in readable form."""
        typer.echo(json.dumps(value) if self.as_json else as_text(value))


def _applied(reply: dict[str, Any]) -> str:
    state = "in force everywhere" if reply["in_force"] else "accepted"
    return f"version {reply['version']} is {state}"


context = CommandContext()
