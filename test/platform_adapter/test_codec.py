"""Tests of the platform's bodies."""

import json
import unittest

from persimmonyard.jobs import TaskEnd, TaskKey
from persimmonyard.model import Resources
from persimmonyard.platform.codec import (
    BadBodyError,
    decode_configuration,
    decode_job,
    decode_listing,
    decode_report,
    format_task_key,
)

BEAT = {
    "service": "svc",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq_no": 4,
    "born": 1790049573752,
}
ROUTE = {
    "name": "r-1",
    "host": "h.example",
    "path_prefix": "/p/",
    "service": "svc",
    "timeout_ms": 3000,
}


def encode(value):
    return json.dumps(value).encode()


class JobBodyTests(unittest.TestCase):
    def test_every_field_reaches_the_step(self):
        """Guards against a constraint that is lost on the way."""
        body = {
            "spec": "text",
            "steps": [
                {
                    "count": 3,
                    "cpu": 500,
                    "mem_mb": 256,
                    "gpu": 2,
                    "estimate_ms": 900,
                    "constraints": "a",
                    "affinity": "r1-3",
                    "anti_affinity": 2,
                    "gang": True,
                    "same_rack": True,
                    "checkpointing": True,
                }
            ],
        }
        job = decode_job(encode(body))
        step = job.steps[0]
        self.assertEqual(Resources(2, 500, 256), step.needs)
        self.assertEqual(("a", "r1-3", 2), (step.label, step.rack, step.per_upstream))
        self.assertTrue(step.gang and step.one_rack and step.checkpoints)

    def test_unusable_jobs_are_refused(self):
        """Guards against a job that could never be placed or would crash."""
        bodies = [
            b"{",
            b"[]",
            encode({"steps": []}),
            encode({"steps": [{"count": 0}]}),
            encode({"steps": [{"count": "many"}]}),
            encode({"steps": [{"depends_on": [0]}]}),
        ]
        for body in bodies:
            with self.subTest(body), self.assertRaises(BadBodyError):
                decode_job(body)


class ReportTests(unittest.TestCase):
    def test_report_names_rack_and_incarnation(self):
        """Guards against placements that ignore where an upstream stands."""
        report = decode_report("i-1", encode(BEAT))
        self.assertEqual(("r1-3", 1790049573752), (report.rack, report.incarnation))
        self.assertFalse(report.leaving)
        leaving = decode_report("i-1", encode(BEAT | {"state": "draining"}))
        self.assertTrue(leaving.leaving)

    def test_reports_of_other_writers_are_refused(self):
        """Guards against a malformed report that names an upstream."""
        for change in ({"state": "sleeping"}, {"seq_no": "x"}, {"capacity": 3}):
            with self.subTest(change), self.assertRaises(BadBodyError):
                decode_report("i-1", encode(BEAT | change))
        missing = dict(BEAT)
        del missing["address"]
        with self.assertRaises(BadBodyError):
            decode_report("i-1", encode(missing))
        with self.assertRaises(BadBodyError):
            decode_report("i-1", b"\xff\xfe")


class ConfigurationBodyTests(unittest.TestCase):
    def test_text_is_kept_as_sent(self):
        """Guards against a read-back that differs from what was sent."""
        body = encode({"version": 3, "routes": [ROUTE], "services": [], "x": 1})
        self.assertEqual(body, decode_configuration(body).text)

    def test_cut_configuration_is_refused(self):
        """Guards against a configuration that was read only in part."""
        body = encode({"version": 3, "routes": [ROUTE], "services": []})
        for bad in (body[:-5], encode({"version": 3}), encode({"version": "x"})):
            with self.subTest(bad), self.assertRaises(BadBodyError):
                decode_configuration(bad)


class ListingTests(unittest.TestCase):
    def test_rows_become_runs_and_ends(self):
        """Guards against an end that is attributed to another task."""
        name = "5c0e7a21d94b36f8.0.1.17"
        body = {
            "clock_ms": 5,
            "born": 9,
            "running": [[name, 2, "c", 41, 3]],
            "ended": [[58, name, 1, "done", ""]],
        }
        listing = decode_listing(encode(body))
        expected = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
        self.assertEqual(expected, listing.running[0].task_key)
        self.assertEqual(41, listing.running[0].percent)
        self.assertEqual(TaskEnd.DONE, listing.ended[0].end)
        self.assertEqual(name, format_task_key(expected))

    def test_unknown_ends_are_refused(self):
        """Guards against an end whose meaning is guessed."""
        body = {"clock_ms": 5, "ended": [[1, "a.0.0.0", 1, "vanished", ""]]}
        with self.assertRaises(BadBodyError):
            decode_listing(encode(body))
