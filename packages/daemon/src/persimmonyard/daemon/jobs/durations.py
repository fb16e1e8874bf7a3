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
# Jobs that ended are kept a tenth longer than callers may ask for them.
_RETENTION_SHARE = 1.1


class Durations(NamedTuple):
    """Milliseconds where the name says so, else seconds."""

    lease_ms: int
    wait_ms: int
    order_s: float
    start_s: float
    retention_ms: int
    heartbeat_s: float
    stop_s: float


def durations(bounds: BoundSettings) -> Durations:
    """Return the durations that keep the bounds."""
    return Durations(
        lease_ms=int(bounds.longest_lease_ms * _LEASE_SHARE),
        wait_ms=MAX_WAIT_MS,
        order_s=bounds.gang_patience_ms * _ORDER_SHARE / 1_000,
        start_s=bounds.gang_patience_ms * _START_SHARE / 1_000,
        retention_ms=int(bounds.state_kept_s * 1_000 * _RETENTION_SHARE),
        heartbeat_s=bounds.heartbeat_ms / 1_000,
        stop_s=bounds.stop_ms / 1_000,
    )
