"""A small deployment of real processes on loopback."""

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

__all__ = ["Deployment", "free_port"]

START_DEADLINE_S = 30.0
STOP_DEADLINE_S = 40.0


def free_port() -> int:
    """Return a loopback port that is free at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port: int = probe.getsockname()[1]
        return port


@dataclass
class Deployment:
    """Processes of one deployment, by name.

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

    def start(self) -> None:
        """Write settings and start all processes of the system."""
        self.folder.mkdir(parents=True, exist_ok=True)
        control_names = [f"control-{n + 1}" for n in range(self.controls)]
        for name in control_names:
            self.grpc_port_by_name[name] = free_port()
        entry_names = [f"entry-{n + 1}" for n in range(self.entries)]
        for name in [*control_names, *entry_names]:
            self.http_port_by_name[name] = free_port()
            self._write_settings(name)
            if name in control_names:
                self._initialize(name)
            self.start_process(name)
        for name in entry_names:
            self.wait_ready(name)

    def entry_url(self, number: int) -> str:
        """Return the base URL of an entry, counted from 1."""
        return f"http://127.0.0.1:{self.http_port_by_name[f'entry-{number}']}"

    def entry_urls(self) -> list[str]:
        """Return the base URLs of all entries."""
        return [self.entry_url(n + 1) for n in range(self.entries)]

    def start_process(self, name: str) -> None:
        """Start one process of the system."""
        command = [
            sys.executable,
            "-m",
            "persimmonyard.daemon.main",
            "--settings",
            str(self.folder / f"{name}.toml"),
        ]
        self._spawn(name, command)

    def _initialize(self, name: str) -> None:
        command = [sys.executable, "-m", "persimmonyard.daemon.main", "init"]
        command += ["--settings", str(self.folder / f"{name}.toml")]
        if not (self.folder / name).exists():
            subprocess.run(command, check=True)

    def start_upstream(self, name: str, zone: str, rack: str, *options: str) -> None:
        """Start one stand-in upstream."""
        command = [sys.executable, "-m", "persimmonyard.standin.upstream"]
        command += ["--upstream-id", name, "--zone", zone, "--rack", rack]
        command += ["--token", self.upstream_token, *options]
        for url in self.entry_urls():
            command += ["--entry", url]
        self._spawn(name, command)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process that this object started."""
        os.kill(self.process_by_name[name].pid, number)

    def wait_ready(self, name: str) -> None:
        """Wait until an entry has a valid lease."""
        url = f"http://127.0.0.1:{self.http_port_by_name[name]}/health"
        deadline = time.monotonic() + START_DEADLINE_S
        while time.monotonic() < deadline:
            try:
                if httpx.get(url, trust_env=False).json().get("lease_valid"):
                    return
            except (httpx.HTTPError, ValueError):
                pass
            time.sleep(0.1)
        raise TimeoutError(f"{name} did not become ready; see its log")

    def stop(self) -> None:
        """Stop everything gracefully, and kill what does not stop."""
        order = sorted(self.process_by_name, key=_stop_rank)
        for name in order:
            self.stop_process(name)

    def stop_process(self, name: str) -> int:
        """Stop one process gracefully and return its exit status."""
        process = self.process_by_name.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        try:
            return process.wait(STOP_DEADLINE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def kill_process(self, name: str) -> None:
        """Kill one process at once."""
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
        for replica, port in self.grpc_port_by_name.items():
            lines += [f'{replica} = "127.0.0.1:{port}"']
        lines += ["[access]"]
        lines += [f'operator_token_hashes = ["{_digest(self.operator_token)}"]']
        lines += [f'upstream_token_hashes = ["{_digest(self.upstream_token)}"]']
        (self.folder / f"{name}.toml").write_text("\n".join(lines) + "\n")


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _stop_rank(name: str) -> int:
    for rank, prefix in enumerate(("up-", "entry-", "control-")):
        if name.startswith(prefix):
            return rank
    return 0
