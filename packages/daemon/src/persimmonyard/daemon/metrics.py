"""Metrics of a process in the Prometheus text format."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from persimmonyard.daemon.intake import Intake

__all__ = ["EntryMetrics", "GaugeValue", "ProcessMetrics"]

LATENCY_BUCKETS_S = [0.005, 0.02, 0.1, 0.5, 2.0, 7.3, 30.0, 120.0]
CONTENT_TYPE = "text/plain; version=0.0.4"


class GaugeValue(NamedTuple):
    """The value of a gauge for its labels."""

    name: str
    labels: dict[str, str]
    value: float


def _escape(text: str) -> str:
    """Return a label value with the escapes that the library leaves out."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class ProcessMetrics:
    """Gauges whose values are read when the metrics are scraped."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._gauge_readers: list[tuple[Gauge, Callable[[], float]]] = []
        self._group_readers: list[
            tuple[dict[str, Gauge], Callable[[], Iterable[GaugeValue]]]
        ] = []
        self._intake: Intake | None = None

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge with the value that ``read`` returns at each scrape."""
        gauge = Gauge(f"persimmonyard_{name}", help_text, registry=self._registry)
        self._gauge_readers.append((gauge, read))

    def add_gauges(
        self, help_by_name: dict[str, str], read: Callable[[], Iterable[GaugeValue]]
    ) -> None:
        """Add gauges with labels, which ``read`` returns at each scrape.

        Label values that it no longer returns are no longer exported.
        """
        gauges = {}
        for name, help_text in help_by_name.items():
            gauges[name] = Gauge(
                f"persimmonyard_{name}", help_text, registry=self._registry
            )
        self._group_readers.append((gauges, read))

    def watch_intake(self, intake: Intake) -> None:
        """Add what connections hold, and how many were refused or closed."""
        self.add_gauge(
            "intake_bytes",
            "Bytes that connections hold, against intake.memory_bytes.",
            lambda: intake.used_bytes,
        )
        self._intake = intake
        self._refusals = Counter(
            "persimmonyard_refused_connections_total",
            "Connections refused or closed, by listener and reason.",
            registry=self._registry,
        )

    def text(self) -> tuple[bytes, str]:
        """Return the body and the content type of ``GET /metrics``."""
        for gauge, read in self._gauge_readers:
            gauge.set({}, float(read()))
        for gauges, read_group in self._group_readers:
            for gauge in gauges.values():
                gauge.values.store.clear()
            for value in read_group():
                labels = {key: _escape(text) for key, text in value.labels.items()}
                gauges[value.name].set(labels, value.value)
        if self._intake is not None:
            for (listener, reason), count in self._intake.refusals.items():
                labels = {"listener": listener, "reason": reason}
                self._refusals.set(labels, count)
        content, _ = render(self._registry, [CONTENT_TYPE])
        return content, CONTENT_TYPE


class EntryMetrics(ProcessMetrics):
    """Gauges, and the number of calls and their latency in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self._calls = Counter(
            "persimmonyard_calls_total",
            "Calls by operation, class of work and result code.",
            registry=self._registry,
        )
        self._call_seconds = Histogram(
            "persimmonyard_call_seconds",
            "Time to answer a call, waits asked for by the caller included.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def count_call(
        self, operation: str, work_class: str, code: int, seconds: float
    ) -> None:
        """Record one answered call."""
        self._calls.inc(
            {"operation": operation, "class": work_class, "code": str(code)}
        )
        self._call_seconds.observe({"operation": operation}, seconds)
