"""Tests that reports of other writers change nothing in a leader's term."""

import random
import unittest

import msgspec
from structlog.testing import capture_logs

from persimmonyard.jobs import (
    NoteUpstreams,
    PutConfiguration,
    ServiceSpec,
    SubmitJob,
    TaskEnd,
)
from test.daemon.jobs.fakes import (
    FakeUpstreamClient,
    InMemoryLeader,
    clock_ms,
    foreign_report,
    wait_until,
)
from test.jobs.fixtures import JOB_ID, configuration, job, report, step

SEEDS = range(20)


def configuration_with(version, *names):
    services = tuple(ServiceSpec(name) for name in names)
    routes = tuple(route for route in configuration().routes if route.service in names)
    return msgspec.structs.replace(
        configuration(version), services=services, routes=routes
    )


class ForeignReportTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = FakeUpstreamClient()
        self.upstream = self.upstreams.add("u1")
        self.other = self.upstreams.add("u2")

    def start_leader(self, **fields):
        leader = InMemoryLeader(self.upstreams, **fields)
        leader.term.start()
        self.addCleanup(leader.term.close)
        return leader

    async def start_run(self, leader, **fields):
        """Start a run on ``u1``, with ``u2`` in reserve; return its key."""
        leader.report("u1")
        await leader.term.commit(SubmitJob(job(step(**fields))))
        await wait_until(lambda: self.upstream.started)
        leader.report("u2")
        return self.upstream.started[0][0]

    async def test_report_of_an_unknown_service_replaces_no_upstream(self):
        """Guards against a task that runs twice at the same time.

        Another writer names a service of its own and the address, or the
        identifier, of an upstream at work, whose runs counted as lost.
        """
        leader = self.start_leader()
        task_key = await self.start_run(leader, long_running=True)
        unit = next(iter(leader.store.job_by_id[JOB_ID].units.values()))
        for seed in SEEDS:
            generator = random.Random(seed)
            for _ in range(5):
                leader.term.observe(foreign_report(generator))
            polls = self.upstreams.poll_count
            await wait_until(lambda after=polls + 1: self.upstreams.poll_count > after)
            self.assertEqual([], self.other.started, seed)
            self.assertEqual({task_key: 1}, self.upstream.running, seed)
            self.assertEqual([], unit.crashes, seed)
        leader.report("u1", sequence=2)
        self.assertTrue(leader.term.may_start(leader.term.fleet.by_id["u1"]))
        self.assertEqual({"u1", "u2"}, set(leader.term.fleet.by_id))

    async def test_report_of_an_unknown_service_is_logged_once_for_each_writer(self):
        """Guards against a writer that fills the log, or is never seen."""
        leader = self.start_leader()
        foreign = report("x-77aa")._replace(service="node-metrics")
        with capture_logs() as lines:
            for number in range(500):
                leader.term.observe(foreign)
                leader.term.observe(foreign._replace(upstream_id=f"x-{number}"))
        ignored = [line for line in lines if line["event"] == "report ignored"]
        self.assertEqual("x-77aa", ignored[0]["upstream"])
        self.assertEqual("node-metrics", ignored[0]["service"])
        self.assertLessEqual(len(ignored), 100)

    async def test_upstream_is_used_once_a_configuration_names_its_service(self):
        """Guards against an upstream that stays unused until it restarts.

        It reported before its service was configured.
        """
        leader = self.start_leader()
        leader.term.observe(report("u1", clock_ms=clock_ms())._replace(service="new"))
        self.assertEqual({}, leader.term.fleet.by_id)
        await leader.term.commit(PutConfiguration(configuration_with(2, "svc", "new")))
        leader.term.observe(
            report("u1", clock_ms=clock_ms(), sequence=2)._replace(service="new")
        )
        self.assertEqual(["u1"], list(leader.term.fleet.by_id))
        self.assertFalse(leader.term.fleet.by_id["u1"].gone)

    async def test_runs_of_a_removed_service_stay_supervised(self):
        """Guards against lost ends and a departure that nobody notices.

        A later configuration no longer names the service of an upstream.
        """
        leader = self.start_leader()
        task_key = await self.start_run(leader)
        await leader.term.commit(PutConfiguration(configuration_with(2, "other")))
        leader.report("u1", sequence=2, leaving=True, remaining_ms=60_000)
        self.assertTrue(leader.term.fleet.by_id["u1"].report.leaving)
        self.upstream.end(task_key, TaskEnd.DONE)
        await wait_until(lambda: self.upstream.acknowledged_end == 1)

    async def test_next_leader_keeps_upstreams_of_a_removed_service(self):
        """Guards against a new leader that knows only the run."""
        leader = self.start_leader()
        task_key = await self.start_run(leader)
        await wait_until(lambda: "u1" in leader.store.report_by_upstream)
        await leader.term.commit(PutConfiguration(configuration_with(2, "other")))
        leader.term.close()
        successor = self.start_leader(store=leader.store, fence=2)
        successor.report("u1", sequence=2, leaving=True, remaining_ms=60_000)
        self.assertTrue(successor.term.fleet.by_id["u1"].report.leaving)
        self.upstream.end(task_key, TaskEnd.DONE)
        await wait_until(lambda: self.upstream.acknowledged_end == 1)

    async def test_stored_report_of_another_writer_is_forgotten(self):
        """Guards against an upgrade that keeps an upstream out of use.

        Earlier versions stored reports of other writers; the stored one names
        the identifier and the address of an upstream and a later start.
        """
        for name in ("u1", "x-77aa"):
            with self.subTest(name):
                earlier = InMemoryLeader(self.upstreams)
                foreign = report(name, incarnation=50)._replace(
                    service="node-metrics", address="u1:80", sequence=-1, clock_ms=0
                )
                earlier.store.execute(NoteUpstreams((foreign,), 0))
                leader = self.start_leader(store=earlier.store, fence=2)
                leader.report("u1")
                self.assertFalse(leader.term.fleet.by_id["u1"].gone)
                await wait_until(
                    lambda store=leader.store, foreign=foreign: (
                        foreign not in store.report_by_upstream.values()
                    )
                )
                leader.report("u1", sequence=2)
                await wait_until(
                    lambda store=leader.store: "u1" in store.report_by_upstream
                )
