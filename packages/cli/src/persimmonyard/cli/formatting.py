"""Readable text for results."""

import base64
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

__all__ = [
    "accounts_text",
    "classes_text",
    "explanation_text",
    "key_values",
    "request_text",
    "status_text",
    "table",
]


def table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows under headings, in aligned columns."""
    lines = [list(headings)]
    for row in rows:
        lines.append([_cell(value) for value in row])
    widths = [max(len(line[n]) for line in lines) for n in range(len(headings))]
    text = []
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        text.append("  ".join(cells).rstrip())
    return "\n".join(text)


def key_values(value: Any, indent: str = "") -> str:
    """Return any JSON value as indented lines of keys and values."""
    if not isinstance(value, dict):
        return indent + _cell(value)
    lines = []
    for key, inner in value.items():
        if isinstance(inner, dict) and inner:
            lines.append(f"{indent}{key}:")
            lines.append(key_values(inner, indent + "  "))
            continue
        lines.append(f"{indent}{key}: {_cell(inner)}")
    return "\n".join(lines)


def status_text(status: dict[str, Any]) -> str:
    """Return counts of requests, and one line for each upstream."""
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
        lines.append(f"{key}: {_cell(value)}")
    rows = []
    for one in sorted(status.get("upstreams", ()), key=_by_place):
        rows.append(
            (one["upstream"], one["zone"], one["rack"], one["status"], one["requests"])
        )
    headings = ("upstream", "zone", "rack", "status", "requests")
    return "\n".join([*lines, "", table(headings, rows)])


def request_text(view: dict[str, Any]) -> str:
    """Return where a request is, and its answers if it has them."""
    lines = [f"request {view['request']}: {view['state']}"]
    if view.get("code"):
        ran = "it did not run" if view["not_run"] else "it may have run"
        lines.append(
            f"code {view['code']} {view['name']}, {ran}: {view['message'] or '-'}"
        )
    for member, answer in enumerate(view.get("answers", ())):
        body = base64.b64decode(answer["body"])
        shown = body.decode() if _printable(body) else f"{len(body)} bytes"
        lines.append(f"answer {member}: {shown}")
    return "\n".join(lines)


def explanation_text(explanation: dict[str, Any]) -> str:
    """Return the history, the attempts and the reason of a wait."""
    name = explanation.get("code_name", "")
    lines = [f"request {explanation['request']}: {explanation['state']}"]
    if explanation.get("code"):
        lines.append(f"code {explanation['code']} {name}: {explanation['message']}")
    if explanation.get("waiting_because"):
        lines.append(f"it waits: {explanation['waiting_because']}")
    rows = []
    for step in explanation.get("history", ()):
        at = datetime.fromtimestamp(step["at"], UTC).isoformat(timespec="milliseconds")
        rows.append((at, step["state"], step["reason"]))
    lines += ["", table(("time", "state", "reason"), rows)]
    attempts = []
    for one in explanation.get("attempts", ()):
        upstreams = ", ".join(one["upstreams"])
        attempts.append((one["number"], one["state"], one["outcome"], upstreams))
    if attempts:
        lines += ["", table(("attempt", "state", "outcome", "upstreams"), attempts)]
    victims = []
    for one in explanation.get("preempted_for_it", ()):
        upstreams = ", ".join(one["upstreams"])
        request = one["request"] or "of another client account"
        victims.append((request, one["class"], upstreams, one["reason"]))
    if victims:
        headings = ("preempted for it", "class", "upstreams", "reason")
        lines += ["", table(headings, victims)]
    return "\n".join(lines)


def classes_text(classes: Iterable[dict[str, Any]]) -> str:
    """Return one line for each class of work and its target."""
    rows = []
    for one in classes:
        target = "none"
        if one.get("within_s") is not None:
            target = f"within {one['within_s']:g} s"
        if one.get("done_by") is not None:
            target = f"done by {one['done_by']} UTC"
        start = one.get("start_within_s")
        rows.append((one["name"], target, "" if start is None else f"{start:g} s"))
    return table(("class", "target", "start within"), rows)


def accounts_text(accounts: Iterable[dict[str, Any]]) -> str:
    """Return one line for each client account."""
    rows = []
    for one in accounts:
        shapes = "; ".join(_shape(shape) for shape in one["guarantee"])
        quota = one.get("max_accelerators")
        rows.append(
            (
                one["name"],
                one["role"],
                len(one["token_hashes"]),
                one["max_waiting"],
                "none" if quota is None else quota,
                shapes or "none",
            )
        )
    headings = ("account", "role", "tokens", "max waiting", "quota", "guarantee")
    return table(headings, rows)


def _shape(shape: dict[str, Any]) -> str:
    text = (
        f"{shape['gang']} x {shape['accelerators']} accelerators, "
        f"{shape['cores']} cores, {shape['memory_mb']} MB"
    )
    if shape["adjacency"] != "none":
        text += f" in one {shape['adjacency']}"
    return text


def _by_place(upstream: dict[str, Any]) -> tuple[str, str, str]:
    return (upstream["zone"], upstream["rack"], upstream["upstream"])


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ", ".join(_cell(one) for one in value) or "none"
    if isinstance(value, dict):
        return ", ".join(f"{key}={_cell(one)}" for key, one in value.items())
    return str(value)


def _printable(body: bytes) -> bool:
    try:
        return body.decode().isprintable()
    except UnicodeDecodeError:
        return False
