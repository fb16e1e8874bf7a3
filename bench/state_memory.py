"""Benchmark of the memory of the replicated state at the target size.

The state is that of one of the three deployments of the target: 47,000
running requests, 5,400 upstreams and 15,000 ended requests that are kept.
"""

import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    Shape,
    UpstreamSpec,
    WorkClassSpec,
)
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import (
    ApplyConfiguration,
    EndAttempt,
    LogRecord,
    PlaceAttempt,
    RegisterUpstream,
    StartAttempt,
    SubmitRequest,
    decode_record,
    encode_record,
)
from persimmonyard.state.records import AttemptOutcome, MemberAnswer

UPSTREAMS = 5_400
RUNNING_REQUESTS = 47_000
ENDED_REQUESTS = 15_000


class MemoryMeasurement:
    """Fills a state machine and measures the memory of each kind of record."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self._clock_s = 0.0
        self._results: dict[str, float] = {}

    def run(self) -> dict[str, float]:
        """Return bytes per record, totals in MiB and the snapshot time in s.

        The snapshot is timed while memory is not traced, since tracing slows
        down the encoder.
        """
        account = ClientAccountSpec(
            "clinic", max_waiting=RUNNING_REQUESTS + ENDED_REQUESTS
        )
        self._apply(
            ApplyConfiguration(
                (
                    ConfigurationChange(work_class=WorkClassSpec("fit")),
                    ConfigurationChange(client_account=account),
                )
            )
        )
        tracemalloc.start()
        self._measure_growth("upstream", UPSTREAMS, self._register_upstream)
        self._measure_growth(
            "running_request", RUNNING_REQUESTS, self._add_running_request
        )
        self._measure_growth("ended_request", ENDED_REQUESTS, self._add_ended_request)
        total = tracemalloc.get_traced_memory()[0]
        self._results["total_mib"] = _mib(total)
        tracemalloc.stop()
        started = time.monotonic()
        data = self.machine.snapshot()
        self._results["snapshot_s"] = round(time.monotonic() - started, 3)
        self._results["snapshot_mib"] = _mib(len(data))
        self._measure_restored(data)
        return self._results

    def _measure_restored(self, data: bytes) -> None:
        tracemalloc.start()
        restored = StateMachine()
        restored.restore(data)
        retained, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self._results["restored_mib"] = _mib(retained)
        self._results["restore_peak_mib"] = _mib(peak)

    def _measure_growth(
        self, name: str, count: int, add: Callable[[int], object]
    ) -> None:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(count):
            add(number)
        self.machine.take_change_events()
        growth = tracemalloc.get_traced_memory()[0] - before
        self._results[f"{name}_bytes"] = round(growth / count)

    def _apply(self, command: object) -> None:
        """Apply a command as a replica does, after decoding its log entry."""
        self._clock_s += 0.001
        entry = encode_record(LogRecord("", self._clock_s, command))
        result = self.machine.apply_record(decode_record(entry))
        if result.code:
            raise RuntimeError(result.message)
        if len(self.machine.request_by_id) % 100 == 0:
            self.machine.take_change_events()

    def _register_upstream(self, number: int) -> None:
        self._apply(
            RegisterUpstream(
                UpstreamSpec(
                    f"up-{number}", f"{number:08x}", f"zone-{number % 8}",
                    f"rack-{number // 8}", f"10.0.{number // 250}.{number % 250}:7000",
                    8, 64, 262_144,
                )
            )
        )  # fmt: skip

    def _add_running_request(self, number: int) -> None:
        self._submit_and_start(f"r-{number:032x}", number)

    def _add_ended_request(self, number: int) -> None:
        request_id = f"e-{number:032x}"
        fence = self._submit_and_start(request_id, number)
        answer = MemberAnswer(b"x" * 64, f"{number:064x}")
        outcome = AttemptOutcome.FINISHED
        self._apply(EndAttempt(request_id, 1, fence, outcome, (answer,)))

    def _submit_and_start(self, request_id: str, number: int) -> int:
        self._apply(
            SubmitRequest(
                request_id, "clinic", "fit", f"key-{request_id}", f"{number:064x}",
                Shape(1, number % 4, 8, 16_384), 3_600.0, True, True, b"x" * 128,
            )
        )  # fmt: skip
        ids = (f"up-{number % UPSTREAMS}",)
        self._apply(PlaceAttempt(request_id, 1, ids, "entry-1/0011", False, "fits"))
        fence = self.machine.request_by_id[request_id].attempts[-1].fence
        self._apply(StartAttempt(request_id, 1, fence))
        return fence


def _mib(size: int) -> float:
    return round(size / 2**20, 1)


def run() -> dict[str, Any]:
    """Return all measurements."""
    return MemoryMeasurement().run()


if __name__ == "__main__":
    print(json.dumps(run(), indent=2))
