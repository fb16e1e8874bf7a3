"""The HTTP port of a control process: state dump, metrics, health."""

from typing import Any, NamedTuple

from litestar import Litestar, Request, Response, get

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.daemon.control.membership import member_handlers
from persimmonyard.daemon.control.operators import OperatorCheck
from persimmonyard.daemon.control.scheduling import SchedulingController
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.control.views import status
from persimmonyard.daemon.errors import exception_handlers
from persimmonyard.daemon.metrics import ProcessMetrics
from persimmonyard.replication import Replica

__all__ = ["Inspected", "build_inspection_app"]


class Inspected(NamedTuple):
    """The parts of a control process that can be looked into."""

    process: str
    ledger: Ledger
    replica: Replica
    sessions: SessionController
    assignments: AssignmentController
    scheduling: SchedulingController
    upstreams: UpstreamController


def build_inspection_app(parts: Inspected, check: OperatorCheck) -> Litestar:
    """Return the application; the dump needs an operator's token."""
    metrics = _metrics(parts)

    @get("/dump")
    async def dump(request: Request) -> dict[str, Any]:
        check(request)
        return _dump(parts)

    @get("/metrics")
    async def show_metrics() -> Response[bytes]:
        body, media_type = metrics.text()
        return Response(body, media_type=media_type)

    @get("/health")
    async def health() -> dict[str, bool]:
        return {"leading": parts.ledger.leads()}

    members = member_handlers(parts.replica, check)
    return Litestar(
        [dump, show_metrics, health, *members],
        exception_handlers=exception_handlers,
        logging_config=None,
    )


def _dump(parts: Inspected) -> dict[str, Any]:
    return {
        "process": parts.process,
        "leading": parts.ledger.leads(),
        "replica": parts.replica.status()._asdict(),
        "state": status(parts.ledger.machine),
        "scheduler_loaded": parts.scheduling.loaded.is_set(),
        "guarantees_at_risk": parts.scheduling.guarantees_at_risk(),
        "sessions": parts.sessions.state(),
        "attempts_by_entry": parts.assignments.state(),
        "heartbeats": parts.upstreams.state(),
    }


def _metrics(parts: Inspected) -> ProcessMetrics:
    machine = parts.ledger.machine
    replica = parts.replica
    metrics = ProcessMetrics()
    metrics.add_gauge("leading", "1 under a quorum lease.", parts.ledger.leads)
    metrics.add_gauge("term", "Term of the replica.", lambda: replica.status().term)
    metrics.add_gauge(
        "commit_index", "Last committed entry.", lambda: replica.status().commit
    )
    metrics.add_gauge(
        "configuration_version",
        "Version of the configuration.",
        lambda: machine.configuration.version,
    )
    metrics.add_gauge(
        "requests", "Requests that are kept.", lambda: len(machine.request_by_id)
    )
    metrics.add_gauge(
        "upstreams", "Upstreams that are known.", lambda: len(machine.upstream_by_id)
    )
    metrics.add_gauge(
        "sessions", "Entries connected.", lambda: len(parts.sessions.session_by_entry)
    )
    metrics.add_gauge(
        "guarantees_at_risk",
        "Guaranteed shapes that do not fit now.",
        lambda: len(parts.scheduling.guarantees_at_risk()),
    )
    return metrics
