"""Latest start times of jobs, derived from the targets of their classes."""

from typing import Protocol

from persimmonyard.model import WorkClassSpec
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.prediction import RunTimePredictor

__all__ = [
    "MISSED_QUANTILE",
    "DeclaredRunTimeEstimator",
    "HistoricalRunTimeEstimator",
    "RunTimeEstimator",
    "is_urgent",
    "latest_start",
    "latest_start_after_miss",
]

# A class with a target of at most 15 minutes is urgent.  The bound is set by
# the requirement that "fit checks must return during the clinic visit".
MAX_URGENT_TARGET_S = 900.0

# Jobs of a class without a target are ordered as if they had this one, so that
# they advance in the order while they wait.
DEFAULT_TARGET_S = 86_400.0

# Quantile of the run time that the order of waiting jobs assumes.
ORDERING_QUANTILE = 0.9

# A target counts as missed if a job that starts now is more likely than not to
# end too late.  With ``ORDERING_QUANTILE`` here, gangs that could still meet
# their target were deferred.
MISSED_QUANTILE = 0.5
DAY_S = 86_400


class RunTimeEstimator(Protocol):
    """Estimates the run time of a job."""

    def predict(self, job: Job, quantile: float) -> float:
        """Return a quantile of the run time in seconds.

        The job runs no longer than that with probability ``quantile``.
        """


class DeclaredRunTimeEstimator:
    """Use the run time that the caller declared."""

    def predict(self, job: Job, quantile: float) -> float:
        """Return the declared run time in seconds."""
        return job.declared_run_s


class HistoricalRunTimeEstimator:
    """Predict the run time from finished runs of the class and account."""

    def __init__(self, predictor: RunTimePredictor) -> None:
        self._predictor = predictor

    def predict(self, job: Job, quantile: float) -> float:
        """Return a quantile of the run time in seconds."""
        return self._predictor.predict(
            job.class_name, job.client_account, job.declared_run_s, quantile
        )


def is_urgent(spec: WorkClassSpec | None) -> bool:
    """Return whether jobs of a class may preempt others to start at once."""
    if spec is None:
        return False
    if spec.start_within_s is not None:
        return True
    return spec.within_s is not None and spec.within_s <= MAX_URGENT_TARGET_S


def latest_start(
    job: Job,
    spec: WorkClassSpec | None,
    run_time_estimator: RunTimeEstimator,
    quantile: float = ORDERING_QUANTILE,
) -> float:
    """Return the latest time at which a job can start and meet its target.

    It is in seconds.  ``quantile`` is the quantile of the run time that is
    assumed.
    """
    run_s = run_time_estimator.predict(job, quantile)
    latest = job.submitted_at + DEFAULT_TARGET_S - run_s
    if spec is None:
        return latest
    if spec.within_s is not None:
        latest = job.submitted_at + spec.within_s - run_s
    elif spec.done_by is not None:
        done_by = _next_time_of_day(spec.done_by, job.submitted_at)
        if done_by is not None:
            latest = done_by - run_s
    if spec.start_within_s is not None:
        latest = min(latest, job.submitted_at + spec.start_within_s)
    return latest


def latest_start_after_miss(job: Job) -> float:
    """Return the latest start that orders a job whose target is missed.

    It is ``DEFAULT_TARGET_S`` after the submission.  So these jobs keep the
    order of their submission among themselves and are not starved.
    """
    return job.submitted_at + DEFAULT_TARGET_S


def _next_time_of_day(time_of_day: str, after: float) -> float | None:
    """Return the next time that is ``HH:MM`` UTC, strictly after ``after``.

    Both times are in seconds.  Return ``None`` if the text is malformed.
    """
    hours, _, minutes = time_of_day.partition(":")
    if not (hours.isdecimal() and minutes.isdecimal()):
        return None
    midnight = after - after % DAY_S
    at = midnight + int(hours) * 3_600 + int(minutes) * 60
    if at <= after:
        at += DAY_S
    return at
