"""What replicas exchange, and what the log consists of."""

from enum import IntEnum

import msgspec

__all__ = [
    "AppendEntries",
    "AppendReply",
    "Chunk",
    "ChunkReply",
    "Entry",
    "EntryKind",
    "Heartbeat",
    "HeartbeatReply",
    "Members",
    "Message",
    "PreVote",
    "PreVoteReply",
    "Recover",
    "SnapshotMeta",
    "TimeoutNow",
    "Vote",
    "VoteReply",
    "decode_batch",
    "encode_batch",
    "payload_bytes",
]


class EntryKind(IntEnum):
    """What an entry of the log is for."""

    COMMAND = 0
    NO_OP = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One entry of the log; its index is its position."""

    term: int
    kind: EntryKind
    data: bytes


class Members(msgspec.Struct, frozen=True, array_like=True):
    """Who belongs to the group.

    ``voters`` and ``learners`` hold the incarnation by replica name.  An
    incarnation identifies the contents of one data folder: a replica that
    lost its disk has another one, so nothing that its former self promised
    is counted for it.  Learners receive the log and do not count.
    """

    voters: dict[str, str] = {}
    learners: dict[str, str] = {}
    address_by_name: dict[str, str] = {}

    def incarnation(self, name: str) -> str | None:
        """Return the incarnation of a member, or None."""
        return self.voters.get(name, self.learners.get(name))

    def quorum(self) -> int:
        """Return the number of voters that decide."""
        return len(self.voters) // 2 + 1

    def with_learner(self, name: str, incarnation: str) -> "Members":
        """Return the members with ``name`` as a learner only."""
        voters = {one: value for one, value in self.voters.items() if one != name}
        learners = self.learners | {name: incarnation}
        return Members(voters, learners, self.address_by_name)

    def with_voter(self, name: str) -> "Members":
        """Return the members with the learner ``name`` as a voter."""
        learners = dict(self.learners)
        voters = self.voters | {name: learners.pop(name)}
        return Members(voters, learners, self.address_by_name)

    def added(self, name: str, address: str) -> "Members":
        """Return the members with a newcomer with an unknown folder."""
        addresses = self.address_by_name | {name: address}
        return Members(self.voters, self.learners | {name: ""}, addresses)

    def without(self, name: str) -> "Members":
        """Return the members without ``name``."""
        parts = []
        for part in (self.voters, self.learners, self.address_by_name):
            parts.append({one: value for one, value in part.items() if one != name})
        return Members(*parts)


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """The last entry that a snapshot includes, and the members then."""

    index: int = 0
    term: int = 0
    members: Members = Members()


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """A message; ``term`` is the sender's unless said otherwise."""


class PreVote(_Message, frozen=True, tag=1):
    """Asks whether a vote in the future ``term`` would be granted."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(_Message, frozen=True, tag=2):
    """Answers for the future ``term``; the sender's own is ``current``."""

    term: int
    granted: bool
    incarnation: str
    current: int


class Vote(_Message, frozen=True, tag=3):
    """Asks for a vote; ``transfer`` if the former leader gave up."""

    term: int
    last_index: int
    last_term: int
    incarnation: str
    transfer: bool


class VoteReply(_Message, frozen=True, tag=4):
    """Answers a request for a vote, after the vote is synced."""

    term: int
    granted: bool
    incarnation: str


class Heartbeat(_Message, frozen=True, tag=5):
    """Keeps the lease; ``sent_at`` is the leader's clock.

    ``commit`` holds for the receiver's folder ``incarnation`` only.
    """

    term: int
    commit: int
    sent_at: float
    incarnation: str


class HeartbeatReply(_Message, frozen=True, tag=6):
    """Returns the leader's ``sent_at``."""

    term: int
    sent_at: float
    incarnation: str


class AppendEntries(_Message, frozen=True, tag=7):
    """Entries after ``prev_index``."""

    term: int
    prev_index: int
    prev_term: int
    commit: int
    sent_at: float
    entries: list[Entry]


class AppendReply(_Message, frozen=True, tag=8):
    """All entries up to ``match`` are synced, or where to go on if not ok."""

    term: int
    ok: bool
    match: int
    sent_at: float
    incarnation: str


class Chunk(_Message, frozen=True, tag=9):
    """A part of a snapshot; ``done`` on the last one."""

    term: int
    meta: SnapshotMeta
    offset: int
    sent_at: float
    data: bytes = b""
    done: bool = False


class ChunkReply(_Message, frozen=True, tag=10):
    """Asks for the chunk at ``offset``."""

    term: int
    index: int
    offset: int
    sent_at: float
    incarnation: str


class Recover(_Message, frozen=True, tag=11):
    """A replica with an empty folder asks to be taken in again.

    ``incarnation`` is the nonce of this recovery.
    """

    incarnation: str


class TimeoutNow(_Message, frozen=True, tag=12):
    """The leader of ``term`` has given up; the receiver campaigns at once."""

    term: int


Message = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Heartbeat
    | HeartbeatReply
    | AppendEntries
    | AppendReply
    | Chunk
    | ChunkReply
    | Recover
    | TimeoutNow
)


def payload_bytes(message: Message) -> int:
    """Return the size of the entries or the snapshot data in a message."""
    match message:
        case AppendEntries(entries=entries):
            return sum(len(entry.data) for entry in entries)
        case Chunk(data=data):
            return len(data)
    return 0


_encoder = msgspec.msgpack.Encoder()
_batch_decoder: msgspec.msgpack.Decoder[list[Message]] = msgspec.msgpack.Decoder(
    list[Message]
)


def encode_batch(messages: list[Message]) -> bytes:
    """Return the bytes of messages for one receiver."""
    return _encoder.encode(messages)


def decode_batch(data: bytes) -> list[Message]:
    """Return the messages; raise ``msgspec.DecodeError`` if malformed."""
    return _batch_decoder.decode(data)
