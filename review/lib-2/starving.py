"""The check of the rule LOST on jobs that have nothing running."""

import asyncio
import time

from yard import FINISH_S

WINDOW_S = 3.0


async def find_starving(yard, prefix, key, jobs, traffic_ended_at, until):
    """Return what broke the rule, or "".

    ``jobs`` maps identifiers to the resources of the one task that each of
    them still has to run.  From ``FINISH_S`` after the end of the traffic on,
    a job must not have nothing running for 3 s while its task's turn has come,
    there is capacity for it twice over on the workers in service, and under
    half of the service's capacity is in use.
    """
    since = {}
    while time.monotonic() < until:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        if now < traffic_ended_at + FINISH_S:
            continue
        for job_id, needs in jobs.items():
            if yard.is_done(job_id) or yard.is_running(job_id):
                since.pop(job_id, None)
                continue
            if yard.room_for(needs) < 2 or yard.share_in_use() >= 0.5:
                since.pop(job_id, None)
                continue
            began = since.setdefault(job_id, now)
            if now - began >= WINDOW_S:
                state = await yard.state(prefix, job_id, key)
                return (
                    f"LOST: job {job_id} is {state!r} and has had nothing running "
                    f"for {WINDOW_S:.0f} s, {now - traffic_ended_at:.1f} s after the "
                    f"end of the traffic; there is room for "
                    f"{yard.room_for(needs)} such tasks, and "
                    f"{yard.share_in_use():.0%} of the capacity is in use"
                )
    return ""
