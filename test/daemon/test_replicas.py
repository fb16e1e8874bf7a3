"""Tests of control processes that are killed, frozen or lose their disk."""

import asyncio
import shutil
import signal
import tempfile
import time
import unittest
from pathlib import Path

import httpx
import msgspec

from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.model import (
    ConfigurationChange,
    PersimmonyardError,
    ResultCode,
    WorkClassSpec,
)
from persimmonyard.standin.deployment import Deployment
from persimmonyard.state.commands import ApplyConfiguration

DEADLINE_S = 40.0
CALLERS = 4
# Longer than the quorum lease and any election timeout.
FREEZE_S = 3.0


class ReplicaProcessTests(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = Deployment(Path(folder.name), controls=3, entries=0)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.names = list(cls.deployment.grpc_port_by_name)
        cls.version_by_class = {}

    async def asyncSetUp(self):
        self.http = httpx.AsyncClient(trust_env=False, verify=False, timeout=2.0)
        self.addAsyncCleanup(self.http.aclose)
        self.client = self.client_for(self.names)
        self.stopping = False
        for name in self.names:
            if name not in self.deployment.process_by_name:
                self.deployment.start_process(name)
        for name in self.names:
            await self.wait_until(lambda member=name: self.has_recovered(member))
        await self.wait_until(self.current_leader)

    def client_for(self, names):
        """Return a client that only knows the named replicas."""
        ports = self.deployment.grpc_port_by_name
        addresses = {name: f"127.0.0.1:{ports[name]}" for name in names}
        client = LeaderClient(addresses, None, None)
        self.addAsyncCleanup(client.close)
        return client

    async def commit(self, name):
        """Commit a class of work, and record the version that it created."""
        command = ApplyConfiguration(
            (ConfigurationChange(work_class=WorkClassSpec(name)),)
        )
        deadline = time.monotonic() + DEADLINE_S
        while time.monotonic() < deadline:
            try:
                result = await self.client.execute(command, name, 5.0)
            except PersimmonyardError:
                continue
            if result.code == 0:
                self.version_by_class[name] = result.version
                return
            self.assertIn(result.code, (ResultCode.NOT_LEADER, ResultCode.TIMEOUT))
        self.fail(f"{name} was not committed")

    async def generate_load(self, caller):
        number = 0
        while not self.stopping:
            number += 1
            await self.commit(f"{self._testMethodName}-{caller}-{number}")

    def start_load(self):
        self.callers = [
            asyncio.create_task(self.generate_load(n)) for n in range(CALLERS)
        ]

    async def stop_load(self):
        self.stopping = True
        await asyncio.gather(*self.callers)

    async def wait_for_commits(self, count):
        """Wait until more than ``count`` commands are acknowledged."""
        await self.wait_until(
            lambda: asyncio.sleep(0, len(self.version_by_class) > count)
        )

    async def check_commands_applied_once(self):
        """Check that each acknowledged command was applied exactly once."""
        body = await self.client.query("configuration", wait_s=DEADLINE_S)
        found = msgspec.json.decode(body)
        versions = sorted(self.version_by_class.values())
        self.assertEqual(len(set(versions)), len(versions))
        self.assertLessEqual(set(self.version_by_class), set(found["class_by_name"]))
        self.assertEqual(found["version"], len(found["class_by_name"]))

    async def fetch_dump(self, name):
        """Return the state dump of a control process, or one without a leader.

        The latter is returned if the call fails.
        """
        url = f"http://127.0.0.1:{self.deployment.http_port_by_name[name]}/dump"
        headers = {"Authorization": f"Bearer {self.deployment.operator_token}"}
        try:
            return (await self.http.get(url, headers=headers)).json()
        except httpx.HTTPError:
            return {"leading": False, "replica": {}}

    async def current_leader(self):
        for name in self.deployment.process_by_name:
            if (await self.fetch_dump(name))["leading"]:
                return name
        return ""

    async def wait_until(self, condition, wait_s=DEADLINE_S):
        deadline = time.monotonic() + wait_s
        while time.monotonic() < deadline:
            found = await condition()
            if found:
                return found
            await asyncio.sleep(0.1)
        return self.fail("condition not reached")

    async def has_recovered(self, name):
        replica = (await self.fetch_dump(name))["replica"]
        voters = replica.get("voters", [])
        return name in voters and not replica["recovering"]

    async def test_killed_leader_loses_no_acknowledged_command(self):
        """Guards against losing or repeating commands in a failover.

        The leader is killed with SIGKILL under load, and restarts later.
        """
        self.start_load()
        await self.wait_for_commits(50)
        first = await self.wait_until(self.current_leader)
        self.deployment.kill_process(first)
        second = await self.wait_until(self.current_leader)
        self.assertNotEqual(first, second)
        count = len(self.version_by_class)
        await self.wait_for_commits(count + 50)
        await self.stop_load()
        self.deployment.start_process(first)
        await self.check_commands_applied_once()

    async def test_frozen_leader_neither_reads_nor_decides_afterwards(self):
        """Guards against stale reads from a leader that was frozen.

        The leader is stopped with SIGSTOP beyond its quorum lease while the
        others commit.  It receives reads before and after SIGCONT.
        """
        first = await self.wait_until(self.current_leader)
        old = self.client_for([first])
        await old.query("status")
        self.deployment.signal(first, signal.SIGSTOP)
        self.client = self.client_for([name for name in self.names if name != first])
        self.start_load()
        await asyncio.sleep(FREEZE_S)
        count = len(self.version_by_class)
        await self.wait_for_commits(count + 50)
        latest = max(self.version_by_class.values())
        reads = [asyncio.create_task(old.query("configuration", wait_s=2.0))]
        await asyncio.sleep(0.1)
        self.deployment.signal(first, signal.SIGCONT)
        for _ in range(20):
            reads.append(asyncio.create_task(old.query("configuration", wait_s=2.0)))
            await asyncio.sleep(0.01)
        for read in await asyncio.gather(*reads, return_exceptions=True):
            if isinstance(read, bytes):
                self.assertGreaterEqual(msgspec.json.decode(read)["version"], latest)
                continue
            self.assertIsInstance(read, PersimmonyardError)
        await self.stop_load()
        await self.check_commands_applied_once()

    async def test_emptied_replica_does_not_count_until_it_recovered(self):
        """Guards against counting an empty replica towards the quorum.

        One replica loses its disk and the leader is down, while the third has
        missed the latest commands.  The two together must not elect a leader.
        """
        leader = await self.wait_until(self.current_leader)
        lost, lagging = (name for name in self.names if name != leader)
        self.deployment.signal(lagging, signal.SIGSTOP)
        for number in range(20):
            await self.commit(f"before-{number}")
        self.deployment.kill_process(lost)
        shutil.rmtree(self.deployment.folder / lost)
        self.deployment.kill_process(leader)
        self.deployment.start_process(lost)
        self.deployment.signal(lagging, signal.SIGCONT)
        await asyncio.sleep(FREEZE_S)
        self.assertEqual(await self.current_leader(), "")
        self.deployment.start_process(leader)
        await self.wait_until(lambda: self.has_recovered(lost))
        self.deployment.kill_process(leader)
        await self.commit("after")
        await self.check_commands_applied_once()

    async def test_terminated_leader_hands_over(self):
        """Guards against lost commands and errors in a planned stop.

        The leader is terminated under load, and must exit with status 0.
        """
        self.start_load()
        first = await self.wait_until(self.current_leader)
        status = await asyncio.to_thread(self.deployment.stop_process, first)
        self.assertEqual(status, 0)
        await self.wait_until(self.current_leader)
        await self.stop_load()
        await self.check_commands_applied_once()

    async def change_members(self, method, name, token, **body):
        """Send a membership change until the leader accepts or rejects it.

        Retries if the process does not lead or cannot change members yet.
        """

        async def send_change():
            leader = await self.current_leader()
            port = self.deployment.http_port_by_name.get(leader, 1)
            url = f"http://127.0.0.1:{port}/members/{name}"
            headers = {"Authorization": f"Bearer {token}"}
            try:
                reply = await self.http.request(method, url, json=body, headers=headers)
            except httpx.HTTPError:
                return 0
            return 0 if reply.json().get("code") in (405, 601) else reply.status_code

        return await self.wait_until(send_change)

    async def test_added_replica_counts_and_removed_one_does_not(self):
        """Guards against membership changes without effect on the quorum.

        The group grows to four, commits without its leader, and shrinks again.
        A change with a wrong token is refused.
        """
        name = "control-4"
        self.deployment.grpc_port_by_name[name] = self.deployment.reserve_port()
        self.deployment.http_port_by_name[name] = self.deployment.reserve_port()
        self.deployment._write_settings(name)
        self.deployment.start_process(name)
        port = self.deployment.grpc_port_by_name[name]
        location = {"address": f"127.0.0.1:{port}"}
        token = self.deployment.operator_token
        refused = await self.change_members("POST", name, "wrong", **location)
        self.assertEqual(refused, 401)
        self.assertEqual(
            await self.change_members("POST", name, token, **location), 201
        )
        await self.wait_until(lambda: self.has_recovered(name))
        self.client = self.client_for([*self.names, name])
        await self.commit("grown")
        leader = await self.wait_until(self.current_leader)
        self.deployment.kill_process(leader)
        await self.commit("grown-without-leader")
        self.deployment.start_process(leader)
        await self.wait_until(lambda: self.has_recovered(leader))
        await self.change_members("DELETE", name, token)

        async def is_removed():
            found = await self.fetch_dump(await self.current_leader() or self.names[0])
            return name not in found["replica"].get("voters", [name])

        await self.wait_until(is_removed)
        self.deployment.kill_process(name)
        await self.commit("shrunk")
        await self.check_commands_applied_once()

    async def test_damaged_log_stops_the_process(self):
        """Guards against starting from a damaged log.

        One bit of the log file is flipped.  The process must exit with status
        3 and log code 800.
        """
        for number in range(3):
            await self.commit(f"damage-{number}")
        name = self.names[0]
        self.deployment.kill_process(name)
        path = self.deployment.folder / name / "log"
        content = bytearray(path.read_bytes())
        content[20] ^= 1
        path.write_bytes(content)
        self.deployment.start_process(name)
        process = self.deployment.process_by_name[name]
        self.assertEqual(await asyncio.to_thread(process.wait, DEADLINE_S), 3)
        log = (self.deployment.folder / f"{name}.log").read_text()
        self.assertIn('"code": 800', log)
        del self.deployment.process_by_name[name]
        shutil.rmtree(self.deployment.folder / name)
