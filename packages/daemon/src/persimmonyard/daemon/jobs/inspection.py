"""The HTTP port on which a process shows its metrics and its state."""

from collections.abc import Callable
from typing import Any

from litestar import Litestar, Response, get

from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.metrics import ProcessMetrics

__all__ = ["inspection_server"]

_DRAIN_S = 1.0


def inspection_server(
    metrics: ProcessMetrics, dump: Callable[[], dict[str, Any]], host: str, port: int
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
    return HttpServer(app, host, port, _DRAIN_S)
