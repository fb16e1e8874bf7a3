"""Cost of an idle deployment: processor time, memory, control traffic.

Connections between the processes run through relays that count all bytes
with framing.  Traffic with upstreams and callers is not counted.
"""

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import httpx
import psutil

from persimmonyard.standin.deployment import Deployment

__all__ = ["run"]

MEASURE_S = 60.0
# Each upstream announces itself to every entry within 9 announcements, which
# are 3 s apart.
SETTLE_S = 40.0
CONTROLS = 3
ENTRIES = 9
UPSTREAMS = 24
CPU_LIMIT_SHARE = 0.016
MEMORY_LIMIT_BYTES = 256 << 20
TRAFFIC_LIMIT_BYTES_S = 3_000


def run(measure_s: float = MEASURE_S) -> dict[str, Any]:
    """Measure an idle deployment of the present size for ``measure_s``."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(
            Path(folder), controls=CONTROLS, entries=ENTRIES, relayed=True
        )
        try:
            deployment.start()
            for number in range(UPSTREAMS):
                zone = f"zone-{number % 4}"
                rack = f"rack-{number // 6}"
                deployment.start_upstream(f"up-{number}", zone, rack)
            _wait_registered(deployment)
            time.sleep(SETTLE_S)
            return _measure(deployment, measure_s)
        finally:
            deployment.stop()


def _wait_registered(deployment: Deployment) -> None:
    url = f"{deployment.entry_url(1)}/v1/operator/status"
    headers = {"Authorization": f"Bearer {deployment.operator_token}"}
    deadline = time.monotonic() + 60.0
    while time.monotonic() < deadline:
        reply = httpx.get(url, headers=headers, timeout=10.0).json()
        if len(reply.get("upstreams", ())) == UPSTREAMS:
            return
        time.sleep(0.5)
    raise TimeoutError("not all upstreams registered within 60 s")


def _measure(deployment: Deployment, measure_s: float) -> dict[str, Any]:
    names = [*deployment.grpc_port_by_name]
    names += [f"entry-{number + 1}" for number in range(ENTRIES)]
    leader = deployment.leader()
    process_by_name = {}
    for name in names:
        pid = deployment.process_by_name[name].pid
        process_by_name[name] = psutil.Process(pid)
    before = {name: _cpu_s(process) for name, process in process_by_name.items()}
    bytes_before = _bytes_by_name(deployment)
    time.sleep(measure_s)
    bytes_after = _bytes_by_name(deployment)
    result: dict[str, Any] = {"measure_s": measure_s, "leader": leader}
    processes = {}
    for name, process in process_by_name.items():
        cpu_share = (_cpu_s(process) - before[name]) / measure_s
        memory = process.memory_info().rss
        traffic = (bytes_after[name] - bytes_before[name]) / measure_s
        processes[name] = {
            "cpu_share": round(cpu_share, 5),
            "cpu_of_limit": round(cpu_share / CPU_LIMIT_SHARE, 2),
            "memory_mb": round(memory / (1 << 20), 1),
            "memory_of_limit": round(memory / MEMORY_LIMIT_BYTES, 2),
            "traffic_bytes_s": round(traffic),
            "traffic_of_limit": round(traffic / TRAFFIC_LIMIT_BYTES_S, 2),
        }
    result["processes"] = processes
    return result


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _bytes_by_name(deployment: Deployment) -> dict[str, int]:
    """Return the sum of the bytes sent and received by each process."""
    total_by_name: dict[str, int] = {}
    for pair, relay in deployment.relay_by_pair.items():
        for name in pair:
            total = total_by_name.get(name, 0)
            total_by_name[name] = total + relay.bytes_up + relay.bytes_down
    return total_by_name


def main() -> None:
    """Print the results; the argument is the measuring time in seconds."""
    measure_s = float(sys.argv[1]) if len(sys.argv) > 1 else MEASURE_S
    print(json.dumps(run(measure_s), indent=2))


if __name__ == "__main__":
    main()
