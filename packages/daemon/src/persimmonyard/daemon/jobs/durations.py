"""Durations of the job roles, derived from the bounds in the settings."""

from typing import NamedTuple

from persimmonyard.daemon.jobs.settings import BoundSettings

__all__ = ["Durations", "durations"]

# The longest wait for an end that upstreams accept, in ms.
MAX_WAIT_MS = 2_000
# Share of the longest lease that is asked for: the upstream cuts the rest.
_LEASE_SHARE = 0.95
# A start that gets no answer is given up before the members of its gang end.
_START_SHARE = 0.7
# An order within a region is answered in a few ms; a lost one is repeated
# early enough for several attempts within the patience of a gang.
_ORDER_SHARE = 0.15
# Runs that save their work are stopped this long before their upstream
# leaves: a stop takes up to 0.9 s, 0.3 of the patience of a gang.
_LEAVE_SHARE = 0.4
# The load balancer polls once a second and takes an instance out after two
# misses: with a grace of 6 s, calls are served for 2.3 s after a stop begins,
# and those in progress get 2.7 s more.
_NOTICE_SHARE = 0.38
_DRAIN_SHARE = 0.45
# Shares of the time after which the platform expects everything to work
# again: a lost leader is noticed, and another one elected, in less than half
# of it. A lease ends before an election although clock rates may differ by
# 10%, and outlives two lost heartbeats.
_BEAT_SHARE = 1 / 15
_ELECTION_SHARE = 0.27
_LEADER_LEASE_SHARE = 0.235
# A looser bound needs no slower failover: beyond this, durations of the
# replicated log stay as they are, in ms.
_LOOSEST_CONTACT_MS = 3_000
# Jobs that ended are kept a tenth longer than callers may ask for them.
_RETENTION_SHARE = 1.1


class Durations(NamedTuple):
    """Milliseconds where the name says so, else seconds.

    ``beat_s``, ``election_s`` and ``leader_lease_s`` are for the replicated
    log; an election begins after one to 1.6 times ``election_s``.
    """

    lease_ms: int
    wait_ms: int
    order_timeout_s: float
    start_s: float
    leave_s: float
    retention_ms: int
    heartbeat_s: float
    notice_s: float
    drain_s: float
    beat_s: float
    election_s: float
    leader_lease_s: float


def durations(bounds: BoundSettings) -> Durations:
    """Return the durations that keep the bounds."""
    contact_s = min(bounds.contact_ms, _LOOSEST_CONTACT_MS) / 1_000
    return Durations(
        lease_ms=int(bounds.longest_lease_ms * _LEASE_SHARE),
        wait_ms=MAX_WAIT_MS,
        order_timeout_s=bounds.gang_patience_ms * _ORDER_SHARE / 1_000,
        start_s=bounds.gang_patience_ms * _START_SHARE / 1_000,
        leave_s=bounds.gang_patience_ms * _LEAVE_SHARE / 1_000,
        retention_ms=int(bounds.state_kept_s * 1_000 * _RETENTION_SHARE),
        heartbeat_s=bounds.heartbeat_ms / 1_000,
        notice_s=bounds.stop_grace_s * _NOTICE_SHARE,
        drain_s=bounds.stop_grace_s * _DRAIN_SHARE,
        beat_s=contact_s * _BEAT_SHARE,
        election_s=contact_s * _ELECTION_SHARE,
        leader_lease_s=contact_s * _LEADER_LEASE_SHARE,
    )
