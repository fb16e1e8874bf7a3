"""HTTP form of errors: one JSON object with a result code."""

from typing import Any, TypedDict

from litestar import Request, Response
from litestar.exceptions import HTTPException

from persimmonyard.model import PersimmonyardError, ResultCode

__all__ = ["ErrorBody", "error_body", "exception_handlers", "http_status"]


class ErrorBody(TypedDict):
    """The body of every error response."""

    code: int
    name: str
    message: str
    field: str | None
    not_run: bool


# Codes after which a start may have been sent.
_MAY_HAVE_RUN = frozenset(
    {
        ResultCode.CANCELLED,
        ResultCode.FAILED,
        ResultCode.FAILED_ON_MANY_UPSTREAMS,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.TIMEOUT,
    }
)

_STATUS_BY_CODE = {
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNAUTHENTICATED: 401,
    ResultCode.FORBIDDEN: 403,
    ResultCode.QUEUE_FULL: 429,
    ResultCode.TOO_MANY_CONNECTIONS: 429,
    ResultCode.OVERLOADED: 503,
    ResultCode.NOT_FOUND: 404,
    ResultCode.TIMEOUT: 504,
}

_STATUS_BY_GROUP = {1: 400, 2: 403, 3: 429, 4: 409, 5: 200, 6: 503, 7: 409, 8: 500}


def http_status(code: ResultCode) -> int:
    """Return the HTTP status that goes with a result code."""
    if code in _STATUS_BY_CODE:
        return _STATUS_BY_CODE[code]
    return _STATUS_BY_GROUP.get(code // 100, 200)


def error_body(code: int, message: str, field: str | None = None) -> ErrorBody:
    """Return the JSON body for an error."""
    result_code = ResultCode(code)
    return ErrorBody(
        code=code,
        name=result_code.name,
        message=message,
        field=field,
        not_run=result_code not in _MAY_HAVE_RUN,
    )


def _handle_own(request: Request, error: PersimmonyardError) -> Response[Any]:
    body = error_body(error.code, error.message, error.field)
    return Response(body, status_code=http_status(error.code))


def _handle_http(request: Request, error: HTTPException) -> Response[Any]:
    code = ResultCode.BAD_FIELD
    if error.status_code == 413:
        code = ResultCode.BODY_TOO_LARGE
    if error.status_code in (404, 405):
        code = ResultCode.NOT_FOUND
    return Response(error_body(code, error.detail), status_code=error.status_code)


exception_handlers: dict[Any, Any] = {
    PersimmonyardError: _handle_own,
    HTTPException: _handle_http,
}
