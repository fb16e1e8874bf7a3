"""Log lines about jobs as a whole."""

from typing import Any

from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.jobs import Job, JobRecord, JobStore, RunTimeEstimator, Step

__all__ = ["JobLog"]


class JobLog:
    """Logs accepted and ended jobs, and records metrics of ended ones."""

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
        """Log a job that was accepted."""
        self._log.info(
            "job accepted",
            job=job.job_id,
            work_class=job.route,
            account=job.account,
            steps=[_describe_step(step) for step in job.steps],
            occurrences=job.occurrences(),
        )

    def log_end(self, record: JobRecord) -> None:
        """Log and record the time that a job took, with its objective."""
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
            attempts=record.placed_runs,
        )


def _describe_step(step: Step) -> str:
    """Return task count, needs and options of a step for log lines."""
    needs = step.needs
    shape = f"{step.count}x{needs.accelerators}gpu/{needs.cores}m/{needs.memory_mb}MB"
    options = [
        name
        for name in ("gang", "one_rack", "checkpoints", "long_running", "fills")
        if getattr(step, name)
    ]
    if step.rack:
        options.append(f"rack={step.rack}")
    if step.label:
        options.append(f"label={step.label}")
    if step.per_upstream:
        options.append(f"per_upstream={step.per_upstream}")
    return " ".join([shape, f"{step.estimate_ms}ms", *options])
