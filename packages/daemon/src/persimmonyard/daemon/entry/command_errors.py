"""Conversion of the results of commands to errors for callers."""

from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult

__all__ = ["require_success"]

_FIELD_BY_CODE = {
    ResultCode.UNKNOWN_CLASS: "class",
    ResultCode.KEY_REUSED: "key",
    ResultCode.VERSION_CONFLICT: "expected_version",
    ResultCode.GUARANTEE_DOES_NOT_FIT: "changes.client_account.guarantee",
    ResultCode.NOT_FOUND: "request",
}


def require_success(result: CommandResult) -> CommandResult:
    """Return a successful result, or raise the error that it reports."""
    if result.code == 0:
        return result
    code = ResultCode(result.code)
    raise PersimmonyardError(code, result.message, _FIELD_BY_CODE.get(code))
