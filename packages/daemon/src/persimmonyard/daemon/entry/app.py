"""The HTTP application of an entry: routes, metrics and health check."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

from litestar import Litestar, Request, Response
from litestar.handlers import HTTPRouteHandler

from persimmonyard.daemon.entry.announcements import AnnouncementApi
from persimmonyard.daemon.entry.filters import FilterChain
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.operator_api import OperatorApi
from persimmonyard.daemon.entry.requests_api import RequestApi
from persimmonyard.daemon.errors import exception_handlers
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.metrics import EntryMetrics
from persimmonyard.model import PersimmonyardError, ResultCode

__all__ = ["EntryApp"]

Handler = Callable[..., Awaitable[Any]]


class EntryApp:
    """Route calls to their handlers and record call metrics."""

    def __init__(
        self,
        state: LocalState,
        chain: FilterChain,
        metrics: EntryMetrics,
        requests: RequestApi,
        operators: OperatorApi,
        announcements: AnnouncementApi,
    ):
        self.stopping = False
        self._logger = get_logger("http")
        self._state = state
        self._chain = chain
        self._metrics = metrics
        self._requests = requests
        self._operators = operators
        self._announcements = announcements

    def build(self) -> Litestar:
        """Return the Litestar application."""
        requests = self._requests
        operators = self._operators
        request_path = "/v1/requests/{request_id:str}"
        configuration_path = "/v1/operator/configuration"
        handlers = [
            self._route("POST", "/v1/requests", "submit", requests.submit),
            self._route("GET", request_path, "fetch", requests.fetch),
            self._route("POST", f"{request_path}/cancel", "cancel", requests.cancel),
            self._route(
                "POST",
                f"{request_path}/acknowledge",
                "acknowledge",
                requests.acknowledge,
            ),
            self._route("GET", f"{request_path}/explain", "explain", requests.explain),
            self._route(
                "GET", configuration_path, "configuration", operators.configuration
            ),
            self._route("POST", configuration_path, "apply", operators.apply),
            self._route("GET", "/v1/operator/status", "status", operators.status),
            self._route("GET", "/v1/dump", "dump", operators.dump),
            self._route(
                "POST",
                "/v1/upstreams/announce",
                "announce",
                self._announcements.announce,
            ),
            self._unauthenticated_route("/health", self.health),
            self._unauthenticated_route("/metrics", self.metrics),
        ]
        # Litestar's own limit is disabled, because ``BodyFilter`` enforces the
        # limit in the settings while it reads the body.
        return Litestar(
            handlers,
            exception_handlers=exception_handlers,
            request_max_body_size=None,
            openapi_config=None,
            # The default configuration logs plain-text lines at level INFO,
            # one for each call that httpx makes.
            logging_config=None,
        )

    def health(self) -> Response[Any]:
        """Tell a load balancer whether to route calls to this process."""
        valid = self._state.lease_valid()
        status = "ok" if valid else "no lease"
        if self.stopping:
            status = "stopping"
        code = 200 if status == "ok" else 503
        return Response({"status": status, "lease_valid": valid}, status_code=code)

    def metrics(self) -> Response[Any]:
        """Return the metrics in the Prometheus text format."""
        body, media_type = self._metrics.text()
        return Response(body, media_type=media_type)

    def _route(
        self, method: Any, path: str, operation: str, handler: Handler
    ) -> HTTPRouteHandler:
        async def call(request: Request) -> Response[Any]:
            return await self._call_with_metrics(operation, handler, request)

        return HTTPRouteHandler(path, http_method=method, status_code=200)(call)

    def _unauthenticated_route(
        self, path: str, handler: Callable[[], Response[Any]]
    ) -> HTTPRouteHandler:
        async def call() -> Response[Any]:
            return handler()

        return HTTPRouteHandler(path, http_method="GET", status_code=200)(call)

    async def _call_with_metrics(
        self, operation: str, handler: Handler, request: Request
    ) -> Response[Any]:
        started_at = time.monotonic()
        code = int(ResultCode.INTERNAL_ERROR)
        try:
            body = await handler(request, **request.path_params)
            code = body.get("code", 0) if operation in ("submit", "fetch") else 0
        except PersimmonyardError as error:
            code = int(error.code)
            raise
        finally:
            work_class = getattr(request.state, "work_class", "")
            seconds = time.monotonic() - started_at
            self._metrics.count_call(operation, work_class, code, seconds)
            self._logger.debug(
                "call answered",
                operation=operation,
                request=request.path_params.get("request_id"),
                code=code,
                seconds=round(seconds, 4),
            )
        headers = {"Connection": "close"} if self.stopping else {}
        return Response(body, headers=headers)
