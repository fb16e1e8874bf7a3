"""Callers and operators that go on while faults are injected."""

import asyncio
import json
import random
import sys
import time
from typing import Any

import aiohttp

from soak.deployment import ROOT, ZONES, SoakDeployment
from soak.records import JobSeen, Seen

sys.path.append(str(ROOT / "platform" / "standin"))

from callers import Caller, Operator, job_body

__all__ = ["Clients"]

# Pause between two jobs of one caller, in seconds.
JOB_PAUSE_S = (0.1, 0.6)
ASK_PAUSE_S = 0.4
ORDER_PAUSE_S = (0.5, 2.0)
ZONE_PAUSE_S = 4.0
ZONE_OUT_S = 7.0
TRIES = 5
CANCEL_SHARE = 0.1
CALLERS = 3
# How long all jobs may take to end once no fault is left, in seconds.
FINISH_S = 60.0
ENDED = ("completed", "failed", "cancelled")


class Clients:
    """Drive a deployment and record what is seen."""

    def __init__(self, deployment: SoakDeployment, seen: Seen):
        self._deployment = deployment
        self._seen = seen
        self._random = random.Random(deployment.seed + 2)
        self._entries = [deployment.entry_url(n) for n in deployment.entry_names]
        self._version = 1
        self._stopping = False

    async def __aenter__(self) -> "Clients":
        self._http = aiohttp.ClientSession()
        self._caller = Caller(self._http)
        addresses = []
        for name in self._deployment.control_names:
            addresses.append(self._deployment.control_address(name))
        self._operator = Operator(self._http, addresses, self._deployment.seed + 3)
        return self

    async def __aexit__(self, *_: Any) -> None:
        await self._http.close()

    async def first_configuration(self) -> None:
        """Send the first configuration until it is acknowledged."""
        while await self._operator.put_configuration(1) != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.2)
        self._seen.acknowledged.append((time.monotonic(), 1))

    async def run(self) -> None:
        """Go on until ``stop`` is called."""
        tasks = [self._submit_jobs() for _ in range(CALLERS)]
        tasks += [self._ask(), self._configure(), self._configure(), self._read()]
        await asyncio.gather(*tasks, self._change_zones())

    def stop(self) -> None:
        """Let the loops end."""
        self._stopping = True

    # Callers.

    async def _submit_jobs(self) -> None:
        while not self._stopping:
            await self._one_job()
            await asyncio.sleep(self._random.uniform(*JOB_PAUSE_S))

    async def _one_job(self) -> None:
        draw = self._random
        steps = [self._step(number) for number in range(draw.choice((1, 1, 2)))]
        job_id = f"{draw.getrandbits(64):016x}"
        seen = JobSeen(job_id, draw.choice(("urgent", "normal")), steps)
        self._seen.job_by_id[job_id] = seen
        payload = {"work_s": draw.uniform(0.2, 2.0), "saves": steps[0]["saves"]}
        body = job_body(steps, json.dumps(payload))
        for _ in range(TRIES):
            entry = draw.choice(self._entries)
            status = await self._caller.submit(entry, seen.route, job_id, body)
            if status == 200:
                seen.accepted_at = time.monotonic()
                seen.refused_only = False
                break
            if status not in (429, 503):
                seen.refused_only = False
            await asyncio.sleep(0.3)
        if seen.accepted_at and draw.random() < CANCEL_SHARE:
            await asyncio.sleep(draw.uniform(0.0, 1.0))
            await self._cancel(seen)

    def _step(self, number: int) -> dict[str, Any]:
        draw = self._random
        gang = draw.random() < 0.3
        return {
            "count": draw.randint(2, 4) if gang else draw.randint(1, 4),
            "accelerators": draw.choice((1, 1, 2, 4)),
            "after": [number - 1] if number else [],
            "gang": gang,
            "saves": draw.random() < 0.4,
            "per_upstream": 0 if gang else draw.choice((0, 0, 1)),
        }

    async def _cancel(self, seen: JobSeen) -> None:
        seen.cancel_sent_at = time.monotonic()
        for _ in range(TRIES):
            entry = self._random.choice(self._entries)
            status = await self._caller.cancel(entry, seen.route, seen.job_id)
            if status in (200, 410):
                seen.cancelled_at = time.monotonic()
                return
            await asyncio.sleep(0.3)

    async def _ask(self) -> None:
        while not self._stopping:
            await asyncio.sleep(ASK_PAUSE_S)
            accepted = [j for j in self._seen.job_by_id.values() if j.accepted_at]
            if accepted:
                await self._look(self._random.choice(accepted))

    async def _look(self, seen: JobSeen) -> str:
        """Ask for a job's state and record the answer."""
        entry = self._random.choice(self._entries)
        asked_at = time.monotonic()
        status, state = await self._caller.read_state(entry, seen.route, seen.job_id)
        if status == 200:
            seen.states.append((time.monotonic(), state))
        if status == 410:
            seen.missing.append(asked_at)
        return state

    async def finish(self) -> None:
        """Ask for every job until it has ended; record those that do not."""
        until = time.monotonic() + FINISH_S
        waiting = [j for j in self._seen.job_by_id.values() if j.accepted_at]
        while waiting and time.monotonic() < until:
            left = []
            for seen in waiting:
                if await self._look(seen) not in ENDED:
                    left.append(seen)
            waiting = left
            await asyncio.sleep(0.2)
        self._seen.unfinished = [seen.job_id for seen in waiting]

    # Operators.

    async def _configure(self) -> None:
        while not self._stopping:
            await asyncio.sleep(self._random.uniform(*ORDER_PAUSE_S))
            self._version += self._random.randint(1, 3)
            version = self._version
            for _ in range(TRIES):
                if await self._operator.put_configuration(version) == 200:
                    now = time.monotonic()
                    self._seen.acknowledged.append((now, version))
                    break
                await asyncio.sleep(0.2)

    async def _read(self) -> None:
        while not self._stopping:
            await asyncio.sleep(ASK_PAUSE_S)
            await self.read_once()

    async def read_once(self) -> int:
        """Read the configuration and record its version."""
        sent_at = time.monotonic()
        version = await self._operator.read_configuration_version()
        if version:
            self._seen.reads.append((sent_at, version))
        return version

    async def _change_zones(self) -> None:
        while not self._stopping:
            await asyncio.sleep(ZONE_PAUSE_S)
            zone = self._random.choice(ZONES)
            if await self._operator.set_zone_out(zone, True) != 200:
                # Without an answer it may be out of service all the same.
                await self._bring_back(zone)
                continue
            out_at = time.monotonic()
            await asyncio.sleep(ZONE_OUT_S)
            self._seen.zones_out.append((out_at, time.monotonic(), zone))
            await self._bring_back(zone)

    async def _bring_back(self, zone: str) -> None:
        while await self._operator.set_zone_out(zone, False) != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.2)
