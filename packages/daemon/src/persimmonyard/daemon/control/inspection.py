"""HTTP application of a control process.

It serves the state dump, the metrics, the health check and membership changes.
"""

from typing import Any, NamedTuple

from litestar import Litestar, Request, Response, get

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.membership import member_handlers
from persimmonyard.daemon.control.operator_auth import OperatorAuthenticator
from persimmonyard.daemon.control.replicated_state import ReplicatedState
from persimmonyard.daemon.control.scheduling import SchedulingController
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.control.views import state_summary
from persimmonyard.daemon.errors import exception_handlers
from persimmonyard.daemon.metrics import ProcessMetrics
from persimmonyard.replication import Replica

__all__ = ["ControlComponents", "build_inspection_app"]


class ControlComponents(NamedTuple):
    """The components of a control process that are inspected over HTTP."""

    process: str
    replicated_state: ReplicatedState
    replica: Replica
    sessions: SessionController
    assignments: AssignmentController
    scheduling: SchedulingController
    upstreams: UpstreamController


def build_inspection_app(
    components: ControlComponents, authenticate_operator: OperatorAuthenticator
) -> Litestar:
    """Return the application.

    The state dump and the membership calls require an operator's token.
    """
    metrics = _build_metrics(components)

    @get("/dump")
    async def dump(request: Request) -> dict[str, Any]:
        authenticate_operator(request)
        return _dump_state(components)

    @get("/metrics")
    async def show_metrics() -> Response[bytes]:
        body, media_type = metrics.text()
        return Response(body, media_type=media_type)

    @get("/health")
    async def health() -> dict[str, bool]:
        return {"leading": components.replicated_state.is_leader()}

    members = member_handlers(components.replica, authenticate_operator)
    return Litestar(
        [dump, show_metrics, health, *members],
        exception_handlers=exception_handlers,
        logging_config=None,
    )


def _dump_state(components: ControlComponents) -> dict[str, Any]:
    return {
        "process": components.process,
        "leading": components.replicated_state.is_leader(),
        "replica": components.replica.status()._asdict(),
        "state": state_summary(components.replicated_state.machine),
        "scheduler_loaded": components.scheduling.loaded.is_set(),
        "guarantees_at_risk": components.scheduling.guarantees_at_risk(),
        "sessions": components.sessions.dump(),
        "attempts_by_entry": components.assignments.dump(),
        "heartbeats": components.upstreams.dump(),
    }


def _build_metrics(components: ControlComponents) -> ProcessMetrics:
    machine = components.replicated_state.machine
    replica = components.replica
    metrics = ProcessMetrics()
    metrics.add_gauge(
        "leading", "1 under a quorum lease.", components.replicated_state.is_leader
    )
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
        "sessions",
        "Entries connected.",
        lambda: len(components.sessions.session_by_entry),
    )
    metrics.add_gauge(
        "guarantees_at_risk",
        "Guaranteed shapes that do not fit now.",
        lambda: len(components.scheduling.guarantees_at_risk()),
    )
    return metrics
