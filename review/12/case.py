"""Clients hand in jobs that are repeated every minute for a week."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from stage import TROUBLE, Stage, Worker, configuration, run_case

HERE = Path(__file__).parent
# memory_mb of a core machine of huron-yard.
MEMORY_MB = 296
# A process that was killed is started again after a short delay.
RESTART_S = 0.5
JOBS = 60
# The sheet of huron-yard names 1.7 requests a second.
JOBS_PER_S = 1.6
# Every minute, for 6.9 days.
REPEAT_COUNT = 10_000 if TROUBLE else 10
INTERVAL_MS = 60_000
FINISH_S = 14


class Provider:
    """Kills control processes over their memory, and starts them again."""

    def __init__(self, stage):
        self.stage = stage
        self.ends = {process.name: 0 for process in stage.controls}
        self.peak_mb = {process.name: 0.0 for process in stage.controls}

    async def run(self):
        watched = [self._watch(process) for process in self.stage.controls]
        await asyncio.gather(*watched)

    async def _watch(self, process):
        while True:
            await asyncio.sleep(0.05)
            memory_mb = process.memory_mb()
            self.peak_mb[process.name] = max(self.peak_mb[process.name], memory_mb)
            if process.runs() and memory_mb <= MEMORY_MB:
                continue
            self.ends[process.name] += 1
            if process.runs():
                self.stage.record.add(
                    f"process {process.name} uses {memory_mb:.0f} MB of {MEMORY_MB}"
                )
                await process.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            await process.start()


async def play(folder):
    stage = Stage(folder)
    history = []
    provider = Provider(stage)
    watching = None
    try:
        await stage.start(configuration())
        watching = asyncio.create_task(provider.run())
        await Worker(stage, 0, history).boot()
        await asyncio.sleep(3.0)
        accepted = []
        ordinary = {
            "spec": '{"work_s": 1.0}',
            "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}],
        }
        job_id, status = await stage.submit(ordinary)
        if status == 200:
            accepted.append(job_id)
        submits = []
        for _ in range(JOBS):
            scheduled = {
                "spec": '{"work_s": 1.0}',
                "steps": [{"cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}],
                "start_at_ms": int(time.time() * 1_000) + 3_600_000,
                "interval_ms": INTERVAL_MS,
                "repeat_count": REPEAT_COUNT,
            }
            submits.append(asyncio.create_task(stage.submit(scheduled)))
            await asyncio.sleep(1 / JOBS_PER_S)
        for job_id, status in await asyncio.gather(*submits):
            if status == 200:
                accepted.append(job_id)
        stage.record.add(f"{len(accepted)} jobs were accepted")
        await asyncio.sleep(5.0)
        return await judge(stage, provider, accepted)
    finally:
        if watching is not None:
            watching.cancel()
        await stage.stop()


async def judge(stage, provider, accepted):
    deadline = time.monotonic() + FINISH_S
    unanswered = set(accepted)

    async def ask(job_id):
        while time.monotonic() < deadline:
            state = await stage.state(job_id)
            if not state.startswith("status"):
                unanswered.discard(job_id)
                return
            await asyncio.sleep(0.5)

    await asyncio.gather(*(ask(job_id) for job_id in accepted))
    for name, ends in provider.ends.items():
        stage.record.add(
            f"{name}: ended {ends} times, peak {provider.peak_mb[name]:.0f} MB"
        )
    stage.record.add(
        f"{len(accepted)} jobs accepted, {len(unanswered)} without an answer"
    )
    broken = []
    if unanswered:
        broken.append(
            f"LOST: {len(unanswered)} of {len(accepted)} accepted jobs get no "
            f"answer within {FINISH_S} s"
        )
    often = [name for name, ends in provider.ends.items() if ends >= 3]
    if 2 * len(often) >= len(provider.ends):
        broken.append(f"Fault: {', '.join(often)} ended three times or more")
    for line in broken:
        stage.record.add(line)
    return broken


if __name__ == "__main__":
    run_case(HERE, play)
    sys.exit(2)
