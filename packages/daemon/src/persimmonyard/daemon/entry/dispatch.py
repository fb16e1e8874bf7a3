"""Dispatch of attempts and renewal of their task leases."""

import asyncio
import contextlib
import time

import msgspec

from persimmonyard.daemon.entry.attempt_driver import AttemptDriver
from persimmonyard.daemon.entry.attempt_events import (
    MembersRenewed,
    MembersSilent,
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

# Delay before an attempt is resumed after an unexpected error.
RESTART_DELAY_S = 1.0

# Closing between the starts of a gang's members would end the gang, so a
# graceful shutdown waits until these phases are over.  They last at most as
# long as the start permit.
_START_PHASES = (Phase.ASKING, Phase.SENDING)


class Dispatcher:
    """Executes the dispatch orders of the control leader.

    Each attempt has an ``AttemptDriver``, and each incarnation of an upstream
    has a ``LeaseRenewer``, which all attempts on it share.
    """

    def __init__(
        self, state: LocalState, leader: LeaderClient, task_client: TaskClient
    ):
        self._state = state
        self._leader = leader
        self._task_client = task_client
        self._logger = get_logger("dispatch")
        self._closing = False
        self._state_changed = asyncio.Event()
        self._driver_by_request: dict[str, AttemptDriver] = {}
        self._driver_by_attempt: dict[str, AttemptDriver] = {}
        self._renewer_by_incarnation: dict[tuple[str, str], LeaseRenewer] = {}

    def handle_order(self, order: DispatchOrder) -> None:
        """Start, take over or stop the attempt that ``order`` names.

        An order with an older fence than the last one is ignored.
        """
        current = self._driver_by_request.get(order.request_id)
        if current is not None:
            if current.order.fence > order.fence:
                return
            if current.order.fence == order.fence:
                if order.action == DispatchAction.STOP:
                    current.handle_event(StopOrdered(order))
                return
            self._discard(current)
        if not self._closing:
            self._begin(order)

    def count(self) -> int:
        """Return the number of attempts that this entry dispatches."""
        return len(self._driver_by_request)

    async def close(self) -> None:
        """Discard all attempts; another entry takes them over.

        Attempts in a start phase are started first, which takes at most the
        duration of the start permit.
        """
        self._closing = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wait_until_started(), START_PERMIT_S)
        for driver in list(self._driver_by_request.values()):
            self._discard(driver)
        for renewer in self._renewer_by_incarnation.values():
            renewer.close()

    async def _wait_until_started(self) -> None:
        while self._is_starting():
            self._state_changed.clear()
            await self._state_changed.wait()

    def _is_starting(self) -> bool:
        for driver in self._driver_by_request.values():
            if driver.core.phase in _START_PHASES:
                return True
        return False

    def _begin(self, order: DispatchOrder) -> None:
        driver = AttemptDriver(
            order, self._state, self._leader, self._task_client, self
        )
        self._driver_by_request[order.request_id] = driver
        self._driver_by_attempt[attempt_id(order)] = driver
        driver.begin()

    def attempt_changed(self, driver: AttemptDriver) -> None:
        """Update the renewals of the attempt, or discard it if dropped."""
        self._state_changed.set()
        if self._driver_by_request.get(driver.order.request_id) is not driver:
            return
        if driver.dropped:
            self._discard(driver)
            return
        self._update_renewals(driver)

    def attempt_failed(self, driver: AttemptDriver) -> None:
        """Resume the attempt after an unexpected error.

        The new driver takes the attempt over, which is safe in every state,
        because the upstreams report whether it began.
        """
        order = driver.order
        if self._driver_by_request.get(order.request_id) is not driver:
            return
        self._discard(driver)
        if order.action == DispatchAction.RUN:
            order = msgspec.structs.replace(order, action=DispatchAction.ADOPT)
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_DELAY_S, self.handle_order, order)

    def _discard(self, driver: AttemptDriver) -> None:
        driver.cancel()
        if self._driver_by_request.get(driver.order.request_id) is not driver:
            return
        del self._driver_by_request[driver.order.request_id]
        del self._driver_by_attempt[attempt_id(driver.order)]
        self._remove_renewals(driver)

    def _update_renewals(self, driver: AttemptDriver) -> None:
        """Renew exactly the members whose renewal the core requests."""
        order = driver.order
        attempt = attempt_id(order)
        tasks_by_incarnation: dict[tuple[str, str], list[LeasedTask]] = {}
        for renewal in driver.core.renewals(time.monotonic()):
            incarnation = _incarnation_key(order.members[renewal.member])
            task = LeasedTask(attempt, renewal.member, order.fence, renewal.known_state)
            tasks_by_incarnation.setdefault(incarnation, []).append(task)
        for member in order.members:
            incarnation = _incarnation_key(member)
            tasks = tasks_by_incarnation.get(incarnation, [])
            if tasks:
                self._renewer_for(member).set_tasks(attempt, tasks)
            else:
                self._remove_tasks(incarnation, attempt)

    def _renewer_for(self, member: DispatchMember) -> LeaseRenewer:
        incarnation = _incarnation_key(member)
        renewer = self._renewer_by_incarnation.get(incarnation)
        if renewer is None:
            renewer = LeaseRenewer(
                member,
                self._task_client,
                self._deliver_statuses,
                self._deliver_silence,
            )
            self._renewer_by_incarnation[incarnation] = renewer
        return renewer

    def _remove_renewals(self, driver: AttemptDriver) -> None:
        attempt = attempt_id(driver.order)
        for member in driver.order.members:
            self._remove_tasks(_incarnation_key(member), attempt)

    def _remove_tasks(self, incarnation: tuple[str, str], attempt: str) -> None:
        renewer = self._renewer_by_incarnation.get(incarnation)
        if renewer is None:
            return
        renewer.set_tasks(attempt, [])
        if renewer.is_idle():
            renewer.close()
            del self._renewer_by_incarnation[incarnation]

    def _deliver_statuses(
        self, sent_at: float, tasks: list[LeasedTask], statuses: list[TaskStatus]
    ) -> None:
        """Pass the statuses of one renewal to the drivers of their attempts.

        Statuses for another fence than that of the driver are ignored.
        """
        fence_by_task = {}
        for task in tasks:
            fence_by_task[(task.attempt, task.member)] = task.fence
        statuses_by_attempt: dict[str, list[TaskStatus]] = {}
        for status in statuses:
            fence = fence_by_task.get((status.attempt, status.member))
            driver = self._driver_by_attempt.get(status.attempt)
            if driver is None or fence != driver.order.fence:
                continue
            statuses_by_attempt.setdefault(status.attempt, []).append(status)
        for attempt, attempt_statuses in statuses_by_attempt.items():
            driver = self._driver_by_attempt.get(attempt)
            if driver is not None:
                driver.handle_event(MembersRenewed(sent_at, tuple(attempt_statuses)))

    def _deliver_silence(self, tasks: list[LeasedTask]) -> None:
        """Tell the drivers of an upstream's tasks that a renewal failed."""
        members_by_attempt: dict[tuple[str, int], list[int]] = {}
        for task in tasks:
            key = (task.attempt, task.fence)
            members_by_attempt.setdefault(key, []).append(task.member)
        for (attempt, fence), members in members_by_attempt.items():
            driver = self._driver_by_attempt.get(attempt)
            if driver is not None and driver.order.fence == fence:
                driver.handle_event(MembersSilent(tuple(members)))


def _incarnation_key(member: DispatchMember) -> tuple[str, str]:
    return member.address, member.incarnation
