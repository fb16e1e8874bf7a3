"""The asyncio host of a replica core."""

import asyncio
import gc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any, NamedTuple

from persimmonyard.replication.clock import boottime_now
from persimmonyard.replication.config import CoreConfig
from persimmonyard.replication.core import ReplicaCore
from persimmonyard.replication.errors import (
    SYNC_FAILED,
    NotLeaderError,
    OutcomeUnknownError,
)
from persimmonyard.replication.events import (
    Action,
    Apply,
    Event,
    MemberAdded,
    MemberRemoved,
    Proposed,
    Received,
    Restore,
    Rewrite,
    Role,
    RoleChanged,
    Send,
    SendChunk,
    SnapshotReceived,
    SnapshotSaved,
    Stop,
    StoreChunk,
    Sync,
    Synced,
    SyncFailed,
    Tick,
    TransferRequested,
    Write,
)
from persimmonyard.replication.interface import (
    ReplicaStatus,
    ReplicatedStateMachine,
    Transport,
)
from persimmonyard.replication.messages import Chunk, EntryKind, Message, SnapshotMeta
from persimmonyard.replication.storage import Storage

__all__ = ["Replica"]

MAX_PROPOSALS_IN_FLIGHT = 4_096
SNAPSHOT_AFTER_BYTES = 16 << 20
TRANSFER_WAIT_S = 2.0


class _Proposal(NamedTuple):
    entry: bytes
    future: asyncio.Future


class _Waiting(NamedTuple):
    term: int
    future: asyncio.Future


class Replica:
    """Commit entries through the group and apply them in order.

    ``on_failure`` is called with a result code if the replica has to stop.
    Entries proposed while a sync is in progress share the next sync.
    """

    def __init__(
        self,
        config: CoreConfig,
        disk: Storage,
        transport: Transport,
        machine: ReplicatedStateMachine,
        on_failure: Callable[[int], None] = lambda code: None,
    ):
        self._config = config
        self._disk = disk
        self._transport = transport
        self._machine = machine
        self._on_failure = on_failure
        self.disk_error: Exception | None = None
        self._slots = asyncio.Semaphore(MAX_PROPOSALS_IN_FLIGHT)
        self._proposals: list[_Proposal] = []
        self._waiting_by_index: dict[int, _Waiting] = {}
        self._changes: list[Write | Rewrite] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline = 0.0
        self._disk_thread = ThreadPoolExecutor(1, "replica-disk")
        self._tasks: set[asyncio.Task] = set()
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = 0
        self._saving = False
        self._received = b""
        self._core: ReplicaCore | None = None
        self._stopped = False

    # Life cycle.

    async def start(self) -> None:
        """Load the folder and join the group.

        Raises ``LogDamagedError`` if the folder is damaged.
        """
        self._loop = asyncio.get_running_loop()
        loaded = await self._loop.run_in_executor(
            self._disk_thread, self._disk.load, self._config.replica_id
        )
        if loaded.snapshot is not None:
            self._restore(loaded.snapshot)
            self._snapshot_bytes = len(loaded.snapshot)
        incarnation = loaded.identity.incarnation
        config = replace(self._config, incarnation=incarnation)
        self._core = ReplicaCore(config, loaded.state, boottime_now())
        for entry in loaded.state.entries:
            self._bytes_since_snapshot += len(entry.data)
        self._members = self._core.members
        self._transport.set_addresses(self._members.address_by_name)
        await self._transport.start(self._receive)
        self._step(Tick())

    async def stop(self) -> None:
        """Hand leadership over if this replica leads, then stop."""
        core = self._core
        if core is not None and core.role == Role.LEADER and not self._stopped:
            self._step(TransferRequested())
            await self._wait_for_successor(core)
        self._shut_down()
        for task in list(self._tasks):
            task.cancel()
        await self._transport.stop()
        # A sync in progress ends before the file is closed.
        await asyncio.to_thread(self._disk_thread.shutdown)
        if core is not None:
            self._disk.close()

    async def _wait_for_successor(self, core: ReplicaCore) -> None:
        own = self._config.replica_id
        if len(core.members.voters) < 2:
            return
        deadline = boottime_now() + TRANSFER_WAIT_S
        while boottime_now() < deadline:
            if core.role != Role.LEADER and core.leader not in ("", own):
                return
            await asyncio.sleep(0.01)

    def _shut_down(self) -> None:
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._fail_waiting()

    # Reading.

    def is_leader(self) -> bool:
        """Return whether this replica leads under a valid quorum lease."""
        if self._core is None or self._stopped:
            return False
        return self._core.leads(boottime_now())

    def leader_hint(self) -> str:
        """Return the identity of the replica that probably leads."""
        return self._core.leader if self._core is not None else ""

    def status(self) -> ReplicaStatus:
        """Return what an operator sees."""
        core = self._core
        assert core is not None
        return ReplicaStatus(
            str(core.role),
            core.term,
            core.leader,
            core.commit,
            core.applied,
            core.log.last_index,
            core.recovering,
            tuple(core.members.voters),
            tuple(core.members.learners),
        )

    def silent_voters(self, silence_s: float) -> list[str]:
        """Return the voters that this leader has not heard for so long."""
        core = self._core
        if core is None or not self.is_leader() or core.leadership is None:
            return []
        return core.leadership.silent_voters(core.members, boottime_now() - silence_s)

    # Proposing.

    async def propose(self, entry: bytes) -> Any:
        """Return the result of applying ``entry`` after it is committed.

        Raises ``NotLeaderError`` if the entry was not accepted, and
        ``OutcomeUnknownError`` if it may still be committed.  Cancelling the
        call does not take the entry back.
        """
        async with self._slots:
            if not self.is_leader():
                raise NotLeaderError(self.leader_hint())
            future: asyncio.Future = self._loop.create_future()
            if not self._proposals:
                self._loop.call_soon(self._flush)
            self._proposals.append(_Proposal(entry, future))
            return await future

    def _flush(self) -> None:
        """Append everything proposed since the last turn of the loop."""
        proposals = self._proposals
        self._proposals = []
        if not self.is_leader():
            for proposal in proposals:
                _fail(proposal.future, NotLeaderError(self.leader_hint()))
            return
        core = self._core
        assert core is not None
        index = core.log.last_index
        self._step(Proposed([proposal.entry for proposal in proposals]))
        accepted = core.log.last_index > index
        for proposal in proposals:
            index += 1
            if not accepted:
                _fail(proposal.future, NotLeaderError(self.leader_hint()))
                continue
            self._waiting_by_index[index] = _Waiting(core.term, proposal.future)
        if core.role != Role.LEADER:
            self._fail_waiting()

    async def add_member(self, name: str, address: str) -> None:
        """Add a replica; it becomes a voter once it has caught up.

        Raises ``MemberChangeError`` if no change is possible now.
        """
        self._step(MemberAdded(name, address))

    async def remove_member(self, name: str) -> None:
        """Remove a replica; raise ``MemberChangeError`` if impossible now."""
        self._step(MemberRemoved(name))

    # Driving the core.

    def _receive(self, sender: str, message: Message) -> None:
        self._step(Received(sender, message))

    def _step(self, event: Event) -> None:
        core = self._core
        if core is None or self._stopped:
            return
        actions = core.step(event, boottime_now())
        for action in actions:
            self._carry_out(action)
        if core.members is not self._members:
            self._members = core.members
            self._transport.set_addresses(core.members.address_by_name)
        if not self._stopped:
            self._set_timer(core.next_deadline())
            self._consider_snapshot(core)

    def _set_timer(self, deadline: float) -> None:
        if self._timer is not None:
            # A deadline moves back with every heartbeat; an early tick is
            # cheaper than a new timer each time.
            if self._timer_deadline <= deadline:
                return
            self._timer.cancel()
        self._timer_deadline = deadline
        delay = max(0.0, deadline - boottime_now())
        self._timer = self._loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._step(Tick())

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send(to, message):
                self._transport.send(to, message)
            case Write() | Rewrite():
                self._changes.append(action)
            case Sync(token):
                self._run(self._commit(token))
            case Apply(index, entry):
                self._apply(index, entry.term, entry.kind, entry.data)
            case Restore():
                self._restore(self._received)
            case SendChunk(to, chunk):
                self._run(self._send_chunk(to, chunk))
            case StoreChunk(chunk):
                self._run(self._store_chunk(chunk))
            case RoleChanged(role):
                if role != Role.LEADER:
                    self._fail_waiting()
            case Stop(code):
                self._shut_down()
                self._on_failure(code)

    def _run(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _in_disk_thread(self, call: Callable, *arguments: Any) -> Any:
        return await self._loop.run_in_executor(self._disk_thread, call, *arguments)

    async def _commit(self, token: int) -> None:
        changes = self._changes
        self._changes = []
        try:
            await self._in_disk_thread(self._disk.persist, changes)
        except Exception as error:
            # Whatever went wrong, the changes may not be durable.
            self.disk_error = error
            self._step(SyncFailed())
            return
        self._step(Synced(token))

    def _fail_disk(self) -> None:
        if not self._stopped:
            self._shut_down()
            self._on_failure(SYNC_FAILED)

    # Applying.

    def _apply(self, index: int, term: int, kind: EntryKind, data: bytes) -> None:
        self._bytes_since_snapshot += len(data)
        waiting = self._waiting_by_index.pop(index, None)
        if kind != EntryKind.COMMAND:
            return
        result = self._machine.apply(index, data)
        if waiting is None or waiting.future.done():
            return
        if waiting.term != term:
            _fail(waiting.future, NotLeaderError(self.leader_hint()))
            return
        waiting.future.set_result(result)

    def _fail_waiting(self) -> None:
        """End calls whose entries a later leader may keep or drop."""
        waiting = list(self._waiting_by_index.values())
        self._waiting_by_index = {}
        for one in waiting:
            _fail(one.future, OutcomeUnknownError("leadership was lost"))
        proposals = self._proposals
        self._proposals = []
        for proposal in proposals:
            _fail(proposal.future, NotLeaderError(self.leader_hint()))

    # Snapshots.

    def _restore(self, data: bytes) -> None:
        """Restore the state without collections of garbage meanwhile.

        Everything that is created stays, and collections took half of the
        time for a state of 47,000 tasks.
        """
        enabled = gc.isenabled()
        gc.disable()
        try:
            self._machine.restore(data)
        finally:
            if enabled:
                gc.enable()

    def _consider_snapshot(self, core: ReplicaCore) -> None:
        """Save a snapshot when the log outweighs the state."""
        limit = max(SNAPSHOT_AFTER_BYTES, self._snapshot_bytes)
        if self._saving or self._bytes_since_snapshot < limit:
            return
        if core.applied <= core.snapshot.index:
            return
        self._saving = True
        self._bytes_since_snapshot = 0
        data = self._machine.snapshot()
        self._snapshot_bytes = len(data)
        self._run(self._save_snapshot(core.snapshot_point(), data))

    async def _save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        try:
            await asyncio.to_thread(self._disk.save_snapshot, meta, data)
        except OSError:
            self._fail_disk()
            return
        self._saving = False
        self._step(SnapshotSaved(meta))

    async def _send_chunk(self, to: str, chunk: Chunk) -> None:
        found = await asyncio.to_thread(self._disk.read_chunk, chunk.offset)
        if found.index == chunk.meta.index:
            filled = Chunk(
                chunk.term,
                chunk.meta,
                chunk.offset,
                chunk.sent_at,
                found.data,
                found.done,
            )
            self._transport.send(to, filled)

    async def _store_chunk(self, chunk: Chunk) -> None:
        try:
            meta = await self._in_disk_thread(self._disk.store_chunk, chunk)
            if meta is None:
                return
            if meta.index:
                self._received = await self._in_disk_thread(self._disk.load_snapshot)
        except OSError:
            self._fail_disk()
            return
        self._step(SnapshotReceived(meta))
        self._received = b""


def _fail(future: asyncio.Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
