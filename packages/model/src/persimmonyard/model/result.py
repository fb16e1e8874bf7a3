"""Numeric result codes and the exceptions that carry them."""

from enum import IntEnum

__all__ = ["PersimmonyardError", "ResultCode", "UserError"]


class ResultCode(IntEnum):
    """Codes returned to callers, operators and upstreams.

    The hundreds digit is the group of a code: 1xx invalid input, 2xx access,
    3xx limits, 4xx conflicts, 5xx outcome of a request, 6xx availability of
    the system, 7xx upstream protocol, 8xx storage.  All codes are described
    in ``docs/result-codes.md``.
    """

    OK = 0
    BAD_JSON = 100
    BAD_FIELD = 101
    UNKNOWN_FIELD = 102
    MISSING_FIELD = 103
    BODY_TOO_LARGE = 104
    BAD_SETTING = 105
    UNKNOWN_CLASS = 106
    UNKNOWN_ACCOUNT = 107
    UNKNOWN_ZONE = 108
    UNKNOWN_PATH = 109
    WRONG_METHOD = 110
    UNAUTHENTICATED = 200
    FORBIDDEN = 201
    QUEUE_FULL = 300
    TOO_MANY_CONNECTIONS = 301
    OVERLOADED = 302
    ANSWER_TOO_LARGE = 303
    CALL_TOO_SLOW = 304
    KEY_REUSED = 400
    VERSION_CONFLICT = 401
    GUARANTEE_DOES_NOT_FIT = 402
    NOT_FOUND = 403
    ALREADY_ENDED = 404
    IN_USE = 405
    CANCELLED_NOT_RUN = 500
    CANCELLED = 501
    NEVER_FITS = 502
    FAILED = 503
    FAILED_ON_MANY_UPSTREAMS = 504
    OUTCOME_UNKNOWN = 505
    TARGET_MISSED_NOT_RUN = 506
    NO_LEADER = 600
    NOT_LEADER = 601
    STOPPING = 602
    TIMEOUT = 603
    CONFIGURATION_LEASE_EXPIRED = 604
    INTERNAL_ERROR = 605
    STALE_FENCE = 700
    PERMIT_EXPIRED = 701
    NO_FREE_SLOT = 702
    UNKNOWN_ATTEMPT = 703
    DIGEST_MISMATCH = 704
    LOG_DAMAGED = 800
    SYNC_FAILED = 801
    DISK_LOST = 802


class PersimmonyardError(Exception):
    """An error with a result code and a one-line message.

    ``field`` is the name of the invalid input field or settings key, if any.
    ``not_run`` is true if the call is known to have started and recorded
    nothing, and false if it may have had an effect.  ``None`` means that the
    code decides.

    Example: ``raise PersimmonyardError(ResultCode.NOT_FOUND, "no request
    'r-1'")``.
    """

    def __init__(
        self,
        code: ResultCode,
        message: str,
        field: str | None = None,
        not_run: bool | None = None,
    ):
        super().__init__(message)
        self.code = code
        self.message = message
        self.field = field
        self.not_run = not_run


class UserError(PersimmonyardError):
    """An error in the input of a user, which the CLI prints as one line."""
