"""Checks of submitted jobs whose work or memory would exceed the leader's."""

from persimmonyard.jobs.model import Job

__all__ = ["job_problem"]

# One command creates the records of all tasks of an occurrence, and a plan
# looks at all tasks of a step that may start, while the leader sends no
# heartbeats.  ``WorkUsage`` bounds the memory of all jobs.
_MAX_TASKS = 10_000
_MAX_STEPS = 1_000
_MAX_DEPENDENCIES = 50_000
# Due times are converted to floats, which represent whole numbers exactly up
# to this one.
_MAX_DUE_MS = 2**53 - 1


def job_problem(job: Job) -> str:
    """Return why a job cannot be accepted, or "" if it can."""
    if not job.steps:
        return "a job needs a step"
    if len(job.steps) > _MAX_STEPS:
        return f"the job has more than {_MAX_STEPS} steps"
    tasks = 0
    dependencies = 0
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return f"step {number} has {step.count} tasks"
        if any(not 0 <= index < number for index in step.depends_on):
            return f"step {number} depends on a later step"
        tasks += step.count
        dependencies += len(step.depends_on)
    if tasks * job.occurrences() > _MAX_TASKS:
        return f"the job has more than {_MAX_TASKS} tasks in all occurrences"
    if dependencies * job.occurrences() > _MAX_DEPENDENCIES:
        return f"the job has more than {_MAX_DEPENDENCIES} dependencies"
    if job.due_ms(job.occurrences() - 1) > _MAX_DUE_MS:
        return "the last occurrence is due too late"
    return ""
