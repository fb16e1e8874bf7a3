"""Metrics of a process, in the Prometheus text format."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["EntryMetrics", "ProcessMetrics"]

LATENCY_BUCKETS_S = [0.005, 0.02, 0.1, 0.5, 2.0, 7.3, 30.0, 120.0]
TEXT_FORMAT = "text/plain; version=0.0.4"


class ProcessMetrics:
    """Gauges that are read when the metrics are asked for."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._read_by_gauge: list[tuple[Gauge, Callable[[], float]]] = []

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Show the value that ``read`` returns at the time of a call."""
        gauge = Gauge(f"persimmonyard_{name}", help_text, registry=self._registry)
        self._read_by_gauge.append((gauge, read))

    def text(self) -> tuple[bytes, str]:
        """Return the body and the content type for ``GET /metrics``."""
        for gauge, read in self._read_by_gauge:
            gauge.set({}, float(read()))
        content, _ = render(self._registry, [TEXT_FORMAT])
        return content, TEXT_FORMAT


class EntryMetrics(ProcessMetrics):
    """Gauges, and counters and latencies of calls.

    Latencies are in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self._calls = Counter(
            "persimmonyard_calls_total",
            "Calls by operation, class of work and result code.",
            registry=self._registry,
        )
        self._latency = Histogram(
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
        self._latency.observe({"operation": operation}, seconds)
