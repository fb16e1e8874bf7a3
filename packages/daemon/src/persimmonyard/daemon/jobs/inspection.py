"""The HTTP server for the metrics and the state of a process."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from litestar import Litestar, Response, get

from persimmonyard.daemon.http_server import SMALL_BODY_BYTES, HttpServer
from persimmonyard.daemon.intake import Intake
from persimmonyard.daemon.metrics import ProcessMetrics

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["describe_term", "inspection_server"]

_DRAIN_S = 1.0


def inspection_server(
    metrics: ProcessMetrics,
    dump: Callable[[], dict[str, Any]],
    host: str,
    port: int,
    intake: Intake,
) -> HttpServer:
    """Return a server for ``GET /metrics`` and ``GET /dump``."""

    @get("/metrics", sync_to_thread=False)
    def show_metrics() -> Response[bytes]:
        content, content_type = metrics.text()
        return Response(content, media_type=content_type)

    @get("/dump", sync_to_thread=False)
    def show_state() -> dict[str, Any]:
        return dump()

    app = Litestar([show_metrics, show_state], openapi_config=None, logging_config=None)
    return HttpServer(app, host, port, _DRAIN_S, intake, "inspection", SMALL_BODY_BYTES)


def describe_term(term: "LeaderTerm") -> dict[str, Any]:
    """Return the state of a leader's term for ``GET /dump``."""
    upstreams = {}
    now = term.now()
    for upstream_id, upstream in term.fleet.by_id.items():
        session = term.find_session(upstream.report.upstream_id)
        speed = term.speeds.speed(upstream_id)
        upstreams[upstream_id] = {
            "zone": upstream.report.zone,
            "incarnation": upstream.report.incarnation,
            "leaving": upstream.report.leaving,
            "gone": upstream.gone,
            "confirmed": upstream.confirmed,
            "ends_in_doubt": session.forgotten_ends.count if session is not None else 0,
            "heard_s_ago": round(now - upstream.last_seen_at, 3),
            "avoided_s": round(max(0.0, upstream.avoid_until - now), 3),
            "speed": round(speed.factor, 3),
            "speed_weight": round(speed.weight, 2),
            "runs": len(session.task_run_by_key) if session is not None else 0,
        }
    return {
        "term": term.fence,
        "upstreams": upstreams,
        "slowdowns": term.interference.describe(),
    }
