"""Runs a replica core in asyncio, with real storage and transport."""

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
    LOG_DAMAGED,
    SYNC_FAILED,
    LogDamagedError,
    MemberChangeError,
    NotLeaderError,
    OutcomeUnknownError,
    WriteRefusedError,
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
    WriteRefused,
)
from persimmonyard.replication.interface import (
    DiskEvent,
    ReplicaStatus,
    ReplicatedStateMachine,
    Resumed,
    SnapshotRefused,
    SnapshotUnreadable,
    Suspended,
    Transport,
)
from persimmonyard.replication.messages import (
    EntryKind,
    Members,
    Message,
    SnapshotChunk,
    SnapshotMeta,
)
from persimmonyard.replication.storage import LoadedState, Storage

__all__ = ["Replica"]

MAX_PROPOSALS_IN_FLIGHT = 4_096
SNAPSHOT_AFTER_BYTES = 16 << 20
TRANSFER_TIMEOUT_S = 2.0
# Delays between attempts to write again after a refused write, in seconds.
# Each is twice the one before.  They start anew if the disk has accepted
# writes for longer than the longest delay.
FIRST_DISK_RETRY_S = 0.1
MAX_DISK_RETRY_S = 2.0


class _Proposal(NamedTuple):
    """A proposal that is not in the log yet."""

    entry: bytes
    future: asyncio.Future


class _AppendedProposal(NamedTuple):
    """A proposal that was appended in ``term`` and is not committed yet."""

    term: int
    future: asyncio.Future


class Replica:
    """One replica: commits entries with the group and applies them in order.

    ``on_failure`` is called with a result code if the replica has to stop,
    and ``on_disk_event`` when the disk refuses writes or accepts them again.
    ``disk_error`` is the last error of the disk.  Entries proposed during a
    sync share the next one.

    While writes are refused the replica is suspended: it drops all messages,
    so it neither votes nor acknowledges anything.  When it can write again it
    continues with what is durable, as after a restart.
    """

    def __init__(
        self,
        config: CoreConfig,
        storage: Storage,
        transport: Transport,
        state_machine: ReplicatedStateMachine,
        on_failure: Callable[[int], None] = lambda code: None,
        on_disk_event: Callable[[DiskEvent], None] = lambda event: None,
    ):
        self._config = config
        self._storage = storage
        self._transport = transport
        self._state_machine = state_machine
        self._on_failure = on_failure
        self._on_disk_event = on_disk_event
        self.disk_error: Exception | None = None
        self._in_flight_limit = asyncio.Semaphore(MAX_PROPOSALS_IN_FLIGHT)
        self._queued_proposals: list[_Proposal] = []
        self._appended_by_index: dict[int, _AppendedProposal] = {}
        self._pending_changes: list[Write | Rewrite] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline = 0.0
        self._disk_thread = ThreadPoolExecutor(1, "replica-disk")
        self._tasks: set[asyncio.Task] = set()
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = 0
        self._saving_snapshot = False
        self._snapshot_unreadable = False
        self._received_snapshot = b""
        self._core: ReplicaCore | None = None
        self._stopped = False
        self._resume_task: asyncio.Task[None] | None = None
        self._disk_retry_s = FIRST_DISK_RETRY_S
        self._resumed_at = float("-inf")

    async def start(self) -> None:
        """Load the data folder and join the group.

        Waits while the folder refuses writes.  Raises ``LogDamagedError`` if
        a file in the folder is damaged, and ``OSError`` if another process
        uses the folder.
        """
        self._loop = asyncio.get_running_loop()
        self._initial_state = self._state_machine.snapshot()
        loaded: LoadedState | None = None
        while loaded is None:
            try:
                loaded = await self._run_in_disk_thread(
                    self._storage.load, self._config.replica_id
                )
            except WriteRefusedError as error:
                self._on_disk_event(Suspended(error))
                await asyncio.sleep(MAX_DISK_RETRY_S)
        self._load_core(loaded, self._config.began_at)
        await self._transport.start(self._receive)
        self._step(Tick())

    def _load_core(self, loaded: LoadedState, began_at: float | None) -> None:
        """Begin with the durable state; ``began_at`` is as in the config."""
        self._snapshot_bytes = 0
        if loaded.snapshot is not None:
            self._restore(loaded.snapshot)
            self._snapshot_bytes = len(loaded.snapshot)
        elif self._core is not None:
            self._restore(self._initial_state)
        incarnation = loaded.identity.incarnation
        config = replace(self._config, incarnation=incarnation, began_at=began_at)
        self._core = ReplicaCore(config, loaded.state, boottime_now())
        self._bytes_since_snapshot = 0
        for entry in loaded.state.entries:
            self._bytes_since_snapshot += len(entry.data)
        self._members = self._core.members
        self._transport.set_addresses(self._members.address_by_name)

    async def stop(self) -> None:
        """Transfer leadership away if this replica is the leader, then stop.

        Waits up to ``TRANSFER_TIMEOUT_S`` for the new leader.
        """
        core = self._core
        await self.transfer_leadership()
        self._shut_down()
        if self._resume_task is not None:
            self._resume_task.cancel()
        for task in list(self._tasks):
            task.cancel()
        await self._transport.stop()
        # Wait for a sync in progress before the log file is closed.
        await asyncio.to_thread(self._disk_thread.shutdown)
        if core is not None:
            self._storage.close()

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another voter if this replica leads.

        Waits up to ``TRANSFER_TIMEOUT_S`` for the new leader.
        """
        core = self._core
        if core is not None and core.role == Role.LEADER and not self._stopped:
            self._step(TransferRequested())
            await self._wait_for_new_leader(core)

    async def _wait_for_new_leader(self, core: ReplicaCore) -> None:
        own_id = self._config.replica_id
        if len(core.members.voters) < 2:
            return
        deadline = boottime_now() + TRANSFER_TIMEOUT_S
        while boottime_now() < deadline:
            if core.role != Role.LEADER and core.leader_id not in ("", own_id):
                return
            await asyncio.sleep(0.01)

    def _shut_down(self) -> None:
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._fail_pending_proposals()

    def is_leader(self) -> bool:
        """Return whether this replica leads and may serve now.

        See ``Leader.can_serve``.
        """
        if self._core is None or self._stopped:
            return False
        return self._core.is_leader(boottime_now())

    def leader_hint(self) -> str:
        """Return the identity of the probable leader, or an empty string."""
        return self._core.leader_id if self._core is not None else ""

    def leader_contact_at(self) -> float | None:
        """Return when a leader last led this replica, or None if never.

        The time is in seconds of the clock of leases.
        """
        return self._core.election.leader_contact_at if self._core else None

    def members(self) -> Members:
        """Return the newest membership in the log, committed or not.

        It is empty until the log is loaded.
        """
        return self._core.members if self._core is not None else Members()

    def status(self) -> ReplicaStatus:
        """Return the state of this replica for operators and metrics."""
        core = self._core
        assert core is not None
        return ReplicaStatus(
            str(core.role),
            core.term,
            core.leader_id,
            core.commit,
            core.applied,
            core.log.last_index,
            core.recovering,
            tuple(core.members.voters),
            tuple(core.members.learners),
            self._suspended(),
        )

    def silent_members(self, silence_s: float) -> list[str]:
        """Return the members that have not answered for ``silence_s`` seconds.

        The longest silent one comes first.  The list is empty if this replica
        is not the leader.
        """
        core = self._core
        if core is None or not self.is_leader() or core.leader_state is None:
            return []
        cutoff = boottime_now() - silence_s
        return core.leader_state.silent_members(core.members, cutoff)

    async def propose(self, entry: bytes) -> Any:
        """Commit and apply an entry, and return the result of applying it.

        Raises ``NotLeaderError`` if the entry will not be committed, and
        ``OutcomeUnknownError`` if it may still be.  Cancelling the call does
        not withdraw the entry.
        """
        async with self._in_flight_limit:
            if not self.is_leader():
                raise NotLeaderError(self.leader_hint())
            future: asyncio.Future = self._loop.create_future()
            if not self._queued_proposals:
                self._loop.call_soon(self._flush_proposals)
            self._queued_proposals.append(_Proposal(entry, future))
            return await future

    def _flush_proposals(self) -> None:
        """Append all proposals since the last iteration of the event loop."""
        proposals = self._queued_proposals
        self._queued_proposals = []
        if not self.is_leader():
            for proposal in proposals:
                _set_exception(proposal.future, NotLeaderError(self.leader_hint()))
            return
        core = self._core
        assert core is not None
        index = core.log.last_index
        self._step(Proposed([proposal.entry for proposal in proposals]))
        accepted = core.log.last_index > index
        for proposal in proposals:
            index += 1
            if not accepted:
                _set_exception(proposal.future, NotLeaderError(self.leader_hint()))
                continue
            self._appended_by_index[index] = _AppendedProposal(
                core.term, proposal.future
            )
        if core.role != Role.LEADER:
            self._fail_pending_proposals()

    async def add_member(self, name: str, address: str) -> None:
        """Add a replica; it becomes a voter once it has caught up.

        Raises ``MemberChangeError`` if no change is possible now.
        """
        self._require_running()
        self._step(MemberAdded(name, address))

    async def remove_member(self, name: str) -> None:
        """Remove a replica; raise ``MemberChangeError`` if impossible now."""
        self._require_running()
        self._step(MemberRemoved(name))

    def _require_running(self) -> None:
        if self._core is None or self._stopped or self._suspended():
            raise MemberChangeError("this replica is stopped or cannot write")

    def _receive(self, sender: str, message: Message) -> None:
        self._step(Received(sender, message))

    def _step(self, event: Event) -> None:
        core = self._core
        if core is None or self._stopped or self._suspended():
            return
        actions = core.step(event, boottime_now())
        for action in actions:
            self._execute(action)
        if core.members is not self._members:
            self._members = core.members
            self._transport.set_addresses(core.members.address_by_name)
        if not self._stopped:
            self._set_timer(core.next_deadline())
            self._snapshot_if_due(core)

    def _set_timer(self, deadline: float) -> None:
        if self._timer is not None:
            # Each heartbeat postpones the deadline; a tick that comes too
            # early is cheaper than a new timer for each heartbeat.
            if self._timer_deadline <= deadline:
                return
            self._timer.cancel()
        self._timer_deadline = deadline
        delay = max(0.0, deadline - boottime_now())
        self._timer = self._loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._step(Tick())

    def _execute(self, action: Action) -> None:
        match action:
            case Send(to, message):
                self._transport.send(to, message)
            case Write() | Rewrite():
                self._pending_changes.append(action)
            case Sync(token):
                self._start_task(self._persist(token))
            case Apply(index, entry):
                self._apply(index, entry.term, entry.kind, entry.data)
            case Restore():
                self._restore(self._received_snapshot)
            case SendChunk(to, chunk):
                self._start_task(self._send_chunk(to, chunk))
            case StoreChunk(chunk):
                self._start_task(self._store_chunk(chunk))
            case RoleChanged(role):
                if role != Role.LEADER:
                    self._fail_pending_proposals()
            case Stop(code):
                self._shut_down()
                self._on_failure(code)

    def _start_task(self, coroutine: Any) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_in_disk_thread(self, call: Callable, *arguments: Any) -> Any:
        return await self._loop.run_in_executor(self._disk_thread, call, *arguments)

    async def _persist(self, token: int) -> None:
        changes = self._pending_changes
        self._pending_changes = []
        try:
            await self._run_in_disk_thread(self._storage.persist, changes)
        except WriteRefusedError as error:
            self._suspend(error)
            return
        except Exception as error:
            # After any exception the changes may not be durable.
            self.disk_error = error
            self._step(SyncFailed())
            return
        self._step(Synced(token))

    def _stop_after_disk_error(self, error: OSError) -> None:
        self.disk_error = error
        if not self._stopped:
            self._shut_down()
            self._on_failure(SYNC_FAILED)

    def _suspended(self) -> bool:
        return self._resume_task is not None and not self._resume_task.done()

    def _suspend(self, error: OSError) -> None:
        """Take no part in the group until the disk accepts writes again."""
        if self._stopped or self._suspended():
            return
        self.disk_error = error
        self._step(WriteRefused())
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if boottime_now() > self._resumed_at + MAX_DISK_RETRY_S:
            self._disk_retry_s = FIRST_DISK_RETRY_S
        self._resume_task = self._loop.create_task(self._resume_when_writable())
        self._resume_task.add_done_callback(self._stop_if_not_resumed)
        self._on_disk_event(Suspended(error))

    async def _resume_when_writable(self) -> None:
        """Wait until the disk accepts writes, then load what is durable."""
        loaded: LoadedState | None = None
        while loaded is None:
            await asyncio.sleep(self._disk_retry_s)
            self._disk_retry_s = min(2 * self._disk_retry_s, MAX_DISK_RETRY_S)
            # A task that is still writing could change what is loaded.
            await asyncio.gather(*self._tasks, return_exceptions=True)
            try:
                loaded = await self._run_in_disk_thread(
                    self._storage.reload, self._config.replica_id
                )
            except WriteRefusedError as error:
                self.disk_error = error
            except LogDamagedError:
                self._shut_down()
                self._on_failure(LOG_DAMAGED)
                return
            except OSError as error:
                self._stop_after_disk_error(error)
                return
        self._pending_changes = []
        self._saving_snapshot = False
        self._received_snapshot = b""
        self._resumed_at = boottime_now()
        # Until now this replica may have extended a leader's lease, as an
        # earlier process could have.
        self._load_core(loaded, began_at=None)
        self._loop.call_soon(self._after_resumption)

    def _stop_if_not_resumed(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self._stop_after_disk_error(OSError(f"the state was not loaded: {error!r}"))

    def _after_resumption(self) -> None:
        self._on_disk_event(Resumed())
        self._step(Tick())

    def _apply(self, index: int, term: int, kind: EntryKind, data: bytes) -> None:
        self._bytes_since_snapshot += len(data)
        appended = self._appended_by_index.pop(index, None)
        if kind != EntryKind.COMMAND:
            return
        result = self._state_machine.apply(index, data)
        if appended is None or appended.future.done():
            return
        if appended.term != term:
            _set_exception(appended.future, NotLeaderError(self.leader_hint()))
            return
        appended.future.set_result(result)

    def _fail_pending_proposals(self) -> None:
        """Fail the callers of proposals that are not committed yet.

        A later leader may commit or drop entries in the log, so the outcome
        of those is unknown.  Queued proposals were never appended.
        """
        appended = list(self._appended_by_index.values())
        self._appended_by_index = {}
        for appended_proposal in appended:
            _set_exception(
                appended_proposal.future, OutcomeUnknownError("leadership was lost")
            )
        proposals = self._queued_proposals
        self._queued_proposals = []
        for proposal in proposals:
            _set_exception(proposal.future, NotLeaderError(self.leader_hint()))

    def _restore(self, data: bytes) -> None:
        """Restore the state with garbage collection disabled.

        All objects that a restore creates stay alive, so a collection frees
        nothing.  Collections took half of the time to restore a state of
        47,000 tasks.
        """
        enabled = gc.isenabled()
        gc.disable()
        try:
            self._state_machine.restore(data)
        finally:
            if enabled:
                gc.enable()

    def _snapshot_if_due(self, core: ReplicaCore) -> None:
        """Save a snapshot once the log since the last one exceeds a limit.

        The limit is the size of the last snapshot, but at least
        ``SNAPSHOT_AFTER_BYTES``.
        """
        limit = max(SNAPSHOT_AFTER_BYTES, self._snapshot_bytes)
        if self._saving_snapshot or self._bytes_since_snapshot < limit:
            return
        if core.applied <= core.snapshot.index:
            return
        self._saving_snapshot = True
        self._bytes_since_snapshot = 0
        data = self._state_machine.snapshot()
        self._snapshot_bytes = len(data)
        self._start_task(self._save_snapshot(core.applied_snapshot_meta(), data))

    async def _save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        try:
            await asyncio.to_thread(self._storage.save_snapshot, meta, data)
        except WriteRefusedError as error:
            # The log holds everything, so the replica can go on.
            self._saving_snapshot = False
            self._on_disk_event(SnapshotRefused(error))
            return
        except OSError as error:
            self._stop_after_disk_error(error)
            return
        self._saving_snapshot = False
        self._step(SnapshotSaved(meta))

    async def _send_chunk(self, to: str, chunk: SnapshotChunk) -> None:
        try:
            chunk_data = await asyncio.to_thread(self._storage.read_chunk, chunk.offset)
        except OSError as error:
            # The leader asks for the chunk again, so only the first error of
            # a series is reported.
            if not self._snapshot_unreadable:
                self._on_disk_event(SnapshotUnreadable(error))
            self._snapshot_unreadable = True
            return
        self._snapshot_unreadable = False
        if chunk_data.index == chunk.meta.index:
            chunk_with_data = SnapshotChunk(
                chunk.term,
                chunk.meta,
                chunk.offset,
                chunk.sent_at,
                chunk_data.data,
                chunk_data.done,
            )
            self._transport.send(to, chunk_with_data)

    async def _store_chunk(self, chunk: SnapshotChunk) -> None:
        try:
            meta = await self._run_in_disk_thread(self._storage.store_chunk, chunk)
            if meta is None:
                return
            if meta.index:
                self._received_snapshot = await self._run_in_disk_thread(
                    self._storage.load_snapshot
                )
        except WriteRefusedError as error:
            self._suspend(error)
            return
        except OSError as error:
            self._stop_after_disk_error(error)
            return
        self._step(SnapshotReceived(meta))
        self._received_snapshot = b""


def _set_exception(future: asyncio.Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
