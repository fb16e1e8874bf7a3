"""The life cycle of one attempt in an entry: a deterministic state machine."""

from persimmonyard.daemon.entry.attempt_completion import (
    COMMAND_RETRY_DELAY_S,
    AttemptCompletion,
)
from persimmonyard.daemon.entry.attempt_events import (
    Action,
    AnswerFetched,
    Begin,
    CallAnswered,
    CallFailed,
    CommandAnswered,
    Event,
    MembersRenewed,
    MembersSilent,
    Phase,
    Renewal,
    SendCommand,
    StopOrdered,
    TaskStatus,
    TimerFired,
    call_members,
    is_outcome_unknown,
    reports_stale_fence,
)
from persimmonyard.daemon.entry.attempt_leases import MemberLeases
from persimmonyard.daemon.entry.attempt_silence import SilenceTracker
from persimmonyard.daemon.entry.attempt_stop import StopReason
from persimmonyard.daemon.timing import START_PERMIT_S
from persimmonyard.state.commands import StartAttempt
from persimmonyard.state.records import AttemptOutcome
from persimmonyard.wire import DispatchAction, DispatchOrder

__all__ = ["AttemptCore"]


class AttemptCore:
    """Prepares, starts, renews, fetches and stops the members of one attempt.

    ``step`` takes an event and the time of a monotonic clock in seconds, and
    returns the actions that the driver must execute.  The core itself does no
    I/O.

    Example: ``AttemptCore(order).step(Begin(), now)`` returns one prepare
    for each member.
    """

    def __init__(self, order: DispatchOrder):
        self._order = order
        self._phase = Phase.PREPARING
        self._members = range(len(order.members))
        self._pending_members: set[int] = set()
        self._permit_until = 0.0
        self._leases = MemberLeases(len(order.members))
        self._silences = SilenceTracker()
        self._completion = AttemptCompletion(order, self._leases, self._silences)

    @property
    def order(self) -> DispatchOrder:
        """The latest order for the attempt."""
        return self._completion.order

    @property
    def phase(self) -> Phase:
        """What the attempt waits for."""
        return self._completion.phase or self._phase

    def step(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the actions to execute."""
        if self.phase == Phase.DROPPED:
            return []
        if reports_stale_fence(event):
            return self._completion.drop()
        self._track_silence(event, now)
        if self._completion.phase is not None:
            return self._completion.step(event, now)
        match event:
            case Begin():
                return self._begin(now)
            case StopOrdered(order):
                return self._on_stop_ordered(order, now)
            case CommandAnswered():
                return self._on_command_answered(event, now)
            case MembersRenewed(sent_at, statuses):
                return self._on_renewed(sent_at, statuses, now)
            case TimerFired():
                return self._check_expired_leases(now)
            case CallAnswered():
                return self._on_call_answered(event, now)
            case CallFailed():
                return self._on_call_failed(event, now)
        return []

    def _track_silence(self, event: Event, now: float) -> None:
        """Note which members answer; a refusal may come from a successor."""
        tracker = self._silences
        match event:
            case CallAnswered("prepare", member, sent_at, status):
                if not status.began:
                    tracker.prepared(member, sent_at)
            case CallAnswered("start", member, sent_at, _):
                tracker.started(member, sent_at)
            case CallAnswered(_, member, _, _) | AnswerFetched(member, _):
                tracker.answered(member)
            case CallFailed("start", member, code, sent, connected) if (
                not sent or code or not connected
            ):
                tracker.not_delivered(member)
            case CallFailed(_, member, _, True, _):
                tracker.unanswered(member, now)
            case MembersRenewed(_, statuses):
                for status in statuses:
                    if status.code:
                        tracker.unanswered(status.member, now)
                    else:
                        tracker.answered(status.member)
            case MembersSilent(members):
                for member in members:
                    tracker.unanswered(member, now)

    def renewals(self, now: float) -> tuple[Renewal, ...]:
        """Return the members whose lease must be renewed.

        While the lease of one member has expired, no member is renewed, so
        that a gang never continues without one of its members.
        """
        if self.phase != Phase.RUNNING:
            return ()
        return self._leases.renewals(now)

    def next_wakeup(self) -> float | None:
        """Return when ``TimerFired`` is due, or ``None`` for no timer."""
        if self.phase != Phase.RUNNING:
            return None
        return self._leases.earliest_expiry()

    def _begin(self, now: float) -> list[Action]:
        match self._order.action:
            case DispatchAction.RUN:
                self._permit_until = now + START_PERMIT_S
                return self._call_all_members("prepare")
            case DispatchAction.ADOPT:
                return self._enter_running(now)
            case DispatchAction.STOP:
                return self._completion.stop_all(
                    StopReason(AttemptOutcome.STOPPED), now
                )

    def _on_prepared(self, event: CallAnswered, now: float) -> list[Action]:
        if event.status.began:
            # The leader repeated the order after the attempt was started.
            return self._enter_running(now)
        if event.status.state != "prepared":
            return self._completion.abort_before_start(
                (event.member,), f"state {event.status.state}"
            )
        self._pending_members.discard(event.member)
        if self._pending_members:
            return []
        self._phase = Phase.ASKING
        return [SendCommand(self._start_command())]

    def _on_command_answered(self, event: CommandAnswered, now: float) -> list[Action]:
        if self._phase != Phase.ASKING or event.command != self._start_command():
            return []
        if is_outcome_unknown(event.result):
            return [SendCommand(event.command, COMMAND_RETRY_DELAY_S)]
        assert event.result is not None
        return self._on_start_result(event.result.code, now)

    def _start_command(self) -> StartAttempt:
        order = self._order
        return StartAttempt(order.request_id, order.number, order.fence)

    def _on_start_result(self, code: int, now: float) -> list[Action]:
        if code != 0:
            return self._completion.abort_before_start(
                (), f"start refused with code {code}"
            )
        if now >= self._permit_until:
            return self._completion.abort_before_start((), "the start permit expired")
        self._phase = Phase.SENDING
        self._leases.start_missing(now)
        return self._call_all_members("start", self._permit_until)

    def _on_start_answered(self, member: int, now: float) -> list[Action]:
        self._pending_members.discard(member)
        if self._pending_members:
            return []
        return self._enter_running(now)

    def _enter_running(self, now: float) -> list[Action]:
        self._phase = Phase.RUNNING
        self._leases.start_missing(now)
        return []

    def _check_expired_leases(self, now: float) -> list[Action]:
        if self.phase != Phase.RUNNING:
            return []
        expired = self._leases.expired(now)
        if not expired:
            return []
        return self._completion.stop_all(StopReason(AttemptOutcome.LOST, expired), now)

    def _on_renewed(
        self, sent_at: float, statuses: tuple[TaskStatus, ...], now: float
    ) -> list[Action]:
        if self.phase != Phase.RUNNING:
            return []
        for status in statuses:
            reason = self._leases.apply_status(status, sent_at)
            if reason is not None:
                return self._completion.stop_all(reason, now)
        if self._leases.all_finished():
            return self._completion.fetch(now)
        return self._check_expired_leases(now)

    def _on_stop_ordered(self, order: DispatchOrder, now: float) -> list[Action]:
        self._completion.order = order
        if self._phase in (Phase.PREPARING, Phase.ASKING):
            # The stop implies that the leader committed the start, but this
            # entry has not received that result and has sent no start.
            return self._completion.abort_before_start((), "stopped before the start")
        if self._must_run_to_completion(order):
            return []
        return self._completion.stop_all(StopReason(AttemptOutcome.STOPPED), now)

    def _must_run_to_completion(self, order: DispatchOrder) -> bool:
        """Return whether a checkpoint would lose work that must not run twice.

        A member that has finished has no checkpoint to resume from, so the
        attempt of a request that is not idempotent then runs to its end.
        """
        if not order.checkpoint_wanted or order.idempotent:
            return False
        return self._leases.has_finished_member()

    def _on_call_answered(self, event: CallAnswered, now: float) -> list[Action]:
        match self._phase, event.call:
            case Phase.PREPARING, "prepare":
                return self._on_prepared(event, now)
            case Phase.SENDING, "start":
                if event.status.state in ("running", "finished", "failed"):
                    return self._on_start_answered(event.member, now)
                reason = StopReason(AttemptOutcome.LOST, (event.member,))
                return self._completion.stop_all(reason, now)
        return []

    def _on_call_failed(self, event: CallFailed, now: float) -> list[Action]:
        member = event.member
        match self._phase, event.call:
            case Phase.PREPARING, "prepare":
                message = f"prepare got code {event.code}"
                return self._completion.abort_before_start((member,), message)
            case Phase.SENDING, "start":
                if event.sent and event.code == 0:
                    # The upstream may have started the task; the next
                    # renewal reports whether it did.
                    return self._on_start_answered(member, now)
                failed_members = (member,) if event.sent else ()
                reason = StopReason(AttemptOutcome.LOST, failed_members)
                return self._completion.stop_all(reason, now)
        return []

    def _call_all_members(
        self, call: str, not_after: float | None = None
    ) -> list[Action]:
        self._pending_members = set(self._members)
        return call_members(self._members, call, not_after)
