"""Tests of values that an adapter lets through and no log entry can hold."""

import unittest

from persimmonyard.daemon.jobs.job_service import JobService
from persimmonyard.daemon.jobs.leader_client import LeaderClient
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.operator_service import OperatorService
from persimmonyard.daemon.jobs.rpc import (
    ConfigurationOrder,
    JobCall,
    Outcome,
    Verb,
    ZoneOrder,
)
from persimmonyard.daemon.jobs.stall_clock import StallClock
from persimmonyard.jobs import (
    InvalidCommandError,
    NoteUpstreams,
    decode_command,
    encode_command,
)
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until
from test.jobs.fixtures import JOB_ID, configuration, job, report, step

TOO_LARGE = 2**70
NOT_UNICODE = "\ud800"


class EncodingLeader(InMemoryLeader):
    """A leader that encodes and decodes its commands, as a log does."""

    async def propose(self, command):
        return await super().propose(decode_command(encode_command(command)))


class OddValueTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = FakeUpstreamClient()
        self.upstream = self.upstreams.add("u1")
        self.leader = EncodingLeader(self.upstreams)
        self.leader.term.start()
        self.addCleanup(self.leader.term.close)
        self.service = JobService(
            self.leader.store, lambda: self.leader.term, JobMetrics()
        )
        self.operators = OperatorService(self.service, LeaderClient([]), StallClock())

    async def check_service(self):
        """Check that the term goes on and that a job is placed."""
        await self.service.observe(report("u1"))
        call = JobCall(
            Verb.SUBMIT, "h.example", f"/normal/{JOB_ID}", "key-1", job(step())
        )
        self.assertEqual(Outcome.OK, (await self.service.answer(call)).outcome)
        await wait_until(lambda: self.upstream.started)
        self.assertFalse(self.leader.term.failed)

    async def test_odd_report_is_refused_alone(self):
        """Guards against a report that ends the leader's term for all.

        Reports are committed in batches, so that the error appeared in a
        background task.
        """
        odd_reports = (
            report("u2", incarnation=TOO_LARGE),
            report("u2", sequence=TOO_LARGE),
            report("u2", gpu=TOO_LARGE),
            report("u2", clock_ms=-TOO_LARGE),
            report("u2", zone=NOT_UNICODE),
            report(NOT_UNICODE),
            report("u2", leaving=True, incarnation=TOO_LARGE),
        )
        for odd_report in odd_reports:
            with self.assertRaises(InvalidCommandError):
                await self.service.observe(odd_report)
        self.assertEqual({}, self.leader.term.fleet.by_id)
        await self.service.observe(report("u3"))
        await wait_until(lambda: "u3" in self.leader.store.report_by_upstream)
        await self.check_service()

    async def test_odd_calls_and_orders_are_answered_as_invalid(self):
        """Guards against a call that raises instead of being answered."""
        for odd_step in (step(estimate_ms=TOO_LARGE), step(label=NOT_UNICODE)):
            call = JobCall(
                Verb.SUBMIT, "h.example", f"/normal/{JOB_ID}", "key-1", job(odd_step)
            )
            reply = await self.service.answer(call)
            self.assertEqual(Outcome.INVALID, reply.outcome)
        for order in (
            ConfigurationOrder(configuration(TOO_LARGE)),
            ZoneOrder(NOT_UNICODE, True),
        ):
            reply = await self.operators.execute(order)
            self.assertEqual(Outcome.INVALID, reply.outcome)
        await self.check_service()

    async def test_commands_that_fit_are_encoded(self):
        """Guards against refusing the extremes of 64 bits."""
        command = NoteUpstreams((report("u1", incarnation=2**63 - 1),), -(2**63))
        self.assertEqual(command, decode_command(encode_command(command)))


if __name__ == "__main__":
    unittest.main()
