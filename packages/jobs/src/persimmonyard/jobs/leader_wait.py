"""Decides whether a call waits while there is no control leader.

Load pattern: all control processes are gone for several seconds, and callers
keep coming.  A failover ends within a second or two, and a call that waits for
it is served without another attempt.  A longer loss is no failover: a call
that waited until its deadline would be told too late to come back.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["ComeBack", "KeepWaiting", "LeaderLoss", "decide_without_leader"]

# Part of the time of a failover over which rejections are spread, so that
# the callers that waited do not return together.
_SPREAD_SHARE = 0.25


class LeaderLoss(NamedTuple):
    """What an entry knows about the loss of the leader; times in seconds.

    ``missed_since`` is when the entry first found no leader.  ``failover_s``
    is how long a failover takes at most.  ``in_doubt`` says that a process may
    have executed the call.  ``spread`` is a number from 0 to 1 that was drawn
    for the call.
    """

    now: float
    missed_since: float
    failover_s: float
    in_doubt: bool
    spread: float


@dataclass(frozen=True)
class KeepWaiting:
    """Try again to find a leader."""


@dataclass(frozen=True)
class ComeBack:
    """Reject the call, which has not run; the caller may retry."""


def decide_without_leader(loss: LeaderLoss) -> KeepWaiting | ComeBack:
    """Return whether a call that has found no leader waits any longer.

    A call in doubt waits until its deadline, because a rejection would say
    that it has not run.
    """
    patience_s = loss.failover_s * (1.0 + _SPREAD_SHARE * loss.spread)
    if loss.in_doubt or loss.now < loss.missed_since + patience_s:
        return KeepWaiting()
    return ComeBack()
