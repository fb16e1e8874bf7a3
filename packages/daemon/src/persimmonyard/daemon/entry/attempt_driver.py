"""The driver of one attempt: executes the actions of its ``AttemptCore``."""

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
    NoConnectionError,
    TaskClient,
    UpstreamUnreachableError,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import START_PERMIT_S
from persimmonyard.model import PersimmonyardError
from persimmonyard.state.commands import EndAttempt, StartAttempt
from persimmonyard.wire import DispatchOrder

__all__ = ["AttemptDriver", "AttemptListener"]

END_COMMAND_TIMEOUT_S = 10.0


class AttemptListener(Protocol):
    """Receives notifications of attempt drivers; the dispatcher is one."""

    def attempt_changed(self, driver: "AttemptDriver") -> None:
        """React to an event that the driver has processed."""

    def attempt_failed(self, driver: "AttemptDriver") -> None:
        """React to an unexpected error that ended the driver."""


class AttemptDriver:
    """Drives one attempt that the leader assigned to this entry.

    It feeds events to the core, executes the resulting actions and sets the
    timer of the core.
    """

    def __init__(
        self,
        order: DispatchOrder,
        state: LocalState,
        leader: LeaderClient,
        task_client: TaskClient,
        listener: AttemptListener,
    ):
        self.core = AttemptCore(order)
        self._state = state
        self._leader = leader
        self._task_client = task_client
        self._listener = listener
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
        """Whether this entry has nothing left to do for the attempt."""
        return self.core.phase == Phase.DROPPED

    def begin(self) -> None:
        """Start processing the attempt."""
        self.handle_event(Begin())

    def handle_event(self, event: Event) -> None:
        """Pass an event to the core and execute the resulting actions."""
        try:
            self._step_core(event)
        except Exception:
            # After a programming error the attempt must still be dispatched;
            # the listener restarts it.
            self._logger.exception("attempt failed")
            self._listener.attempt_failed(self)

    def _step_core(self, event: Event) -> None:
        previous_phase = self.core.phase
        actions = self.core.step(event, time.monotonic())
        if self.core.phase != previous_phase:
            self._logger.info("attempt", phase=self.core.phase.value)
        for action in actions:
            self._execute(action)
        self._set_timer()
        self._listener.attempt_changed(self)

    def cancel(self) -> None:
        """Cancel all tasks of the attempt, without calls or commands."""
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
            # The pending timer fires earlier, and then the next one is set.
            return
        loop = asyncio.get_running_loop()
        delay = max(0.0, wakeup - time.monotonic())
        self._timer = loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.handle_event(TimerFired())

    def _execute(self, action: Action) -> None:
        match action:
            case CallUpstream():
                self._start_task(self._send_call(action))
            case SendCommand():
                self._start_task(self._send_command(action))
            case Drop():
                self.cancel()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._logger.error("call failed unexpectedly", error=repr(task.exception()))
        self._listener.attempt_failed(self)

    async def _send_call(self, action: CallUpstream) -> None:
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        event = await self._call_upstream(action)
        self.handle_event(event)

    async def _call_upstream(self, action: CallUpstream) -> Event:
        call = action.call
        member = action.member
        sent_at = time.monotonic()
        if action.not_after is not None and not self._may_send(action.not_after):
            return CallFailed(call, member, sent=False)
        try:
            if call == "result":
                answer = await self._task_client.fetch_answer(self.order, member)
                return AnswerFetched(member, answer)
            status = await self._task_client.call_task(call, self.order, member)
        except PersimmonyardError as error:
            self._logger.info("call refused", call=call, code=int(error.code))
            return CallFailed(call, member, int(error.code))
        except UpstreamUnreachableError as error:
            self._logger.info("call failed", call=call, error=str(error))
            connected = not isinstance(error, NoConnectionError)
            return CallFailed(call, member, connected=connected)
        return CallAnswered(call, member, sent_at, status)

    def _may_send(self, not_after: float) -> bool:
        return time.monotonic() < not_after and self._state.lease_valid()

    async def _send_command(self, action: SendCommand) -> None:
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        result = None
        wait_s = END_COMMAND_TIMEOUT_S
        if isinstance(action.command, StartAttempt):
            # A later result is useless, because the start permit has expired
            # by then.
            wait_s = START_PERMIT_S
        try:
            result = await self._leader.execute(action.command, wait_s=wait_s)
        except PersimmonyardError as error:
            self._logger.info("leader did not answer", code=int(error.code))
        if isinstance(action.command, EndAttempt) and result is not None:
            outcome = action.command.outcome.value
            self._logger.info("attempt ended", outcome=outcome, code=result.code)
        self.handle_event(CommandAnswered(action.command, result))
