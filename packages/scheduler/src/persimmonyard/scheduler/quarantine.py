"""Quarantine of failing upstreams, and their probes afterwards."""

import heapq

from persimmonyard.scheduler.decisions import Decision, Quarantine, Reason
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Fleet, Node
from persimmonyard.scheduler.health import HealthTracker

__all__ = ["QuarantineManager"]


class QuarantineManager:
    """Track the health of upstreams and quarantine those that fail.

    It sets the ``quarantined`` and ``probing`` flags of the fleet's nodes.
    After its quarantine an upstream is probed: it runs one idempotent job at
    a time and no guaranteed blocks are placed on it, until a job succeeds.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._health = HealthTracker()
        self._quarantine_ends: list[tuple[float, str]] = []
        self._pending_decisions: list[Decision] = []
        self.probing_ids: set[str] = set()

    def job_succeeded(self, node_id: str, job: Job, now: float) -> bool:
        """Record a finished job; return whether it passed a probe."""
        self._health.record_success(node_id, job.request_id, now, _workload(job))
        node = self._fleet.node_by_id.get(node_id)
        if node is None or not node.probing:
            return False
        if self._health.needs_probe(node_id, now):
            return False
        node.probing = False
        self.probing_ids.discard(node_id)
        self._fleet.refresh(node)
        reason = Reason("probe_passed", "a job succeeded after the quarantine")
        self._pending_decisions.append(Quarantine(node_id, now, reason))
        return True

    def job_failed(self, node_id: str, job: Job, now: float) -> bool:
        """Record a failed job; return whether it starts a quarantine."""
        until = self._health.record_failure(
            node_id, job.request_id, now, _workload(job)
        )
        node = self._fleet.node_by_id.get(node_id)
        if until is None or node is None:
            return False
        self._start_quarantine(node, until)
        reason = Reason("unhealthy", "different jobs fail here and none succeeds")
        self._pending_decisions.append(Quarantine(node_id, until, reason))
        return True

    def restore(self, node: Node, until: float | None, now: float) -> bool:
        """Restore a quarantine that an earlier scheduler started.

        Return whether it is still in force and was not known yet.
        """
        if until is None or until <= now or node.quarantined:
            return False
        self._start_quarantine(node, until)
        return True

    def _start_quarantine(self, node: Node, until: float) -> None:
        node.quarantined = True
        node.probing = False
        self.probing_ids.discard(node.node_id)
        heapq.heappush(self._quarantine_ends, (until, node.node_id))

    def run(self, now: float, decisions: list[Decision]) -> bool:
        """Append pending decisions, and end the quarantines that have expired.

        Return whether guaranteed blocks may be placed on more upstreams than
        before.
        """
        decisions += self._pending_decisions
        self._pending_decisions = []
        capacity_grew = False
        while self._quarantine_ends and self._quarantine_ends[0][0] <= now:
            _, node_id = heapq.heappop(self._quarantine_ends)
            node = self._fleet.node_by_id[node_id]
            if not node.quarantined:
                continue
            node.quarantined = False
            if self._health.needs_probe(node_id, now):
                node.probing = True
                self.probing_ids.add(node_id)
            capacity_grew = capacity_grew or not node.probing
            self._fleet.refresh(node)
            self._fleet.on_freed(node)
        return capacity_grew

    def next_wakeup(self) -> float | None:
        """Return when ``run`` is due, ``None`` if nothing is quarantined.

        This is the end of the next quarantine, or 0 if there are decisions
        that ``run`` has not returned yet.
        """
        if self._pending_decisions:
            return 0.0
        return self._quarantine_ends[0][0] if self._quarantine_ends else None


def _workload(job: Job) -> str:
    return f"{job.class_name}/{job.client_account}"
