"""Errors of the replicated log."""

import contextlib
import errno
from collections.abc import Iterator

__all__ = [
    "LOG_DAMAGED",
    "SYNC_FAILED",
    "LogDamagedError",
    "MemberChangeError",
    "NotLeaderError",
    "OutcomeUnknownError",
    "WriteRefusedError",
    "refused_writes",
]

# Result codes; the reference documentation lists the same numbers.
LOG_DAMAGED = 800
SYNC_FAILED = 801


class NotLeaderError(Exception):
    """The replica is not the leader.

    ``leader_hint`` is the identity of the probable leader, or empty.
    """

    def __init__(self, leader_hint: str = ""):
        super().__init__(f"not the leader; try {leader_hint or 'another replica'}")
        self.leader_hint = leader_hint


class OutcomeUnknownError(Exception):
    """It is unknown whether the entry was, or will be, committed."""


class MemberChangeError(Exception):
    """The membership change cannot be made now."""


class WriteRefusedError(OSError):
    """The file system refused a write, so nothing that was synced changed."""


# Errors with which a full or read-only file system refuses a write.
_REFUSALS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EROFS})


@contextlib.contextmanager
def refused_writes() -> Iterator[None]:
    """Raise ``WriteRefusedError`` for refusals among the ``OSError`` raised.

    Use it only around writes after whose failure everything synced before is
    intact.  A failed sync of such data is no refusal, whatever its error.
    """
    try:
        yield
    except OSError as error:
        if error.errno not in _REFUSALS:
            raise
        raise WriteRefusedError(error.errno, error.strerror) from error


class LogDamagedError(Exception):
    """A stored file is damaged or missing.

    A torn tail of the log is no damage: it is the normal result of a crash.
    """

    code = LOG_DAMAGED
