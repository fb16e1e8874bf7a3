"""Measure replicas: group commit, restart, memory and time without a leader.

All results are ratios within one run, or figures against a limit.  Run with
``python -m bench.replication``; ``--node`` is what it starts for itself.
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

from bench.replication_state import write_folders
from persimmonyard.daemon.control.transport import MESSAGE_OPTIONS, GrpcTransport
from persimmonyard.replication import CoreConfig, FileStorage, Replica, initialize
from persimmonyard.standin.deployment import Deployment, bind_free_port
from persimmonyard.state import StateMachine
from persimmonyard.wire.generated import control_pb2_grpc

__all__ = ["run"]

ROOT = Path(__file__).resolve().parent.parent
NAMES = ("a", "b", "c")
CONCURRENT = 256
COMMAND = b"x" * 300
LOAD_S = 3.0
INJECTED_SYNC_S = 0.005
KILLS = 7


class SlowDisk(FileStorage):
    """Adds a delay to every sync."""

    delay_s = 0.0

    def sync(self) -> None:
        """Sync after the delay."""
        time.sleep(self.delay_s)
        super().sync()


class CountingMachine:
    """Counts entries, so that replication is all that is measured."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, entry: bytes) -> int:
        """Count an entry."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Set the count."""
        self.count = int(data)


# One replica in a process of its own.


async def serve_node(arguments: argparse.Namespace) -> None:
    """Run one replica; when it leads, say so and measure if asked."""
    addresses = json.loads(arguments.addresses)
    name = arguments.node
    transport = GrpcTransport(name, addresses)
    server = grpc.aio.server(options=MESSAGE_OPTIONS)
    control_pb2_grpc.add_ReplicationServicer_to_server(transport, server)
    server.add_insecure_port(addresses[name])
    disk = SlowDisk(Path(arguments.folder) / name)
    disk.delay_s = arguments.delay
    config = CoreConfig(name, "", NAMES, seed=time.monotonic_ns())
    replica = Replica(config, disk, transport, CountingMachine())
    await replica.start()
    await server.start()
    await until_leading(replica)
    print(json.dumps({"leads_at": time.monotonic()}), flush=True)
    if arguments.load:
        await asyncio.sleep(1.0)
        one = await measure_load(replica, 1)
        many = await measure_load(replica, CONCURRENT)
        print(json.dumps({"one": one, "many": many}), flush=True)
    await asyncio.Event().wait()


async def until_leading(replica: Replica) -> None:
    """Return when the replica has its state and leads."""
    for _ in range(60_000):
        if replica.is_leader():
            return
        await asyncio.sleep(0.001)
    raise TimeoutError("the replica does not lead")


async def measure_load(replica: Replica, callers: int) -> float:
    """Return committed commands per second."""
    end = time.monotonic() + LOAD_S
    count = 0

    async def call() -> None:
        nonlocal count
        while time.monotonic() < end:
            await replica.propose(COMMAND)
            count += 1

    started = time.monotonic()
    await asyncio.gather(*(call() for _ in range(callers)))
    return count / (time.monotonic() - started)


class Group:
    """Three replicas in processes on loopback."""

    def __init__(self, folder: Path, delay_s: float, load: bool):
        self._folder = folder
        self._options = ["--delay", str(delay_s)] + (["--load"] if load else [])
        self._holders = [bind_free_port() for _ in NAMES]
        self._addresses = {}
        for name, holder in zip(NAMES, self._holders, strict=True):
            self._addresses[name] = f"127.0.0.1:{holder.getsockname()[1]}"
        self._process_by_name: dict[str, subprocess.Popen] = {}
        for name in NAMES:
            initialize(folder / name, name, self._addresses)
            self.start(name)

    def start(self, name: str) -> None:
        """Start one replica."""
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
        """Kill one replica at once."""
        process = self._process_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Kill all replicas."""
        for name in list(self._process_by_name):
            self.kill(name)
        for holder in self._holders:
            holder.close()

    def wait_for(self, key: str, besides: str = "") -> tuple[str, dict[str, Any]]:
        """Return the first replica that printed ``key``, and its line."""
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            for name in self._process_by_name:
                if name == besides:
                    continue
                text = (self._folder / f"{name}.out").read_text()
                for line in text.splitlines():
                    if line.endswith("}") and key in json.loads(line):
                        return name, json.loads(line)
            time.sleep(0.01)
        raise TimeoutError(f"no replica reported {key!r}")


def group_commit(delay_s: float) -> dict[str, float]:
    """Compare 256 concurrent commands with one command at a time."""
    with tempfile.TemporaryDirectory() as name:
        group = Group(Path(name), delay_s, load=True)
        try:
            _, rates = group.wait_for("many")
        finally:
            group.stop()
    return {
        "one_at_a_time_per_s": round(rates["one"], 1),
        "concurrent_per_s": round(rates["many"], 1),
        "ratio": round(rates["many"] / rates["one"], 1),
    }


def time_without_leader() -> dict[str, float]:
    """Kill the leader repeatedly and compare with the election timeout."""
    shortest = CoreConfig("", "").election_min_s
    gaps = []
    with tempfile.TemporaryDirectory() as name:
        group = Group(Path(name), 0.0, load=False)
        try:
            for _ in range(KILLS):
                leader, _ = group.wait_for("leads_at")
                time.sleep(2.0)
                killed_at = time.monotonic()
                group.kill(leader)
                _, found = group.wait_for("leads_at", leader)
                assert found["leads_at"] > killed_at, "an earlier report"
                gaps.append((found["leads_at"] - killed_at) / shortest)
                group.start(leader)
                time.sleep(3.0)
        finally:
            group.stop()
    return {
        "median_in_election_timeouts": round(statistics.median(gaps), 2),
        "longest_in_election_timeouts": round(max(gaps), 2),
    }


class NoTransport:
    """The transport of a group of one."""

    async def start(self, receive: Any) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def send(self, to: str, message: Any) -> None:
        """Do nothing."""

    def set_addresses(self, address_by_name: dict[str, str]) -> None:
        """Do nothing."""


async def restart_s(folder: Path, name: str) -> float:
    """Return the time until a replica has its state and leads."""
    started = time.monotonic()
    config = CoreConfig(name, "")
    replica = Replica(config, FileStorage(folder / name), NoTransport(), StateMachine())
    await replica.start()
    await until_leading(replica)
    elapsed = time.monotonic() - started
    await replica.stop()
    return elapsed


def timed_restart(folder: Path, name: str) -> float:
    """Return the seconds that a restart takes."""
    return asyncio.run(restart_s(folder, name))


def in_child(call: Callable[..., Any], *arguments: Any) -> Any:
    """Return the result of a call in a fresh process, with its own memory."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(call, *arguments).result()


def restart() -> dict[str, float]:
    """Compare a restart from snapshot plus log with a replay of the log.

    The memory is that of a real control process that leads with this state.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        sizes = in_child(write_folders, folder)
        snapshot_s = in_child(timed_restart, folder, "control-1")
        whole_s = in_child(timed_restart, folder, "whole")
        past_s = in_child(timed_restart, folder, "past")
        deployment = Deployment(folder, controls=1, entries=0)
        deployment.start()
        try:
            time.sleep(10.0)
            process = deployment.process_by_name["control-1"]
            rss = psutil.Process(process.pid).memory_info().rss
        finally:
            deployment.stop()
    return {
        **sizes,
        "snapshot_and_log_s": round(snapshot_s, 2),
        "shortest_log_s": round(whole_s, 2),
        "ratio_to_shortest_log": round(whole_s / snapshot_s, 1),
        "log_with_a_week_of_changes_s": round(past_s, 2),
        "ratio_to_log_with_a_week_of_changes": round(past_s / snapshot_s, 1),
        "control_process_mb": round(rss / 1e6),
    }


def run() -> dict[str, Any]:
    """Return all measurements."""
    return {
        "group_commit": group_commit(0.0),
        "group_commit_sync_5_ms": group_commit(INJECTED_SYNC_S),
        "restart": restart(),
        "time_without_leader": time_without_leader(),
    }


def main() -> None:
    """Print the measurements, or run one replica."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--node")
    parser.add_argument("--addresses")
    parser.add_argument("--folder")
    parser.add_argument("--delay", type=float, default=0.0)
    parser.add_argument("--load", action="store_true")
    arguments = parser.parse_args()
    if arguments.node:
        asyncio.run(serve_node(arguments))
        return
    print(json.dumps(run(), indent=2))


if __name__ == "__main__":
    main()
