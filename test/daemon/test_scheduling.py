"""Tests of persimmonyard.daemon.control.scheduling."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import patch

from persimmonyard.daemon.control.scheduling import (
    REJECTED_BACKOFF_S,
    SchedulingController,
)
from persimmonyard.daemon.control.views import preempted_for
from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    Shape,
    WorkClassSpec,
    ZoneSpec,
)
from persimmonyard.state.commands import (
    EndAttempt,
    RegisterUpstream,
    StartAttempt,
)
from persimmonyard.state.records import (
    AttemptOutcome,
    AttemptState,
    RequestState,
)
from test.daemon.control_fakes import UPSTREAM, FakeControl


class OneEntry:
    """Assignments with one entry, or with none."""

    entry_id = "entry-1"

    def pick_entry(self, upstream_id):
        return self.entry_id


class SchedulingControllerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.control = FakeControl()
        self.control.set_up()
        self.entries = OneEntry()
        self.controller = SchedulingController(self.control.ledger, self.entries)
        self.control.lead(self.controller)
        self.load(self.controller)

    def load(self, controller):
        """Let a controller load the whole state."""
        while not controller.load_slice():
            pass

    def record(self, request_id):
        """Return the record of a request."""
        return self.control.ledger.machine.request_by_id[request_id]

    def start(self, request_id):
        """Commit the start of the request's attempt."""
        attempt = self.record(request_id).live_attempt()
        self.control.run(StartAttempt(request_id, attempt.number, attempt.fence))

    async def test_rejected_placement_keeps_its_number(self):
        """A placement that is not committed is decided again as number 1.

        Guards against a request that the log refuses for ever.
        """
        self.control.submit("r-1")
        self.entries.entry_id = None
        await self.controller.decide_once()
        self.assertEqual(self.record("r-1").state, RequestState.ACCEPTED)
        self.entries.entry_id = "entry-1"
        await asyncio.sleep(2 * REJECTED_BACKOFF_S)
        await self.controller.decide_once()
        self.assertEqual(self.record("r-1").attempts[0].number, 1)
        self.assertIn("guarantee", self.record("r-1").history[-1].reason)

    async def test_taken_back_placement_frees_its_members(self):
        """After a rejection the upstream's capacity is free for others."""
        for number in range(UPSTREAM.slots):
            self.control.submit(f"r-{number}")
        self.entries.entry_id = None
        await self.controller.decide_once()
        self.entries.entry_id = "entry-1"
        self.control.submit("r-x")
        await self.controller.decide_once()
        self.assertEqual(self.record("r-x").state, RequestState.PLACED)

    async def test_removed_zone_takes_work_again(self):
        """Removing a closed zone from the configuration opens it."""
        self.control.configure(ConfigurationChange(zone=ZoneSpec("z1", False)))
        self.control.submit("r-1")
        await self.controller.decide_once()
        self.assertEqual(self.record("r-1").attempts, [])
        self.control.configure(ConfigurationChange(remove="zone/z1"))
        await self.controller.decide_once()
        self.assertEqual(len(self.record("r-1").attempts), 1)

    async def test_new_leader_counts_running_work_and_preempts_it(self):
        """A rebuilt scheduler preempts what it did not place itself."""
        self.control.configure(
            ConfigurationChange(work_class=WorkClassSpec("fit", start_within_s=7.0))
        )
        for number in range(UPSTREAM.slots):
            self.control.submit(f"r-{number}")
        await self.controller.decide_once()
        for number in range(UPSTREAM.slots):
            self.start(f"r-{number}")
        # The class was urgent; as a plain one its work can be preempted.
        self.control.configure(ConfigurationChange(work_class=WorkClassSpec("fit")))
        self.controller.lead()
        self.load(self.controller)
        clinic = ClientAccountSpec("clinic")
        owner = ClientAccountSpec("owner", guarantee=(Shape(),))
        self.control.configure(
            ConfigurationChange(client_account=clinic),
            ConfigurationChange(client_account=owner),
        )
        self.control.submit("r-own")
        record = self.record("r-own")
        record.client_account = "owner"
        self.controller.lead()
        self.load(self.controller)
        await self.controller.decide_once()
        self.assertEqual(record.attempts, [])
        stopping = []
        for number in range(UPSTREAM.slots):
            attempt = self.record(f"r-{number}").attempts[0]
            if attempt.state == AttemptState.STOPPING:
                stopping.append((f"r-{number}", attempt))
        self.assertEqual(len(stopping), 1)
        request_id, attempt = stopping[0]
        self.assertIn("r-own", attempt.stop_reason)
        machine = self.control.ledger.machine
        (victim,) = preempted_for(machine, record)
        self.assertEqual(victim["reason"], attempt.stop_reason)
        self.control.run(
            EndAttempt(request_id, 1, attempt.fence, AttemptOutcome.STOPPED)
        )
        await self.controller.decide_once()
        self.assertEqual(len(record.attempts), 1)

    async def test_restart_of_an_upstream_frees_its_old_members(self):
        """A new incarnation is empty although old attempts still end."""
        for number in range(UPSTREAM.slots):
            self.control.submit(f"r-{number}")
        await self.controller.decide_once()
        for number in range(UPSTREAM.slots):
            self.start(f"r-{number}")
        self.control.run(RegisterUpstream(replace(UPSTREAM, incarnation="b")))
        self.controller.lead()
        self.load(self.controller)
        self.control.submit("r-new")
        await self.controller.decide_once()
        self.assertEqual(self.record("r-new").state, RequestState.PLACED)

    async def test_changes_during_loading_are_told_afterwards(self):
        """A request submitted while a new leader loads must not be forgotten.

        Its record may be newer than the part of the state already loaded.
        """
        for number in range(3):
            self.control.submit(f"r-{number}")
        self.controller.lead()
        # The configuration, the upstream and the first request.
        for _ in range(3):
            next(self.controller._unloaded)
        self.control.submit("r-late")
        self.assertFalse(self.controller.loaded.is_set())
        self.load(self.controller)
        await self.controller.decide_once()
        states = {self.record(f"r-{one}").state for one in (0, 1, 2, "late")}
        self.assertEqual(states, {RequestState.PLACED})

    async def test_loading_stops_after_its_slice(self):
        """A new leader that loads in one go would lose its lease."""
        for number in range(5):
            self.control.submit(f"r-{number}")
        self.controller.lead()
        with patch("persimmonyard.daemon.control.scheduling.LOAD_SLICE_S", 0.0):
            self.assertFalse(self.controller.load_slice())
        self.load(self.controller)
