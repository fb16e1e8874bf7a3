"""What the leader does: replicate, commit, hold the lease, change members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from persimmonyard.replication.errors import MemberChangeError
from persimmonyard.replication.events import Role, RoleChanged, SendChunk
from persimmonyard.replication.leadership import Leadership, Progress
from persimmonyard.replication.messages import (
    AppendEntries,
    AppendReply,
    Chunk,
    ChunkReply,
    Entry,
    EntryKind,
    Heartbeat,
    HeartbeatReply,
    Members,
    Recover,
    TimeoutNow,
)

if TYPE_CHECKING:
    from persimmonyard.replication.core import ReplicaCore

__all__ = ["Leader"]


class Leader:
    """The leader's part of one replica core."""

    def __init__(self, core: ReplicaCore):
        self._core = core

    # Leadership and its lease.

    def begin(self) -> None:
        """Take over after an election, with an entry that opens the term."""
        core = self._core
        core.role = Role.LEADER
        core.leader = core.config.replica_id
        first_index = core.log.last_index + 1
        core.leadership = Leadership(core.config.replica_id, first_index, core.now)
        core.leadership.follow_members(core.members, first_index)
        core.act(RoleChanged(core.role, core.term))
        self._append([Entry(core.term, EntryKind.NO_OP, b"")])

    def lease_valid(self, now: float) -> bool:
        """Return whether no other replica can have been elected yet."""
        core = self._core
        if core.leadership is None:
            return False
        confirmed_at = core.leadership.confirmed_at(core.members, now)
        return confirmed_at is not None and now < confirmed_at + core.config.lease_s

    def may_decide(self, now: float) -> bool:
        """Return whether reads are current and proposals are accepted."""
        core = self._core
        leadership = core.leadership
        if leadership is None or leadership.transfer_deadline is not None:
            return False
        return core.applied >= leadership.first_index and self.lease_valid(now)

    def on_time(self) -> None:
        """Send heartbeats; step down without a quorum or after a transfer."""
        core = self._core
        leadership = core.leadership
        if leadership is None:
            return
        deadline = leadership.transfer_deadline
        if deadline is not None and core.now >= deadline:
            core.become_follower(core.term)
            return
        confirmed_at = leadership.confirmed_at(core.members, core.now)
        confirmed_at = max(confirmed_at or 0.0, leadership.since)
        if core.now > confirmed_at + core.config.election_max_s:
            core.become_follower(core.term)
            core.voter.deadline = core.now + core.config.election_max_s
            return
        if core.now < leadership.next_heartbeat:
            return
        leadership.next_heartbeat = core.now + core.config.heartbeat_s
        for name, progress in leadership.progress_by_name.items():
            if not self._feed(name, progress):
                commit = min(core.commit, progress.match)
                heartbeat = Heartbeat(core.term, commit, core.now, progress.incarnation)
                core.send(name, heartbeat)

    # Replicating.

    def propose(self, commands: list[bytes]) -> None:
        """Append commands; ignored unless this replica may decide."""
        core = self._core
        if not self.may_decide(core.now):
            return
        entries = []
        for command in commands:
            entries.append(Entry(core.term, EntryKind.COMMAND, command))
        self._append(entries)

    def _append(self, entries: list[Entry]) -> None:
        core = self._core
        assert core.leadership is not None
        core.append(entries)
        for name, progress in core.leadership.progress_by_name.items():
            self._feed(name, progress)

    def _feed(self, name: str, progress: Progress) -> bool:
        """Send what a replica lacks, within its window; return if any."""
        core = self._core
        sent = False
        if progress.chunk_offset is not None:
            return False
        while progress.next_index <= core.log.last_index:
            if progress.in_flight >= core.config.window:
                return sent
            if progress.next_index <= core.log.base_index:
                self._start_snapshot(name, progress)
                return True
            entries = core.log.slice(progress.next_index, core.config.batch_bytes)
            prev_index = progress.next_index - 1
            prev_term = core.log.term_at(prev_index)
            assert prev_term is not None
            message = AppendEntries(
                core.term, prev_index, prev_term, core.commit, core.now, entries
            )
            core.send(name, message)
            progress.next_index += len(entries)
            progress.in_flight += 1
            progress.sent_at = core.now
            sent = True
        return sent

    def _start_snapshot(self, name: str, progress: Progress) -> None:
        progress.chunk_meta = self._core.snapshot
        self._send_chunk(name, progress, 0)

    def _send_chunk(self, name: str, progress: Progress, offset: int) -> None:
        core = self._core
        progress.chunk_offset = offset
        progress.sent_at = core.now
        chunk = Chunk(core.term, progress.chunk_meta, offset, core.now)
        core.act(SendChunk(name, chunk))

    def on_reply(
        self, sender: str, message: HeartbeatReply | AppendReply | ChunkReply
    ) -> None:
        """Take an answer of the current term from a member's folder."""
        core = self._core
        if core.leadership is None:
            return
        progress = core.leadership.progress_by_name.get(sender)
        if progress is None or progress.incarnation != message.incarnation:
            return
        progress.heard_at = max(progress.heard_at or 0.0, message.sent_at)
        match message:
            case HeartbeatReply():
                self._resend(sender, progress)
            case AppendReply():
                self._on_append_reply(progress, message)
            case ChunkReply():
                self._on_chunk_reply(sender, progress, message)
        self._feed(sender, progress)
        self._promote(sender, progress)
        self._finish_transfer()

    def _resend(self, name: str, progress: Progress) -> None:
        """Start over with a reachable replica that answers nothing."""
        core = self._core
        if core.now < progress.sent_at + core.config.election_min_s:
            return
        if progress.chunk_offset is not None:
            self._continue_snapshot(name, progress, progress.chunk_offset)
            return
        if progress.match + 1 < progress.next_index:
            progress.in_flight = 0
            progress.next_index = progress.match + 1

    def _on_append_reply(self, progress: Progress, message: AppendReply) -> None:
        if not message.ok:
            # An older refusal may arrive after what it refused was accepted.
            if message.match + 1 >= progress.next_index:
                return
            progress.next_index = max(progress.match, message.match) + 1
            progress.in_flight = 0
            return
        progress.in_flight = max(0, progress.in_flight - 1)
        if message.match > progress.match:
            progress.match = message.match
            self.advance_commit()
        progress.next_index = max(progress.next_index, progress.match + 1)
        if progress.match >= progress.chunk_meta.index:
            progress.chunk_offset = None

    def _on_chunk_reply(
        self, sender: str, progress: Progress, message: ChunkReply
    ) -> None:
        if progress.chunk_offset is None:
            return
        if message.index != progress.chunk_meta.index:
            return
        if message.offset != progress.chunk_offset:
            self._continue_snapshot(sender, progress, message.offset)

    def _continue_snapshot(self, name: str, progress: Progress, offset: int) -> None:
        """Send the next chunk, or the first one of a newer snapshot."""
        if progress.chunk_meta.index != self._core.snapshot.index:
            self._start_snapshot(name, progress)
            return
        self._send_chunk(name, progress, offset)

    def advance_commit(self) -> None:
        """Commit what a quorum has synced, if it ends in an own entry."""
        core = self._core
        if core.leadership is None:
            return
        synced = core.syncs.synced_index
        index = core.leadership.committable(core.members, synced)
        if index <= core.commit or core.log.term_at(index) != core.term:
            return
        core.commit = index
        if core.log.members_index <= index and not core.may_lead:
            core.become_follower(core.term)

    # Membership.

    def can_change_members(self) -> bool:
        """Return whether the last change and an own entry are committed."""
        core = self._core
        if not self.may_decide(core.now):
            return False
        return core.log.members_index <= core.commit

    def change_members(self, members: Members) -> None:
        """Append a change of one member."""
        core = self._core
        if not self.can_change_members():
            raise MemberChangeError("not the leader, or a change is in progress")
        if not members.voters:
            raise MemberChangeError("the last voter cannot leave")
        assert core.leadership is not None
        core.leadership.follow_members(members, core.log.last_index + 1)
        data = msgspec.msgpack.encode(members)
        self._append([Entry(core.term, EntryKind.MEMBERS, data)])

    def on_recover(self, sender: str, message: Recover) -> None:
        """Take a member with an empty folder in again, as a learner.

        The entry is committed by a quorum of the other voters, so nothing
        that the former folder promised is needed any more.
        """
        members = self._core.members
        known = members.incarnation(sender)
        if known is None or known == message.incarnation:
            return
        if set(members.voters) == {sender} or not self.can_change_members():
            return
        self.change_members(members.with_learner(sender, message.incarnation))

    def _promote(self, name: str, progress: Progress) -> None:
        """Make a learner a voter once it has caught up.

        It catches up in rounds, each up to what was committed when the round
        began, until one takes less than an election timeout.
        """
        core = self._core
        if name not in core.members.learners or not progress.incarnation:
            return
        if progress.match < progress.goal or not self.can_change_members():
            return
        started_at = progress.round_started_at
        progress.goal = core.commit
        progress.round_started_at = core.now
        if core.now > started_at + core.config.election_min_s:
            return
        self.change_members(core.members.with_voter(name))

    # Transfer.

    def start_transfer(self) -> None:
        """Stop deciding and hand over to the most complete voter."""
        core = self._core
        leadership = core.leadership
        if leadership is None or leadership.transfer_deadline is not None:
            return
        best: tuple[int, str] = (0, "")
        for name, progress in leadership.progress_by_name.items():
            heard_at = progress.heard_at
            if name not in core.members.voters or heard_at is None:
                continue
            if core.now < heard_at + core.config.election_min_s:
                best = max(best, (progress.match, name))
        leadership.transfer_to = best[1]
        leadership.transfer_deadline = core.now + core.config.transfer_s
        if not best[1]:
            leadership.transfer_deadline = core.now
        self._finish_transfer()

    def _finish_transfer(self) -> None:
        core = self._core
        leadership = core.leadership
        if leadership is None or not leadership.transfer_to:
            return
        progress = leadership.progress_by_name.get(leadership.transfer_to)
        if progress is None or progress.match < core.log.last_index:
            return
        core.send(leadership.transfer_to, TimeoutNow(core.term))
        core.become_follower(core.term)
        core.voter.heard_leader()
