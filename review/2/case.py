"""After a short cut of the core, scheduled work is never started."""

import asyncio
import time

from yard import BOUNDS, Yard, run_case

CUT_S = 0.34
# Occurrences fall due before, during and after the cut.
OCCURRENCES = 8
INTERVAL_MS = 100
MAX_CUTS = 4
DEPLOYMENTS = 3


async def hand_in_and_cut(yard: Yard, trouble: bool) -> str:
    """Hand in a job that is due around a cut of the leader; return its ID."""
    start_at_ms = int(time.time() * 1_000) + 600
    body = yard.job_body(
        work_s=1.0,
        start_at_ms=start_at_ms,
        interval_ms=INTERVAL_MS,
        repeat_count=OCCURRENCES,
    )
    job_id = await yard.submit(body)
    await asyncio.sleep(max(0.0, start_at_ms / 1_000 + 0.25 - time.time()))
    if trouble:
        yard.cut(yard.leader())
    await asyncio.sleep(CUT_S)
    if trouble:
        yard.heal()
    await asyncio.sleep(OCCURRENCES * INTERVAL_MS / 1_000 + 2.5)
    return job_id


async def disturb(yard: Yard, trouble: bool) -> str:
    """Cut the leader off a few times, and look for lost occurrences."""
    await yard.start(workers=3)
    for _ in range(MAX_CUTS):
        job_id = await hand_in_and_cut(yard, trouble)
        if len(started_tasks(yard, job_id)) < OCCURRENCES:
            return await judge(yard, job_id)
    return ""


def started_tasks(yard: Yard, job_id: str) -> set[str]:
    """Return the names of the tasks of a job that have started."""
    return {task for _, _, task, _ in yard.starts_of(job_id)}


async def judge(yard: Yard, job_id: str) -> str:
    """Ask for a job ``finish_s`` later; return how the rule was broken."""
    yard.record.write("case", "not all occurrences have started; waits")
    await asyncio.sleep(BOUNDS["finish_s"])
    state = await yard.state(job_id)
    idle_since = yard.record.now()
    while yard.record.now() < idle_since + 3.0:
        if yard.running(job_id) or state == "completed":
            return ""
        await asyncio.sleep(0.1)
    missing = OCCURRENCES - len(started_tasks(yard, job_id))
    return (
        f"job {job_id} is shown as {state!r} and nothing of it runs; "
        f"{missing} tasks whose turn has come never started"
    )


async def case(yard: Yard, trouble: bool) -> str:
    """Disturb up to three deployments, one after the other.

    After some resets a control process waits up to a second before it opens a
    connection again, and then another leader is elected in each cut.
    """
    for _ in range(DEPLOYMENTS):
        attempt = Yard(yard.record, relayed=True)
        try:
            if broken := await disturb(attempt, trouble):
                return broken
        finally:
            await attempt.close()
    return ""


run_case(__file__, case)
