"""Tests of commands that are applied after their proposer has ended.

A leader that loses its lease for a moment begins a new term of leadership in
the same term of the log, and what it has proposed before is still committed.
"""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from persimmonyard.daemon.jobs.job_service import JobService
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.rpc import JobCall, Outcome, Verb
from persimmonyard.jobs import (
    CancelJob,
    EndRuns,
    JobState,
    Placement,
    PlaceRuns,
    RunEnd,
    Seat,
    SubmitJob,
    TaskEnd,
    UnitStatus,
)
from persimmonyard.replication import NotLeaderError, OutcomeUnknownError
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until
from test.jobs.fixtures import JOB_ID, WALL_MS, job, needs, step

SEEDS = range(30)


class LateCommandTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = FakeUpstreamClient()
        self.upstream = self.upstreams.add("u1")
        self.other = self.upstreams.add("u2")

    def start_leader(self):
        leader = InMemoryLeader(self.upstreams)
        leader.term.start()
        self.addCleanup(lambda: leader.term.close())
        return leader

    def started(self):
        """Return the task and run of each start on both upstreams."""
        starts = self.upstream.started + self.other.started
        return [(task_key, run) for task_key, run, _ in starts]

    async def test_placement_of_an_ended_term_is_started(self):
        """Guards against a placed run that nobody starts or supervises.

        Its placement is applied after the next term has taken over all runs.
        """
        leader = self.start_leader()
        leader.report("u1")
        leader.commit_s = 0.2
        await leader.term.commit(SubmitJob(job(step(long_running=True))))
        await wait_until(lambda: leader.is_pending(PlaceRuns))
        leader.begin_again()
        await wait_until(lambda: not leader.is_pending(PlaceRuns))
        leader.report("u1", sequence=2)
        leader.commit_s = 0.0
        (unit,) = leader.store.job_by_id[JOB_ID].units.values()
        await wait_until(lambda: self.upstream.running)
        self.assertEqual(UnitStatus.PLACED, unit.status)
        self.assertEqual([unit.run], list(self.upstream.running.values()))

    async def test_placement_behind_one_of_an_ended_term_starts_nothing(self):
        """Guards against a task that runs where the state does not have it.

        Two terms place the same run on different upstreams; the placement of
        the first one is applied.
        """
        leader = self.start_leader()
        leader.report("u1")
        leader.report("u2")
        leader.commit_s = 0.1
        await leader.propose(SubmitJob(job(step(gpu=8, long_running=True))))
        first = asyncio.create_task(self.place(leader, "u2"))
        leader.begin_again()
        leader.report("u1", sequence=2)
        await first
        leader.commit_s = 0.0
        await wait_until(lambda: self.upstream.running or self.other.running)
        await asyncio.sleep(0.5)
        (unit,) = leader.store.job_by_id[JOB_ID].units.values()
        running = [
            f"u{number}"
            for number, upstream in enumerate((self.upstream, self.other), 1)
            if upstream.running
        ]
        seats = [seat_record.seat.upstream_id for seat_record in unit.seats]
        self.assertEqual(seats, running)

    async def place(self, leader, upstream_id):
        """Propose a placement as an ended term does."""
        key = next(iter(leader.store.job_by_id[JOB_ID].units))
        seat = Seat(0, upstream_id, 1, f"{upstream_id}:80", "z1")
        await leader.propose(PlaceRuns((Placement(key, 1, (seat,)),), WALL_MS))

    async def test_end_committed_by_an_ended_term_breaks_the_gang(self):
        """Guards against members of a broken gang that run on.

        The end of one member is applied after the next term has taken over.
        """
        leader = self.start_leader()
        leader.report("u1", gpu=1)
        leader.report("u2", gpu=1)
        await leader.term.commit(SubmitJob(job(step(2, gang=True, long_running=True))))
        await wait_until(lambda: len(self.started()) == 2)
        (key,) = leader.store.job_by_id[JOB_ID].units
        self.upstreams.silent.add("u1")
        leader.commit_s = 0.1
        end = RunEnd(key, 0, 1, TaskEnd.LOST)
        committed = asyncio.create_task(leader.propose(EndRuns((end,), WALL_MS)))
        await asyncio.sleep(0)
        leader.begin_again()
        await committed
        await wait_until(lambda: not self.other.running or not self.upstream.running)

    async def test_runs_of_a_cancelled_job_stop_whenever_its_caller_leaves(self):
        """Guards against tasks of a cancelled job that run on for good.

        An entry dies, or its call times out, while the cancel is committed;
        the moment is drawn.  The cancel that is sent again finds the job
        cancelled.
        """
        generator = random.Random(7)
        leader = self.start_leader()
        service = JobService(leader.store, lambda: leader.term, JobMetrics())
        leader.report("u1")
        job_ids = [f"{number:016x}" for number in range(40)]
        for job_id in job_ids:
            small = msgspec.structs.replace(step(long_running=True), needs=needs(0))
            await leader.propose(SubmitJob(job(small, job_id=job_id)))
        leader.term.request_plan()
        await wait_until(lambda: len(self.upstream.running) == len(job_ids))
        leader.commit_s = 0.001
        handlers = []
        for job_id in job_ids:
            call = JobCall(Verb.CANCEL, "h.example", f"/normal/{job_id}", "key-1")
            handlers.append(asyncio.create_task(service.answer(call)))
        while any(not handler.done() for handler in handlers):
            generator.choice(handlers).cancel()
            await asyncio.sleep(generator.uniform(0.0, 0.002))
        leader.commit_s = 0.0
        for job_id in job_ids:
            call = JobCall(Verb.CANCEL, "h.example", f"/normal/{job_id}", "key-1")
            reply = await service.answer(call)
            self.assertEqual((Outcome.OK, "cancelled"), (reply.outcome, reply.state))
        await wait_until(lambda: not self.upstream.running)
        await wait_until(lambda: not leader.store.seats_by_upstream)

    async def test_cancel_committed_by_an_ended_term_stops_the_job(self):
        """Guards against a cancel whose stops are left to an ended term.

        It is applied after the next term has taken over all runs.
        """
        leader = self.start_leader()
        leader.report("u1")
        await leader.term.commit(SubmitJob(job(step(long_running=True))))
        await wait_until(lambda: self.upstream.running)
        leader.commit_s = 0.1
        cancelled = asyncio.create_task(leader.term.commit(CancelJob(JOB_ID, 1)))
        await wait_until(lambda: leader.is_pending(CancelJob))
        leader.begin_again()
        await cancelled
        await wait_until(lambda: not self.upstream.running)

    async def test_ends_of_a_new_incarnation_are_not_acknowledged_unread(self):
        """Guards against an end that an upstream forgets before it is read.

        The upstream restarts while ends of its earlier incarnation are being
        committed, and its numbers of ends begin again.
        """
        leader = self.start_leader()
        leader.report("u1")
        await leader.term.commit(SubmitJob(job(step(3), step(1, depends_on=(0,)))))
        await wait_until(lambda: len(self.upstream.running) == 3)
        leader.commit_s = 0.2
        for task_key in list(self.upstream.running):
            self.upstream.end(task_key, TaskEnd.DONE)
        await wait_until(lambda: leader.is_pending(EndRuns))
        successor = self.upstreams.add("u1")
        successor.incarnation = 2
        leader.report("u1", incarnation=2)
        await wait_until(lambda: not leader.is_pending(EndRuns))
        leader.commit_s = 0.0
        await wait_until(lambda: successor.running)
        await wait_until(lambda: successor.leases)
        self.assertEqual(0, successor.acknowledged_end)
        successor.end(next(iter(successor.running)), TaskEnd.DONE)
        record = leader.store.job_by_id[JOB_ID]
        await wait_until(lambda: record.state() == JobState.COMPLETED)
        self.assertEqual(1, len(successor.started))

    async def test_term_ends_with_its_lease_though_it_comes_back(self):
        """Guards against a term whose loops have ended while it goes on.

        The lease lapses for less than the interval at which the process looks
        at it; a loop that sees this ends, or a proposal of it is refused.
        """
        leader = self.start_leader()
        leader.report("u1")
        leader.leading = False
        self.assertFalse(leader.term.leads())
        leader.leading = True
        self.assertTrue(leader.term.failed)
        for number, refused in enumerate((NotLeaderError(""), OutcomeUnknownError(""))):
            leader.begin_again()
            leader.term.propose = mock.AsyncMock(side_effect=refused)
            leader.store.execute(SubmitJob(job(step(), job_id=f"{number:016x}")))
            leader.report("u1", sequence=2 + number)
            await wait_until(lambda: leader.term.failed)

    async def test_every_job_ends_whenever_the_term_begins_again(self):
        """Guards against work that is lost at one moment of a short cut.

        The moment of the cut and the time of the commits are drawn.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_scenario(random.Random(seed))

    async def run_scenario(self, generator):
        upstreams = FakeUpstreamClient()
        names = [f"u{number}" for number in range(3)]
        for name in names:
            upstreams.add(name)
        leader = InMemoryLeader(upstreams)
        leader.term.start()
        leader.commit_s = generator.uniform(0.0, 0.03)
        reports = 0
        for number in range(6):
            submitted = job(
                step(generator.randint(1, 3), gang=generator.random() < 0.5),
                step(1, depends_on=(0,)),
                job_id=f"{number:016x}",
            )
            await leader.term.commit(SubmitJob(submitted))
            for name in names:
                reports += 1
                leader.report(name, sequence=reports)
            await asyncio.sleep(generator.uniform(0.0, 0.06))
            if generator.random() < 0.7:
                leader.begin_again()
            for upstream in upstreams.by_address.values():
                for task_key in list(upstream.running):
                    upstream.end(task_key, TaskEnd.DONE)
        leader.commit_s = 0.0

        def all_completed():
            for upstream in upstreams.by_address.values():
                for task_key in list(upstream.running):
                    upstream.end(task_key, TaskEnd.DONE)
            records = leader.store.job_by_id.values()
            return all(record.state() == JobState.COMPLETED for record in records)

        for name in names:
            reports += 1
            leader.report(name, sequence=reports)
        await wait_until(all_completed)
        await wait_until(lambda: not leader.store.seats_by_upstream)
        leader.term.close()
