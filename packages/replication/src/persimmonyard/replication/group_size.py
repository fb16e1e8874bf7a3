"""How many voters a group keeps, and which members it may remove."""

from collections.abc import Sequence

from persimmonyard.replication.messages import Members

__all__ = ["least_voters", "removable_member"]


def least_voters(tolerated_losses: int) -> int:
    """Return the number of voters that tolerates so many losses at once.

    A group of one or two voters tolerates none, so the result is at least 3.
    """
    return 2 * max(1, tolerated_losses) + 1


def removable_member(
    members: Members, silent_members: Sequence[str], tolerated_losses: int
) -> str | None:
    """Return the silent member to remove next, or None.

    ``silent_members`` come in the order of removal.

    A silent voter still counts toward the quorum.  It is removed while more
    than ``least_voters`` are left, because other replicas have taken its place
    then.  A smaller group keeps it: it may be down for a moment, and without
    it fewer disks than ``tolerated_losses`` and one would hold each entry.  So
    two silent voters out of seven are removed, and two out of five are not, if
    two losses have to be tolerated.

    A silent learner is always removed, since no quorum needs it.
    """
    for name in silent_members:
        if name in members.learners:
            return name
        needed = least_voters(tolerated_losses)
        if name in members.voters and len(members.voters) > needed:
            return name
    return None
