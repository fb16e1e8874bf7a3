"""Tests of upstreams that restart under their identifier and address.

Calls for the former incarnation are executed by the next one, because they
name only the identifier.
"""

import asyncio
import unittest

from persimmonyard.daemon.jobs.upstream_client import NoAnswerError
from persimmonyard.jobs import (
    CancelJob,
    EndRuns,
    ForgetUpstreams,
    JobState,
    JobStore,
    SubmitJob,
    TaskEnd,
    order_fence,
)
from test.daemon.jobs.fakes import (
    DURATIONS,
    FakeUpstreamClient,
    InMemoryLeader,
    wait_until,
)
from test.jobs.fixtures import job, report, step

FIRST, SECOND = "00000000000000b1", "00000000000000b2"


class FaultyCalls(FakeUpstreamClient):
    """An upstream client with faults; polls hang while ``hanging`` is set.

    Those in progress fail when ``failed`` is set.  With
    ``lost_acknowledgements`` calls that acknowledge ends get no answer, and
    ``before_acknowledgement`` is called before one is executed.
    """

    def __init__(self):
        super().__init__()
        self.hanging = False
        self.lost_acknowledgements = None
        self.before_acknowledgement = None
        self.lose_start_answers = False
        self.lose_stops = False
        self.hanging_count = 0
        self.failed = asyncio.Event()

    async def renew(self, target, until_ms, fence, acknowledged_end, wait_ms):
        if self.hanging:
            self.hanging_count += 1
            await self.failed.wait()
            raise NoAnswerError("time-out")
        if acknowledged_end and self.lost_acknowledgements is not None:
            self.lost_acknowledgements += 1
            raise NoAnswerError("time-out")
        if acknowledged_end and self.before_acknowledgement is not None:
            self.before_acknowledgement()
        return await super().renew(target, until_ms, fence, acknowledged_end, wait_ms)

    async def start(self, target, order):
        reply = await super().start(target, order)
        if self.lose_start_answers:
            raise NoAnswerError("answer lost")
        return reply

    async def stop(self, target, task_key, run, fence):
        if self.lose_stops:
            raise NoAnswerError("time-out")
        return await super().stop(target, task_key, run, fence)


class RestartTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = FaultyCalls()
        self.former = self.upstreams.add("u1")
        self.leader = InMemoryLeader(self.upstreams)
        self.leader.term.start()
        self.addCleanup(lambda: self.leader.term.close())

    async def submit(self, job_id, *steps):
        submitted = job(*steps, job_id=job_id)
        await self.leader.term.commit(SubmitJob(submitted))
        return self.leader.store.job_by_id[job_id]

    def restart(self):
        """Replace the process of u1, which has not reported yet."""
        replacement = self.upstreams.add("u1")
        replacement.incarnation = 2
        return replacement

    async def restart_with_an_acknowledgement_in_flight(self):
        """Restart u1, whose next incarnation executes the call unanswered."""
        self.leader.report("u1")
        await self.submit(FIRST, step(3))
        await wait_until(lambda: len(self.former.started) == 3)
        self.upstreams.lost_acknowledgements = 0
        for task_key in list(self.former.running):
            self.former.end(task_key, TaskEnd.DONE)
        await wait_until(lambda: self.upstreams.lost_acknowledgements)
        self.upstreams.lost_acknowledgements = None
        replacement = self.restart()
        replacement.acknowledged_end = 2
        return replacement

    def ends(self):
        """Return how the runs of each committed command have ended."""
        found = []
        for command in self.leader.proposed:
            if isinstance(command, EndRuns):
                found += [end.end for end in command.ends]
        return found

    async def test_run_executed_by_the_next_incarnation_is_not_started_elsewhere(self):
        """Guards against a lease that a late call for another one granted."""
        self.leader.report("u1")
        self.upstreams.delayed.add("u1")
        record = await self.submit(FIRST, step())
        await wait_until(lambda: self.upstreams.delayed_starts)
        replacement = self.restart()
        replacement.start(self.upstreams.delayed_starts[0][1])
        self.upstreams.silent.add("u1")
        other = self.upstreams.add("u2")
        self.leader.report("u2")
        self.leader.report("u1", incarnation=2)
        await asyncio.sleep(1.0)
        self.assertEqual([], other.started)
        self.upstreams.silent.clear()
        replacement.end(next(iter(replacement.running)), TaskEnd.DONE)
        await wait_until(lambda: record.state() == JobState.COMPLETED)
        self.assertEqual([TaskEnd.DONE], self.ends())

    async def test_run_that_no_incarnation_executes_starts_again_at_once(self):
        """Guards against waiting for a lease although the end is certain.

        The poll in progress hangs until long after the restart.
        """
        self.leader.report("u1")
        await self.submit(FIRST, step())
        await wait_until(lambda: self.listed_once())
        self.upstreams.hanging = True
        await wait_until(lambda: self.upstreams.hanging_count)
        self.upstreams.hanging = False
        replacement = self.restart()
        self.leader.report("u1", incarnation=2)
        await wait_until(lambda: replacement.started, 1.0)
        self.assertEqual([TaskEnd.LOST], self.ends())

    def listed_once(self):
        session = self.leader.term.find_session("u1")
        return session and any(
            task_run.listed for task_run in session.task_run_by_key.values()
        )

    async def test_acknowledgement_deletes_no_end_of_the_next_incarnation(self):
        """Guards against ends that are forgotten before they are read.

        The number of the former incarnation's last end must not reach the next
        one, whose numbers begin at 1.
        """
        self.leader.report("u1")
        record = await self.submit(FIRST, step(4))
        await wait_until(lambda: len(self.former.started) == 4)
        for task_key in list(self.former.running)[:3]:
            self.former.end(task_key, TaskEnd.DONE)
        await wait_until(lambda: self.former.acknowledged_end == 3)
        replacement = self.restart()
        await wait_until(lambda: replacement.leases)
        self.assertEqual(0, replacement.acknowledged_end)
        self.leader.report("u1", incarnation=2)
        second = await self.submit(SECOND, step(2))
        await wait_until(lambda: len(replacement.running) == 3)
        for task_key in list(replacement.running):
            replacement.end(task_key, TaskEnd.DONE)
        await wait_until(lambda: record.state() == JobState.COMPLETED)
        await wait_until(lambda: second.state() == JobState.COMPLETED)
        self.assertEqual(3, len(replacement.started))

    async def test_acknowledgement_in_flight_makes_no_task_run_twice(self):
        """Guards against ends that the next incarnation forgets unread.

        It has executed an acknowledgement that was in flight at its start.
        """
        replacement = await self.restart_with_an_acknowledgement_in_flight()
        self.leader.report("u1", incarnation=2)
        await self.check_tasks_complete_once(replacement)

    async def check_tasks_complete_once(self, replacement):
        """Run four tasks on a replacement; those not stopped end as done."""
        await self.submit(SECOND, step(4))
        await self.check_second_job_completes_once(replacement)

    async def check_second_job_completes_once(self, replacement):
        record = self.leader.store.job_by_id[SECOND]
        done = []
        while record.state() != JobState.COMPLETED:
            present = set(replacement.running.items())
            await asyncio.sleep(0.2)
            for task_key, _ in present & set(replacement.running.items()):
                replacement.end(task_key, TaskEnd.DONE)
                done.append(task_key)
        self.assertEqual(4, len(done))

    async def test_acknowledgement_that_the_next_incarnation_answers(self):
        """Guards against taking its answer for that of the former one."""
        self.leader.report("u1")
        await self.submit(FIRST, step(3))
        await wait_until(lambda: len(self.former.started) == 3)
        replacements = []
        self.upstreams.before_acknowledgement = lambda: replacements.append(
            self.restart()
        )
        for task_key in list(self.former.running):
            self.former.end(task_key, TaskEnd.DONE)
        await wait_until(lambda: replacements)
        self.upstreams.before_acknowledgement = None
        self.leader.report("u1", incarnation=2)
        await self.check_tasks_complete_once(replacements[0])

    async def test_lost_answer_to_the_first_start_lets_no_end_be_forgotten(self):
        """Guards against a run that works on while ends are in doubt.

        The answer to its start is lost, and a listing shows that it runs.
        """
        replacement = await self.restart_with_an_acknowledgement_in_flight()
        self.upstreams.lose_start_answers = True
        self.leader.report("u1", incarnation=2)
        await self.check_tasks_complete_once(replacement)

    async def change_leader(self):
        """Continue with the next leader, which has the state of this one."""
        self.leader.term.close()
        await wait_until(lambda: not self.leader.commits)
        store = JobStore()
        store.restore(self.leader.store.snapshot())
        self.leader = InMemoryLeader(self.upstreams, store, fence=2)
        self.leader.term.start()

    async def test_next_leader_knows_that_ends_may_be_forgotten(self):
        """Guards against tasks that start again after a change of leaders.

        The incarnation began long before, so only an earlier leader knows of
        the acknowledgement that it has executed.
        """
        replacement = await self.restart_with_an_acknowledgement_in_flight()
        self.leader.report("u1", incarnation=2)
        await wait_until(lambda: replacement.leases)
        await self.change_leader()
        self.leader.report("u1", incarnation=2, sequence=2)
        await self.check_tasks_complete_once(replacement)

    async def test_next_leader_stops_a_run_whose_end_may_be_forgotten(self):
        """Guards against taking an end probe for a run without doubt."""
        replacement = await self.restart_with_an_acknowledgement_in_flight()
        self.upstreams.lose_stops = True
        self.leader.report("u1", incarnation=2)
        await self.submit(SECOND, step(4))
        await wait_until(lambda: replacement.running)
        await self.change_leader()
        self.upstreams.lose_stops = False
        self.leader.report("u1", incarnation=2, sequence=2)
        await self.check_second_job_completes_once(replacement)

    async def test_doubt_ends_for_the_next_leader_once_an_end_is_listed(self):
        """Guards against short runs on an upstream that forgets nothing."""
        replacement = await self.restart_with_an_acknowledgement_in_flight()
        self.leader.report("u1", incarnation=2)
        await self.check_tasks_complete_once(replacement)
        await self.change_leader()
        self.leader.report("u1", incarnation=2, sequence=2)
        started = len(replacement.started)
        await self.submit("00000000000000b3", step(2))
        await wait_until(lambda: len(replacement.running) == 2)
        self.assertEqual(started + 2, len(replacement.started))

    async def test_stopped_run_without_a_start_ends_on_a_silent_upstream(self):
        """Guards against a seat that stays open while its upstream is dead."""
        self.upstreams.silent.add("u1")
        self.leader.report("u1")
        await self.submit(FIRST, step())
        store = self.leader.store
        await wait_until(lambda: store.seats_by_upstream.get("u1"))
        await self.leader.term.commit(CancelJob(FIRST, 1))
        await wait_until(lambda: not store.seats_by_upstream.get("u1"), 1.0)

    async def test_failed_poll_of_the_former_incarnation_is_none_of_the_next(self):
        """Guards against conclusions from a call to another incarnation."""
        self.leader.report("u1")
        await self.submit(FIRST, step())
        await wait_until(lambda: self.former.started)
        self.upstreams.hanging = True
        await wait_until(lambda: self.upstreams.hanging_count)
        self.upstreams.hanging = False
        replacement = self.restart()
        self.leader.report("u1", incarnation=2)
        await wait_until(lambda: replacement.started)
        self.upstreams.failed.set()
        await asyncio.sleep(0.1)
        upstream = self.leader.term.fleet.by_id["u1"]
        self.assertEqual(0.0, upstream.avoid_until)
        self.assertIsNone(self.leader.term.session(upstream).contact.silent_at)

    async def test_polls_without_ends_cost_one_call_for_each_wait(self):
        """Guards against further calls to upstreams that only run tasks.

        A deployment may have 16,000 of them.  The first call confirms the
        incarnation; a batch of ends takes one more, which acknowledges it.
        """
        self.leader.report("u1")
        await self.submit(FIRST, step(4))
        await wait_until(lambda: len(self.former.started) == 4)
        began_at = asyncio.get_running_loop().time()
        first_count = self.upstreams.poll_count
        await asyncio.sleep(1.0)
        elapsed_ms = (asyncio.get_running_loop().time() - began_at) * 1_000
        waits = elapsed_ms / DURATIONS.wait_ms
        self.assertLessEqual(self.upstreams.poll_count - first_count, waits + 2)
        polls = self.upstreams.poll_count
        for task_key in list(self.former.running):
            self.former.end(task_key, TaskEnd.DONE)
        await wait_until(lambda: self.former.acknowledged_end == 4)
        await asyncio.sleep(0.5)
        self.assertLessEqual(self.upstreams.poll_count - polls, 2)

    async def test_start_for_the_former_incarnation_is_refused_after_a_poll(self):
        """Guards against a start that is executed seconds after a restart."""
        self.leader.report("u1")
        self.upstreams.delayed.add("u1")
        await self.submit(FIRST, step())
        await wait_until(lambda: self.upstreams.delayed_starts)
        order = self.upstreams.delayed_starts[0][1]
        replacement = self.restart()
        self.leader.report("u1", incarnation=2)
        await wait_until(lambda: replacement.leases)
        replacement.start(order)
        self.assertNotIn((order.task_key, order.run, ""), replacement.started)

    async def test_new_leader_counts_a_run_of_a_former_incarnation_as_lost(self):
        """Guards against taking it for a run of the new incarnation."""
        self.leader.report("u1")
        await self.submit(FIRST, step())
        await wait_until(lambda: self.former.started)
        replacement = self.restart()
        self.leader.commit_s = 0.1
        self.leader.report("u1", incarnation=2)
        await asyncio.sleep(0.05)
        await self.change_leader()
        self.leader.report("u1", incarnation=2, sequence=2)
        await wait_until(lambda: replacement.started, 2.0)
        self.assertEqual([TaskEnd.LOST], self.ends())

    async def test_stop_goes_on_when_the_incarnation_of_its_run_reports(self):
        """Guards against a cancelled run that nobody stops any more.

        The new leader knows the incarnation before, and learns of the later
        one after the stop has begun.
        """
        self.former.incarnation = 2
        self.leader.report("u1", incarnation=2)
        await self.submit(FIRST, step())
        await wait_until(lambda: self.former.started)
        self.leader.term.close()
        store = self.leader.store
        await wait_until(lambda: not self.leader.commits)
        store.execute(ForgetUpstreams(("u1",)))
        self.upstreams.silent.add("u1")
        self.leader = InMemoryLeader(self.upstreams, store, fence=2)
        term = self.leader.term
        term.fleet.restore(report("u1"), 2_000, term.now(), float("inf"))
        term.start()
        await self.leader.term.commit(CancelJob(FIRST, 1))
        self.upstreams.silent.clear()
        self.leader.report("u1", incarnation=2, sequence=2)
        await wait_until(lambda: not self.former.running, 5.0)


class OrderFenceTests(unittest.TestCase):
    def test_fence_rises_with_the_term_and_with_the_incarnation(self):
        """Guards against orders for a former incarnation that are obeyed."""
        born_ms = 1_800_000_000_000
        fences = [
            order_fence(1, born_ms),
            order_fence(1, born_ms + 1),
            order_fence(2, 0),
            order_fence(2, 1 << 60),
            order_fence(3, born_ms),
        ]
        self.assertEqual(sorted(set(fences)), fences)
        self.assertLess(order_fence(1 << 20, born_ms), 1 << 63)


if __name__ == "__main__":
    unittest.main()
