"""The table of log lines in the docs, against the calls in the sources."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
SOURCES = (
    ROOT / "packages/daemon/src/persimmonyard/daemon/jobs",
    ROOT / "packages/daemon/src/persimmonyard/daemon/control/transport.py",
    ROOT / "packages/daemon/src/persimmonyard/daemon/main.py",
    ROOT / "platform/src",
)
TABLE = ROOT / "docs/logging.md"
LEVELS = {"info", "warning", "error"}
# Fields that the page explains above the table.
COMMON = {"term", "job", "task", "run", "upstream", "exc_info"}


def logged():
    """Yield event and fields of each log call in the sources."""
    for place in SOURCES:
        paths = [place] if place.suffix else sorted(place.rglob("*.py"))
        for path in paths:
            for node in ast.walk(ast.parse(path.read_text())):
                call = read_call(node)
                if call is not None:
                    yield call


def read_call(node):
    """Return event and fields if a node is a log call."""
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return None
    owner = ast.unparse(node.func.value)
    if node.func.attr not in LEVELS or "log" not in owner.lower() or not node.args:
        return None
    event = ast.literal_eval(node.args[0])
    return event, {one.arg for one in node.keywords if one.arg}


def documented():
    """Return the fields of each event in the table."""
    fields_by_event = {}
    for line in TABLE.read_text().splitlines():
        cells = line.split("|")
        if len(cells) != 6 or not cells[1].strip().startswith("`"):
            continue
        fields = set(re.findall(r"`(\w+)`", cells[3]))
        for event in re.findall(r"`([^`]+)`", cells[1]):
            fields_by_event[event] = fields
    return fields_by_event


class LogTableTests(unittest.TestCase):
    def test_every_logged_line_is_documented_with_its_fields(self):
        """Guards against lines that on-call engineers find nowhere."""
        table = documented()
        problems = []
        for event, fields in logged():
            missing = fields - COMMON - table.get(event, set())
            if event not in table or missing:
                problems.append((event, sorted(missing)))
        self.assertEqual([], problems)

    def test_every_documented_line_is_logged(self):
        """Guards against rows about lines that no process writes."""
        events = {event for event, _ in logged()}
        # Written where lines are dropped, in the module of the logs itself.
        events.add("log lines dropped")
        self.assertEqual(set(), set(documented()) - events)


if __name__ == "__main__":
    unittest.main()
