"""Tests of the settings of the job roles."""

import tempfile
import unittest
from pathlib import Path

from persimmonyard.daemon.jobs.durations import derive_durations
from persimmonyard.daemon.jobs.settings import load_job_settings, peer_seeds
from persimmonyard.model import UserError

GOOD = """
[process]
name = "core-1"
role = "job-control"
zone = "z1"
[addresses]
ip = "10.1.0.2"
peer_port = 7000
control = "10.1.0.2:8526"
[group]
seeds = ["10.1.0.2:8526", "10.2.0.2:8526"]
first_start = true
data_folder = "data"
[bounds]
longest_lease_ms = 10000
gang_patience_ms = 3000
state_kept_s = 120
heartbeat_ms = 1500
stop_grace_s = 6
contact_ms = 3000
"""


class JobSettingsTests(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            return load_job_settings(path)

    def test_good_settings_are_read(self):
        """Guards against a process that calls its peers on a wrong port."""
        settings = self.load(GOOD)
        self.assertEqual(["10.1.0.2:7000", "10.2.0.2:7000"], peer_seeds(settings))

    def test_bad_settings_name_the_key(self):
        """Guards against a process that starts with invalid settings.

        The error has to name the key.
        """
        for old, new, word in (
            ('"job-control"', '"front"', "process.role"),
            ("heartbeat_ms = 1500", "heartbeat_ms = 0", "bounds.heartbeat_ms"),
            ('data_folder = "data"', "", "group.data_folder"),
            ('["10.1.0.2:8526", "10.2.0.2:8526"]', "[]", "group.seeds"),
            ("contact_ms = 3000", "contact_ms = 3000\nextra = 1", "extra"),
            ("[process]", "[limits]\nmemory_mb = 0\n[process]", "limits.memory_mb"),
            ("[group]", "[group]\ntolerated_losses = -1", "group.tolerated_losses"),
            ("[process]", "[process", "TOML"),
        ):
            with self.subTest(new), self.assertRaises(UserError) as caught:
                self.load(GOOD.replace(old, new))
            self.assertIn(word, caught.exception.message)

    def test_memory_for_jobs_follows_from_the_instance(self):
        """Guards against more accepted jobs than the instance can hold."""
        settings = self.load(GOOD + "[limits]\nmemory_mb = 296\n")
        self.assertEqual(74_000_000, settings.work_budget())
        self.assertGreater(self.load(GOOD).work_budget(), 0)

    def test_platform_may_leave_optional_values_empty(self):
        """Guards against processes that do not start on another platform."""
        filled = GOOD + 'longest_stop_ms = "900"\n[limits]\nmemory_mb = "296"\n'
        filled = filled.replace("[group]", '[group]\ntolerated_losses = "2"')
        settings = self.load(filled)
        self.assertEqual(2, settings.group.tolerated_losses)
        self.assertEqual(900, settings.bounds.longest_stop_ms)
        self.assertEqual(296, settings.limits.memory_mb)
        empty = filled
        for value in ('"900"', '"296"', '"2"'):
            empty = empty.replace(value, '""')
        self.assertEqual(self.load(GOOD), self.load(empty))
        with self.assertRaises(UserError):
            self.load(filled.replace('"296"', '"many"'))

    def test_durations_keep_the_bounds(self):
        """Guards against durations that exceed the platform's limits.

        A lease must not exceed the longest one, nor a start the gang patience.
        """
        bounds = self.load(GOOD).bounds
        found = derive_durations(bounds)
        self.assertLessEqual(found.lease_ms, bounds.longest_lease_ms)
        self.assertLess(found.start_timeout_s * 1_000, bounds.gang_patience_ms)
        self.assertLess(found.order_timeout_s, found.start_timeout_s)
        self.assertGreater(found.retention_ms, bounds.state_kept_s * 1_000)
