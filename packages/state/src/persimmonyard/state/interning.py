"""Interning of the timestamps in a decoded request record."""

from persimmonyard.state.records import Attempt, RequestRecord

__all__ = ["intern_times"]


def intern_times(record: RequestRecord) -> None:
    """Replace equal timestamps of a record by one shared float object.

    Each decoded float takes 32 bytes, and most timestamps of a record also
    appear in its history.
    """
    shared = {0.0: 0.0}
    for transition in record.history:
        transition.at = shared.setdefault(transition.at, transition.at)
    for attempt in record.attempts:
        _intern_attempt_times(attempt, shared)
    record.submitted_at = shared.get(record.submitted_at, record.submitted_at)
    record.not_before = shared.get(record.not_before, record.not_before)
    if record.ended_at is not None:
        record.ended_at = shared.get(record.ended_at, record.ended_at)


def _intern_attempt_times(attempt: Attempt, shared: dict[float, float]) -> None:
    attempt.placed_at = shared.get(attempt.placed_at, attempt.placed_at)
    if attempt.started_at is not None:
        attempt.started_at = shared.get(attempt.started_at, attempt.started_at)
    if attempt.ended_at is not None:
        attempt.ended_at = shared.get(attempt.ended_at, attempt.ended_at)
