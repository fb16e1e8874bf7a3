"""The leader: replication, commit, the lease and membership changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from persimmonyard.replication.errors import MemberChangeError
from persimmonyard.replication.events import Role, RoleChanged, SendChunk
from persimmonyard.replication.leader_state import LeaderState, Progress
from persimmonyard.replication.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    EntryKind,
    Heartbeat,
    HeartbeatReply,
    Members,
    RecoveryRequest,
    SnapshotChunk,
    SnapshotChunkReply,
    TimeoutNow,
)

if TYPE_CHECKING:
    from persimmonyard.replication.core import ReplicaCore

__all__ = ["Leader"]


class Leader:
    """Acts as the leader for one replica core; idle in other roles."""

    def __init__(self, core: ReplicaCore):
        self._core = core

    def become_leader(self) -> None:
        """Become the leader after an election and append a no-op entry.

        The commit of this entry of the new term also commits earlier entries.
        """
        core = self._core
        core.role = Role.LEADER
        core.leader_id = core.config.replica_id
        first_index = core.log.last_index + 1
        core.leader_state = LeaderState(core.config.replica_id, first_index, core.now)
        core.leader_state.update_members(core.members, first_index, core.now)
        core.emit(RoleChanged(core.role, core.term))
        self._append([Entry(core.term, EntryKind.NO_OP, b"")])

    def lease_valid(self, now: float) -> bool:
        """Return whether the quorum lease holds at ``now``.

        Under the lease no other replica can have been elected yet.
        """
        core = self._core
        if core.leader_state is None:
            return False
        quorum_acked_at = core.leader_state.quorum_acked_at(core.members, now)
        return (
            quorum_acked_at is not None and now < quorum_acked_at + core.config.lease_s
        )

    def can_serve(self, now: float) -> bool:
        """Return whether this leader may serve reads and accept proposals.

        It needs a valid lease, the no-op entry of its term applied, and no
        leadership transfer in progress.
        """
        core = self._core
        leader_state = core.leader_state
        if leader_state is None or leader_state.transfer_deadline is not None:
            return False
        return core.applied >= leader_state.first_index and self.lease_valid(now)

    def on_tick(self) -> None:
        """Send heartbeats, or step down.

        A leader steps down if it has lost contact with a quorum, and if a
        leadership transfer times out.
        """
        core = self._core
        leader_state = core.leader_state
        if leader_state is None:
            return
        deadline = leader_state.transfer_deadline
        if deadline is not None and core.now >= deadline:
            core.become_follower(core.term)
            return
        quorum_acked_at = leader_state.quorum_acked_at(core.members, core.now)
        quorum_acked_at = max(quorum_acked_at or 0.0, leader_state.elected_at)
        if core.now > quorum_acked_at + core.config.election_max_s:
            core.become_follower(core.term)
            core.election.deadline = core.now + core.config.election_max_s
            return
        if core.now < leader_state.next_heartbeat:
            return
        leader_state.next_heartbeat = core.now + core.config.heartbeat_s
        for name, progress in leader_state.progress_by_name.items():
            if not self._replicate_to(name, progress):
                commit = min(core.commit, progress.match)
                heartbeat = Heartbeat(core.term, commit, core.now, progress.incarnation)
                core.send(name, heartbeat)

    def propose(self, commands: list[bytes]) -> None:
        """Append commands; ignored unless ``can_serve``."""
        core = self._core
        if not self.can_serve(core.now):
            return
        entries = []
        for command in commands:
            entries.append(Entry(core.term, EntryKind.COMMAND, command))
        self._append(entries)

    def _append(self, entries: list[Entry]) -> None:
        core = self._core
        assert core.leader_state is not None
        core.append(entries)
        for name, progress in core.leader_state.progress_by_name.items():
            self._replicate_to(name, progress)

    def _replicate_to(self, name: str, progress: Progress) -> bool:
        """Send entries that a replica lacks, or start sending a snapshot.

        At most ``max_in_flight_appends`` messages are unanswered at a time.
        Returns whether anything was sent.
        """
        core = self._core
        sent = False
        if progress.chunk_offset is not None:
            return False
        while progress.next_index <= core.log.last_index:
            if progress.in_flight >= core.config.max_in_flight_appends:
                return sent
            if progress.next_index <= core.log.base_index:
                self._start_snapshot(name, progress)
                return True
            entries = core.log.entries_from(
                progress.next_index, core.config.max_batch_bytes
            )
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
        chunk = SnapshotChunk(core.term, progress.chunk_meta, offset, core.now)
        core.emit(SendChunk(name, chunk))

    def on_reply(
        self,
        sender: str,
        message: HeartbeatReply | AppendEntriesReply | SnapshotChunkReply,
    ) -> None:
        """Process a reply of the current term from a member."""
        core = self._core
        if core.leader_state is None:
            return
        progress = core.leader_state.progress_by_name.get(sender)
        if progress is None or progress.incarnation != message.incarnation:
            return
        progress.acked_sent_at = max(progress.acked_sent_at or 0.0, message.sent_at)
        match message:
            case HeartbeatReply():
                self._resend_if_stalled(sender, progress)
            case AppendEntriesReply():
                self._on_append_reply(progress, message)
            case SnapshotChunkReply():
                self._on_chunk_reply(sender, progress, message)
        self._replicate_to(sender, progress)
        self._promote_if_caught_up(sender, progress)
        self._finish_transfer()

    def _resend_if_stalled(self, name: str, progress: Progress) -> None:
        """Resend to a reachable replica that answers no entries or chunks.

        It answers heartbeats, so the entries or the chunk were lost.
        """
        core = self._core
        if core.now < progress.sent_at + core.config.election_min_s:
            return
        if progress.chunk_offset is not None:
            self._continue_snapshot(name, progress, progress.chunk_offset)
            return
        if progress.match + 1 < progress.next_index:
            progress.in_flight = 0
            progress.next_index = progress.match + 1

    def _on_append_reply(self, progress: Progress, message: AppendEntriesReply) -> None:
        if not message.ok:
            # A delayed rejection may arrive after the entries were accepted.
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
        self, sender: str, progress: Progress, message: SnapshotChunkReply
    ) -> None:
        if progress.chunk_offset is None:
            return
        if message.index != progress.chunk_meta.index:
            return
        if message.offset != progress.chunk_offset:
            self._continue_snapshot(sender, progress, message.offset)

    def _continue_snapshot(self, name: str, progress: Progress, offset: int) -> None:
        """Send the chunk at ``offset``, or the first of a newer snapshot."""
        if progress.chunk_meta.index != self._core.snapshot.index:
            self._start_snapshot(name, progress)
            return
        self._send_chunk(name, progress, offset)

    def advance_commit(self) -> None:
        """Commit what a quorum has synced, if the last entry is of this term.

        A later leader may still replace entries of earlier terms that are on
        a quorum.  They are committed with an entry of this term.
        """
        core = self._core
        if core.leader_state is None:
            return
        synced = core.syncs.synced_index
        index = core.leader_state.quorum_synced_index(core.members, synced)
        if index <= core.commit or core.log.term_at(index) != core.term:
            return
        core.commit = index
        if core.log.members_index <= index and not core.is_voter:
            core.become_follower(core.term)

    def can_change_members(self) -> bool:
        """Return whether a membership change may be appended.

        It has to wait until the previous change and an entry of this term
        are committed.
        """
        core = self._core
        if not self.can_serve(core.now):
            return False
        return core.log.members_index <= core.commit

    def change_members(self, members: Members) -> None:
        """Append an entry that changes one member.

        Raises ``MemberChangeError`` if no change is possible now.
        """
        core = self._core
        if not self.can_change_members():
            raise MemberChangeError("not the leader, or a change is in progress")
        if not members.voters:
            raise MemberChangeError("the last voter cannot leave")
        assert core.leader_state is not None
        core.leader_state.update_members(members, core.log.last_index + 1, core.now)
        data = msgspec.msgpack.encode(members)
        self._append([Entry(core.term, EntryKind.MEMBERS, data)])

    def on_recovery_request(self, sender: str, message: RecoveryRequest) -> None:
        """Make a member that lost its data a learner with its new incarnation.

        A quorum of the other voters commits this change, so no vote or
        acknowledgement of the old incarnation is relied on any longer.
        """
        members = self._core.members
        known = members.incarnation(sender)
        if known is None or known == message.incarnation:
            return
        if set(members.voters) == {sender} or not self.can_change_members():
            return
        self.change_members(members.with_learner(sender, message.incarnation))

    def _promote_if_caught_up(self, name: str, progress: Progress) -> None:
        """Make a learner a voter once it has caught up.

        It catches up in rounds, each up to the commit index at the start of
        the round, until a round takes at most ``election_min_s``.
        """
        core = self._core
        if name not in core.members.learners or not progress.incarnation:
            return
        if progress.match < progress.round_target or not self.can_change_members():
            return
        started_at = progress.round_started_at
        progress.round_target = core.commit
        progress.round_started_at = core.now
        if core.now > started_at + core.config.election_min_s:
            return
        self.change_members(core.members.with_voter(name))

    def start_transfer(self) -> None:
        """Start a leadership transfer to the most up-to-date reachable voter.

        From here on this leader serves no reads and accepts no proposals.
        """
        core = self._core
        leader_state = core.leader_state
        if leader_state is None or leader_state.transfer_deadline is not None:
            return
        leader_state.transfer_to = self._most_complete_voter(leader_state)
        leader_state.transfer_deadline = core.now + core.config.transfer_timeout_s
        if not leader_state.transfer_to:
            leader_state.transfer_deadline = core.now
        self._finish_transfer()

    def _most_complete_voter(self, leader_state: LeaderState) -> str:
        """Return the reachable voter with the longest log, or ""."""
        core = self._core
        best: tuple[int, str] = (0, "")
        for name, progress in leader_state.progress_by_name.items():
            acked_sent_at = progress.acked_sent_at
            if name not in core.members.voters or acked_sent_at is None:
                continue
            if core.now < acked_sent_at + core.config.election_min_s:
                best = max(best, (progress.match, name))
        return best[1]

    def abandon(self) -> None:
        """Tell the most complete voter to campaign, without waiting for it.

        Unlike in a transfer, the voter may lack entries.  The election decides
        which log is complete enough.
        """
        core = self._core
        if core.leader_state is None:
            return
        successor = self._most_complete_voter(core.leader_state)
        if successor:
            core.send(successor, TimeoutNow(core.term))

    def _finish_transfer(self) -> None:
        core = self._core
        leader_state = core.leader_state
        if leader_state is None or not leader_state.transfer_to:
            return
        progress = leader_state.progress_by_name.get(leader_state.transfer_to)
        if progress is None or progress.match < core.log.last_index:
            return
        core.send(leader_state.transfer_to, TimeoutNow(core.term))
        core.become_follower(core.term)
        core.election.on_leader_contact()
