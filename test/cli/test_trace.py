"""Tests of the timelines that are read from log files."""

import json
import unittest

from persimmonyard.cli.trace import _format_timeline, parse_log_lines, timeline

JOB = "00000000000000a1"


def log_line(second, event, process="core-1", **fields):
    timestamp = f"2026-01-01T00:00:{second:06.3f}Z"
    return json.dumps(
        {"timestamp": timestamp, "event": event, "process": process, **fields}
    )


class TraceTests(unittest.TestCase):
    def setUp(self):
        self.texts = [
            log_line(9.0, "run ended", job=JOB, upstream="u1", end="lost"),
            log_line(1.0, "call answered", job=JOB, outcome="ok"),
            "  1.0310 core-1 "
            + log_line(1.1, "runs placed", job=JOB, seats=["0/1@u1"]),
            log_line(8.5, "upstream does not answer", upstream="u1"),
            log_line(8.6, "upstream does not answer", upstream="u2"),
            log_line(5.0, "runs placed", job="0" * 16, seats=["0/1@u1"]),
            log_line(30.0, "upstream avoided", upstream="u1"),
            "not a log line",
            "{broken",
        ]

    def test_timeline_is_ordered_and_includes_upstream_events(self):
        """Guards against a timeline that omits the cause of a lost run.

        The cause is logged as an event of the upstream, in a line that does
        not mention the job.  Lines of other jobs and upstreams, lines after
        the end of the job and lines that are not JSON must be left out.
        """
        lines = timeline(parse_log_lines(self.texts), JOB)
        events = [line.event for line in lines]
        expected = ["call answered", "runs placed", "upstream does not answer"]
        self.assertEqual([*expected, "run ended"], events)
        self.assertEqual("u1", lines[2].fields["upstream"])

    def test_gaps_are_marked(self):
        """Guards against a long time without log lines that is not visible."""
        text = "\n".join(_format_timeline(timeline(parse_log_lines(self.texts), JOB)))
        self.assertIn("7.4 s without a line", text)

    def test_timeline_includes_runs_stopped_for_the_job(self):
        """Guards against a timeline that omits a preemption for the job.

        The preemption is logged for the preempted job and mentions the other
        job only in its reason.
        """
        texts = [
            log_line(1.0, "call answered", job=JOB),
            log_line(2.0, "stopping run", job="b" * 16, reason=f"room for {JOB}"),
        ]
        self.assertEqual(2, len(timeline(parse_log_lines(texts), JOB)))

    def test_unknown_identifier_has_an_empty_timeline(self):
        """Guards against a timeline that consists of lines of other jobs."""
        self.assertEqual([], timeline(parse_log_lines(self.texts), "f" * 16))
