"""Commands that wait for a call to the control leader, fair by account."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult

__all__ = ["CommandQueue", "QueuedCommand"]


@dataclass(eq=False)
class QueuedCommand:
    """One command and the future of its result.

    ``account`` is the client account that it is for; the entry's own
    commands have none.  ``deadline`` is a time of the monotonic clock.
    ``uncertain`` says that a call with it ended without a known outcome.
    """

    account: str
    message: Any
    size: int
    deadline: float
    future: asyncio.Future[CommandResult]
    in_flight: bool = False
    outcome_unknown: bool = False
    was_sent: bool = False


class CommandQueue:
    """A bounded queue that serves client accounts in turn.

    The entry's own commands go first and are never refused: each of them is
    about work that is already recorded, and their number is bounded by it.
    When the queue is full, the newest command of the account with the most
    commands gives way, so one account's burst cannot shut the others out.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._count = 0
        self._own: deque[QueuedCommand] = deque()
        self._waiting_by_account: OrderedDict[str, deque[QueuedCommand]] = OrderedDict()

    def __len__(self) -> int:
        return self._count + len(self._own)

    def put(self, item: QueuedCommand) -> None:
        """Add a command; raise OVERLOADED if there is no room for it."""
        if not item.account:
            self._own.append(item)
            return
        if self._count >= self._limit:
            self._make_room(item.account)
        self._waiting_by_account.setdefault(item.account, deque()).append(item)
        self._count += 1

    def requeue(self, items: list[QueuedCommand]) -> None:
        """Return commands of an unsuccessful call to the front."""
        for item in reversed(items):
            item.in_flight = False
            if not item.account:
                self._own.appendleft(item)
                continue
            waiting = self._waiting_by_account.setdefault(item.account, deque())
            waiting.appendleft(item)
            self._count += 1

    def take_batch(self, count: int, size: int, now: float) -> list[QueuedCommand]:
        """Return at most ``count`` commands of together ``size`` bytes.

        One command is returned even if it is larger.  Commands whose caller
        is gone, or whose deadline has passed, are dropped without a call.
        """
        taken: list[QueuedCommand] = []
        room = size
        while len(taken) < count:
            item = self._next()
            if item is None:
                break
            if item.future.done() or item.deadline <= now:
                continue
            if taken and item.size > room:
                self.requeue([item])
                break
            room -= item.size
            item.in_flight = True
            item.was_sent = True
            taken.append(item)
        return taken

    def _next(self) -> QueuedCommand | None:
        if self._own:
            return self._own.popleft()
        if not self._waiting_by_account:
            return None
        account, waiting = next(iter(self._waiting_by_account.items()))
        item = waiting.popleft()
        self._count -= 1
        if waiting:
            self._waiting_by_account.move_to_end(account)
        else:
            del self._waiting_by_account[account]
        return item

    def _make_room(self, account: str) -> None:
        self._drop_abandoned()
        if self._count < self._limit:
            return
        largest = max(
            self._waiting_by_account, key=lambda n: len(self._waiting_by_account[n])
        )
        own_count = len(self._waiting_by_account.get(account, ()))
        victims = self._waiting_by_account[largest]
        # A command that was part of a call may be recorded already, so its
        # refusal would not be true.
        if own_count + 1 >= len(victims) or victims[-1].was_sent:
            raise _overloaded()
        victim = victims.pop()
        self._count -= 1
        victim.future.set_exception(_overloaded())

    def _drop_abandoned(self) -> None:
        for account in list(self._waiting_by_account):
            waiting = self._waiting_by_account[account]
            kept = deque(item for item in waiting if not item.future.done())
            self._count -= len(waiting) - len(kept)
            if kept:
                self._waiting_by_account[account] = kept
            else:
                del self._waiting_by_account[account]


def _overloaded() -> PersimmonyardError:
    return PersimmonyardError(
        ResultCode.OVERLOADED, "too many commands wait for the control leader"
    )
