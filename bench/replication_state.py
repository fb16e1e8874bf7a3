"""Replicated state of the size that the capacity page gives.

The size is that of one deployment.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    Shape,
    UpstreamSpec,
    WorkClassSpec,
)
from persimmonyard.replication import FileStorage, initialize
from persimmonyard.replication.events import (
    BaseRecord,
    EntryRecord,
    Rewrite,
    VoteRecord,
    Write,
)
from persimmonyard.replication.messages import Entry, EntryKind, SnapshotMeta
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import (
    ApplyConfiguration,
    LogRecord,
    PlaceAttempt,
    RegisterUpstream,
    StartAttempt,
    SubmitRequest,
    encode_record,
)

__all__ = ["TASKS", "UPSTREAMS", "write_data_folders"]

UPSTREAMS = 5_400
TASKS = 47_000
PRIOR_CHANGES = 7 * 60_000
TRAILING_ENTRIES = 1_000


def state_commands() -> Iterator[bytes]:
    """Yield the encoded commands that build the state."""
    account = ClientAccountSpec("clinic", max_waiting=10 * TASKS)
    changes = [ConfigurationChange(work_class=WorkClassSpec("sculpt"))]
    changes.append(ConfigurationChange(client_account=account))
    commands: list[Any] = [ApplyConfiguration(tuple(changes))]
    for number in range(UPSTREAMS):
        commands.append(RegisterUpstream(_upstream_spec(number)))
    for command in commands:
        yield encode_record(LogRecord("", 1.0, command))
    for number in range(TASKS):
        for command in _task_commands(number):
            yield encode_record(LogRecord("", 1.0 + number / 100, command))


def _upstream_spec(number: int) -> UpstreamSpec:
    return UpstreamSpec(
        upstream_id=f"upstream-{number}",
        incarnation=f"{number:032x}",
        zone=f"zone-{number % 8}",
        rack=f"rack-{number // 40}",
        address=f"127.0.0.1:{10_000 + number}",
        accelerators=8,
        cores=64,
        memory_mb=262_144,
        slots=16,
    )


def _task_commands(number: int) -> Iterator[Any]:
    request_id = f"{number:032x}"
    yield SubmitRequest(
        request_id=request_id,
        client_account="clinic",
        class_name="sculpt",
        key=f"key-{number}",
        digest=f"{number:064x}",
        shape=Shape(accelerators=1),
        declared_run_s=3_600.0,
        idempotent=True,
        checkpointable=True,
        payload=b"x" * 200,
    )
    upstream_id = f"upstream-{number % UPSTREAMS}"
    yield PlaceAttempt(request_id, 1, (upstream_id,), "entry-1")
    yield StartAttempt(request_id, 1, number + 1)


def write_data_folders(folder: Path) -> dict[str, int]:
    """Write the same state as two logs, and as a snapshot and a log.

    The log in folder "whole" is the shortest one that builds the state.  In
    "past", a week of configuration changes at the target rate precedes it.
    Folder "control-1" holds a snapshot and the entries after it.
    """
    machine = StateMachine()
    entries = []
    refused_count = 0
    for index, data in enumerate(state_commands(), 1):
        refused_count += machine.apply(index, data).code != 0
        entries.append(Entry(1, EntryKind.COMMAND, data))
    assert not refused_count, (
        f"{refused_count} commands that build the state were refused"
    )
    snapshot = machine.snapshot()
    base_index = len(entries) - TRAILING_ENTRIES
    write_log_folder(folder, "whole", entries)
    change = ConfigurationChange(work_class=WorkClassSpec("sculpt"))
    data = encode_record(LogRecord("", 1.0, ApplyConfiguration((change,))))
    prior_entries = [Entry(1, EntryKind.COMMAND, data)] * PRIOR_CHANGES
    write_log_folder(folder, "past", prior_entries + entries)
    initialize(folder / "control-1", "control-1", {"control-1": "127.0.0.1:1"})
    storage = FileStorage(folder / "control-1")
    members = storage.load("control-1").identity.members
    storage.save_snapshot(SnapshotMeta(base_index, 1, members), snapshot)
    records: list[Any] = [BaseRecord(base_index, 1), VoteRecord(1, "")]
    for index in range(base_index + 1, len(entries) + 1):
        records.append(EntryRecord(index, entries[index - 1]))
    storage.persist([Rewrite(records)])
    storage.close()
    return {"entries": len(entries), "snapshot_bytes": len(snapshot)}


def write_log_folder(folder: Path, name: str, entries: list[Entry]) -> None:
    """Write a data folder that holds a log and no snapshot."""
    initialize(folder / name, name, {name: "127.0.0.1:1"})
    storage = FileStorage(folder / name)
    storage.load(name)
    for start in range(0, len(entries), TRAILING_ENTRIES):
        records: list[Any] = [VoteRecord(1, "")]
        for index in range(start, min(start + TRAILING_ENTRIES, len(entries))):
            records.append(EntryRecord(index + 1, entries[index]))
        storage.persist([Write(records)])
    storage.close()
