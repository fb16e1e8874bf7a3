"""Runs a control process or an entry with clock and disk faults.

SIGUSR1 makes writes to the disk stall for 2 s, SIGUSR2 makes them fail for
1.5 s.  The time of day has a constant offset, except in gRPC.
"""

import errno
import functools
import os
import signal
import sys
import time
import types
from collections.abc import Callable
from typing import Any

from grpc.aio import _utils as grpc_utils

from persimmonyard.platform.main import run
from persimmonyard.replication import FileStorage, WriteRefusedError

__all__ = ["main"]

# Environment variable with the offset of the time of day, in seconds.
CLOCK_OFFSET_VARIABLE = "PERSIMMONYARD_SOAK_SHIFT_S"
STALL_SYNC_S = 2.0
REFUSE_WRITES_S = 1.5
# The methods of ``FileStorage`` that write to a folder in use.
WRITE_METHODS = ("persist", "reload", "save_snapshot", "store_chunk")

_stall_deadline = 0.0
_refuse_deadline = 0.0


def _start_stalling_syncs(*_: object) -> None:
    global _stall_deadline
    _stall_deadline = time.monotonic() + STALL_SYNC_S


def _start_refusing_writes(*_: object) -> None:
    global _refuse_deadline
    _refuse_deadline = time.monotonic() + REFUSE_WRITES_S


def _refusable(method: Callable) -> Callable:
    """Return a method of ``FileStorage`` that fails while writes are refused.

    The error is that of ``FileStorage`` on a full disk.  A plain ``OSError``
    would count as a failed sync, after which the process exits.
    """

    @functools.wraps(method)
    def write(storage: FileStorage, *arguments: Any) -> Any:
        if time.monotonic() < _refuse_deadline:
            raise WriteRefusedError(
                errno.ENOSPC, "no space left on device (injected fault)"
            )
        return method(storage, *arguments)

    return write


def main() -> None:
    """Run the process that the settings file describes."""
    clock_offset_s = float(os.environ.get(CLOCK_OFFSET_VARIABLE, "0"))
    system_time = time.time
    time.time = lambda: system_time() + clock_offset_s  # type: ignore[assignment]
    # gRPC adds time-outs to the time of day, and its core, which is not in
    # Python, compares the sum with the clock of the system.
    grpc_utils.time = types.SimpleNamespace(time=system_time)  # type: ignore
    for name in WRITE_METHODS:
        setattr(FileStorage, name, _refusable(getattr(FileStorage, name)))
    persist = FileStorage.persist

    def stallable_persist(storage: FileStorage, changes: list) -> None:
        time.sleep(max(0.0, _stall_deadline - time.monotonic()))
        persist(storage, changes)

    FileStorage.persist = stallable_persist  # type: ignore[method-assign]
    signal.signal(signal.SIGUSR1, _start_stalling_syncs)
    signal.signal(signal.SIGUSR2, _start_refusing_writes)
    run()


if __name__ == "__main__":
    sys.path.insert(0, os.getcwd())
    main()
