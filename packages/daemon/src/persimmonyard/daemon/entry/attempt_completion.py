"""The end of an attempt: stopping, fetching answers, reporting, releasing."""

import json

from persimmonyard.daemon.entry.attempt_answers import (
    MAX_ANSWER_BYTES,
    AnswerCollector,
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
from persimmonyard.daemon.entry.attempt_silence import SilenceTracker
from persimmonyard.daemon.entry.attempt_stop import StopReason, StopRound
from persimmonyard.model import ResultCode
from persimmonyard.state.commands import EndAttempt
from persimmonyard.state.records import (
    AttemptOutcome,
    MemberAnswer,
    MemberSilence,
)
from persimmonyard.wire import DispatchOrder

__all__ = ["COMMAND_RETRY_DELAY_S", "AttemptCompletion"]

CALL_RETRY_DELAY_S = 0.3
# Delay before a command with an unknown outcome is sent again.  For the end of
# an attempt it doubles up to the maximum.
COMMAND_RETRY_DELAY_S = 0.2
MAX_COMMAND_RETRY_DELAY_S = 2.0
# Upstreams keep an answer for ten minutes.  A caller should not wait that
# long for an answer that its upstream cannot deliver.
FETCH_TIMEOUT_S = 60.0
MAX_ACKNOWLEDGE_TRIES = 3


class AttemptCompletion:
    """Ends an attempt and reports its outcome to the leader.

    ``phase`` is ``None`` until the attempt starts to end.
    """

    def __init__(
        self, order: DispatchOrder, leases: MemberLeases, silences: SilenceTracker
    ):
        self.order = order
        self.phase: Phase | None = None
        self._members = range(len(order.members))
        self._leases = leases
        self._silences = silences
        self._stop_round: StopRound | None = None
        self._answers = AnswerCollector(len(order.members))
        self._unfetchable: set[int] = set()
        self._fetch_deadline = 0.0
        self._report: EndAttempt | None = None
        self._command_retry_delay_s = COMMAND_RETRY_DELAY_S
        self._pending_members: set[int] = set()
        self._acknowledge_tries: dict[int, int] = {}

    def step(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the actions to execute."""
        match event:
            case StopOrdered(order):
                return self._on_stop_ordered(order, now)
            case CommandAnswered():
                return self._on_command_answered(event)
            case AnswerFetched(member, answer):
                return self._on_answer_fetched(member, answer)
            case CallAnswered():
                return self._on_call_answered(event, now)
            case CallFailed():
                return self._on_call_failed(event, now)
        return []

    def abort_before_start(
        self, unready: tuple[int, ...], message: str
    ) -> list[Action]:
        """End the attempt before any start call was sent.

        Only this entry can send start calls with the current fence, so the
        attempt never began.  The stop calls free the reserved slots.
        ``unready`` are the members that could not be prepared.
        """
        report = self._report_end(
            AttemptOutcome.NEVER_BEGAN, failed_members=unready, message=message
        )
        return [*call_members(self._members, "stop"), *report]

    def _on_stop_ordered(self, order: DispatchOrder, now: float) -> list[Action]:
        self.order = order
        lost = lost_members(order)
        match self.phase:
            case Phase.STOPPING:
                return self._finish_stop_round(
                    self._active_stop_round().mark_lost(lost), now
                )
            case Phase.FETCHING if lost.intersection(self._answers.missing()):
                return self.stop_all(StopReason(AttemptOutcome.STOPPED), now)
        return []

    def stop_all(self, reason: StopReason, now: float) -> list[Action]:
        """Stop every member and report the outcome shown by the replies."""
        self.phase = Phase.STOPPING
        lost = set(reason.lost) | lost_members(self.order) | self._unfetchable
        self._stop_round = StopRound(
            len(self.order.members), reason, self.order.checkpoint_wanted
        )
        self._leases.start_missing(now)
        actions: list[Action] = []
        for member in self._stop_round.begin(lost, self._leases.expiry_by_member()):
            actions.append(CallUpstream(self._stop_round.call, member))
        return [*actions, *self._finish_stop_round(self._stop_round.is_complete(), now)]

    def _active_stop_round(self) -> StopRound:
        assert self._stop_round is not None
        return self._stop_round

    def _finish_stop_round(self, is_complete: bool, now: float) -> list[Action]:
        if not is_complete:
            return []
        result = self._active_stop_round().result()
        if result.outcome == AttemptOutcome.FINISHED:
            return self.fetch(now)
        return self._report_end(
            result.outcome, (), result.failed_members,
            self._encode_checkpoints(result.checkpoints), result.message,
        )  # fmt: skip

    def _encode_checkpoints(self, checkpoints: tuple[str, ...]) -> str:
        if len(checkpoints) <= 1:
            return "".join(checkpoints)
        return json.dumps(checkpoints)

    def fetch(self, now: float) -> list[Action]:
        """Fetch the answers of all members; every member has finished."""
        self.phase = Phase.FETCHING
        self._fetch_deadline = now + FETCH_TIMEOUT_S
        actions: list[Action] = []
        for member in self._answers.missing():
            actions.append(CallUpstream("result", member))
        return actions

    def _on_answer_fetched(self, member: int, answer: TaskAnswer) -> list[Action]:
        if self.phase != Phase.FETCHING:
            return []
        self._answers.add(member, answer)
        if self._answers.missing():
            return []
        if self._answers.total_bytes() <= MAX_ANSWER_BYTES:
            return self._report_end(
                AttemptOutcome.FINISHED, self._answers.answers_in_order()
            )
        return self._report_end(
            AttemptOutcome.FAILED,
            message=f"the answer has more than {MAX_ANSWER_BYTES} bytes",
            code=int(ResultCode.ANSWER_TOO_LARGE),
        )

    def _on_fetch_failed(self, event: CallFailed, now: float) -> list[Action]:
        # A refusal means that the upstream restarted or discarded the answer.
        if event.code == 0 and now < self._fetch_deadline:
            return [CallUpstream("result", event.member, CALL_RETRY_DELAY_S)]
        self._unfetchable.add(event.member)
        failed_members = (event.member,)
        return self.stop_all(StopReason(AttemptOutcome.LOST, failed_members), now)

    def _report_end(
        self,
        outcome: AttemptOutcome,
        answers: tuple[MemberAnswer, ...] = (),
        failed_members: tuple[int, ...] = (),
        checkpoint: str = "",
        message: str = "",
        code: int = 0,
    ) -> list[Action]:
        self.phase = Phase.REPORTING
        silences: tuple[MemberSilence, ...] = ()
        if outcome == AttemptOutcome.LOST:
            silences = self._silences.silences()
        self._report = EndAttempt(
            self.order.request_id,
            self.order.number,
            self.order.fence,
            outcome,
            answers,
            failed_members,
            checkpoint,
            message,
            code,
            silences,
        )
        self._command_retry_delay_s = COMMAND_RETRY_DELAY_S
        return [SendCommand(self._report)]

    def _on_command_answered(self, event: CommandAnswered) -> list[Action]:
        if self.phase != Phase.REPORTING or event.command != self._report:
            return []
        if is_outcome_unknown(event.result):
            delay_s = self._command_retry_delay_s
            self._command_retry_delay_s = min(MAX_COMMAND_RETRY_DELAY_S, delay_s * 2)
            return [SendCommand(event.command, delay_s)]
        return self._release()

    def _release(self) -> list[Action]:
        """Acknowledge the attempt, whose end is committed, to its upstreams.

        They may then discard its tasks and answers.
        """
        self.phase = Phase.RELEASING
        self._acknowledge_tries = dict.fromkeys(self._members, 1)
        self._pending_members = set(self._members)
        return call_members(self._members, "acknowledge")

    def _on_acknowledged(self, member: int) -> list[Action]:
        self._pending_members.discard(member)
        return [] if self._pending_members else self.drop()

    def _on_acknowledge_failed(self, event: CallFailed) -> list[Action]:
        tries = self._acknowledge_tries[event.member]
        if event.code or tries >= MAX_ACKNOWLEDGE_TRIES:
            return self._on_acknowledged(event.member)
        self._acknowledge_tries[event.member] = tries + 1
        return [CallUpstream("acknowledge", event.member, CALL_RETRY_DELAY_S)]

    def drop(self) -> list[Action]:
        """Discard the attempt without further calls or commands."""
        self.phase = Phase.DROPPED
        return [Drop()]

    def _on_call_answered(self, event: CallAnswered, now: float) -> list[Action]:
        match self.phase, event.call:
            case Phase.STOPPING, "stop" | "checkpoint":
                stop_round = self._active_stop_round()
                return self._finish_stop_round(
                    stop_round.record_reply(event.status), now
                )
            case Phase.RELEASING, "acknowledge":
                return self._on_acknowledged(event.member)
        return []

    def _on_call_failed(self, event: CallFailed, now: float) -> list[Action]:
        member = event.member
        match self.phase, event.call:
            case Phase.STOPPING, "stop" | "checkpoint":
                stop_round = self._active_stop_round()
                if stop_round.should_retry(member, event.code, now):
                    return [CallUpstream(stop_round.call, member, CALL_RETRY_DELAY_S)]
                return self._finish_stop_round(stop_round.mark_lost({member}), now)
            case Phase.FETCHING, "result":
                return self._on_fetch_failed(event, now)
            case Phase.RELEASING, "acknowledge":
                return self._on_acknowledge_failed(event)
        return []
