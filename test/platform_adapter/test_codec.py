"""Tests of the codec for the platform's JSON bodies."""

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

REPORT = {
    "service": "svc",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
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


NOW_MS = REPORT["born"] + 1_000


def encode(value):
    return json.dumps(value).encode()


class JobBodyTests(unittest.TestCase):
    def test_all_step_fields_are_decoded(self):
        """Guards against a scheduling constraint that is lost in decoding.

        A field under a wrong name would be ignored, and the task would be
        placed without its constraint.
        """
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

    def test_invalid_jobs_are_rejected(self):
        """Guards against accepting a job that is never placed or crashes.

        Malformed JSON, fields of a wrong type, a job without steps or tasks,
        and a step that depends on itself must be rejected in decoding.
        """
        bodies = [
            b"{",
            b"[]",
            encode({"steps": []}),
            encode({"steps": [{"count": 0}]}),
            encode({"steps": [{"count": 10**9}]}),
            encode({"steps": [{}], "repeat_count": 10**9}),
            encode({"steps": [{}], "repeat_count": -1}),
            encode({"steps": [{"count": "many"}]}),
            encode({"steps": [{"depends_on": [0]}]}),
        ]
        for body in bodies:
            with self.subTest(body), self.assertRaises(BadBodyError):
                decode_job(body)

    def test_values_out_of_range_are_rejected(self):
        """Guards against a job whose values cannot be stored or planned.

        The first values are valid and extreme.
        """
        largest = 2**53 - 1
        names = ("cpu", "mem_mb", "gpu", "estimate_ms", "anti_affinity", "may_miss")
        for number in (0, largest, -1, largest + 1, 2**64, 10**30, 1.5, "1"):
            valid = number in (0, largest)
            for name in (*names, "target_ms"):
                self.check_job({"steps": [{name: number}]}, valid)
            for name in ("start_at_ms", "interval_ms"):
                self.check_job({"steps": [{}], name: number}, valid)
        for name in ("constraints", "affinity", "image"):
            self.check_job({"steps": [{name: "n" * 256}]}, True)
            self.check_job({"steps": [{name: "n" * 257}]}, False)
        self.check_job({"steps": [{}], "spec": "s" * 4_000}, True)
        self.check_job({"steps": [{}], "spec": "\u00e9" * 2_001}, False)

    def test_repeated_dependencies_count_once(self):
        """Guards against work that grows with the length of a list."""
        body = {"steps": [{}, {"depends_on": [0] * 60_000}]}
        self.assertEqual((0,), decode_job(encode(body)).steps[1].depends_on)

    def check_job(self, body, valid):
        with self.subTest(body):
            if valid:
                decode_job(encode(body))
                return
            with self.assertRaises(BadBodyError):
                decode_job(encode(body))


class ReportTests(unittest.TestCase):
    def test_report_contains_rack_and_incarnation(self):
        """Guards against placements that ignore the rack of an upstream.

        The rack is the second label, the incarnation is ``born``, and the
        state "draining" means that the upstream is leaving.
        """
        report = decode_report("i-1", encode(REPORT), NOW_MS)
        self.assertEqual(("r1-3", 1790049573752), (report.rack, report.incarnation))
        self.assertFalse(report.leaving)
        leaving = decode_report("i-1", encode(REPORT | {"state": "draining"}), NOW_MS)
        self.assertTrue(leaving.leaving)

    def test_invalid_reports_are_rejected(self):
        """Guards against registering an upstream from a malformed report.

        Something other than an upstream may send an unknown state, fields of
        a wrong type, incomplete JSON objects or bytes that are not UTF-8.
        """
        for change in ({"state": "sleeping"}, {"seq_no": "x"}, {"capacity": 3}):
            with self.subTest(change), self.assertRaises(BadBodyError):
                decode_report("i-1", encode(REPORT | change), NOW_MS)
        for name in REPORT.keys() - {"born"}:
            missing = dict(REPORT)
            del missing[name]
            with self.subTest(missing=name), self.assertRaises(BadBodyError):
                decode_report("i-1", encode(missing), NOW_MS)
        with self.assertRaises(BadBodyError):
            decode_report("i-1", b"\xff\xfe", NOW_MS)

    def test_values_out_of_range_are_rejected(self):
        """Guards against a report whose values cannot be stored.

        The first values are valid and extreme.
        """
        largest = 2**53 - 1
        for number in (0, 1, largest, -1, largest + 1, 2**63, 2**64, 10**30, 1e3):
            for name in ("seq_no", "clock_ms", "drain_remaining_ms"):
                self.check_report({name: number}, number in (0, 1, largest))
            for name in ("slots", "cold_left_ms"):
                self.check_report({name: number}, number in (0, 1, largest, 1e3))
        for number in (0, 10_000, 10_001, 10**9, 10**9 + 1, -1, 2**63, 10**30, 1e3):
            for name, most in (("cpu", 10**9), ("mem_mb", 10**9), ("gpu", 10_000)):
                capacity = REPORT["capacity"] | {name: number}
                valid = isinstance(number, int) and 0 <= number <= most
                self.check_report({"capacity": capacity}, valid)
        self.check_report({"version": 3}, False)
        self.check_report({"slots": "8"}, False)
        self.check_report({"state": "s" * 1_000_000}, False)
        for name in ("service", "zone"):
            self.check_report({name: "n" * 256}, True)
            self.check_report({name: "n" * 257}, False)
            self.check_report({name: ""}, False)
        self.check_report({"labels": ["", "n" * 256] * 32}, True)
        self.check_report({"labels": ["n" * 257]}, False)
        self.check_report({"labels": ["a"] * 65}, False)

    def test_addresses_are_checked(self):
        """Guards against orders to an address that cannot be connected to."""
        for address in ("10.0.0.9:1", "10.0.0.9:65535", "255.1.0.0:80"):
            self.check_report({"address": address}, True)
        for host in ("10.0.0.9", "10.0.0.09", "10.0.0", "300.0.0.1", "", "h"):
            for port in ("0", "65536", "99999999", "-1", "+80", "8O", "", " 80"):
                self.check_report({"address": f"{host}:{port}"}, False)
        for address in ("10.0.0.9", "[::1]:80", "u@10.0.0.9:80", "10.0.0.9:\u0661"):
            self.check_report({"address": address}, False)

    def test_start_in_the_future_is_rejected(self):
        """Guards against an upstream that counts as newer than all others.

        Times of day differ by seconds between instances, so that a start a
        few seconds ahead is valid.
        """
        for ahead_ms in (0, 5_000, 60_000):
            self.check_report({"born": NOW_MS + ahead_ms}, True)
        for ahead_ms in (60_001, 86_400_000, 2**52):
            self.check_report({"born": NOW_MS + ahead_ms}, False)
            with self.assertRaises(BadBodyError):
                body = {"clock_ms": 5, "born": NOW_MS + ahead_ms}
                decode_listing(encode(body), NOW_MS)

    def check_report(self, change, valid):
        body = encode(REPORT | change)
        with self.subTest(change):
            if valid:
                decode_report("i-1", body, NOW_MS)
                return
            with self.assertRaises(BadBodyError):
                decode_report("i-1", body, NOW_MS)


class ConfigurationBodyTests(unittest.TestCase):
    def test_configuration_text_is_kept_unchanged(self):
        """Guards against a configuration that is read back differently.

        The text is kept as it was sent, including fields that are unknown.
        """
        body = encode({"version": 3, "routes": [ROUTE], "services": [], "x": 1})
        self.assertEqual(body, decode_configuration(body).text)

    def test_limits_of_accounts_are_decoded(self):
        """Guards against a limit that binds another resource."""
        limit = {"cpu": 722_000, "mem_mb": 9_000, "gpu": 162}
        tenants = [{"name": "t", "max_count": limit, "weight": 2.5}, {"name": "u"}]
        body = {"version": 3, "routes": [], "services": [], "tenants": tenants}
        limited, unlimited = decode_configuration(encode(body)).accounts
        self.assertEqual(Resources(162, 722_000, 9_000), limited.limit)
        self.assertEqual((2.5, 0.0), (limited.weight, unlimited.weight))
        self.assertEqual(Resources(0, 0, 0), unlimited.limit)

    def test_incomplete_configuration_is_rejected(self):
        """Guards against applying only part of a configuration.

        Truncated JSON, missing fields and a version that is not a number must
        be rejected.
        """
        body = encode({"version": 3, "routes": [ROUTE], "services": []})
        for invalid in (body[:-5], encode({"version": 3}), encode({"version": "x"})):
            with self.subTest(invalid), self.assertRaises(BadBodyError):
                decode_configuration(invalid)

    def test_values_out_of_range_are_rejected(self):
        """Guards against a configuration that cannot be stored or obeyed.

        An empty key would belong to every caller without a key, and without
        an attempt a job would fail with its first lost run.  The first values
        are valid and extreme.
        """
        for number in (1, 2**53 - 1, -1, 2**53, 2**64, 10**30, "1", True):
            valid = number in (1, 2**53 - 1) and number is not True
            for name in ("timeout_ms", "priority", "attempts"):
                self.check_route({name: number}, valid)
            for name in ("target_completion_ms", "stretch"):
                self.check_route({name: number}, valid)
            changes = [{"guaranteed": {"gpu": number}}, {"weight": number}]
            for name in ("cpu", "mem_mb", "gpu"):
                changes.append({"max_count": {name: number}})
            for change in changes:
                self.check_configuration({"tenants": [{"name": "t"} | change]}, valid)
            self.check_configuration({"limits": {"max_body_bytes": number}}, valid)
        for version in (0, 2**53, 2**63 - 1, -1, 2**63, 2**64, 10**30, 1.0):
            self.check_configuration(
                {"version": version}, version in (0, 2**53, 2**63 - 1)
            )
        self.check_route({"attempts": 0}, False)
        self.check_route({"stretch": 1.5, "target_completion_ms": 0}, True)
        for name in ("name", "host", "service"):
            self.check_route({name: "n" * 256}, True)
            self.check_route({name: "n" * 257}, False)
            self.check_route({name: ""}, False)
        self.check_route({"path_prefix": "/"}, True)
        self.check_route({"path_prefix": ""}, False)
        self.check_route({"path_prefix": "p/"}, False)
        self.check_configuration({"services": [{"name": ""}]}, False)
        self.check_configuration({"tenants": [{"name": ""}]}, False)
        tenant = {"name": "t", "api_keys": ["k", ""]}
        self.check_configuration({"tenants": [tenant]}, False)

    def check_route(self, change, valid):
        self.check_configuration({"routes": [ROUTE | change]}, valid)

    def check_configuration(self, change, valid):
        body = encode({"version": 3, "routes": [ROUTE], "services": []} | change)
        with self.subTest(change):
            if valid:
                decode_configuration(body)
                return
            with self.assertRaises(BadBodyError):
                decode_configuration(body)


class UnreadableBodyTests(unittest.TestCase):
    def test_unreadable_fields_are_rejected_even_if_they_are_skipped(self):
        """Guards against errors other than ``BadBodyError`` in decoding.

        The bodies are valid except for one field that is not read, with deep
        nesting or bytes that are not UTF-8.
        """
        cases = (
            (decode_job, {"steps": [{"cpu": 1}]}),
            (lambda body: decode_report("i-1", body, NOW_MS), REPORT),
            (decode_configuration, {"version": 3, "routes": [], "services": []}),
            (lambda body: decode_listing(body, NOW_MS), {"clock_ms": 5}),
        )
        for decode, body in cases:
            decode(encode(body))
            for odd_value in (b"[" * 100_000 + b"]" * 100_000, b'"\xff"'):
                odd_body = encode(body)[:-1] + b',"x":' + odd_value + b"}"
                with self.subTest(body), self.assertRaises(BadBodyError):
                    decode(odd_body)


class RunListingTests(unittest.TestCase):
    def test_rows_are_decoded_to_runs_and_ends(self):
        """Guards against attributing an end to another task.

        The fields of a row are identified only by their position; further
        fields at the end of a row are ignored.
        """
        task_name = "5c0e7a21d94b36f8.0.1.17"
        body = {
            "clock_ms": 5,
            "born": 9,
            "running": [[task_name, 2, "c", 41, 3]],
            "ended": [[58, task_name, 1, "done", ""]],
        }
        listing = decode_listing(encode(body), NOW_MS)
        expected = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
        self.assertEqual(expected, listing.running[0].task_key)
        self.assertEqual(41, listing.running[0].percent)
        self.assertEqual(TaskEnd.DONE, listing.ended[0].end)
        self.assertEqual(task_name, format_task_key(expected))

    def test_full_page_of_ends_is_not_complete(self):
        """Guards against a finished task that counts as never started.

        The platform lists 500 ends at a time.
        """
        for count, complete in ((0, True), (499, True), (500, False)):
            ended = [[n + 1, f"a.0.0.{n}", 1, "done", ""] for n in range(count)]
            body = {"clock_ms": 5, "born": 9, "running": [], "ended": ended}
            listing = decode_listing(encode(body), NOW_MS)
            self.assertEqual(complete, listing.complete, count)

    def test_unknown_ends_are_rejected(self):
        """Guards against guessing the meaning of an unknown kind of end."""
        body = {"clock_ms": 5, "ended": [[1, "a.0.0.0", 1, "vanished", ""]]}
        with self.assertRaises(BadBodyError):
            decode_listing(encode(body), NOW_MS)

    def test_values_out_of_range_are_rejected(self):
        """Guards against ends and clocks that no later ones can follow.

        An end with a number beyond all others would acknowledge every later
        end unseen.
        """
        largest = 2**53 - 1
        for number in (1, 100, largest, -1, 2**53, 2**64, 10**30, 1.5, "1"):
            valid = number in (1, 100, largest)
            self.check_listing({"clock_ms": number}, valid)
            self.check_listing({"ended": [[number, "a.0.0.0", 1, "done"]]}, valid)
            self.check_listing({"ended": [[1, "a.0.0.0", number, "done"]]}, valid)
            self.check_listing({"running": [["a.0.0.0", number, "", 0]]}, valid)
            percent_valid = valid and number != largest
            row = ["a.0.0.0", 1, "", number]
            self.check_listing({"running": [row]}, percent_valid)
        self.check_listing({"ended": [[0, "a.0.0.0", 1, "done"]]}, False)
        self.check_listing({"running": [["a.0.0.0", 1, "c" * 4_096, 0]]}, True)
        self.check_listing({"running": [["a.0.0.0", 1, "c" * 4_097, 0]]}, False)

    def test_odd_task_names_are_rejected(self):
        """Guards against reading a name that the system would not write."""
        names = ("", "a", "a.0.0", "a.0.0.0.0", ".0.0.0", "a.-1.0.0", "a.+1.0.0")
        names += ("a.1_0.0.0", "a. 1.0.0", "a.\u0661.0.0", "a.0.0." + "9" * 5_000)
        for name in names:
            self.check_listing({"running": [[name, 1, "", 0]]}, False)

    def check_listing(self, change, valid):
        body = encode({"clock_ms": 5} | change)
        with self.subTest(str(change)[:100]):
            if valid:
                decode_listing(body, NOW_MS)
                return
            with self.assertRaises(BadBodyError):
                decode_listing(body, NOW_MS)
