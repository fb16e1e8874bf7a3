"""What the leader knows of upstreams from their reports and answers."""

from dataclasses import dataclass
from typing import NamedTuple

from persimmonyard.model import Resources

__all__ = ["Fleet", "Upstream", "UpstreamReport"]

# Clocks of upstreams may be this much slow; published with the platform.
_SLOWEST_CLOCK = 0.98
# Reports come every heartbeat; after this many missed ones nothing is placed.
_MISSED_REPORTS = 2.5
# An upstream that has not reported yet counts as silent for this long.
_LONG_AGO_S = 1e6
# Extra time after a lease has ended on the slowest clock, in milliseconds.
_LAPSE_MARGIN_MS = 150


class UpstreamReport(NamedTuple):
    """What an upstream says of itself.

    ``incarnation`` is the Unix millisecond of its start, ``sequence`` rises
    with each report of one incarnation, and ``clock_ms`` is its steady clock.
    """

    upstream_id: str
    incarnation: int
    sequence: int
    service: str
    address: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    clock_ms: int
    leaving: bool = False
    remaining_ms: int = 0

    def facts(self) -> "UpstreamReport":
        """Return the report without what changes with every report."""
        return self._replace(sequence=-1, clock_ms=0, remaining_ms=0)


@dataclass
class Upstream:
    """One incarnation of an upstream, as the leader sees it.

    Clock readings of the upstream are in its milliseconds; ``*_at`` are
    seconds of the leader's steady clock.  ``granted_ms`` is the latest end of
    a lease that may have been granted.  Before the first reading of a clock,
    both count from the time at which the upstream was inherited.
    """

    report: UpstreamReport
    heard_at: float
    clock_ms: int
    clock_at: float
    granted_ms: int = 0
    clock_known: bool = True
    gone: bool = False
    avoid_until: float = 0.0

    def clock_floor_ms(self, now: float) -> int:
        """Return a reading that the upstream's clock has passed by now."""
        elapsed_ms = max(0.0, now - self.clock_at) * 1_000 * _SLOWEST_CLOCK
        return int(self.clock_ms + elapsed_ms)

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Take a reading that arrived at ``now``."""
        if not self.clock_known:
            self.granted_ms += clock_ms - self.clock_floor_ms(now)
            self.clock_known = True
            self.clock_ms = clock_ms
            self.clock_at = now
            return
        if clock_ms >= self.clock_floor_ms(now):
            self.clock_ms = clock_ms
            self.clock_at = now

    def grant(self, lease_ms: int, now: float) -> int:
        """Return the end of a new lease, on the upstream's clock."""
        until = self.clock_floor_ms(now) + lease_ms
        self.granted_ms = max(self.granted_ms, until)
        return until

    def avoid(self, until: float) -> None:
        """Place nothing here before ``until``."""
        self.avoid_until = max(self.avoid_until, until)

    def lapsed(self, now: float) -> bool:
        """Return whether every lease that was granted has ended."""
        return self.clock_floor_ms(now) > self.granted_ms + _LAPSE_MARGIN_MS


class Fleet:
    """The upstreams that have reported to this leader, by identity."""

    def __init__(self, heartbeat_s: float):
        self._fresh_s = heartbeat_s * _MISSED_REPORTS
        self.by_id: dict[str, Upstream] = {}

    def observe(self, report: UpstreamReport, now: float) -> tuple[Upstream, bool]:
        """Take a report; return the upstream and if it is a new incarnation.

        A report that a newer one has overtaken changes nothing.
        """
        known = self.by_id.get(report.upstream_id)
        if known is None or report.incarnation > known.report.incarnation:
            upstream = Upstream(report, now, report.clock_ms, now)
            self.by_id[report.upstream_id] = upstream
            return upstream, True
        if report.incarnation < known.report.incarnation:
            return known, False
        if report.sequence > known.report.sequence:
            # Leaving is final for an incarnation.
            leaving = report.leaving or known.report.leaving
            known.report = report._replace(leaving=leaving)
            known.heard_at = now
            known.gone = False
            known.note_clock(report.clock_ms, now)
        return known, False

    def inherit(self, report: UpstreamReport, lease_ms: int, now: float) -> None:
        """Add an upstream that runs work which a former leader started.

        Its clock is unknown; leases of ``lease_ms`` may have been granted
        until now.
        """
        if report.upstream_id in self.by_id:
            return
        self.adopt(report, lease_ms, now)
        self.by_id[report.upstream_id].heard_at = now - _LONG_AGO_S

    def adopt(self, report: UpstreamReport, lease_ms: int, now: float) -> None:
        """Add an upstream that a former leader has heard of lately.

        It counts as heard now; its clock is unknown as with ``inherit``.
        """
        self.by_id[report.upstream_id] = Upstream(
            report, now, 0, now, granted_ms=lease_ms, clock_known=False
        )

    def fresh(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is present, heard lately and stays."""
        if upstream.gone or upstream.report.leaving:
            return False
        return now - upstream.heard_at <= self._fresh_s

    def forget(self, silent_s: float, keep: set[str], now: float) -> list[str]:
        """Drop upstreams that were silent for long; return their names."""
        dropped = []
        for upstream_id, upstream in list(self.by_id.items()):
            if upstream_id in keep or now - upstream.heard_at < silent_s:
                continue
            del self.by_id[upstream_id]
            dropped.append(upstream_id)
        return dropped
