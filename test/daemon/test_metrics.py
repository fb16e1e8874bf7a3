"""Tests of persimmonyard.daemon.metrics and persimmonyard.daemon.logs."""

import contextlib
import json
import os
import subprocess
import sys
import unittest

from persimmonyard.daemon.logs import LineWriter
from persimmonyard.daemon.metrics import EntryMetrics

# A process of its own, because configure_logging changes the whole process.
LOGGING = """
import logging
from persimmonyard.daemon.logs import get_logger, configure_logging
configure_logging("info", "entry-1", "karen-bench")
logger = get_logger("dispatch").bind(request="r-1", attempt=2)
logger.info("member not ready", upstream="up-1")
logger.debug("hidden")
logging.getLogger("uvicorn.error").error("from a %s", "library")
try:
    1 / 0
except ZeroDivisionError:
    logger.exception("failed")
"""


class MetricsTests(unittest.TestCase):
    def test_calls_and_gauges_are_shown(self):
        """Counts are by operation, class and code; gauges are read late."""
        metrics = EntryMetrics()
        value = [1.0]
        metrics.add_gauge("attempts", "Attempts in hand.", lambda: value[0])
        metrics.count_call("submit", "fit", 0, 0.01)
        metrics.count_call("submit", "fit", 0, 9.0)
        metrics.count_call("submit", "", 302, 0.01)
        value[0] = 7.0
        text = metrics.text()[0].decode()
        self.assertIn('class="fit",code="0",operation="submit"} 2', text)
        self.assertIn('class="",code="302",operation="submit"} 1', text)
        self.assertIn('le="30.0",operation="submit"} 3.0', text)
        self.assertIn("persimmonyard_attempts 7.0", text)


class LogTests(unittest.TestCase):
    def test_every_line_is_json_with_identifiers(self):
        """Lines of libraries and tracebacks keep to one JSON object."""
        done = subprocess.run(
            [sys.executable, "-c", LOGGING], capture_output=True, text=True, check=True
        )
        lines = [json.loads(line) for line in done.stdout.splitlines()]
        events = [line["event"] for line in lines]
        self.assertEqual(events, ["member not ready", "from a library", "failed"])
        for line in lines:
            self.assertEqual(
                (line["process"], line["zone"]), ("entry-1", "karen-bench")
            )
        first = lines[0]
        identifiers = (first["request"], first["attempt"], first["upstream"])
        self.assertEqual(identifiers, ("r-1", 2, "up-1"))
        self.assertIn("ZeroDivisionError", lines[2]["exception"])


class LineWriterTests(unittest.TestCase):
    def test_a_reader_that_stops_does_not_block(self):
        """Guards against a process that waits for whoever reads its logs."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        writer = LineWriter(writing)
        line = "x" * 999 + "\n"
        for _ in range(2_000):
            writer.write(line)
        self.assertGreater(writer.dropped, 0)
        received = b""
        os.set_blocking(reading, False)
        for _ in range(2_000):
            with contextlib.suppress(BlockingIOError):
                received += os.read(reading, 1 << 20)
            writer.write(line)
            if b"log lines dropped" in received:
                break
        self.assertIn(b"log lines dropped", received)
        for kept in received.splitlines()[:-1]:
            self.assertTrue(kept == line.encode().strip() or kept.startswith(b"{"))
