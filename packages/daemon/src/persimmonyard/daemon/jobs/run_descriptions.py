"""How runs on an upstream are described in log lines."""

from collections.abc import Iterable

from persimmonyard.daemon.jobs.task_run import TaskRun
from persimmonyard.daemon.jobs.upstream_client import EndedRun
from persimmonyard.jobs import RunSilence

__all__ = ["describe_lost_runs", "describe_silences", "describe_unknown_ends"]

# At most this many runs are named in one log line.
_MAX_LOGGED_RUNS = 16


def describe_lost_runs(task_runs: Iterable[TaskRun], now: float) -> list[str]:
    """Return "job occurrence.step.task/run, state, age" of some runs.

    The age is the time since the placement, or since the beginning of the
    term for an inherited run.  The newest runs come first.
    """
    newest = sorted(task_runs, key=lambda task_run: -task_run.placed_at)
    described = []
    for task_run in newest[:_MAX_LOGGED_RUNS]:
        task_key = task_run.task_key
        age_ms = int((now - task_run.placed_at) * 1_000)
        described.append(
            f"{task_key.job_id} {task_key.log_label()}/{task_run.run}, "
            f"{task_run.state}, {age_ms} ms"
        )
    return described


def describe_silences(silences: list[RunSilence]) -> list[str]:
    """Return what is known of some runs on an upstream that has ended.

    Each run is described as "job occurrence.step.task/run, evidence of its
    start, time from the start to the first unanswered call".
    """
    described = []
    for run_silence in silences[:_MAX_LOGGED_RUNS]:
        task_key = run_silence.key.task_key(run_silence.task)
        described.append(
            f"{task_key.job_id} {task_key.log_label()}/{run_silence.run}, "
            f"{run_silence.silence.describe()}"
        )
    return described


def describe_unknown_ends(ended: list[EndedRun]) -> list[str]:
    """Return "job occurrence.step.task/run, number, how" of some ends."""
    described = []
    for end in ended[:_MAX_LOGGED_RUNS]:
        task_key = end.task_key
        described.append(
            f"{task_key.job_id} {task_key.log_label()}/{end.run}, "
            f"{end.number}, {end.end}"
        )
    return described
