"""The log of a replica in memory, from its base to its last entry."""

import msgspec

from persimmonyard.replication.messages import (
    Entry,
    EntryKind,
    Members,
    SnapshotMeta,
)

__all__ = ["MemoryLog"]


class MemoryLog:
    """Entries after ``base_index``, and the members by index.

    The newest members of the log count as soon as they are appended, as in
    Raft; they are dropped again with an entry that is truncated.
    """

    def __init__(
        self, base_index: int, base_term: int, members_index: int, members: Members
    ):
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self._members: list[tuple[int, Members]] = [(members_index, members)]

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> Members:
        """The newest members."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """The index of the entry with the newest members."""
        return self._members[-1][0]

    def members_at(self, index: int) -> Members:
        """Return the members in force at ``index``."""
        found = self._members[0][1]
        for position, members in self._members:
            if position <= index:
                found = members
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not here."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return the entry at ``index``."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self._entries.append(entry)
        index = self.last_index
        if entry.kind == EntryKind.MEMBERS and index > self._members[0][0]:
            members = msgspec.msgpack.decode(entry.data, type=Members)
            self._members.append((index, members))
        return index

    def truncate_from(self, index: int) -> None:
        """Drop the entry at ``index`` and all later ones."""
        del self._entries[index - self.base_index - 1 :]
        while self._members[-1][0] >= index and len(self._members) > 1:
            self._members.pop()

    def slice(self, start: int, max_bytes: int) -> list[Entry]:
        """Return entries from ``start`` on, at least one if there is one."""
        found: list[Entry] = []
        size = 0
        for position in range(start - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size += len(entry.data)
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def base_before(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the base that keeps so much of the log up to ``index``."""
        size = 0
        base = index
        while base > max(self.base_index, index - max_entries):
            size += len(self.entry(base).data)
            if size > max_bytes:
                break
            base -= 1
        return base

    def compact(self, base_index: int, meta: SnapshotMeta) -> None:
        """Drop entries up to ``base_index``, which the snapshot includes."""
        term = self.term_at(base_index)
        assert term is not None
        del self._entries[: base_index - self.base_index]
        self.base_index = base_index
        self.base_term = term
        later = [one for one in self._members if one[0] > meta.index]
        self._members = [(meta.index, meta.members), *later]

    def reset(self, meta: SnapshotMeta) -> None:
        """Drop everything and continue after a snapshot."""
        self.base_index = meta.index
        self.base_term = meta.term
        self._entries = []
        self._members = [(meta.index, meta.members)]
