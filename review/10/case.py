"""A task that lasts is not started again while a gang waits for its room."""

import asyncio
import time
from pathlib import Path

from yard import KEY, QUEUES, TENANTS, CannotRun, config, main

DOWN_S = 4.5
# 3 s, and the 4 s before them, are calm; and 6 s after the task's last run.
CALM_S = 4.0
WINDOW_S = 3.0
AFTER_RUN_S = 6.0
LARGE = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8}
LASTING = {"cpu": 16_000, "mem_mb": 65_000, "gpu": 4}
WHOLE = {"cpu": 13_000, "mem_mb": 53_000, "gpu": 8}


async def case(yard, trouble):
    for number in range(8):
        zone = ("ar-centro-a", "ar-centro-b", "ar-centro-c")[number % 3]
        yard.add_worker(f"i-{number}", zone, LARGE, ["a", "r1"])
    await yard.start_workers()
    await yard.put_config(config(QUEUES, TENANTS))
    await yard.ready(8, "/roll/", KEY)
    # Seven workers are full with two tasks each that last.
    jobs = []
    for _ in range(14):
        job_id = await yard.submit(
            "/roll/",
            [{"count": 1, "long_running": True} | LASTING],
            {"lasts": True, "needs": LASTING},
            KEY,
        )
        jobs.append(job_id)
    await asyncio.sleep(2.0)
    busy = [worker for worker in yard.workers.values() if len(worker.runs) == 2]
    if len(busy) != 7:
        raise CannotRun(f"{len(busy)} workers are full")
    # A gang that needs four whole workers has to wait.
    gang = {"count": 4, "gang": True, "estimate_ms": 6_800} | WHOLE
    await yard.submit("/pedigree/", [gang], {"seconds": 6.8, "needs": WHOLE}, KEY)
    await asyncio.sleep(3.0)
    crashed = busy[0]
    if trouble:
        await crashed.crash()
        await asyncio.sleep(DOWN_S)
        await crashed.boot()
    calm_since = time.monotonic()
    waiting_since = {}
    until = calm_since + 30.0
    while time.monotonic() < until:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        if now < calm_since + CALM_S:
            continue
        for job_id in jobs:
            if yard.is_running(job_id) or yard.room_for(LASTING) < 2:
                waiting_since.pop(job_id, None)
                continue
            since = waiting_since.setdefault(job_id, now)
            if now - since >= WINDOW_S and now >= calm_since + AFTER_RUN_S:
                return (
                    f"LOST: the task of {job_id}, which lasts, has not run for "
                    f"{WINDOW_S:.0f} s, {now - calm_since:.1f} s after the last "
                    f"disruption; there is room for {yard.room_for(LASTING)} such tasks"
                )
    return ""


main(case, Path(__file__).resolve().parent)
