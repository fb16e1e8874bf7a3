"""The renewal loop of an entry for one start of an upstream."""

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

FAILED_RENEWAL_PAUSE_S = 0.3


class LeasedTask(NamedTuple):
    """One task that the entry renews, and the state it knows of it."""

    attempt: str
    member: int
    fence: int
    known_state: str


class LeaseRenewer:
    """Renew all tasks that the entry holds on an upstream with one call.

    The first call after a change of the set answers at once.  Later calls
    are long polls, which the next change interrupts, so each task is renewed
    however often the set changes.
    """

    def __init__(
        self,
        target: DispatchMember,
        calls: TaskClient,
        on_statuses: Callable[[float, list[LeasedTask], list[TaskStatus]], None],
    ):
        self._target = target
        self._calls = calls
        self._on_statuses = on_statuses
        self._tasks_by_run: dict[str, list[LeasedTask]] = {}
        self._changed = asyncio.Event()
        self._logger = get_logger("link").bind(upstream=target.upstream_id)
        self._loop: asyncio.Task[None] | None = None

    def set_tasks(self, run: str, tasks: list[LeasedTask]) -> None:
        """Replace the tasks of one attempt; an empty list removes them."""
        if self._tasks_by_run.get(run, []) == tasks:
            return
        if tasks:
            self._tasks_by_run[run] = tasks
        else:
            del self._tasks_by_run[run]
        self._changed.set()
        if self._loop is None and self._tasks_by_run:
            self._loop = asyncio.create_task(self._run())

    def idle(self) -> bool:
        """Return whether there is nothing to renew."""
        return not self._tasks_by_run

    def close(self) -> None:
        """Stop renewing."""
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self) -> None:
        while True:
            if not self._tasks_by_run:
                self._changed.clear()
                await self._changed.wait()
                continue
            wait_s = 0.0 if self._changed.is_set() else RENEWAL_INTERVAL_S
            self._changed.clear()
            if not await self._renew_safely(wait_s):
                await asyncio.sleep(FAILED_RENEWAL_PAUSE_S)
                self._changed.set()

    async def _renew_safely(self, wait_s: float) -> bool:
        try:
            return await self._renew(wait_s)
        except Exception:
            # The loop must go on, or all tasks of the upstream would end.
            self._logger.exception("renewal failed")
            return False

    async def _renew(self, wait_s: float) -> bool:
        """Renew once; return whether the upstream answered in time."""
        tasks = []
        for of_run in self._tasks_by_run.values():
            tasks.extend(of_run)
        sent_at = time.monotonic()
        try:
            statuses = await self._poll(tasks, wait_s)
        except UpstreamUnreachableError:
            return False
        except PersimmonyardError as error:
            if error.code != ResultCode.UNKNOWN_ATTEMPT:
                return False
            # The upstream restarted: every task of this start is gone.
            statuses = []
            for task in tasks:
                code = int(error.code)
                statuses.append(TaskStatus(task.attempt, task.member, code=code))
        if statuses is not None:
            self._on_statuses(sent_at, tasks, statuses)
        return True

    async def _poll(
        self, tasks: list[LeasedTask], wait_s: float
    ) -> list[TaskStatus] | None:
        """Return the statuses, or ``None`` if a change came first."""
        bodies = [task._asdict() for task in tasks]
        call = self._calls.renew(self._target, bodies, wait_s)
        if wait_s == 0.0:
            return await call
        renewal = asyncio.create_task(call)
        change = asyncio.create_task(self._changed.wait())
        try:
            await asyncio.wait([renewal, change], return_when=asyncio.FIRST_COMPLETED)
            if not renewal.done():
                return None
            return renewal.result()
        finally:
            change.cancel()
            renewal.cancel()
