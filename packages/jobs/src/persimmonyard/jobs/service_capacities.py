"""How many upstreams of each capacity a service has, by label.

It is kept up to date with the reports in the replicated state, so that the
admission of a job does not look at every upstream: most upstreams have one of
a few capacities.
"""

from collections.abc import Iterable, Mapping

from persimmonyard.decisions import NO_RESOURCES
from persimmonyard.jobs.fleet import UpstreamReport
from persimmonyard.model import Resources

__all__ = ["ServiceCapacities"]

# Stands for all upstreams of a service; a step without a label names it.
_NO_LABEL = ""
_NONE: Mapping[Resources, int] = {}


class ServiceCapacities:
    """The number of upstreams by capacity, for each service and label.

    ``total`` is the capacity of the upstreams of all services together.
    """

    def __init__(self, reports: Iterable[UpstreamReport] = ()):
        self.total = NO_RESOURCES
        self._counts: dict[tuple[str, str], dict[Resources, int]] = {}
        for report in reports:
            self.add(report)

    def add(self, report: UpstreamReport) -> None:
        """Count the upstream of a report."""
        self.total = self.total.plus(report.capacity)
        for label in {_NO_LABEL, *report.labels}:
            counts = self._counts.setdefault((report.service, label), {})
            counts[report.capacity] = counts.get(report.capacity, 0) + 1

    def discard(self, report: UpstreamReport | None) -> None:
        """Stop counting the upstream of a report that was added."""
        if report is None:
            return
        self.total = self.total.minus(report.capacity)
        for label in {_NO_LABEL, *report.labels}:
            counts = self._counts[(report.service, label)]
            counts[report.capacity] -= 1
            if not counts[report.capacity]:
                del counts[report.capacity]
            if not counts:
                del self._counts[(report.service, label)]

    def with_label(self, service: str, label: str) -> Mapping[Resources, int]:
        """Return the number of upstreams by capacity; "" is for any label."""
        return self._counts.get((service, label), _NONE)
