"""Tests of one term of a leader against upstreams in memory."""

import asyncio
import unittest

from structlog.testing import capture_logs

from persimmonyard.daemon.jobs.job_service import JobService
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.rpc import JobCall, Outcome, Verb
from persimmonyard.daemon.jobs.upstream_client import OrderResult
from persimmonyard.jobs import (
    CancelJob,
    EndRuns,
    JobState,
    JobStore,
    SubmitJob,
    TaskEnd,
)
from persimmonyard.replication import NotLeaderError
from test.daemon.jobs.fakes import FakeUpstreamClient, Term, clock_ms, wait_until
from test.jobs.fixtures import JOB_ID, job, report, step


class LeadershipTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.port = FakeUpstreamClient()
        self.upstream = self.port.add("u1")
        self.term = Term(self.port)
        self.term.lead.start()
        self.addCleanup(self.term.lead.close)

    async def submit(self, *steps, **fields):
        await self.term.lead.commit(SubmitJob(job(*steps, **fields)))
        return self.term.store.job_by_id[fields.get("job_id", JOB_ID)]

    async def started(self, count=1):
        await wait_until(lambda: len(self.upstream.started) >= count)
        return self.upstream.started[count - 1][0]

    async def test_job_runs_and_its_end_is_acknowledged(self):
        """Guards against ends that upstreams list for ever."""
        self.term.report("u1")
        record = await self.submit(step())
        name = await self.started()
        await wait_until(lambda: record.state() == JobState.RUNNING)
        self.upstream.end(name, TaskEnd.DONE)
        await wait_until(lambda: record.state() == JobState.COMPLETED)
        await wait_until(lambda: self.upstream.seen == 1)

    async def test_end_is_committed_before_it_is_acknowledged(self):
        """Guards against an end that is forgotten before it is stored."""
        self.term.report("u1")
        await self.submit(step())
        name = await self.started()
        held = asyncio.Event()
        propose = self.term.lead.propose

        async def slow(command):
            await held.wait()
            return await propose(command)

        self.term.lead.propose = slow
        self.upstream.end(name, TaskEnd.DONE)
        await asyncio.sleep(0.5)
        self.assertEqual(0, self.upstream.seen)
        held.set()
        await wait_until(lambda: self.upstream.seen == 1)

    async def test_start_without_an_answer_is_sent_again(self):
        """Guards against a task that waits for an answer that never comes."""
        self.term.report("u1")
        self.port.late.add("u1")
        await self.submit(step())
        await wait_until(lambda: self.port.kept)
        self.port.late.clear()
        await self.started()
        upstream, order = self.port.kept[0]
        # The first start arrives after the task has ended.
        self.upstream.end(order.task_key, TaskEnd.DONE)
        self.assertEqual(OrderResult.OLD_RUN, upstream.start(order))

    async def test_given_up_start_cannot_run_later(self):
        """Guards against two runs when a lost start arrives late."""
        self.term.report("u1")
        other = self.port.add("u2")
        self.port.late.add("u1")
        await self.submit(step())
        await wait_until(lambda: self.port.kept)
        self.term.report("u2")
        await wait_until(lambda: other.started)
        upstream, order = self.port.kept[0]
        self.assertEqual(OrderResult.OLD_RUN, upstream.start(order))
        self.assertEqual(2, other.started[0][1])

    async def test_silent_upstream_keeps_its_runs_until_the_lease_ends(self):
        """Guards against a second run while the first holds a lease."""
        self.term.report("u1")
        other = self.port.add("u2")
        await self.submit(step())
        await self.started()
        await wait_until(lambda: len(self.upstream.leases) > 1)
        self.port.silent.add("u1")
        silent_at = asyncio.get_running_loop().time()
        self.term.report("u2")
        await wait_until(lambda: other.started)
        waited_s = asyncio.get_running_loop().time() - silent_at
        # The last lease was granted at most one wait before the silence.
        self.assertGreater(waited_s, 2.0 - 0.2 - 0.2)

    async def test_restarted_upstream_loses_its_runs_at_once(self):
        """Guards against waiting for leases of an incarnation that ended."""
        self.term.report("u1")
        record = await self.submit(step())
        await self.started()
        self.upstream = self.port.add("u1")
        self.upstream.incarnation = 2
        self.term.report("u1", incarnation=2)
        await wait_until(lambda: self.upstream.started)
        self.assertEqual(2, self.upstream.started[0][1])
        self.assertEqual(JobState.RUNNING, record.state())

    async def test_start_that_reaches_a_new_incarnation_is_stopped(self):
        """Guards against a run of an old placement on a restarted upstream."""
        self.term.report("u1")
        self.port.late.add("u1")
        await self.submit(step())
        await wait_until(lambda: self.port.kept)
        fresh = self.port.add("u1")
        fresh.incarnation = 2
        _, order = self.port.kept[0]
        fresh.start(order)
        self.port.late.clear()
        self.term.report("u1", incarnation=2)
        await wait_until(lambda: len(fresh.started) == 2)
        self.assertEqual({order.task_key: 2}, fresh.running)

    async def test_cancelled_job_is_stopped(self):
        """Guards against work that goes on after a cancellation."""
        self.term.report("u1")
        await self.submit(step(2))
        await self.started(2)
        await self.term.lead.commit(CancelJob(JOB_ID, 1))
        self.term.lead.stop_job(JOB_ID, "cancelled")
        await wait_until(lambda: not self.upstream.running)
        await wait_until(lambda: not self.term.store.seats_by_upstream)

    async def test_broken_gang_is_stopped_and_runs_again(self):
        """Guards against members that wait for one that failed."""
        self.term.report("u1")
        await self.submit(step(2, gang=True))
        name = await self.started(2)
        self.upstream.end(name, TaskEnd.FAILED)
        await self.started(4)
        runs = {run for _, run, _ in self.upstream.started[2:]}
        self.assertEqual({2}, runs)

    async def test_refused_start_is_placed_again(self):
        """Guards against a task that is lost by a refusal."""
        self.term.report("u1")
        other = self.port.add("u2")
        self.port.refuse = OrderResult.UNHEALTHY
        await self.submit(step())
        await wait_until(
            lambda: any(isinstance(one, EndRuns) for one in self.term.proposed)
        )
        self.port.refuse = None
        self.term.report("u2")
        await wait_until(lambda: other.started)

    async def test_departed_upstream_loses_its_runs(self):
        """Guards against waiting for leases of an upstream that has ended."""
        self.term.report("u1")
        other = self.port.add("u2")
        await self.submit(step())
        await self.started()
        self.term.report("u1", sequence=2, leaving=True)
        self.term.report("u2")
        await self.term.lead.mark_upstream_left("u1")
        await wait_until(lambda: other.started)

    async def leave(self, remaining_ms, *steps):
        """Run steps on an upstream that then leaves for another one."""
        self.term.report("u1")
        other = self.port.add("u2")
        await self.submit(*steps)
        await self.started()
        self.term.report("u2")
        self.term.report("u1", sequence=2, leaving=True, remaining_ms=remaining_ms)
        return other

    async def test_run_that_ends_before_its_upstream_leaves_goes_on(self):
        """Guards against work thrown away although there is time for it."""
        await self.leave(60_000, step(estimate_ms=2_000))
        await asyncio.sleep(0.5)
        self.assertEqual([], self.upstream.ended)

    async def test_run_that_cannot_end_in_time_begins_elsewhere_at_once(self):
        """Guards against seconds spent on work that will be lost."""
        other = await self.leave(30_000, step(estimate_ms=90_000))
        await wait_until(lambda: other.started)

    async def test_saved_work_moves_shortly_before_its_upstream_leaves(self):
        """Guards against idle time while the upstream could still work."""
        other = await self.leave(1_000, step(estimate_ms=90_000, checkpoints=True))
        await asyncio.sleep(0.3)
        self.assertEqual([], self.upstream.ended)
        await wait_until(lambda: other.started)
        self.assertEqual("saved", other.started[0][2])


class LogTests(unittest.IsolatedAsyncioTestCase):
    async def test_answers_without_a_leader_are_counted_and_not_logged(self):
        """Guards against a flood of lines while no process leads."""
        metrics = JobMetrics()
        service = JobService(JobStore(), lambda: None, metrics)
        call = JobCall(Verb.SUBMIT, "h.example", f"/normal/{JOB_ID}", "key-1")
        with capture_logs() as lines:
            reply = await service.answer(call)
        self.assertEqual(Outcome.NOT_LEADER, reply.outcome)
        self.assertEqual([], lines)
        self.assertIn(b'outcome="not_leader"', metrics.text()[0])


class TakeOverTests(unittest.IsolatedAsyncioTestCase):
    async def take_over(self, port, store):
        term = Term(port, store, fence=2)
        term.lead.start()
        self.addCleanup(term.lead.close)
        return term

    async def first_term(self, port):
        term = Term(port)
        term.lead.start()
        term.report("u1")
        await term.lead.commit(SubmitJob(job(step())))
        return term

    async def test_new_leader_uses_upstreams_before_they_report(self):
        """Guards against jobs that wait for heartbeats after a failover."""
        port = FakeUpstreamClient()
        upstream = port.add("u1")
        first = await self.first_term(port)
        await wait_until(lambda: first.store.report_by_upstream)
        first.lead.close()
        second = await self.take_over(port, first.store)
        other = "00000000000000b2"
        await second.lead.commit(SubmitJob(job(step(), job_id=other)))
        await wait_until(lambda: any(n.job_id == other for n, _, _ in upstream.started))

    async def test_new_leader_starts_nothing_on_an_upstream_that_left(self):
        """Guards against a leave that only the former leader knew."""
        port = FakeUpstreamClient()
        upstream = port.add("u1")
        first = Term(port)
        first.lead.start()
        first.report("u1")
        leave = report("u1", sequence=2, leaving=True, clock_ms=clock_ms())
        first.lead.observe(leave)
        await first.lead.confirm(leave)
        first.lead.close()
        second = await self.take_over(port, first.store)
        await second.lead.commit(SubmitJob(job(step())))
        await asyncio.sleep(0.5)
        self.assertEqual([], upstream.started)

    async def test_silent_upstream_of_a_former_leader_holds_up_nothing(self):
        """Guards against seconds spent on an upstream that has died."""
        port = FakeUpstreamClient()
        port.add("u1")
        first = Term(port)
        first.lead.start()
        first.report("u1")
        await wait_until(lambda: first.store.report_by_upstream)
        first.lead.close()
        port.silent.add("u1")
        other = port.add("u2")
        second = await self.take_over(port, first.store)
        await second.lead.commit(SubmitJob(job(step())))
        await wait_until(lambda: second.proposed)
        second.report("u2")
        await wait_until(lambda: other.started)

    async def test_new_leader_goes_on_with_what_runs(self):
        """Guards against a second start of a task that runs."""
        port = FakeUpstreamClient()
        upstream = port.add("u1")
        first = await self.first_term(port)
        await wait_until(lambda: upstream.started)
        first.leading = False
        first.lead.close()
        second = await self.take_over(port, first.store)
        await wait_until(lambda: upstream.fence == 2)
        upstream.end(upstream.started[0][0], TaskEnd.DONE)
        record = first.store.job_by_id[JOB_ID]
        await wait_until(lambda: record.state() == JobState.COMPLETED)
        self.assertEqual(1, len(upstream.started))
        self.assertEqual(1, len(second.proposed))

    async def test_new_leader_sends_starts_that_were_only_placed(self):
        """Guards against a placement whose start was never sent."""
        port = FakeUpstreamClient()
        upstream = port.add("u1")
        port.silent.add("u1")
        first = await self.first_term(port)
        await wait_until(lambda: first.store.seats_by_upstream)
        first.leading = False
        first.lead.close()
        port.silent.clear()
        second = await self.take_over(port, first.store)
        second.report("u1")
        await wait_until(lambda: upstream.started)
        # The first run was made impossible before the second one was placed.
        self.assertEqual(2, upstream.started[0][1])

    async def test_former_leader_is_fenced(self):
        """Guards against orders of a leader that has been replaced."""
        port = FakeUpstreamClient()
        upstream = port.add("u1")
        first = await self.first_term(port)
        await wait_until(lambda: upstream.started)
        await self.take_over(port, first.store)
        await wait_until(lambda: upstream.fence == 2)
        name, run, _ = upstream.started[0]
        reply = upstream.stop(name, run, 1)
        self.assertEqual(OrderResult.STALE_FENCE, reply)
        first.lead.close()


class ServiceChangeTests(unittest.IsolatedAsyncioTestCase):
    async def test_start_is_not_repeated_on_an_upstream_that_leaves(self):
        """Guards against a start after a leave was acknowledged."""
        port = FakeUpstreamClient()
        upstream = port.add("u1")
        term = Term(port)
        term.lead.start()
        self.addCleanup(term.lead.close)
        term.report("u1")
        port.late.add("u1")
        await term.lead.commit(SubmitJob(job(step())))
        await wait_until(lambda: port.kept)
        term.report("u1", sequence=2, leaving=True)
        port.late.clear()
        await wait_until(lambda: not term.store.seats_by_upstream)
        self.assertEqual([], upstream.started)

    async def test_ended_term_answers_nothing(self):
        """Guards against old answers of a leader that was frozen."""
        term = Term(FakeUpstreamClient())
        service = JobService(term.store, lambda: term.lead, JobMetrics())
        call = JobCall(Verb.COUNT, "h.example", "/normal/", "key-1")
        self.assertEqual(Outcome.OK, (await service.answer(call)).outcome)
        term.leading = False
        self.assertEqual(Outcome.NOT_LEADER, (await service.answer(call)).outcome)
        with self.assertRaises(NotLeaderError):
            service.configuration()


class ProgressTests(unittest.IsolatedAsyncioTestCase):
    async def test_run_that_stands_still_goes_on_elsewhere(self):
        """Guards against a job that waits for an upstream that hangs."""
        port = FakeUpstreamClient()
        port.add("u1")
        term = Term(port)
        term.lead.start()
        self.addCleanup(term.lead.close)
        term.report("u1")
        await term.lead.commit(SubmitJob(job(step(checkpoints=True))))
        await wait_until(lambda: term.store.seats_by_upstream)
        other = port.add("u2")
        term.report("u2")
        await wait_until(lambda: other.started)
        # The stop saves a checkpoint, from which the next run resumes.
        self.assertEqual((2, "saved"), other.started[0][1:])


class CloseTests(unittest.IsolatedAsyncioTestCase):
    async def test_closing_ends_every_task_of_the_term(self):
        """Guards against tasks of an ended term that go on beside a new one.

        A wait that ends in the same turn of the loop as the cancellation
        used to swallow it.
        """
        for turns in range(4):
            term = Term(FakeUpstreamClient())
            term.lead.start()
            await asyncio.sleep(0.05)
            tasks = set(term.lead._tasks)
            term.lead.kick()
            for _ in range(turns):
                await asyncio.sleep(0)
            term.lead.close()
            term.lead.kick()
            await asyncio.wait(tasks, timeout=2.0)
            left = [task for task in tasks if not task.done()]
            for task in left:
                task.cancel()
            self.assertEqual([], left, f"after {turns} turns")
