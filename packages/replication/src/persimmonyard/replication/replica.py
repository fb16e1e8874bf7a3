"""The asyncio host of a replica."""

import asyncio
from pathlib import Path
from typing import Any, Protocol

from persimmonyard.replication.log_file import LogFile

__all__ = ["Replica", "ReplicatedStateMachine"]


class ReplicatedStateMachine(Protocol):
    """What the replica applies committed entries to."""

    def apply(self, index: int, entry: bytes) -> Any:
        """Apply a committed entry and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class Replica:
    """Commit entries and apply them in order.

    Entries proposed while a sync is in progress share the next sync.
    """

    def __init__(self, replica_id: str, folder: Path, machine: ReplicatedStateMachine):
        self.replica_id = replica_id
        self._folder = folder
        self._machine = machine
        self._pending: list[tuple[bytes, asyncio.Future]] = []
        self._wake = asyncio.Event()
        self._index = 0
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Replay the log and accept proposals."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._log = LogFile(self._folder / "log")
        for entry in self._log.read():
            self._index += 1
            self._machine.apply(self._index, entry)
        self._task = asyncio.create_task(self._commit_loop())

    async def stop(self) -> None:
        """Stop committing and close the log."""
        if self._task is not None:
            self._task.cancel()
        self._log.close()

    def is_leader(self) -> bool:
        """Return whether this replica leads under a valid quorum lease."""
        return self._task is not None

    def leader_hint(self) -> str:
        """Return the identity of the replica that probably leads."""
        return self.replica_id

    async def propose(self, entry: bytes) -> Any:
        """Return the result of applying ``entry`` after it is committed.

        Raises ``NotLeaderError`` if the entry was not accepted, and
        ``OutcomeUnknownError`` if it may still be committed.
        """
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._pending.append((entry, future))
        self._wake.set()
        return await future

    async def _commit_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch = self._pending
            self._pending = []
            self._log.append([entry for entry, _ in batch])
            await asyncio.to_thread(self._log.sync)
            for entry, future in batch:
                self._index += 1
                result = self._machine.apply(self._index, entry)
                if not future.done():
                    future.set_result(result)
