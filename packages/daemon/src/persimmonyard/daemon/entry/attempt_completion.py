"""How an attempt ends: stops, answers, the report and the release."""

import json

from persimmonyard.daemon.entry.attempt_answers import (
    MAX_ANSWER_BYTES,
    MemberAnswers,
)
from persimmonyard.daemon.entry.attempt_events import (
    Action,
    AnswerFetched,
    CallAnswered,
    CallFailed,
    CallUpstream,
    CommandAnswered,
    Drop,
    Event,
    Phase,
    SendCommand,
    StopOrdered,
    TaskAnswer,
    call_members,
    is_outcome_unknown,
    lost_members,
)
from persimmonyard.daemon.entry.attempt_leases import MemberLeases
from persimmonyard.daemon.entry.attempt_stop import StopReason, StopRound
from persimmonyard.model import ResultCode
from persimmonyard.state.commands import EndAttempt
from persimmonyard.state.records import AttemptOutcome, MemberAnswer
from persimmonyard.wire import DispatchOrder

__all__ = ["LEADER_PAUSE_S", "AttemptCompletion"]

FAILED_CALL_PAUSE_S = 0.3
LEADER_PAUSE_S = 0.2
MAX_LEADER_PAUSE_S = 2.0
# An upstream keeps an answer for ten minutes.  A caller should not wait that
# long for one that its upstream cannot deliver.
FETCH_LIMIT_S = 60.0
ACKNOWLEDGE_TRIES = 3


class AttemptCompletion:
    """Bring an attempt to its end; ``phase`` is ``None`` until it begins."""

    def __init__(self, order: DispatchOrder, leases: MemberLeases):
        self.order = order
        self.phase: Phase | None = None
        self._members = range(len(order.members))
        self._leases = leases
        self._stop: StopRound | None = None
        self._answers = MemberAnswers(len(order.members))
        self._unfetchable: set[int] = set()
        self._fetch_until = 0.0
        self._report: EndAttempt | None = None
        self._leader_pause_s = LEADER_PAUSE_S
        self._awaited: set[int] = set()
        self._acknowledge_tries: dict[int, int] = {}

    def step(self, event: Event, now: float) -> list[Action]:
        """Take note of an event and return what must be done."""
        match event:
            case StopOrdered(order):
                return self._stop_ordered(order, now)
            case CommandAnswered():
                return self._leader_answered(event)
            case AnswerFetched(member, answer):
                return self._fetched(member, answer)
            case CallAnswered():
                return self._call_answered(event, now)
            case CallFailed():
                return self._call_failed(event, now)
        return []

    def give_up(self, unready: tuple[int, ...], message: str) -> list[Action]:
        """End the attempt before any start was sent.

        Only this entry could send starts under the current fence, so the
        attempt never began.  The stops free the reserved slots.
        """
        report = self._report_end(
            AttemptOutcome.NEVER_BEGAN, at_fault=unready, message=message
        )
        return [*call_members(self._members, "stop"), *report]

    # Stopping.

    def _stop_ordered(self, order: DispatchOrder, now: float) -> list[Action]:
        self.order = order
        lost = lost_members(order)
        match self.phase:
            case Phase.STOPPING:
                return self._stop_settled(self._stop_round().lose(lost), now)
            case Phase.FETCHING if lost.intersection(self._answers.missing()):
                return self.stop_all(StopReason(AttemptOutcome.STOPPED), now)
        return []

    def stop_all(self, cause: StopReason, now: float) -> list[Action]:
        """Stop every member and report what the replies show."""
        self.phase = Phase.STOPPING
        gone = set(cause.gone) | lost_members(self.order) | self._unfetchable
        self._stop = StopRound(
            len(self.order.members), cause, self.order.checkpoint_wanted
        )
        self._leases.begin(now)
        actions: list[Action] = []
        for member in self._stop.begin(gone, self._leases.end_by_member()):
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
            return self.fetch(now)
        return self._report_end(
            end.outcome, (), end.at_fault, self._checkpoint_text(end.checkpoints),
            end.message,
        )  # fmt: skip

    def _checkpoint_text(self, checkpoints: tuple[str, ...]) -> str:
        if len(checkpoints) <= 1:
            return "".join(checkpoints)
        return json.dumps(checkpoints)

    # Answers.

    def fetch(self, now: float) -> list[Action]:
        """Fetch the answers of all members, which have finished."""
        self.phase = Phase.FETCHING
        self._fetch_until = now + FETCH_LIMIT_S
        actions: list[Action] = []
        for member in self._answers.missing():
            actions.append(CallUpstream("result", member))
        return actions

    def _fetched(self, member: int, answer: TaskAnswer) -> list[Action]:
        if self.phase != Phase.FETCHING:
            return []
        self._answers.add(member, answer)
        if self._answers.missing():
            return []
        if self._answers.size() <= MAX_ANSWER_BYTES:
            return self._report_end(AttemptOutcome.FINISHED, self._answers.in_order())
        return self._report_end(
            AttemptOutcome.FAILED,
            message=f"the answer has more than {MAX_ANSWER_BYTES} bytes",
            code=int(ResultCode.ANSWER_TOO_LARGE),
        )

    def _fetch_failed(self, event: CallFailed, now: float) -> list[Action]:
        # A refusal means that the upstream restarted or dropped the answer.
        if event.code == 0 and now < self._fetch_until:
            return [CallUpstream("result", event.member, FAILED_CALL_PAUSE_S)]
        self._unfetchable.add(event.member)
        at_fault = (event.member,)
        return self.stop_all(StopReason(AttemptOutcome.LOST, at_fault), now)

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
        return [SendCommand(self._report)]

    def _leader_answered(self, event: CommandAnswered) -> list[Action]:
        if self.phase != Phase.REPORTING or event.command != self._report:
            return []
        if is_outcome_unknown(event.result):
            pause = self._leader_pause_s
            self._leader_pause_s = min(MAX_LEADER_PAUSE_S, pause * 2)
            return [SendCommand(event.command, pause)]
        return self._release()

    def _release(self) -> list[Action]:
        """Let the upstreams forget the attempt, whose end is committed."""
        self.phase = Phase.RELEASING
        self._acknowledge_tries = dict.fromkeys(self._members, 1)
        self._awaited = set(self._members)
        return call_members(self._members, "acknowledge")

    def _acknowledged(self, member: int) -> list[Action]:
        self._awaited.discard(member)
        return [] if self._awaited else self.drop()

    def _acknowledge_failed(self, event: CallFailed) -> list[Action]:
        tries = self._acknowledge_tries[event.member]
        if event.code or tries >= ACKNOWLEDGE_TRIES:
            return self._acknowledged(event.member)
        self._acknowledge_tries[event.member] = tries + 1
        return [CallUpstream("acknowledge", event.member, FAILED_CALL_PAUSE_S)]

    def drop(self) -> list[Action]:
        """Let go of the attempt."""
        self.phase = Phase.DROPPED
        return [Drop()]

    # Replies to calls.

    def _call_answered(self, event: CallAnswered, now: float) -> list[Action]:
        match self.phase, event.call:
            case Phase.STOPPING, "stop" | "checkpoint":
                stop = self._stop_round()
                return self._stop_settled(stop.answered(event.status), now)
            case Phase.RELEASING, "acknowledge":
                return self._acknowledged(event.member)
        return []

    def _call_failed(self, event: CallFailed, now: float) -> list[Action]:
        member = event.member
        match self.phase, event.call:
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
