"""Durations of leases, heartbeats and permits, in seconds.

``docs/design.md`` section 13 explains how they depend on each other.
"""

__all__ = [
    "CLOCK_DRIFT_FACTOR",
    "ENTRY_HEARTBEAT_S",
    "ENTRY_LEASE_S",
    "RENEWAL_INTERVAL_S",
    "START_PERMIT_S",
    "TASK_LEASE_S",
    "UPSTREAM_HEARTBEAT_S",
    "UPSTREAM_LEASE_S",
]

ENTRY_LEASE_S = 2.0
ENTRY_HEARTBEAT_S = 1.0
START_PERMIT_S = 2.0
UPSTREAM_LEASE_S = 10.0
UPSTREAM_HEARTBEAT_S = 3.0
TASK_LEASE_S = 15.0
RENEWAL_INTERVAL_S = 3.0
# The grantor of a lease waits longer than its holder relies on it, by this
# factor, because clock rates may differ by up to 10%.
CLOCK_DRIFT_FACTOR = 1.1
