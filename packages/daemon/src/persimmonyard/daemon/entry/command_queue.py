"""A fair queue of the commands that wait for a call to the control leader."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult

__all__ = ["CommandQueue", "QueuedCommand"]


@dataclass(eq=False)
class QueuedCommand:
    """A command and the future of its result.

    ``account`` is the client account that the command is for; it is empty
    for the entry's own commands.  ``size`` is in bytes, ``deadline`` a time
    of the monotonic clock.  ``in_flight`` is true during a call with the
    command, ``was_sent`` from the first such call on.  ``outcome_unknown`` is
    true if a call with the command ended and it is unknown whether the leader
    applied it.
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
    """A bounded queue that serves client accounts round-robin.

    The entry's own commands go first and are never refused.  Each concerns
    work that is already recorded, which bounds their number.  When the queue
    is full, the newest command of the account with the most commands is
    evicted, so that a burst of one account cannot starve the others.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._account_command_count = 0
        self._own_commands: deque[QueuedCommand] = deque()
        self._commands_by_account: OrderedDict[str, deque[QueuedCommand]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return self._account_command_count + len(self._own_commands)

    def put(self, item: QueuedCommand) -> None:
        """Add a command; raise OVERLOADED if there is no room for it."""
        if not item.account:
            self._own_commands.append(item)
            return
        if self._account_command_count >= self._limit:
            self._evict_for(item.account)
        self._commands_by_account.setdefault(item.account, deque()).append(item)
        self._account_command_count += 1

    def requeue(self, items: list[QueuedCommand]) -> None:
        """Put the commands of a failed call back at the front."""
        for item in reversed(items):
            item.in_flight = False
            if not item.account:
                self._own_commands.appendleft(item)
                continue
            commands = self._commands_by_account.setdefault(item.account, deque())
            commands.appendleft(item)
            self._account_command_count += 1

    def take_batch(
        self, max_count: int, max_bytes: int, now: float
    ) -> list[QueuedCommand]:
        """Remove and return the commands for the next call.

        They are at most ``max_count`` with at most ``max_bytes`` bytes in
        total; a single command may be larger.  Commands whose caller no
        longer waits or whose deadline has passed are dropped.
        """
        taken: list[QueuedCommand] = []
        remaining_bytes = max_bytes
        while len(taken) < max_count:
            item = self._pop_next()
            if item is None:
                break
            if item.future.done() or item.deadline <= now:
                continue
            if taken and item.size > remaining_bytes:
                self.requeue([item])
                break
            remaining_bytes -= item.size
            item.in_flight = True
            item.was_sent = True
            taken.append(item)
        return taken

    def _pop_next(self) -> QueuedCommand | None:
        if self._own_commands:
            return self._own_commands.popleft()
        if not self._commands_by_account:
            return None
        account, commands = next(iter(self._commands_by_account.items()))
        item = commands.popleft()
        self._account_command_count -= 1
        if commands:
            self._commands_by_account.move_to_end(account)
        else:
            del self._commands_by_account[account]
        return item

    def _evict_for(self, account: str) -> None:
        self._drop_finished()
        if self._account_command_count < self._limit:
            return
        largest = max(
            self._commands_by_account,
            key=lambda name: len(self._commands_by_account[name]),
        )
        own_count = len(self._commands_by_account.get(account, ()))
        victims = self._commands_by_account[largest]
        # A command that was sent before may be recorded already, so the
        # caller must not be told that it was refused.
        if own_count + 1 >= len(victims) or victims[-1].was_sent:
            raise _overloaded_error()
        victim = victims.pop()
        self._account_command_count -= 1
        victim.future.set_exception(_overloaded_error())

    def _drop_finished(self) -> None:
        for account in list(self._commands_by_account):
            commands = self._commands_by_account[account]
            remaining = deque(item for item in commands if not item.future.done())
            self._account_command_count -= len(commands) - len(remaining)
            if remaining:
                self._commands_by_account[account] = remaining
            else:
                del self._commands_by_account[account]


def _overloaded_error() -> PersimmonyardError:
    return PersimmonyardError(
        ResultCode.OVERLOADED, "too many commands wait for the control leader"
    )
