"""Quarantine of upstreams that fail everything, and probes afterwards."""

import heapq

from persimmonyard.scheduler.decisions import Decision, Quarantine, Reason
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Fleet, Node
from persimmonyard.scheduler.health import HealthTracker

__all__ = ["QuarantineManager"]


class QuarantineManager:
    """Follow the health of upstreams and set their flags in the fleet.

    After its quarantine an upstream takes one idempotent job at a time and
    holds no guarantee, until a job succeeds there.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._health = HealthTracker()
        self._ends: list[tuple[float, str]] = []
        self._news: list[Decision] = []
        self.probing_ids: set[str] = set()

    def job_succeeded(self, node_id: str, job: Job, now: float) -> bool:
        """Take note of a finished job; return whether a probe has passed."""
        self._health.record_success(node_id, job.request_id, now, _group(job))
        node = self._fleet.node_by_id.get(node_id)
        if node is None or not node.probing:
            return False
        if self._health.needs_probe(node_id, now):
            return False
        node.probing = False
        self.probing_ids.discard(node_id)
        self._fleet.refresh(node)
        reason = Reason("probe_passed", "a job succeeded after the quarantine")
        self._news.append(Quarantine(node_id, now, reason))
        return True

    def job_failed(self, node_id: str, job: Job, now: float) -> bool:
        """Take note of a failed job; return whether a quarantine begins."""
        until = self._health.record_failure(node_id, job.request_id, now, _group(job))
        node = self._fleet.node_by_id.get(node_id)
        if until is None or node is None:
            return False
        self._begin(node, until)
        reason = Reason("unhealthy", "different jobs fail here and none succeeds")
        self._news.append(Quarantine(node_id, until, reason))
        return True

    def restore(self, node: Node, until: float | None, now: float) -> bool:
        """Take over a quarantine that was decided before this scheduler."""
        if until is None or until <= now or node.quarantined:
            return False
        self._begin(node, until)
        return True

    def _begin(self, node: Node, until: float) -> None:
        node.quarantined = True
        node.probing = False
        self.probing_ids.discard(node.node_id)
        heapq.heappush(self._ends, (until, node.node_id))

    def run(self, now: float, decisions: list[Decision]) -> bool:
        """Report new quarantines, and end those whose time has come.

        Return whether guarantees may be laid on more upstreams than before.
        """
        decisions += self._news
        self._news = []
        grown = False
        while self._ends and self._ends[0][0] <= now:
            _, node_id = heapq.heappop(self._ends)
            node = self._fleet.node_by_id[node_id]
            if not node.quarantined:
                continue
            node.quarantined = False
            if self._health.needs_probe(node_id, now):
                node.probing = True
                self.probing_ids.add(node_id)
            grown = grown or not node.probing
            self._fleet.refresh(node)
            self._fleet.on_freed(node)
        return grown

    def next_wakeup(self) -> float | None:
        """Return when the next quarantine ends."""
        if self._news:
            return 0.0
        return self._ends[0][0] if self._ends else None


def _group(job: Job) -> str:
    return f"{job.class_name}/{job.client_account}"
