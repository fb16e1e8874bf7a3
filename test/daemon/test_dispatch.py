"""Tests of the dispatch core, its host and the links to upstreams."""

import asyncio
import unittest
from types import SimpleNamespace

from persimmonyard.daemon.entry.attempt_core import AttemptCore
from persimmonyard.daemon.entry.attempt_events import (
    AnswerFetched,
    Begin,
    CallAnswered,
    CallFailed,
    CallUpstream,
    CommandAnswered,
    Drop,
    MembersRenewed,
    Phase,
    SendCommand,
    StopOrdered,
    TaskAnswer,
    TaskStatus,
    TimerFired,
)
from persimmonyard.daemon.entry.dispatch import Dispatcher
from persimmonyard.daemon.timing import START_PERMIT_S, TASK_LEASE_S
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult, EndAttempt, StartAttempt
from persimmonyard.state.records import AttemptOutcome
from persimmonyard.wire import DispatchAction, DispatchMember, DispatchOrder


def order(gang=1, action=DispatchAction.RUN, fence=1, checkpoint=False):
    """Return an order for an attempt with members on different upstreams."""
    members = []
    for index in range(gang):
        members.append(DispatchMember(f"up-{index}", "a", "z1", f"127.0.0.1:{index}"))
    return DispatchOrder(
        "r", 1, fence, action, tuple(members), 1, 1, 1, 1.0, False, b"scan",
        checkpoint_wanted=checkpoint,
    )  # fmt: skip


def status(member, state, **fields):
    """Return the status of one member's task."""
    began = state not in ("prepared", "unknown")
    return TaskStatus("r.1", member, state, **{"began": began} | fields)


class AttemptCoreTests(unittest.TestCase):
    def answer(self, core, call, member, state, now=0.0, **fields):
        """Answer a call with a state and return the actions."""
        event = CallAnswered(call, member, now, status(member, state, **fields))
        return core.step(event, now)

    def asking(self, gang=1):
        """Return a core that has asked whether it may start."""
        core = AttemptCore(order(gang))
        core.step(Begin(), 0.0)
        for member in range(gang):
            self.answer(core, "prepare", member, "prepared")
        self.assertEqual(core.phase, Phase.ASKING)
        return core

    def running(self, gang=1):
        """Return a core whose members all run since time 0."""
        core = self.asking(gang)
        core.step(CommandAnswered(StartAttempt("r", 1, 1), CommandResult()), 0.0)
        for member in range(gang):
            self.answer(core, "start", member, "running")
        self.assertEqual(core.phase, Phase.RUNNING)
        return core

    def report_of(self, actions):
        """Return the only report of an end among actions."""
        [ask] = [one for one in actions if isinstance(one, SendCommand)]
        self.assertIsInstance(ask.command, EndAttempt)
        return ask.command

    def test_unknown_outcomes_are_settled_by_asking_again(self):
        """Neither a start nor a refusal is assumed from a lost answer."""
        core = self.asking()
        command = StartAttempt("r", 1, 1)
        for code in (None, ResultCode.TIMEOUT, ResultCode.NOT_LEADER):
            result = code and CommandResult(int(code))
            [again] = core.step(CommandAnswered(command, result), 0.1)
            self.assertEqual(again.command, command)

    def test_start_after_the_permit_is_not_sent(self):
        """The permit counts from before the first prepare was sent."""
        core = self.asking()
        event = CommandAnswered(StartAttempt("r", 1, 1), CommandResult())
        actions = core.step(event, START_PERMIT_S)
        calls = {one.call for one in actions if isinstance(one, CallUpstream)}
        self.assertEqual(calls, {"stop"})
        self.assertEqual(self.report_of(actions).outcome, AttemptOutcome.NEVER_BEGAN)

    def test_starts_carry_the_end_of_the_permit(self):
        """The host must be able to check the permit right before it sends."""
        core = self.asking(2)
        event = CommandAnswered(StartAttempt("r", 1, 1), CommandResult())
        starts = core.step(event, 1.0)
        limits = [(one.call, one.not_after) for one in starts]
        self.assertEqual(limits, [("start", START_PERMIT_S)] * 2)

    def test_lost_member_stops_the_renewal_of_all(self):
        """A gang is not renewed while one member was silent for a lease."""
        core = self.running(2)
        statuses = (status(0, "running"),)
        core.step(MembersRenewed(TASK_LEASE_S - 1, statuses), TASK_LEASE_S - 1)
        self.assertEqual(len(core.renewals(TASK_LEASE_S - 1)), 2)
        self.assertEqual(core.renewals(TASK_LEASE_S), ())
        stops = core.step(TimerFired(), core.next_wakeup())
        self.assertEqual([one.call for one in stops], ["stop", "stop"])

    def test_failed_member_stops_the_others(self):
        """The report names the member at fault."""
        core = self.running(2)
        failed = status(1, "failed", message="x")
        core.step(MembersRenewed(1.0, (failed,)), 1.0)
        self.answer(core, "stop", 1, "failed")
        report = self.report_of(self.answer(core, "stop", 0, "stopped"))
        self.assertEqual(report.outcome, AttemptOutcome.FAILED)
        self.assertEqual((report.failed_members, report.message), ((1,), "x"))

    def test_member_that_does_not_run_stops_the_others(self):
        """A gang does not wait for a lease to notice a missing member."""
        for state in ("prepared", "stopped", "unknown"):
            core = self.running(2)
            actions = core.step(MembersRenewed(1.0, (status(0, state),)), 1.0)
            self.assertEqual([one.call for one in actions], ["stop", "stop"])

    def test_stop_of_finished_tasks_fetches_their_answers(self):
        """An answer that came before a cancellation is not thrown away."""
        core = self.running()
        core.step(StopOrdered(order(action=DispatchAction.STOP)), 1.0)
        [fetch] = self.answer(core, "stop", 0, "finished")
        self.assertEqual(fetch.call, "result")
        report = self.report_of(core.step(AnswerFetched(0, TaskAnswer(b"a", "d")), 2))
        self.assertEqual(report.outcome, AttemptOutcome.FINISHED)

    def test_checkpoint_is_reported_if_every_member_has_one(self):
        """A gang with one missing checkpoint cannot resume."""
        for second, outcome in (
            ("c1", AttemptOutcome.CHECKPOINTED),
            ("", AttemptOutcome.STOPPED),
        ):
            core = self.running(2)
            stop = order(2, DispatchAction.STOP, checkpoint=True)
            calls = [one.call for one in core.step(StopOrdered(stop), 1.0)]
            self.assertEqual(calls, ["checkpoint", "checkpoint"])
            self.answer(core, "checkpoint", 0, "stopped", checkpoint="c0")
            report = self.report_of(
                self.answer(core, "checkpoint", 1, "stopped", checkpoint=second)
            )
            self.assertEqual(report.outcome, outcome)

    def test_unreachable_member_is_lost_after_its_lease(self):
        """A stop is repeated until the task's lease has run out."""
        core = self.running()
        core.step(StopOrdered(order(action=DispatchAction.STOP)), 1.0)
        [again] = core.step(CallFailed("stop", 0), TASK_LEASE_S - 1)
        self.assertEqual(again.call, "stop")
        report = self.report_of(core.step(CallFailed("stop", 0), TASK_LEASE_S))
        self.assertEqual(report.outcome, AttemptOutcome.LOST)

    def test_newer_fence_drops_the_attempt(self):
        """An entry that was replaced reports and stops nothing."""
        stale = int(ResultCode.STALE_FENCE)
        for event in (
            CallFailed("stop", 0, stale),
            MembersRenewed(1.0, (status(0, "running", code=stale),)),
        ):
            self.assertEqual(self.running().step(event, 1.0), [Drop()])

    def test_too_large_answer_is_a_final_failure(self):
        """Code 303 is not retried on other upstreams."""
        core = self.running()
        core.step(MembersRenewed(1.0, (status(0, "finished"),)), 1.0)
        answer = TaskAnswer(b"x" * 65_537, "d")
        report = self.report_of(core.step(AnswerFetched(0, answer), 1.0))
        self.assertEqual(report.code, ResultCode.ANSWER_TOO_LARGE)


class FakeCalls:
    """Upstreams that prepare and start everything, and then run it."""

    def __init__(self):
        self.sent = []
        self.renewals = []
        self.interrupted = 0

    async def call_task(self, call, order, member):
        self.sent.append((call, order.fence))
        state = {"prepare": "prepared", "start": "running"}.get(call, "stopped")
        return status(member, state)

    async def renew(self, target, tasks, wait_s):
        self.renewals.append([task["attempt"] for task in tasks])
        try:
            await asyncio.sleep(wait_s)
        except asyncio.CancelledError:
            self.interrupted += 1
            raise
        statuses = []
        for task in tasks:
            statuses.append(TaskStatus(task["attempt"], task["member"], "running"))
        return statuses


class DispatcherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.calls = FakeCalls()
        self.state = SimpleNamespace(lease_valid=lambda: True)
        self.errors = []
        self.dispatcher = Dispatcher(self.state, self, self.calls)
        self.addAsyncCleanup(self.dispatcher.close)

    async def execute(self, command, wait_s=0.0):
        """Act as the leader: fail as told, then apply the command."""
        if self.errors:
            raise self.errors.pop()
        return CommandResult()

    async def until(self, condition):
        """Wait until a condition is true."""
        for _ in range(2_000):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not become true in time")

    async def test_lapsed_session_sends_no_start(self):
        """The lease is checked right before the start is sent."""
        self.state.lease_valid = lambda: False
        self.dispatcher.handle_order(order())
        await self.until(lambda: self.dispatcher.count() == 0)
        self.assertNotIn(("start", 1), self.calls.sent)

    async def test_attempt_survives_errors(self):
        """Neither the leader's silence nor a defect drops an attempt."""
        timeout = PersimmonyardError(ResultCode.TIMEOUT, "no answer")
        self.errors = [timeout, RuntimeError("unexpected")]
        self.dispatcher.handle_order(order())
        await self.until(lambda: self.calls.renewals)
        self.assertEqual(self.dispatcher.count(), 1)

    async def test_one_call_renews_all_attempts_on_an_upstream(self):
        """The next attempt interrupts the long poll and joins it."""
        first = order()
        self.dispatcher.handle_order(first)
        await self.until(lambda: len(self.calls.renewals) > 1)
        second = DispatchOrder(
            "s", 1, 2, DispatchAction.ADOPT, first.members, 1, 1, 1, 1.0, False, b""
        )
        self.dispatcher.handle_order(second)
        await self.until(lambda: self.calls.renewals[-1] == ["r.1", "s.1"])
        self.assertEqual(self.calls.interrupted, 1)

    async def test_newer_fence_replaces_the_run(self):
        """An older order changes nothing, a newer one takes over."""
        for fence in (1, 3, 2):
            self.dispatcher.handle_order(order(action=DispatchAction.STOP, fence=fence))
        await self.until(lambda: self.dispatcher.count() == 0)
        self.assertEqual({fence for _, fence in self.calls.sent}, {3})
