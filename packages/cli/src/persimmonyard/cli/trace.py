"""The timeline of one job or request, from the logs of several processes."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from persimmonyard.model import ResultCode, UserError

__all__ = ["LogLine", "parse_log_lines", "timeline", "trace"]

# Time without a line, in seconds, above which a timeline marks a gap.
GAP_THRESHOLD_S = 1.0
# Common fields, which are not printed as ``name=value``.
_COMMON_FIELDS = frozenset(
    {"timestamp", "event", "level", "process", "zone", "component", "exception"}
)
_IDENTIFIER_FIELDS = ("job", "request")
# Events of an upstream that can explain how the runs on it ended.
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
# Events that affect all jobs in progress.
_GLOBAL_EVENTS = frozenset({"leadership begins", "leadership ends"})


class LogLine(NamedTuple):
    """One parsed line of a structured log."""

    at: datetime
    process: str
    event: str
    fields: dict[str, Any]


def parse_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that contain a JSON object, ignoring any prefix.

    Lines that cannot be parsed are skipped, because a log file may contain
    the output of other programs.
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
        yield LogLine(at, str(fields.get("process", "")), event, fields)


def timeline(lines: Iterable[LogLine], identifier: str) -> list[LogLine]:
    """Return the log lines that concern a job or request, ordered by time.

    These are the lines that mention ``identifier`` and, between the first and
    the last of them, events of the upstreams that it ran on and events that
    affect all jobs.
    """
    ordered_lines = sorted(lines, key=lambda line: line.at)
    own_lines = [line for line in ordered_lines if _mentions(line, identifier)]
    if not own_lines:
        return []
    upstreams = set()
    for line in own_lines:
        for seat in line.fields.get("seats", ()):
            upstreams.add(str(seat).rpartition("@")[2])
        if "upstream" in line.fields:
            upstreams.add(line.fields["upstream"])
    selected = []
    for line in ordered_lines:
        if _mentions(line, identifier):
            selected.append(line)
            continue
        if not own_lines[0].at <= line.at <= own_lines[-1].at:
            continue
        is_upstream_event = line.event in _UPSTREAM_EVENTS
        on_same_upstream = (
            is_upstream_event and line.fields.get("upstream") in upstreams
        )
        if on_same_upstream or line.event in _GLOBAL_EVENTS:
            selected.append(line)
    return selected


def _mentions(line: LogLine, identifier: str) -> bool:
    if any(line.fields.get(name) == identifier for name in _IDENTIFIER_FIELDS):
        return True
    # If a run is stopped to free capacity for another job, the reason names
    # that other job.
    return identifier in str(line.fields.get("reason", ""))


def trace(
    identifier: Annotated[str, typer.Argument(help="Identifier of a job or request.")],
    files: Annotated[
        list[Path], typer.Argument(help="Log files of one or more processes.")
    ],
) -> None:
    """Print the timeline of a job or request from log files, marking gaps."""
    texts: list[str] = []
    for path in files:
        try:
            texts += path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise UserError(
                ResultCode.BAD_FIELD, f"cannot read {path}: {error.strerror}", "files"
            ) from error
    selected = timeline(parse_log_lines(texts), identifier)
    if not selected:
        raise UserError(ResultCode.NOT_FOUND, f"no log line mentions {identifier!r}")
    for text in _format_timeline(selected):
        typer.echo(text)


def _format_timeline(lines: list[LogLine]) -> Iterator[str]:
    previous_at = lines[0].at
    for line in lines:
        gap_s = (line.at - previous_at).total_seconds()
        if gap_s > GAP_THRESHOLD_S:
            yield f"{'':12}  -- {gap_s:.1f} s without a line --"
        previous_at = line.at
        pairs = []
        for name, value in line.fields.items():
            if name not in _COMMON_FIELDS and value not in ("", None):
                pairs.append(f"{name}={value}")
        time_of_day = line.at.strftime("%H:%M:%S.%f")[:12]
        yield f"{time_of_day}  {line.process}  {line.event}  {' '.join(pairs)}".rstrip()
