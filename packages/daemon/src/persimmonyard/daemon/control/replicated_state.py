"""Access of the controllers to the replicated state machine."""

import time
from collections.abc import Callable
from typing import Any, Protocol

from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.replication import (
    NotLeaderError,
    OutcomeUnknownError,
    Replica,
    Role,
)
from persimmonyard.state import ChangeEvent, StateMachine
from persimmonyard.state.commands import CommandResult, LogRecord, encode_record

__all__ = ["Controller", "ReplicatedState"]


class Controller(Protocol):
    """Acts on changes of the replicated state while this replica leads."""

    def on_leadership_gained(self) -> None:
        """Build the volatile state when this replica becomes the leader."""

    def on_leadership_lost(self) -> None:
        """Discard the volatile state when this replica stops leading."""

    def on_changes(self, changes: list[ChangeEvent]) -> None:
        """Process changes that were applied; called only while leading."""


class ReplicatedState:
    """Apply committed entries, notify controllers and commit commands.

    It is the ``ReplicatedStateMachine`` of the replica.  ``clock`` returns
    monotonic seconds, by which controllers measure leases.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.machine = StateMachine()
        self.controllers: list[Controller] = []
        self.replica: Replica | None = None
        self._active_term: int | None = None
        self._logger = get_logger("ledger")

    def apply(self, index: int, entry: bytes) -> Any:
        """Apply a committed entry and return its result."""
        result = self.machine.apply(index, entry)
        changes = self.machine.take_change_events()
        if self._active_term is not None and changes:
            for controller in self.controllers:
                controller.on_changes(changes)
        return result

    def snapshot(self) -> bytes:
        """Return the whole state, serialized."""
        return self.machine.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        self.machine.restore(data)

    def is_leader(self) -> bool:
        """Return whether this replica leads and its quorum lease is valid now.

        Only then may it answer reads and grant leases.
        """
        if self._active_term is None or self.replica is None:
            return False
        return self.replica.is_leader()

    def check_leadership(self) -> None:
        """Start or stop the controllers when leadership has changed.

        A quorum lease that expires briefly within one term only pauses
        decisions.  No other replica can have led in between, so the
        controllers keep their volatile state.
        """
        term = self._current_leader_term()
        if term == self._active_term:
            return
        self._logger.info("leadership changed", term=term, before=self._active_term)
        if self._active_term is not None:
            self._active_term = None
            for controller in self.controllers:
                controller.on_leadership_lost()
        if term is not None:
            self._active_term = term
            for controller in self.controllers:
                controller.on_leadership_gained()

    def _current_leader_term(self) -> int | None:
        assert self.replica is not None
        status = self.replica.status()
        if status.role != Role.LEADER:
            return None
        if status.term == self._active_term or self.replica.is_leader():
            return status.term
        return None

    async def commit(self, command: Any, identity: str = "") -> CommandResult:
        """Commit a command and return its result.

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
