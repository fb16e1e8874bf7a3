"""A small deployment of the real programs, with stand-ins around them.

The control and entry processes are started with the command of
deploy/system.toml, on loopback addresses that nothing else uses.  Workers,
clients and the operator run in the process of the script and follow
PROTOCOL.md.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
import uuid
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-S", "-m", "persimmonyard.platform.main")
HOST = "yard.example"
PREFIX = "/queue/"
KEY = "key-of-the-tenant-1"
BOUNDS = {
    "longest_lease_ms": 10_000,
    "gang_patience_ms": 3_000,
    "state_kept_s": 120,
    "heartbeat_ms": 1_500,
    "stop_grace_s": 6,
    "contact_ms": 3_000,
}
# SYSTEM.md: one way, 1 ms to clients.
CLIENT_ROUND_TRIP_S = 0.002
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunnable(Exception):
    """The case could not be set up."""


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._started = time.monotonic()

    def add(self, text):
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


def _free_subnet(ports):
    for _ in range(200):
        subnet = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 10, 30, 100):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.{host}", port))
        except OSError:
            continue
        return subnet
    raise NotRunnable("no free loopback addresses")


class Process:
    """One process of the project."""

    def __init__(self, stage, name, settings):
        self.stage = stage
        self.name = name
        self.settings = settings
        self.path = stage.folder / f"{name}.toml"
        self.log = stage.folder / f"{name}.log"
        self.child = None
        self.starts = 0

    async def start(self):
        self.path.write_text(_toml(self.settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.stage.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PERSIMMONYARD_SETTINGS": str(self.path),
        }
        with open(self.log, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        self.stage.record.add(f"process {self.name} started, pid {self.child.pid}")

    def runs(self):
        return self.child is not None and self.child.returncode is None

    async def signal(self, number):
        if self.runs():
            self.stage.record.add(f"process {self.name} gets {number.name}")
            self.child.send_signal(number)
            if number == signal.SIGKILL:
                await self.child.wait()

    def memory_mb(self):
        """Return the resident memory of the process in MB, or 0."""
        if not self.runs():
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _toml(sections):
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        for key, value in values.items():
            lines.append(f"{key} = {json.dumps(value)}")
    return "\n".join(lines) + "\n"


class Stage:
    """The processes, the operator and the clients of one script."""

    def __init__(self, case_folder, controls=3, entries=1, zones=("z1",)):
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        base = random.randint(21_000, 30_000)
        (
            self.front,
            self.ready,
            self.control_port,
            self.peer,
            self.metrics,
            self.work,
        ) = range(base, base + 6)
        self.subnet = _free_subnet(range(base, base + 6))
        self.zones = zones
        self.controls = []
        self.entries = []
        self.workers = []
        self.session = None
        for number in range(controls):
            self.add_control(number)
        for number in range(entries):
            ip = f"{self.subnet}.{30 + number}"
            addresses = {
                "callers": f"{ip}:{self.front}",
                "readiness": f"{ip}:{self.ready}",
            }
            self.entries.append(
                Process(
                    self,
                    f"front-{number}",
                    self._settings(f"front-{number}", "job-entry", ip, addresses, ""),
                )
            )

    def add_control(self, number, first_start=True):
        ip = f"{self.subnet}.{10 + number}"
        name = f"core-{number}"
        addresses = {"control": f"{ip}:{self.control_port}"}
        settings = self._settings(
            name, "job-control", ip, addresses, str(self.folder / name), first_start
        )
        process = Process(self, name, settings)
        process.address = addresses["control"]
        self.controls.append(process)
        return process

    def _settings(self, name, role, ip, addresses, data_folder, first_start=True):
        return {
            "process": {"name": name, "role": role, "zone": self.zones[0]},
            "addresses": {
                "ip": ip,
                "peer_port": self.peer,
                **addresses,
                "metrics_port": self.metrics,
            },
            "group": {
                "seeds": [
                    f"{self.subnet}.{10 + number}:{self.control_port}"
                    for number in range(3)
                ],
                "first_start": first_start,
                "data_folder": data_folder,
            },
            "bounds": BOUNDS,
        }

    async def start(self, configuration):
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for process in [*self.controls, *self.entries]:
            await process.start()
        await self.put_configuration(configuration, 40)

    async def stop(self):
        for worker in self.workers:
            await worker.end()
        if self.session is not None:
            await self.session.close()
        for process in [*self.controls, *self.entries]:
            if process.runs():
                process.child.kill()
                await process.child.wait()
        keep = os.environ.get("REVIEW_KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    async def request(self, method, url, body=None, headers=None, timeout_s=1.0):
        """Return status and decoded body of a call, or (0, reason)."""
        try:
            async with self.session.request(
                method,
                url,
                data=None if body is None else json.dumps(body),
                headers={"content-type": "application/json", **(headers or {})},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                text = await response.text()
                try:
                    return response.status, json.loads(text or "null")
                except ValueError:
                    return response.status, text
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return 0, type(error).__name__

    async def put_configuration(self, body, within_s):
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for process in list(self.controls):
                url = f"http://{process.address}/api/config"
                status, reply = await self.request("PUT", url, body)
                if status == 200:
                    self.record.add(f"configuration {body['version']} acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise NotRunnable(f"the configuration was not accepted: {reply}")

    async def read_configuration(self, within_s):
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for process in list(self.controls):
                url = f"http://{process.address}/api/config"
                status, reply = await self.request("GET", url)
                if status == 200:
                    return reply
            await asyncio.sleep(0.2)
        return None

    # Clients.

    async def call(self, method, job_id="", body=None, budget_ms=3_000):
        """Make one call of a client, on a channel of its own entry."""
        process = random.choice(self.entries)
        address = process.settings["addresses"]["callers"]
        return await self.request(
            method,
            f"http://{address}{PREFIX}{job_id}",
            body,
            {
                "Host": HOST,
                "X-Persimmonyard-Credential": KEY,
                "X-Persimmonyard-Deadline-Ms": str(budget_ms),
            },
            budget_ms / 1_000,
        )

    async def submit(self, body, attempts=5, job_id=None):
        """Hand a job in as clients do; return its id and the last status."""
        job_id = job_id or uuid.uuid4().hex[:16]
        status = 0
        for _ in range(attempts):
            status, reply = await self.call("POST", job_id, body)
            self.record.add(f"POST {job_id} -> {status} {reply}")
            if 200 <= status < 300 or status in (400, 401, 404):
                break
            await asyncio.sleep(0.5)
        return job_id, status

    async def state(self, job_id):
        status, reply = await self.call("GET", job_id)
        return reply.get("state") if status == 200 else f"status {status}"


def configuration(version=1, **route):
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": HOST,
                "path_prefix": PREFIX,
                "route_type": "unsafe",
                "timeout_ms": 3000,
                "target_completion_ms": 3000,
                "priority": 1,
                "service": "yard",
                "attempts": 3,
                "stretch": 3.0,
                "public": False,
                **route,
            }
        ],
        "services": [
            {
                "name": "yard",
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
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "clinic",
                "api_keys": [KEY],
                "priority": 1,
                "guaranteed": {"gpu": 8},
            }
        ],
    }


class Run:
    """A run on a worker; ``work_s`` is what is left of its work."""

    def __init__(self, task, number, work_s):
        self.task = task
        self.number = number
        self.work_s = work_s
        self.began_at = time.monotonic()

    def percent(self):
        done = (time.monotonic() - self.began_at) / self.work_s
        return max(0, min(100, int(100 * done)))


class Worker:
    """A worker: it runs tasks for the seconds that their spec names.

    ``history`` has a row (task, run, worker, began, ended, how) for each run
    of every worker; ``ended`` is None while the run goes on.
    """

    def __init__(self, stage, number, history, rack="r1", cpu=32_000):
        self.stage = stage
        self.history = history
        self.number = number
        self.rack = rack
        self.cpu = cpu
        self.address = f"{stage.subnet}.{100 + number}:{stage.work}"
        self.name = f"i-{uuid.uuid4().hex[:8]}"
        # Where this worker finds the control processes; a proxy may stand
        # between.
        self.control_addresses = [process.address for process in stage.controls]
        self.heartbeat_address = ""
        self.runner = None
        self.beat_task = None
        self.up = False
        self.leaving = False
        self.drain_until = 0.0
        stage.workers.append(self)

    async def boot(self):
        """Start a boot that holds and knows nothing of the one before."""
        self.born = int(time.time() * 1_000)
        self.started_at = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.until_ms = 0
        self.acknowledged = 0
        self.last_end = 0
        self.highest_ended = {}
        self.runs = {}
        self.ends = []
        self.changed = asyncio.Event()
        self.leaving = False
        self.up = True
        application = web.Application()
        application.router.add_post("/api/run-start", self._guarded(self._start))
        application.router.add_post("/api/run-stop", self._guarded(self._stop))
        application.router.add_post("/api/hold", self._guarded(self._hold))
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.05)
        await self.runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port), reuse_address=True).start()
        self.beat_task = asyncio.create_task(self._beat())
        self.life_task = asyncio.create_task(self._live())
        self.stage.record.add(f"worker {self.name} boots, born {self.born}")

    async def end(self, how="worker ended"):
        """End this boot and everything that runs on it."""
        if not self.up:
            return
        self.up = False
        self.beat_task.cancel()
        self.life_task.cancel()
        for run in list(self.runs.values()):
            self._finish_row(run, how)
        self.runs = {}
        self.stage.record.add(f"worker {self.name} is down")
        await self.runner.cleanup()

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1_000)

    def _guarded(self, handler):
        async def handle(request):
            if not self.up:
                request.transport.abort()
                return web.Response(status=503)
            if request.headers.get("x-persimmonyard-expect-instance") != self.name:
                return web.json_response({"clock_ms": self.clock_ms()}, status=421)
            body = await request.json()
            if body.get("fencing_token", 0) < self.fence:
                return self._reply(409, reason="fence")
            self.fence = body.get("fencing_token", 0)
            self._lapse()
            return await handler(body)

        return handle

    def _reply(self, status, **fields):
        return web.json_response(
            {"clock_ms": self.clock_ms(), "born": self.born, **fields}, status=status
        )

    def _extend(self, until_ms):
        limit = self.clock_ms() + BOUNDS["longest_lease_ms"]
        self.until_ms = max(self.until_ms, min(until_ms, limit))

    async def _start(self, body):
        task, number = body["task"], body["run_id"]
        if body["expires_ms"] <= self.clock_ms():
            return self._reply(409, reason="late")
        self._extend(body["expires_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self._reply(200)
        if present is not None or number <= self.highest_ended.get(task, 0):
            return self._reply(409, reason="old")
        run = Run(task, number, json.loads(body["spec"])["work_s"])
        self.runs[task] = run
        self.history.append(
            [task, number, self.name, time.monotonic(), None, "running", self.born]
        )
        self.stage.record.add(f"worker {self.name} starts {task} run {number}")
        return self._reply(200)

    async def _stop(self, body):
        task, number = body["task"], body["run_id"]
        self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            self._end(run, "stopped")
        return self._reply(200)

    async def _hold(self, body):
        if body.get("expires_ms"):
            self._extend(body["expires_ms"])
        self.acknowledged = max(self.acknowledged, body.get("ack_cursor", 0))
        self.ends = [row for row in self.ends if row[0] > self.acknowledged]
        if not self.ends and body.get("wait_ms"):
            self.changed.clear()
            try:
                async with asyncio.timeout(min(2_000, body["wait_ms"]) / 1_000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", run.percent()] for run in self.runs.values()
        ]
        return self._reply(200, running=running, ended=self.ends[:500])

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        highest = self.highest_ended.get(run.task, 0)
        self.highest_ended[run.task] = max(run.number, highest)
        self._finish_row(run, how)
        self.last_end += 1
        if self.last_end > self.acknowledged:
            self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.changed.set()

    def _finish_row(self, run, how):
        for row in self.history:
            if row[:3] == [run.task, run.number, self.name] and row[4] is None:
                row[4], row[5] = time.monotonic(), how
        self.stage.record.add(
            f"worker {self.name}: {run.task} run {run.number} ends, {how}"
        )

    def _lapse(self):
        if self.runs and self.clock_ms() > self.until_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    async def _live(self):
        while True:
            await asyncio.sleep(0.01)
            self._lapse()
            now = time.monotonic()
            for run in list(self.runs.values()):
                if now - run.began_at >= run.work_s:
                    self._end(run, "done")

    # Heartbeats.

    def report(self):
        self.sequence += 1
        body = {
            "service": "yard",
            "address": self.address,
            "zone": self.stage.zones[0],
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.leaving else "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 131_072, "gpu": 8},
            "labels": ["a", self.rack],
            "clock_ms": self.clock_ms(),
            "seq_no": self.sequence,
            "born": self.born,
        }
        if self.leaving:
            left_s = max(0.0, self.drain_until - time.monotonic())
            body["drain_remaining_ms"] = int(left_s * 1_000)
        return body

    async def send(self, method, body):
        """Send a call about this worker; return whether it got an ack."""
        addresses = list(self.control_addresses)
        random.shuffle(addresses)
        if self.heartbeat_address in addresses:
            addresses.insert(0, self.heartbeat_address)
        for address in addresses:
            url = f"http://{address}/api/instances/{self.name}"
            for _ in range(3):
                status, reply = await self._call(method, url, body)
                if status == 307:
                    url = reply
                    continue
                break
            if status == 200:
                if method == "PUT":
                    self.heartbeat_address = reply.get("heartbeat_addr", "")
                return True
            self.heartbeat_address = ""
        return False

    async def _call(self, method, url, body):
        try:
            async with self.stage.session.request(
                method,
                self.route(url),
                data=None if body is None else json.dumps(body),
                headers={"content-type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=1.0),
                allow_redirects=False,
            ) as response:
                if response.status == 307:
                    return 307, response.headers["location"]
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    def route(self, url):
        """Return the URL that reaches a control process; see ``Muffler``."""
        return url

    async def _beat(self):
        while True:
            await self.send("PUT", self.report())
            await asyncio.sleep(BOUNDS["heartbeat_ms"] / 1_000)


def run_case(case_folder, play):
    """Run ``play(case_folder)``; exit with 1 if rules were broken, else 0.

    The exit status is 2 if the case could not run.  SIGTERM ends the case and
    the processes that it started.
    """

    async def run():
        task = asyncio.ensure_future(play(case_folder))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        print("could not run")
        sys.exit(2)
    for line in broken:
        print(line)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)


class Link:
    """A TCP proxy in front of one address.

    While ``drops_answers`` is true, what the far end sends is read and
    dropped; requests still pass.  Between ``cut`` and ``heal`` the bytes of
    both directions are held up, and so is the end of a channel.
    """

    def __init__(self, stage, listen, target):
        self.stage = stage
        self.listen = listen
        self.target = target
        self.drops_answers = False
        self._passes = asyncio.Event()
        self._passes.set()
        self._server = None
        self._writers = set()

    async def start(self):
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self):
        self.stage.record.add(f"link to {self.target} is cut")
        self._passes.clear()

    def heal(self):
        self.stage.record.add(f"link to {self.target} has healed")
        self._passes.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._copy(reader, far_writer, False),
                self._copy(far_reader, writer, True),
            )
        finally:
            self._writers -= {writer, far_writer}

    async def _copy(self, reader, writer, answers):
        held_up = False
        try:
            while data := await reader.read(65_536):
                if answers and self.drops_answers:
                    first = data.split(b"\r\n", 1)[0].decode("latin-1")
                    self.stage.record.add(f"link drops {len(data)} bytes: {first}")
                    continue
                held_up = held_up or not self._passes.is_set()
                await self._passes.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self._passes.wait()
        if held_up:
            # TCP sends the bytes again first; the end of the channel follows
            # once they are acknowledged.
            await asyncio.sleep(CLIENT_ROUND_TRIP_S)
        if answers:
            writer.transport.abort()
        else:
            writer.close()
