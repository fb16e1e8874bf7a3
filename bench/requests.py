"""Added latency, goodput under overload, and lost or doubled requests.

Everything runs in real processes on loopback in one run, and is reported as
ratios to a direct use of the same stand-in upstreams in that run.
"""

import asyncio
import base64
import json
import queue
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import httpx

from persimmonyard.daemon.tokens import hash_token
from persimmonyard.standin.deployment import Deployment

__all__ = ["run"]

ACCOUNTS = ("clinic", "carvers", "registry", "federation")
UPSTREAMS = 4
RUN_S = 0.05
LIGHT_CALLERS = 2
LIGHT_REQUESTS = 60
PHASE_S = 8.0
SATURATING_CALLERS = 16
FACTORS = (1, 2, 4)
CALL_TIMEOUT_S = 60.0
BURST_REQUESTS = 400
BURST_MAX_WAITING = 40
AUDITED_REFUSALS = 100
PAYLOAD = base64.b64encode(json.dumps({"run_s": RUN_S}).encode()).decode()
ANSWER = b"answer:0:" + base64.b64decode(PAYLOAD)


class Tally:
    """What callers saw in one phase."""

    def __init__(self) -> None:
        self.latencies_s: list[float] = []
        self.good = 0
        self.wrong = 0
        self.refused_keys: set[tuple[str, str]] = set()
        self.unknown_keys: set[tuple[str, str]] = set()
        self.refusals_by_code: dict[int, int] = {}
        self.accepted_by_key: dict[tuple[str, str], str] = {}


class Callers:
    """Closed-loop callers: each submits, waits, and submits the next."""

    def __init__(self, urls: list[str]):
        self._urls = urls
        self._serial = 0

    async def phase(
        self, callers: int, seconds: float = 1e9, requests: int = 1 << 60
    ) -> Tally:
        """Run ``callers`` callers for a time or a number of requests."""
        tally = Tally()
        until = time.monotonic() + seconds
        limits = httpx.Limits(
            max_connections=callers, max_keepalive_connections=callers
        )
        async with httpx.AsyncClient(
            trust_env=False, timeout=CALL_TIMEOUT_S, limits=limits
        ) as client:
            left = [requests]
            jobs = []
            for number in range(callers):
                jobs.append(self._caller(client, number, until, left, tally))
            await asyncio.gather(*jobs)
        return tally

    async def burst(self, count: int) -> Tally:
        """Submit ``count`` requests at once, without waiting for answers."""
        tally = Tally()
        async with httpx.AsyncClient(
            trust_env=False,
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(max_connections=count),
        ) as client:
            jobs = []
            for number in range(count):
                account = ACCOUNTS[number % len(ACCOUNTS)]
                url = self._urls[number % len(self._urls)]
                key = f"burst-{number}"
                jobs.append(self._one(client, url, account, key, tally, 0.0))
            await asyncio.gather(*jobs)
        return tally

    async def _caller(
        self,
        client: httpx.AsyncClient,
        number: int,
        until: float,
        left: list[int],
        tally: Tally,
    ) -> None:
        account = ACCOUNTS[number % len(ACCOUNTS)]
        url = self._urls[number % len(self._urls)]
        while time.monotonic() < until and left[0] > 0:
            left[0] -= 1
            self._serial += 1
            await self._one(client, url, account, f"k{self._serial}", tally)

    async def _one(
        self,
        client: httpx.AsyncClient,
        url: str,
        account: str,
        key: str,
        tally: Tally,
        wait_s: float = 30.0,
    ) -> None:
        body = {
            "class": "fit",
            "key": key,
            "shape": {"accelerators": 1},
            "declared_run_s": 1.0,
            "idempotent": False,
            "payload": PAYLOAD,
            "wait_s": wait_s,
        }
        began = time.monotonic()
        headers = {"Authorization": f"Bearer {account}-token"}
        try:
            reply = await client.post(f"{url}/v1/requests", json=body, headers=headers)
            found = reply.json()
        except (httpx.HTTPError, ValueError):
            tally.unknown_keys.add((account, key))
            return
        if reply.status_code >= 400:
            code = found["code"]
            tally.refusals_by_code[code] = tally.refusals_by_code.get(code, 0) + 1
            known = tally.refused_keys if found["not_run"] else tally.unknown_keys
            known.add((account, key))
            await asyncio.sleep(float(reply.headers.get("retry-after", 0.1)))
            return
        tally.accepted_by_key[account, key] = found["request"]
        if not found["ended"]:
            return
        bodies = [base64.b64decode(one["body"]) for one in found["answers"]]
        if bodies != [ANSWER]:
            tally.wrong += 1
            return
        tally.good += 1
        tally.latencies_s.append(time.monotonic() - began)


class Direct:
    """Callers that use a stand-in upstream without the system."""

    def __init__(self, spec: dict[str, Any]):
        self._url = f"http://{spec['address']}/v1/tasks"
        self._incarnation = spec["incarnation"]
        self._serial = 0

    async def phase(self, callers: int, requests: int) -> list[float]:
        """Return the latencies in seconds."""
        latencies: list[float] = []
        async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
            jobs = []
            for _ in range(callers):
                jobs.append(self._caller(client, requests // callers, latencies))
            await asyncio.gather(*jobs)
        return latencies

    async def _caller(
        self, client: httpx.AsyncClient, requests: int, latencies: list[float]
    ) -> None:
        for _ in range(requests):
            self._serial += 1
            began = time.monotonic()
            task = {
                "attempt": f"direct-{self._serial}",
                "member": 0,
                "fence": 1,
                "incarnation": self._incarnation,
            }
            capacity = {"accelerators": 1, "cores": 1, "memory_mb": 1}
            permit = {"permit_s": 2.0, "checkpoint": ""}
            await self._call(client, "prepare", task | capacity | permit)
            start = {"lease_s": 15.0, "declared_run_s": 1.0, "payload": PAYLOAD}
            await self._call(client, "start", task | start)
            renewal = {"tasks": [task], "lease_s": 15.0, "wait_s": 3.0}
            await self._call(client, "renew", renewal)
            await self._call(client, "result", task)
            latencies.append(time.monotonic() - began)
            await self._call(client, "acknowledge", task)

    async def _call(
        self, client: httpx.AsyncClient, name: str, body: dict[str, Any]
    ) -> Any:
        reply = await client.post(f"{self._url}/{name}", json=body)
        return reply.raise_for_status().json()


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _latencies(values: list[float]) -> dict[str, float]:
    return {
        "p50_ms": round(1_000 * statistics.median(values), 1),
        "p99_ms": round(1_000 * _percentile(values, 0.99), 1),
        "count": len(values),
    }


def _set_up(deployment: Deployment) -> None:
    deployment.start()
    for number in range(UPSTREAMS):
        deployment.start_upstream(f"up-{number}", "karen-bench", f"rack-{number}")
    _set_accounts(deployment, 1_000)
    while len(_operate(deployment, "GET", "status")["upstreams"]) < UPSTREAMS:
        time.sleep(0.1)


def _set_accounts(deployment: Deployment, max_waiting: int) -> None:
    changes: list[dict[str, Any]] = [{"work_class": {"name": "fit"}}]
    for account in ACCOUNTS:
        fields = {
            "name": account,
            "token_hashes": [hash_token(f"{account}-token")],
            "max_waiting": max_waiting,
        }
        changes.append({"client_account": fields})
    reply = _operate(
        deployment, "POST", "configuration", {"changes": changes, "wait_s": 30}
    )
    if not reply.get("in_force"):
        raise RuntimeError(f"the configuration is not in force: {reply}")


def _operate(deployment: Deployment, method: str, path: str, body: Any = None) -> Any:
    reply = httpx.request(
        method,
        f"{deployment.entry_url(1)}/v1/operator/{path}",
        json=body,
        headers={"Authorization": f"Bearer {deployment.operator_token}"},
        timeout=60,
        trust_env=False,
    )
    return reply.json()


async def _audit(url: str, tally: Tally) -> dict[str, int]:
    """Count requests that were lost, run twice, or refused untruthfully.

    A refused key is submitted again: if it had been recorded the first time,
    the new submission would join a request that has run already.
    """
    counts = {"lost": 0, "doubled": 0, "untruthful": 0}
    async with httpx.AsyncClient(trust_env=False, timeout=CALL_TIMEOUT_S) as client:
        for (account, _), request_id in tally.accepted_by_key.items():
            headers = {"Authorization": f"Bearer {account}-token"}
            path = f"{url}/v1/requests/{request_id}"
            view = (await client.get(f"{path}?wait_s=30", headers=headers)).json()
            if view.get("state") not in ("finished", "answered"):
                counts["lost"] += 1
            told = (await client.get(f"{path}/explain", headers=headers)).json()
            began = [a for a in told["attempts"] if a["outcome"] != "never_began"]
            counts["doubled"] += len(began) > 1
        for account, key in list(tally.refused_keys)[:AUDITED_REFUSALS]:
            headers = {"Authorization": f"Bearer {account}-token"}
            # Another body under the same key is refused only if the key is
            # recorded.
            body = {
                "class": "fit",
                "key": key,
                "declared_run_s": 2.0,
                "idempotent": True,
            }
            reply = await client.post(f"{url}/v1/requests", json=body, headers=headers)
            counts["untruthful"] += reply.json().get("code") == 400
    return counts


async def _measure(deployment: Deployment, spec: dict[str, Any]) -> dict[str, Any]:
    callers = Callers(deployment.entry_urls())
    direct = Direct(spec)
    await direct.phase(1, 5)
    await callers.phase(LIGHT_CALLERS, requests=10)
    direct_light = _latencies(await direct.phase(LIGHT_CALLERS, LIGHT_REQUESTS))
    light = await callers.phase(LIGHT_CALLERS, requests=LIGHT_REQUESTS)
    found: dict[str, Any] = {
        "direct_light": direct_light,
        "light": _latencies(light.latencies_s),
    }
    for name in ("p50_ms", "p99_ms"):
        ratio = found["light"][name] / direct_light[name]
        found[f"light_ratio_{name[:3]}"] = round(ratio, 2)
    base = 0.0
    for factor in FACTORS:
        tally = await callers.phase(SATURATING_CALLERS * factor, seconds=PHASE_S)
        goodput = tally.good / PHASE_S
        base = base or goodput
        found[f"load_{factor}"] = {
            "goodput_per_s": round(goodput, 1),
            "goodput_ratio": round(goodput / base, 3),
            "refusals_by_code": tally.refusals_by_code,
            "wrong_answers": tally.wrong,
            "unknown": len(tally.unknown_keys),
            **_latencies(tally.latencies_s),
            **await _audit(deployment.entry_url(1), tally),
        }
    found["burst"] = await _measure_burst(deployment, callers)
    return found


async def _measure_burst(deployment: Deployment, callers: Callers) -> dict[str, Any]:
    """Submit far more at once than the accounts may have in progress."""
    await asyncio.to_thread(_set_accounts, deployment, BURST_MAX_WAITING)
    tally = await callers.burst(BURST_REQUESTS)
    await asyncio.to_thread(_set_accounts, deployment, 1_000)
    return {
        "submitted": BURST_REQUESTS,
        "accepted": len(tally.accepted_by_key),
        "refusals_by_code": tally.refusals_by_code,
        "unknown": len(tally.unknown_keys),
        **await _audit(deployment.entry_url(1), tally),
    }


def run() -> dict[str, Any]:
    """Return the measurements; ratios are to direct use in the same run."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), controls=1, entries=2)
        upstream = DirectUpstream()
        try:
            _set_up(deployment)
            return asyncio.run(_measure(deployment, upstream.spec()))
        finally:
            upstream.close()
            deployment.stop()


class DirectUpstream:
    """A stand-in that only the direct callers know.

    This object takes its announcement, to learn its address and incarnation.
    """

    def __init__(self) -> None:
        self._specs: queue.Queue[dict[str, Any]] = queue.Queue()
        specs = self._specs

        class Announced(BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                length = int(self.headers["content-length"])
                body = json.loads(self.rfile.read(length))
                specs.put(body["spec"])
                reply = {"sent_at": body["sent_at"], "lease_s": 600, "heartbeat_s": 600}
                data = json.dumps(reply).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *arguments: Any) -> None:
                """Print nothing."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Announced)
        thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        thread.start()
        command = [sys.executable, "-m", "persimmonyard.standin.upstream"]
        command += ["--upstream-id", "direct", "--zone", "z", "--rack", "r"]
        command += ["--token", "t"]
        command += ["--entry", f"http://127.0.0.1:{self._server.server_port}"]
        self._process = subprocess.Popen(command)

    def spec(self) -> dict[str, Any]:
        """Return what the stand-in announced."""
        return self._specs.get(timeout=60)

    def close(self) -> None:
        """End the stand-in and the server."""
        self._process.terminate()
        self._process.wait()
        self._server.shutdown()
        self._server.server_close()


if __name__ == "__main__":
    print(json.dumps(run(), indent=2))
