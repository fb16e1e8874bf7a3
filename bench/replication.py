"""Benchmark of replication: group commit, restart, memory and failover.

All results are ratios within one run, or values to compare with a limit.  Run
it with ``python -m bench.replication``; it starts its own replica processes
with ``--node``.
"""

import argparse
import asyncio
import json
import multiprocessing
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import grpc
import psutil

from bench.replication_state import write_data_folders
from persimmonyard.daemon.control.transport import MESSAGE_OPTIONS, GrpcTransport
from persimmonyard.replication import CoreConfig, FileStorage, Replica, initialize
from persimmonyard.standin.deployment import Deployment, bind_free_port
from persimmonyard.state import StateMachine
from persimmonyard.wire.generated import control_pb2_grpc

__all__ = ["run"]

ROOT = Path(__file__).resolve().parent.parent
NAMES = ("a", "b", "c")
CONCURRENT_CALLERS = 256
COMMAND = b"x" * 300
THROUGHPUT_MEASURE_S = 3.0
INJECTED_SYNC_DELAY_S = 0.005
LEADER_KILLS = 7


class DelayedSyncStorage(FileStorage):
    """File storage that adds a delay of ``delay_s`` to every sync."""

    delay_s = 0.0

    def sync(self) -> None:
        """Wait for the delay, then sync."""
        time.sleep(self.delay_s)
        super().sync()


class CountingStateMachine:
    """State machine that only counts entries, to measure replication alone."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, entry: bytes) -> int:
        """Return the number of entries applied so far."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the encoded count."""
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Restore the count from a snapshot."""
        self.count = int(data)


# Code of one replica process.


async def run_replica(arguments: argparse.Namespace) -> None:
    """Run one replica; print when it becomes leader.

    With ``--load``, measure the throughput as leader and print it.
    """
    addresses = json.loads(arguments.addresses)
    name = arguments.node
    transport = GrpcTransport(name, addresses)
    server = grpc.aio.server(options=MESSAGE_OPTIONS)
    control_pb2_grpc.add_ReplicationServicer_to_server(transport, server)
    server.add_insecure_port(addresses[name])
    storage = DelayedSyncStorage(Path(arguments.folder) / name)
    storage.delay_s = arguments.delay
    config = CoreConfig(name, "", NAMES, seed=time.monotonic_ns())
    replica = Replica(config, storage, transport, CountingStateMachine())
    await replica.start()
    await server.start()
    await wait_until_leading(replica)
    print(json.dumps({"leads_at": time.monotonic()}), flush=True)
    if arguments.load:
        await asyncio.sleep(1.0)
        single_rate = await measure_throughput(replica, 1)
        concurrent_rate = await measure_throughput(replica, CONCURRENT_CALLERS)
        print(json.dumps({"one": single_rate, "many": concurrent_rate}), flush=True)
    await asyncio.Event().wait()


async def wait_until_leading(replica: Replica) -> None:
    """Wait until the replica has restored its state and leads.

    Raises ``TimeoutError`` if this takes longer than about 60 s.
    """
    for _ in range(60_000):
        if replica.is_leader():
            return
        await asyncio.sleep(0.001)
    raise TimeoutError("the replica did not become leader within about 60 s")


async def measure_throughput(replica: Replica, callers: int) -> float:
    """Return the rate of committed commands per second.

    Each caller proposes its next command once the last one is committed.
    """
    end = time.monotonic() + THROUGHPUT_MEASURE_S
    count = 0

    async def call() -> None:
        nonlocal count
        while time.monotonic() < end:
            await replica.propose(COMMAND)
            count += 1

    started = time.monotonic()
    await asyncio.gather(*(call() for _ in range(callers)))
    return count / (time.monotonic() - started)


class ReplicaGroup:
    """Three replicas, each in its own process, on loopback."""

    def __init__(self, folder: Path, delay_s: float, load: bool):
        self._folder = folder
        self._options = ["--delay", str(delay_s)] + (["--load"] if load else [])
        self._reserved_sockets = [bind_free_port() for _ in NAMES]
        self._addresses = {}
        for name, reserved_socket in zip(NAMES, self._reserved_sockets, strict=True):
            self._addresses[name] = f"127.0.0.1:{reserved_socket.getsockname()[1]}"
        self._process_by_name: dict[str, subprocess.Popen] = {}
        for name in NAMES:
            initialize(folder / name, name, self._addresses)
            self.start(name)

    def start(self, name: str) -> None:
        """Start the process of one replica."""
        command = [
            sys.executable,
            "-m",
            "bench.replication",
            "--node",
            name,
            *self._options,
        ]
        command += ["--addresses", json.dumps(self._addresses)]
        command += ["--folder", str(self._folder)]
        output = open(self._folder / f"{name}.out", "wb")  # noqa: SIM115
        with output:
            self._process_by_name[name] = subprocess.Popen(
                command, stdout=output, cwd=ROOT
            )

    def kill(self, name: str) -> None:
        """Kill one replica with SIGKILL."""
        process = self._process_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Kill all replicas and release the reserved ports."""
        for name in list(self._process_by_name):
            self.kill(name)
        for reserved_socket in self._reserved_sockets:
            reserved_socket.close()

    def wait_for_report(
        self, key: str, excluded: str = ""
    ) -> tuple[str, dict[str, Any]]:
        """Return a replica other than ``excluded`` that printed ``key``.

        The second value is its first report with this key.  Raises
        ``TimeoutError`` after 60 s.
        """
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            for name in self._process_by_name:
                if name == excluded:
                    continue
                text = (self._folder / f"{name}.out").read_text()
                for line in text.splitlines():
                    if line.endswith("}") and key in json.loads(line):
                        return name, json.loads(line)
            time.sleep(0.01)
        raise TimeoutError(f"no replica reported {key!r} within 60 s")


def measure_group_commit(delay_s: float) -> dict[str, float]:
    """Compare the throughput of 256 concurrent callers with that of one."""
    with tempfile.TemporaryDirectory() as name:
        group = ReplicaGroup(Path(name), delay_s, load=True)
        try:
            _, rates = group.wait_for_report("many")
        finally:
            group.stop()
    return {
        "one_at_a_time_per_s": round(rates["one"], 1),
        "concurrent_per_s": round(rates["many"], 1),
        "ratio": round(rates["many"] / rates["one"], 1),
    }


def measure_failover() -> dict[str, float]:
    """Measure the time without a leader after the leader is killed.

    The results are in multiples of the shortest election timeout.
    """
    min_election_timeout_s = CoreConfig("", "").election_min_s
    outages = []
    with tempfile.TemporaryDirectory() as name:
        group = ReplicaGroup(Path(name), 0.0, load=False)
        try:
            for _ in range(LEADER_KILLS):
                leader, _ = group.wait_for_report("leads_at")
                time.sleep(2.0)
                killed_at = time.monotonic()
                group.kill(leader)
                _, report = group.wait_for_report("leads_at", leader)
                assert report["leads_at"] > killed_at, (
                    "the report is older than the kill"
                )
                outages.append(
                    (report["leads_at"] - killed_at) / min_election_timeout_s
                )
                group.start(leader)
                time.sleep(3.0)
        finally:
            group.stop()
    return {
        "median_in_election_timeouts": round(statistics.median(outages), 2),
        "longest_in_election_timeouts": round(max(outages), 2),
    }


class NullTransport:
    """Transport for a group of one replica: sends and receives nothing."""

    async def start(self, receive: Any) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def send(self, to: str, message: Any) -> None:
        """Do nothing."""

    def set_addresses(self, address_by_name: dict[str, str]) -> None:
        """Do nothing."""


async def measure_restart(folder: Path, name: str) -> float:
    """Return the seconds from the start of a replica until it leads."""
    started = time.monotonic()
    config = CoreConfig(name, "")
    replica = Replica(
        config, FileStorage(folder / name), NullTransport(), StateMachine()
    )
    await replica.start()
    await wait_until_leading(replica)
    elapsed = time.monotonic() - started
    await replica.stop()
    return elapsed


def run_measure_restart(folder: Path, name: str) -> float:
    """Run ``measure_restart`` in an event loop of its own."""
    return asyncio.run(measure_restart(folder, name))


def run_in_child_process(call: Callable[..., Any], *arguments: Any) -> Any:
    """Run a call in a new process with separate memory; return its result."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(call, *arguments).result()


def compare_restarts() -> dict[str, float]:
    """Compare a restart from snapshot and log with replays of whole logs.

    The memory is that of a real control process that leads with this state.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        sizes = run_in_child_process(write_data_folders, folder)
        snapshot_s = run_in_child_process(run_measure_restart, folder, "control-1")
        shortest_log_s = run_in_child_process(run_measure_restart, folder, "whole")
        long_log_s = run_in_child_process(run_measure_restart, folder, "past")
        deployment = Deployment(folder, controls=1, entries=0)
        deployment.start()
        try:
            time.sleep(10.0)
            process = deployment.process_by_name["control-1"]
            rss_bytes = psutil.Process(process.pid).memory_info().rss
        finally:
            deployment.stop()
    return {
        **sizes,
        "snapshot_and_log_s": round(snapshot_s, 2),
        "shortest_log_s": round(shortest_log_s, 2),
        "ratio_to_shortest_log": round(shortest_log_s / snapshot_s, 1),
        "log_with_a_week_of_changes_s": round(long_log_s, 2),
        "ratio_to_log_with_a_week_of_changes": round(long_log_s / snapshot_s, 1),
        "control_process_mb": round(rss_bytes / 1e6),
    }


def run() -> dict[str, Any]:
    """Return the results of all measurements."""
    return {
        "group_commit": measure_group_commit(0.0),
        "group_commit_sync_5_ms": measure_group_commit(INJECTED_SYNC_DELAY_S),
        "restart": compare_restarts(),
        "time_without_leader": measure_failover(),
    }


def main() -> None:
    """Print the results, or run one replica with ``--node``."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--node")
    parser.add_argument("--addresses")
    parser.add_argument("--folder")
    parser.add_argument("--delay", type=float, default=0.0)
    parser.add_argument("--load", action="store_true")
    arguments = parser.parse_args()
    if arguments.node:
        asyncio.run(run_replica(arguments))
        return
    print(json.dumps(run(), indent=2))


if __name__ == "__main__":
    main()
