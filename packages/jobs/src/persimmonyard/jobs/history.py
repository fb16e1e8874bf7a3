"""How long tasks run: what callers estimate, corrected by what was seen."""

from persimmonyard.jobs.configuration import Route
from persimmonyard.jobs.model import Job, Step

__all__ = ["RunTimes"]

# Weight of a new observation in the mean of a class of work.
_NEW_WEIGHT = 0.15
# Estimates of callers may be off by a factor; the mean of the class counts as
# much as the estimate once it has been seen this often.
_TRUSTED_AFTER = 5
# What a task is taken to run if neither callers nor history tell, in ms.
_UNKNOWN_MS = 2_000.0


class RunTimes:
    """Mean run time of a class of work, in milliseconds."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}
        self._seen_by_route: dict[str, int] = {}

    def observe(self, route: str, worked_ms: float) -> None:
        """Take the run time of a task that ended as done."""
        seen = self._seen_by_route.get(route, 0)
        mean = self._mean_by_route.get(route, worked_ms)
        weight = max(_NEW_WEIGHT, 1.0 / (seen + 1))
        self._mean_by_route[route] = mean + weight * (worked_ms - mean)
        self._seen_by_route[route] = seen + 1

    def task_ms(self, job: Job, step: Step) -> float:
        """Return how long a task of the step probably runs."""
        estimate = float(step.estimate_ms) or _UNKNOWN_MS
        if self._seen_by_route.get(job.route, 0) < _TRUSTED_AFTER:
            return estimate
        return (estimate + self._mean_by_route[job.route]) / 2

    def chain_ms(self, job: Job, start: int) -> float:
        """Return the longest chain of work that begins with a step."""
        tails = [0.0] * len(job.steps)
        for number in reversed(range(len(job.steps))):
            step = job.steps[number]
            tails[number] += self.task_ms(job, step)
            for earlier in step.depends_on:
                tails[earlier] = max(tails[earlier], tails[number])
        if start:
            return tails[start]
        return max(tails)

    def objective_ms(self, job: Job, route: Route) -> float:
        """Return in which time a job should complete."""
        return route.stretch * self.chain_ms(job, 0) + route.target_ms
