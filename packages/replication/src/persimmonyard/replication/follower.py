"""The follower: handles the messages of a leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonyard.replication.events import Restore, Role, StoreChunk
from persimmonyard.replication.messages import (
    AppendEntries,
    AppendEntriesReply,
    Heartbeat,
    HeartbeatReply,
    RecoveryRequest,
    SnapshotChunk,
    SnapshotChunkReply,
    SnapshotMeta,
)

if TYPE_CHECKING:
    from persimmonyard.replication.core import ReplicaCore

__all__ = ["Follower"]


class Follower:
    """Accepts heartbeats, entries and snapshots for one replica core.

    ``_first_chunk`` is the first chunk of the snapshot that is being received,
    ``_next_offset`` the offset of the next chunk.
    """

    def __init__(self, core: ReplicaCore):
        self._core = core
        self._first_chunk: SnapshotChunk | None = None
        self._next_offset = 0
        self._last_chunk_received = False

    def on_leader_message(
        self, sender: str, message: Heartbeat | AppendEntries | SnapshotChunk
    ) -> None:
        """Handle a message of a leader, unless its term is over."""
        core = self._core
        if message.term < core.term:
            reply = HeartbeatReply(core.term, message.sent_at, core.config.incarnation)
            core.send_when_term_durable(sender, reply)
            return
        if message.term > core.term or core.role != Role.FOLLOWER:
            core.become_follower(message.term)
        core.leader_id = sender
        core.election.cancel_pre_vote()
        core.election.on_leader_contact()
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message)
            case AppendEntries():
                self._on_append(sender, message)
            case SnapshotChunk():
                self._on_chunk(sender, message)

    def _on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        core = self._core
        reply = HeartbeatReply(core.term, message.sent_at, core.config.incarnation)
        core.send_when_term_durable(sender, reply)
        if message.incarnation == core.config.incarnation:
            core.commit = max(core.commit, message.commit)
            return
        # The leader knows this replica under an older incarnation, or under
        # none because it was removed and added again.
        core.send(sender, RecoveryRequest(core.config.incarnation))

    def _on_append(self, sender: str, message: AppendEntries) -> None:
        core = self._core
        log = core.log
        local_prev_term = log.term_at(message.prev_index)
        if (
            message.prev_index >= log.base_index
            and local_prev_term != message.prev_term
        ):
            hint = min(log.last_index, message.prev_index - 1)
            self._reply_append(sender, message, False, max(hint, core.commit))
            return
        self._append_new_entries(message)
        match = message.prev_index + len(message.entries)
        self._reply_append(sender, message, True, max(match, log.base_index))
        core.commit = max(core.commit, min(message.commit, match))

    def _append_new_entries(self, message: AppendEntries) -> None:
        core = self._core
        log = core.log
        for position, entry in enumerate(message.entries):
            index = message.prev_index + 1 + position
            if index <= log.base_index or log.term_at(index) == entry.term:
                continue
            if index <= log.last_index:
                assert index > core.commit, "a committed entry would be replaced"
                log.truncate_from(index)
                core.syncs.on_truncated(log.last_index)
            core.append(message.entries[position:])
            return

    def _reply_append(
        self, sender: str, message: AppendEntries, ok: bool, match: int
    ) -> None:
        core = self._core
        reply = AppendEntriesReply(
            core.term, ok, match, message.sent_at, core.config.incarnation
        )
        core.send_after_sync(sender, reply)

    def _on_chunk(self, sender: str, message: SnapshotChunk) -> None:
        core = self._core
        if message.meta.index <= core.commit:
            self._first_chunk = None
            self._acknowledge_snapshot(sender, message, message.meta.index)
            return
        if message.offset == 0 and not self._is_incoming_snapshot(message):
            self._first_chunk = message
            self._next_offset = 0
            self._last_chunk_received = False
        if self._is_incoming_snapshot(message) and self._last_chunk_received:
            return
        if (
            not self._is_incoming_snapshot(message)
            or message.offset != self._next_offset
        ):
            offset = self._next_offset if self._is_incoming_snapshot(message) else 0
            self._reply_chunk(sender, message, offset)
            return
        core.emit(StoreChunk(message))
        self._next_offset += len(message.data)
        self._last_chunk_received = message.done
        if not message.done:
            self._reply_chunk(sender, message, self._next_offset)

    def _is_incoming_snapshot(self, message: SnapshotChunk) -> bool:
        first = self._first_chunk
        return (
            first is not None
            and first.term == message.term
            and first.meta.index == message.meta.index
        )

    def _reply_chunk(self, sender: str, message: SnapshotChunk, offset: int) -> None:
        core = self._core
        reply = SnapshotChunkReply(
            core.term,
            message.meta.index,
            offset,
            message.sent_at,
            core.config.incarnation,
        )
        core.send_when_term_durable(sender, reply)

    def _acknowledge_snapshot(
        self, sender: str, message: SnapshotChunk, match: int
    ) -> None:
        core = self._core
        reply = AppendEntriesReply(
            core.term, True, match, message.sent_at, core.config.incarnation
        )
        core.send_after_sync(sender, reply)

    def on_snapshot_received(self, meta: SnapshotMeta) -> None:
        """Install a snapshot from the leader that is stored durably.

        Index 0 means that the received chunks form no valid snapshot.
        """
        core = self._core
        first_chunk = self._first_chunk
        self._first_chunk = None
        if meta.index > core.commit:
            self._install_snapshot(meta)
        if first_chunk is not None and core.leader_id and first_chunk.term == core.term:
            self._acknowledge_snapshot(core.leader_id, first_chunk, meta.index)

    def _install_snapshot(self, meta: SnapshotMeta) -> None:
        core = self._core
        core.snapshot = meta
        if core.log.term_at(meta.index) == meta.term:
            core.log.compact(meta.index, meta)
        else:
            core.log.reset(meta)
            core.syncs.on_truncated(meta.index)
        core.commit = meta.index
        core.applied = meta.index
        core.rewrite_log()
        core.emit(Restore(meta))
