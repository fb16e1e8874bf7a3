"""A withdrawal that a cut has held up undoes a later evacuation."""

import asyncio
import sys
import time
from pathlib import Path

from stage import TROUBLE, Link, Stage, Worker, configuration, run_case

HERE = Path(__file__).parent
ZONE = "z1"
EVACUATE_S = 5.0
CONTACT_S = 3.0
CUT_S = 5.5


class ZoneWorker(Worker):
    """A worker in a zone of its own."""

    zone = ZONE

    def report(self):
        return {**super().report(), "zone": self.zone}


async def order(stage, method, addresses):
    """Give an order as the operator does; return when it was acknowledged."""
    for address in addresses:
        url = f"http://{address}/api/evacuation/{ZONE}"
        status, _ = await stage.request(method, url)
        stage.record.add(f"operator: {method} {ZONE} to {address} -> {status}")
        if 200 <= status < 300:
            return time.monotonic()
    return None


def job():
    """Return a job that fills the four workers, or those of z2 twice."""
    return {
        "spec": '{"work_s": 0.5}',
        "steps": [{"count": 8, "cpu": 16_000, "mem_mb": 256, "estimate_ms": 500}],
    }


async def play(folder):
    stage = Stage(folder, zones=(ZONE, "z2"))
    history = []
    link = None
    try:
        await stage.start(configuration())
        workers = [ZoneWorker(stage, number, history) for number in range(4)]
        for worker in workers[2:]:
            worker.zone = "z2"
        for worker in workers:
            await worker.boot()
        await asyncio.sleep(4.0)
        first, *others = [process.address for process in stage.controls]
        port = first.rpartition(":")[2]
        link = Link(stage, f"{stage.subnet}.60:{port}", first)
        await link.start()
        await order(stage, "POST", [link.listen])
        await asyncio.sleep(2.0)
        cut_at = time.monotonic()
        if TROUBLE:
            link.cut()
        await order(stage, "DELETE", [link.listen, *others])
        await asyncio.sleep(1.0)
        acknowledged_at = await order(stage, "POST", others)
        await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        healed_at = time.monotonic()
        if TROUBLE:
            link.heal()
        counts_from = max(acknowledged_at + EVACUATE_S, healed_at + CONTACT_S)
        await asyncio.sleep(counts_from + 0.5 - time.monotonic())
        for _ in range(5):
            await stage.submit(job())
            await asyncio.sleep(1.0)
        names = {worker.name for worker in workers[:2]}
        late = [row for row in history if row[2] in names and row[3] > counts_from]
        if not late:
            return []
        waited_s = late[0][3] - acknowledged_at
        broken = (
            f"EVAC: {len(late)} tasks start in {ZONE}, the first {waited_s:.1f} s after "
            "the ack of its evacuation, which nobody has withdrawn since"
        )
        stage.record.add(broken)
        return [broken]
    finally:
        if link is not None:
            await link.stop()
        await stage.stop()


if __name__ == "__main__":
    run_case(HERE, play)
    sys.exit(2)
