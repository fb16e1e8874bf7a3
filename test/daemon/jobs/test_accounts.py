"""Tests of a leader whose client accounts have limits."""

import asyncio
import unittest

import msgspec

from persimmonyard.daemon.jobs.account_overview import add_account_gauges
from persimmonyard.daemon.jobs.job_service import JobService
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.rpc import JobCall, Verb
from persimmonyard.jobs import (
    AccountSpec,
    PlaceRuns,
    PutConfiguration,
    SubmitJob,
    TaskEnd,
)
from persimmonyard.model import Resources
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until
from test.jobs.fixtures import JOB_ID, configuration, job, step

ODD_NAME = 'o"d\nd'


def limited(version, limit, weight=2.0, **others):
    accounts = [AccountSpec("clinic", ("key-1",), 0, Resources(limit, 0, 0), weight)]
    for name in others.values():
        accounts.append(AccountSpec(name, weight=1.0))
    return msgspec.structs.replace(configuration(version), accounts=tuple(accounts))


class AccountTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = FakeUpstreamClient()
        self.upstream = self.upstreams.add("u1")
        self.leader = InMemoryLeader(self.upstreams)
        self.leader.term.start()
        self.addCleanup(lambda: self.leader.term.close())
        self.leader.report("u1")

    async def submit(self, *steps, **fields):
        await self.leader.term.commit(SubmitJob(job(*steps, **fields)))

    async def explain(self):
        service = JobService(self.leader.store, lambda: self.leader.term, JobMetrics())
        path = f"/normal/{JOB_ID}/explain"
        call = JobCall(Verb.EXPLAIN, "h.example", path, "key-1")
        return msgspec.json.decode((await service.answer(call)).content)

    async def test_no_start_follows_a_lower_limit(self):
        """Guards against starts of placements that a lower limit overtook.

        The configuration is committed before placements that were planned
        with the previous one.
        """
        await self.leader.term.commit(PutConfiguration(limited(2, 6)))
        self.leader.commit_s = 0.1
        lower = asyncio.create_task(
            self.leader.term.propose(PutConfiguration(limited(3, 2)))
        )
        submitted = asyncio.create_task(self.submit(step(count=6)))
        await wait_until(lambda: self.leader.is_pending(PutConfiguration))
        # The plan is made with the previous limit and committed last.
        self.leader.store.execute(SubmitJob(job(step(count=6))))
        self.leader.term.request_plan()
        await wait_until(lambda: self.leader.is_pending(PlaceRuns))
        self.assertEqual(2, self.leader.store.version())
        await asyncio.gather(lower, submitted)
        await wait_until(lambda: not self.leader.is_pending(PlaceRuns))
        await wait_until(lambda: len(self.upstream.started) == 2)
        await asyncio.sleep(0.5)
        self.assertEqual(2, len(self.upstream.started))

    async def test_the_next_leader_goes_on_within_the_limit(self):
        """Guards against a new leader that grants the limit a second time."""
        await self.leader.term.commit(PutConfiguration(limited(2, 3)))
        await self.submit(step(count=5))
        await wait_until(lambda: len(self.upstream.started) == 3)
        self.leader.term.close()
        self.leader.term = self.leader.build_term(2)
        self.leader.term.start()
        self.leader.report("u1", sequence=2)
        await asyncio.sleep(0.7)
        self.assertEqual(3, len(self.upstream.started))
        self.upstream.end(self.upstream.started[0][0], TaskEnd.DONE)
        await wait_until(lambda: len(self.upstream.started) == 4)

    async def test_explanation_names_the_limit(self):
        """Guards against a caller who cannot tell why a job waits."""
        await self.leader.term.commit(PutConfiguration(limited(2, 3)))
        await self.submit(step(count=5))
        await wait_until(lambda: len(self.upstream.started) == 3)
        explanation = await self.explain()
        reason = (
            "task 0.0.3 waits for the limit of account 'clinic': 3 of 3 accelerators"
        )
        self.assertEqual(f"{reason} in use", explanation["waiting_because"])
        account = explanation["account"]
        self.assertEqual(
            (3, 3), (account["used"]["cores"], account["limit"]["accelerators"])
        )
        self.assertEqual((0.375, 1.0), (account["share"], account["entitled_share"]))
        self.assertEqual(
            (2, 2), (account["waiting_units"], account["units_over_limit"])
        )
        await self.leader.term.commit(PutConfiguration(limited(3, 0)))
        await wait_until(lambda: len(self.upstream.started) == 5)
        self.assertEqual("", (await self.explain())["waiting_because"])

    async def test_explanation_names_a_gang_that_can_never_start(self):
        """Guards against a caller who waits for a job that cannot start."""
        await self.leader.term.commit(PutConfiguration(limited(2, 3)))
        await self.submit(step(count=5, gang=True))
        reason = "gang 0.0 alone needs more than the limit of account 'clinic'"
        self.assertIn(reason, (await self.explain())["waiting_because"])

    async def test_metrics_show_configured_accounts_only(self):
        """Guards against unreadable metrics and values of removed accounts."""
        metrics = JobMetrics()
        add_account_gauges(metrics, lambda: self.leader.term)
        await self.leader.term.commit(PutConfiguration(limited(2, 3, a=ODD_NAME)))
        await self.submit(step(count=5))
        await wait_until(lambda: len(self.upstream.started) == 3)
        lines = metrics.text()[0].decode().splitlines()
        for line in (
            'persimmonyard_account_used{account="clinic",resource="cores"} 3000',
            'persimmonyard_account_limit{account="clinic",resource="accelerators"} 3',
            'persimmonyard_account_share{account="clinic"} 0.375',
            'persimmonyard_account_waiting_units{account="clinic"} 2',
            'persimmonyard_account_units_over_limit{account="clinic"} 2',
            'persimmonyard_account_entitled_share{account="o\\"d\\nd"} 0.0',
        ):
            self.assertTrue(any(found.startswith(line) for found in lines), line)
        await self.leader.term.commit(PutConfiguration(limited(3, 3)))
        self.assertNotIn("o\\", metrics.text()[0].decode())
