"""Formatting of results as text for people."""

import base64
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

__all__ = [
    "accounts_text",
    "classes_text",
    "explanation_text",
    "key_value_text",
    "request_text",
    "status_text",
    "table_text",
]


def table_text(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Format rows under headings, in aligned columns."""
    lines = [list(headings)]
    for row in rows:
        lines.append([_cell_text(value) for value in row])
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(headings))
    ]
    text = []
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        text.append("  ".join(cells).rstrip())
    return "\n".join(text)


def key_value_text(value: Any, indent: str = "") -> str:
    """Format any JSON value as indented lines of keys and values."""
    if not isinstance(value, dict):
        return indent + _cell_text(value)
    lines = []
    for key, nested in value.items():
        if isinstance(nested, dict) and nested:
            lines.append(f"{indent}{key}:")
            lines.append(key_value_text(nested, indent + "  "))
            continue
        lines.append(f"{indent}{key}: {_cell_text(nested)}")
    return "\n".join(lines)


def status_text(status: dict[str, Any]) -> str:
    """Format the system status, with one line for each upstream."""
    counts = []
    for state, count in sorted(status.get("requests", {}).items()):
        counts.append(f"{count} {state}")
    lines = [
        f"configuration version {status['configuration_version']}",
        f"requests: {', '.join(counts) or 'none'}",
    ]
    for key, value in status.items():
        if key in ("configuration_version", "requests", "upstreams") or not value:
            continue
        lines.append(f"{key}: {_cell_text(value)}")
    rows = []
    for upstream in sorted(status.get("upstreams", ()), key=_location_key):
        rows.append(
            (
                upstream["upstream"],
                upstream["zone"],
                upstream["rack"],
                upstream["status"],
                upstream["requests"],
            )
        )
    headings = ("upstream", "zone", "rack", "status", "requests")
    return "\n".join([*lines, "", table_text(headings, rows)])


def request_text(view: dict[str, Any]) -> str:
    """Format the state of a request, and the answers that it has."""
    lines = [f"request {view['request']}: {view['state']}"]
    if view.get("code"):
        execution = "it did not run" if view["not_run"] else "it may have run"
        lines.append(
            f"code {view['code']} {view['name']}, {execution}: {view['message'] or '-'}"
        )
    for member, answer in enumerate(view.get("answers", ())):
        body = base64.b64decode(answer["body"])
        body_text = body.decode() if _is_printable(body) else f"{len(body)} bytes"
        lines.append(f"answer {member}: {body_text}")
    return "\n".join(lines)


def explanation_text(explanation: dict[str, Any]) -> str:
    """Format the state, waiting reason, history and attempts of a request."""
    name = explanation.get("code_name", "")
    lines = [f"request {explanation['request']}: {explanation['state']}"]
    if explanation.get("code"):
        lines.append(f"code {explanation['code']} {name}: {explanation['message']}")
    if explanation.get("waiting_because"):
        lines.append(f"waiting because: {explanation['waiting_because']}")
    rows = []
    for transition in explanation.get("history", ()):
        time_text = datetime.fromtimestamp(transition["at"], UTC).isoformat(
            timespec="milliseconds"
        )
        rows.append((time_text, transition["state"], transition["reason"]))
    lines += ["", table_text(("time", "state", "reason"), rows)]
    attempts = []
    for attempt in explanation.get("attempts", ()):
        upstreams = ", ".join(attempt["upstreams"])
        attempts.append(
            (attempt["number"], attempt["state"], attempt["outcome"], upstreams)
        )
    if attempts:
        lines += [
            "",
            table_text(("attempt", "state", "outcome", "upstreams"), attempts),
        ]
    victims = []
    for victim in explanation.get("preempted_for_it", ()):
        upstreams = ", ".join(victim["upstreams"])
        request = victim["request"] or "of another client account"
        victims.append((request, victim["class"], upstreams, victim["reason"]))
    if victims:
        headings = ("preempted for it", "class", "upstreams", "reason")
        lines += ["", table_text(headings, victims)]
    return "\n".join(lines)


def classes_text(classes: Iterable[dict[str, Any]]) -> str:
    """Format the work classes and their targets, one on each line."""
    rows = []
    for work_class in classes:
        target = "none"
        if work_class.get("within_s") is not None:
            target = f"within {work_class['within_s']:g} s"
        if work_class.get("done_by") is not None:
            target = f"done by {work_class['done_by']} UTC"
        start = work_class.get("start_within_s")
        rows.append(
            (work_class["name"], target, "" if start is None else f"{start:g} s")
        )
    return table_text(("class", "target", "start within"), rows)


def accounts_text(accounts: Iterable[dict[str, Any]]) -> str:
    """Format the client accounts, one on each line."""
    rows = []
    for account in accounts:
        shapes = "; ".join(_shape_text(shape) for shape in account["guarantee"])
        quota = account.get("max_accelerators")
        rows.append(
            (
                account["name"],
                account["role"],
                len(account["token_hashes"]),
                account["max_waiting"],
                "none" if quota is None else quota,
                shapes or "none",
            )
        )
    headings = ("account", "role", "tokens", "max waiting", "quota", "guarantee")
    return table_text(headings, rows)


def _shape_text(shape: dict[str, Any]) -> str:
    text = (
        f"{shape['gang']} x {shape['accelerators']} accelerators, "
        f"{shape['cores']} cores, {shape['memory_mb']} MB"
    )
    if shape["adjacency"] != "none":
        text += f" in one {shape['adjacency']}"
    return text


def _location_key(upstream: dict[str, Any]) -> tuple[str, str, str]:
    return (upstream["zone"], upstream["rack"], upstream["upstream"])


def _cell_text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ", ".join(_cell_text(item) for item in value) or "none"
    if isinstance(value, dict):
        return ", ".join(f"{key}={_cell_text(item)}" for key, item in value.items())
    return str(value)


def _is_printable(body: bytes) -> bool:
    try:
        return body.decode().isprintable()
    except UnicodeDecodeError:
        return False
