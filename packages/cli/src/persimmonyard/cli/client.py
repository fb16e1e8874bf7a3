"""HTTP calls on entries, sent again through another one after a failure."""

import random
import time
from collections.abc import Callable, Sequence
from typing import Any

import httpx

from persimmonyard.model import ResultCode, UserError

__all__ = ["EntryClient"]

CALL_TIMEOUT_S = 90.0
CONNECT_TIMEOUT_S = 5.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0

# Refusals that another entry, or the same one a little later, may not give.
_PASSING = frozenset(
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


class EntryClient:
    """Call entries with one token.

    Every call is safe to send again: submissions carry a key, changes of the
    configuration an ``Idempotency-Key``, and the rest is idempotent by its
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
                "no entry is known: give --url or set 'urls' in the user's file",
                "urls",
            )
        if not token or not token.isascii() or not token.isprintable():
            raise UserError(
                ResultCode.BAD_SETTING,
                "the token is missing or not printable ASCII: give --token (or "
                "--operator-token), the environment variable or the user's file",
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
        """Return the JSON body of a GET; raise the error it reports."""
        return self._send("GET", path, params=parameters)

    def post(self, path: str, body: Any = None, **headers: str) -> Any:
        """Return the JSON body of a POST; raise the error it reports."""
        return self._send("POST", path, json=body or {}, headers=headers)

    def _send(self, method: str, path: str, **options: Any) -> Any:
        deadline = time.monotonic() + self._retry_s
        pause = FIRST_PAUSE_S
        maybe_recorded = False
        for number in range(1_000_000):
            url = self._urls[number % len(self._urls)]
            try:
                return self._once(method, url + path, options)
            except UserError as error:
                passing = error.code in _PASSING
                maybe_recorded |= passing and error.not_run is False
                if not passing or time.monotonic() >= deadline:
                    raise _final(error, maybe_recorded) from error
            if (number + 1) % len(self._urls) == 0:
                self._sleep(pause * random.uniform(0.5, 1.0))
                pause = min(MAX_PAUSE_S, pause * 2)
        raise AssertionError("unreachable")

    def _once(self, method: str, url: str, options: dict[str, Any]) -> Any:
        try:
            response = self._client.request(method, url, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise UserError(
                ResultCode.NO_LEADER, f"no connection to {url}: {error}", None, True
            ) from error
        except httpx.HTTPError as error:
            raise UserError(
                ResultCode.TIMEOUT, f"no answer from {url}: {error}", None, False
            ) from error
        return _checked(response)


def _checked(response: httpx.Response) -> Any:
    try:
        body = response.json()
        if response.status_code < 400:
            return body
        code = ResultCode(body["code"])
        message, not_run = str(body["message"]), bool(body["not_run"])
    except (ValueError, KeyError, TypeError) as error:
        raise UserError(
            ResultCode.TIMEOUT,
            f"{response.url} gave HTTP {response.status_code} without a result code",
            None,
            False,
        ) from error
    raise UserError(code, message, body.get("field"), not_run)


def _final(error: UserError, maybe_recorded: bool) -> UserError:
    """Return the error to report.

    A refusal says that its own call recorded nothing.  After a lost answer
    that is not the whole truth, so the outcome is reported as unknown.
    """
    if not maybe_recorded or error.code not in _PASSING:
        return error
    return UserError(
        ResultCode.TIMEOUT,
        f"the outcome is unknown, send it again with the same key: {error.message}",
        error.field,
        False,
    )
