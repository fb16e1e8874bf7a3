"""The replicated state machine as the controllers see it."""

import time
from typing import Any, Protocol

from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.replication import (
    NotLeaderError,
    OutcomeUnknownError,
    Replica,
)
from persimmonyard.state import Change, StateMachine
from persimmonyard.state.commands import CommandResult, LogRecord, encode_record

__all__ = ["Controller", "Ledger"]


class Controller(Protocol):
    """Follows changes of the replicated state while this replica leads."""

    def lead(self) -> None:
        """Build volatile state after this replica became the leader."""

    def follow(self) -> None:
        """Drop volatile state after this replica stopped leading."""

    def changed(self, changes: list[Change]) -> None:
        """Take note of applied changes."""


class Ledger:
    """Apply committed entries, tell controllers, and commit commands."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self.controllers: list[Controller] = []
        self.replica: Replica | None = None
        self._led = False
        self._logger = get_logger("ledger")

    @property
    def leading(self) -> bool:
        """Whether controllers run and the quorum lease is valid right now."""
        return self._led and self.replica is not None and self.replica.is_leader()

    def apply(self, index: int, entry: bytes) -> Any:
        """Apply a committed entry."""
        result = self.machine.apply(index, entry)
        changes = self.machine.drain_changes()
        if self._led and changes:
            for controller in self.controllers:
                controller.changed(changes)
        return result

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self.machine.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        self.machine.restore(data)

    def check_leadership(self) -> None:
        """Start or stop the controllers when leadership has changed."""
        assert self.replica is not None
        leads = self.replica.is_leader()
        if leads == self._led:
            return
        self._led = leads
        self._logger.info("leadership changed", leading=leads)
        for controller in self.controllers:
            if leads:
                controller.lead()
            else:
                controller.follow()

    async def commit(self, command: Any, identity: str = "") -> CommandResult:
        """Return the result of a command after it is committed.

        Raises NOT_LEADER if the command was not accepted and TIMEOUT if its
        outcome is unknown.
        """
        assert self.replica is not None
        at = max(time.time(), self.machine.last_at)
        entry = encode_record(LogRecord(identity, at, command))
        try:
            return await self.replica.propose(entry)
        except NotLeaderError as error:
            raise PersimmonyardError(ResultCode.NOT_LEADER, str(error)) from error
        except OutcomeUnknownError as error:
            raise PersimmonyardError(ResultCode.TIMEOUT, str(error)) from error
