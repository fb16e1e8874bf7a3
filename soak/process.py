"""Runs one process of the product with a clock and a disk that misbehave.

SIGUSR1 makes the next syncs of the disk stall, SIGUSR2 makes the disk refuse
writes for a while.  The time of day is shifted by a constant.
"""

import os
import signal
import sys
import time

from persimmonyard.platform.main import run
from persimmonyard.replication import FileStorage

__all__ = ["main"]

# Names the shift of the time of day, in seconds.
SHIFT_VARIABLE = "PERSIMMONYARD_SOAK_SHIFT_S"
STALL_S = 2.0
REFUSE_S = 1.5

_stall_until = 0.0
_refuse_until = 0.0


def _stall(*_: object) -> None:
    global _stall_until
    _stall_until = time.monotonic() + STALL_S


def _refuse(*_: object) -> None:
    global _refuse_until
    _refuse_until = time.monotonic() + REFUSE_S


def main() -> None:
    """Run the process that the settings file describes."""
    shift_s = float(os.environ.get(SHIFT_VARIABLE, "0"))
    true_time = time.time
    time.time = lambda: true_time() + shift_s  # type: ignore[assignment]
    persist = FileStorage.persist

    def faulty_commit(disk: FileStorage, changes: list) -> None:
        time.sleep(max(0.0, _stall_until - time.monotonic()))
        if time.monotonic() < _refuse_until:
            raise OSError(28, "no space left on the disk of the soak")
        persist(disk, changes)

    FileStorage.persist = faulty_commit  # type: ignore[method-assign]
    signal.signal(signal.SIGUSR1, _stall)
    signal.signal(signal.SIGUSR2, _refuse)
    run()


if __name__ == "__main__":
    sys.path.insert(0, os.getcwd())
    main()
