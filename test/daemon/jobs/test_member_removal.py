"""Tests of the removal of members that other control processes replaced."""

import asyncio
import shutil
import tempfile
import unittest
from pathlib import Path

import msgspec

from persimmonyard.daemon.jobs.control_process import JobControlProcess
from persimmonyard.daemon.jobs.settings import (
    AddressSettings,
    GroupSettings,
    JobSettings,
    ProcessSettings,
)
from persimmonyard.jobs import PutConfiguration
from persimmonyard.platform.control import build_control_app
from test.daemon.jobs.fakes import FakeUpstreamClient, wait_until
from test.jobs.fixtures import configuration
from test.platform_adapter.test_end_to_end import BOUNDS, reserve_port

SUBNET = "127.0.58"
FIRST_IPS = tuple(f"{SUBNET}.{number}" for number in range(1, 6))
LATER_IPS = (f"{SUBNET}.6", f"{SUBNET}.7")
DEADLINE_S = 30.0
# A process that stops has time to leave the group.
PATIENT_BOUNDS = msgspec.structs.replace(BOUNDS, stop_grace_s=6)


class ReplacementTests(unittest.IsolatedAsyncioTestCase):
    """Five control processes in one event loop, on loopback addresses."""

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.ports = (reserve_port(self), reserve_port(self))
        self.control_by_ip = {}
        for ip in FIRST_IPS:
            await self.start(ip, first_start=True)
        await self.wait_for_voters(FIRST_IPS)

    async def asyncTearDown(self):
        for control in self.control_by_ip.values():
            await control.stop()

    def data_folder(self, ip):
        return Path(self.folder.name) / ip

    async def start(self, ip, first_start=False):
        peer_port, control_port = self.ports
        seeds = [f"{seed}:{control_port}" for seed in FIRST_IPS[:3]]
        settings = JobSettings(
            ProcessSettings(ip, "job-control", "z1"),
            AddressSettings(ip, peer_port, control=f"{ip}:{control_port}"),
            GroupSettings(
                seeds, first_start, str(self.data_folder(ip)), tolerated_losses=2
            ),
            PATIENT_BOUNDS,
        )
        control = JobControlProcess(settings, FakeUpstreamClient(), build_control_app)
        self.control_by_ip[ip] = control
        await control.start()

    async def stop(self, ip):
        await self.control_by_ip.pop(ip).stop()

    def leader(self):
        """Return the control process that leads, or None."""
        for control in self.control_by_ip.values():
            if control.leader_term is not None and control.leader_term.leads():
                return control
        return None

    def followers(self):
        leader = self.leader()
        return [ip for ip in self.control_by_ip if leader is None or ip != leader.name]

    async def wait_for_voters(self, ips):
        def voters_are_known():
            leader = self.leader()
            return leader is not None and set(leader._replica.status().voters) == set(
                ips
            )

        await wait_until(voters_are_known, DEADLINE_S)

    async def test_group_survives_two_lost_disks_after_two_replacements(self):
        """Guards against dead voters that make a later loss final.

        Two control processes are replaced at the same time, so the number of
        voters is odd again before the lost ones count as silent.  Later two
        of the five present ones lose their disks.
        """
        for ip in self.followers()[:2]:
            await self.stop(ip)
        for ip in LATER_IPS:
            await self.start(ip)
        await self.wait_for_voters(tuple(self.control_by_ip))
        wiped = self.followers()[:2]
        for ip in wiped:
            await self.stop(ip)
            shutil.rmtree(self.data_folder(ip))
        await wait_until(self.leader, DEADLINE_S)
        command = PutConfiguration(configuration())
        await asyncio.wait_for(self.leader()._propose(command), DEADLINE_S)
        for ip in wiped:
            await self.start(ip)
        await self.wait_for_voters(tuple(self.control_by_ip))

    async def test_process_that_stops_leaves_a_group_that_can_do_without_it(self):
        """Guards against a planned replacement that costs a further loss.

        A process that stops for good looks like one that restarts, so a group
        of the least size keeps it.
        """
        leader = self.leader().name
        stopped = self.followers()[0]
        await self.stop(stopped)
        self.assertIn(stopped, self.leader()._replica.members().voters)
        await self.start(stopped)
        await self.start(LATER_IPS[0])
        await self.wait_for_voters(tuple(self.control_by_ip))
        await self.stop(leader)
        await wait_until(self.leader, DEADLINE_S)
        self.assertNotIn(leader, self.leader()._replica.members().voters)
