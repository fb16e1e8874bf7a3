"""Kinds of tasks, which may slow each other down on one upstream."""

from persimmonyard.jobs.model import Job, Step

__all__ = ["task_kind"]


def task_kind(job: Job, step: Step) -> str:
    """Return the kind of the tasks of a step.

    It is the image or, without one, the route and the needs: tasks with the
    same needs on the same route mostly run the same program.
    """
    if step.image:
        return step.image
    needs = step.needs
    return f"{job.route}/{needs.accelerators}/{needs.cores}/{needs.memory_mb}"
