"""Tests of persimmonyard.daemon.control.assignments."""

import unittest

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.timing import CLOCK_DRIFT_FACTOR, ENTRY_LEASE_S
from persimmonyard.state.commands import (
    CancelRequest,
    EndAttempt,
    PlaceAttempt,
    StartAttempt,
)
from persimmonyard.state.records import AttemptOutcome, MemberAnswer
from persimmonyard.wire import DispatchAction
from test.daemon.control_fakes import FakeControl, entry_beat

FULL_LEASE_S = ENTRY_LEASE_S * CLOCK_DRIFT_FACTOR


class AssignmentControllerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.control = FakeControl()
        self.control.set_up()
        self.sessions = SessionController(self.control.ledger)
        self.assignments = AssignmentController(self.control.ledger, self.sessions)
        self.control.lead(self.sessions, self.assignments)
        self.control.now += FULL_LEASE_S

    def connect(self, entry_id, **fields):
        """Open a session for an entry and return it."""
        beat = entry_beat(entry_id, 1, 1, **fields)
        session = self.sessions.open(beat)
        self.sessions.beat(session, beat, 0)
        self.assignments.opened(session)
        return session

    def orders(self, session):
        """Return and remove the orders queued for an entry."""
        found = []
        while not session.outbox.empty():
            found.extend(session.outbox.get_nowait().orders)
        return found

    def place(self, entry_id, started=False):
        """Place request r-1 on the upstream, dispatched by an entry."""
        self.control.submit("r-1")
        placed = self.control.run(PlaceAttempt("r-1", 1, ("up-1",), entry_id))
        if started:
            self.control.run(StartAttempt("r-1", 1, placed.fence))
        return placed.fence

    async def reassign(self):
        """Run one round of reassignments."""
        self.sessions.drop_lapsed()
        for request_id in self.assignments._orphans():
            await self.assignments._reassign(request_id)

    async def test_lapsed_entry_loses_its_attempts_to_another(self):
        """A started attempt of a dead entry is adopted under a new fence."""
        self.connect("e1")
        fence = self.place("e1", started=True)
        self.control.now += FULL_LEASE_S + 0.1
        second = self.connect("e2")
        await self.reassign()
        (order,) = self.orders(second)
        self.assertEqual(order.action, DispatchAction.ADOPT)
        self.assertGreater(order.fence, fence)

    async def test_live_entry_keeps_its_attempts(self):
        """Moving attempts off a live entry would only cause extra work."""
        self.connect("e1")
        self.connect("e2")
        self.place("e1")
        await self.reassign()
        self.assertEqual(self.assignments.count("e1"), 1)

    async def test_stopping_entry_hands_its_attempts_over(self):
        """A graceful shutdown moves attempts without waiting for a lapse."""
        first = self.connect("e1")
        self.connect("e2")
        self.place("e1")
        self.sessions.beat(first, entry_beat("e1", 2, 1, stopping=True), 1)
        await self.reassign()
        self.assertEqual(self.assignments.state(), {"e2": 1})

    async def test_new_leader_gives_entries_time_to_connect(self):
        """A change of leader must not move every attempt at once."""
        self.place("e1", started=True)
        self.control.re_elect()
        self.connect("e2")
        await self.reassign()
        self.assertEqual(self.assignments.state(), {"e1": 1})

    async def test_cancel_of_a_started_attempt_sends_a_stop(self):
        """The dispatcher must hear of a cancellation."""
        session = self.connect("e1")
        self.place("e1", started=True)
        self.orders(session)
        self.control.run(CancelRequest("r-1", "clinic"))
        (order,) = self.orders(session)
        self.assertEqual(order.action, DispatchAction.STOP)

    async def test_start_is_not_echoed_to_its_dispatcher(self):
        """The entry that committed a start must not adopt its own attempt."""
        session = self.connect("e1")
        self.place("e1", started=True)
        actions = [order.action for order in self.orders(session)]
        self.assertEqual(actions, [DispatchAction.RUN])

    async def test_watching_entry_gets_the_outcome_once(self):
        """A caller that waits at another entry hears of the end."""
        self.connect("e1")
        fence = self.place("e1", started=True)
        watcher = self.connect("e2", watch=("r-1",))
        answer = MemberAnswer(b"x", "digest")
        self.control.run(
            EndAttempt("r-1", 1, fence, AttemptOutcome.FINISHED, (answer,))
        )
        outcomes = []
        while not watcher.outbox.empty():
            outcomes.extend(watcher.outbox.get_nowait().outcomes)
        self.assertEqual([one.state for one in outcomes], ["finished"])

    async def test_tasks_of_one_upstream_go_through_one_entry(self):
        """Upstreams are spread over entries, and keep theirs."""
        for number in range(4):
            self.connect(f"e{number}")
        upstream_ids = [f"up-{number}" for number in range(200)]
        before = [self.assignments.pick_entry(one) for one in upstream_ids]
        self.assertEqual(len(set(before)), 4)
        self.connect("e4")
        after = [self.assignments.pick_entry(one) for one in upstream_ids]
        moved = [new for old, new in zip(before, after, strict=True) if new != old]
        self.assertEqual(set(moved), {"e4"})
        self.assertLess(len(moved), 80)
