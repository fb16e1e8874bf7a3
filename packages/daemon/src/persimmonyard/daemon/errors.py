"""HTTP error responses: a JSON object with a result code."""

from typing import Any, TypedDict

from litestar import Request, Response
from litestar.exceptions import HTTPException

from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import PersimmonyardError, ResultCode

__all__ = [
    "RETRY_AFTER_S",
    "ErrorBody",
    "error_body",
    "exception_handlers",
    "http_status",
]

# Sent as Retry-After to callers refused for lack of capacity or of a leader.
# An election takes about 1 s.
RETRY_AFTER_S = 1

# Calls on these paths concern a request that is already recorded.
_RECORDED_REQUEST_PATH = "/v1/requests/"


class ErrorBody(TypedDict):
    """The body of every error response."""

    code: int
    name: str
    message: str
    field: str | None
    not_run: bool


# With these codes, a start may have been sent or a change recorded.
_MAY_HAVE_RUN_CODES = frozenset(
    {
        ResultCode.ANSWER_TOO_LARGE,
        ResultCode.CANCELLED,
        ResultCode.FAILED,
        ResultCode.FAILED_ON_MANY_UPSTREAMS,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.TIMEOUT,
        ResultCode.INTERNAL_ERROR,
    }
)

_STATUS_BY_CODE = {
    ResultCode.UNKNOWN_PATH: 404,
    ResultCode.WRONG_METHOD: 405,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNAUTHENTICATED: 401,
    ResultCode.FORBIDDEN: 403,
    ResultCode.OVERLOADED: 503,
    ResultCode.CALL_TOO_SLOW: 408,
    ResultCode.NOT_FOUND: 404,
    ResultCode.TIMEOUT: 504,
    ResultCode.INTERNAL_ERROR: 500,
}

_STATUS_BY_GROUP = {1: 400, 2: 403, 3: 429, 4: 409, 5: 200, 6: 503, 7: 409, 8: 500}

_CODE_BY_STATUS = {
    400: ResultCode.BAD_FIELD,
    404: ResultCode.UNKNOWN_PATH,
    405: ResultCode.WRONG_METHOD,
    413: ResultCode.BODY_TOO_LARGE,
}


def http_status(code: ResultCode) -> int:
    """Return the HTTP status for a result code."""
    if code in _STATUS_BY_CODE:
        return _STATUS_BY_CODE[code]
    return _STATUS_BY_GROUP.get(code // 100, 200)


def error_body(
    code: int,
    message: str,
    field: str | None = None,
    not_run: bool | None = None,
) -> ErrorBody:
    """Return the JSON body for an error.

    ``not_run`` says that the call certainly had no effect; ``None`` derives it
    from the code.
    """
    result_code = ResultCode(code)
    if not_run is None:
        not_run = result_code not in _MAY_HAVE_RUN_CODES
    return ErrorBody(
        code=code,
        name=result_code.name,
        message=message,
        field=field,
        not_run=not_run,
    )


def _respond(request: Request, error: PersimmonyardError) -> Response[Any]:
    not_run = error.not_run
    if request.url.path.startswith(_RECORDED_REQUEST_PATH):
        # A failed lookup says nothing about whether the request ran.
        not_run = False
    status = http_status(error.code)
    headers = {}
    if status in (429, 503):
        headers["Retry-After"] = str(RETRY_AFTER_S)
    body = error_body(error.code, error.message, error.field, not_run)
    # The request body of these calls was not read completely, so the
    # connection cannot be reused.
    if error.code in (ResultCode.BODY_TOO_LARGE, ResultCode.CALL_TOO_SLOW):
        headers["Connection"] = "close"
    return Response(body, status_code=status, headers=headers)


def _handle_persimmonyard_error(
    request: Request, error: PersimmonyardError
) -> Response[Any]:
    return _respond(request, error)


def _handle_http_exception(request: Request, error: HTTPException) -> Response[Any]:
    code = _CODE_BY_STATUS.get(error.status_code)
    if code is None:
        return _handle_unexpected_error(request, error)
    message = error.detail
    if code == ResultCode.UNKNOWN_PATH:
        message = f"no such path: {request.url.path}"
    if code == ResultCode.WRONG_METHOD:
        message = f"{request.url.path} does not accept {request.method}"
    return _respond(request, PersimmonyardError(code, message))


def _handle_unexpected_error(request: Request, error: Exception) -> Response[Any]:
    get_logger("http").error(
        "call failed", path=request.url.path, exc_info=error, code=605
    )
    internal_error = PersimmonyardError(
        ResultCode.INTERNAL_ERROR, "the call failed inside this process"
    )
    return _respond(request, internal_error)


exception_handlers: dict[Any, Any] = {
    PersimmonyardError: _handle_persimmonyard_error,
    HTTPException: _handle_http_exception,
    Exception: _handle_unexpected_error,
}
