"""Tests of persimmonyard.daemon.metrics and persimmonyard.daemon.logs."""

import contextlib
import json
import os
import subprocess
import sys
import unittest

from persimmonyard.daemon.logs import LineWriter
from persimmonyard.daemon.metrics import EntryMetrics

# Run in a process of its own, because configure_logging affects the whole
# process.
LOGGING_SCRIPT = """
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
    def test_calls_and_gauges_are_exported(self):
        """Guards against wrong labels and against outdated gauges.

        Calls are counted by operation, class of work and code, and gauges are
        read when the metrics are scraped.
        """
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
    def test_every_line_is_a_json_object_with_identifiers(self):
        """Guards against log lines that a JSON parser cannot read.

        Messages of libraries and tracebacks are one JSON object each, with the
        process, its zone and bound identifiers.
        """
        completed = subprocess.run(
            [sys.executable, "-c", LOGGING_SCRIPT],
            capture_output=True,
            text=True,
            check=True,
        )
        lines = [json.loads(line) for line in completed.stdout.splitlines()]
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
    def test_stalled_reader_does_not_block_the_writer(self):
        """Guards against a process that blocks while nobody reads its log.

        Lines that do not fit into the pipe and the buffer are dropped.  Once
        the reader continues, the number of dropped lines is logged, and no
        line is cut.
        """
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        writer = LineWriter(write_end)
        line = "x" * 999 + "\n"
        for _ in range(2_000):
            writer.write(line)
        self.assertGreater(writer.dropped, 0)
        received = b""
        os.set_blocking(read_end, False)
        for _ in range(2_000):
            with contextlib.suppress(BlockingIOError):
                received += os.read(read_end, 1 << 20)
            writer.write(line)
            if b"log lines dropped" in received:
                break
        self.assertIn(b"log lines dropped", received)
        for received_line in received.splitlines()[:-1]:
            self.assertTrue(
                received_line == line.encode().strip() or received_line.startswith(b"{")
            )
