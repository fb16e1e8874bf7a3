"""Messages between replicas, and the entries of the log."""

from enum import IntEnum

import msgspec

__all__ = [
    "AppendEntries",
    "AppendEntriesReply",
    "Entry",
    "EntryKind",
    "Heartbeat",
    "HeartbeatReply",
    "Members",
    "Message",
    "PreVoteReply",
    "PreVoteRequest",
    "RecoveryRequest",
    "SnapshotChunk",
    "SnapshotChunkReply",
    "SnapshotMeta",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
    "decode_batch",
    "encode_batch",
    "payload_bytes",
]


class EntryKind(IntEnum):
    """The kind of a log entry; the numbers are stored and sent."""

    COMMAND = 0
    NO_OP = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One entry of the replicated log, without its index.

    It is unrelated to the entry processes of a deployment.
    """

    term: int
    kind: EntryKind
    data: bytes


class Members(msgspec.Struct, frozen=True, array_like=True):
    """The membership of the group; Raft calls it the configuration.

    ``voters`` and ``learners`` map replica names to incarnations.  An
    incarnation identifies the contents of one data folder: a replica that
    lost its disk gets a new one, so votes and acknowledgements of its old
    folder do not count for it.  Learners receive the log but do not vote and
    are not part of a quorum.
    """

    voters: dict[str, str] = {}
    learners: dict[str, str] = {}
    address_by_name: dict[str, str] = {}

    def incarnation(self, name: str) -> str | None:
        """Return the incarnation of a member, or None."""
        return self.voters.get(name, self.learners.get(name))

    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, name: str, incarnation: str) -> "Members":
        """Return the members with ``name`` as a learner, not a voter."""
        voters = {other: value for other, value in self.voters.items() if other != name}
        learners = self.learners | {name: incarnation}
        return Members(voters, learners, self.address_by_name)

    def with_voter(self, name: str) -> "Members":
        """Return the members with the learner ``name`` promoted to a voter."""
        learners = dict(self.learners)
        voters = self.voters | {name: learners.pop(name)}
        return Members(voters, learners, self.address_by_name)

    def with_new_learner(self, name: str, address: str) -> "Members":
        """Return the members with a new learner of unknown incarnation."""
        addresses = self.address_by_name | {name: address}
        return Members(self.voters, self.learners | {name: ""}, addresses)

    def without(self, name: str) -> "Members":
        """Return the members without ``name``."""
        parts = []
        for part in (self.voters, self.learners, self.address_by_name):
            parts.append(
                {other: value for other, value in part.items() if other != name}
            )
        return Members(*parts)


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """The last entry that a snapshot includes, and the members at it."""

    index: int = 0
    term: int = 0
    members: Members = Members()


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages.

    ``term`` is the term of the sender unless noted otherwise.
    """


class PreVoteRequest(_Message, frozen=True, tag=1):
    """Asks whether a vote in the future ``term`` would be granted."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(_Message, frozen=True, tag=2):
    """Answers for the future ``term``; ``current`` is the sender's term."""

    term: int
    granted: bool
    incarnation: str
    current: int


class VoteRequest(_Message, frozen=True, tag=3):
    """Asks for a vote.

    ``transfer`` is set if the previous leader started this election by
    ``TimeoutNow``; voters then do not wait for its lease to expire.
    """

    term: int
    last_index: int
    last_term: int
    incarnation: str
    transfer: bool


class VoteReply(_Message, frozen=True, tag=4):
    """Answers ``VoteRequest`` once the vote is durable."""

    term: int
    granted: bool
    incarnation: str


class Heartbeat(_Message, frozen=True, tag=5):
    """Renews the lease and announces the commit index.

    ``sent_at`` is on the leader's clock.  ``commit`` applies only if the
    receiver has this ``incarnation``.
    """

    term: int
    commit: int
    sent_at: float
    incarnation: str


class HeartbeatReply(_Message, frozen=True, tag=6):
    """Answers a heartbeat, or a message of an earlier term.

    ``sent_at`` is copied from that message.
    """

    term: int
    sent_at: float
    incarnation: str


class AppendEntries(_Message, frozen=True, tag=7):
    """Replicates the entries after ``prev_index``."""

    term: int
    prev_index: int
    prev_term: int
    commit: int
    sent_at: float
    entries: list[Entry]


class AppendEntriesReply(_Message, frozen=True, tag=8):
    """Confirms that all entries up to ``match`` are synced.

    If not ``ok``, the entries were rejected because ``prev_index`` does not
    match, and ``match`` is the index after which to continue.
    """

    term: int
    ok: bool
    match: int
    sent_at: float
    incarnation: str


class SnapshotChunk(_Message, frozen=True, tag=9):
    """One chunk of a snapshot; ``done`` is set on the last one."""

    term: int
    meta: SnapshotMeta
    offset: int
    sent_at: float
    data: bytes = b""
    done: bool = False


class SnapshotChunkReply(_Message, frozen=True, tag=10):
    """Asks for the chunk at ``offset``."""

    term: int
    index: int
    offset: int
    sent_at: float
    incarnation: str


class RecoveryRequest(_Message, frozen=True, tag=11):
    """Asks the leader to make the sender a learner with its new incarnation.

    A replica sends this if it lost its data or was just added.
    """

    incarnation: str


class TimeoutNow(_Message, frozen=True, tag=12):
    """Transfers leadership: the receiver starts an election at once.

    ``term`` is that of the leader, which has stepped down.
    """

    term: int


Message = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | Heartbeat
    | HeartbeatReply
    | AppendEntries
    | AppendEntriesReply
    | SnapshotChunk
    | SnapshotChunkReply
    | RecoveryRequest
    | TimeoutNow
)


def payload_bytes(message: Message) -> int:
    """Return the number of bytes of entry or snapshot data in a message."""
    match message:
        case AppendEntries(entries=entries):
            return sum(len(entry.data) for entry in entries)
        case SnapshotChunk(data=data):
            return len(data)
    return 0


_encoder = msgspec.msgpack.Encoder()
_batch_decoder: msgspec.msgpack.Decoder[list[Message]] = msgspec.msgpack.Decoder(
    list[Message]
)


def encode_batch(messages: list[Message]) -> bytes:
    """Encode messages for one receiver."""
    return _encoder.encode(messages)


def decode_batch(data: bytes) -> list[Message]:
    """Decode messages; raise ``msgspec.DecodeError`` if malformed."""
    return _batch_decoder.decode(data)
