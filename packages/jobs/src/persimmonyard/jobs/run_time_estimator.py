"""Run time estimates: those of callers, corrected by observed run times."""

from typing import NamedTuple

from persimmonyard.estimation import RunTimes
from persimmonyard.jobs.configuration import Route
from persimmonyard.jobs.model import Job, Step

__all__ = ["RunTimeEstimator"]

# From this number of observations on, the median of a kind of work counts as
# much as the caller's estimate, which may be wrong by some factor.
_MIN_OBSERVATIONS = 5
# Run time that is assumed for a task without an estimate, in ms.
_DEFAULT_RUN_MS = 2_000.0
_MEDIAN = 0.5
_MS_PER_S = 1_000


class _CriticalPaths(NamedTuple):
    """The critical paths of a job from each step to the end.

    ``observations`` is the number of observed run times of its work class.
    """

    job: Job
    observations: int
    ms_by_step: list[float]
    longest_ms: float


class RunTimeEstimator:
    """Estimates run times at reference speed, in ms.

    It uses the median of the work class and image, or that of the work class
    while few runs of the image are known.  ``run_times`` has the observations.
    """

    def __init__(self, run_times: RunTimes | None = None) -> None:
        self._run_times = run_times if run_times is not None else RunTimes()
        self._count_by_route: dict[str, int] = {}
        self._last_paths: _CriticalPaths | None = None

    def observe(self, route: str, run_ms: float, image: str = "") -> None:
        """Record the run time of a completed task at reference speed."""
        self._run_times.observe((route, ""), run_ms / _MS_PER_S)
        if image:
            self._run_times.observe((route, image), run_ms / _MS_PER_S)
        self._count_by_route[route] = self._count_by_route.get(route, 0) + 1

    def task_ms(self, job: Job, step: Step) -> float:
        """Return the expected run time of a task of the step."""
        estimate = float(step.estimate_ms) or _DEFAULT_RUN_MS
        if self._count_by_route.get(job.route, 0) < _MIN_OBSERVATIONS:
            return estimate
        kind = (job.route, step.image)
        if self._run_times.count(kind) < _MIN_OBSERVATIONS:
            kind = (job.route, "")
        median_s = self._run_times.quantile(kind, _MEDIAN)
        if median_s is None:
            return estimate
        return (estimate + median_s * _MS_PER_S) / 2

    def critical_path_ms(self, job: Job, start: int) -> float:
        """Return the length of the critical path from a step to the end.

        For ``start`` 0 it is the critical path of the whole job.
        """
        paths = self._critical_paths(job)
        return paths.ms_by_step[start] if start else paths.longest_ms

    def _critical_paths(self, job: Job) -> _CriticalPaths:
        """Return the paths of a job, which are kept until the next job.

        Plans ask for each waiting step of each occurrence of a job in turn.
        """
        observations = self._count_by_route.get(job.route, 0)
        paths = self._last_paths
        if (
            paths is not None
            and paths.job is job
            and paths.observations == observations
        ):
            return paths
        ms_by_step = [0.0] * len(job.steps)
        for number in reversed(range(len(job.steps))):
            step = job.steps[number]
            ms_by_step[number] += self.task_ms(job, step)
            for dependency in step.depends_on:
                ms_by_step[dependency] = max(ms_by_step[dependency], ms_by_step[number])
        paths = _CriticalPaths(job, observations, ms_by_step, max(ms_by_step))
        self._last_paths = paths
        return paths

    def objective_ms(self, job: Job, route: Route) -> float:
        """Return the time within which a job should complete."""
        return route.stretch * self.critical_path_ms(job, 0) + route.target_ms
