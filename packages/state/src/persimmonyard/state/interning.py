"""Interning of the timestamps in a decoded request record."""

from persimmonyard.state.records import Attempt, RequestRecord

__all__ = ["intern_times"]


def intern_times(record: RequestRecord) -> None:
    """Replace equal timestamps of a record by one interned float object.

    Each decoded float takes 32 bytes, and most timestamps of a record also
    appear in its history.
    """
    interned = {0.0: 0.0}
    for transition in record.history:
        transition.at = interned.setdefault(transition.at, transition.at)
    for attempt in record.attempts:
        _intern_attempt_times(attempt, interned)
    record.submitted_at = interned.get(record.submitted_at, record.submitted_at)
    record.not_before = interned.get(record.not_before, record.not_before)
    if record.ended_at is not None:
        record.ended_at = interned.get(record.ended_at, record.ended_at)


def _intern_attempt_times(attempt: Attempt, interned: dict[float, float]) -> None:
    attempt.placed_at = interned.get(attempt.placed_at, attempt.placed_at)
    if attempt.started_at is not None:
        attempt.started_at = interned.get(attempt.started_at, attempt.started_at)
    if attempt.ended_at is not None:
        attempt.ended_at = interned.get(attempt.ended_at, attempt.ended_at)
