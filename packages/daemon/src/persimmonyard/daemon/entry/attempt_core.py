"""The life of one attempt in an entry, as a deterministic state machine."""

import json
from enum import Enum
from typing import Any

from persimmonyard.daemon.entry.attempt_events import (
    Action,
    AnswerFetched,
    AskLeader,
    Begin,
    CallAnswered,
    CallFailed,
    CallUpstream,
    Drop,
    Event,
    LeaderAnswered,
    MembersRenewed,
    Renewal,
    StopOrdered,
    TaskAnswer,
    TaskStatus,
    Woken,
)
from persimmonyard.daemon.entry.attempt_stop import StopCause, StopRound
from persimmonyard.daemon.timing import START_PERMIT_S, TASK_LEASE_S
from persimmonyard.model import ResultCode
from persimmonyard.state.commands import EndAttempt, StartAttempt
from persimmonyard.state.records import AttemptOutcome, MemberAnswer
from persimmonyard.wire import DispatchAction, DispatchOrder

__all__ = ["AttemptCore", "Phase"]

MAX_ANSWER_BYTES = 65_536
FAILED_CALL_PAUSE_S = 0.3
LEADER_PAUSE_S = 0.2
MAX_LEADER_PAUSE_S = 2.0
# An upstream keeps an answer for ten minutes.  A caller should not wait that
# long for one that its upstream cannot deliver.
FETCH_LIMIT_S = 60.0
ACKNOWLEDGE_TRIES = 3

_UNKNOWN_OUTCOMES = (
    ResultCode.NO_LEADER,
    ResultCode.NOT_LEADER,
    ResultCode.TIMEOUT,
    ResultCode.STOPPING,
    ResultCode.OVERLOADED,
)


class Phase(Enum):
    """What the attempt waits for."""

    PREPARING = "preparing"
    ASKING = "asking"
    SENDING = "sending"
    RUNNING = "running"
    STOPPING = "stopping"
    FETCHING = "fetching"
    REPORTING = "reporting"
    RELEASING = "releasing"
    DROPPED = "dropped"


class AttemptCore:
    """Prepare, start, renew, fetch and stop the members of one attempt.

    ``step`` takes an event and the time in seconds of one monotonic clock,
    and returns the actions that the host carries out.  The core itself does
    no I/O.

    Example: ``AttemptCore(order).step(Begin(), now)`` returns one prepare
    for each member.
    """

    def __init__(self, order: DispatchOrder):
        self.order = order
        self.phase = Phase.PREPARING
        self._members = range(len(order.members))
        self._awaited: set[int] = set()
        self._permit_until = 0.0
        self._heard_at: dict[int, float] = {}
        self._finished: set[int] = set()
        self._stop: StopRound | None = None
        self._answer_by_member: dict[int, TaskAnswer] = {}
        self._unfetchable: set[int] = set()
        self._fetch_until = 0.0
        self._report: EndAttempt | None = None
        self._leader_pause_s = LEADER_PAUSE_S
        self._acknowledge_tries: dict[int, int] = {}

    # Interface.

    def step(self, event: Event, now: float) -> list[Action]:
        """Take note of an event and return what must be done."""
        if self.phase == Phase.DROPPED:
            return []
        if _is_stale(event):
            return self._drop()
        match event:
            case Begin():
                return self._begin(now)
            case StopOrdered(order):
                return self._stop_ordered(order, now)
            case LeaderAnswered():
                return self._leader_answered(event, now)
            case MembersRenewed(sent_at, statuses):
                return self._renewed(sent_at, statuses, now)
            case Woken():
                return self._check_silence(now)
            case AnswerFetched(member, answer):
                return self._fetched(member, answer)
            case CallAnswered():
                return self._call_answered(event, now)
            case CallFailed():
                return self._call_failed(event, now)

    def renewals(self, now: float) -> tuple[Renewal, ...]:
        """Return the members whose lease must be renewed.

        While one member's last renewal is older than the task lease, no
        member is renewed, so that a gang never goes on without one.
        """
        if self.phase != Phase.RUNNING or self._silent(now):
            return ()
        renewals = []
        for member in self._members:
            state = "finished" if member in self._finished else "running"
            renewals.append(Renewal(member, state))
        return tuple(renewals)

    def next_wakeup(self) -> float | None:
        """Return when ``Woken`` must be sent, if at all."""
        if self.phase != Phase.RUNNING:
            return None
        return min(self._heard_at[member] for member in self._running()) + TASK_LEASE_S

    # From placed to started.

    def _begin(self, now: float) -> list[Action]:
        match self.order.action:
            case DispatchAction.RUN:
                self._permit_until = now + START_PERMIT_S
                return self._call_all("prepare")
            case DispatchAction.ADOPT:
                return self._run(now)
            case DispatchAction.STOP:
                return self._stop_all(StopCause(AttemptOutcome.STOPPED), now)

    def _prepared(self, event: CallAnswered, now: float) -> list[Action]:
        if event.status.began:
            # The order was repeated after the attempt had been started.
            return self._run(now)
        if event.status.state != "prepared":
            return self._give_up((event.member,), f"state {event.status.state}")
        self._awaited.discard(event.member)
        if self._awaited:
            return []
        self.phase = Phase.ASKING
        return [AskLeader(self._start_command())]

    def _start_command(self) -> StartAttempt:
        order = self.order
        return StartAttempt(order.request_id, order.number, order.fence)

    def _start_settled(self, code: int, now: float) -> list[Action]:
        if code != 0:
            return self._give_up((), f"start refused with code {code}")
        if now >= self._permit_until:
            return self._give_up((), "the start permit expired")
        self.phase = Phase.SENDING
        self._heard_at = dict.fromkeys(self._members, now)
        return self._call_all("start", self._permit_until)

    def _give_up(self, unready: tuple[int, ...], message: str) -> list[Action]:
        """End the attempt before any start was sent.

        Only this entry could send starts under the current fence, so the
        attempt never began.  The stops free the reserved slots.
        """
        report = self._report_end(
            AttemptOutcome.NEVER_BEGAN, at_fault=unready, message=message
        )
        return [*self._call_all("stop"), *report]

    def _start_answered(self, member: int, now: float) -> list[Action]:
        self._awaited.discard(member)
        if self._awaited:
            return []
        return self._run(now)

    # While it runs.

    def _run(self, now: float) -> list[Action]:
        self.phase = Phase.RUNNING
        for member in self._members:
            self._heard_at.setdefault(member, now)
        return []

    def _running(self) -> list[int]:
        return [member for member in self._members if member not in self._finished]

    def _silent(self, now: float) -> tuple[int, ...]:
        limit = now - TASK_LEASE_S
        silent = []
        for member in self._running():
            if self._heard_at[member] <= limit:
                silent.append(member)
        return tuple(silent)

    def _check_silence(self, now: float) -> list[Action]:
        if self.phase != Phase.RUNNING:
            return []
        silent = self._silent(now)
        if not silent:
            return []
        return self._stop_all(StopCause(AttemptOutcome.LOST, silent), now)

    def _renewed(
        self, sent_at: float, statuses: tuple[TaskStatus, ...], now: float
    ) -> list[Action]:
        if self.phase != Phase.RUNNING:
            return []
        for status in statuses:
            cause = self._take_status(status, sent_at)
            if cause is not None:
                return self._stop_all(cause, now)
        if not self._running():
            return self._fetch(now)
        return self._check_silence(now)

    def _take_status(self, status: TaskStatus, sent_at: float) -> StopCause | None:
        """Note one member's status; return why the attempt must stop."""
        member = status.member
        if member not in self._members:
            return None
        if status.code:
            return StopCause(AttemptOutcome.LOST, (member,), gone=(member,))
        match status.state:
            case "running":
                self._heard_at[member] = max(self._heard_at[member], sent_at)
            case "finished":
                self._finished.add(member)
            case "failed":
                return StopCause(
                    AttemptOutcome.FAILED, (member,), message=status.message
                )
            case _:
                return StopCause(AttemptOutcome.LOST, (member,))
        return None

    # Stopping.

    def _stop_ordered(self, order: DispatchOrder, now: float) -> list[Action]:
        lost = _lost_members(order)
        self.order = order
        match self.phase:
            case Phase.PREPARING | Phase.ASKING:
                # The stop proves that the start was committed, but this entry
                # did not learn of it and sent nothing.
                return self._give_up((), "stopped before the start")
            case Phase.SENDING | Phase.RUNNING:
                if self._must_finish(order):
                    return []
                return self._stop_all(StopCause(AttemptOutcome.STOPPED), now)
            case Phase.STOPPING:
                return self._stop_settled(self._stop_round().lose(lost), now)
            case Phase.FETCHING if lost - set(self._answer_by_member):
                return self._stop_all(StopCause(AttemptOutcome.STOPPED), now)
        return []

    def _must_finish(self, order: DispatchOrder) -> bool:
        """Return whether a checkpoint would end work that cannot run again.

        A member that has finished has no checkpoint to go on from.
        """
        if not order.checkpoint_wanted or order.idempotent:
            return False
        return bool(self._finished)

    def _stop_all(self, cause: StopCause, now: float) -> list[Action]:
        self.phase = Phase.STOPPING
        gone = set(cause.gone) | _lost_members(self.order) | self._unfetchable
        self._stop = StopRound(
            len(self.order.members), cause, self.order.checkpoint_wanted
        )
        deadline_by_member = {}
        for member in self._members:
            heard_at = self._heard_at.get(member, now)
            deadline_by_member[member] = heard_at + TASK_LEASE_S
        actions: list[Action] = []
        for member in self._stop.begin(gone, deadline_by_member):
            actions.append(CallUpstream(self._stop.call, member))
        return [*actions, *self._stop_settled(self._stop.settled(), now)]

    def _stop_round(self) -> StopRound:
        assert self._stop is not None
        return self._stop

    def _stop_settled(self, settled: bool, now: float) -> list[Action]:
        if not settled:
            return []
        end = self._stop_round().end()
        if end.outcome == AttemptOutcome.FINISHED:
            return self._fetch(now)
        return self._report_end(
            end.outcome, (), end.at_fault, self._checkpoint_text(end.checkpoints),
            end.message,
        )  # fmt: skip

    def _checkpoint_text(self, checkpoints: tuple[str, ...]) -> str:
        if len(checkpoints) <= 1:
            return "".join(checkpoints)
        return json.dumps(checkpoints)

    # Answers.

    def _fetch(self, now: float) -> list[Action]:
        self.phase = Phase.FETCHING
        self._fetch_until = now + FETCH_LIMIT_S
        actions: list[Action] = []
        for member in self._members:
            if member not in self._answer_by_member:
                actions.append(CallUpstream("result", member))
        return actions

    def _fetched(self, member: int, answer: TaskAnswer) -> list[Action]:
        if self.phase != Phase.FETCHING:
            return []
        self._answer_by_member[member] = answer
        if len(self._answer_by_member) < len(self._members):
            return []
        answers = []
        size = 0
        for each in self._members:
            one = self._answer_by_member[each]
            size += len(one.body)
            answers.append(MemberAnswer(one.body, one.digest))
        if size <= MAX_ANSWER_BYTES:
            return self._report_end(AttemptOutcome.FINISHED, tuple(answers))
        message = f"the answer has {size} bytes, at most {MAX_ANSWER_BYTES}"
        code = int(ResultCode.ANSWER_TOO_LARGE)
        return self._report_end(AttemptOutcome.FAILED, message=message, code=code)

    def _fetch_failed(self, event: CallFailed, now: float) -> list[Action]:
        # A refusal means that the upstream restarted or dropped the answer.
        if event.code == 0 and now < self._fetch_until:
            return [CallUpstream("result", event.member, FAILED_CALL_PAUSE_S)]
        self._unfetchable.add(event.member)
        at_fault = (event.member,)
        return self._stop_all(StopCause(AttemptOutcome.LOST, at_fault), now)

    # Reporting.

    def _report_end(
        self,
        outcome: AttemptOutcome,
        answers: tuple[MemberAnswer, ...] = (),
        at_fault: tuple[int, ...] = (),
        checkpoint: str = "",
        message: str = "",
        code: int = 0,
    ) -> list[Action]:
        self.phase = Phase.REPORTING
        self._report = EndAttempt(
            self.order.request_id,
            self.order.number,
            self.order.fence,
            outcome,
            answers,
            at_fault,
            checkpoint,
            message,
            code,
        )
        self._leader_pause_s = LEADER_PAUSE_S
        return [AskLeader(self._report)]

    def _leader_answered(self, event: LeaderAnswered, now: float) -> list[Action]:
        awaited: Any = None
        if self.phase == Phase.ASKING:
            awaited = self._start_command()
        elif self.phase == Phase.REPORTING:
            awaited = self._report
        if event.command != awaited:
            return []
        result = event.result
        if result is None or result.code in _UNKNOWN_OUTCOMES:
            return [AskLeader(awaited, self._next_leader_pause())]
        if self.phase == Phase.ASKING:
            return self._start_settled(result.code, now)
        return self._release()

    def _next_leader_pause(self) -> float:
        pause = self._leader_pause_s
        self._leader_pause_s = min(MAX_LEADER_PAUSE_S, pause * 2)
        return pause

    def _release(self) -> list[Action]:
        """Let the upstreams forget the attempt, whose end is committed."""
        self.phase = Phase.RELEASING
        self._acknowledge_tries = dict.fromkeys(self._members, 1)
        return self._call_all("acknowledge")

    def _acknowledged(self, member: int) -> list[Action]:
        self._awaited.discard(member)
        return [] if self._awaited else self._drop()

    def _acknowledge_failed(self, event: CallFailed) -> list[Action]:
        tries = self._acknowledge_tries[event.member]
        if event.code or tries >= ACKNOWLEDGE_TRIES:
            return self._acknowledged(event.member)
        self._acknowledge_tries[event.member] = tries + 1
        return [CallUpstream("acknowledge", event.member, FAILED_CALL_PAUSE_S)]

    def _drop(self) -> list[Action]:
        self.phase = Phase.DROPPED
        return [Drop()]

    # Replies to calls.

    def _call_answered(self, event: CallAnswered, now: float) -> list[Action]:
        match self.phase, event.call:
            case Phase.PREPARING, "prepare":
                return self._prepared(event, now)
            case Phase.SENDING, "start":
                if event.status.state in ("running", "finished", "failed"):
                    return self._start_answered(event.member, now)
                cause = StopCause(AttemptOutcome.LOST, (event.member,))
                return self._stop_all(cause, now)
            case Phase.STOPPING, "stop" | "checkpoint":
                stop = self._stop_round()
                return self._stop_settled(stop.answered(event.status), now)
            case Phase.RELEASING, "acknowledge":
                return self._acknowledged(event.member)
        return []

    def _call_failed(self, event: CallFailed, now: float) -> list[Action]:
        member = event.member
        match self.phase, event.call:
            case Phase.PREPARING, "prepare":
                return self._give_up((member,), f"prepare got code {event.code}")
            case Phase.SENDING, "start":
                if event.sent and event.code == 0:
                    # The effect is unknown: a renewal will tell.
                    return self._start_answered(member, now)
                at_fault = (member,) if event.sent else ()
                return self._stop_all(StopCause(AttemptOutcome.LOST, at_fault), now)
            case Phase.STOPPING, "stop" | "checkpoint":
                stop = self._stop_round()
                if stop.must_retry(member, event.code, now):
                    return [CallUpstream(stop.call, member, FAILED_CALL_PAUSE_S)]
                return self._stop_settled(stop.lose({member}), now)
            case Phase.FETCHING, "result":
                return self._fetch_failed(event, now)
            case Phase.RELEASING, "acknowledge":
                return self._acknowledge_failed(event)
        return []

    def _call_all(self, call: str, not_after: float | None = None) -> list[Action]:
        self._awaited = set(self._members)
        actions: list[Action] = []
        for member in self._members:
            actions.append(CallUpstream(call, member, not_after=not_after))
        return actions


def _is_stale(event: Event) -> bool:
    """Return whether the event shows that another entry has a newer fence."""
    stale = ResultCode.STALE_FENCE
    match event:
        case CallFailed(code=code):
            return code == stale
        case MembersRenewed(statuses=statuses):
            return any(status.code == stale for status in statuses)
        case LeaderAnswered(result=result):
            return result is not None and result.code == stale
    return False


def _lost_members(order: DispatchOrder) -> set[int]:
    lost = set()
    for index, member in enumerate(order.members):
        if member.lost:
            lost.add(index)
    return lost
