"""Exit statuses of the command-line interface."""

from typing import Any

from persimmonyard.model import ResultCode

__all__ = ["NOT_ENDED", "exit_status", "exit_status_of_request"]

NOT_ENDED = 11

_STATUS_BY_GROUP = {0: 0, 1: 2, 2: 3, 3: 4, 4: 5, 6: 9, 7: 10, 8: 10}
_UNKNOWN_OUTCOME = 8
_ENDED_NOT_RUN = 6
_ENDED_WITHOUT_ANSWER = 7


def exit_status(code: int) -> int:
    """Return the exit status for a result code; 0 means success."""
    match code:
        case ResultCode.OUTCOME_UNKNOWN | ResultCode.TIMEOUT:
            return _UNKNOWN_OUTCOME
        case (
            ResultCode.CANCELLED_NOT_RUN
            | ResultCode.NEVER_FITS
            | ResultCode.TARGET_MISSED_NOT_RUN
        ):
            return _ENDED_NOT_RUN
    return _STATUS_BY_GROUP.get(code // 100, _ENDED_WITHOUT_ANSWER)


def exit_status_of_request(view: dict[str, Any]) -> int:
    """Return the exit status for a request, as described by an entry."""
    if not view["ended"]:
        return NOT_ENDED
    return exit_status(view.get("code", 0))
