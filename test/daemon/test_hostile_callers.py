"""Tests of real processes under groups of hostile clients.

The limits are lowered in the settings, so that small groups exceed them.  The
tests check bounds on memory and descriptors, that the process lives, and that
it answers an ordinary request afterwards.  ``test/run.py`` runs this module
alone.
"""

import os
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import httpx
import psutil

from persimmonyard.standin.deployment import Deployment, bind_free_port
from test.daemon.hostile_clients import Group, send_as_group
from test.platform_adapter.test_end_to_end import (
    CREDENTIAL_HEADER,
    configuration_body,
    report_body,
)

DEADLINE_S = 60.0
# Names of the groups that call every listener.
DECLARED = "declared over the limit"
CHUNKED = "chunked over the limit"
HELD = "held under the limit"
PIPELINED = "pipelined"
# What a process may gain in memory while a group calls it, in bytes.  The
# budget below is a third of it; the rest is for what Python and the C library
# do not return.
MEMORY_BOUND = 24 << 20
# Descriptors that a process may open beside the group's connections.
DESCRIPTOR_BOUND = 32
BODY_BYTES = 1 << 20
INTAKE = f"""
[intake]
memory_bytes = {8 << 20}
connection_bytes = {(1 << 20) + (128 << 10)}
body_bytes = {BODY_BYTES}
"""
LIMITS = f"""
[limits]
body_bytes = {BODY_BYTES}
[intake]
memory_bytes = {8 << 20}
connection_bytes = {(1 << 20) + (128 << 10)}
"""
SETTINGS = """
[process]
name = "{name}"
role = "{role}"
zone = "z1"
[addresses]
ip = "127.0.0.1"
peer_port = {peer_port}
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
control = "127.0.0.1:{control}"
metrics_port = {metrics}
[group]
seeds = ["127.0.0.1:{control}"]
first_start = true
data_folder = "{folder}"
[bounds]
longest_lease_ms = 10000
gang_patience_ms = 3000
state_kept_s = 120
heartbeat_ms = 600000
stop_grace_s = 0.5
contact_ms = 3000
"""


def groups(method, path, header=""):
    """Return the groups that call one path of a listener.

    ``header`` is added to each head that is not one without headers.
    """
    start = f"{method} {path} HTTP/1.1\r\n"
    head = f"{start}Host: h.example\r\n{header}"
    chunked = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
    many = f"{head}Content-Length: {64 << 20}\r\n\r\n".encode()
    held = f"{head}Content-Length: {BODY_BYTES}\r\n\r\n".encode()
    chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    get = f"GET {path} HTTP/1.1\r\nHost: h.example\r\n{header}\r\n".encode()
    return (
        Group(DECLARED, 32, many, b"x" * 65_536, (4 << 20) - 1),
        Group(CHUNKED, 32, chunked, chunk, (4 << 20) - 1),
        Group("small chunks", 4, chunked, b"4\r\nxxxx\r\n", 256 << 10),
        Group(HELD, 64, held, b"x" * 65_536, BODY_BYTES - 1),
        Group(PIPELINED, 24, b"", get, 8 << 20),
        Group("pipelined without headers", 24, b"", b"GET / HTTP/1.1\r\n\r\n", 8 << 20),
        Group("pipelined, HTTP/1.0", 24, b"", b"GET / HTTP/1.0\r\n\r\n", 8 << 20),
        Group("heads without end", 64, start.encode(), b"x: y\r\n", 1 << 20),
        Group("header without end", 64, start.encode() + b"x: ", b"y" * 4_096, 1 << 20),
    )


def select(calls, *names):
    """Return the groups of these names."""
    return [group for group in calls if group.name in names]


class HostileCallerTests(unittest.TestCase):
    """One process is called by one group at a time."""

    def assert_group_is_bounded(self, address, process, group, is_answered):
        """Let a group call a process that has answered nothing else yet.

        ``is_answered`` sends an ordinary request and returns whether it got
        the answer that is due.
        """
        self.wait_until(is_answered)
        before = psutil.Process(process.pid)
        memory, descriptors = before.memory_info().rss, before.num_fds()
        peak = send_as_group(address, group, process.pid)
        gained = peak.memory - memory
        if os.environ.get("PERSIMMONYARD_TEST_FIGURES"):
            opened = peak.descriptors - descriptors
            name = self.id().rpartition(".")[2]
            print(f"{name}, {group.name}: {gained >> 20} MiB, {opened}", flush=True)
        self.assertIsNone(process.poll())
        self.assertLess(gained, MEMORY_BOUND)
        most = descriptors + group.clients + DESCRIPTOR_BOUND
        self.assertLess(peak.descriptors, most)
        self.wait_until(is_answered)

    def wait_until(self, is_true):
        """Wait until a request gets its answer."""
        deadline = time.monotonic() + DEADLINE_S
        while time.monotonic() < deadline:
            try:
                if is_true():
                    return
            except httpx.HTTPError:
                pass
            time.sleep(0.1)
        self.fail("no answer to an ordinary request")


class JobServiceTests(HostileCallerTests):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.port_by_use = {}
        for use in ("peer_port", "callers", "readiness", "control"):
            self.port_by_use[use] = self.reserve_port()
        self.process_by_role = {}
        self.addCleanup(self.stop)
        self.start("job-control")
        self.wait_until(self.configure)

    def stop(self):
        for process in self.process_by_role.values():
            process.kill()
            process.wait(DEADLINE_S)

    def reserve_port(self):
        reserved_socket = bind_free_port()
        self.addCleanup(reserved_socket.close)
        return reserved_socket.getsockname()[1]

    def start(self, role):
        """Start a process anew; its metrics port is the use ``metrics``."""
        earlier = self.process_by_role.get(role)
        if earlier is not None:
            earlier.kill()
            earlier.wait(DEADLINE_S)
        self.port_by_use["metrics"] = self.reserve_port()
        path = self.folder / f"{role}.toml"
        text = SETTINGS.format(
            name=role, role=role, folder=self.folder / "data", **self.port_by_use
        )
        path.write_text(text + INTAKE)
        with open(self.folder / f"{role}.log", "wb") as log:
            self.process_by_role[role] = subprocess.Popen(
                [sys.executable, "-m", "persimmonyard.platform.main"],
                env={**os.environ, "PERSIMMONYARD_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )

    def url(self, use, path):
        return f"http://127.0.0.1:{self.port_by_use[use]}{path}"

    def request(self, method, use, path, **options):
        """Return the status of a request."""
        url = self.url(use, path)
        return httpx.request(method, url, trust_env=False, **options).status_code

    def configure(self):
        body = configuration_body(1)
        return self.request("PUT", "control", "/api/config", json=body) == 200

    def is_caller_answered(self):
        headers = {"host": "h.example", **CREDENTIAL_HEADER}
        return self.request("GET", "callers", "/p/", headers=headers) == 200

    def is_ready(self):
        return self.request("GET", "readiness", "/") == 200

    def is_measured(self):
        return self.request("GET", "metrics", "/metrics") == 200

    def is_report_accepted(self):
        path = "/api/instances/u1"
        return self.request("PUT", "control", path, json=report_body()) == 200

    def check(self, role, use, calls, is_answered):
        """Let each group call a listener of a process started for it."""
        address = ("127.0.0.1", self.port_by_use[use])
        for group in calls:
            with self.subTest(group.name):
                self.start(role)
                if use == "metrics":
                    address = ("127.0.0.1", self.port_by_use[use])
                process = self.process_by_role[role]
                self.assert_group_is_bounded(address, process, group, is_answered)

    def test_memory_is_bounded_under_callers(self):
        """Guards against an entry that callers make run out of memory."""
        header = "x-persimmonyard-credential: key-1\r\n"
        calls = groups("POST", "/p/5c0e7a21d94b36f8", header)
        self.check("job-entry", "callers", calls, self.is_caller_answered)

    def test_memory_is_bounded_at_the_readiness_path(self):
        """Guards against the same where the load balancer asks."""
        calls = select(groups("GET", "/"), DECLARED, HELD, PIPELINED)
        self.check("job-entry", "readiness", calls, self.is_ready)

    def test_memory_is_bounded_at_the_metrics_port(self):
        """Guards against the same where metrics and state are read."""
        calls = select(groups("GET", "/metrics"), DECLARED, HELD, PIPELINED)
        self.check("job-entry", "metrics", calls, self.is_measured)

    def test_memory_is_bounded_under_operators(self):
        """Guards against a control process without memory for its state."""
        calls = select(groups("PUT", "/api/config"), DECLARED, CHUNKED, PIPELINED)
        self.check("job-control", "control", calls, self.configure)

    def test_memory_is_bounded_under_reports(self):
        """Guards against reports that end the service for all upstreams."""
        calls = select(groups("PUT", "/api/instances/u1"), HELD, PIPELINED)
        self.check("job-control", "control", calls, self.is_report_accepted)


class RequestInterfaceTests(HostileCallerTests):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), controls=1, entries=1)
        self.addCleanup(self.deployment.stop)
        self.deployment.start()

    def restart(self, name):
        """Start a process again with the lowered limits."""
        self.deployment.stop_process(name)
        path = self.deployment.folder / f"{name}.toml"
        path.write_text(path.read_text().partition("[limits]")[0] + LIMITS)
        self.deployment.start_process(name)

    def check(self, name, calls):
        """Let each group call a process started for it."""
        port = self.deployment.http_port_by_name[name]

        def is_answered():
            url = f"http://127.0.0.1:{port}/health"
            return httpx.get(url, trust_env=False).status_code == 200

        for group in calls:
            with self.subTest(group.name):
                self.restart(name)
                process = self.deployment.process_by_name[name]
                address = ("127.0.0.1", port)
                self.assert_group_is_bounded(address, process, group, is_answered)

    def test_memory_is_bounded_at_an_entry(self):
        """Guards against an entry that callers make run out of memory."""
        header = f"Authorization: Bearer {self.deployment.operator_token}\r\n"
        calls = groups("POST", "/v1/operator/configuration", header)
        self.check("entry-1", select(calls, DECLARED, CHUNKED, HELD, PIPELINED))

    def test_memory_is_bounded_at_a_control_process(self):
        """Guards against the same at the inspection port."""
        calls = select(groups("GET", "/health"), HELD, PIPELINED)
        self.check("control-1", calls)
