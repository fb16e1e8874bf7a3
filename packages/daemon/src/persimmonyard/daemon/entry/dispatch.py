"""Dispatch of attempts: one run for each, one link for each upstream."""

import asyncio
import contextlib
import time

import msgspec

from persimmonyard.daemon.entry.attempt_driver import AttemptDriver
from persimmonyard.daemon.entry.attempt_events import (
    MembersRenewed,
    Phase,
    StopOrdered,
    TaskStatus,
)
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.lease_renewer import LeasedTask, LeaseRenewer
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.task_client import TaskClient, attempt_id
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import START_PERMIT_S
from persimmonyard.wire import DispatchAction, DispatchMember, DispatchOrder

__all__ = ["Dispatcher"]

RESTART_PAUSE_S = 1.0

# A stop between the starts of a gang's members would end the gang, so a
# graceful shutdown waits for these phases.  They end with the permit.
_SHORT_PHASES = (Phase.ASKING, Phase.SENDING)


class Dispatcher:
    """Carry out the orders of the control leader."""

    def __init__(self, state: LocalState, leader: LeaderClient, calls: TaskClient):
        self._state = state
        self._leader = leader
        self._calls = calls
        self._logger = get_logger("dispatch")
        self._closing = False
        self._changed = asyncio.Event()
        self._run_by_request: dict[str, AttemptDriver] = {}
        self._run_by_attempt: dict[str, AttemptDriver] = {}
        self._link_by_start: dict[tuple[str, str], LeaseRenewer] = {}

    def handle_order(self, order: DispatchOrder) -> None:
        """Start, take over or stop the attempt that ``order`` names."""
        known = self._run_by_request.get(order.request_id)
        if known is not None:
            if known.order.fence > order.fence:
                return
            if known.order.fence == order.fence:
                if order.action == DispatchAction.STOP:
                    known.feed(StopOrdered(order))
                return
            self._forget(known)
        if not self._closing:
            self._begin(order)

    def count(self) -> int:
        """Return the number of attempts in hand."""
        return len(self._run_by_request)

    async def close(self) -> None:
        """Drop all attempts; another entry takes them over.

        Attempts that are about to start are started first, within at most
        the start permit.
        """
        self._closing = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wait_started(), START_PERMIT_S)
        for run in list(self._run_by_request.values()):
            self._forget(run)
        for link in self._link_by_start.values():
            link.close()

    async def _wait_started(self) -> None:
        while self._starting():
            self._changed.clear()
            await self._changed.wait()

    def _starting(self) -> bool:
        for run in self._run_by_request.values():
            if run.core.phase in _SHORT_PHASES:
                return True
        return False

    # Runs.

    def _begin(self, order: DispatchOrder) -> None:
        run = AttemptDriver(order, self._state, self._leader, self._calls, self)
        self._run_by_request[order.request_id] = run
        self._run_by_attempt[attempt_id(order)] = run
        run.begin()

    def attempt_changed(self, run: AttemptDriver) -> None:
        """Renew what the run now wants renewed, or forget the run."""
        self._changed.set()
        if self._run_by_request.get(run.order.request_id) is not run:
            return
        if run.dropped:
            self._forget(run)
            return
        self._link(run)

    def attempt_failed(self, run: AttemptDriver) -> None:
        """Work on the attempt again after an unexpected error.

        Taking it over is right in each state: the upstreams tell whether it
        began.
        """
        order = run.order
        if self._run_by_request.get(order.request_id) is not run:
            return
        self._forget(run)
        if order.action == DispatchAction.RUN:
            order = msgspec.structs.replace(order, action=DispatchAction.ADOPT)
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_PAUSE_S, self.handle_order, order)

    def _forget(self, run: AttemptDriver) -> None:
        run.cancel()
        if self._run_by_request.get(run.order.request_id) is not run:
            return
        del self._run_by_request[run.order.request_id]
        del self._run_by_attempt[attempt_id(run.order)]
        self._unlink(run)

    # Links.

    def _link(self, run: AttemptDriver) -> None:
        """Renew the members that the run wants renewed, and no others."""
        order = run.order
        attempt = attempt_id(order)
        tasks_by_start: dict[tuple[str, str], list[LeasedTask]] = {}
        for renewal in run.core.renewals(time.monotonic()):
            start = _start_of(order.members[renewal.member])
            task = LeasedTask(attempt, renewal.member, order.fence, renewal.known_state)
            tasks_by_start.setdefault(start, []).append(task)
        for member in order.members:
            start = _start_of(member)
            tasks = tasks_by_start.get(start, [])
            if tasks:
                self._link_to(member).set_tasks(attempt, tasks)
            else:
                self._unlink_from(start, attempt)

    def _link_to(self, member: DispatchMember) -> LeaseRenewer:
        start = _start_of(member)
        link = self._link_by_start.get(start)
        if link is None:
            link = LeaseRenewer(member, self._calls, self._take_statuses)
            self._link_by_start[start] = link
        return link

    def _unlink(self, run: AttemptDriver) -> None:
        attempt = attempt_id(run.order)
        for member in run.order.members:
            self._unlink_from(_start_of(member), attempt)

    def _unlink_from(self, start: tuple[str, str], attempt: str) -> None:
        link = self._link_by_start.get(start)
        if link is None:
            return
        link.set_tasks(attempt, [])
        if link.idle():
            link.close()
            del self._link_by_start[start]

    def _take_statuses(
        self, sent_at: float, tasks: list[LeasedTask], statuses: list[TaskStatus]
    ) -> None:
        """Hand the statuses of one renewal to the runs that asked for them."""
        fence_by_task = {}
        for task in tasks:
            fence_by_task[(task.attempt, task.member)] = task.fence
        statuses_by_attempt: dict[str, list[TaskStatus]] = {}
        for status in statuses:
            fence = fence_by_task.get((status.attempt, status.member))
            run = self._run_by_attempt.get(status.attempt)
            if run is None or fence != run.order.fence:
                continue
            statuses_by_attempt.setdefault(status.attempt, []).append(status)
        for attempt, of_run in statuses_by_attempt.items():
            run = self._run_by_attempt.get(attempt)
            if run is not None:
                run.feed(MembersRenewed(sent_at, tuple(of_run)))


def _start_of(member: DispatchMember) -> tuple[str, str]:
    return member.address, member.incarnation
