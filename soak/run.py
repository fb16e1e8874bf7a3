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

from soak.checks import find_violations
from soak.deployment import SoakDeployment
from soak.faults import FaultInjector
from soak.records import Observations
from soak.workload import Workload

__all__ = ["run_soak"]

# Time for the first configuration to be acknowledged, in seconds.
START_TIMEOUT_S = 60.0

app = typer.Typer(add_completion=False)


def _record_kills(deployment: SoakDeployment, observations: Observations) -> None:
    """Make ``deployment.kill`` record the kills of upstreams."""
    kill = deployment.kill

    def kill_and_record(name: str) -> None:
        kill(name)
        if name in deployment.upstream_names:
            observations.kills.append((time.monotonic(), name))

    deployment.kill = kill_and_record  # type: ignore[method-assign]


async def run_soak(
    deployment: SoakDeployment, seconds: float, replacements: bool = False
) -> list[str]:
    """Run one soak and return the violations of invariants.

    With ``replacements``, control processes are replaced for good.
    """
    observations = Observations()
    _record_kills(deployment, observations)

    def log_fault(fault: str) -> None:
        with open(deployment.folder / "faults.log", "a") as log:
            log.write(f"{time.monotonic():.3f} {fault}\n")

    deployment.start()
    try:
        async with Workload(deployment, observations) as workload:
            async with asyncio.timeout(START_TIMEOUT_S):
                await workload.put_first_configuration()
            workload_task = asyncio.create_task(workload.run())
            await FaultInjector(deployment, log_fault, replacements).run(seconds)
            workload.stop()
            await workload_task
            await workload.await_completion()
            await _read_final_configuration(workload, observations)
        violations = find_violations(deployment.upstream_log_lines(), observations)
        for name in deployment.exited_processes():
            violations.append(f"{name} has exited")
        accepted_jobs = [
            job for job in observations.job_by_id.values() if job.accepted_at
        ]
        if not accepted_jobs:
            violations.append("no job was accepted")
        print(
            f"seed {deployment.seed}: {len(observations.job_by_id)} jobs, "
            f"{len(accepted_jobs)} accepted, "
            f"{len(observations.acknowledged_versions)} configurations, "
            f"{len(violations)} violations",
            flush=True,
        )
        return violations
    finally:
        deployment.stop()


async def _read_final_configuration(
    workload: Workload, observations: Observations
) -> None:
    """Read the configuration after the last change, until an answer comes."""
    await asyncio.sleep(2.5)
    for _ in range(50):
        if await workload.read_configuration():
            return
        await asyncio.sleep(0.2)
    observations.unfinished.append("the configuration cannot be read")


@app.command()
def main(
    seed: Annotated[
        int, typer.Option(help="First seed; 0 selects the current time.")
    ] = 0,
    seconds: Annotated[float, typer.Option(help="Duration of the faults.")] = 20.0,
    count: Annotated[int, typer.Option(help="Number of consecutive seeds.")] = 1,
    slot: Annotated[int, typer.Option(help="Address range, 1-200.")] = 1,
    replacements: Annotated[
        bool, typer.Option(help="Also replace control processes for good.")
    ] = False,
) -> None:
    """Run soaks of the job service and keep the logs of failed seeds.

    Parallel runs need different slots.
    """
    first_seed = seed or int(time.time())
    failed_count = 0
    for current_seed in range(first_seed, first_seed + count):
        print(f"seed {current_seed}", flush=True)
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{current_seed}-"))
        violations = asyncio.run(
            run_soak(SoakDeployment(folder, current_seed, slot), seconds, replacements)
        )
        if not violations:
            shutil.rmtree(folder)
            continue
        failed_count += 1
        print("\n".join(violations[:20]))
        print(f"logs: {folder.name} in the temporary folder")
        option = " --replacements" if replacements else ""
        print(
            f"to repeat: python -m soak.run --seed {current_seed} "
            f"--seconds {seconds:g}{option}"
        )
    print(f"{count - failed_count} of {count} seeds passed")
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    app()
