"""A heartbeat of another writer makes a task run twice at the same time."""

import asyncio
import time

from yard import BOUNDS, Yard, run_case


async def case(yard: Yard, trouble: bool) -> str:
    """Let a writer of an unknown service name the address of a worker."""
    await yard.start()
    job_id = await yard.submit(yard.job_body(work_s=8.0, count=1))
    while not yard.running(job_id):  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    worker = yard.workers[yard.running(job_id)[0]]
    if trouble:
        body = worker.heartbeat() | {
            "service": "node-metrics",
            "seq_no": 1,
            "clock_ms": 100,
            "born": int(time.time() * 1_000),
        }
        taken = await yard.send_heartbeat(None, "x-77aa", body)
        yard.record.write("writer", f"sends {body}; acknowledged: {taken}")
    for _ in range(100):
        await asyncio.sleep(0.05)
        tasks = [task for other in yard.workers.values() for task in other.runs]
        doubled = {task for task in tasks if tasks.count(task) > 1}
        if doubled:
            return f"two runs at the same time on workers that are up: {doubled}"
    await asyncio.sleep(BOUNDS["contact_ms"] / 1_000)
    return ""


run_case(__file__, case)
