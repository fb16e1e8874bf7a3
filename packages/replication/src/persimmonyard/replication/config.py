"""What a replica core starts from."""

from dataclasses import dataclass, field

from persimmonyard.replication.events import BaseRecord
from persimmonyard.replication.messages import Entry, SnapshotMeta

__all__ = ["CoreConfig", "DurableState", "usable_log"]


@dataclass(frozen=True)
class CoreConfig:
    """Identity and durations, in seconds, of one replica.

    ``lease_s`` is shorter than ``election_min_s`` even if the clock rates of
    two replicas differ by 10%.  ``peers`` are asked for recovery when the
    members are not known.  A compacted log keeps at most
    ``trailing_entries`` entries of at most ``trailing_bytes`` in total before
    the snapshot's index, for followers that are behind.  ``began_at`` is when
    the process began, on the clock of the core: no former process of this
    replica has confirmed a lease later than that.
    """

    replica_id: str
    incarnation: str
    peers: tuple[str, ...] = ()
    heartbeat_s: float = 0.4
    election_min_s: float = 1.6
    election_max_s: float = 2.4
    lease_s: float = 1.4
    transfer_s: float = 1.0
    batch_bytes: int = 1 << 20
    window: int = 4
    trailing_entries: int = 1_000
    trailing_bytes: int = 4 << 20
    seed: int = 0
    began_at: float | None = None


@dataclass
class DurableState:
    """What a replica finds in its folder when it starts."""

    term: int = 0
    voted_for: str = ""
    base: BaseRecord = field(default_factory=lambda: BaseRecord(0, 0))
    entries: list[Entry] = field(default_factory=list)
    snapshot: SnapshotMeta = field(default_factory=SnapshotMeta)


def usable_log(durable: DurableState) -> tuple[BaseRecord, list[Entry]]:
    """Return the log, or an empty one if the snapshot does not join it.

    That is so when the replica stopped between storing a snapshot of the
    leader and replacing its log.
    """
    snapshot = durable.snapshot
    position = snapshot.index - durable.base.index
    joined = position == 0 and durable.base.term == snapshot.term
    if 0 < position <= len(durable.entries):
        joined = durable.entries[position - 1].term == snapshot.term
    if joined:
        return durable.base, durable.entries
    return BaseRecord(snapshot.index, snapshot.term), []
