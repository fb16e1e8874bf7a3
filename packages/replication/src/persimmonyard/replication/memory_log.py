"""The in-memory copy of the log, from its base to the last entry."""

import msgspec

from persimmonyard.replication.messages import (
    Entry,
    EntryKind,
    Members,
    SnapshotMeta,
)

__all__ = ["MemoryLog"]


class MemoryLog:
    """Entries after ``base_index``, and the membership changes among them.

    As in Raft, a membership change takes effect as soon as its entry is
    appended, and is undone if that entry is truncated.
    """

    def __init__(
        self, base_index: int, base_term: int, members_index: int, members: Members
    ):
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self._members_history: list[tuple[int, Members]] = [(members_index, members)]

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the base if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        return self._members_history[-1][1]

    @property
    def members_index(self) -> int:
        """The index of the entry that set the newest members."""
        return self._members_history[-1][0]

    def members_at(self, index: int) -> Members:
        """Return the members in effect at ``index``."""
        result = self._members_history[0][1]
        for change_index, members in self._members_history:
            if change_index <= index:
                result = members
        return result

    def term_at(self, index: int) -> int | None:
        """Return the term at ``index``, or None if it is not in this log."""
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
        if entry.kind == EntryKind.MEMBERS and index > self._members_history[0][0]:
            members = msgspec.msgpack.decode(entry.data, type=Members)
            self._members_history.append((index, members))
        return index

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        del self._entries[index - self.base_index - 1 :]
        while self._members_history[-1][0] >= index and len(self._members_history) > 1:
            self._members_history.pop()

    def entries_from(self, start: int, max_bytes: int) -> list[Entry]:
        """Return entries from ``start`` on, of ``max_bytes`` in total.

        The first entry is returned even if it is larger.
        """
        result: list[Entry] = []
        size = 0
        for position in range(start - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size += len(entry.data)
            if result and size > max_bytes:
                break
            result.append(entry)
        return result

    def compaction_base(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the base index for a compaction up to ``index``.

        At most ``max_entries`` entries of ``max_bytes`` in total are kept
        before ``index``.  The result is never below the current base.
        """
        size = 0
        base = index
        while base > max(self.base_index, index - max_entries):
            size += len(self.entry(base).data)
            if size > max_bytes:
                break
            base -= 1
        return base

    def compact(self, base_index: int, meta: SnapshotMeta) -> None:
        """Remove entries up to ``base_index``, which the snapshot includes."""
        term = self.term_at(base_index)
        assert term is not None
        del self._entries[: base_index - self.base_index]
        self.base_index = base_index
        self.base_term = term
        later = [change for change in self._members_history if change[0] > meta.index]
        self._members_history = [(meta.index, meta.members), *later]

    def reset(self, meta: SnapshotMeta) -> None:
        """Remove all entries and continue after a snapshot."""
        self.base_index = meta.index
        self.base_term = meta.term
        self._entries = []
        self._members_history = [(meta.index, meta.members)]
