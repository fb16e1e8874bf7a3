"""End-to-end tests with three control processes, an entry and one upstream.

All run in one event loop on loopback addresses.  The caller and the operator
use the platform's HTTP interface; the upstream is in memory.
"""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

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
from persimmonyard.standin.deployment import bind_free_port
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
JOB_ID = "5c0e7a21d94b36f8"
CREDENTIAL_HEADER = {"x-persimmonyard-credential": "key-1"}
JOB_BODY = {
    "spec": "text",
    "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "gpu": 1}],
}


def configuration_body(version, **route_fields):
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
        "routes": [fields | route_fields],
        "services": [{"name": "svc"}],
        "tenants": [{"name": "clinic", "api_keys": ["key-1"]}],
    }


def report_body(state="ready", sequence=1, born=1):
    return {
        "service": "svc",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold_left_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
        "labels": ["a", "r1"],
        "clock_ms": 1000,
        "seq_no": sequence,
        "born": born,
    }


def reserve_port(case):
    """Return a port on 127.0.0.1 that stays reserved until a test ends."""
    reserved_socket = bind_free_port()
    case.addCleanup(reserved_socket.close)
    return reserved_socket.getsockname()[1]


class EndToEndTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.born = 1
        self.addCleanup(self.folder.cleanup)
        self.peer_port, self.control_port = reserve_port(self), reserve_port(self)
        self.upstream_client = FakeUpstreamClient()
        self.upstream = self.upstream_client.add("10.0.0.1")
        self.controls = {ip: self.build_control(ip) for ip in CONTROL_IPS}
        for control in self.controls.values():
            await control.start()
        entry_settings = self.build_settings(ENTRY_IP, "job-entry", False)
        self.entry = JobEntryProcess(entry_settings, Path("unused"), build_caller_apps)
        await self.entry.start()
        self.caller = httpx.AsyncClient(
            base_url=f"http://{entry_settings.addresses.callers}",
            headers={"host": "h.example", **CREDENTIAL_HEADER},
        )
        self.operator = httpx.AsyncClient(follow_redirects=True)
        await self.put_configuration(configuration_body(1))

    async def asyncTearDown(self):
        await self.caller.aclose()
        await self.operator.aclose()
        await self.entry.stop()
        for control in self.controls.values():
            await control.stop()

    def build_control(self, ip):
        settings = self.build_settings(ip, "job-control", True)
        return JobControlProcess(settings, self.upstream_client, build_control_app)

    def build_settings(self, ip, role, first_start):
        addresses = AddressSettings(
            ip,
            self.peer_port,
            callers=f"{ip}:{reserve_port(self)}",
            readiness=f"{ip}:{reserve_port(self)}",
            control=f"{ip}:{self.control_port}",
        )
        seeds = [f"{seed}:{self.control_port}" for seed in CONTROL_IPS]
        data_folder = str(Path(self.folder.name) / ip)
        return JobSettings(
            ProcessSettings(ip, role, "z1"),
            addresses,
            GroupSettings(seeds, first_start, data_folder),
            BOUNDS,
        )

    async def send_request(self, method, path, body=None, status=200):
        """Send a request to the control processes until one answers it.

        Connection errors and statuses from 500 on are retried.
        """
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with asyncio.timeout(20.0):
            while True:
                for ip in list(self.controls):
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

    async def put_configuration(self, body, status=200):
        return await self.send_request("PUT", "/api/config", body, status)

    async def send_report(self, **fields):
        return await self.send_request(
            "PUT", "/api/instances/u1", report_body(**fields)
        )

    async def keep_reporting(self):
        """Report again and again, as upstreams do, until the test ends.

        A leader that is elected meanwhile uses no upstream that has not
        reported to it.  Return the reply to the first report.
        """

        async def report_loop():
            sequence = 2
            while True:
                await self.send_report(sequence=sequence, born=self.born)
                sequence += 1
                await asyncio.sleep(0.2)

        reply = await self.send_report()
        reports = asyncio.create_task(report_loop())
        self.addCleanup(reports.cancel)
        return reply

    async def call(self, method, path, **options):
        """Send a caller's request until its status is not 503 or 504.

        Stalls of a busy machine cause elections, and an election may outlast
        the request's own deadline.
        """
        async with asyncio.timeout(20.0):
            while True:
                reply = await self.caller.request(method, path, **options)
                if reply.status_code not in (503, 504):
                    return reply
                await asyncio.sleep(0.05)

    async def submit(self, body=JOB_BODY):
        reply = await self.call("POST", f"/p/{JOB_ID}", json=body)
        self.assertEqual(200, reply.status_code, reply.text)

    async def read_state(self):
        return (await self.call("GET", f"/p/{JOB_ID}")).json()["state"]

    def leader_ip(self):
        for ip, control in self.controls.items():
            if control.leader_term is not None and control.leader_term.leads():
                return ip
        return None

    async def test_job_runs_to_completion(self):
        """Guards against losing a job between two processes.

        The job is submitted twice, as after a lost response; each of its two
        tasks must be started once, and the job must end as completed.
        """
        reply = await self.keep_reporting()
        self.assertIn(str(self.control_port), reply.json()["heartbeat_addr"])
        await self.submit()
        await self.submit()
        await wait_until(lambda: len(self.upstream.started) == 2)
        self.assertEqual("running", await self.read_state())
        for task_key, _, _ in list(self.upstream.started):
            self.upstream.end(task_key, TaskEnd.DONE)
        async with asyncio.timeout(20.0):
            while await self.read_state() != "completed":  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.assertEqual(2, len(self.upstream.started))

    async def test_refusals_have_distinct_statuses(self):
        """Guards against a status that misleads the caller.

        An unknown job, an unknown route, a wrong key, a wrong method and a
        malformed body have different causes, and none may create a job.
        """
        unknown = await self.call("GET", f"/p/{JOB_ID}")
        self.assertEqual(410, unknown.status_code)
        cases = (
            ("POST", f"/q/{JOB_ID}", CREDENTIAL_HEADER, 404),
            ("POST", f"/p/{JOB_ID}", {"x-persimmonyard-credential": "no"}, 401),
            ("PATCH", f"/p/{JOB_ID}", CREDENTIAL_HEADER, 405),
        )
        for method, path, headers, status in cases:
            reply = await self.call(method, path, json=JOB_BODY, headers=headers)
            self.assertEqual(status, reply.status_code, path)
        malformed = await self.call("POST", f"/p/{JOB_ID}", content=b"{")
        self.assertEqual(400, malformed.status_code)
        self.assertEqual(410, (await self.call("GET", f"/p/{JOB_ID}")).status_code)

    async def test_queued_jobs_are_counted_and_cancelled(self):
        """Guards against starting a cancelled job once there is capacity.

        The job is cancelled while it is queued, before the first upstream
        reports.
        """
        await self.submit()
        self.assertEqual(1, (await self.call("GET", "/p/")).json()["pending"])
        self.assertEqual("queued", await self.read_state())
        cancelled = await self.call("DELETE", f"/p/{JOB_ID}")
        self.assertEqual(200, cancelled.status_code)
        self.assertEqual("cancelled", await self.read_state())
        await self.keep_reporting()
        await asyncio.sleep(0.3)
        self.assertEqual([], self.upstream.started)

    async def test_job_that_waited_in_a_frozen_entry_is_not_passed_on(self):
        """Guards against a job that runs after its cancel was answered.

        Its caller got no answer in time and has cancelled it at another entry,
        before the first one woke and read the job.
        """
        cancelled = await self.call("DELETE", f"/p/{JOB_ID}")
        self.assertEqual(410, cancelled.status_code)
        with mock.patch.object(
            self.entry.stall_clock, "longest_wait_s", return_value=7.0
        ):
            late = await self.caller.post(f"/p/{JOB_ID}", json=JOB_BODY)
        self.assertEqual(503, late.status_code)
        self.assertIn("retry-after", late.headers)
        reply = await self.call("GET", f"/p/{JOB_ID}")
        self.assertEqual(410, reply.status_code)

    async def test_configuration_is_read_back_unchanged_from_any_process(self):
        """Guards against a control process without the current configuration.

        An older version, an invalid route and a truncated body are sent after
        it, and none of them may replace it.
        """
        body = configuration_body(5, timeout_ms=1234)
        await self.put_configuration(body)
        await self.put_configuration(configuration_body(3))
        await self.put_configuration(configuration_body(6, timeout_ms=0), status=400)
        await self.put_configuration(b'{"version": 7, "routes": [', status=400)
        for ip in CONTROL_IPS:
            reply = await self.operator.get(
                f"http://{ip}:{self.control_port}/api/config"
            )
            self.assertEqual(body, reply.json())

    async def test_every_process_answers_an_order_itself(self):
        """Guards against orders that need two responses to arrive.

        Each process must answer operators without a redirect, whether it
        leads or not, and pass on what makes a configuration invalid.
        """
        async with httpx.AsyncClient(follow_redirects=False) as operator:
            for version, ip in enumerate(CONTROL_IPS, start=10):
                url = f"http://{ip}:{self.control_port}"
                invalid = configuration_body(version, timeout_ms=0)
                refused = await operator.put(f"{url}/api/config", json=invalid)
                self.assertEqual(400, refused.status_code, refused.text)
                body = configuration_body(version)
                for _ in range(2):
                    accepted = await operator.put(f"{url}/api/config", json=body)
                    self.assertEqual(200, accepted.status_code, accepted.text)
                self.assertEqual(body, (await operator.get(f"{url}/api/config")).json())
                for method in ("POST", "DELETE"):
                    reply = await operator.request(method, f"{url}/api/evacuation/z9")
                    self.assertEqual(200, reply.status_code, reply.text)

    async def test_placement_is_explained_without_submitting_the_job(self):
        """Guards against an explanation that stores or starts the job.

        The key is a bearer token here, as the command line sends it.
        """
        await self.send_report()
        path = f"/p/{JOB_ID}/explain"
        headers = {"x-persimmonyard-credential": "", "authorization": "Bearer key-1"}
        reply = await self.caller.post(path, json=JOB_BODY, headers=headers)
        self.assertEqual(200, reply.status_code, reply.text)
        preview = reply.json()
        self.assertEqual(2, preview["placed"], preview)
        self.assertEqual("r1", preview["units"][0]["seats"][0]["rack"])
        headers["authorization"] = "Bearer other"
        reply = await self.caller.post(path, json=JOB_BODY, headers=headers)
        self.assertEqual(401, reply.status_code)
        reply = await self.caller.post(path, json={"steps": []})
        self.assertEqual(400, reply.status_code)
        await asyncio.sleep(0.3)
        self.assertEqual([], self.upstream.started)
        self.assertEqual({}, self.controls[self.leader_ip()].store.job_by_id)

    async def test_zone_out_of_service_gets_no_starts(self):
        """Guards against starts in a zone that is out of service.

        The only upstream is in that zone, so the tasks must wait until the
        zone is put back.
        """
        await self.keep_reporting()
        await self.send_request("POST", "/api/evacuation/z1")
        await self.submit()
        await asyncio.sleep(0.3)
        self.assertEqual([], self.upstream.started)
        await self.send_request("DELETE", "/api/evacuation/z1")
        await wait_until(lambda: len(self.upstream.started) == 2)

    async def test_malformed_reports_register_no_upstream(self):
        """Guards against accepting a malformed report of another sender.

        Tasks would be started on an upstream that may not exist.
        """
        await self.send_request("PUT", "/api/instances/u1", b"\xff", status=400)
        await self.send_request(
            "PUT", "/api/instances/u1", {"state": "ready"}, status=400
        )
        await self.submit()
        await asyncio.sleep(0.2)
        self.assertEqual([], self.upstream.started)

    async def test_new_leader_continues_with_jobs_and_configuration(self):
        """Guards against losing accepted jobs with their leader.

        The leader stops while both tasks run.  The new leader must take over
        these runs without starting the tasks again, and keep the
        configuration, without which the state of the job cannot be read.
        """
        await self.keep_reporting()
        await self.submit()
        await wait_until(lambda: len(self.upstream.started) == 2)
        await wait_until(lambda: self.leader_ip() is not None, 20.0)
        await self.controls.pop(self.leader_ip()).stop()
        await wait_until(lambda: self.leader_ip() is not None, 20.0)
        self.assertEqual("running", await self.read_state())
        await wait_until(lambda: self.upstream.fence > 1)
        for task_key, _, _ in list(self.upstream.started):
            self.upstream.end(task_key, TaskEnd.DONE)
        async with asyncio.timeout(20.0):
            while await self.read_state() != "completed":  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.assertEqual(2, len(self.upstream.started))

    async def test_job_that_crashes_its_upstream_fails_and_says_why(self):
        """Guards against a job that crashes upstreams for ever.

        The only upstream restarts under each run, and the leader stops after
        the second one.
        """
        await self.keep_reporting()
        await self.submit({"steps": [{"cpu": 500, "mem_mb": 256, "gpu": 1}]})
        while self.born <= 5:
            await wait_until(lambda: self.upstream.started, 20.0)
            if self.born == 2:
                await wait_until(lambda: self.leader_ip() is not None, 20.0)
                await self.controls.pop(self.leader_ip()).stop()
            self.born += 1
            self.upstream = self.upstream_client.add("10.0.0.1")
            self.upstream.incarnation = self.born
            await self.send_report(born=self.born)
            # The report is answered before the restart is committed.
            async with asyncio.timeout(20.0):
                while not self.upstream.started:
                    if await self.read_state() == "failed":
                        break
                    await asyncio.sleep(0.02)
            if not self.upstream.started:
                break
        self.assertEqual("failed", await self.read_state())
        self.assertLessEqual(self.born - 1, 5)
        reply = await self.call("GET", f"/p/{JOB_ID}/explain")
        self.assertIn("crashed under task 0.0.0", reply.json()["reason"])
        await asyncio.sleep(0.3)
        self.assertEqual([], self.upstream.started)

    async def test_process_with_empty_data_folder_rejoins_the_group(self):
        """Guards against a group that shrinks with every lost disk.

        A follower is stopped, its data folder is emptied, and it starts again.
        It must become a member and receive the configuration.
        """
        lost = next(ip for ip in CONTROL_IPS if ip != self.leader_ip())
        await self.controls.pop(lost).stop()
        folder = Path(self.folder.name) / lost
        for path in folder.iterdir():
            path.unlink()
        settings = self.build_settings(lost, "job-control", False)
        self.controls[lost] = JobControlProcess(
            settings, self.upstream_client, build_control_app
        )
        await self.controls[lost].start()
        await wait_until(self.controls[lost]._is_member, 20.0)
        await wait_until(lambda: self.controls[lost].store.configuration is not None)

    async def test_unexpected_error_ends_one_call_only(self):
        """Guards against a process that one unexpected error takes down."""
        await wait_until(lambda: self.leader_ip() is not None)
        leader = self.controls[self.leader_ip()]
        url = f"http://{leader.own_address()}/api/config"
        with mock.patch.object(
            leader.operators, "execute", side_effect=ZeroDivisionError
        ):
            failed = await self.operator.get(url)
        self.assertEqual(500, failed.status_code)
        self.assertEqual(200, (await self.operator.get(url)).status_code)

    async def test_entry_is_ready_only_with_a_leader(self):
        """Guards against routing callers to an entry that has no leader.

        Once all control processes are stopped the entry must not be ready,
        and a call must fail within its deadline.
        """
        await wait_until(self.entry.ready)
        for ip in list(self.controls):
            await self.controls.pop(ip).stop()
        await wait_until(lambda: not self.entry.ready(), 20.0)
        reply = await self.caller.post(
            f"/p/{JOB_ID}",
            json=JOB_BODY,
            headers={"x-persimmonyard-deadline-ms": "600"},
        )
        # It is unknown whether a control process that was called has accepted
        # the job.
        self.assertIn(reply.status_code, (503, 504))
