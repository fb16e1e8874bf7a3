"""The life of one attempt in an entry, as a deterministic state machine."""

from persimmonyard.daemon.entry.attempt_completion import (
    LEADER_PAUSE_S,
    AttemptCompletion,
)
from persimmonyard.daemon.entry.attempt_events import (
    Action,
    Begin,
    CallAnswered,
    CallFailed,
    CommandAnswered,
    Event,
    MembersRenewed,
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
from persimmonyard.daemon.entry.attempt_stop import StopReason
from persimmonyard.daemon.timing import START_PERMIT_S
from persimmonyard.state.commands import StartAttempt
from persimmonyard.state.records import AttemptOutcome
from persimmonyard.wire import DispatchAction, DispatchOrder

__all__ = ["AttemptCore"]


class AttemptCore:
    """Prepare, start, renew, fetch and stop the members of one attempt.

    ``step`` takes an event and the time in seconds of one monotonic clock,
    and returns the actions that the host carries out.  The core itself does
    no I/O.

    Example: ``AttemptCore(order).step(Begin(), now)`` returns one prepare
    for each member.
    """

    def __init__(self, order: DispatchOrder):
        self._order = order
        self._phase = Phase.PREPARING
        self._members = range(len(order.members))
        self._awaited: set[int] = set()
        self._permit_until = 0.0
        self._leases = MemberLeases(len(order.members))
        self._end = AttemptCompletion(order, self._leases)

    @property
    def order(self) -> DispatchOrder:
        """The latest order for the attempt."""
        return self._end.order

    @property
    def phase(self) -> Phase:
        """What the attempt waits for."""
        return self._end.phase or self._phase

    def step(self, event: Event, now: float) -> list[Action]:
        """Take note of an event and return what must be done."""
        if self.phase == Phase.DROPPED:
            return []
        if reports_stale_fence(event):
            return self._end.drop()
        if self._end.phase is not None:
            return self._end.step(event, now)
        match event:
            case Begin():
                return self._begin(now)
            case StopOrdered(order):
                return self._stop_ordered(order, now)
            case CommandAnswered():
                return self._leader_answered(event, now)
            case MembersRenewed(sent_at, statuses):
                return self._renewed(sent_at, statuses, now)
            case TimerFired():
                return self._check_silence(now)
            case CallAnswered():
                return self._call_answered(event, now)
            case CallFailed():
                return self._call_failed(event, now)
        return []

    def renewals(self, now: float) -> tuple[Renewal, ...]:
        """Return the members whose lease must be renewed.

        While one member's last renewal is older than the task lease, no
        member is renewed, so that a gang never goes on without one.
        """
        if self.phase != Phase.RUNNING:
            return ()
        return self._leases.renewals(now)

    def next_wakeup(self) -> float | None:
        """Return when ``Woken`` must be sent, if at all."""
        if self.phase != Phase.RUNNING:
            return None
        return self._leases.first_end()

    # From placed to started.

    def _begin(self, now: float) -> list[Action]:
        match self._order.action:
            case DispatchAction.RUN:
                self._permit_until = now + START_PERMIT_S
                return self._call_members("prepare")
            case DispatchAction.ADOPT:
                return self._run(now)
            case DispatchAction.STOP:
                return self._end.stop_all(StopReason(AttemptOutcome.STOPPED), now)

    def _prepared(self, event: CallAnswered, now: float) -> list[Action]:
        if event.status.began:
            # The order was repeated after the attempt had been started.
            return self._run(now)
        if event.status.state != "prepared":
            return self._end.give_up((event.member,), f"state {event.status.state}")
        self._awaited.discard(event.member)
        if self._awaited:
            return []
        self._phase = Phase.ASKING
        return [SendCommand(self._start_command())]

    def _leader_answered(self, event: CommandAnswered, now: float) -> list[Action]:
        if self._phase != Phase.ASKING or event.command != self._start_command():
            return []
        if is_outcome_unknown(event.result):
            return [SendCommand(event.command, LEADER_PAUSE_S)]
        assert event.result is not None
        return self._start_settled(event.result.code, now)

    def _start_command(self) -> StartAttempt:
        order = self._order
        return StartAttempt(order.request_id, order.number, order.fence)

    def _start_settled(self, code: int, now: float) -> list[Action]:
        if code != 0:
            return self._end.give_up((), f"start refused with code {code}")
        if now >= self._permit_until:
            return self._end.give_up((), "the start permit expired")
        self._phase = Phase.SENDING
        self._leases.begin(now)
        return self._call_members("start", self._permit_until)

    def _start_answered(self, member: int, now: float) -> list[Action]:
        self._awaited.discard(member)
        if self._awaited:
            return []
        return self._run(now)

    # While it runs.

    def _run(self, now: float) -> list[Action]:
        self._phase = Phase.RUNNING
        self._leases.begin(now)
        return []

    def _check_silence(self, now: float) -> list[Action]:
        if self.phase != Phase.RUNNING:
            return []
        silent = self._leases.silent(now)
        if not silent:
            return []
        return self._end.stop_all(StopReason(AttemptOutcome.LOST, silent), now)

    def _renewed(
        self, sent_at: float, statuses: tuple[TaskStatus, ...], now: float
    ) -> list[Action]:
        if self.phase != Phase.RUNNING:
            return []
        for status in statuses:
            cause = self._leases.take(status, sent_at)
            if cause is not None:
                return self._end.stop_all(cause, now)
        if self._leases.all_finished():
            return self._end.fetch(now)
        return self._check_silence(now)

    def _stop_ordered(self, order: DispatchOrder, now: float) -> list[Action]:
        self._end.order = order
        if self._phase in (Phase.PREPARING, Phase.ASKING):
            # The stop proves that the start was committed, but this entry did
            # not learn of it and sent nothing.
            return self._end.give_up((), "stopped before the start")
        if self._must_finish(order):
            return []
        return self._end.stop_all(StopReason(AttemptOutcome.STOPPED), now)

    def _must_finish(self, order: DispatchOrder) -> bool:
        """Return whether a checkpoint would end work that cannot run again.

        A member that has finished has no checkpoint to go on from.
        """
        if not order.checkpoint_wanted or order.idempotent:
            return False
        return self._leases.any_finished()

    # Replies to calls.

    def _call_answered(self, event: CallAnswered, now: float) -> list[Action]:
        match self._phase, event.call:
            case Phase.PREPARING, "prepare":
                return self._prepared(event, now)
            case Phase.SENDING, "start":
                if event.status.state in ("running", "finished", "failed"):
                    return self._start_answered(event.member, now)
                cause = StopReason(AttemptOutcome.LOST, (event.member,))
                return self._end.stop_all(cause, now)
        return []

    def _call_failed(self, event: CallFailed, now: float) -> list[Action]:
        member = event.member
        match self._phase, event.call:
            case Phase.PREPARING, "prepare":
                message = f"prepare got code {event.code}"
                return self._end.give_up((member,), message)
            case Phase.SENDING, "start":
                if event.sent and event.code == 0:
                    # The effect is unknown: a renewal will tell.
                    return self._start_answered(member, now)
                at_fault = (member,) if event.sent else ()
                cause = StopReason(AttemptOutcome.LOST, at_fault)
                return self._end.stop_all(cause, now)
        return []

    def _call_members(self, call: str, not_after: float | None = None) -> list[Action]:
        self._awaited = set(self._members)
        return call_members(self._members, call, not_after)
