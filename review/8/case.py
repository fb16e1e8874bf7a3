"""A task whose worker crashed once is never started there again."""

import asyncio
import time
from pathlib import Path

from starving import find_starving
from yard import KEY, QUEUES, TENANTS, CannotRun, config, main

DOWN_S = 4.5
SMALL = {"cpu": 16_000, "mem_mb": 65_536, "gpu": 4}
LARGE = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8}
LASTING = {"cpu": 1_000, "mem_mb": 1_000, "gpu": 1}
TASK = {"cpu": 4_000, "mem_mb": 11_000, "gpu": 4}


async def case(yard, trouble):
    large = yard.add_worker("i-large", "ar-centro-a", LARGE, ["a", "r1"])
    for number in range(7):
        zone = ("ar-centro-a", "ar-centro-b", "ar-centro-c")[number % 3]
        yard.add_worker(f"i-small-{number}", zone, SMALL, ["b", "r2"])
    await yard.start_workers()
    await yard.put_config(config(QUEUES, TENANTS))
    await yard.ready(8, "/pedigree/", KEY)
    # Each small worker runs one task that lasts, on one of its four GPUs.
    step = {"count": 7, "long_running": True, "anti_affinity": 1, "constraints": "b"}
    await yard.submit(
        "/pedigree/", [step | LASTING], {"lasts": True, "needs": LASTING}, KEY
    )
    await asyncio.sleep(3.0)
    job_id = await yard.submit(
        "/pedigree/",
        [{"count": 1, "estimate_ms": 6_800} | TASK],
        {"seconds": 6.8, "needs": TASK},
        KEY,
    )
    ended_at = time.monotonic()
    await asyncio.sleep(3.0)
    if not yard.is_running(job_id):
        raise CannotRun("the task did not start")
    if trouble:
        await large.crash()
        await asyncio.sleep(DOWN_S)
        await large.boot()
    return await find_starving(
        yard, "/pedigree/", KEY, {job_id: TASK}, ended_at, ended_at + 40.0
    )


main(case, Path(__file__).resolve().parent)
