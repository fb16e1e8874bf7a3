"""Tests of the stories that are read from logs."""

import json
import unittest

from persimmonyard.cli.trace import _format_timeline, parse_log_lines, timeline

JOB = "00000000000000a1"


def line(second, event, process="core-1", **fields):
    stamp = f"2026-01-01T00:00:{second:06.3f}Z"
    return json.dumps(
        {"timestamp": stamp, "event": event, "process": process, **fields}
    )


class TraceTests(unittest.TestCase):
    def setUp(self):
        self.texts = [
            line(9.0, "run ended", job=JOB, upstream="u1", end="lost"),
            line(1.0, "call answered", job=JOB, outcome="ok"),
            "  1.0310 core-1 " + line(1.1, "runs placed", job=JOB, seats=["0/1@u1"]),
            line(8.5, "upstream does not answer", upstream="u1"),
            line(8.6, "upstream does not answer", upstream="u2"),
            line(5.0, "runs placed", job="0" * 16, seats=["0/1@u1"]),
            line(30.0, "upstream avoided", upstream="u1"),
            "not a log line",
            "{broken",
        ]

    def test_story_is_in_order_and_names_what_befell_its_upstreams(self):
        """Guards against a cause that stands in a line without the job."""
        found = timeline(parse_log_lines(self.texts), JOB)
        events = [one.event for one in found]
        expected = ["call answered", "runs placed", "upstream does not answer"]
        self.assertEqual([*expected, "run ended"], events)
        self.assertEqual("u1", found[2].fields["upstream"])

    def test_gaps_are_named(self):
        """Guards against silence that looks like continuity."""
        text = "\n".join(_format_timeline(timeline(parse_log_lines(self.texts), JOB)))
        self.assertIn("7.4 s without a line", text)

    def test_job_that_took_the_room_is_part_of_the_story(self):
        """Guards against a preemption that the winner's story leaves out."""
        texts = [
            line(1.0, "call answered", job=JOB),
            line(2.0, "stopping run", job="b" * 16, reason=f"room for {JOB}"),
        ]
        self.assertEqual(2, len(timeline(parse_log_lines(texts), JOB)))

    def test_unknown_identifier_has_no_story(self):
        """Guards against a story made of other jobs' lines."""
        self.assertEqual([], timeline(parse_log_lines(self.texts), "f" * 16))
