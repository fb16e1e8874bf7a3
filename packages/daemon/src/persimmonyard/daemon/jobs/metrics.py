"""Counters and histograms of the job roles."""

from aioprometheus import Counter, Histogram

from persimmonyard.daemon.metrics import LATENCY_BUCKETS_S, ProcessMetrics

__all__ = ["JobMetrics"]


class JobMetrics(ProcessMetrics):
    """Metrics of the job roles; times are in seconds.

    Label values come from small fixed sets and from the configured work
    classes, so that their number is bounded.
    """

    def __init__(self) -> None:
        super().__init__()
        self._calls = self._counter(
            "job_calls_total", "Calls by operation and outcome."
        )
        self._call_seconds = self._histogram(
            "job_call_seconds", "Time to answer a call, by operation."
        )
        self._commit_seconds = self._histogram(
            "commit_seconds", "Time to commit a command, by its kind."
        )
        self._start_seconds = self._histogram(
            "run_start_seconds", "Time from placement to start, by class of work."
        )
        self._job_seconds = self._histogram(
            "job_seconds", "Time from acceptance to end, by class of work and state."
        )
        self._ends = self._counter("run_ends_total", "Runs by how they ended.")
        self._events = self._counter(
            "scheduling_events_total", "Preemptions, stalls, refusals and the like."
        )

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"persimmonyard_{name}", text, registry=self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"persimmonyard_{name}",
            text,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def record_call(self, operation: str, outcome: str, seconds: float) -> None:
        """Record an answered call."""
        self._calls.inc({"operation": operation, "outcome": outcome})
        self._call_seconds.observe({"operation": operation}, seconds)

    def record_commit(self, command: str, seconds: float) -> None:
        """Record a committed command."""
        self._commit_seconds.observe({"command": command}, seconds)

    def record_start(self, work_class: str, seconds: float) -> None:
        """Record a run that an upstream has started."""
        self._start_seconds.observe({"class": work_class}, seconds)

    def record_job(self, work_class: str, state: str, seconds: float) -> None:
        """Record the end of a job."""
        self._job_seconds.observe({"class": work_class, "state": state}, seconds)

    def record_end(self, end: str) -> None:
        """Record the end of a run."""
        self._ends.inc({"end": end})

    def record_event(self, event: str) -> None:
        """Record a decision that is neither a start nor an end."""
        self._events.inc({"event": event})
