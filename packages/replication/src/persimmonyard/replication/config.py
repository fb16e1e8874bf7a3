"""The configuration and the stored state that a replica core starts with."""

from dataclasses import dataclass, field

from persimmonyard.replication.events import BaseRecord
from persimmonyard.replication.messages import Entry, SnapshotMeta

__all__ = ["CoreConfig", "DurableState", "log_matching_snapshot"]


@dataclass(frozen=True)
class CoreConfig:
    """Identity, timing and batching of one replica; durations in seconds.

    ``lease_s`` has to be shorter than ``election_min_s`` even if the clock
    rates of two replicas differ by 10%.  A replica with an empty folder does
    not know the members and sends its recovery requests to ``peers``.  Log
    compaction keeps up to ``trailing_entries`` entries, of at most
    ``trailing_bytes`` in total, before the snapshot's index, so that slow
    followers need no snapshot.  ``began_at`` is the start of the process on
    the core's clock.  No earlier process of this replica has acknowledged a
    heartbeat after that time, so none has extended a lease after it.
    """

    replica_id: str
    incarnation: str
    peers: tuple[str, ...] = ()
    heartbeat_s: float = 0.4
    election_min_s: float = 1.6
    election_max_s: float = 2.4
    lease_s: float = 1.4
    transfer_timeout_s: float = 1.0
    max_batch_bytes: int = 1 << 20
    max_in_flight_appends: int = 4
    trailing_entries: int = 1_000
    trailing_bytes: int = 4 << 20
    seed: int = 0
    began_at: float | None = None


@dataclass
class DurableState:
    """The state that a replica loads from its data folder at start."""

    term: int = 0
    voted_for: str = ""
    base: BaseRecord = field(default_factory=lambda: BaseRecord(0, 0))
    entries: list[Entry] = field(default_factory=list)
    snapshot: SnapshotMeta = field(default_factory=SnapshotMeta)


def log_matching_snapshot(durable: DurableState) -> tuple[BaseRecord, list[Entry]]:
    """Return the stored log, or an empty one if the snapshot conflicts.

    They conflict if the log does not contain the snapshot's last entry in
    the same term.  This happens when the replica stops after it has stored a
    snapshot from the leader and before it has replaced its log.
    """
    snapshot = durable.snapshot
    position = snapshot.index - durable.base.index
    matches = position == 0 and durable.base.term == snapshot.term
    if 0 < position <= len(durable.entries):
        matches = durable.entries[position - 1].term == snapshot.term
    if matches:
        return durable.base, durable.entries
    return BaseRecord(snapshot.index, snapshot.term), []
