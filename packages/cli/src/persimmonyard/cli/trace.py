"""The story of one job or request, from the logs of several processes."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from persimmonyard.model import ResultCode, UserError

__all__ = ["Line", "read_lines", "story", "trace"]

# A pause in a story that is named as a gap, in seconds.
GAP_S = 1.0
# Fields that every line has and that the printed form shows in other places.
_COMMON = frozenset(
    {"timestamp", "event", "level", "process", "zone", "component", "exception"}
)
_ID_FIELDS = ("job", "request")
# Events of an upstream that explain what happened to runs on it.
_UPSTREAM_EVENTS = frozenset(
    {
        "upstream appears",
        "upstream leaves",
        "upstream left",
        "upstream avoided",
        "upstream does not answer",
        "runs lost",
        "fence refused",
    }
)
# Events that concern every job while it is alive.
_GLOBAL_EVENTS = frozenset({"leadership begins", "leadership ends"})


class Line(NamedTuple):
    """One line of a log."""

    at: datetime
    process: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Return the lines that are JSON objects, whatever stands before them.

    Lines that cannot be read are passed over: logs may hold others' output.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            at = datetime.fromisoformat(fields["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        event = str(fields.get("event", ""))
        yield Line(at, str(fields.get("process", "")), event, fields)


def story(lines: Iterable[Line], identifier: str) -> list[Line]:
    """Return the lines about an identifier and where it ran, in order."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if _is_about(line, identifier)]
    if not own:
        return []
    upstreams = set()
    for line in own:
        for seat in line.fields.get("seats", ()):
            upstreams.add(str(seat).rpartition("@")[2])
        if "upstream" in line.fields:
            upstreams.add(line.fields["upstream"])
    found = []
    for line in ordered:
        if _is_about(line, identifier):
            found.append(line)
            continue
        if not own[0].at <= line.at <= own[-1].at:
            continue
        of_upstream = line.event in _UPSTREAM_EVENTS
        near = of_upstream and line.fields.get("upstream") in upstreams
        if near or line.event in _GLOBAL_EVENTS:
            found.append(line)
    return found


def _is_about(line: Line, identifier: str) -> bool:
    if any(line.fields.get(name) == identifier for name in _ID_FIELDS):
        return True
    # A run that is stopped for another job names that job in its reason.
    return identifier in str(line.fields.get("reason", ""))


def trace(
    identifier: Annotated[str, typer.Argument(help="A job or request.")],
    files: Annotated[list[Path], typer.Argument(help="Logs of any processes.")],
) -> None:
    """Print the story of a job or request from log files, gaps named."""
    texts: list[str] = []
    for path in files:
        try:
            texts += path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise UserError(
                ResultCode.BAD_FIELD, f"cannot read {path}: {error.strerror}", "files"
            ) from error
    found = story(read_lines(texts), identifier)
    if not found:
        raise UserError(ResultCode.NOT_FOUND, f"no line is about {identifier!r}")
    for text in _format(found):
        typer.echo(text)


def _format(lines: list[Line]) -> Iterator[str]:
    before = lines[0].at
    for line in lines:
        pause_s = (line.at - before).total_seconds()
        if pause_s > GAP_S:
            yield f"{'':12}  -- {pause_s:.1f} s without a line --"
        before = line.at
        shown = []
        for name, value in line.fields.items():
            if name not in _COMMON and value not in ("", None):
                shown.append(f"{name}={value}")
        clock = line.at.strftime("%H:%M:%S.%f")[:12]
        yield f"{clock}  {line.process}  {line.event}  {' '.join(shown)}".rstrip()
