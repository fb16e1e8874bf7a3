"""A worker crashes just before a job is placed on it."""

import asyncio
import sys
import time
from pathlib import Path

from aiohttp import web

from stage import TROUBLE, Stage, Worker, configuration, run_case

HERE = Path(__file__).parent
WORKERS = 6
VISIBLE_MS = 3_000
# A job counts once it was accepted this long ago, in seconds.
COUNTS_AFTER_S = VISIBLE_MS / 1_000 + 2.0
ASK_FOR_S = 30.0


class DarkWorker(Worker):
    """Can lose its power: then it runs nothing and answers nothing."""

    dark = False

    def _guarded(self, handler):
        guarded = super()._guarded(handler)

        async def handle(request):
            if self.dark:
                await asyncio.sleep(20)
                return web.Response(status=503)
            return await guarded(request)

        return handle

    async def lose_power(self):
        self.dark = True
        self.beat_task.cancel()
        self.life_task.cancel()
        for run in list(self.runs.values()):
            self._finish_row(run, "worker crashed")
        self.runs = {}
        self.stage.record.add(f"worker {self.name} has lost its power")


def job(work_s):
    return {
        "spec": f'{{"work_s": {work_s}}}',
        "steps": [
            {
                "cpu": 26_000,
                "mem_mb": 4096,
                "gpu": 8,
                "estimate_ms": int(work_s * 1_000),
            }
        ],
    }


async def play(folder):
    stage = Stage(folder)
    history = []
    try:
        await stage.start(configuration())
        for number in range(WORKERS):
            await DarkWorker(stage, number, history).boot()
        await asyncio.sleep(4.0)
        # Each worker has run something before.
        for _ in range(WORKERS):
            await stage.submit(job(1.0))
        await asyncio.sleep(3.0)
        # All but one worker are busy for longer than the case takes.
        for _ in range(WORKERS - 1):
            await stage.submit(job(90.0))
        await asyncio.sleep(1.0)
        busy = {row[2] for row in history if row[4] is None}
        for worker in stage.workers:
            if worker.name not in busy:
                if TROUBLE:
                    await worker.lose_power()
                else:
                    # Without the crash the last worker is just busy as well.
                    await stage.submit(job(90.0))
                    await asyncio.sleep(0.5)
        await asyncio.sleep(0.3)
        job_id, status = await stage.submit(job(5.0))
        accepted_at = time.monotonic()
        if status != 200:
            stage.record.add("the job was not accepted")
            return []
        await asyncio.sleep(COUNTS_AFTER_S + 0.5)
        broken = []
        while time.monotonic() < accepted_at + ASK_FOR_S:
            began = any(row[0].startswith(job_id) for row in history)
            status, reply = await stage.call("GET")
            state = await stage.state(job_id)
            waited_s = time.monotonic() - accepted_at
            stage.record.add(
                f"{waited_s:.1f} s after the ack: pending -> {status} {reply}, state "
                f"{state}, begun on a worker: {began}"
            )
            if status == 200 and not began and 2 * reply["pending"] < 1:
                broken.append(
                    f"MIXED: {reply['pending']} pending, {waited_s:.1f} s after the "
                    f"ack of job {job_id}, which has not begun"
                )
            await asyncio.sleep(1.0)
        for line in broken:
            stage.record.add(line)
        return broken
    finally:
        await stage.stop()


if __name__ == "__main__":
    run_case(HERE, play)
    sys.exit(2)
