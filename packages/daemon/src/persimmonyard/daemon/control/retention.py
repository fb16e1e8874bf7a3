"""Removal of ended requests after the retention period."""

import asyncio
import time

from persimmonyard.daemon.control.replicated_state import ReplicatedState
from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import PersimmonyardError
from persimmonyard.state import ChangeEvent
from persimmonyard.state.commands import ExpireRecords

__all__ = ["RetentionController"]

RETENTION_S = 86_400.0
RETENTION_CHECK_INTERVAL_S = 60.0
MAX_EXPIRED_PER_COMMAND = 1_000


class RetentionController:
    """Remove the records of ended requests after the retention period.

    Until then, callers can still query them.
    """

    def __init__(self, replicated_state: ReplicatedState):
        self._replicated_state = replicated_state
        self._logger = get_logger("retention")

    def on_leadership_gained(self) -> None:
        """Do nothing; expired records are found in the replicated state."""

    def on_leadership_lost(self) -> None:
        """Do nothing; there is no volatile state."""

    def on_changes(self, changes: list[ChangeEvent]) -> None:
        """Do nothing; records expire only by time."""

    async def run(self) -> None:
        """Remove expired records once a minute."""
        while True:
            await asyncio.sleep(RETENTION_CHECK_INTERVAL_S)
            if self._replicated_state.is_leader():
                await self._expire(time.time() - RETENTION_S)

    async def _expire(self, before: float) -> None:
        while self._replicated_state.machine.has_expired_requests(before):
            try:
                await self._replicated_state.commit(
                    ExpireRecords(before, MAX_EXPIRED_PER_COMMAND)
                )
            except PersimmonyardError as error:
                self._logger.warning(
                    "removal of expired records not committed", error=str(error)
                )
                return
