"""Authentication of operators on a control process."""

from litestar import Request

from persimmonyard.daemon.tokens import TokenIndex
from persimmonyard.model import PersimmonyardError, ResultCode

__all__ = ["OperatorAuthenticator"]


class OperatorAuthenticator:
    """Accept only requests with the bearer token of an operator.

    Example: ``OperatorAuthenticator(token_hashes)(request)`` raises
    UNAUTHENTICATED for any other request.
    """

    def __init__(self, token_hashes: list[str]):
        self._operator_token_index = TokenIndex()
        for token_hash in token_hashes:
            self._operator_token_index.add(token_hash, "operator")

    def __call__(self, request: Request) -> None:
        """Raise UNAUTHENTICATED unless the request has an operator's token."""
        header = request.headers.get("authorization", "")
        if self._operator_token_index.owner_of(header.removeprefix("Bearer ")) is None:
            raise PersimmonyardError(ResultCode.UNAUTHENTICATED, "token not accepted")
