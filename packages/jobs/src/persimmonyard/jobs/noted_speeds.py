"""The speeds of upstreams in the replicated state, for the next leader."""

from collections.abc import Iterable, Mapping

from persimmonyard.jobs.commands import NotedSpeed
from persimmonyard.jobs.fleet import UpstreamReport

__all__ = ["NotedSpeeds"]


class NotedSpeeds:
    """The last speed of each incarnation whose report is stored.

    It holds none for an incarnation without a report in the replicated state.
    """

    def __init__(
        self,
        report_by_upstream: Mapping[str, UpstreamReport],
        noted: Iterable[NotedSpeed] = (),
    ):
        self._report_by_upstream = report_by_upstream
        self._by_id: dict[str, NotedSpeed] = {}
        for speed in noted:
            self.note(speed)

    def note(self, speed: NotedSpeed) -> None:
        """Store a speed; one of another incarnation changes nothing.

        It may have been proposed before the upstream restarted.
        """
        report = self._report_by_upstream.get(speed.upstream_id)
        if report is None or report.incarnation != speed.incarnation:
            return
        if speed.factor_thousandths > 0:
            self._by_id[speed.upstream_id] = speed

    def find(self, upstream_id: str) -> NotedSpeed | None:
        """Return the speed of the stored incarnation, or None if unknown.

        The speed of an earlier incarnation is void.
        """
        speed = self._by_id.get(upstream_id)
        report = self._report_by_upstream.get(upstream_id)
        if speed is None or report is None or report.incarnation != speed.incarnation:
            return None
        return speed

    def all(self) -> list[NotedSpeed]:
        """Return the speeds of all stored incarnations."""
        found = []
        for upstream_id in self._by_id:
            speed = self.find(upstream_id)
            if speed is not None:
                found.append(speed)
        return found

    def forget(self, upstream_id: str) -> None:
        """Delete the speed of an upstream whose report was deleted."""
        self._by_id.pop(upstream_id, None)
