"""A worker that leaves gets no ack for its DELETE and ends seconds later."""

import asyncio
import sys
import time
from pathlib import Path

from stage import TROUBLE, Link, Stage, Worker, configuration, run_case

HERE = Path(__file__).parent
# drain_ms of the small sites, and how long the worker goes on after a DELETE
# without an ack: "some seconds".
DRAIN_S = 2.0
UNACKED_S = 4.0
WORK_S = 9.0


class LeavingWorker(Worker):
    """Leaves as PROTOCOL.md says, over links that may lose the answers."""

    def __init__(self, stage, number, history):
        super().__init__(stage, number, history)
        self.links = {}
        for position, process in enumerate(stage.controls):
            port = process.address.rpartition(":")[2]
            listen = f"{stage.subnet}.{60 + position}:{port}"
            self.links[process.address] = Link(stage, listen, process.address)

    async def open_links(self):
        for link in self.links.values():
            await link.start()

    async def close_links(self):
        for link in self.links.values():
            await link.stop()

    def route(self, url):
        for address, link in self.links.items():
            url = url.replace(f"//{address}/", f"//{link.listen}/")
        return url

    async def leave(self):
        self.leaving = True
        self.drain_until = time.monotonic() + DRAIN_S + 0.2
        while not await self.send("PUT", self.report()):
            await asyncio.sleep(0.1)
        self.stage.record.add(f"worker {self.name} is draining, acknowledged")
        await asyncio.sleep(DRAIN_S + 0.2)
        self.beat_task.cancel()
        for link in self.links.values():
            link.drops_answers = TROUBLE
        sent_at = time.monotonic()
        self.stage.record.add(f"worker {self.name} sends DELETE")
        if not await self.send("DELETE", None):
            left_s = sent_at + UNACKED_S - time.monotonic()
            await asyncio.sleep(max(0.0, left_s))
        await self.end("worker left")


async def play(folder):
    stage = Stage(folder)
    history = []
    leaving = None
    try:
        await stage.start(configuration())
        leaving = LeavingWorker(stage, 0, history)
        await leaving.open_links()
        await leaving.boot()
        await asyncio.sleep(4.0)
        job_id, _ = await stage.submit(
            {
                "spec": f'{{"work_s": {WORK_S}}}',
                "steps": [{"count": 2, "cpu": 2000, "mem_mb": 256, "estimate_ms": 900}],
            }
        )
        await asyncio.sleep(0.5)
        other = Worker(stage, 1, history)
        await other.boot()
        await asyncio.sleep(0.5)
        await leaving.leave()
        deadline = time.monotonic() + 40
        state = ""
        while time.monotonic() < deadline and state != "completed":
            await asyncio.sleep(0.5)
            state = await stage.state(job_id)
        stage.record.add(f"the job is shown as {state}")
        return overlaps(stage, history)
    finally:
        if leaving is not None:
            await leaving.close_links()
        await stage.stop()


def overlaps(stage, history):
    broken = []
    now = time.monotonic()
    for one in history:
        for other in history:
            if one[0] != other[0] or one[1] >= other[1]:
                continue
            together_s = min(one[4] or now, other[4] or now) - max(one[3], other[3])
            if together_s <= 0:
                continue
            line = (
                f"TWICE: {one[0]} runs as {one[1]} on {one[2]} and as {other[1]} on "
                f"{other[2]} at the same time for {together_s:.3f} s"
            )
            stage.record.add(line)
            broken.append(line)
    return broken


if __name__ == "__main__":
    run_case(HERE, play)
    sys.exit(2)
