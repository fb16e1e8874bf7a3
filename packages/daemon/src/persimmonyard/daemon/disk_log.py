"""Log lines for the disk events of a replica."""

from typing import Any

from persimmonyard.replication import (
    DiskEvent,
    Resumed,
    SnapshotRefused,
    SnapshotUnreadable,
    Suspended,
)

__all__ = ["log_disk_event"]


def log_disk_event(log: Any, event: DiskEvent) -> None:
    """Write one line for an event."""
    match event:
        case Suspended(error):
            log.warning("replica suspended, disk refuses writes", error=str(error))
        case Resumed():
            log.info("replica resumed, disk accepts writes")
        case SnapshotRefused(error):
            log.warning("snapshot not saved, disk refuses writes", error=str(error))
        case SnapshotUnreadable(error):
            log.warning("snapshot not sent, disk refuses reads", error=str(error))
