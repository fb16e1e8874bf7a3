"""Commands for callers: submit, wait for, cancel and explain requests.

``where`` is for callers of the job service.
"""

import base64
import json
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from persimmonyard.cli.context import context
from persimmonyard.cli.exit_codes import NOT_ENDED, exit_status_of_request
from persimmonyard.cli.formatting import explanation_text, request_text
from persimmonyard.cli.placement_text import placement_text
from persimmonyard.model import Adjacency, ResultCode, UserError

__all__ = ["cancel", "explain", "submit", "wait", "where"]

# Must be shorter than the time-out of a call in ``EntryClient`` (90 s).
MAX_CALL_WAIT_S = 60.0
# A job that is not submitted needs an identifier in the path all the same.
UNUSED_JOB_ID = "0" * 16


def submit(
    work_class: Annotated[str, typer.Option("--class", help="Work class.")],
    key: Annotated[
        str,
        typer.Option(
            help="Idempotency key: a resend with it returns the first request."
        ),
    ],
    run_s: Annotated[float, typer.Option(help="Declared run time in seconds.")],
    payload: Annotated[str, typer.Option(help="Payload as text.")] = "",
    payload_file: Annotated[
        Path | None, typer.Option(help="File with the payload.")
    ] = None,
    gang: Annotated[int, typer.Option(help="Number of members.")] = 1,
    accelerators: Annotated[
        int, typer.Option(help="Accelerators for each member.")
    ] = 0,
    cores: Annotated[int, typer.Option(help="Cores for each member.")] = 1,
    memory_mb: Annotated[
        int, typer.Option(help="Memory in megabytes for each member.")
    ] = 1,
    adjacency: Annotated[
        Adjacency, typer.Option(help="Location that the members must share.")
    ] = Adjacency.NONE,
    idempotent: Annotated[
        bool, typer.Option(help="The work may run more than once.")
    ] = False,
    checkpointable: Annotated[
        bool, typer.Option(help="The work can stop at a checkpoint.")
    ] = False,
    wait_s: Annotated[
        float, typer.Option(help="Maximum seconds to wait for the answer.")
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
        "payload": base64.b64encode(_read_payload(payload, payload_file)).decode(),
        "wait_s": min(wait_s, MAX_CALL_WAIT_S),
    }
    deadline = time.monotonic() + wait_s
    view = context.caller_client().post("/v1/requests", body)
    view = _poll_until_ended(view, deadline)
    context.show(view, request_text)
    status = exit_status_of_request(view)
    if status == NOT_ENDED and wait_s == 0:
        return
    raise typer.Exit(status)


def wait(
    request: str,
    wait_s: Annotated[float, typer.Option(help="Maximum seconds to wait.")] = 60.0,
) -> None:
    """Wait for the answer to a request."""
    deadline = time.monotonic() + wait_s
    first_wait_s = min(wait_s, MAX_CALL_WAIT_S)
    view = context.caller_client().get(f"/v1/requests/{request}", wait_s=first_wait_s)
    view = _poll_until_ended(view, deadline)
    context.show(view, request_text)
    raise typer.Exit(exit_status_of_request(view))


def cancel(request: str) -> None:
    """Cancel a request and show its final outcome."""
    view = context.caller_client().post(f"/v1/requests/{request}/cancel")
    context.show(view, request_text)
    status = exit_status_of_request(view)
    cancelled = (ResultCode.CANCELLED_NOT_RUN, ResultCode.CANCELLED)
    if view.get("code", 0) in cancelled:
        status = 0
    raise typer.Exit(status)


def explain(request: str) -> None:
    """Show why a request waits, where it ran and what happened to it."""
    explanation = context.caller_client().get(f"/v1/requests/{request}/explain")
    context.show(explanation, explanation_text)


def where(
    file: Annotated[Path, typer.Argument(help="File with the body of the job.")],
    prefix: Annotated[
        str, typer.Option(help="Path prefix of the route, such as /batch/.")
    ] = "/",
    host: Annotated[
        str, typer.Option(help="Host of the route; default: that of the URL.")
    ] = "",
) -> None:
    """Show where a job would be placed now, without submitting it."""
    body = _read_job(file)
    headers = {"Host": host} if host else {}
    path = f"/{prefix.strip('/')}/{UNUSED_JOB_ID}/explain".replace("//", "/")
    preview = context.caller_client().post(path, body, **headers)
    context.show(preview, placement_text)


def _read_job(path: Path) -> Any:
    try:
        return json.loads(path.read_bytes())
    except OSError as error:
        raise UserError(
            ResultCode.BAD_FIELD, f"cannot read the job: {error}", "file"
        ) from error
    except ValueError as error:
        raise UserError(
            ResultCode.BAD_JSON, f"the job is not JSON: {error}", "file"
        ) from error


def _poll_until_ended(view: dict[str, Any], deadline: float) -> dict[str, Any]:
    """Poll a request until it has ended or the deadline has passed.

    Several calls are needed because an entry limits the wait of one call.
    """
    path = f"/v1/requests/{view['request']}"
    while not view["ended"]:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            break
        view = context.caller_client().get(
            path, wait_s=min(remaining_s, MAX_CALL_WAIT_S)
        )
    return view


def _read_payload(text: str, path: Path | None) -> bytes:
    if path is None:
        return text.encode()
    if text:
        raise UserError(
            ResultCode.BAD_FIELD,
            "--payload and --payload-file cannot be combined",
            "payload",
        )
    try:
        return path.read_bytes()
    except OSError as error:
        raise UserError(
            ResultCode.BAD_FIELD, f"cannot read the payload: {error}", "payload"
        ) from error
