"""Tests of operators' orders at a process that leads or does not lead."""

import unittest

from persimmonyard.daemon.jobs.job_service import JobService
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.operator_service import OperatorService
from persimmonyard.daemon.jobs.rpc import (
    CallReply,
    ConfigurationQuery,
    OperatorCall,
    Outcome,
    ZoneOrder,
)
from persimmonyard.jobs import JobStore, SetZone
from persimmonyard.replication import (
    NotLeaderError,
    OutcomeUnknownError,
    boottime_now,
)
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader


class FakeLeaderClient:
    """Answers every forwarded order with ``reply``."""

    def __init__(self, outcome):
        self.reply = CallReply(outcome)
        self.orders = []

    async def forward(self, order, within_s):
        self.orders.append(order)
        return self.reply


class OperatorServiceTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.leader = InMemoryLeader(FakeUpstreamClient())

    def build(self, term, outcome=Outcome.NOT_LEADER):
        service = JobService(self.leader.store, lambda: term, JobMetrics())
        self.client = FakeLeaderClient(outcome)
        return OperatorService(service, self.client)

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
