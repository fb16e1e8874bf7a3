"""Measure the memory of the replicated state at the target size.

The figures are for one deployment of the target's three: 47,000 running
requests, 5,400 upstreams and 15,000 requests kept after their end.
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
RUNNING = 47_000
ENDED = 15_000


class Measurement:
    """Grow a state machine and note what each kind of record takes."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self._time = 0.0
        self._results: dict[str, float] = {}

    def run(self) -> dict[str, float]:
        """Return bytes per record, totals in MiB and the time of a snapshot.

        The time is taken before memory is traced again, since tracing slows
        the encoder down.
        """
        account = ClientAccountSpec("clinic", max_waiting=RUNNING + ENDED)
        self._apply(
            ApplyConfiguration(
                (
                    ConfigurationChange(work_class=WorkClassSpec("fit")),
                    ConfigurationChange(client_account=account),
                )
            )
        )
        tracemalloc.start()
        self._step("upstream", UPSTREAMS, self._register)
        self._step("running_request", RUNNING, self._start)
        self._step("ended_request", ENDED, self._finish)
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
        kept, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self._results["restored_mib"] = _mib(kept)
        self._results["restore_peak_mib"] = _mib(peak)

    def _step(self, name: str, count: int, add: Callable[[int], object]) -> None:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(count):
            add(number)
        self.machine.take_change_events()
        grown = tracemalloc.get_traced_memory()[0] - before
        self._results[f"{name}_bytes"] = round(grown / count)

    def _apply(self, command: object) -> None:
        """Apply a command as a replica does: decoded from the log."""
        self._time += 0.001
        entry = encode_record(LogRecord("", self._time, command))
        result = self.machine.apply_record(decode_record(entry))
        if result.code:
            raise RuntimeError(result.message)
        if len(self.machine.request_by_id) % 100 == 0:
            self.machine.take_change_events()

    def _register(self, number: int) -> None:
        self._apply(
            RegisterUpstream(
                UpstreamSpec(
                    f"up-{number}", f"{number:08x}", f"zone-{number % 8}",
                    f"rack-{number // 8}", f"10.0.{number // 250}.{number % 250}:7000",
                    8, 64, 262_144,
                )
            )
        )  # fmt: skip

    def _start(self, number: int) -> None:
        self._submit_and_start(f"r-{number:032x}", number)

    def _finish(self, number: int) -> None:
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
    return Measurement().run()


if __name__ == "__main__":
    print(json.dumps(run(), indent=2))
