"""Errors of the replicated log."""

__all__ = [
    "LOG_DAMAGED",
    "SYNC_FAILED",
    "LogDamagedError",
    "MemberChangeError",
    "NotLeaderError",
    "OutcomeUnknownError",
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


class LogDamagedError(Exception):
    """A stored file is damaged or missing.

    A torn tail of the log is no damage: it is the normal result of a crash.
    """

    code = LOG_DAMAGED
