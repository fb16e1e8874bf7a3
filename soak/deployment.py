"""The processes of one soak, on their own loopback addresses."""

import os
import random
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from persimmonyard.standin.relay import Relay
from soak.process import CLOCK_OFFSET_VARIABLE

__all__ = ["TOLERATED_LOSSES", "UPSTREAM_STANDIN", "SoakDeployment"]

ROOT = Path(__file__).resolve().parent.parent
UPSTREAM_STANDIN = ROOT / "platform" / "standin" / "upstream.py"
ZONES = ("z1", "z2", "z3")
# The largest offset of the time of day of a process, in seconds.
MAX_CLOCK_OFFSET_S = 0.5
# The slowest rate of the clock of an upstream; 1.0 is the true rate.
MIN_CLOCK_RATE = 0.98
STOP_DEADLINE_S = 20.0
# How many of the control processes may be lost at a time.
TOLERATED_LOSSES = 2

SETTINGS = """
[process]
name = "{name}"
role = "{role}"
zone = "{zone}"

[addresses]
ip = "{ip}"
bind_ip = "{bind_ip}"
peer_port = {peer_port}
callers = "{callers}"
readiness = "{readiness}"
control = "{control}"
metrics_port = 0

[group]
seeds = {seeds}
first_start = {first_start}
data_folder = "{folder}"
tolerated_losses = {tolerated_losses}

[bounds]
longest_lease_ms = 10000
gang_patience_ms = 3000
state_kept_s = 120
heartbeat_ms = 500
stop_grace_s = 3.0
contact_ms = 3000
"""


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@dataclass
class SoakDeployment:
    """Entries, and control processes and upstreams behind relays.

    All addresses are in the network 127.``slot``.0.0/16, so that deployments
    with different slots can run in parallel.
    """

    folder: Path
    seed: int
    slot: int = 1
    controls: int = 5
    entries: int = 3
    upstreams: int = 6
    process_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)
    relays_by_name: dict[str, list[Relay]] = field(default_factory=dict)
    upstream_starts: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.peer_port, self.control_port = _free_port(), _free_port()
        self.entry_port, self.upstream_port = _free_port(), _free_port()
        self.control_names = [f"control-{n + 1}" for n in range(self.controls)]
        self.first_control_names = tuple(self.control_names)
        self.control_count = self.controls
        self.entry_names = [f"entry-{n + 1}" for n in range(self.entries)]
        self.upstream_names = [f"up-{n + 1}" for n in range(self.upstreams)]
        self.zone_by_name: dict[str, str] = {}
        names = [*self.control_names, *self.entry_names, *self.upstream_names]
        for number, name in enumerate(names):
            self.zone_by_name[name] = ZONES[number % len(ZONES)]

    def _ip(self, subnet: int, name: str) -> str:
        return f"127.{self.slot}.{subnet}.{name.rpartition('-')[2]}"

    def control_address(self, name: str) -> str:
        """Return a control process's address for operators and upstreams."""
        return f"{self._ip(1, name)}:{self.control_port}"

    def entry_url(self, name: str) -> str:
        """Return the base URL of an entry for callers."""
        return f"http://{self._ip(3, name)}:{self.entry_port}"

    def start(self) -> None:
        """Start the relays and all processes."""
        for name in self.control_names:
            self._start_control_relays(name)
            self._write_settings(name, first_start=True)
        for name in self.entry_names:
            self._write_settings(name, first_start=True)
        for name in self.upstream_names:
            self._start_relay(
                name, self._ip(4, name), self._ip(5, name), self.upstream_port
            )
        for name in self.names():
            self.start_process(name)

    def _start_control_relays(self, name: str) -> None:
        for port in (self.peer_port, self.control_port):
            self._start_relay(name, self._ip(1, name), self._ip(2, name), port)

    def names(self) -> list[str]:
        """Return the names of all processes."""
        return [*self.control_names, *self.entry_names, *self.upstream_names]

    def _start_relay(self, name: str, host: str, target: str, port: int) -> None:
        relay = Relay(port, target, host, port)
        self.relays_by_name.setdefault(name, []).append(relay)

    def start_process(self, name: str, dark_s: float = 0.0) -> None:
        """Start a process unless it is running.

        An upstream accepts calls and does not answer them for ``dark_s``.
        """
        process = self.process_by_name.get(name)
        if process is not None and process.poll() is None:
            return
        command = [sys.executable, "-m", "soak.process"]
        paths = [str(ROOT), os.environ.get("PYTHONPATH", "")]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))}
        if name in self.upstream_names:
            command = [*self._upstream_command(name), "--dark-s", f"{dark_s:.3f}"]
        else:
            clock_offset_s = self.random.uniform(
                -MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S
            )
            environment[CLOCK_OFFSET_VARIABLE] = f"{clock_offset_s:.3f}"
            settings = str(self.folder / f"{name}.toml")
            environment["PERSIMMONYARD_SETTINGS"] = settings
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=ROOT, env=environment
            )

    def _upstream_command(self, name: str) -> list[str]:
        self.upstream_starts += 1
        clock_rate = self.random.uniform(MIN_CLOCK_RATE, 1.0)
        number = int(name.rpartition("-")[2])
        command = [sys.executable, str(UPSTREAM_STANDIN), "--name", name]
        command += ["--address", f"{self._ip(4, name)}:{self.upstream_port}"]
        command += ["--bind", f"{self._ip(5, name)}:{self.upstream_port}"]
        command += ["--zone", self.zone_by_name[name], "--rack", f"r{number % 2}"]
        command += ["--seed", str(self.seed * 1_000 + self.upstream_starts)]
        command += ["--pace", f"{clock_rate:.4f}"]
        command += ["--calls", str(self.folder / f"{name}.calls")]
        command += ["--cut-off", str(self._cut_off_file(name))]
        for control in self.control_names:
            command += ["--control", self.control_address(control)]
        return command

    def _cut_off_file(self, name: str) -> Path:
        return self.folder / f"{name}.cut"

    def _write_settings(self, name: str, first_start: bool) -> None:
        control = name in self.control_names
        seeds = [
            self.control_address(seed_name) for seed_name in self.control_names[:3]
        ]
        ip = self._ip(1 if control else 3, name)
        text = SETTINGS.format(
            name=name,
            role="job-control" if control else "job-entry",
            zone=self.zone_by_name[name],
            ip=ip,
            bind_ip=self._ip(2, name) if control else "",
            peer_port=self.peer_port,
            callers="" if control else f"{ip}:{self.entry_port}",
            readiness="" if control else f"{ip}:{self.control_port}",
            control=self.control_address(name) if control else "",
            seeds=seeds,
            first_start=str(first_start).lower(),
            folder=self.folder / name if control else "",
            tolerated_losses=TOLERATED_LOSSES,
        )
        (self.folder / f"{name}.toml").write_text(text)

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process that this deployment started."""
        process = self.process_by_name[name]
        if process.poll() is None:
            process.send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.send_signal(name, signal.SIGKILL)
        self.process_by_name[name].wait()

    def wipe_data(self, name: str) -> None:
        """Delete the data folder of a control process that is not running.

        Its settings then say that this is not the first start of the group.
        """
        shutil.rmtree(self.folder / name, ignore_errors=True)
        self._write_settings(name, first_start=False)

    def add_successor(self, name: str) -> str:
        """Put a new control process in the place of ``name``; return its name.

        It has an address of its own and is not started yet.  The settings of
        all others name it as a seed if it is one of the first three.
        """
        self.control_count += 1
        successor = f"control-{self.control_count}"
        self.control_names[self.control_names.index(name)] = successor
        self.zone_by_name[successor] = self.zone_by_name[name]
        self._start_control_relays(successor)
        for other in [*self.control_names, *self.entry_names]:
            self._write_settings(other, first_start=False)
        return successor

    def remove_control(self, name: str) -> None:
        """Kill a control process whose successor was added, and its relays."""
        self.kill(name)
        del self.process_by_name[name]
        for relay in self.relays_by_name.pop(name):
            relay.close()
        shutil.rmtree(self.folder / name, ignore_errors=True)

    def stop(self) -> None:
        """Kill all processes and close the relays."""
        for name in self.process_by_name:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGKILL)
        for process in self.process_by_name.values():
            process.wait(STOP_DEADLINE_S)
        for relays in self.relays_by_name.values():
            for relay in relays:
                relay.close()

    def block(self, name: str, up: bool = True, down: bool = True) -> None:
        """Block connections to a process in one or both directions.

        They stay open.
        """
        for relay in self.relays_by_name[name]:
            relay.block(up, down)

    def cut_off(self, name: str) -> None:
        """Block calls to an upstream and keep it from sending reports."""
        self._cut_off_file(name).touch()
        self.block(name)

    def end_cut(self, name: str) -> None:
        """Undo ``cut_off``.

        The data of the blocked connections is lost: orders that were sent
        at the start of a long cut would be executed later than the checks
        allow for.
        """
        self.reset(name)
        self.restore(name)
        self._cut_off_file(name).unlink(missing_ok=True)

    def incarnation_count(self, name: str) -> int:
        """Return how many incarnations of an upstream have begun."""
        log = (self.folder / f"{name}.log").read_text(errors="replace")
        return log.count('"event": "born"')

    def delay(self, name: str, seconds: float) -> None:
        """Delay the data in both directions on connections to a process."""
        for relay in self.relays_by_name[name]:
            relay.delay_s = seconds

    def reset(self, name: str) -> None:
        """Close the connections to a process."""
        for relay in self.relays_by_name[name]:
            relay.reset()

    def restore(self, name: str) -> None:
        """Forward in both directions again, without delay."""
        for relay in self.relays_by_name[name]:
            relay.delay_s = 0.0
            relay.restore()

    def exited_processes(self) -> list[str]:
        """Return the names of processes that have exited."""
        exited = []
        for name, process in self.process_by_name.items():
            if process.poll() is not None:
                exited.append(name)
        return exited

    def upstream_log_lines(self) -> list[str]:
        """Return the log lines of all stand-in upstreams."""
        lines = []
        for name in self.upstream_names:
            path = self.folder / f"{name}.log"
            if path.exists():
                lines += path.read_text(errors="replace").splitlines()
        return lines
