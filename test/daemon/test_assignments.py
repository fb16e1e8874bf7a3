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

LEASE_WITH_MARGIN_S = ENTRY_LEASE_S * CLOCK_DRIFT_FACTOR


class AssignmentControllerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.control = FakeControl()
        self.control.set_up()
        self.sessions = SessionController(self.control.replicated_state)
        self.assignments = AssignmentController(
            self.control.replicated_state, self.sessions
        )
        self.control.become_leader(self.sessions, self.assignments)
        self.control.now += LEASE_WITH_MARGIN_S

    def connect(self, entry_id, **fields):
        """Open a session for an entry, send its first beat and return it."""
        beat = entry_beat(entry_id, 1, 1, **fields)
        session = self.sessions.open(beat)
        self.sessions.handle_beat(session, beat, 0)
        self.assignments.on_session_opened(session)
        return session

    def take_orders(self, session):
        """Remove and return the orders queued for an entry."""
        found = []
        while not session.outbox.empty():
            found.extend(session.outbox.get_nowait().orders)
        return found

    def place(self, entry_id, started=False):
        """Place request r-1 on the upstream and return its fence.

        The entry dispatches it; ``started`` also commits its start.
        """
        self.control.submit("r-1")
        placed = self.control.apply_command(PlaceAttempt("r-1", 1, ("up-1",), entry_id))
        if started:
            self.control.apply_command(StartAttempt("r-1", 1, placed.fence))
        return placed.fence

    async def reassign(self):
        """Run one round of reassignment."""
        self.sessions.remove_expired()
        for request_id in self.assignments._orphaned_request_ids():
            await self.assignments._reassign(request_id)

    async def test_attempts_of_expired_entry_move_to_another_entry(self):
        """A started attempt must not stay without a dispatcher.

        When the lease of its entry expires, another entry adopts the attempt
        with a higher fence.
        """
        self.connect("e1")
        fence = self.place("e1", started=True)
        self.control.now += LEASE_WITH_MARGIN_S + 0.1
        second = self.connect("e2")
        await self.reassign()
        (order,) = self.take_orders(second)
        self.assertEqual(order.action, DispatchAction.ADOPT)
        self.assertGreater(order.fence, fence)

    async def test_live_entry_keeps_its_attempts(self):
        """A connected second entry must not take over attempts of a live one.

        Needless reassignments cost commits and dispatch work.
        """
        self.connect("e1")
        self.connect("e2")
        self.place("e1")
        await self.reassign()
        self.assertEqual(self.assignments.live_attempt_count("e1"), 1)

    async def test_attempts_of_stopping_entry_move_at_once(self):
        """Attempts move before the lease expires when an entry shuts down."""
        first = self.connect("e1")
        self.connect("e2")
        self.place("e1")
        self.sessions.handle_beat(first, entry_beat("e1", 2, 1, stopping=True), 1)
        await self.reassign()
        self.assertEqual(self.assignments.dump(), {"e2": 1})

    async def test_new_leader_gives_entries_time_to_connect(self):
        """A change of leader must not reassign every attempt at once.

        A new leader has no sessions until the entries reconnect.
        """
        self.place("e1", started=True)
        self.control.re_elect()
        self.connect("e2")
        await self.reassign()
        self.assertEqual(self.assignments.dump(), {"e1": 1})

    async def test_cancel_of_a_started_attempt_sends_a_stop(self):
        """A cancelled request must not go on running.

        The entry that dispatches it must receive a stop order.
        """
        session = self.connect("e1")
        self.place("e1", started=True)
        self.take_orders(session)
        self.control.apply_command(CancelRequest("r-1", "clinic"))
        (order,) = self.take_orders(session)
        self.assertEqual(order.action, DispatchAction.STOP)

    async def test_committed_start_sends_no_order_to_its_dispatcher(self):
        """An entry that committed a start must not adopt its own attempt.

        The committed start is a change of the request and would otherwise
        cause another order.
        """
        session = self.connect("e1")
        self.place("e1", started=True)
        actions = [order.action for order in self.take_orders(session)]
        self.assertEqual(actions, [DispatchAction.RUN])

    async def test_watching_entry_gets_the_outcome_once(self):
        """A caller may wait at another entry than the dispatching one.

        That entry receives the outcome exactly once when the request ends.
        """
        self.connect("e1")
        fence = self.place("e1", started=True)
        watcher = self.connect("e2", watch=("r-1",))
        answer = MemberAnswer(b"x", "digest")
        self.control.apply_command(
            EndAttempt("r-1", 1, fence, AttemptOutcome.FINISHED, (answer,))
        )
        outcomes = []
        while not watcher.outbox.empty():
            outcomes.extend(watcher.outbox.get_nowait().outcomes)
        self.assertEqual([outcome.state for outcome in outcomes], ["finished"])

    async def test_upstream_keeps_its_entry_when_entries_are_added(self):
        """Upstreams are spread over all entries.

        A new entry takes over a share of them, and no upstream moves between
        the existing entries.
        """
        for number in range(4):
            self.connect(f"e{number}")
        upstream_ids = [f"up-{number}" for number in range(200)]
        before = [
            self.assignments.pick_entry(upstream_id) for upstream_id in upstream_ids
        ]
        self.assertEqual(len(set(before)), 4)
        self.connect("e4")
        after = [
            self.assignments.pick_entry(upstream_id) for upstream_id in upstream_ids
        ]
        moved = [new for old, new in zip(before, after, strict=True) if new != old]
        self.assertEqual(set(moved), {"e4"})
        self.assertLess(len(moved), 80)
