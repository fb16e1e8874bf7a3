"""A small deployment on loopback addresses, with stand-ins for its platform.

The project's own programs run as separate processes, with the commands and
the settings template of the deploy file.  Workers, clients and the operator
are stand-ins in this process, which speak what the users' page PROTOCOL.md
says.  Everything that is sent, answered and run goes to ``record.txt``.
"""

import asyncio
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "nony24.example"
# The bounds of the sheet of huron-yard.
BOUNDS = {
    "hold_max_ms": 10_000,
    "gang_wait_ms": 3_000,
    "status_s": 120,
    "grace_s": 6,
    "contact_ms": 3_000,
}
HEARTBEAT_MS = 1_500
VISIBLE_S = 3.0
FINISH_S = 14.0
ENDS_IN_A_LIST = 500


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes one line for each event, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_at

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Run:
    def __init__(self, task, number, seconds, lasts):
        self.task = task
        self.number = number
        self.seconds = seconds
        self.lasts = lasts
        self.needs = {}
        self.began_at = time.monotonic()
        self.timer = None

    def percent(self):
        if self.lasts:
            return 100
        done = (time.monotonic() - self.began_at) / self.seconds
        return max(0, min(99, int(100 * done)))


class Worker:
    """A worker: it runs what it is told to, and lists how it ended.

    ``fault`` is None, "busy" (it refuses starts with 503) or "errors" (it
    fails what it starts after 0.2 s).
    """

    def __init__(self, yard, name, address, zone, capacity, labels):
        self.yard = yard
        self.name = name
        self.address = address
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.fault = None
        self.down = False
        self._runner = None
        self._tasks = []
        self._live()

    def _live(self):
        self.born = int(time.time() * 1_000)
        self.booted_at = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.runs = {}
        self.last_run = {}
        self.ended = []
        self.end_number = 0
        self.sequence = 0
        self.end_listed = asyncio.Event()
        self.beat_address = ""

    def clock_ms(self):
        return int((time.monotonic() - self.booted_at) * 1_000)

    async def start(self):
        app = web.Application(middlewares=[self._check_instance])
        app.router.add_post("/api/run-start", self._run_start)
        app.router.add_post("/api/run-stop", self._run_stop)
        app.router.add_post("/api/hold", self._hold)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), backlog=2_048).start()
        self._tasks = [
            asyncio.create_task(self._beats()),
            asyncio.create_task(self._watch_lease()),
        ]

    async def crash(self):
        """End without a word; everything that runs here is gone."""
        self.yard.record.write(f"worker {self.name} crashes")
        self.down = True
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
        self.runs = {}
        await asyncio.wait_for(self._runner.cleanup(), 5.0)

    async def boot(self):
        """Start again under the same identifier and address."""
        self._live()
        self.down = False
        await self.start()
        self.yard.record.write(f"worker {self.name} starts again")

    async def stop(self):
        if not self.down:
            for task in self._tasks:
                task.cancel()
            await self._runner.cleanup()

    # Orders.

    @web.middleware
    async def _check_instance(self, request, handler):
        body = await request.json()
        if request.headers.get("x-persimmonyard-expect-instance") != self.name:
            return self._answer(421)
        return await handler(body)

    def _answer(self, status, **fields):
        return web.json_response({"clock_ms": self.clock_ms()} | fields, status=status)

    def _takes(self, body):
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _hold_until(self, until_ms):
        latest = self.clock_ms() + BOUNDS["hold_max_ms"]
        self.until_ms = max(self.until_ms, min(until_ms, latest))

    async def _run_start(self, body):
        task, number = body["task"], body["run_id"]
        if self.fault == "busy":
            self.yard.record.write(f"{self.name}: start {task} run {number}: 503")
            return web.json_response({}, status=503)
        if not self._takes(body):
            return self._answer(409, reason="fence")
        if body["expires_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._hold_until(body["expires_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self._answer(200)
        if present is not None or number <= self.last_run.get(task, 0):
            return self._answer(409, reason="old")
        spec = json.loads(body["spec"])
        run = Run(task, number, spec.get("seconds", 1.0), spec.get("lasts", False))
        run.needs = spec.get("needs", {})
        self.runs[task] = run
        self.yard.note_start(self, task, number)
        loop = asyncio.get_running_loop()
        if self.fault == "errors":
            run.timer = loop.call_later(0.2, self._end, run, "failed")
        elif not run.lasts:
            run.timer = loop.call_later(run.seconds, self._end, run, "done")
        return self._answer(200)

    async def _run_stop(self, body):
        task, number = body["task"], body["run_id"]
        if not self._takes(body):
            return self._answer(409, reason="fence")
        self.last_run[task] = max(number, self.last_run.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self._end, run, "stopped")
        return self._answer(200)

    async def _hold(self, body):
        if not self._takes(body):
            return self._answer(409, reason="fence")
        if body.get("expires_ms"):
            self._hold_until(body["expires_ms"])
        seen = body["ack_cursor"]
        while self.ended and self.ended[0][0] <= seen:
            number, task, run, how, _ = self.ended.pop(0)
            self.yard.note_taken(self, task, run, how)
        if not self.ended and body.get("wait_ms"):
            self.end_listed.clear()
            try:
                async with asyncio.timeout(body["wait_ms"] / 1_000):
                    await self.end_listed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", run.percent(), 0] for run in self.runs.values()
        ]
        ended = self.ended[:ENDS_IN_A_LIST]
        return self._answer(200, born=self.born, running=running, ended=ended)

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.last_run[run.task] = max(run.number, self.last_run.get(run.task, 0))
        self.end_number += 1
        self.ended.append([self.end_number, run.task, run.number, how, ""])
        self.yard.note_end(self, run.task, run.number, how)
        self.end_listed.set()

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if self.runs and self.clock_ms() > self.until_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    # Heartbeats.

    async def _beats(self):
        async with aiohttp.ClientSession() as session:
            while True:
                await self._beat(session)
                await asyncio.sleep(HEARTBEAT_MS / 1_000)

    async def _beat(self, session):
        self.sequence += 1
        body = {
            "service": "huvo11a",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "seq_no": self.sequence,
            "born": self.born,
        }
        addresses = random.sample(self.yard.control_addresses, len(self.yard.controls))
        if self.beat_address:
            addresses.insert(0, self.beat_address)
        for address in addresses:
            url = f"http://{address}/api/instances/{self.name}"
            try:
                async with session.put(
                    url, json=body, timeout=aiohttp.ClientTimeout(total=1.0)
                ) as response:
                    if response.status // 100 != 2:
                        continue
                    reply = await response.json()
            except (aiohttp.ClientError, TimeoutError, ValueError):
                self.beat_address = ""
                continue
            self.beat_address = reply.get("heartbeat_addr", "")
            return


class Yard:
    """The processes of the system, and what the stand-ins have seen."""

    def __init__(self, record, controls=3, entries=1):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="yard-"))
        self.workers = {}
        self.controls = []
        self.processes = []
        # The zones that are evacuated, as the operator has ordered.
        self.out = set()
        self.starts = {}
        self.ends = {}
        self.taken = {}
        self.net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self._ips = [f"{self.net}.{n + 1}" for n in range(controls + entries)]
        self._control_count = controls
        self.peer_port = free_port(self._ips)
        self.port = free_port(self._ips)
        self.ready_port = free_port(self._ips)
        self.metrics_port = free_port(self._ips)
        self.control_addresses = [f"{ip}:{self.port}" for ip in self._ips[:controls]]
        self.entry_addresses = [f"{ip}:{self.port}" for ip in self._ips[controls:]]
        self._session = None
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]

    async def start(self):
        timeout = aiohttp.ClientTimeout(total=3.5)
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        for number, ip in enumerate(self._ips):
            control = number < self._control_count
            role = "job-control" if control else "job-entry"
            name = f"{'core' if control else 'front'}-{number}"
            process = await self._start_process(name, role, ip)
            self.processes.append(process)
            if control:
                self.controls.append(process)

    async def power_off_controls(self, seconds):
        """Kill all control processes, and start them with their disks again."""
        for process in self.controls:
            process.kill()
        for process in self.controls:
            await process.wait()
        self.record.write("all control processes are killed")
        await asyncio.sleep(seconds)
        self.controls = []
        for number, ip in enumerate(self._ips[: self._control_count]):
            process = await self._start_process(f"core-{number}", "job-control", ip)
            self.processes.append(process)
            self.controls.append(process)

    async def _start_process(self, name, role, ip):
        control = role == "job-control"
        data = self.folder / name
        first_start = not data.exists()
        data.mkdir(exist_ok=True)
        binds = {"control": f"{ip}:{self.port}"}
        if not control:
            binds = {"front": f"{ip}:{self.port}", "ready": f"{ip}:{self.ready_port}"}
        values = {
            "node_name": name,
            "role": role,
            "zone": "ar-centro-a",
            "ip": ip,
            "port_range": [self.peer_port],
            "bind_addrs": binds,
            "seeds": self.control_addresses[:3],
            "bootstrap": first_start,
            "data_dir": str(data) if control else None,
            "bounds": BOUNDS,
            "heartbeat_ms": HEARTBEAT_MS,
        }
        template = (ROOT / self._roles[role]["template"]).read_text()
        text = re.sub(
            r"\{\{([a-z_.0-9]+)(\|json)?\}\}",
            lambda match: fill_in(values, match.group(1), bool(match.group(2))),
            template,
        )
        text = re.sub(
            r"metrics_port = \d+", f"metrics_port = {self.metrics_port}", text
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        process = await asyncio.create_subprocess_exec(
            *self._roles[role]["run"].split(),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.folder),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PERSIMMONYARD_SETTINGS": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"process {name} ({role}) at {ip} started")
        return process

    def add_worker(self, name, zone, capacity, labels):
        """Add a worker stand-in; ``start_workers`` starts it."""
        ip = f"{self.net}.{len(self.workers) + 101}"
        worker = Worker(self, name, f"{ip}:{free_port([ip])}", zone, capacity, labels)
        self.workers[name] = worker
        return worker

    async def start_workers(self):
        for worker in self.workers.values():
            await worker.start()
            self.record.write(
                f"worker {worker.name} in {worker.zone}, {worker.capacity}, "
                f"labels {worker.labels}"
            )

    async def stop(self):
        for worker in self.workers.values():
            await worker.stop()
        if self._session is not None:
            await self._session.close()
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            try:
                await asyncio.wait_for(process.wait(), 8.0)
            except TimeoutError:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # What workers report to the record.

    def note_start(self, worker, task, run):
        self.record.write(f"{worker.name}: task {task} run {run} starts")
        self.starts.setdefault(task, []).append((time.monotonic(), worker.name, run))

    def note_end(self, worker, task, run, how):
        self.record.write(f"{worker.name}: task {task} run {run} ends {how}")
        self.ends.setdefault(task, []).append((time.monotonic(), worker.name, run, how))

    def note_taken(self, worker, task, run, how):
        self.taken.setdefault(task, []).append(
            (time.monotonic(), worker.name, run, how)
        )

    def begun(self, job_id):
        """Return whether a task of a job has started on a worker."""
        return any(task.startswith(f"{job_id}.") for task in self.starts)

    def is_done(self, job_id):
        """Return whether a task of a job with one task has ended as done."""
        for task, ends in self.ends.items():
            if task.startswith(f"{job_id}.") and any(e[3] == "done" for e in ends):
                return True
        return False

    def is_running(self, job_id):
        for worker in self.workers.values():
            if any(task.startswith(f"{job_id}.") for task in worker.runs):
                return True
        return False

    def free(self, worker):
        """Return what is free on a worker: its capacity less what runs there."""
        free = dict(worker.capacity)
        for run in worker.runs.values():
            for name, amount in run.needs.items():
                free[name] -= amount
        return free

    def room_for(self, needs):
        """Return how many such tasks fit on the workers that are in service."""
        room = 0
        for worker in self.workers.values():
            if worker.down or worker.fault or worker.zone in self.out:
                continue
            if needs.get("label") and needs["label"] not in worker.labels:
                continue
            free = self.free(worker)
            counts = [
                free[name] // needs[name]
                for name in ("cpu", "mem_mb", "gpu")
                if needs.get(name)
            ]
            room += max(0, min(counts))
        return room

    def share_in_use(self):
        """Return the largest share in use of a resource of the service."""
        shares = []
        for name in ("cpu", "mem_mb", "gpu"):
            total = sum(worker.capacity[name] for worker in self.workers.values())
            free = sum(self.free(worker)[name] for worker in self.workers.values())
            shares.append(1 - free / total)
        return max(shares)

    # The operator and the clients.

    async def put_config(self, body):
        for _ in range(60):
            for address in self.control_addresses:
                status, _ = await self.call(
                    "PUT", address, "/api/config", body, timeout_s=1.0
                )
                if status == 200:
                    return
                if status in (400, 409, 413):
                    raise CannotRun(f"configuration refused: {status}")
            await asyncio.sleep(0.3)
        raise CannotRun("no control process took the configuration")

    async def evacuate(self, zone, method="POST"):
        """Order or withdraw an evacuation until it is acknowledged."""
        for _ in range(20):
            for address in self.control_addresses:
                status, _ = await self.call(
                    method, address, f"/api/evacuation/{zone}", timeout_s=1.0
                )
                if status == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("no control process took the evacuation")

    async def call(self, method, address, path, body=None, key="", timeout_s=3.5):
        headers = {}
        if key:
            headers = {
                "host": HOST,
                "x-persimmonyard-credential": key,
                "x-persimmonyard-deadline-ms": "3000",
            }
        status, answer = 0, {}
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                max_redirects=2,
            ) as response:
                status = response.status
                text = await response.text()
                answer = json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            answer = {"error": f"{type(error).__name__} {error}"}
        shown = json.dumps(body)[:160] if body is not None else ""
        self.record.write(f"{method} {path} {shown} -> {status} {str(answer)[:120]}")
        return status, answer

    async def submit(self, prefix, steps, spec, key, job_id=None):
        """Hand a job in until it is accepted; return its identifier."""
        job_id = job_id or secrets.token_hex(8)
        body = {"spec": json.dumps(spec), "steps": steps}
        for _ in range(8):
            address = random.choice(self.entry_addresses)
            status, _ = await self.call("POST", address, prefix + job_id, body, key)
            if status == 200:
                return job_id
            await asyncio.sleep(0.3)
        raise CannotRun(f"job {job_id} was not accepted")

    async def state(self, prefix, job_id, key):
        for _ in range(4):
            address = random.choice(self.entry_addresses)
            status, answer = await self.call("GET", address, prefix + job_id, None, key)
            if status == 200:
                return answer.get("state", "")
            await asyncio.sleep(0.3)
        return f"status {status}"

    async def ready(self, count, prefix, key):
        """Wait until workers and entries are known: a probe job completes."""
        await asyncio.sleep(2 * HEARTBEAT_MS / 1_000)
        job_id = await self.submit(
            prefix, [{"cpu": 100, "mem_mb": 10}], {"seconds": 0.2}, key
        )
        for _ in range(50):
            if await self.state(prefix, job_id, key) == "completed":
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the probe job did not complete")


def fill_in(values, path, as_json):
    """Return the value of a placeholder of the settings template."""
    value = values
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    if as_json:
        return json.dumps(value)
    return "" if value is None else str(value)


def free_port(ips):
    """Return a port that is free on all of these loopback addresses."""
    for _ in range(200):
        port = random.randrange(20_000, 32_000)
        sockets = []
        try:
            for ip in ips:
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRun("no free port")


def config(queues, tenants, version=7):
    """Return a desired state; ``queues`` are (name, prefix, priority) rows."""
    routes = []
    for name, prefix, priority, target_ms, attempts, stretch in queues:
        routes.append(
            {
                "name": name,
                "host": HOST,
                "path_prefix": prefix,
                "route_type": "unsafe",
                "timeout_ms": 3_000,
                "target_completion_ms": target_ms,
                "priority": priority,
                "service": "huvo11a",
                "attempts": attempts,
                "stretch": stretch,
                "public": False,
            }
        )
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "huvo11a",
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
        "tenants": tenants,
    }


# The queues of the sheet of huron-yard: name, prefix, priority, objective,
# attempts and stretch.
QUEUES = [
    ("pedigree-check", "/pedigree/", 1, 1_000, 3, 3.0),
    ("photo-match", "/photo/", 0, 250, 3, 1.5),
    ("roll-publish", "/roll/", 2, 3_000, 4, 3.0),
]
KEY = "d4a3hwrr6x73d3zji9n7"
TENANTS = [{"name": "kaje80", "api_keys": [KEY], "priority": 1}]


def main(case, folder, controls=3, entries=1):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, else 2.

    ``case`` gets the yard and whether the disruption takes place, and returns
    what broke the rule, or "".
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        yard = Yard(record, controls, entries)
        try:
            async with asyncio.timeout(110):
                await yard.start()
                return await case(yard, trouble)
        finally:
            await yard.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    verdict = f"rule broken: {broken}" if broken else "the rule held"
    record.write(verdict)
    record.close()
    print(verdict)
    sys.exit(1 if broken else 0)
