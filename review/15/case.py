"""A cancelled job runs, because a cut has held up the request to start it."""

import asyncio
import sys
import time
import uuid
from pathlib import Path

from stage import HOST, KEY, PREFIX, TROUBLE, Link, Stage, Worker, configuration
from stage import run_case

HERE = Path(__file__).parent
BUDGET_MS = 3_000
CANCEL_S = 3.0
STOP_S = 0.9
CONTACT_S = 3.0
CUT_S = 5.5
WORK_S = 15.0


async def play(folder):
    stage = Stage(folder, entries=2)
    history = []
    link = None

    async def call(address, method, job_id, body=None):
        status, reply = await stage.request(
            method,
            f"http://{address}{PREFIX}{job_id}",
            body,
            {
                "Host": HOST,
                "X-Persimmonyard-Credential": KEY,
                "X-Persimmonyard-Deadline-Ms": str(BUDGET_MS),
            },
            BUDGET_MS / 1_000,
        )
        stage.record.add(f"client: {method} {job_id} at {address} -> {status} {reply}")
        return status

    try:
        await stage.start(configuration())
        await Worker(stage, 0, history).boot()
        await asyncio.sleep(4.0)
        first, second = [
            process.settings["addresses"]["callers"] for process in stage.entries
        ]
        port = first.rpartition(":")[2]
        link = Link(stage, f"{stage.subnet}.60:{port}", first)
        await link.start()
        # The client has an open channel.
        await call(link.listen, "GET", "")
        job_id = uuid.uuid4().hex[:16]
        body = {
            "spec": f'{{"work_s": {WORK_S}}}',
            "steps": [{"cpu": 2000, "mem_mb": 256, "estimate_ms": 15_000}],
        }
        cut_at = time.monotonic()
        if TROUBLE:
            link.cut()
        await call(link.listen, "POST", job_id, body)
        # The client gives up, and cancels what may have been accepted.
        cancelled_at = None
        while cancelled_at is None:
            status = await call(second, "DELETE", job_id)
            if 200 <= status < 300 or status == 410:
                cancelled_at = time.monotonic()
        await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        healed_at = time.monotonic()
        if TROUBLE:
            link.heal()
        judged_at = max(cancelled_at + CANCEL_S + STOP_S, healed_at + CONTACT_S) + 1.0
        await asyncio.sleep(judged_at - time.monotonic())
        broken = []
        for row in history:
            if row[0].startswith(job_id) and row[4] is None:
                broken.append(
                    f"UNASKED: {row[0]} is at work {time.monotonic() - cancelled_at:.1f}"
                    f" s after its job's cancelling was acknowledged"
                )
        for line in broken:
            stage.record.add(line)
        stage.record.add(f"the job is shown as {await stage.state(job_id)}")
        return broken
    finally:
        if link is not None:
            await link.stop()
        await stage.stop()


if __name__ == "__main__":
    run_case(HERE, play)
    sys.exit(2)
