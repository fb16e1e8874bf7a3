"""Tests of the attempt core, the dispatcher and the renewal of leases."""

import asyncio
import unittest
from types import SimpleNamespace

import msgspec

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
    MembersSilent,
    Phase,
    SendCommand,
    StopOrdered,
    TaskAnswer,
    TaskStatus,
    TimerFired,
)
from persimmonyard.daemon.entry.dispatch import Dispatcher
from persimmonyard.daemon.entry.task_client import (
    NoConnectionError,
    UpstreamUnreachableError,
)
from persimmonyard.daemon.timing import START_PERMIT_S, TASK_LEASE_S
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult, EndAttempt, StartAttempt
from persimmonyard.state.records import AttemptOutcome, MemberSilence
from persimmonyard.wire import DispatchAction, DispatchMember, DispatchOrder


def make_order(gang=1, action=DispatchAction.RUN, fence=1, checkpoint=False):
    """Return an order for attempt 1 with each member on its own upstream."""
    members = []
    for index in range(gang):
        members.append(DispatchMember(f"up-{index}", "a", "z1", f"127.0.0.1:{index}"))
    return DispatchOrder(
        "r", 1, fence, action, tuple(members), 1, 1, 1, 1.0, False, b"scan",
        checkpoint_wanted=checkpoint,
    )  # fmt: skip


def with_lost_member(order):
    """Return an order to stop an attempt because member 0 is lost."""
    lost = msgspec.structs.replace(order.members[0], lost=True)
    members = (lost, *order.members[1:])
    return msgspec.structs.replace(order, action=DispatchAction.STOP, members=members)


def make_status(member, state, **fields):
    """Return the status of the task of one member of attempt r.1."""
    began = state not in ("prepared", "unknown")
    return TaskStatus("r.1", member, state, **{"began": began} | fields)


class AttemptCoreTests(unittest.TestCase):
    def answer_call(self, core, call, member, state, now=0.0, **fields):
        """Answer a call with a task state; return the resulting actions."""
        event = CallAnswered(call, member, now, make_status(member, state, **fields))
        return core.step(event, now)

    def asking_core(self, gang=1):
        """Return a core that waits for the result of its start command."""
        core = AttemptCore(make_order(gang))
        core.step(Begin(), 0.0)
        for member in range(gang):
            self.answer_call(core, "prepare", member, "prepared")
        self.assertEqual(core.phase, Phase.ASKING)
        return core

    def running_core(self, gang=1):
        """Return a core whose members were all started at time 0."""
        core = self.asking_core(gang)
        core.step(CommandAnswered(StartAttempt("r", 1, 1), CommandResult()), 0.0)
        for member in range(gang):
            self.answer_call(core, "start", member, "running")
        self.assertEqual(core.phase, Phase.RUNNING)
        return core

    def end_report(self, actions):
        """Return the only ``EndAttempt`` command among actions."""
        [send_command] = [
            action for action in actions if isinstance(action, SendCommand)
        ]
        self.assertIsInstance(send_command.command, EndAttempt)
        return send_command.command

    def test_start_command_is_sent_again_after_an_unknown_outcome(self):
        """Guards against guessing the result of a start command.

        After a timeout or a change of the leader the command may have been
        committed or not, so the same command is sent again.
        """
        core = self.asking_core()
        command = StartAttempt("r", 1, 1)
        for code in (None, ResultCode.TIMEOUT, ResultCode.NOT_LEADER):
            result = code and CommandResult(int(code))
            [resent] = core.step(CommandAnswered(command, result), 0.1)
            self.assertEqual(resent.command, command)

    def test_start_after_the_permit_is_not_sent(self):
        """Guards against a start that is sent after its permit has expired.

        The permit counts from before the first prepare is sent.  If the
        result of the start command arrives too late, the members are stopped
        and the attempt is reported as never begun.
        """
        core = self.asking_core()
        event = CommandAnswered(StartAttempt("r", 1, 1), CommandResult())
        actions = core.step(event, START_PERMIT_S)
        calls = {action.call for action in actions if isinstance(action, CallUpstream)}
        self.assertEqual(calls, {"stop"})
        self.assertEqual(self.end_report(actions).outcome, AttemptOutcome.NEVER_BEGAN)

    def test_starts_carry_the_end_of_the_permit(self):
        """Guards against a start that is sent late by a slow driver.

        The start calls carry the end of the permit, so that the driver can
        check it directly before sending.
        """
        core = self.asking_core(2)
        event = CommandAnswered(StartAttempt("r", 1, 1), CommandResult())
        starts = core.step(event, 1.0)
        calls_and_limits = [(action.call, action.not_after) for action in starts]
        self.assertEqual(calls_and_limits, [("start", START_PERMIT_S)] * 2)

    def test_silent_member_stops_the_renewal_of_all_members(self):
        """Guards against a gang that continues without one of its members.

        When one member was not renewed for the duration of the lease, no
        member is renewed any more and all are stopped.
        """
        core = self.running_core(2)
        statuses = (make_status(0, "running"),)
        core.step(MembersRenewed(TASK_LEASE_S - 1, statuses), TASK_LEASE_S - 1)
        self.assertEqual(len(core.renewals(TASK_LEASE_S - 1)), 2)
        self.assertEqual(core.renewals(TASK_LEASE_S), ())
        stops = core.step(TimerFired(), core.next_wakeup())
        self.assertEqual([action.call for action in stops], ["stop", "stop"])

    def lost_report(self, core, now):
        """Let the leader mark member 0 as lost; return the end report."""
        order = with_lost_member(core.order)
        return self.end_report(core.step(StopOrdered(order), now))

    def test_report_tells_how_soon_after_its_start_a_member_fell_silent(self):
        """The leader judges a crash by the time since the start.

        The registration of the successor comes a second or more later.  An
        answer voids an earlier silence.
        """
        core = self.running_core()
        core.step(MembersSilent((0,)), 0.3)
        core.step(MembersRenewed(0.4, (make_status(0, "running"),)), 0.5)
        core.step(MembersSilent((0,)), 0.62)
        core.step(MembersSilent((0,)), 0.93)
        report = self.lost_report(core, 1.5)
        self.assertEqual(report.outcome, AttemptOutcome.LOST)
        self.assertEqual((MemberSilence(0, 620),), report.silences)

    def test_silence_of_an_unanswered_start_counts_from_the_prepare(self):
        """A start without an answer may have been executed at any time."""
        core = self.asking_core()
        core.step(CommandAnswered(StartAttempt("r", 1, 1), CommandResult()), 0.1)
        core.step(CallFailed("start", 0), 0.15)
        report = self.lost_report(core, 1.5)
        self.assertEqual((MemberSilence(0, 150),), report.silences)

    def test_start_that_was_not_delivered_is_reported(self):
        """A crash before the start must not be blamed on the task."""
        for failed in (
            CallFailed("start", 0, connected=False),
            CallFailed("start", 0, code=int(ResultCode.UNKNOWN_ATTEMPT)),
            CallFailed("start", 0, sent=False),
        ):
            core = self.asking_core()
            core.step(CommandAnswered(StartAttempt("r", 1, 1), CommandResult()), 0.1)
            actions = core.step(failed, 0.15)
            if core.phase == Phase.RUNNING:
                report = self.lost_report(core, 1.5)
            else:
                self.assertEqual([CallUpstream("stop", 0)], actions)
                stop_failed = CallFailed("stop", 0, int(ResultCode.UNKNOWN_ATTEMPT))
                report = self.end_report(core.step(stop_failed, 0.2))
            self.assertEqual((MemberSilence(0, 0, delivered=False),), report.silences)

    def test_adopted_attempt_reports_no_silence(self):
        """An entry that did not start a member does not know its start.

        A time from the adoption on would look like a crash after the start.
        """
        core = AttemptCore(make_order(1, DispatchAction.ADOPT))
        core.step(Begin(), 0.0)
        core.step(MembersSilent((0,)), 0.02)
        self.assertEqual((), self.lost_report(core, 1.0).silences)
        core = AttemptCore(make_order(1))
        core.step(Begin(), 0.0)
        self.answer_call(core, "prepare", 0, "running")
        core.step(MembersSilent((0,)), 0.02)
        self.assertEqual((), self.lost_report(core, 1.0).silences)

    def test_late_answers_of_a_lost_member_change_nothing(self):
        """Guards against an answer that counts for the next incarnation.

        The announcement of that one arrives while calls to the earlier one
        are under way.  The lost member is called no more, whatever they say.
        """
        core = self.running_core(2)
        actions = core.step(StopOrdered(with_lost_member(core.order)), 1.0)
        self.assertEqual([CallUpstream("stop", 1)], actions)
        running = make_status(0, "running")
        for event in (
            MembersRenewed(0.9, (running, make_status(1, "running"))),
            MembersSilent((0,)),
            CallAnswered("start", 0, 0.9, running),
            CallFailed("start", 0),
            AnswerFetched(0, TaskAnswer(b"a", "d")),
        ):
            self.assertEqual([], core.step(event, 1.1))
        report = self.end_report(self.answer_call(core, "stop", 1, "finished"))
        self.assertEqual(AttemptOutcome.LOST, report.outcome)
        self.assertEqual((0,), report.failed_members)
        for call in ("start", "stop"):
            self.assertEqual([], self.answer_call(core, call, 0, "finished"))

    def test_refusal_of_the_next_incarnation_is_no_sign_of_life(self):
        """Guards against a crash that seems to follow later than it did."""
        core = self.running_core()
        core.step(MembersSilent((0,)), 0.3)
        refused = int(ResultCode.UNKNOWN_ATTEMPT)
        status = TaskStatus("r.1", 0, code=refused)
        report = self.end_report(core.step(MembersRenewed(0.5, (status,)), 0.6))
        self.assertEqual(AttemptOutcome.LOST, report.outcome)
        self.assertEqual((MemberSilence(0, 300),), report.silences)

    def test_failed_member_stops_the_others(self):
        """Guards against a gang that goes on after a member has failed.

        The report has the failed member and its message.
        """
        core = self.running_core(2)
        failed = make_status(1, "failed", message="x")
        core.step(MembersRenewed(1.0, (failed,)), 1.0)
        self.answer_call(core, "stop", 1, "failed")
        report = self.end_report(self.answer_call(core, "stop", 0, "stopped"))
        self.assertEqual(report.outcome, AttemptOutcome.FAILED)
        self.assertEqual((report.failed_members, report.message), ((1,), "x"))

    def test_member_that_is_not_running_stops_the_others(self):
        """Guards against waiting for a lease to expire without need.

        A renewal that shows that a member is not running stops the others at
        once.
        """
        for state in ("prepared", "stopped", "unknown"):
            core = self.running_core(2)
            actions = core.step(MembersRenewed(1.0, (make_status(0, state),)), 1.0)
            self.assertEqual([action.call for action in actions], ["stop", "stop"])

    def test_stop_of_finished_tasks_fetches_their_answers(self):
        """Guards against discarding an answer because of a cancellation.

        The reply to the stop shows that the task had finished before, so its
        answer is fetched and reported.
        """
        core = self.running_core()
        core.step(StopOrdered(make_order(action=DispatchAction.STOP)), 1.0)
        [fetch] = self.answer_call(core, "stop", 0, "finished")
        self.assertEqual(fetch.call, "result")
        report = self.end_report(core.step(AnswerFetched(0, TaskAnswer(b"a", "d")), 2))
        self.assertEqual(report.outcome, AttemptOutcome.FINISHED)

    def test_checkpoint_is_reported_if_every_member_has_one(self):
        """Guards against resuming a gang without one of its checkpoints.

        The attempt counts as checkpointed only if every member returned a
        checkpoint, otherwise as stopped.
        """
        for second, outcome in (
            ("c1", AttemptOutcome.CHECKPOINTED),
            ("", AttemptOutcome.STOPPED),
        ):
            core = self.running_core(2)
            stop = make_order(2, DispatchAction.STOP, checkpoint=True)
            calls = [action.call for action in core.step(StopOrdered(stop), 1.0)]
            self.assertEqual(calls, ["checkpoint", "checkpoint"])
            self.answer_call(core, "checkpoint", 0, "stopped", checkpoint="c0")
            report = self.end_report(
                self.answer_call(core, "checkpoint", 1, "stopped", checkpoint=second)
            )
            self.assertEqual(report.outcome, outcome)

    def test_unreachable_member_is_lost_after_its_lease(self):
        """Guards against reporting a task as lost while it may still run.

        A failed stop is repeated until the lease of the task has expired.
        """
        core = self.running_core()
        core.step(StopOrdered(make_order(action=DispatchAction.STOP)), 1.0)
        [resent] = core.step(CallFailed("stop", 0), TASK_LEASE_S - 1)
        self.assertEqual(resent.call, "stop")
        report = self.end_report(core.step(CallFailed("stop", 0), TASK_LEASE_S))
        self.assertEqual(report.outcome, AttemptOutcome.LOST)

    def test_newer_fence_drops_the_attempt(self):
        """Guards against an entry that acts after it was replaced.

        When an upstream refuses a call or a renewal for a stale fence, the
        attempt is discarded without stops and without a report.
        """
        stale = int(ResultCode.STALE_FENCE)
        for event in (
            CallFailed("stop", 0, stale),
            MembersRenewed(1.0, (make_status(0, "running", code=stale),)),
        ):
            self.assertEqual(self.running_core().step(event, 1.0), [Drop()])

    def test_too_large_answer_is_a_final_failure(self):
        """Guards against retrying work whose answer is always too large.

        The report has code 303, which is not retried on other upstreams.
        """
        core = self.running_core()
        core.step(MembersRenewed(1.0, (make_status(0, "finished"),)), 1.0)
        answer = TaskAnswer(b"x" * 65_537, "d")
        report = self.end_report(core.step(AnswerFetched(0, answer), 1.0))
        self.assertEqual(report.code, ResultCode.ANSWER_TOO_LARGE)


class FakeTaskClient:
    """A task client whose upstreams accept every call and keep tasks running.

    It records the sent calls with their fences, the attempts of each renewal
    and the number of cancelled renewals.  ``error_by_call`` has errors to
    raise instead of an answer.
    """

    def __init__(self):
        self.sent_calls = []
        self.renewals = []
        self.targets = []
        self.error_by_incarnation = {}
        self.interrupted_renewals = 0
        self.error_by_call = {}

    async def call_task(self, call, order, member):
        self.sent_calls.append((call, order.fence))
        if call in self.error_by_call:
            raise self.error_by_call[call]
        state = {"prepare": "prepared", "start": "running"}.get(call, "stopped")
        return make_status(member, state)

    async def renew(self, target, tasks, wait_s):
        self.renewals.append([task["attempt"] for task in tasks])
        self.targets.append(target)
        if target.incarnation in self.error_by_incarnation:
            raise self.error_by_incarnation[target.incarnation]
        if "renew" in self.error_by_call:
            raise self.error_by_call["renew"]
        try:
            await asyncio.sleep(wait_s)
        except asyncio.CancelledError:
            self.interrupted_renewals += 1
            raise
        statuses = []
        for task in tasks:
            statuses.append(TaskStatus(task["attempt"], task["member"], "running"))
        return statuses


class DispatcherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.task_client = FakeTaskClient()
        self.state = SimpleNamespace(lease_valid=lambda: True)
        self.leader_errors = []
        self.commands = []
        self.dispatcher = Dispatcher(self.state, self, self.task_client)
        self.addAsyncCleanup(self.dispatcher.close)

    async def execute(self, command, wait_s=0.0):
        """Act as the leader: raise the prepared errors first, then succeed."""
        self.commands.append(command)
        if self.leader_errors:
            raise self.leader_errors.pop()
        return CommandResult()

    async def wait_until(self, condition):
        """Wait until a condition is true."""
        for _ in range(2_000):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not become true in time")

    async def test_no_start_is_sent_after_the_session_lease_expired(self):
        """Guards against a start by an entry that may have been replaced.

        The session lease is checked directly before a start is sent.
        """
        self.state.lease_valid = lambda: False
        self.dispatcher.handle_order(make_order())
        await self.wait_until(lambda: self.dispatcher.count() == 0)
        self.assertNotIn(("start", 1), self.task_client.sent_calls)

    async def test_attempt_continues_after_errors(self):
        """Guards against an attempt that is no longer dispatched.

        Neither a leader that does not answer nor an unexpected exception
        drops the attempt.
        """
        timeout = PersimmonyardError(ResultCode.TIMEOUT, "no answer")
        self.leader_errors = [timeout, RuntimeError("unexpected")]
        self.dispatcher.handle_order(make_order())
        await self.wait_until(lambda: self.task_client.renewals)
        self.assertEqual(self.dispatcher.count(), 1)

    async def test_one_call_renews_all_attempts_on_an_upstream(self):
        """Guards against renewals in separate calls for each attempt.

        A second attempt on the upstream interrupts the long poll of the first
        and is renewed in the same call.
        """
        first = make_order()
        self.dispatcher.handle_order(first)
        await self.wait_until(lambda: len(self.task_client.renewals) > 1)
        second = DispatchOrder(
            "s", 1, 2, DispatchAction.ADOPT, first.members, 1, 1, 1, 1.0, False, b""
        )
        self.dispatcher.handle_order(second)
        await self.wait_until(lambda: self.task_client.renewals[-1] == ["r.1", "s.1"])
        self.assertEqual(self.task_client.interrupted_renewals, 1)

    async def test_refused_renewal_ends_no_attempt_on_the_next_incarnation(self):
        """Guards against a failure that counts for the next incarnation.

        Both are at the same address, and attempts on both are renewed at the
        same time.
        """
        earlier = make_order(action=DispatchAction.ADOPT)
        member = msgspec.structs.replace(earlier.members[0], incarnation="b")
        later = msgspec.structs.replace(earlier, request_id="s", members=(member,))
        self.dispatcher.handle_order(earlier)
        self.dispatcher.handle_order(later)
        await self.wait_until(lambda: len(self.task_client.targets) > 1)
        for attempts, target in zip(
            self.task_client.renewals, self.task_client.targets, strict=True
        ):
            expected = {"a": ["r.1"], "b": ["s.1"]}[target.incarnation]
            self.assertEqual(expected, attempts)
        refusal = PersimmonyardError(ResultCode.UNKNOWN_ATTEMPT, "another incarnation")
        self.task_client.error_by_incarnation["a"] = refusal
        await self.wait_until(lambda: self.commands)
        [report] = self.commands
        self.assertEqual("r", report.request_id)
        self.assertEqual(AttemptOutcome.LOST, report.outcome)
        renewals = len(self.task_client.renewals)
        await self.wait_until(lambda: len(self.task_client.renewals) > renewals)
        self.assertEqual(["s.1"], self.task_client.renewals[-1])
        self.assertEqual(1, len(self.commands))

    async def run_until_lost(self):
        """Run an attempt whose upstream does not answer; return the report."""
        self.dispatcher.handle_order(make_order())
        await self.wait_until(lambda: self.task_client.renewals)
        await asyncio.sleep(0)
        self.dispatcher.handle_order(with_lost_member(make_order()))
        await self.wait_until(lambda: isinstance(self.commands[-1], EndAttempt))
        return self.commands[-1]

    async def test_failed_renewal_is_reported_as_silence(self):
        """The end of an attempt must tell when its upstream fell silent."""
        self.task_client.error_by_call["renew"] = UpstreamUnreachableError("reset")
        report = await self.run_until_lost()
        [silence] = report.silences
        self.assertTrue(silence.delivered)
        self.assertGreaterEqual(silence.after_ms, 1)

    async def test_refused_connection_is_reported_as_no_start(self):
        """A start that found no listener must not count as delivered."""
        error = NoConnectionError("refused")
        self.task_client.error_by_call = {"start": error, "renew": error}
        report = await self.run_until_lost()
        self.assertEqual((MemberSilence(0, 0, delivered=False),), report.silences)

    async def test_newer_fence_replaces_the_driver(self):
        """Guards against orders that arrive out of order.

        An order with an older fence is ignored, one with a newer fence
        replaces the driver of the attempt.
        """
        for fence in (1, 3, 2):
            self.dispatcher.handle_order(
                make_order(action=DispatchAction.STOP, fence=fence)
            )
        await self.wait_until(lambda: self.dispatcher.count() == 0)
        self.assertEqual({fence for _, fence in self.task_client.sent_calls}, {3})
