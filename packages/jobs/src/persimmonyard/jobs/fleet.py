"""The leader's view of upstreams: their reports, clocks and leases.

``persimmonyard.scheduler.fleet`` is another module, with the used and
guaranteed capacity of upstreams.
"""

from dataclasses import dataclass
from typing import NamedTuple

from persimmonyard.model import Resources

__all__ = ["Fleet", "Upstream", "UpstreamReport", "lease_s", "order_fence"]

# Lowest rate of an upstream's clock relative to true time; the platform
# documents it.
_MIN_CLOCK_RATE = 0.98
# Age of the last report, in seconds, that is assumed for an upstream that has
# not reported to this leader.
_NEVER_SEEN_AGE_S = 1e6
# Share of the upstreams with valid reports from which on the fleet is known.
_KNOWN_SHARE = 0.9
# A lease counts as expired this long after its end on the slowest clock, in
# milliseconds.
_LEASE_END_MARGIN_MS = 150
# Bits of a fencing token below those of the term: enough for the Unix time in
# milliseconds of the start of an incarnation until the year 2109.
_INCARNATION_BITS = 42


def order_fence(term: int, incarnation: int) -> int:
    """Return the fencing token of a leader's orders to an incarnation.

    It rises with the term and, within a term, with the incarnation.  An
    incarnation that has answered one order ignores each later arrival of an
    order for an earlier one, although both name the same identifier.
    """
    largest = (1 << _INCARNATION_BITS) - 1
    return (term << _INCARNATION_BITS) | min(incarnation, largest)


def lease_s(lease_ms: int) -> float:
    """Return how long a lease lasts at most, in seconds of true time."""
    return (lease_ms + _LEASE_END_MARGIN_MS) / 1_000 / _MIN_CLOCK_RATE


class UpstreamReport(NamedTuple):
    """A heartbeat report of an upstream.

    ``incarnation`` is the Unix time of its start in milliseconds,
    ``sequence`` increases with each report of an incarnation, and
    ``clock_ms`` is the reading of its monotonic clock.  ``remaining_ms`` is
    the minimum time until a leaving upstream ends.
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

    def stable_fields(self) -> "UpstreamReport":
        """Return the report without the fields that change every time."""
        return self._replace(sequence=-1, clock_ms=0, remaining_ms=0)


@dataclass
class Upstream:
    """The leader's state of one incarnation of an upstream.

    ``*_ms`` are milliseconds of the upstream's clock, ``*_at`` seconds of the
    leader's monotonic clock.  ``latest_lease_end_ms`` is the latest end of
    any lease that may have been granted.  While ``clock_known`` is false,
    ``latest_lease_end_ms`` and ``clock_ms`` count from the time at which the
    upstream was restored from the replicated state.  ``gone`` is true after
    the upstream has ended or another one has taken over its address.  A
    restored report without a later one is valid up to ``valid_until``.
    ``failing`` is true from a failed task on until one completes.
    ``confirmed`` is true once the incarnation has answered an order of this
    leader, so that no order for an earlier one has an effect on it any more.
    """

    report: UpstreamReport
    last_seen_at: float
    clock_ms: int
    clock_at: float
    latest_lease_end_ms: int = 0
    clock_known: bool = True
    gone: bool = False
    avoid_until: float = 0.0
    valid_until: float = float("inf")
    failing: bool = False
    confirmed: bool = False

    def clock_floor_ms(self, now: float) -> int:
        """Return a lower bound of the upstream's clock at ``now``."""
        elapsed_ms = max(0.0, now - self.clock_at) * 1_000 * _MIN_CLOCK_RATE
        return int(self.clock_ms + elapsed_ms)

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Record a clock reading that arrived at ``now``.

        Readings below the lower bound are outdated and are ignored.
        """
        if not self.clock_known:
            self.latest_lease_end_ms += clock_ms - self.clock_floor_ms(now)
            self.clock_known = True
            self.clock_ms = clock_ms
            self.clock_at = now
            return
        if clock_ms >= self.clock_floor_ms(now):
            self.clock_ms = clock_ms
            self.clock_at = now

    def confirm(self, clock_ms: int, now: float, longest_lease_ms: int) -> None:
        """Record the first listing of the incarnation, received at ``now``.

        An order for an earlier incarnation may have granted a lease before,
        whose end on the clock of that one is far ahead.  The upstream shortens
        it to ``longest_lease_ms``.
        """
        self.record_clock(clock_ms, now)
        self.confirmed = True
        self.latest_lease_end_ms = self.clock_floor_ms(now) + longest_lease_ms

    def assume_lease(self, lease_ms: int, now: float) -> None:
        """Assume that an earlier leader has granted a lease until now."""
        lease_end_ms = self.clock_floor_ms(now) + lease_ms
        self.latest_lease_end_ms = max(self.latest_lease_end_ms, lease_end_ms)

    def grant_lease(self, lease_ms: int, now: float) -> int:
        """Grant a lease and return its end on the upstream's clock."""
        lease_end_ms = self.clock_floor_ms(now) + lease_ms
        self.latest_lease_end_ms = max(self.latest_lease_end_ms, lease_end_ms)
        return lease_end_ms

    def avoid(self, until: float) -> None:
        """Keep new work off this upstream before ``until``."""
        self.avoid_until = max(self.avoid_until, until)

    def lease_left_ms(self, now: float) -> int:
        """Return how long a lease may last, negative once all have expired."""
        return (
            self.latest_lease_end_ms + _LEASE_END_MARGIN_MS - self.clock_floor_ms(now)
        )

    def leases_expired(self, now: float) -> bool:
        """Return whether every lease that was granted has expired."""
        return self.lease_left_ms(now) < 0


class Fleet:
    """The upstreams that this leader knows, by identifier.

    ``persimmonyard.scheduler`` has another class of this name.
    """

    def __init__(self, report_valid_s: float):
        self._report_valid_s = report_valid_s
        self.by_id: dict[str, Upstream] = {}
        self._incarnation_by_address: dict[str, int] = {}

    def observe(self, report: UpstreamReport, now: float) -> tuple[Upstream, bool]:
        """Record a report; return the upstream and whether it is new.

        An upstream is new if its incarnation was not known before.

        A report that is older than the last one changes nothing.
        """
        known = self.by_id.get(report.upstream_id)
        if known is None or report.incarnation > known.report.incarnation:
            upstream = Upstream(report, now, report.clock_ms, now)
            self._record_address(report)
            upstream.gone = self._is_replaced(report)
            self.by_id[report.upstream_id] = upstream
            return upstream, True
        if report.incarnation < known.report.incarnation:
            return known, False
        if report.sequence > known.report.sequence:
            # A departure is final for an incarnation, even if a later report
            # omits it.
            leaving = report.leaving or known.report.leaving
            known.report = report._replace(leaving=leaving)
            known.last_seen_at = now
            known.valid_until = float("inf")
            known.gone = self._is_replaced(report)
            known.record_clock(report.clock_ms, now)
        return known, False

    def _record_address(self, report: UpstreamReport) -> None:
        newest = self._incarnation_by_address.get(report.address, 0)
        self._incarnation_by_address[report.address] = max(newest, report.incarnation)

    def _is_replaced(self, report: UpstreamReport) -> bool:
        """Return whether another upstream has started at the address since.

        A delayed report may arrive after that.
        """
        return report.incarnation < self._incarnation_by_address[report.address]

    def predecessors(self, report: UpstreamReport) -> list[Upstream]:
        """Return the upstreams that an incarnation replaces at its address."""
        found = []
        for upstream in self.by_id.values():
            other = upstream.report
            if other.address != report.address or upstream.gone:
                continue
            if other.incarnation < report.incarnation:
                found.append(upstream)
        return found

    def restore_stale(self, report: UpstreamReport, lease_ms: int, now: float) -> None:
        """Add an upstream on which a previous leader placed runs.

        The upstream is unavailable until it reports.  Its clock is unknown,
        and leases of ``lease_ms`` may have been granted until now.
        """
        if report.upstream_id in self.by_id:
            return
        self.restore(report, lease_ms, now, now)
        self.by_id[report.upstream_id].last_seen_at = now - _NEVER_SEEN_AGE_S

    def restore(
        self, report: UpstreamReport, lease_ms: int, now: float, valid_until: float
    ) -> None:
        """Add an upstream whose report is in the replicated state.

        It is available up to ``valid_until`` as if it had reported now, unless
        it is leaving.  Its clock is unknown, as with ``restore_stale``.
        """
        self._record_address(report)
        self.by_id[report.upstream_id] = Upstream(
            report,
            now,
            0,
            now,
            latest_lease_end_ms=lease_ms,
            clock_known=False,
            valid_until=valid_until,
        )

    def is_available(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream reported recently and is not leaving."""
        if upstream.gone or upstream.report.leaving:
            return False
        return self.is_report_valid(upstream, now)

    def available_reports(self, now: float) -> list[UpstreamReport]:
        """Return the reports of the upstreams that are available."""
        return [
            upstream.report
            for upstream in self.by_id.values()
            if self.is_available(upstream, now)
        ]

    def is_report_valid(self, upstream: Upstream, now: float) -> bool:
        """Return whether the capacity in the last report still counts."""
        if now > upstream.valid_until:
            return False
        return now - upstream.last_seen_at <= self._report_valid_s

    def is_mostly_known(self, now: float) -> bool:
        """Return whether the reports of nearly all upstreams are valid.

        After a failover, upstreams report one after another to the new leader.
        """
        expected = 0
        valid = 0
        for upstream in self.by_id.values():
            if upstream.gone or upstream.report.leaving:
                continue
            expected += 1
            valid += self.is_report_valid(upstream, now)
        return valid >= _KNOWN_SHARE * expected

    def remove_silent(
        self, silent_s: float, keep_ids: set[str], now: float
    ) -> list[str]:
        """Remove upstreams silent for ``silent_s``; return their identifiers.

        Upstreams in ``keep_ids`` stay.
        """
        removed = []
        for upstream_id, upstream in list(self.by_id.items()):
            if upstream_id in keep_ids or now - upstream.last_seen_at < silent_s:
                continue
            del self.by_id[upstream_id]
            removed.append(upstream_id)
        return removed
