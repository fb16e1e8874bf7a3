"""Log lines about jobs as a whole."""

from typing import Any

from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.jobs import Job, JobRecord, JobStore, RunTimeEstimator, Step

__all__ = ["JobLog"]


class JobLog:
    """Write and count how jobs begin and end."""

    def __init__(
        self,
        log: Any,
        store: JobStore,
        estimator: RunTimeEstimator,
        metrics: JobMetrics,
    ):
        self._log = log
        self._store = store
        self._estimator = estimator
        self._metrics = metrics

    def log_accepted(self, job: Job) -> None:
        """Log what a caller handed in."""
        self._log.info(
            "job accepted",
            job=job.job_id,
            work_class=job.route,
            account=job.account,
            steps=[_shape(step) for step in job.steps],
            occurrences=job.occurrences(),
        )

    def log_end(self, record: JobRecord) -> None:
        """Log and count how long a job took, beside its objective."""
        job = record.job
        route = self._store.route_of(record)
        took_ms = record.ended_ms - job.submitted_ms
        objective_ms = self._estimator.objective_ms(job, route) if route else 0.0
        state = str(record.state())
        self._metrics.record_job(job.route, state, took_ms / 1_000)
        self._log.info(
            "job ended",
            job=job.job_id,
            work_class=job.route,
            account=job.account,
            state=state,
            took_ms=took_ms,
            objective_ms=int(objective_ms),
            attempts=sum(unit.run for unit in record.units.values()),
        )


def _shape(step: Step) -> str:
    """Return tasks, needs and conditions of a step as logs show them."""
    needs = step.needs
    shape = f"{step.count}x{needs.accelerators}gpu/{needs.cores}m/{needs.memory_mb}MB"
    marks = [
        name
        for name in ("gang", "one_rack", "checkpoints", "long_running", "fills")
        if getattr(step, name)
    ]
    if step.rack:
        marks.append(f"rack={step.rack}")
    if step.label:
        marks.append(f"label={step.label}")
    if step.per_upstream:
        marks.append(f"per_upstream={step.per_upstream}")
    return " ".join([shape, f"{step.estimate_ms}ms", *marks])
