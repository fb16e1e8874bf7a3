"""Counters and histograms of the job roles."""

import re
from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram

from persimmonyard.daemon.metrics import LATENCY_BUCKETS_S, ProcessMetrics
from persimmonyard.estimation import KnownPair

__all__ = ["JobMetrics"]

# Known slowdowns that are shown, the strongest ones.
_MAX_SLOWDOWNS = 20
# The first four contain the half of the range of accounts below their share.
_RETRY_AFTER_BUCKETS_S = [5.0, 9.0, 13.0, 17.0, 21.0, 25.0, 30.0]
# Longest label value of a caller's choice, in characters.
_MAX_LABEL_LENGTH = 100
_UNSAFE_IN_LABELS = re.compile(r"[^A-Za-z0-9_./:@+-]")


class JobMetrics(ProcessMetrics):
    """Metrics of the job roles; times are in seconds.

    Label values come from small fixed sets and from the configured work
    classes, so that their number is bounded.  Kinds of tasks are named only in
    the few slowdowns that are shown at a time.
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
        self._refusals = self._counter(
            "jobs_refused_total", "Jobs refused on submission, by reason."
        )
        self._retry_after_seconds = Histogram(
            "persimmonyard_refusal_retry_after_seconds",
            "Retry-After of refused jobs, by reason.",
            registry=self._registry,
            buckets=_RETRY_AFTER_BUCKETS_S,
        )
        self._seats = self._counter(
            "separated_seats_total",
            "Seats chosen to keep tasks apart, or shared for lack of capacity.",
        )
        self._slowdowns = Gauge(
            "persimmonyard_slowdown_factor",
            "Rate of a kind of tasks beside another, relative to that without.",
            registry=self._registry,
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

    def record_refusal(self, reason: str, retry_after_s: int) -> None:
        """Record a job that was refused on submission."""
        labels = {"reason": str(reason)}
        self._refusals.inc(labels)
        self._retry_after_seconds.observe(labels, retry_after_s)

    def record_seats(self, kept_apart: int, shared: int) -> None:
        """Record the seats of a plan that known slowdowns decided."""
        if kept_apart:
            self._seats.add({"choice": "apart"}, kept_apart)
        if shared:
            self._seats.add({"choice": "shared"}, shared)

    def show_slowdowns(self, pairs: Sequence[KnownPair]) -> None:
        """Show the known slowdowns, the strongest first."""
        self._slowdowns.values.clear()
        for pair in reversed(pairs[:_MAX_SLOWDOWNS]):
            labels = {"slowed": _label_value(pair.slowed), "by": _label_value(pair.by)}
            self._slowdowns.set(labels, pair.factor)


def _label_value(kind: str) -> str:
    """Return the name of a kind as a label value.

    Callers choose the names, and the library does not escape label values.
    """
    return _UNSAFE_IN_LABELS.sub("_", kind)[:_MAX_LABEL_LENGTH]
