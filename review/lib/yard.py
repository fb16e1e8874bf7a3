"""Runs a small deployment of persimmonyard and the stand-ins around it.

The programs are started as separate processes with the commands of
``deploy/system.toml``, each on a loopback address of its own.  Workers,
clients and the operator are stand-ins in this process.  They follow
``PROTOCOL.md`` and write what they send, get and run to ``record.txt``.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "yard.example"
SERVICE = "svc"
KEY = "key-of-tenant-a"
OTHER_KEY = "key-of-tenant-b"
# The bounds of the site huron-yard, as its sheet states them.
BOUNDS = {
    "contact_ms": 3_000,
    "ack_ms": 4_000,
    "grace_s": 6,
    "config_apply_ms": 2_000,
    "evacuate_ms": 5_000,
    "hold_max_ms": 10_000,
    "stop_ms": 900,
    "gang_wait_ms": 3_000,
    "cancel_ms": 3_000,
    "visible_ms": 3_000,
    "finish_s": 14,
    "status_s": 120,
    "catch_up_s": 4,
}
HEARTBEAT_MS = 1_500
# The time budget of every kind of request on the sheets.
TIME_BUDGET_MS = 3_000
START_TIMEOUT_S = 20.0
PEER_PORT = 7_300
CONTROL_PORT = 8_065
FRONT_PORT = 8_060
READY_PORT = 8_062
WORKER_PORT = 8_080


class CannotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """The file ``record.txt`` of a case; times are seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, who: str, what: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {who:<12} {what}\n")
        self._file.flush()


def free_network() -> str:
    """Return a prefix of loopback addresses whose ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for last, port in ((11, CONTROL_PORT), (31, FRONT_PORT), (51, WORKER_PORT)):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{last}", port))
        except OSError:
            continue
        return prefix
    raise CannotRunError("no free loopback addresses")


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a settings template that name a value."""

    def replace(match: re.Match[str]) -> str:
        path, _, as_json = match.group(1).partition("|")
        value: Any = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return ""
        return json.dumps(value) if as_json else str(value)

    return re.sub(r"\{\{([^}]*)\}\}", replace, text)


@dataclass
class Program:
    """One process of the deployment and where it listens."""

    name: str
    role: str
    ip: str
    zone: str
    settings_path: Path
    process: subprocess.Popen[bytes] | None = None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)


class Relay:
    """Forwards the connections to one address of a program.

    ``cut_from`` holds the names of programs whose connections get no bytes
    through in either direction.  ``muted`` connections pass on nothing of
    what the program answers.
    """

    def __init__(self, yard: "Yard", listen: tuple[str, int], target: tuple[str, int]):
        self._yard = yard
        self._listen = listen
        self._target = target
        self.cut_from: set[str] = set()
        self._open: dict[asyncio.Task[None], str] = {}
        self._muted: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def reset(self, source: str) -> None:
        """Reset the open connections of a program."""
        for task, name in list(self._open.items()):
            if name == source:
                task.cancel()

    def mute(self, source: str) -> int:
        """Let the answers on the open connections of a program vanish."""
        tasks = [task for task, name in self._open.items() if name == source]
        self._muted.update(tasks)
        return len(tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        source = self._yard.program_at(writer.get_extra_info("peername"))
        self._open[task] = source
        target_writer = None
        try:
            if source in self.cut_from:
                return
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            copies = {
                asyncio.create_task(self._copy(reader, target_writer, None)),
                asyncio.create_task(self._copy(target_reader, writer, task)),
            }
            try:
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for copy in copies:
                    copy.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.pop(task, None)
            for end in (writer, target_writer):
                if end is not None:
                    end.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers_of: asyncio.Task[None] | None,
    ) -> None:
        while data := await reader.read(65_536):
            if answers_of in self._muted:
                continue
            writer.write(data)
            await writer.drain()


@dataclass
class Run:
    """A run that is present on a worker."""

    number: int
    work_s: float
    started_at: float
    lasting: bool = False
    stopping: bool = False


@dataclass
class Worker:
    """A stand-in worker: one life of a machine, without an admission check."""

    yard: "Yard"
    name: str
    ip: str
    zone: str
    rack: str
    gpu: int = 8
    alive: bool = True
    fence: int = 0
    lease_ms: int = 0
    seq_no: int = 0
    last_end: int = 0
    heartbeat_address: str = ""
    runs: dict[str, Run] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    highest_ended: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.born = int(time.time() * 1_000)
        self._began = time.monotonic()
        self._ended = asyncio.Event()

    @property
    def address(self) -> str:
        """The address that the worker reports."""
        return f"{self.ip}:{WORKER_PORT}"

    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return int((time.monotonic() - self._began) * 1_000)

    async def start(self) -> None:
        """Start to serve orders and to report."""
        app = web.Application()
        app.router.add_post("/api/run-start", self._order(self._start))
        app.router.add_post("/api/run-stop", self._order(self._stop))
        app.router.add_post("/api/hold", self._order(self._hold))
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, WORKER_PORT).start()
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._report()),
        ]

    async def crash(self) -> None:
        """End at once, for good, without a word."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        for name, run in self.runs.items():
            self.yard.record.write(self.name, f"crashes under {name} run {run.number}")
        self.yard.record.write(self.name, "crashes and stays away")
        self.runs.clear()
        await self._runner.cleanup()

    def _order(
        self, execute: Callable[[dict[str, Any]], Awaitable[tuple[int, dict[str, Any]]]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            intended = request.headers.get("X-Persimmonyard-Expect-Instance")
            if intended not in (None, self.name):
                return web.json_response({"clock_ms": self.clock_ms()}, status=421)
            body = await request.json()
            if body.get("fencing_token", 0) < self.fence:
                status, fields = 409, {"reason": "fence"}
            else:
                self.fence = body.get("fencing_token", 0)
                status, fields = await execute(body)
            answer = {"clock_ms": self.clock_ms(), "born": self.born} | fields
            return web.json_response(answer, status=status)

        return handle

    def _extend(self, expires_ms: int) -> None:
        longest = self.clock_ms() + BOUNDS["hold_max_ms"]
        self.lease_ms = max(self.lease_ms, min(expires_ms, longest))

    async def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run_id"]
        if body["expires_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["expires_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, {}
        if present is not None or number <= self.highest_ended.get(task, 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        self.runs[task] = Run(
            number, spec["work_s"], time.monotonic(), spec.get("lasting", False)
        )
        self.yard.note_start(self, task, number)
        return 200, {}

    async def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run_id"]
        self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(0.1, self._end, task, run, "stopped")
        return 200, {}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if body.get("expires_ms"):
            self._extend(body["expires_ms"])
        acknowledged = body.get("ack_cursor", 0)
        for row in self.ends:
            if row[0] <= acknowledged:
                self.yard.note_end_taken(self, row)
        self.ends = [row for row in self.ends if row[0] > acknowledged]
        if not self.ends and body.get("wait_ms"):
            self._ended.clear()
            try:
                async with asyncio.timeout(body["wait_ms"] / 1_000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        running = []
        for task, run in self.runs.items():
            done = (time.monotonic() - run.started_at) / run.work_s
            percent = 100 if run.lasting else min(99, int(100 * done))
            running.append([task, run.number, "", percent])
        return 200, {"running": running, "ended": self.ends[:500]}

    def _end(self, task: str, run: Run, how: str) -> None:
        if self.runs.get(task) is not run or not self.alive:
            return
        del self.runs[task]
        self.highest_ended[task] = max(run.number, self.highest_ended.get(task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.yard.note_end(self, task, run.number, how)
        self._ended.set()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for task, run in list(self.runs.items()):
                if self.clock_ms() > self.lease_ms:
                    self._end(task, run, "lapsed")
                elif run.lasting or run.stopping:
                    continue
                elif time.monotonic() - run.started_at >= run.work_s:
                    self._end(task, run, "done")

    def heartbeat(self) -> dict[str, Any]:
        """Return the next report of the worker about itself."""
        self.seq_no += 1
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": self.gpu},
            "labels": ["a", self.rack],
            "clock_ms": self.clock_ms(),
            "seq_no": self.seq_no,
            "born": self.born,
        }

    async def _report(self) -> None:
        while True:
            await self.yard.send_heartbeat(self, self.name, self.heartbeat())
            await asyncio.sleep(HEARTBEAT_MS / 1_000)


class Yard:
    """The deployment of one case."""

    def __init__(self, record: Record, relayed: bool = False):
        self.record = record
        self.relayed = relayed
        self.folder = Path(tempfile.mkdtemp(prefix="persimmonyard-review-"))
        self.prefix = free_network()
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.programs: dict[str, Program] = {}
        self.workers: dict[str, Worker] = {}
        self.peer_relays: dict[str, Relay] = {}
        # Rows of (time, worker, task, run), in order.
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[tuple[float, str, str, int, str]] = []
        self.version = 0
        # The addresses of the seeds that the provider names at present.
        self.seeds = [f"{self.prefix}.{11 + number}" for number in range(3)]
        self.bootstrap = True
        self._added = 0
        self._ended: list[Program] = []
        # The control process that acknowledged the operator's last order.
        self.answered = ""

    # Programs.

    def _settings(self, name: str, role: str, ip: str, zone: str) -> Path:
        seeds = [f"{seed}:{CONTROL_PORT}" for seed in self.seeds]
        fields: dict[str, Any] = {
            "node_name": name,
            "role": role,
            "zone": zone,
            "ip": ip,
            "port_range": [PEER_PORT, PEER_PORT + 15],
            "bind_addrs": {},
            "seeds": seeds,
            "bootstrap": self.bootstrap,
            "data_dir": "",
            "bounds": BOUNDS,
            "heartbeat_ms": HEARTBEAT_MS,
        }
        if role == "job-control":
            fields["bind_addrs"] = {"control": f"{ip}:{CONTROL_PORT}"}
            data = self.folder / f"{name}-data"
            data.mkdir(exist_ok=True)
            fields["data_dir"] = str(data)
        else:
            fields["bind_addrs"] = {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
            }
        template = (ROOT / self.deploy["roles"][role]["template"]).read_text()
        text = fill_template(template, fields)
        if self.relayed and role == "job-control":
            text = text.replace("[group]", f'bind_ip = "{self.inner(ip)}"\n\n[group]')
        path = self.folder / f"{name}.toml"
        new_path = path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(path)
        return path

    def inner(self, ip: str) -> str:
        """Return the address behind the relays for a control address."""
        return ip[: ip.rindex(".") + 1] + str(100 + int(ip.rpartition(".")[2]))

    async def start(self, fronts: int = 3, workers: int = 6, cores: int = 5) -> None:
        """Start control processes, entries and workers, and configure."""
        if not (ROOT / "target" / "deps" / "persimmonyard").is_dir():
            raise CannotRunError("run the build of the deploy file first")
        self._added = cores
        for number in range(cores):
            ip = f"{self.prefix}.{11 + number}"
            await self._add(f"core-{number + 1}", "job-control", ip, number)
        for number in range(fronts):
            ip = f"{self.prefix}.{31 + number}"
            await self._add(f"front-{number + 1}", "job-entry", ip, number)
        for number in range(workers):
            zone = ZONES[number % len(ZONES)]
            name = f"i-{number + 1:04x}"
            ip = f"{self.prefix}.{51 + number}"
            worker = Worker(self, name, ip, zone, f"r-{number % 3}")
            self.workers[name] = worker
            await worker.start()
        if not await self.put_config(within_s=START_TIMEOUT_S):
            raise CannotRunError("the first desired state was not acknowledged")
        deadline = time.monotonic() + START_TIMEOUT_S
        for name in [name for name in self.programs if name.startswith("front")]:
            while not await self.ready(name):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{name} did not get ready")
                await asyncio.sleep(0.2)
        while any(not worker.heartbeat_address for worker in self.workers.values()):
            if time.monotonic() > deadline:
                raise CannotRunError("the workers' reports were not acknowledged")
            await asyncio.sleep(0.1)
        # Every process may be in touch from here on.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1_000)

    async def replace_core(self, old: str, planned: bool) -> str:
        """Replace a control machine by an empty one at another address.

        A planned replacement starts the new one first, and then ends the old
        one with SIGTERM.  Otherwise the old one is gone for good, and the new
        one comes a second later.  The provider names the present machines as
        seeds in the settings files.
        """
        number = self._added
        self._added += 1
        self.bootstrap = False
        ip = f"{self.prefix}.{11 + number}"
        name = f"core-{number + 1}"
        if not planned:
            self._end_for_good(old, signal.SIGKILL)
            await asyncio.sleep(1.0)
        kept = [control for control in self.controls() if control != old]
        self.seeds = [self.programs[control].ip for control in kept[-3:]]
        await self._add(name, "job-control", ip, number)
        if planned:
            await asyncio.sleep(BOUNDS["catch_up_s"])
            self._end_for_good(old, signal.SIGTERM)
        self.seeds = [self.programs[control].ip for control in self.controls()[-3:]]
        for program in self.programs.values():
            self._settings(program.name, program.role, program.ip, program.zone)
        self.record.write("provider", f"the settings name the seeds {self.seeds}")
        return name

    def _end_for_good(self, name: str, number: int) -> None:
        self.programs[name].signal(number)
        self._ended.append(self.programs.pop(name))
        self.record.write(name, f"is gone for good ({signal.Signals(number).name})")

    async def _add(self, name: str, role: str, ip: str, number: int) -> None:
        zone = ZONES[number % len(ZONES)]
        program = Program(name, role, ip, zone, self._settings(name, role, ip, zone))
        self.programs[name] = program
        if self.relayed and role == "job-control":
            for port in (PEER_PORT, CONTROL_PORT):
                relay = Relay(self, (ip, port), (self.inner(ip), port))
                await relay.start()
                if port == PEER_PORT:
                    self.peer_relays[name] = relay
        command = self.deploy["roles"][role]["run"].split()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PERSIMMONYARD_SETTINGS"] = str(program.settings_path)
        with (self.folder / f"{name}.log").open("wb") as log:
            program.process = subprocess.Popen(  # noqa: ASYNC220
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(name, f"started: {' '.join(command)}")

    def program_at(self, peer: tuple[str, int]) -> str:
        """Return the name of the program that has opened a connection."""
        octets = reversed(peer[0].split("."))
        local = "".join(f"{int(octet):02X}" for octet in octets) + f":{peer[1]:04X}"
        inode = ""
        for table in ("/proc/net/tcp", "/proc/net/tcp6"):
            for line in Path(table).read_text().splitlines()[1:]:
                columns = line.split()
                if columns[1].endswith(local):
                    inode = columns[9]
        for name, program in self.programs.items():
            if program.process is None:
                continue
            folder = f"/proc/{program.process.pid}/fd"
            try:
                links = os.listdir(folder)
            except OSError:
                # The process has ended.
                continue
            for link in links:
                try:
                    if os.readlink(f"{folder}/{link}") == f"socket:[{inode}]":
                        return name
                except OSError:
                    continue
        return ""

    def cut(self, name: str) -> None:
        """Cut a control process off from the others, which resets channels."""
        others = {other for other in self.controls() if other != name}
        for other in others:
            self.peer_relays[other].cut_from = {name}
            self.peer_relays[other].reset(name)
            self.peer_relays[name].reset(other)
        self.peer_relays[name].cut_from = others
        self.record.write(name, "is cut off from the other control processes")

    def heal(self) -> None:
        """End all cuts."""
        for relay in self.peer_relays.values():
            relay.cut_from = set()
        self.record.write("network", "the cut has healed")

    def leader(self) -> str:
        """Return the name of the control process that takes the reports."""
        for worker in self.workers.values():
            ip = worker.heartbeat_address.rpartition(":")[0]
            for name, program in self.programs.items():
                if worker.alive and program.ip == ip:
                    return name
        raise CannotRunError("no leader is known")

    def controls(self) -> list[str]:
        """Return the names of the control processes."""
        return [name for name in self.programs if name.startswith("core")]

    def freeze(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self.programs[name].signal(signal.SIGSTOP)
        self.record.write(name, "is frozen (SIGSTOP)")

    def thaw(self, name: str) -> None:
        """Continue a process with SIGCONT."""
        self.programs[name].signal(signal.SIGCONT)
        self.record.write(name, "goes on (SIGCONT)")

    async def ready(self, name: str) -> bool:
        """Return whether an entry reports itself as ready."""
        url = f"http://{self.programs[name].ip}:{READY_PORT}/api/ready"
        try:
            async with self.session() as session, session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def session(self, timeout_s: float = 1.0) -> aiohttp.ClientSession:
        """Return a new session, so a new channel."""
        return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout_s))

    async def close(self) -> None:
        """End all processes that this case has started."""
        programs = [*self.programs.values(), *self._ended]
        for program in programs:
            if program.process is not None and program.process.poll() is None:
                program.process.kill()
        for program in programs:
            if program.process is not None:
                program.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def config(self, **changes: Any) -> dict[str, Any]:
        """Return a desired state; ``changes`` replace fields of it."""
        routes = []
        for number in range(3):
            routes.append(
                {
                    "name": f"r-{number}",
                    "host": HOST,
                    "path_prefix": f"/queue{number}/",
                    "route_type": "unsafe",
                    "timeout_ms": 3_000,
                    "target_completion_ms": 1_000,
                    "priority": number,
                    "service": SERVICE,
                    "attempts": 3,
                    "stretch": 3.0,
                    "public": False,
                }
            )
        return {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 0.0,
                    "cold_per_s": 0.0,
                    "admission_check": False,
                    "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [
                {"name": "tenant-a", "api_keys": [KEY], "priority": 1},
                {"name": "tenant-b", "api_keys": [OTHER_KEY], "priority": 1},
            ],
        } | changes

    async def put_config(self, within_s: float = 4.0, **changes: Any) -> bool:
        """Send the next desired state until it is acknowledged."""
        self.version += 1
        body = self.config(**changes)
        return await self.operate("PUT", "/api/config", within_s, body=body)

    async def operate(
        self,
        method: str,
        path: str,
        within_s: float = 4.0,
        first: str = "",
        body: dict[str, Any] | None = None,
    ) -> bool:
        """Send an order until it is acknowledged, and return whether it was.

        Each attempt waits a second and goes to another daemon, ``first`` to
        the one of that name, by default to the one that answered last.  Its
        channel is closed then.
        """
        deadline = time.monotonic() + within_s
        first = first or self.answered
        if first not in self.programs:
            first = ""
        others = [name for name in self.controls() if name != first]
        random.shuffle(others)
        order = ([first] if first else []) + others
        attempt = 0
        while time.monotonic() < deadline:
            name = order[attempt % len(order)]
            attempt += 1
            status = await self._attempt_order(name, method, path, body)
            if status == 200:
                self.answered = name
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(min(0.1 * attempt, 0.5))
        return False

    async def _attempt_order(
        self, name: str, method: str, path: str, body: dict[str, Any] | None
    ) -> int:
        url = f"http://{self.programs[name].ip}:{CONTROL_PORT}{path}"
        version = "" if body is None else f" version {body['version']}"
        self.record.write("operator", f"{method} {path}{version} to {name}")
        try:
            async with (
                self.session() as session,
                session.request(method, url, json=body) as response,
            ):
                await response.read()
                self.record.write("operator", f"gets {response.status} from {name}")
                return response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            self.record.write("operator", f"no answer from {name}: {error!r}")
            return 0

    # Heartbeats.

    async def send_heartbeat(
        self, worker: Worker | None, name: str, body: dict[str, Any]
    ) -> bool:
        """Send a report to the known address, then to the other daemons."""
        addresses = []
        for control in random.sample(self.controls(), len(self.controls())):
            addresses.append(f"{self.programs[control].ip}:{CONTROL_PORT}")
        if worker is not None and worker.heartbeat_address:
            addresses.insert(0, worker.heartbeat_address)
        for address in addresses:
            url = f"http://{address}/api/instances/{name}"
            try:
                async with (
                    self.session() as session,
                    session.put(url, json=body, max_redirects=2) as response,
                ):
                    if response.status != 200:
                        continue
                    answer = await response.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            if worker is not None:
                worker.heartbeat_address = answer.get("heartbeat_addr", address)
            return True
        return False

    # Clients.

    def job_body(
        self, work_s: float, count: int = 1, lasting: bool = False, **fields: Any
    ) -> dict[str, Any]:
        """Return the body of a job of one step."""
        step: dict[str, Any] = {
            "count": count,
            "cpu": 2_000,
            "mem_mb": 4_000,
            "gpu": fields.pop("gpu", 1),
            "estimate_ms": int(work_s * 1_000),
        }
        if lasting:
            step["long_running"] = True
        for name in ("constraints", "affinity", "anti_affinity"):
            if name in fields:
                step[name] = fields.pop(name)
        spec = {"work_s": work_s} | ({"lasting": True} if lasting else {})
        return {"spec": json.dumps(spec), "steps": [step]} | fields

    async def call(
        self,
        front: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        key: str = KEY,
        wait_ms: int = TIME_BUDGET_MS,
    ) -> tuple[int, dict[str, Any]]:
        """Make one call of a client on a new channel.

        Returns the status, or 0 if there was no answer within ``wait_ms``.
        The client then closes the channel.
        """
        url = f"http://{self.programs[front].ip}:{FRONT_PORT}{path}"
        headers = {
            "Host": HOST,
            "X-Persimmonyard-Credential": key,
            "X-Persimmonyard-Deadline-Ms": str(wait_ms),
        }
        self.record.write("client", f"{method} {path} to {front}")
        try:
            async with (
                self.session(wait_ms / 1_000) as session,
                session.request(method, url, json=body, headers=headers) as response,
            ):
                text = await response.read()
                answer = json.loads(text) if text else {}
                self.record.write(
                    "client", f"gets {response.status} {answer} for {method} {path}"
                )
                return response.status, answer
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self.record.write("client", f"no answer for {method} {path}: {error!r}")
            return 0, {}

    async def submit(
        self, body: dict[str, Any], queue: int = 1, front: str = "front-1"
    ) -> str:
        """Hand in a job that has to be accepted; return its ID."""
        job_id = new_id()
        for attempt in range(5):
            status, _ = await self.call(front, "POST", f"/queue{queue}/{job_id}", body)
            if status == 200:
                return job_id
            if status not in (0, 429, 502, 503, 504):
                break
            front = f"front-{1 + attempt % 2}"
            await asyncio.sleep(0.3)
        raise CannotRunError(f"job {job_id} was not accepted")

    async def state(self, job_id: str, queue: int = 1, front: str = "front-2") -> str:
        """Return the state of a job as a client sees it."""
        status, answer = await self.call(front, "GET", f"/queue{queue}/{job_id}")
        return str(answer.get("state", "")) if status == 200 else f"status {status}"

    # What the workers saw.

    def note_start(self, worker: Worker, task: str, run: int) -> None:
        """Record a start."""
        self.starts.append((self.record.now(), worker.name, task, run))
        self.record.write(worker.name, f"starts {task} run {run} ({worker.zone})")

    def note_end(self, worker: Worker, task: str, run: int, how: str) -> None:
        """Record an end."""
        self.ends.append((self.record.now(), worker.name, task, run, how))
        self.record.write(worker.name, f"ends {task} run {run}: {how}")

    def note_end_taken(self, worker: Worker, row: list[Any]) -> None:
        """Record that an end is taken note of."""
        self.record.write(
            worker.name, f"end {row[0]} of {row[1]} run {row[2]} is taken note of"
        )

    def starts_of(self, job_id: str) -> list[tuple[float, str, str, int]]:
        """Return the starts of the tasks of a job."""
        return [start for start in self.starts if start[2].startswith(job_id)]

    def running(self, job_id: str) -> list[str]:
        """Return the workers on which tasks of a job run now."""
        found = []
        for worker in self.workers.values():
            found += [worker.name for task in worker.runs if task.startswith(job_id)]
        return found


def new_id() -> str:
    """Return the ID of a new job."""
    return f"{random.getrandbits(64):016x}"


def run_case(
    script: str,
    case: Callable[[Yard, bool], Awaitable[str]],
    relayed: bool = False,
) -> None:
    """Run a case and exit.

    ``case`` gets the deployment and whether to disturb it.  It returns how
    the rule was broken, or an empty text.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(os.environ.get("RECORD_FOLDER") or Path(script).resolve().parent)
    record = Record(folder / "record.txt")
    record.write("case", f"the disruption is {'on' if trouble else 'off'}")

    async def play() -> str:
        yard = Yard(record, relayed)
        task = asyncio.current_task()
        assert task is not None
        # The programs have to end with this process.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(112):
                return await case(yard, trouble)
        finally:
            await yard.close()

    try:
        broken = asyncio.run(play())
    except CannotRunError as error:
        record.write("case", f"cannot run: {error}")
        print(f"cannot run: {error}")
        sys.exit(2)
    except (Exception, asyncio.CancelledError):
        record.write("case", f"cannot run: {traceback.format_exc()}")
        traceback.print_exc()
        sys.exit(2)
    verdict = f"BROKEN: {broken}" if broken else "the rule held"
    record.write("case", verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
