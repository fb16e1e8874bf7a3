"""HTTP calls on an entry."""

from typing import Any

import httpx

from persimmonyard.model import ResultCode, UserError

__all__ = ["EntryClient"]

CALL_TIMEOUT_S = 90.0


class EntryClient:
    """Call the HTTP interface of an entry with one token."""

    def __init__(self, url: str, token: str):
        self._client = httpx.Client(
            base_url=url,
            headers={"Authorization": f"Bearer {token}"},
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )

    def get(self, path: str, **parameters: Any) -> Any:
        """Return the JSON body of a GET; raise the error it reports."""
        return self._checked("GET", path, params=parameters)

    def post(self, path: str, body: Any = None, **headers: str) -> Any:
        """Return the JSON body of a POST; raise the error it reports."""
        return self._checked("POST", path, json=body or {}, headers=headers)

    def _checked(self, method: str, path: str, **options: Any) -> Any:
        try:
            response = self._client.request(method, path, **options)
            body = response.json()
        except (httpx.HTTPError, ValueError) as error:
            raise UserError(
                ResultCode.NO_LEADER, f"no answer from {path}: {error}"
            ) from error
        if response.status_code >= 400:
            raise UserError(
                ResultCode(body["code"]), body["message"], body.get("field")
            )
        return body
