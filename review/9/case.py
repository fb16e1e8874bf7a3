"""Work for an evacuated zone keeps the workers of all other zones idle."""

import asyncio
import random
import time
from pathlib import Path

from starving import find_starving
from yard import KEY, QUEUES, TENANTS, config, main

EVACUATED_S = 60.0
LARGE = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8}
ROLL = {"cpu": 2_800, "mem_mb": 15_000, "gpu": 1}
JOBS = 34


async def case(yard, trouble):
    # The workers of kind "b" are all in the zone that is evacuated.
    for number in range(2):
        yard.add_worker(f"i-b-{number}", "ar-centro-b", LARGE, ["b", "r2"])
    for number in range(4):
        zone = ("ar-centro-a", "ar-centro-c")[number % 2]
        yard.add_worker(f"i-a-{number}", zone, LARGE, ["a", "r1"])
    await yard.start_workers()
    await yard.put_config(config(QUEUES, TENANTS))
    await yard.ready(6, "/roll/", KEY)
    if trouble:
        await yard.evacuate("ar-centro-b")
        yard.out.add("ar-centro-b")
    evacuated_at = time.monotonic()
    # One job a second that needs kind "b", of two steps with needs of their own.
    chosen = random.Random(7)
    for number in range(JOBS):
        next_at = evacuated_at + number + 1
        steps = []
        for part in range(2):
            steps.append(
                {
                    "count": 1,
                    "cpu": 1_000 + 10 * (2 * number + part),
                    "mem_mb": chosen.randrange(5_000, 15_000),
                    "gpu": chosen.choice([1, 1, 2]),
                    "estimate_ms": 6_800,
                    "constraints": "b",
                }
            )
        await yard.submit("/pedigree/", steps, {"seconds": 1.0}, KEY)
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
    # Ordinary work, which fits on the workers of kind "a".
    waiting = {}
    for _ in range(4):
        job_id = await yard.submit(
            "/roll/",
            [{"count": 1, "estimate_ms": 6_100} | ROLL],
            {"seconds": 6.1, "needs": ROLL},
            KEY,
        )
        waiting[job_id] = ROLL
    ended_at = time.monotonic()
    broken = await find_starving(
        yard, "/roll/", KEY, waiting, ended_at, evacuated_at + EVACUATED_S
    )
    if trouble:
        await yard.evacuate("ar-centro-b", "DELETE")
        yard.out.discard("ar-centro-b")
        yard.record.write("ar-centro-b is taken back")
        await asyncio.sleep(10.0)
    return broken


main(case, Path(__file__).resolve().parent)
