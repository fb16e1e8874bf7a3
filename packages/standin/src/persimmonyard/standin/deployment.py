"""A deployment of real processes on loopback, for tests and benchmarks."""

import hashlib
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from persimmonyard.standin.relay import Relay

__all__ = ["Deployment", "bind_free_port"]

START_DEADLINE_S = 30.0
STOP_DEADLINE_S = 40.0
LOG_TAIL_LINES = 40


def bind_free_port() -> socket.socket:
    """Return a socket that is bound to a free loopback port.

    While it is open, the kernel does not choose the port for other sockets.
    It does not listen and has ``SO_REUSEADDR``, so a server that sets this
    option too can still bind the port.
    """
    bound_socket = socket.socket()
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound_socket.bind(("127.0.0.1", 0))
    return bound_socket


@dataclass
class Deployment:
    """The processes of one deployment.

    With ``relayed``, the connections of processes to control replicas run
    through relays, so that network partitions can be simulated.
    ``relay_by_pair`` has the connecting process and the replica as its key.

    Example: ``Deployment(folder, controls=3, entries=2).start()``.
    """

    folder: Path
    controls: int = 3
    entries: int = 2
    operator_token: str = "operator-token-for-loopback"
    upstream_token: str = "upstream-token-for-loopback"
    process_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)
    http_port_by_name: dict[str, int] = field(default_factory=dict)
    grpc_port_by_name: dict[str, int] = field(default_factory=dict)
    reserved_sockets: list[socket.socket] = field(default_factory=list)
    relayed: bool = False
    relay_by_pair: dict[tuple[str, str], Relay] = field(default_factory=dict)

    def start(self) -> None:
        """Write the settings, start all processes and wait for the entries.

        Raise ``TimeoutError`` if an entry has no valid lease within 30 s.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        control_names = [f"control-{n + 1}" for n in range(self.controls)]
        for name in control_names:
            self.grpc_port_by_name[name] = self.reserve_port()
        entry_names = [f"entry-{n + 1}" for n in range(self.entries)]
        for name in [*control_names, *entry_names]:
            self.http_port_by_name[name] = self.reserve_port()
            self._write_settings(name)
        self._initialize(control_names)
        for name in [*control_names, *entry_names]:
            self.start_process(name)
        for name in entry_names:
            self.wait_ready(name)

    def reserve_port(self) -> int:
        """Return a loopback port that stays reserved until ``stop``."""
        bound_socket = bind_free_port()
        self.reserved_sockets.append(bound_socket)
        port: int = bound_socket.getsockname()[1]
        return port

    def _replica_port_for(self, name: str, replica: str) -> int:
        """Return the port at which a process connects to a replica.

        It is the port of a new relay if connections are relayed, except
        for a replica's own port.
        """
        if not self.relayed or name == replica:
            return self.grpc_port_by_name[replica]
        relay = Relay(self.grpc_port_by_name[replica])
        self.relay_by_pair[(name, replica)] = relay
        return relay.port

    def isolate(self, name: str, others: list[str]) -> None:
        """Block all relayed traffic between a process and ``others``."""
        for pair, relay in self.relay_by_pair.items():
            if name in pair and (pair[0] in others or pair[1] in others):
                relay.block()

    def reconnect(self) -> None:
        """End all network partitions."""
        for relay in self.relay_by_pair.values():
            relay.restore()

    def leader(self) -> str:
        """Return the name of the leading control process; empty if none."""
        for name in self.grpc_port_by_name:
            if name not in self.process_by_name:
                continue
            url = f"http://127.0.0.1:{self.http_port_by_name[name]}/health"
            try:
                if httpx.get(url, trust_env=False, timeout=2.0).json()["leading"]:
                    return name
            except (httpx.HTTPError, ValueError, KeyError):
                continue
        return ""

    def entry_url(self, number: int) -> str:
        """Return the base URL of an entry; the first has the number 1."""
        return f"http://127.0.0.1:{self.http_port_by_name[f'entry-{number}']}"

    def entry_urls(self) -> list[str]:
        """Return the base URLs of all entries."""
        return [self.entry_url(n + 1) for n in range(self.entries)]

    def start_process(self, name: str) -> None:
        """Start a control process or an entry with its settings file."""
        command = [
            sys.executable,
            "-m",
            "persimmonyard.daemon.main",
            "--settings",
            str(self.folder / f"{name}.toml"),
        ]
        self._spawn(name, command)

    def _initialize(self, names: list[str]) -> None:
        """Run ``init`` for all control processes without a data folder."""
        processes = []
        for name in names:
            if (self.folder / name).exists():
                continue
            command = [sys.executable, "-m", "persimmonyard.daemon.main", "init"]
            command += ["--settings", str(self.folder / f"{name}.toml")]
            processes.append(subprocess.Popen(command))
        for process in processes:
            if process.wait(START_DEADLINE_S) != 0:
                raise RuntimeError("the init command of a control process failed")

    def start_upstream(self, name: str, zone: str, rack: str, *options: str) -> None:
        """Start one stand-in upstream."""
        command = [sys.executable, "-m", "persimmonyard.standin.upstream"]
        command += ["--upstream-id", name, "--zone", zone, "--rack", rack]
        command += ["--token", self.upstream_token, *options]
        for url in self.entry_urls():
            command += ["--entry", url]
        self._spawn(name, command)

    def signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process that this deployment started."""
        os.kill(self.process_by_name[name].pid, signal_number)

    def wait_ready(self, name: str) -> None:
        """Wait until an entry has a valid lease.

        Raise ``TimeoutError`` after 30 s.
        """
        url = f"http://127.0.0.1:{self.http_port_by_name[name]}/health"
        deadline = time.monotonic() + START_DEADLINE_S
        while time.monotonic() < deadline:
            try:
                if httpx.get(url, trust_env=False).json().get("lease_valid"):
                    return
            except (httpx.HTTPError, ValueError):
                pass
            time.sleep(0.1)
        raise TimeoutError(f"{name} did not become ready in time; see its log")

    def stop(self) -> None:
        """Stop all processes, and kill those still running after 40 s.

        Upstreams stop first, then entries, then control processes.
        """
        for name in self.unexpected_exits():
            self._print_log(name)
        for prefix in ("up-", "entry-", "control-"):
            names = [name for name in self.process_by_name if name.startswith(prefix)]
            for name in names:
                self._terminate(name)
            for name in names:
                self._wait_stopped(name)
        for relay in self.relay_by_pair.values():
            relay.close()
        for bound_socket in self.reserved_sockets:
            bound_socket.close()

    def unexpected_exits(self) -> dict[str, int]:
        """Return the exit status of each process that exited by itself.

        Processes that ``stop_process`` or ``kill_process`` ended are not
        included.
        """
        status_by_name = {}
        for name, process in self.process_by_name.items():
            status = process.poll()
            if status is not None:
                status_by_name[name] = status
        return status_by_name

    def print_logs(self) -> None:
        """Print the state and the last log lines of all processes."""
        for name in self.process_by_name:
            self._print_log(name)

    def _print_log(self, name: str) -> None:
        status = self.process_by_name[name].poll()
        state = "is running" if status is None else f"exited with status {status}"
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        print(f"{name} {state}:", file=sys.stderr)
        print("\n".join(lines[-LOG_TAIL_LINES:]), file=sys.stderr)

    def stop_process(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit status.

        Kill it after 40 s.
        """
        self._terminate(name)
        return self._wait_stopped(name)

    def _terminate(self, name: str) -> None:
        process = self.process_by_name[name]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)

    def _wait_stopped(self, name: str) -> int:
        process = self.process_by_name.pop(name)
        try:
            return process.wait(STOP_DEADLINE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def kill_process(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def _spawn(self, name: str, command: list[str]) -> None:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        with log:
            self.process_by_name[name] = subprocess.Popen(
                command, stdout=log, stderr=log
            )

    def _write_settings(self, name: str) -> None:
        role = name.partition("-")[0]
        lines = ["[process]", f'name = "{name}"', f'role = "{role}"']
        lines += ['zone = "karen-bench"', "[http]"]
        lines += [f"port = {self.http_port_by_name[name]}", "[control]"]
        if role == "control":
            port = self.grpc_port_by_name[name]
            lines += [f'address = "127.0.0.1:{port}"']
            lines += [f'data_folder = "{self.folder / name}"']
        lines += ["[control.replicas]"]
        for replica in self.grpc_port_by_name:
            port = self._replica_port_for(name, replica)
            lines += [f'{replica} = "127.0.0.1:{port}"']
        lines += ["[access]"]
        lines += [f'operator_token_hashes = ["{_digest(self.operator_token)}"]']
        lines += [f'upstream_token_hashes = ["{_digest(self.upstream_token)}"]']
        (self.folder / f"{name}.toml").write_text("\n".join(lines) + "\n")


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()
