"""State that all commands share: settings, API clients and output mode."""

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

    def caller_client(self) -> EntryClient:
        """Return an API client with the token of the client account."""
        settings = self.settings
        return EntryClient(settings.urls, settings.token, settings.retry_s)

    def operator_client(self) -> EntryClient:
        """Return an API client with the token of the operator."""
        settings = self.settings
        return EntryClient(settings.urls, settings.operator_token, settings.retry_s)

    def fetch_configuration(self) -> dict[str, Any]:
        """Fetch the complete configuration from an entry."""
        response: dict[str, Any] = self.operator_client().get(
            "/v1/operator/configuration"
        )
        return response

    def apply(
        self,
        changes: list[dict[str, Any]],
        wait: bool,
        expected_version: int | None = None,
    ) -> None:
        """Apply configuration changes and print the new version.

        With ``wait`` the entry waits up to ``APPLY_WAIT_S`` until the version
        is in force everywhere.  With ``expected_version`` the changes apply
        only to that version of the configuration.
        """
        body: dict[str, Any] = {
            "changes": changes,
            "wait_s": APPLY_WAIT_S if wait else 0.0,
        }
        if expected_version is not None:
            body["expected_version"] = expected_version
        headers = {"Idempotency-Key": uuid.uuid4().hex}
        response = self.operator_client().post(
            "/v1/operator/configuration", body, **headers
        )
        self.show(response, _applied_text)

    def show(self, value: Any, format_text: Callable[[Any], str]) -> None:
        """Print a result as one line of JSON, or as formatted text."""
        typer.echo(json.dumps(value) if self.as_json else format_text(value))


def _applied_text(response: dict[str, Any]) -> str:
    state = "in force everywhere" if response["in_force"] else "accepted"
    return f"version {response['version']} is {state}"


context = CommandContext()
