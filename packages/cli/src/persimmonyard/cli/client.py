"""HTTP client for the API of entries, with retries on other entries."""

import random
import time
from collections.abc import Callable, Sequence
from typing import Any

import httpx

from persimmonyard.model import ResultCode, UserError

__all__ = ["EntryClient"]

CALL_TIMEOUT_S = 90.0
CONNECT_TIMEOUT_S = 5.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

# Errors that may be absent on another entry, or on the same one after a pause.
_RETRYABLE = frozenset(
    {
        ResultCode.QUEUE_FULL,
        ResultCode.TOO_MANY_CONNECTIONS,
        ResultCode.OVERLOADED,
        ResultCode.CALL_TOO_SLOW,
        ResultCode.NO_LEADER,
        ResultCode.NOT_LEADER,
        ResultCode.STOPPING,
        ResultCode.TIMEOUT,
        ResultCode.CONFIGURATION_LEASE_EXPIRED,
        ResultCode.INTERNAL_ERROR,
    }
)

# Result codes for the statuses with which the job service refuses a call.
_CODE_BY_STATUS = {
    400: ResultCode.BAD_FIELD,
    401: ResultCode.UNAUTHENTICATED,
    404: ResultCode.UNKNOWN_PATH,
    413: ResultCode.BODY_TOO_LARGE,
    429: ResultCode.OVERLOADED,
    503: ResultCode.NO_LEADER,
}


class EntryClient:
    """Calls the API of entries with one token.

    A call that fails with a retryable error is sent again to the next URL in
    ``urls`` until ``retry_s`` seconds have passed.  Every call can be retried
    safely: a submission contains a key, a configuration change has an
    ``Idempotency-Key`` header, and all other calls are idempotent by their
    content.
    """

    def __init__(
        self,
        urls: Sequence[str],
        token: str,
        retry_s: float,
        transport: httpx.BaseTransport | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ):
        if not urls:
            raise UserError(
                ResultCode.BAD_SETTING,
                "no entry URL is set: give --url or set 'urls' in the settings file",
                "urls",
            )
        if not token or not token.isascii() or not token.isprintable():
            raise UserError(
                ResultCode.BAD_SETTING,
                "the token is missing or not printable ASCII: set it with --token "
                "(or --operator-token), its environment variable or the settings file",
                "token",
            )
        self._urls = list(urls)
        self._retry_s = retry_s
        self._sleep = sleep
        self._client = httpx.Client(
            headers={"Authorization": f"Bearer {token}"},
            timeout=httpx.Timeout(CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            trust_env=False,
            transport=transport,
        )

    def get(self, path: str, **parameters: Any) -> Any:
        """Return the JSON body of the response to a GET request.

        Raises ``UserError`` with the code of an error response, or with
        NO_LEADER or TIMEOUT if there was no valid response.
        """
        return self._send("GET", path, params=parameters)

    def post(self, path: str, body: Any = None, **headers: str) -> Any:
        """Return the JSON body of the response to a POST request.

        Raises the same errors as ``get``.
        """
        return self._send("POST", path, json=body or {}, headers=headers)

    def _send(self, method: str, path: str, **options: Any) -> Any:
        deadline = time.monotonic() + self._retry_s
        backoff_s = INITIAL_BACKOFF_S
        may_have_run = False
        for attempt in range(1_000_000):
            url = self._urls[attempt % len(self._urls)]
            try:
                return self._send_once(method, url + path, options)
            except UserError as error:
                retryable = error.code in _RETRYABLE
                may_have_run |= retryable and error.not_run is False
                if not retryable or time.monotonic() >= deadline:
                    raise _error_to_report(error, may_have_run) from error
            if (attempt + 1) % len(self._urls) == 0:
                self._sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        raise AssertionError("unreachable")

    def _send_once(self, method: str, url: str, options: dict[str, Any]) -> Any:
        try:
            response = self._client.request(method, url, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise UserError(
                ResultCode.NO_LEADER, f"cannot connect to {url}: {error}", None, True
            ) from error
        except httpx.HTTPError as error:
            raise UserError(
                ResultCode.TIMEOUT, f"no response from {url}: {error}", None, False
            ) from error
        return _parse_response(response)


def _parse_response(response: httpx.Response) -> Any:
    try:
        body = response.json()
        if response.status_code < 400:
            return body
        if "code" not in body and response.status_code in _CODE_BY_STATUS:
            # The job service has HTTP statuses and no result codes.
            code = _CODE_BY_STATUS[response.status_code]
            raise UserError(code, str(body["error"]), None, True)
        code = ResultCode(body["code"])
        message, not_run = str(body["message"]), bool(body["not_run"])
    except (ValueError, KeyError, TypeError) as error:
        raise UserError(
            ResultCode.TIMEOUT,
            f"{response.url} sent HTTP {response.status_code} without a result code",
            None,
            False,
        ) from error
    raise UserError(code, message, body.get("field"), not_run)


def _error_to_report(error: UserError, may_have_run: bool) -> UserError:
    """Return the error to report.

    The last attempt may have been refused without effect although an earlier
    attempt, whose response was lost, had an effect.  In that case the outcome
    is reported as unknown.
    """
    if not may_have_run or error.code not in _RETRYABLE:
        return error
    return UserError(
        ResultCode.TIMEOUT,
        f"outcome unknown; send the call again with the same key: {error.message}",
        error.field,
        False,
    )
