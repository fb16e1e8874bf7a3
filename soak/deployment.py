"""The processes of one soak, on loopback addresses of its own."""

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
from soak.process import SHIFT_VARIABLE

__all__ = ["UPSTREAM_STANDIN", "SoakDeployment"]

ROOT = Path(__file__).resolve().parent.parent
UPSTREAM_STANDIN = ROOT / "platform" / "standin" / "upstream.py"
ZONES = ("z1", "z2", "z3")
# The time of day of a process is off by at most this, in seconds.
LARGEST_SHIFT_S = 0.5
# The clock of an upstream runs at this share of the true speed at the least.
SLOWEST_PACE = 0.98
STOP_DEADLINE_S = 20.0

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

[bounds]
longest_lease_ms = 10000
gang_patience_ms = 3000
state_kept_s = 120
heartbeat_ms = 500
stop_grace_s = 3.0
contact_ms = 3000
"""


def _free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        port: int = one.getsockname()[1]
        return port


@dataclass
class SoakDeployment:
    """Control processes and upstreams behind relays, and entries.

    ``slot`` keeps deployments that run side by side apart.
    """

    folder: Path
    seed: int
    slot: int = 1
    controls: int = 5
    entries: int = 3
    upstreams: int = 6
    process_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)
    relays_by_name: dict[str, list[Relay]] = field(default_factory=dict)
    births: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.peer_port, self.control_port = _free_port(), _free_port()
        self.entry_port, self.upstream_port = _free_port(), _free_port()
        self.control_names = [f"control-{n + 1}" for n in range(self.controls)]
        self.entry_names = [f"entry-{n + 1}" for n in range(self.entries)]
        self.upstream_names = [f"up-{n + 1}" for n in range(self.upstreams)]
        self.zone_by_name: dict[str, str] = {}
        names = [*self.control_names, *self.entry_names, *self.upstream_names]
        for number, name in enumerate(names):
            self.zone_by_name[name] = ZONES[number % len(ZONES)]

    # Addresses.

    def _ip(self, kind: int, name: str) -> str:
        return f"127.{self.slot}.{kind}.{name.rpartition('-')[2]}"

    def control_address(self, name: str) -> str:
        """Return where operators and upstreams reach a control process."""
        return f"{self._ip(1, name)}:{self.control_port}"

    def entry_url(self, name: str) -> str:
        """Return where callers reach an entry."""
        return f"http://{self._ip(3, name)}:{self.entry_port}"

    # Life cycle.

    def start(self) -> None:
        """Start everything at once."""
        for name in self.control_names:
            self._relay(name, self._ip(1, name), self._ip(2, name), self.peer_port)
            self._relay(name, self._ip(1, name), self._ip(2, name), self.control_port)
            self._write_settings(name, first_start=True)
        for name in self.entry_names:
            self._write_settings(name, first_start=True)
        for name in self.upstream_names:
            self._relay(name, self._ip(4, name), self._ip(5, name), self.upstream_port)
        for name in self.names():
            self.start_process(name)

    def names(self) -> list[str]:
        """Return the names of all processes."""
        return [*self.control_names, *self.entry_names, *self.upstream_names]

    def _relay(self, name: str, host: str, target: str, port: int) -> None:
        relay = Relay(port, target, host, port)
        self.relays_by_name.setdefault(name, []).append(relay)

    def start_process(self, name: str) -> None:
        """Start a process unless it runs."""
        process = self.process_by_name.get(name)
        if process is not None and process.poll() is None:
            return
        command = [sys.executable, "-m", "soak.process"]
        paths = [str(ROOT), os.environ.get("PYTHONPATH", "")]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))}
        if name in self.upstream_names:
            command = self._upstream_command(name)
        else:
            shift = self.random.uniform(-LARGEST_SHIFT_S, LARGEST_SHIFT_S)
            environment[SHIFT_VARIABLE] = f"{shift:.3f}"
            settings = str(self.folder / f"{name}.toml")
            environment["PERSIMMONYARD_SETTINGS"] = settings
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=ROOT, env=environment
            )

    def _upstream_command(self, name: str) -> list[str]:
        self.births += 1
        pace = self.random.uniform(SLOWEST_PACE, 1.0)
        number = int(name.rpartition("-")[2])
        command = [sys.executable, str(UPSTREAM_STANDIN), "--name", name]
        command += ["--address", f"{self._ip(4, name)}:{self.upstream_port}"]
        command += ["--bind", f"{self._ip(5, name)}:{self.upstream_port}"]
        command += ["--zone", self.zone_by_name[name], "--rack", f"r{number % 2}"]
        command += ["--seed", str(self.seed * 1_000 + self.births)]
        command += ["--pace", f"{pace:.4f}"]
        for control in self.control_names:
            command += ["--control", self.control_address(control)]
        return command

    def _write_settings(self, name: str, first_start: bool) -> None:
        control = name in self.control_names
        seeds = [self.control_address(one) for one in self.control_names[:3]]
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
        )
        (self.folder / f"{name}.toml").write_text(text)

    def send(self, name: str, number: int) -> None:
        """Send a signal to a process that this object started."""
        process = self.process_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.send(name, signal.SIGKILL)
        self.process_by_name[name].wait()

    def wipe(self, name: str) -> None:
        """Empty the data folder of a control process that does not run."""
        shutil.rmtree(self.folder / name, ignore_errors=True)
        self._write_settings(name, first_start=False)

    def stop(self) -> None:
        """Stop everything, and kill what does not stop."""
        for name in self.process_by_name:
            self.send(name, signal.SIGCONT)
            self.send(name, signal.SIGKILL)
        for process in self.process_by_name.values():
            process.wait(STOP_DEADLINE_S)
        for relays in self.relays_by_name.values():
            for relay in relays:
                relay.close()

    # Connections.

    def block(self, name: str, up: bool = True, down: bool = True) -> None:
        """Silence connections to a process, in one or both directions."""
        for relay in self.relays_by_name[name]:
            relay.block(up, down)

    def delay(self, name: str, seconds: float) -> None:
        """Delay all that is sent to or by a process on its connections."""
        for relay in self.relays_by_name[name]:
            relay.delay_s = seconds

    def reset(self, name: str) -> None:
        """Abort the connections to a process."""
        for relay in self.relays_by_name[name]:
            relay.reset()

    def restore(self, name: str) -> None:
        """Forward without delay again."""
        for relay in self.relays_by_name[name]:
            relay.delay_s = 0.0
            relay.restore()

    def exited(self) -> list[str]:
        """Return the processes that do not run."""
        gone = []
        for name, process in self.process_by_name.items():
            if process.poll() is not None:
                gone.append(name)
        return gone

    def events(self) -> list[str]:
        """Return the lines of the stand-in upstreams."""
        lines = []
        for name in self.upstream_names:
            path = self.folder / f"{name}.log"
            if path.exists():
                lines += path.read_text(errors="replace").splitlines()
        return lines
