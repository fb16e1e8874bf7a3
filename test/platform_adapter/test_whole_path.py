"""Tests of the whole path: three control processes, an entry, one upstream.

Everything runs in one event loop on loopback addresses, and speaks the
platform's HTTP with a client, an operator and an upstream of the test.
"""

import asyncio
import json
import socket
import tempfile
import unittest
from pathlib import Path

import httpx

from persimmonyard.daemon.jobs.control_process import JobControlProcess
from persimmonyard.daemon.jobs.entry_process import JobEntryProcess
from persimmonyard.daemon.jobs.settings import (
    AddressSettings,
    BoundSettings,
    GroupSettings,
    JobSettings,
    ProcessSettings,
)
from persimmonyard.jobs import TaskEnd
from persimmonyard.platform.callers import build_caller_apps
from persimmonyard.platform.control import build_control_app
from test.daemon.jobs.fakes import FakeUpstreamClient, wait_until

CONTROL_IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
ENTRY_IP = "127.0.0.4"
BOUNDS = BoundSettings(
    longest_lease_ms=10_000,
    gang_patience_ms=3_000,
    state_kept_s=120,
    heartbeat_ms=600_000,
    stop_grace_s=0.5,
    contact_ms=3_000,
)
JOB = "5c0e7a21d94b36f8"
KEY = {"x-persimmonyard-credential": "key-1"}
BODY = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "gpu": 1}]}


def configuration(version, **route):
    fields = {
        "name": "r-1",
        "host": "h.example",
        "path_prefix": "/p/",
        "service": "svc",
        "timeout_ms": 3000,
        "priority": 1,
    }
    return {
        "version": version,
        "routes": [fields | route],
        "services": [{"name": "svc"}],
        "tenants": [{"name": "clinic", "api_keys": ["key-1"]}],
    }


def beat(state="ready", sequence=1):
    return {
        "service": "svc",
        "address": "u1:80",
        "zone": "z1",
        "state": state,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
        "labels": ["a", "r1"],
        "clock_ms": 1000,
        "seq_no": sequence,
        "born": 1,
    }


def free_port():
    """Return a port that is free on the addresses of the test."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class WholePathTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.peer_port, self.control_port = free_port(), free_port()
        self.port = FakeUpstreamClient()
        self.upstream = self.port.add("u1")
        self.controls = {ip: self.control(ip) for ip in CONTROL_IPS}
        for control in self.controls.values():
            await control.start()
        entry = self.settings(ENTRY_IP, "job-entry", False)
        self.entry = JobEntryProcess(entry, Path("unused"), build_caller_apps)
        await self.entry.start()
        self.calls = httpx.AsyncClient(
            base_url=f"http://{entry.addresses.callers}",
            headers={"host": "h.example", **KEY},
        )
        self.operator = httpx.AsyncClient(follow_redirects=True)
        await self.put(configuration(1))

    async def asyncTearDown(self):
        await self.calls.aclose()
        await self.operator.aclose()
        await self.entry.stop()
        for control in self.controls.values():
            await control.stop()

    def control(self, ip):
        settings = self.settings(ip, "job-control", True)
        return JobControlProcess(settings, self.port, build_control_app)

    def settings(self, ip, role, first_start):
        addresses = AddressSettings(
            ip,
            self.peer_port,
            callers=f"{ip}:{free_port()}",
            readiness=f"{ip}:{free_port()}",
            control=f"{ip}:{self.control_port}",
        )
        seeds = [f"{one}:{self.control_port}" for one in CONTROL_IPS]
        data = str(Path(self.folder.name) / ip)
        return JobSettings(
            ProcessSettings(ip, role, "z1"),
            addresses,
            GroupSettings(seeds, first_start, data),
            BOUNDS,
        )

    # Callers of the control address.

    async def order(self, method, path, body=None, status=200):
        """Send an order to any process until it gets a clear answer."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with asyncio.timeout(20.0):
            while True:
                for ip in self.controls:
                    url = f"http://{ip}:{self.control_port}{path}"
                    try:
                        reply = await self.operator.request(
                            method, url, content=content
                        )
                    except httpx.HTTPError:
                        continue
                    if reply.status_code < 500:
                        self.assertEqual(status, reply.status_code, reply.text)
                        return reply
                await asyncio.sleep(0.05)

    async def put(self, body, status=200):
        return await self.order("PUT", "/api/config", body, status)

    async def report(self, **fields):
        return await self.order("PUT", "/api/instances/u1", beat(**fields))

    async def state(self):
        return (await self.calls.get(f"/p/{JOB}")).json()["state"]

    def leader(self):
        for ip, control in self.controls.items():
            if control.leader_term is not None and control.leader_term.leads():
                return ip
        return None

    # Tests.

    async def test_job_runs_to_its_end(self):
        """Guards against a path that loses a job between two processes."""
        reply = await self.report()
        self.assertIn(str(self.control_port), reply.json()["heartbeat_addr"])
        posted = await self.calls.post(f"/p/{JOB}", json=BODY)
        self.assertEqual(200, posted.status_code, posted.text)
        again = await self.calls.post(f"/p/{JOB}", json=BODY)
        self.assertEqual(200, again.status_code)
        await wait_until(lambda: len(self.upstream.started) == 2)
        self.assertEqual("running", await self.state())
        for name, _, _ in list(self.upstream.started):
            self.upstream.end(name, TaskEnd.DONE)
        async with asyncio.timeout(20.0):
            while await self.state() != "completed":  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.assertEqual(2, len(self.upstream.started))

    async def test_refusals_are_told_apart(self):
        """Guards against an answer that misleads a caller."""
        unknown = await self.calls.get(f"/p/{JOB}")
        self.assertEqual(410, unknown.status_code)
        cases = (
            ("POST", f"/q/{JOB}", KEY, 404),
            ("POST", f"/p/{JOB}", {"x-persimmonyard-credential": "no"}, 401),
            ("PATCH", f"/p/{JOB}", KEY, 405),
        )
        for method, path, headers, status in cases:
            reply = await self.calls.request(method, path, json=BODY, headers=headers)
            self.assertEqual(status, reply.status_code, path)
        bad = await self.calls.post(f"/p/{JOB}", content=b"{")
        self.assertEqual(400, bad.status_code)
        self.assertEqual(410, (await self.calls.get(f"/p/{JOB}")).status_code)

    async def test_waiting_jobs_are_counted_and_cancelled(self):
        """Guards against a cancelled job that starts when there is room."""
        await self.calls.post(f"/p/{JOB}", json=BODY)
        self.assertEqual(1, (await self.calls.get("/p/")).json()["pending"])
        self.assertEqual("queued", await self.state())
        cancelled = await self.calls.delete(f"/p/{JOB}")
        self.assertEqual(200, cancelled.status_code)
        self.assertEqual("cancelled", await self.state())
        await self.report()
        await asyncio.sleep(0.3)
        self.assertEqual([], self.upstream.started)

    async def test_configuration_is_read_back_as_sent_from_any_process(self):
        """Guards against a version that some process does not know."""
        body = configuration(5, timeout_ms=1234)
        await self.put(body)
        await self.put(configuration(3))
        await self.put(configuration(6, timeout_ms=0), status=400)
        await self.put(b'{"version": 7, "routes": [', status=400)
        for ip in CONTROL_IPS:
            reply = await self.operator.get(
                f"http://{ip}:{self.control_port}/api/config"
            )
            self.assertEqual(body, reply.json())

    async def test_zone_out_of_service_gets_no_start(self):
        """Guards against a start in a zone that was taken out."""
        await self.report()
        await self.order("POST", "/api/evacuation/z1")
        await self.calls.post(f"/p/{JOB}", json=BODY)
        await asyncio.sleep(0.3)
        self.assertEqual([], self.upstream.started)
        await self.order("DELETE", "/api/evacuation/z1")
        await wait_until(lambda: len(self.upstream.started) == 2)

    async def test_malformed_reports_name_no_upstream(self):
        """Guards against a report of another writer that is believed."""
        await self.order("PUT", "/api/instances/u1", b"\xff", status=400)
        await self.order("PUT", "/api/instances/u1", {"state": "ready"}, status=400)
        await self.calls.post(f"/p/{JOB}", json=BODY)
        await asyncio.sleep(0.2)
        self.assertEqual([], self.upstream.started)

    async def test_next_leader_goes_on_with_jobs_and_configuration(self):
        """Guards against accepted work that is lost with its leader."""
        await self.report()
        await self.calls.post(f"/p/{JOB}", json=BODY)
        await wait_until(lambda: len(self.upstream.started) == 2)
        await self.controls.pop(self.leader()).stop()
        await wait_until(lambda: self.leader() is not None, 20.0)
        self.assertEqual("running", await self.state())
        await wait_until(lambda: self.upstream.fence > 1)
        for name, _, _ in list(self.upstream.started):
            self.upstream.end(name, TaskEnd.DONE)
        async with asyncio.timeout(20.0):
            while await self.state() != "completed":  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.assertEqual(2, len(self.upstream.started))

    async def test_process_with_an_empty_folder_is_taken_in_again(self):
        """Guards against a group that shrinks with every lost disk."""
        lost = next(ip for ip in CONTROL_IPS if ip != self.leader())
        await self.controls.pop(lost).stop()
        folder = Path(self.folder.name) / lost
        for path in folder.iterdir():
            path.unlink()
        settings = self.settings(lost, "job-control", False)
        self.controls[lost] = JobControlProcess(settings, self.port, build_control_app)
        await self.controls[lost].start()
        await wait_until(self.controls[lost]._is_member, 20.0)
        await wait_until(lambda: self.controls[lost].store.configuration is not None)

    async def test_entry_is_ready_only_with_a_leader(self):
        """Guards against callers that are sent to an entry that is cut off."""
        await wait_until(self.entry.ready)
        for ip in list(self.controls):
            await self.controls.pop(ip).stop()
        await wait_until(lambda: not self.entry.ready(), 20.0)
        reply = await self.calls.post(
            f"/p/{JOB}", json=BODY, headers={"x-persimmonyard-deadline-ms": "600"}
        )
        # Whether a process that was called had taken the job is not known.
        self.assertIn(reply.status_code, (503, 504))
