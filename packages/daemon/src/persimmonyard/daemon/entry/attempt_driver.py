"""The host of one attempt: it carries out what the core asks for."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, Protocol

from persimmonyard.daemon.entry.attempt_core import AttemptCore
from persimmonyard.daemon.entry.attempt_events import (
    Action,
    AnswerFetched,
    Begin,
    CallAnswered,
    CallFailed,
    CallUpstream,
    CommandAnswered,
    Drop,
    Event,
    Phase,
    SendCommand,
    TimerFired,
)
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.task_client import (
    TaskClient,
    UpstreamUnreachableError,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import START_PERMIT_S
from persimmonyard.model import PersimmonyardError
from persimmonyard.state.commands import EndAttempt, StartAttempt
from persimmonyard.wire import DispatchOrder

__all__ = ["AttemptDriver", "AttemptListener"]

LEADER_WAIT_S = 10.0


class AttemptListener(Protocol):
    """What a run tells the dispatcher."""

    def attempt_changed(self, run: "AttemptDriver") -> None:
        """Note that the run took a step."""

    def attempt_failed(self, run: "AttemptDriver") -> None:
        """Note that the run cannot go on because of an unexpected error."""


class AttemptDriver:
    """One attempt in the hands of this entry."""

    def __init__(
        self,
        order: DispatchOrder,
        state: LocalState,
        leader: LeaderClient,
        calls: TaskClient,
        owner: AttemptListener,
    ):
        self.core = AttemptCore(order)
        self._state = state
        self._leader = leader
        self._calls = calls
        self._owner = owner
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._logger = get_logger("dispatch").bind(
            request=order.request_id, attempt=order.number, fence=order.fence
        )

    @property
    def order(self) -> DispatchOrder:
        """The latest order for the attempt."""
        return self.core.order

    @property
    def dropped(self) -> bool:
        """Whether nothing of the attempt is left to do here."""
        return self.core.phase == Phase.DROPPED

    def begin(self) -> None:
        """Start to work on the attempt."""
        self.feed(Begin())

    def feed(self, event: Event) -> None:
        """Give an event to the core and carry out what it asks for."""
        try:
            self._step(event)
        except Exception:
            # An error must not leave the attempt without a dispatcher.
            self._logger.exception("attempt failed")
            self._owner.attempt_failed(self)

    def _step(self, event: Event) -> None:
        before = self.core.phase
        actions = self.core.step(event, time.monotonic())
        if self.core.phase != before:
            self._logger.info("attempt", phase=self.core.phase.value)
        for action in actions:
            self._carry_out(action)
        self._set_timer()
        self._owner.attempt_changed(self)

    def cancel(self) -> None:
        """Stop all work on the attempt without a word to anyone."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for task in self._tasks:
            task.cancel()

    def _set_timer(self) -> None:
        wakeup = self.core.next_wakeup()
        if wakeup is None:
            return
        if self._timer is not None:
            # An earlier timer looks again when it fires.
            return
        loop = asyncio.get_running_loop()
        delay = max(0.0, wakeup - time.monotonic())
        self._timer = loop.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self.feed(TimerFired())

    def _carry_out(self, action: Action) -> None:
        match action:
            case CallUpstream():
                self._spawn(self._call(action))
            case SendCommand():
                self._spawn(self._ask(action))
            case Drop():
                self.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._logger.error("call failed unexpectedly", error=repr(task.exception()))
        self._owner.attempt_failed(self)

    # Calls.

    async def _call(self, action: CallUpstream) -> None:
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        event = await self._call_event(action)
        self.feed(event)

    async def _call_event(self, action: CallUpstream) -> Event:
        call = action.call
        member = action.member
        sent_at = time.monotonic()
        if action.not_after is not None and not self._may_send(action.not_after):
            return CallFailed(call, member, sent=False)
        try:
            if call == "result":
                answer = await self._calls.fetch_answer(self.order, member)
                return AnswerFetched(member, answer)
            status = await self._calls.call_task(call, self.order, member)
        except PersimmonyardError as error:
            self._logger.info("call refused", call=call, code=int(error.code))
            return CallFailed(call, member, int(error.code))
        except UpstreamUnreachableError as error:
            self._logger.info("call failed", call=call, error=str(error))
            return CallFailed(call, member)
        return CallAnswered(call, member, sent_at, status)

    def _may_send(self, not_after: float) -> bool:
        return time.monotonic() < not_after and self._state.lease_valid()

    async def _ask(self, action: SendCommand) -> None:
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        result = None
        wait_s = LEADER_WAIT_S
        if isinstance(action.command, StartAttempt):
            # A later permission is of no use: the permit has ended.
            wait_s = START_PERMIT_S
        try:
            result = await self._leader.execute(action.command, wait_s=wait_s)
        except PersimmonyardError as error:
            self._logger.info("leader did not answer", code=int(error.code))
        if isinstance(action.command, EndAttempt) and result is not None:
            outcome = action.command.outcome.value
            self._logger.info("attempt ended", outcome=outcome, code=result.code)
        self.feed(CommandAnswered(action.command, result))
