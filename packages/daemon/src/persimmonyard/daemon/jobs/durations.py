"""Durations of the job roles, derived from the bounds in the settings."""

from typing import NamedTuple

from persimmonyard.daemon.jobs.settings import BoundSettings

__all__ = ["Durations", "derive_durations"]

# Longest wait for an end that upstreams accept in one call, in ms.
MAX_WAIT_MS = 2_000
# Share of the longest lease that is requested; upstreams shorten leases above
# the longest one.
_LEASE_SHARE = 0.95
# How long after its sending an order without an answer may still be executed,
# in seconds: on the platform this takes 2 to 12 s.
_LATE_ORDER_S = 12.0
# Share of the gang patience after which a start without an answer is given
# up, so that this happens before the members of its gang end.
_START_TIMEOUT_SHARE = 0.7
# Share of the gang patience after which an order is repeated: within a region
# it is answered in a few ms, and a lost one has to be sent several times
# before the members of a gang end.
_ORDER_TIMEOUT_SHARE = 0.15
# Runs with checkpoints are stopped this share of the gang patience before
# their upstream leaves: a stop takes up to 0.9 s, a share of 0.3.
_CHECKPOINT_LEAD_SHARE = 0.4
# Shares of the stop grace.  The load balancer polls once a second and removes
# an instance after two failed polls: with a grace of 6 s, new calls are served
# for 2.3 s after a stop begins, and calls in progress get 2.7 s more.
_NOTICE_SHARE = 0.38
_DRAIN_SHARE = 0.45
# Shares of the time within which the platform expects recovery after a
# failure.  In less than half of it a lost leader is detected and another one
# elected.  A leader's lease ends before an election even if clock rates differ
# by 10%, and it outlasts two lost heartbeats.
_REPLICA_HEARTBEAT_SHARE = 0.05
_ELECTION_TIMEOUT_SHARE = 0.2
_LEADER_LEASE_SHARE = 0.172
_FAILOVER_SHARE = 0.5
# Upper limit of that time in the durations of the replicated log, in ms: where
# the platform allows more, failover need not be slower.
_MAX_CONTACT_MS = 3_000
# Upstreams get no work from the age of their last report on at which a change
# of their capacity that the report does not show might count, less this
# margin, in ms.
_REPORT_MARGIN_MS = 500
# An upstream gets no work once it has missed two reports and a half, and the
# replicated state forgets it once a report is late by two fifths of the
# interval.
_MISSED_REPORTS = 2.5
_LATE_REPORT = 1.4
# Ended jobs are kept a tenth longer than callers may query them.
_RETENTION_SHARE = 1.1


class Durations(NamedTuple):
    """Durations in seconds, or in milliseconds for names that end in "_ms".

    ``replica_heartbeat_s``, ``election_timeout_s`` and ``leader_lease_s`` are
    for the replicated log; an election begins after 1 to 1.6 times
    ``election_timeout_s`` without a leader.  ``failover_s`` is how long a
    failover takes at most, in which a leader is lost and replaced.
    ``heartbeat_s`` is the interval of upstreams' reports.  An upstream gets
    work for ``report_valid_s`` after its last report, and from a new leader
    without a report of its own for ``restored_report_s`` after the last
    contact with the previous leader.  The replicated state forgets it
    ``silent_after_s`` after its last report.  ``wait_ms`` is how
    long an upstream may wait for an end in a poll.  A stopping entry accepts
    new calls for ``notice_s`` after it reports as not ready, and calls in
    progress get ``drain_s`` more; a stopping control process leaves the group
    within ``notice_s``.  ``longest_lease_ms`` is the longest lease
    that upstreams grant, and ``late_order_s`` how long after its sending an
    order without an answer may still be executed.  A stopped run has ended
    within ``longest_stop_s``.
    """

    lease_ms: int
    wait_ms: int
    order_timeout_s: float
    start_timeout_s: float
    checkpoint_lead_s: float
    retention_ms: int
    heartbeat_s: float
    notice_s: float
    drain_s: float
    replica_heartbeat_s: float
    election_timeout_s: float
    leader_lease_s: float
    failover_s: float
    report_valid_s: float
    restored_report_s: float
    silent_after_s: float
    longest_lease_ms: int
    late_order_s: float
    longest_stop_s: float


def derive_durations(bounds: BoundSettings) -> Durations:
    """Derive the durations from the bounds."""
    # A reduced capacity counts from this age of a report on.
    capacity_ms = bounds.contact_ms + bounds.heartbeat_ms - _REPORT_MARGIN_MS
    silent_after_ms = bounds.heartbeat_ms * _LATE_REPORT
    contact_s = min(bounds.contact_ms, _MAX_CONTACT_MS) / 1_000
    return Durations(
        lease_ms=int(bounds.longest_lease_ms * _LEASE_SHARE),
        wait_ms=MAX_WAIT_MS,
        order_timeout_s=bounds.gang_patience_ms * _ORDER_TIMEOUT_SHARE / 1_000,
        start_timeout_s=bounds.gang_patience_ms * _START_TIMEOUT_SHARE / 1_000,
        checkpoint_lead_s=bounds.gang_patience_ms * _CHECKPOINT_LEAD_SHARE / 1_000,
        retention_ms=int(bounds.state_kept_s * 1_000 * _RETENTION_SHARE),
        heartbeat_s=bounds.heartbeat_ms / 1_000,
        notice_s=bounds.stop_grace_s * _NOTICE_SHARE,
        drain_s=bounds.stop_grace_s * _DRAIN_SHARE,
        replica_heartbeat_s=contact_s * _REPLICA_HEARTBEAT_SHARE,
        election_timeout_s=contact_s * _ELECTION_TIMEOUT_SHARE,
        leader_lease_s=contact_s * _LEADER_LEASE_SHARE,
        failover_s=contact_s * _FAILOVER_SHARE,
        report_valid_s=min(bounds.heartbeat_ms * _MISSED_REPORTS, capacity_ms) / 1_000,
        restored_report_s=max(0.0, capacity_ms - silent_after_ms) / 1_000,
        silent_after_s=silent_after_ms / 1_000,
        longest_lease_ms=bounds.longest_lease_ms,
        late_order_s=_LATE_ORDER_S,
        longest_stop_s=bounds.longest_stop_ms / 1_000,
    )
