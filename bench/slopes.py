"""Marginal cost of each kind of event, the basis of docs/CAPACITY.md.

A small deployment of real processes handles one kind of event at a time.  The
processor time and the bytes between its processes, less the idle usage, are
divided by the number of events.
"""

import asyncio
import base64
import hashlib
import json
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import httpx
import psutil

from persimmonyard.standin.deployment import Deployment

__all__ = ["run"]

CLIENT_TOKEN = "slopes-token"
UPSTREAMS = 8
IDLE_S = 20.0
ANNOUNCEMENTS = 2_000
REQUESTS = 600
CHANGES = 300
TIMED_CHANGES = 50
TASK_MEASURE_S = 20.0
CALLERS = 8


class UsageReading(NamedTuple):
    """Processor time and bytes sent and received of each process at one time.

    ``at`` and the processor time are in seconds.
    """

    cpu_s: dict[str, float]
    bytes_sent: dict[str, int]
    at: float


class MarginalCostBenchmark:
    """Measures one deployment and subtracts its idle usage."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._idle_cpu: dict[str, float] = {}
        self._idle_bytes: dict[str, float] = {}

    def set_up(self) -> None:
        """Add upstreams, a class and an account, and measure idle usage."""
        for number in range(UPSTREAMS):
            self._deployment.start_upstream(f"up-{number}", "z1", "rack-1")
        digest = hashlib.sha256(CLIENT_TOKEN.encode()).hexdigest()
        account = {"name": "clinic", "token_hashes": [digest], "max_waiting": 4_000}
        self._apply_configuration(
            [{"work_class": {"name": "fit"}}, {"client_account": account}]
        )
        time.sleep(IDLE_S)
        before = self._read_usage()
        time.sleep(IDLE_S)
        after = self._read_usage()
        for name in after.cpu_s:
            used = after.cpu_s[name] - before.cpu_s[name]
            self._idle_cpu[name] = used / IDLE_S
            sent = after.bytes_sent[name] - before.bytes_sent[name]
            self._idle_bytes[name] = sent / IDLE_S

    def measure(self, count: int, run_events: Callable[[], None]) -> dict[str, Any]:
        """Return processor time in ms and bytes per event, by role.

        The leader counts as a role of its own.
        """
        before = self._read_usage()
        run_events()
        after = self._read_usage()
        seconds = after.at - before.at
        leader = self._deployment.leader()
        result: dict[str, Any] = {"events": count, "seconds": round(seconds, 1)}
        for name in after.cpu_s:
            cpu = after.cpu_s[name] - before.cpu_s[name]
            cpu -= self._idle_cpu[name] * seconds
            sent = after.bytes_sent[name] - before.bytes_sent[name]
            sent -= int(self._idle_bytes[name] * seconds)
            role = "leader" if name == leader else name.partition("-")[0]
            figures = result.setdefault(role, {"ms": 0.0, "bytes": 0.0})
            figures["ms"] += cpu / count * 1_000
            figures["bytes"] += sent / count
        return _rounded(result)

    def send_announcements(self) -> None:
        """Send entry 1 announcements that change nothing but their time."""
        spec = {
            "upstream_id": "slopes",
            "incarnation": "slopes",
            "zone": "z9",
            "rack": "rack-9",
            "address": "127.0.0.1:9",
            "accelerators": 1,
            "cores": 1,
            "memory_mb": 1,
        }

        async def call(client: httpx.AsyncClient, number: int) -> None:
            url = f"{self._deployment.entry_url(1)}/v1/upstreams/announce"
            token = self._deployment.upstream_token
            body = {"spec": spec, "sent_at": float(number), "leaving": False}
            await client.post(url, json=body, headers=_bearer(token))

        _run_callers(ANNOUNCEMENTS, call)

    def send_requests(self) -> None:
        """Submit short requests through both entries and wait for answers."""

        async def call(client: httpx.AsyncClient, number: int) -> None:
            url = f"{self._deployment.entry_url(number % 2 + 1)}/v1/requests"
            body = _request_body(f"small-{number}", 0.01) | {"wait_s": 60.0}
            reply = await client.post(url, json=body, headers=_bearer(CLIENT_TOKEN))
            assert reply.json()["state"] == "finished", reply.text

        _run_callers(REQUESTS, call)

    def send_changes(self) -> None:
        """Change the configuration of 20 classes in turn."""

        async def call(client: httpx.AsyncClient, number: int) -> None:
            url = f"{self._deployment.entry_url(1)}/v1/operator/configuration"
            spec = {"name": f"class-{number % 20}", "within_s": 60.0 + number}
            body = {"changes": [{"work_class": spec}]}
            token = self._deployment.operator_token
            reply = await client.post(url, json=body, headers=_bearer(token))
            assert reply.status_code == 200, reply.text

        _run_callers(CHANGES, call)

    def measure_in_force(self) -> dict[str, float]:
        """Return the seconds until a change is in force on every entry."""
        times = []
        for number in range(TIMED_CHANGES):
            began = time.monotonic()
            spec = {"name": f"waited-{number}"}
            self._apply_configuration([{"work_class": spec}])
            times.append(time.monotonic() - began)
        times.sort()
        return {
            "p50": round(statistics.median(times), 3),
            "max": round(times[-1], 3),
        }

    def submit_long_tasks(self) -> int:
        """Fill all slots with tasks that run longer than the measurement.

        Returns the number of tasks.
        """

        async def call(client: httpx.AsyncClient, number: int) -> None:
            url = f"{self._deployment.entry_url(1)}/v1/requests"
            body = _request_body(f"long-{number}", 600.0)
            await client.post(url, json=body, headers=_bearer(CLIENT_TOKEN))

        count = UPSTREAMS * 8
        _run_callers(count, call)
        time.sleep(5.0)
        return count

    def _apply_configuration(self, changes: list[dict[str, Any]]) -> None:
        url = f"{self._deployment.entry_url(1)}/v1/operator/configuration"
        body = {"changes": changes, "wait_s": 30.0}
        token = self._deployment.operator_token
        reply = httpx.post(url, json=body, headers=_bearer(token), timeout=60.0)
        assert reply.json()["in_force"], reply.text

    def _read_usage(self) -> UsageReading:
        cpu_s = {}
        for name, process in self._deployment.process_by_name.items():
            if name.startswith("up-"):
                continue
            times = psutil.Process(process.pid).cpu_times()
            cpu_s[name] = times.user + times.system
        total_by_name = dict.fromkeys(cpu_s, 0)
        for pair, relay in self._deployment.relay_by_pair.items():
            for name in pair:
                total_by_name[name] += relay.bytes_up + relay.bytes_down
        return UsageReading(cpu_s, total_by_name, time.monotonic())


def run() -> dict[str, Any]:
    """Return the marginal cost of each kind of event on one deployment."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), controls=3, entries=2, relayed=True)
        try:
            deployment.start()
            benchmark = MarginalCostBenchmark(deployment)
            benchmark.set_up()
            result = {
                "announcement": benchmark.measure(
                    ANNOUNCEMENTS, benchmark.send_announcements
                ),
                "request": benchmark.measure(REQUESTS, benchmark.send_requests),
                "change": benchmark.measure(CHANGES, benchmark.send_changes),
            }
            result["in_force_s"] = benchmark.measure_in_force()
            tasks = benchmark.submit_long_tasks()
            task_seconds = int(tasks * TASK_MEASURE_S)
            result["task_second"] = benchmark.measure(
                task_seconds, lambda: time.sleep(TASK_MEASURE_S)
            )
            return result
        finally:
            for name in list(deployment.process_by_name):
                if name.startswith("up-"):
                    deployment.kill_process(name)
            deployment.stop()


def _run_callers(
    count: int, call: Callable[[httpx.AsyncClient, int], Awaitable[None]]
) -> None:
    """Make ``count`` calls from ``CALLERS`` concurrent callers."""
    asyncio.run(_run_callers_async(count, call))


async def _run_callers_async(
    count: int, call: Callable[[httpx.AsyncClient, int], Awaitable[None]]
) -> None:
    numbers = iter(range(count))

    async def caller(client: httpx.AsyncClient) -> None:
        for number in numbers:
            await call(client, number)

    async with httpx.AsyncClient(trust_env=False, timeout=90.0) as client:
        await asyncio.gather(*(caller(client) for _ in range(CALLERS)))


def _request_body(key: str, run_s: float) -> dict[str, Any]:
    payload = json.dumps({"run_s": run_s}).encode()
    return {
        "class": "fit",
        "key": key,
        "shape": {"accelerators": 1, "cores": 1, "memory_mb": 16},
        "declared_run_s": max(run_s, 0.1),
        "idempotent": True,
        "payload": base64.b64encode(payload).decode(),
    }


def _bearer(token: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {token}"}


def _rounded(result: dict[str, Any]) -> dict[str, Any]:
    for figures in result.values():
        if not isinstance(figures, dict):
            continue
        figures["ms"] = round(figures["ms"], 3)
        figures["bytes"] = round(figures["bytes"])
    return result


def main() -> None:
    """Print the results as JSON."""
    json.dump(run(), sys.stdout, indent=2)


if __name__ == "__main__":
    main()
