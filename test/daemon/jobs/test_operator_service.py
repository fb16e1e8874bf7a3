"""Tests of operators' orders at a process that leads or does not lead."""

import asyncio
import unittest

from persimmonyard.daemon.jobs.job_service import JobService
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.operator_service import OperatorService
from persimmonyard.daemon.jobs.rpc import (
    CallReply,
    ConfigurationOrder,
    ConfigurationQuery,
    OperatorCall,
    Outcome,
    ZoneOrder,
)
from persimmonyard.daemon.jobs.stall_clock import STALL_TICK_S, StallClock
from persimmonyard.jobs import JobStore, SetZone
from persimmonyard.replication import (
    NotLeaderError,
    OutcomeUnknownError,
    boottime_now,
)
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader
from test.jobs.fixtures import configuration


class FakeLeaderClient:
    """Answers every forwarded order with ``reply``."""

    def __init__(self, outcome):
        self.reply = CallReply(outcome)
        self.orders = []

    async def forward(self, order, within_s):
        self.orders.append(order)
        self.within_s = within_s
        return self.reply


class OperatorServiceTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.leader = InMemoryLeader(FakeUpstreamClient())

    def build(self, term, outcome=Outcome.NOT_LEADER):
        service = JobService(self.leader.store, lambda: term, JobMetrics())
        self.client = FakeLeaderClient(outcome)
        self.clock_s = 100.0
        self.stall_clock = StallClock(lambda: self.clock_s)
        return OperatorService(service, self.client, self.stall_clock)

    def run_for(self, seconds):
        """Let the clock tick as it does while the process runs."""
        for _ in range(round(seconds / STALL_TICK_S)):
            self.clock_s += STALL_TICK_S
            self.stall_clock.tick()

    async def test_order_after_its_expiry_is_not_executed(self):
        """Guards against an order that was delayed on its way to the leader.

        The operator has given the opposite order in the meantime.
        """
        operators = self.build(self.leader.term)
        order = ZoneOrder("z1", True)
        expired = OperatorCall(order, boottime_now() - 0.001)
        reply = await operators.answer(expired)
        self.assertEqual(Outcome.NOT_LEADER, reply.outcome)
        self.assertEqual([], self.leader.proposed)
        reply = await operators.answer(OperatorCall(order, boottime_now() + 60.0))
        self.assertEqual(Outcome.OK, reply.outcome)
        self.assertEqual([SetZone("z1", True)], self.leader.proposed)

    async def test_order_that_waited_during_a_stall_is_not_executed(self):
        """Guards against a withdrawn order that a frozen process applies late.

        The order waited in a socket; its operator has called another process
        since, and may have given the opposite order there.
        """
        for term, ticked in ((self.leader.term, True), (None, True), (None, False)):
            for stall_s in (0.85, 7.0, 600.0):
                operators = self.build(term, Outcome.OK)
                self.run_for(1.0)
                self.clock_s += stall_s
                if ticked:
                    self.stall_clock.tick()
                    self.run_for(min(0.5, stall_s / 2))
                with self.assertRaises(NotLeaderError):
                    await operators.execute(ZoneOrder("z1", False))
                self.assertNotIn(SetZone("z1", False), self.leader.proposed)
                self.assertEqual([], self.client.orders)
                self.run_for(1.5)
                reply = await operators.execute(ZoneOrder("z1", True))
                self.assertEqual(Outcome.OK, reply.outcome)

    async def test_configuration_that_waited_is_passed_on(self):
        """Guards against a configuration that a busy process refuses.

        Its version tells whether it is out of date.
        """
        operators = self.build(None, Outcome.OK)
        self.clock_s += 7.0
        for order in (ConfigurationOrder(configuration(2)), ConfigurationQuery()):
            reply = await operators.execute(order)
            self.assertEqual(Outcome.OK, reply.outcome)

    async def test_clock_counts_no_stall_before_it_runs(self):
        """Guards against orders that are refused after a slow start."""
        self.build(None)
        self.clock_s += 7.0
        ticking = asyncio.create_task(self.stall_clock.run())
        await asyncio.sleep(0)
        ticking.cancel()
        self.assertEqual(0.0, self.stall_clock.longest_wait_s())

    async def test_short_stall_refuses_no_order(self):
        """Guards against refusals on a machine that is only busy.

        The time for which the order may have waited is taken off the time in
        which it may reach the leader.
        """
        for stall_s in (0.05, 0.2, 0.35):
            for later_s in (0.0, 0.1, 0.3, 0.6):
                operators = self.build(None, Outcome.OK)
                self.run_for(1.0)
                self.clock_s += stall_s
                self.run_for(later_s)
                await operators.execute(ZoneOrder("z1", True))
                self.assertLessEqual(self.client.within_s, 0.8)

    async def test_passed_on_order_is_not_passed_on_again(self):
        """Guards against orders that circulate between two processes."""
        operators = self.build(None, Outcome.OK)
        call = OperatorCall(ZoneOrder("z1", True), boottime_now() + 60.0)
        reply = await operators.answer(call)
        self.assertEqual(Outcome.NOT_LEADER, reply.outcome)
        self.assertEqual([], self.client.orders)

    async def test_order_in_doubt_is_never_answered_as_refused(self):
        """Guards against a refusal of an order that was executed."""
        with self.assertRaises(OutcomeUnknownError):
            await self.build(None, Outcome.UNKNOWN).execute(ZoneOrder("z1", True))
        with self.assertRaises(NotLeaderError):
            await self.build(None, Outcome.NOT_LEADER).execute(ZoneOrder("z1", True))

    async def test_configuration_is_unknown_before_the_first_one(self):
        """Guards against an empty configuration as an answer to a query."""
        self.leader.store = JobStore()
        reply = await self.build(self.leader.term).execute(ConfigurationQuery())
        self.assertEqual(Outcome.NO_CONFIGURATION, reply.outcome)


if __name__ == "__main__":
    unittest.main()
