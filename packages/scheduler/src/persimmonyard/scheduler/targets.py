"""When a job has to start so that its class meets its target."""

from typing import Protocol

from persimmonyard.model import ClassSpec
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

# The bound below which an answer counts as urgent: "fit checks must return
# during the clinic visit", with a target of 15 minutes.
URGENT_WITHIN_S = 900.0

# Work of a class without a target is ordered as if it had this one, so that
# it moves forward as it waits.
DEFAULT_WITHIN_S = 86_400.0

ORDER_QUANTILE = 0.9

# A target counts as missed when a start now is more likely than not too late.
# With the quantile of the order, gangs that could still end in time gave way.
MISSED_QUANTILE = 0.5
DAY_S = 86_400


class RunTimeEstimator(Protocol):
    """Predicts how long a job runs."""

    def predict(self, job: Job, quantile: float) -> float:
        """Return seconds that the run stays within with this probability."""


class DeclaredRunTimeEstimator:
    """Predict what the caller declared."""

    def predict(self, job: Job, quantile: float) -> float:
        """Return the declared run time in seconds."""
        return job.declared_run_s


class HistoricalRunTimeEstimator:
    """Predict from finished runs of the class and client account."""

    def __init__(self, predictor: RunTimePredictor) -> None:
        self._predictor = predictor

    def predict(self, job: Job, quantile: float) -> float:
        """Return a quantile of the run time in seconds."""
        return self._predictor.predict(
            job.class_name, job.client_account, job.declared_run_s, quantile
        )


def is_urgent(spec: ClassSpec | None) -> bool:
    """Return whether work of a class may preempt to start at once."""
    if spec is None:
        return False
    if spec.start_within_s is not None:
        return True
    return spec.within_s is not None and spec.within_s <= URGENT_WITHIN_S


def latest_start(
    job: Job,
    spec: ClassSpec | None,
    run_time_estimator: RunTimeEstimator,
    quantile: float = ORDER_QUANTILE,
) -> float:
    """Return the last time at which a start still meets the target.

    ``quantile`` is the probability that the assumed run time is kept.
    """
    run_s = run_time_estimator.predict(job, quantile)
    latest = job.submitted_at + DEFAULT_WITHIN_S - run_s
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

    It is that of work without a target, so such jobs keep the order of their
    submission and are not put off for ever.
    """
    return job.submitted_at + DEFAULT_WITHIN_S


def _next_time_of_day(time_of_day: str, after: float) -> float | None:
    """Return the next ``HH:MM`` UTC after a time in seconds.

    ``None`` stands for a text of another form.
    """
    hours, _, minutes = time_of_day.partition(":")
    if not (hours.isdecimal() and minutes.isdecimal()):
        return None
    midnight = after - after % DAY_S
    at = midnight + int(hours) * 3_600 + int(minutes) * 60
    if at <= after:
        at += DAY_S
    return at
