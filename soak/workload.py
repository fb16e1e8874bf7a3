"""The workload of a soak: callers and operators that run during faults."""

import asyncio
import contextlib
import json
import random
import sys
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from soak.deployment import ROOT, ZONES, SoakDeployment
from soak.records import JobObservations, Observations

sys.path.append(str(ROOT / "platform" / "standin"))

from callers import Caller, Operator, job_body

__all__ = ["Workload"]

# Range of the pause between two jobs of one caller, in seconds.
SUBMISSION_PAUSE_S = (0.1, 0.6)
POLL_PAUSE_S = 0.4
CONFIGURATION_PAUSE_S = (0.5, 2.0)
ZONE_PAUSE_S = 4.0
ZONE_OUT_S = 7.0
# When operators give up an order, and how long after held-up bytes the end of
# their connection arrives, in seconds.
GIVE_UP_S = 1.0
ROUND_TRIP_S = 0.002
MAX_TRIES = 5
CANCEL_PROBABILITY = 0.1
# Share of jobs with long tasks, whose runs last through restarts and cuts, and
# the range of their work in seconds.  They have one step that needs little
# room, so that all jobs can end in time.
LONG_PROBABILITY = 0.1
LONG_WORK_S = (4.0, 9.0)
WORK_S = (0.2, 2.0)
CALLER_COUNT = 3
# Time for all jobs to end after the last fault, in seconds.
COMPLETION_TIMEOUT_S = 60.0
FINAL_STATES = ("completed", "failed", "cancelled")


class Workload:
    """Sends requests of callers and operators and records the observations."""

    def __init__(self, deployment: SoakDeployment, observations: Observations):
        self._deployment = deployment
        self._observations = observations
        self._rng = random.Random(deployment.seed + 2)
        self._entries = [deployment.entry_url(n) for n in deployment.entry_names]
        self._version = 1
        self._stopping = False

    async def __aenter__(self) -> "Workload":
        self._http = aiohttp.ClientSession()
        self._caller = Caller(self._http)
        addresses = []
        for name in self._deployment.control_names:
            addresses.append(self._deployment.control_address(name))
        self._operator = Operator(self._http, addresses, self._deployment.seed + 3)
        return self

    async def __aexit__(self, *_: Any) -> None:
        await self._http.close()

    async def put_first_configuration(self) -> None:
        """Send the first configuration until it is acknowledged."""
        while await self._operator.put_configuration(1) != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.2)
        self._observations.acknowledged_versions.append((time.monotonic(), 1))

    async def run(self) -> None:
        """Send requests until ``stop`` is called."""
        tasks = [self._submit_jobs() for _ in range(CALLER_COUNT)]
        tasks += [
            self._poll_jobs(),
            self._change_configuration(),
            self._change_configuration(),
            self._poll_configuration(),
        ]
        await asyncio.gather(*tasks, self._change_zones())

    def stop(self) -> None:
        """Make ``run`` return after the requests in progress."""
        self._stopping = True

    async def _submit_jobs(self) -> None:
        while not self._stopping:
            await self._submit_job()
            await asyncio.sleep(self._rng.uniform(*SUBMISSION_PAUSE_S))

    async def _submit_job(self) -> None:
        rng = self._rng
        long = rng.random() < LONG_PROBABILITY
        step_count = 1 if long else rng.choice((1, 1, 2))
        steps = [self._random_step(number) for number in range(step_count)]
        if long:
            steps[0]["accelerators"] = 1
        job_id = f"{rng.getrandbits(64):016x}"
        job = JobObservations(job_id, rng.choice(("urgent", "normal")), steps)
        self._observations.job_by_id[job_id] = job
        work_s = rng.uniform(*(LONG_WORK_S if long else WORK_S))
        payload = {"work_s": work_s, "saves": steps[0]["saves"]}
        body = job_body(steps, json.dumps(payload))
        for _ in range(MAX_TRIES):
            entry = rng.choice(self._entries)
            status = await self._caller.submit(entry, job.route, job_id, body)
            if status == 200:
                job.accepted_at = time.monotonic()
                job.all_refused = False
                break
            if status not in (429, 503):
                job.all_refused = False
            await asyncio.sleep(0.3)
        if job.accepted_at and rng.random() < CANCEL_PROBABILITY:
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            await self._cancel(job)

    def _random_step(self, number: int) -> dict[str, Any]:
        rng = self._rng
        gang = rng.random() < 0.3
        return {
            "count": rng.randint(2, 4) if gang else rng.randint(1, 4),
            "accelerators": rng.choice((1, 1, 2, 4)),
            "after": [number - 1] if number else [],
            "gang": gang,
            "saves": rng.random() < 0.4,
            "per_upstream": 0 if gang else rng.choice((0, 0, 1)),
        }

    async def _cancel(self, job: JobObservations) -> None:
        job.cancel_sent_at = time.monotonic()
        for _ in range(MAX_TRIES):
            entry = self._rng.choice(self._entries)
            status = await self._caller.cancel(entry, job.route, job.job_id)
            if status in (200, 410):
                job.cancel_acknowledged_at = time.monotonic()
                return
            await asyncio.sleep(0.3)

    async def _poll_jobs(self) -> None:
        while not self._stopping:
            await asyncio.sleep(POLL_PAUSE_S)
            accepted = [
                j for j in self._observations.job_by_id.values() if j.accepted_at
            ]
            if accepted:
                await self._poll_job(self._rng.choice(accepted))

    async def _poll_job(self, job: JobObservations) -> str:
        """Query a job's state and record the answer."""
        entry = self._rng.choice(self._entries)
        sent_at = time.monotonic()
        status, state = await self._caller.read_state(entry, job.route, job.job_id)
        if status == 200:
            job.observed_states.append((time.monotonic(), state))
        if status == 410:
            job.not_found_at.append(sent_at)
        return state

    async def await_completion(self) -> None:
        """Poll all accepted jobs until they have ended or the time is up.

        Record the jobs that have not ended as unfinished.
        """
        deadline = time.monotonic() + COMPLETION_TIMEOUT_S
        unfinished_jobs = [
            j for j in self._observations.job_by_id.values() if j.accepted_at
        ]
        while unfinished_jobs and time.monotonic() < deadline:
            still_running = []
            for job in unfinished_jobs:
                if await self._poll_job(job) not in FINAL_STATES:
                    still_running.append(job)
            unfinished_jobs = still_running
            await asyncio.sleep(0.2)
        self._observations.unfinished = [job.job_id for job in unfinished_jobs]

    async def _change_configuration(self) -> None:
        while not self._stopping:
            await asyncio.sleep(self._rng.uniform(*CONFIGURATION_PAUSE_S))
            self._version += self._rng.randint(1, 3)
            version = self._version
            for _ in range(MAX_TRIES):
                if await self._operator.put_configuration(version) == 200:
                    now = time.monotonic()
                    self._observations.acknowledged_versions.append((now, version))
                    break
                await asyncio.sleep(0.2)

    async def _poll_configuration(self) -> None:
        while not self._stopping:
            await asyncio.sleep(POLL_PAUSE_S)
            await self.read_configuration()

    async def read_configuration(self) -> int:
        """Read the configuration and record its version."""
        sent_at = time.monotonic()
        version = await self._operator.read_configuration_version()
        if version:
            self._observations.version_reads.append((sent_at, version))
        return version

    async def _change_zones(self) -> None:
        while not self._stopping:
            await asyncio.sleep(ZONE_PAUSE_S)
            zone = self._rng.choice(ZONES)
            async with self._held_up_withdrawal(zone):
                if await self._operator.set_zone_out(zone, True) != 200:
                    # Without an acknowledgement, the zone may still be out of
                    # service.
                    await self._restore_zone(zone)
                    continue
            out_at = time.monotonic()
            await asyncio.sleep(ZONE_OUT_S)
            self._observations.zones_out.append((out_at, time.monotonic(), zone))
            await self._restore_zone(zone)

    @contextlib.asynccontextmanager
    async def _held_up_withdrawal(self, zone: str) -> AsyncIterator[None]:
        """Deliver an earlier order late, as after a cut that held it up.

        Its operator gave up, and another process has acknowledged it since.
        """
        address = self._rng.choice(self._deployment.control_names)
        host, _, port = self._deployment.control_address(address).rpartition(":")
        request = f"DELETE /api/evacuation/{zone} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            yield
            return
        await asyncio.sleep(GIVE_UP_S)
        await self._restore_zone(zone)
        try:
            yield
        finally:
            writer.write(request.encode())
            await asyncio.sleep(ROUND_TRIP_S)
            writer.close()

    async def _restore_zone(self, zone: str) -> None:
        while await self._operator.set_zone_out(zone, False) != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.2)
