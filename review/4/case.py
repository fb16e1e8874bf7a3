"""Tasks of cancelled jobs run on after an entry was killed meanwhile."""

import asyncio
import signal

from yard import BOUNDS, CannotRunError, Yard, run_case

JOBS = 40


async def cancel(yard: Yard, job_id: str, front: str) -> bool:
    """Cancel a job, at the other entry if there is no answer."""
    for attempt in range(4):
        status, _ = await yard.call(front, "DELETE", f"/queue1/{job_id}")
        if status in (200, 410):
            return True
        front = "front-2"
        await asyncio.sleep(0.3 * (attempt + 1))
    return False


async def case(yard: Yard, trouble: bool) -> str:
    """Cancel many jobs that last, and kill the entry meanwhile."""
    await yard.start()
    job_ids = []
    for _ in range(JOBS):
        job_ids.append(await yard.submit(yard.job_body(work_s=1.0, lasting=True)))
    await asyncio.sleep(3.0)
    if not all(yard.running(job_id) for job_id in job_ids):
        raise CannotRunError("not all jobs have begun")
    cancels = [
        asyncio.create_task(cancel(yard, job_id, "front-1")) for job_id in job_ids
    ]
    if trouble:
        await asyncio.wait(cancels, return_when=asyncio.FIRST_COMPLETED)
        yard.programs["front-1"].signal(signal.SIGKILL)
        yard.record.write("front-1", "is killed (SIGKILL)")
    if not all(await asyncio.gather(*cancels)):
        return ""
    yard.record.write("client", "the cancelling of every job is acknowledged")
    await asyncio.sleep((BOUNDS["cancel_ms"] + BOUNDS["stop_ms"]) / 1_000 + 3.0)
    left = [job_id for job_id in job_ids if yard.running(job_id)]
    if not left:
        return ""
    await asyncio.sleep(10.0)
    left = [job_id for job_id in job_ids if yard.running(job_id)]
    state = await yard.state(left[0]) if left else ""
    return (
        f"tasks of {len(left)} jobs run 16 s after the last ack of their cancelling; "
        f"job {left[0]} is shown as {state!r}"
        if left
        else ""
    )


run_case(__file__, case)
