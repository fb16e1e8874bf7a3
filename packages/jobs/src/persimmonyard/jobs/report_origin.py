"""Decides whether a heartbeat report is that of an upstream.

Load pattern: other programs send reports to the control processes.  They name
a service of their own and any identifier, address and time of their start,
those of an upstream at work included.  Such a report must neither replace an
upstream nor change what is known of one.  Reports of upstreams keep coming
after a configuration has removed their service, and while no configuration is
known.
"""

from typing import NamedTuple

from persimmonyard.jobs.commands import Seat
from persimmonyard.jobs.configuration import JobConfiguration
from persimmonyard.jobs.fleet import UpstreamReport

__all__ = ["ReportOrigin", "is_upstream_report"]


class ReportOrigin(NamedTuple):
    """What tells the reports of upstreams from those of other programs.

    ``known`` is the last report of the upstream with the same identifier, or
    None; its service is empty if only runs on it are known.  ``seats`` are
    the open seats of runs on that upstream.
    """

    configuration: JobConfiguration | None
    known: UpstreamReport | None = None
    seats: tuple[Seat, ...] = ()


def is_upstream_report(report: UpstreamReport, origin: ReportOrigin) -> bool:
    """Return whether a report is that of an upstream.

    A configured service makes it one.  An upstream whose service has been
    removed keeps its identifier, address and service.  If its service is not
    known, it is the incarnation on which runs were placed.
    """
    if origin.configuration is not None:
        for service in origin.configuration.services:
            if service.name == report.service:
                return True
    known = origin.known
    if known is not None and known.service:
        return (known.service, known.address) == (report.service, report.address)
    for seat in origin.seats:
        if (seat.incarnation, seat.address) == (report.incarnation, report.address):
            return True
    return False
