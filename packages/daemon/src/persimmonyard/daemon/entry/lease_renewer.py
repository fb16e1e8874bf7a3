"""The loop that renews an entry's task leases on one upstream."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from persimmonyard.daemon.entry.attempt_events import TaskStatus
from persimmonyard.daemon.entry.task_client import (
    TaskClient,
    UpstreamUnreachableError,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import RENEWAL_INTERVAL_S
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.wire import DispatchMember

__all__ = ["LeaseRenewer", "LeasedTask"]

RETRY_DELAY_S = 0.3


class LeasedTask(NamedTuple):
    """A task whose lease the entry renews, and its last known state."""

    attempt: str
    member: int
    fence: int
    known_state: str


class LeaseRenewer:
    """Renews all task leases of the entry on one incarnation of an upstream.

    One call renews all tasks.  The first call after a change of the set of
    tasks returns immediately.  Later calls are long polls, which the next
    change interrupts, so each task is renewed however often the set changes.
    """

    def __init__(
        self,
        target: DispatchMember,
        task_client: TaskClient,
        on_statuses: Callable[[float, list[LeasedTask], list[TaskStatus]], None],
        on_silence: Callable[[list[LeasedTask]], None],
    ):
        self._target = target
        self._task_client = task_client
        self._on_statuses = on_statuses
        self._on_silence = on_silence
        self._tasks_by_attempt: dict[str, list[LeasedTask]] = {}
        self._tasks_changed = asyncio.Event()
        self._logger = get_logger("link").bind(upstream=target.upstream_id)
        self._loop_task: asyncio.Task[None] | None = None

    def set_tasks(self, attempt: str, tasks: list[LeasedTask]) -> None:
        """Replace the tasks of an attempt; an empty list removes them."""
        if self._tasks_by_attempt.get(attempt, []) == tasks:
            return
        if tasks:
            self._tasks_by_attempt[attempt] = tasks
        else:
            del self._tasks_by_attempt[attempt]
        self._tasks_changed.set()
        if self._loop_task is None and self._tasks_by_attempt:
            self._loop_task = asyncio.create_task(self._renew_forever())

    def is_idle(self) -> bool:
        """Return whether there are no tasks to renew."""
        return not self._tasks_by_attempt

    def close(self) -> None:
        """Stop renewing."""
        if self._loop_task is not None:
            self._loop_task.cancel()

    async def _renew_forever(self) -> None:
        while True:
            if not self._tasks_by_attempt:
                self._tasks_changed.clear()
                await self._tasks_changed.wait()
                continue
            wait_s = 0.0 if self._tasks_changed.is_set() else RENEWAL_INTERVAL_S
            self._tasks_changed.clear()
            if not await self._renew_safely(wait_s):
                await asyncio.sleep(RETRY_DELAY_S)
                self._tasks_changed.set()

    async def _renew_safely(self, wait_s: float) -> bool:
        try:
            return await self._renew(wait_s)
        except Exception:
            # Without renewals all tasks on the upstream would end, so the
            # loop continues after any error.
            self._logger.exception("renewal failed")
            return False

    async def _renew(self, wait_s: float) -> bool:
        """Renew all tasks once; return ``False`` if the call failed."""
        tasks = []
        for attempt_tasks in self._tasks_by_attempt.values():
            tasks.extend(attempt_tasks)
        sent_at = time.monotonic()
        try:
            statuses = await self._call_upstream(tasks, wait_s)
        except UpstreamUnreachableError:
            self._on_silence(tasks)
            return False
        except PersimmonyardError as error:
            if error.code != ResultCode.UNKNOWN_ATTEMPT:
                return False
            # The upstream restarted: all tasks of this incarnation are lost.
            statuses = []
            for task in tasks:
                code = int(error.code)
                statuses.append(TaskStatus(task.attempt, task.member, code=code))
        if statuses is not None:
            self._on_statuses(sent_at, tasks, statuses)
        return True

    async def _call_upstream(
        self, tasks: list[LeasedTask], wait_s: float
    ) -> list[TaskStatus] | None:
        """Return the statuses, or ``None`` if the tasks changed first."""
        bodies = [task._asdict() for task in tasks]
        call = self._task_client.renew(self._target, bodies, wait_s)
        if wait_s == 0.0:
            return await call
        renewal = asyncio.create_task(call)
        tasks_changed = asyncio.create_task(self._tasks_changed.wait())
        try:
            await asyncio.wait(
                [renewal, tasks_changed], return_when=asyncio.FIRST_COMPLETED
            )
            if not renewal.done():
                return None
            return renewal.result()
        finally:
            tasks_changed.cancel()
            renewal.cancel()
