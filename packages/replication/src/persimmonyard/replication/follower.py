"""What a replica does with the messages of a leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonyard.replication.events import Restore, Role, StoreChunk
from persimmonyard.replication.messages import (
    AppendEntries,
    AppendReply,
    Chunk,
    ChunkReply,
    Heartbeat,
    HeartbeatReply,
    Recover,
    SnapshotMeta,
)

if TYPE_CHECKING:
    from persimmonyard.replication.core import ReplicaCore

__all__ = ["Follower"]


class Follower:
    """Accept entries and snapshots for one replica core."""

    def __init__(self, core: ReplicaCore):
        self._core = core
        self._incoming: Chunk | None = None
        self._next_offset = 0
        self._complete = False

    def on_leader_message(
        self, sender: str, message: Heartbeat | AppendEntries | Chunk
    ) -> None:
        """Follow the sender if its term is current."""
        core = self._core
        if message.term < core.term:
            reply = HeartbeatReply(core.term, message.sent_at, core.config.incarnation)
            core.send_in_term(sender, reply)
            return
        if message.term > core.term or core.role != Role.FOLLOWER:
            core.become_follower(message.term)
        core.leader = sender
        core.voter.stop_pre_vote()
        core.voter.heard_leader()
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message)
            case AppendEntries():
                self._on_append(sender, message)
            case Chunk():
                self._on_chunk(sender, message)

    def _on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        core = self._core
        reply = HeartbeatReply(core.term, message.sent_at, core.config.incarnation)
        core.send_in_term(sender, reply)
        if message.incarnation == core.config.incarnation:
            core.commit = max(core.commit, message.commit)
            return
        # The leader knows a former folder, or none because this replica was
        # removed and added again.
        core.send(sender, Recover(core.config.incarnation))

    def _on_append(self, sender: str, message: AppendEntries) -> None:
        core = self._core
        log = core.log
        known = log.term_at(message.prev_index)
        if message.prev_index >= log.base_index and known != message.prev_term:
            hint = min(log.last_index, message.prev_index - 1)
            self._reply(sender, message, False, max(hint, core.commit))
            return
        self._store(message)
        match = message.prev_index + len(message.entries)
        self._reply(sender, message, True, max(match, log.base_index))
        core.commit = max(core.commit, min(message.commit, match))

    def _store(self, message: AppendEntries) -> None:
        core = self._core
        log = core.log
        for position, entry in enumerate(message.entries):
            index = message.prev_index + 1 + position
            if index <= log.base_index or log.term_at(index) == entry.term:
                continue
            if index <= log.last_index:
                assert index > core.commit, "a committed entry would be replaced"
                log.truncate_from(index)
                core.syncs.truncated(log.last_index)
            core.append(message.entries[position:])
            return

    def _reply(self, sender: str, message: AppendEntries, ok: bool, match: int) -> None:
        core = self._core
        reply = AppendReply(
            core.term, ok, match, message.sent_at, core.config.incarnation
        )
        core.send_synced(sender, reply)

    # Snapshots.

    def _on_chunk(self, sender: str, message: Chunk) -> None:
        core = self._core
        if message.meta.index <= core.commit:
            self._incoming = None
            self._reply_matched(sender, message, message.meta.index)
            return
        if message.offset == 0 and not self._receiving(message):
            self._incoming = message
            self._next_offset = 0
            self._complete = False
        if self._receiving(message) and self._complete:
            return
        if not self._receiving(message) or message.offset != self._next_offset:
            offset = self._next_offset if self._receiving(message) else 0
            self._reply_chunk(sender, message, offset)
            return
        core.act(StoreChunk(message))
        self._next_offset += len(message.data)
        self._complete = message.done
        if not message.done:
            self._reply_chunk(sender, message, self._next_offset)

    def _receiving(self, message: Chunk) -> bool:
        known = self._incoming
        return (
            known is not None
            and known.term == message.term
            and known.meta.index == message.meta.index
        )

    def _reply_chunk(self, sender: str, message: Chunk, offset: int) -> None:
        core = self._core
        reply = ChunkReply(
            core.term,
            message.meta.index,
            offset,
            message.sent_at,
            core.config.incarnation,
        )
        core.send_in_term(sender, reply)

    def _reply_matched(self, sender: str, message: Chunk, match: int) -> None:
        core = self._core
        reply = AppendReply(
            core.term, True, match, message.sent_at, core.config.incarnation
        )
        core.send_synced(sender, reply)

    def on_snapshot_received(self, meta: SnapshotMeta) -> None:
        """Continue from a snapshot that the host has stored.

        Index 0 says that what arrived was not a whole snapshot.
        """
        core = self._core
        incoming = self._incoming
        self._incoming = None
        if meta.index > core.commit:
            self._adopt(meta)
        if incoming is not None and core.leader and incoming.term == core.term:
            self._reply_matched(core.leader, incoming, meta.index)

    def _adopt(self, meta: SnapshotMeta) -> None:
        core = self._core
        core.snapshot = meta
        if core.log.term_at(meta.index) == meta.term:
            core.log.compact(meta.index, meta)
        else:
            core.log.reset(meta)
            core.syncs.truncated(meta.index)
        core.commit = meta.index
        core.applied = meta.index
        core.rewrite_log()
        core.act(Restore(meta))
