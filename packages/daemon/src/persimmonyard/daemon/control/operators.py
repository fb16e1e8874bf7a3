"""Check of operators' tokens on a control process."""

from litestar import Request

from persimmonyard.daemon.tokens import TokenIndex
from persimmonyard.model import PersimmonyardError, ResultCode

__all__ = ["OperatorCheck"]


class OperatorCheck:
    """Let calls with an operator's token pass.

    Example: ``OperatorCheck(hashes)(request)`` raises UNAUTHENTICATED for
    any other call.
    """

    def __init__(self, token_hashes: list[str]):
        self._operators = TokenIndex()
        for digest in token_hashes:
            self._operators.add(digest, "operator")

    def __call__(self, request: Request) -> None:
        """Raise UNAUTHENTICATED unless the token is an operator's."""
        header = request.headers.get("authorization", "")
        if self._operators.owner_of(header.removeprefix("Bearer ")) is None:
            raise PersimmonyardError(ResultCode.UNAUTHENTICATED, "token not accepted")
