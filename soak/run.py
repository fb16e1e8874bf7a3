"""Run soaks: ``python -m soak.run --seed N --seconds S --count C``."""

import asyncio
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from soak.checks import check
from soak.clients import Clients
from soak.deployment import SoakDeployment
from soak.faults import Faults
from soak.records import Seen

__all__ = ["soak"]

# How long the first configuration may take, in seconds.
START_S = 60.0

app = typer.Typer(add_completion=False)


def _watch_deaths(deployment: SoakDeployment, seen: Seen) -> None:
    """Record when an upstream is killed, whoever asks for it."""
    kill = deployment.kill

    def recorded(name: str) -> None:
        kill(name)
        if name in deployment.upstream_names:
            seen.deaths.append((time.monotonic(), name))

    deployment.kill = recorded  # type: ignore[method-assign]


async def soak(deployment: SoakDeployment, seconds: float) -> list[str]:
    """Run one soak and return the promises that were broken."""
    seen = Seen()
    _watch_deaths(deployment, seen)

    def note(fault: str) -> None:
        with open(deployment.folder / "faults.log", "a") as log:
            log.write(f"{time.monotonic():.3f} {fault}\n")

    deployment.start()
    try:
        async with Clients(deployment, seen) as clients:
            async with asyncio.timeout(START_S):
                await clients.first_configuration()
            running = asyncio.create_task(clients.run())
            await Faults(deployment, note).run(seconds)
            clients.stop()
            await running
            await clients.finish()
            await _read_back(clients, seen)
        broken = check(deployment.events(), seen)
        for name in deployment.exited():
            broken.append(f"{name} has exited")
        accepted = [job for job in seen.job_by_id.values() if job.accepted_at]
        if not accepted:
            broken.append("no job was accepted")
        print(
            f"seed {deployment.seed}: {len(seen.job_by_id)} jobs, "
            f"{len(accepted)} accepted, {len(seen.acknowledged)} configurations, "
            f"{len(broken)} broken promises",
            flush=True,
        )
        return broken
    finally:
        deployment.stop()


async def _read_back(clients: Clients, seen: Seen) -> None:
    """Read the configuration until an answer comes, after the last change."""
    await asyncio.sleep(2.5)
    for _ in range(50):
        if await clients.read_once():
            return
        await asyncio.sleep(0.2)
    seen.unfinished.append("the configuration cannot be read")


@app.command()
def main(
    seed: Annotated[int, typer.Option(help="The first seed; 0: from the time.")] = 0,
    seconds: Annotated[float, typer.Option(help="How long faults come.")] = 20.0,
    count: Annotated[int, typer.Option(help="How many seeds, one by one.")] = 1,
    slot: Annotated[int, typer.Option(help="Tells parallel runs apart, 1-200.")] = 1,
) -> None:
    """Soak the job service; the logs of failed seeds are kept."""
    first = seed or int(time.time())
    failed = 0
    for number in range(first, first + count):
        print(f"seed {number}", flush=True)
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        broken = asyncio.run(soak(SoakDeployment(folder, number, slot), seconds))
        if not broken:
            shutil.rmtree(folder)
            continue
        failed += 1
        print("\n".join(broken[:20]))
        print(f"logs: {folder.name} in the folder for temporary files")
        print(f"again: python -m soak.run --seed {number} --seconds {seconds:g}")
    print(f"{count - failed} of {count} seeds kept every promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    app()
