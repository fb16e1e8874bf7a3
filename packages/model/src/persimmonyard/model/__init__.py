"""Types, result codes and errors that every package shares."""

from persimmonyard.model.result import PersimmonyardError, ResultCode, UserError

__all__ = ["PersimmonyardError", "ResultCode", "UserError"]
