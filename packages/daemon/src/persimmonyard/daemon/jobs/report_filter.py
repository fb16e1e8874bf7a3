"""Keeps reports of programs that are no upstreams out of a leader's term."""

from typing import Any

from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.jobs import (
    Fleet,
    JobStore,
    ReportOrigin,
    UpstreamReport,
    is_upstream_report,
)

__all__ = ["ReportFilter"]

# Ignored identifiers that are logged in one term.
_MAX_LOGGED_IDS = 100


class ReportFilter:
    """Decides which reports a leader uses, and logs those that it ignores."""

    def __init__(self, log: Any, store: JobStore, fleet: Fleet, metrics: JobMetrics):
        self._log = log
        self._store = store
        self._fleet = fleet
        self._metrics = metrics
        self._logged_ids: set[str] = set()

    def accepts(self, report: UpstreamReport) -> bool:
        """Return whether a report that has arrived is that of an upstream."""
        known = self._fleet.by_id.get(report.upstream_id)
        if self._is_upstream(report, known.report if known is not None else None):
            return True
        self._record_ignored(report)
        return False

    def restores(self, report: UpstreamReport) -> bool:
        """Return whether a report in the replicated state is an upstream's.

        Earlier versions stored the reports of other programs as well.
        """
        return self._is_upstream(report, None)

    def _is_upstream(
        self, report: UpstreamReport, known: UpstreamReport | None
    ) -> bool:
        seats = self._store.seats_by_upstream.get(report.upstream_id, {}).values()
        origin = ReportOrigin(
            self._store.configuration,
            known,
            tuple(seat_record.seat for seat_record in seats),
        )
        return is_upstream_report(report, origin)

    def _record_ignored(self, report: UpstreamReport) -> None:
        self._metrics.record_event("report_ignored")
        if (
            report.upstream_id in self._logged_ids
            or len(self._logged_ids) >= _MAX_LOGGED_IDS
        ):
            return
        self._logged_ids.add(report.upstream_id)
        self._log.warning(
            "report ignored",
            upstream=report.upstream_id,
            service=report.service,
            address=report.address,
            version=self._store.version(),
        )
