"""Commands for callers: submit, wait, cancel, explain."""

import base64
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from persimmonyard.cli.context import context
from persimmonyard.cli.exit_codes import NOT_ENDED, exit_status_of_request
from persimmonyard.cli.formatting import explanation_text, request_text
from persimmonyard.model import Adjacency, ResultCode, UserError

__all__ = ["cancel", "explain", "submit", "wait"]


# Shorter than the time that the client waits for the answer to a call.
MAX_CALL_WAIT_S = 60.0


def submit(
    work_class: Annotated[str, typer.Option("--class", help="Class of work.")],
    key: Annotated[
        str, typer.Option(help="Name of this piece of work; a resend joins it.")
    ],
    run_s: Annotated[float, typer.Option(help="Declared run time in seconds.")],
    payload: Annotated[str, typer.Option(help="Payload as text.")] = "",
    payload_file: Annotated[
        Path | None, typer.Option(help="File with the payload.")
    ] = None,
    gang: Annotated[int, typer.Option(help="Number of members.")] = 1,
    accelerators: Annotated[int, typer.Option(help="For each member.")] = 0,
    cores: Annotated[int, typer.Option(help="For each member.")] = 1,
    memory_mb: Annotated[int, typer.Option(help="For each member.")] = 1,
    adjacency: Annotated[
        Adjacency, typer.Option(help="How close the members must be.")
    ] = Adjacency.NONE,
    idempotent: Annotated[
        bool, typer.Option(help="The work may run more than once.")
    ] = False,
    checkpointable: Annotated[
        bool, typer.Option(help="The work can stop at a checkpoint.")
    ] = False,
    wait_s: Annotated[
        float, typer.Option(help="Seconds to wait for the answer.")
    ] = 0.0,
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
            "adjacency": adjacency.value,
        },
        "declared_run_s": run_s,
        "idempotent": idempotent,
        "checkpointable": checkpointable,
        "payload": base64.b64encode(_payload(payload, payload_file)).decode(),
        "wait_s": min(wait_s, MAX_CALL_WAIT_S),
    }
    deadline = time.monotonic() + wait_s
    view = context.caller().post("/v1/requests", body)
    view = _until_ended(view, deadline)
    context.show(view, request_text)
    status = exit_status_of_request(view)
    if status == NOT_ENDED and wait_s == 0:
        return
    raise typer.Exit(status)


def wait(
    request: str,
    wait_s: Annotated[float, typer.Option(help="Seconds to wait.")] = 60.0,
) -> None:
    """Wait for the answer to a request."""
    deadline = time.monotonic() + wait_s
    first_s = min(wait_s, MAX_CALL_WAIT_S)
    view = context.caller().get(f"/v1/requests/{request}", wait_s=first_s)
    view = _until_ended(view, deadline)
    context.show(view, request_text)
    raise typer.Exit(exit_status_of_request(view))


def cancel(request: str) -> None:
    """Cancel a request and show its one outcome."""
    view = context.caller().post(f"/v1/requests/{request}/cancel")
    context.show(view, request_text)
    status = exit_status_of_request(view)
    cancelled = (ResultCode.CANCELLED_NOT_RUN, ResultCode.CANCELLED)
    if view.get("code", 0) in cancelled:
        status = 0
    raise typer.Exit(status)


def explain(request: str) -> None:
    """Show why a request waits, where it ran and what happened to it."""
    explanation = context.caller().get(f"/v1/requests/{request}/explain")
    context.show(explanation, explanation_text)


def _until_ended(view: dict[str, Any], deadline: float) -> dict[str, Any]:
    """Ask again until the deadline: an entry bounds the wait of one call."""
    path = f"/v1/requests/{view['request']}"
    while not view["ended"]:
        left = deadline - time.monotonic()
        if left <= 0:
            break
        view = context.caller().get(path, wait_s=min(left, MAX_CALL_WAIT_S))
    return view


def _payload(text: str, path: Path | None) -> bytes:
    if path is None:
        return text.encode()
    if text:
        raise UserError(
            ResultCode.BAD_FIELD,
            "--payload and --payload-file exclude each other",
            "payload",
        )
    try:
        return path.read_bytes()
    except OSError as error:
        raise UserError(
            ResultCode.BAD_FIELD, f"cannot read the payload: {error}", "payload"
        ) from error
