"""Errors of the replicated log."""

__all__ = ["LogDamagedError", "NotLeaderError", "OutcomeUnknownError"]


class NotLeaderError(Exception):
    """The replica does not lead; ``leader_hint`` is an identity or empty."""

    def __init__(self, leader_hint: str = ""):
        super().__init__(f"not the leader; try {leader_hint or 'another replica'}")
        self.leader_hint = leader_hint


class OutcomeUnknownError(Exception):
    """The entry may or may not be committed later."""


class LogDamagedError(Exception):
    """The log holds damage that is not a torn tail."""
