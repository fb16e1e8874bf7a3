"""Errors of the replicated log."""

__all__ = [
    "LOG_DAMAGED",
    "SYNC_FAILED",
    "LogDamagedError",
    "MemberChangeError",
    "NotLeaderError",
    "OutcomeUnknownError",
]

# The numbers are those of the result codes in the project's reference.
LOG_DAMAGED = 800
SYNC_FAILED = 801


class NotLeaderError(Exception):
    """The replica does not lead; ``leader_hint`` is an identity or empty."""

    def __init__(self, leader_hint: str = ""):
        super().__init__(f"not the leader; try {leader_hint or 'another replica'}")
        self.leader_hint = leader_hint


class OutcomeUnknownError(Exception):
    """The entry may or may not be committed later."""


class MemberChangeError(Exception):
    """A membership change is not possible at the moment."""


class LogDamagedError(Exception):
    """A file holds damage that is not a torn tail."""

    code = LOG_DAMAGED
