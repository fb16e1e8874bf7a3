"""Tests that the documented log events match the log calls in the source."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
SOURCES = (
    ROOT / "packages/daemon/src/persimmonyard/daemon/jobs",
    ROOT / "packages/daemon/src/persimmonyard/daemon/control/transport.py",
    ROOT / "packages/daemon/src/persimmonyard/daemon/serving.py",
    ROOT / "packages/daemon/src/persimmonyard/daemon/background.py",
    ROOT / "packages/daemon/src/persimmonyard/daemon/disk_log.py",
    ROOT / "packages/daemon/src/persimmonyard/daemon/intake.py",
    ROOT / "platform/src",
)
LOG_TABLE = ROOT / "docs/logging.md"
LEVELS = {"info", "warning", "error", "exception"}
# Fields that the page documents above the table.
COMMON_FIELDS = {"term", "job", "task", "run", "upstream", "exc_info"}


def logged_events():
    """Yield event and field names of each log call in the source."""
    for place in SOURCES:
        paths = [place] if place.suffix else sorted(place.rglob("*.py"))
        for path in paths:
            for node in ast.walk(ast.parse(path.read_text())):
                call = parse_log_call(node)
                if call is not None:
                    yield call


def parse_log_call(node):
    """Return event and field names of a log call, or None for other nodes."""
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return None
    owner = ast.unparse(node.func.value)
    if node.func.attr not in LEVELS or "log" not in owner.lower() or not node.args:
        return None
    event = ast.literal_eval(node.args[0])
    return event, {keyword.arg for keyword in node.keywords if keyword.arg}


def documented_events():
    """Return the field names of each event in the table."""
    fields_by_event = {}
    for line in LOG_TABLE.read_text().splitlines():
        cells = line.split("|")
        if len(cells) != 6 or not cells[1].strip().startswith("`"):
            continue
        fields = set(re.findall(r"`(\w+)`", cells[3]))
        for event in re.findall(r"`([^`]+)`", cells[1]):
            fields_by_event[event] = fields
    return fields_by_event


class LogTableTests(unittest.TestCase):
    def test_every_logged_event_is_documented_with_its_fields(self):
        """Guards against log events and fields that are not documented."""
        table = documented_events()
        problems = []
        for event, fields in logged_events():
            missing = fields - COMMON_FIELDS - table.get(event, set())
            if event not in table or missing:
                problems.append((event, sorted(missing)))
        self.assertEqual([], problems)

    def test_every_documented_event_is_logged(self):
        """Guards against documented events that no process logs."""
        events = {event for event, _ in logged_events()}
        # Logged by the logging module itself, where lines are dropped.
        events.add("log lines dropped")
        self.assertEqual(set(), set(documented_events()) - events)


if __name__ == "__main__":
    unittest.main()
