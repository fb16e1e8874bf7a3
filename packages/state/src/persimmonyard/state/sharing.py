"""Let the numbers of a decoded record share memory."""

from persimmonyard.state.records import Attempt, RequestRecord

__all__ = ["share_times"]


def share_times(record: RequestRecord) -> None:
    """Use one float for equal times of a record.

    Each decoded float takes 32 bytes, and a record repeats most of its times
    in its history.
    """
    shared = {0.0: 0.0}
    for entry in record.history:
        entry.at = shared.setdefault(entry.at, entry.at)
    for attempt in record.attempts:
        _share_in_attempt(attempt, shared)
    record.submitted_at = shared.get(record.submitted_at, record.submitted_at)
    record.not_before = shared.get(record.not_before, record.not_before)
    if record.ended_at is not None:
        record.ended_at = shared.get(record.ended_at, record.ended_at)


def _share_in_attempt(attempt: Attempt, shared: dict[float, float]) -> None:
    attempt.placed_at = shared.get(attempt.placed_at, attempt.placed_at)
    if attempt.started_at is not None:
        attempt.started_at = shared.get(attempt.started_at, attempt.started_at)
    if attempt.ended_at is not None:
        attempt.ended_at = shared.get(attempt.ended_at, attempt.ended_at)
