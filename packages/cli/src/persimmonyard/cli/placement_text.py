"""Formatting of where a job would be placed, as text for people."""

from typing import Any

from persimmonyard.cli.formatting import table_text

__all__ = ["placement_text"]


def placement_text(preview: dict[str, Any]) -> str:
    """Format the seats of the units of a job, and why others wait."""
    units = preview["placed"] + preview["waiting"]
    lines = [
        f"configuration version {preview['version']}, {preview['upstreams']} upstreams",
        f"{preview['placed']} of {units} tasks and gangs would be placed now",
    ]
    seat_rows = []
    waiting_rows = []
    for unit in preview["units"]:
        for seat in unit["seats"]:
            seat_rows.append(
                (
                    unit["unit"],
                    seat["task"],
                    seat["upstream"],
                    seat["zone"],
                    seat["rack"],
                )
            )
        if unit["seats_omitted"]:
            seat_rows.append(
                (unit["unit"], f"{unit['seats_omitted']} more", "", "", "")
            )
        if unit["waits"]:
            waiting_rows.append(
                (unit["unit"], unit["waits"], unit["detail"], unit["stops"])
            )
    if seat_rows:
        headings = ("unit", "task", "upstream", "zone", "rack")
        lines += ["", table_text(headings, seat_rows)]
    if waiting_rows:
        headings_of_waiting = ("unit", "waits", "detail", "stops")
        lines += ["", table_text(headings_of_waiting, waiting_rows)]
    if preview["units_omitted"]:
        lines += ["", f"{preview['units_omitted']} more tasks and gangs are not shown"]
    for step in preview["steps"]:
        lines += ["", _step_text(step)]
    return "\n".join(lines)


def _step_text(step: dict[str, Any]) -> str:
    """Format the upstreams that were rejected for one unit of a step."""
    counts = []
    for reason, count in step["rejected_by_reason"].items():
        counts.append(f"{count} {reason}")
    text = f"rejected for {step['unit']}: {', '.join(counts) or 'none'}"
    rows = []
    for upstream in step["rejected"]:
        rows.append(
            (
                upstream["upstream"],
                upstream["zone"],
                upstream["rack"],
                upstream["reason"],
            )
        )
    if not rows:
        return text
    return f"{text}\n{table_text(('upstream', 'zone', 'rack', 'reason'), rows)}"
