"""Random fault injection: consecutive and concurrent faults from a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak.deployment import SoakDeployment

__all__ = ["FaultInjector"]

# Range of the time between the starts of two faults, in seconds.
START_INTERVAL_S = (0.3, 2.5)
# Range of the duration of a fault, in seconds.
DURATION_S = (0.3, 3.0)
# Range of the time in which a restarted upstream does not answer, of the time
# from its first answer to its cut-off, and of the duration of the cut-off, in
# seconds.  Leases last for up to 10 s.
DARK_S = (0.1, 0.8)
CUT_DELAY_S = (0.0, 2.0)
CUT_S = (4.0, 11.0)
RESTART_TIMEOUT_S = 20.0
# At most this many of the five control processes have faults at a time, so
# that a majority is left; a kill of all control processes is the exception.
MAX_FAULTY_CONTROLS = 2
# Minimum time between two losses of a disk, in seconds.
DISK_LOSS_INTERVAL_S = 6.0


class FaultInjector:
    """Injects random faults into a deployment and undoes each of them."""

    def __init__(self, deployment: SoakDeployment, log_fault: Callable[[str], None]):
        self._deployment = deployment
        self._log_fault = log_fault
        self._rng = random.Random(deployment.seed + 1)
        self._faulty_names: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._disk_lost_at = float("-inf")

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds and wait until all are undone."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            fault, names = self._choose_fault()
            if names:
                task = asyncio.create_task(self._inject(fault, names))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.uniform(*START_INTERVAL_S))
        await asyncio.gather(*self._tasks)

    def _choose_fault(self) -> tuple[Callable[[str], Awaitable[None]], list[str]]:
        """Return a random fault and the names of the processes for it.

        There are no names if no process may have the fault now.
        """
        deployment = self._deployment
        weights = {
            self._kill: 5,
            self._pause: 4,
            self._terminate: 4,
            self._partition: 4,
            self._partition_one_way: 3,
            self._delay: 2,
            self._reset: 3,
            self._stall_disk: 2,
            self._refuse_writes: 1,
            self._wipe: 2,
            self._kill_all: 1,
            self._leave_service: 2,
            self._restart_and_cut: 4,
        }
        fault = self._rng.choices(list(weights), list(weights.values()))[0]
        controls = [n for n in deployment.control_names if n not in self._faulty_names]
        healthy = [n for n in deployment.names() if n not in self._faulty_names]
        faulty_count = len(deployment.control_names) - len(controls)
        if faulty_count >= MAX_FAULTY_CONTROLS:
            healthy = [name for name in healthy if name not in controls]
            controls = []
        relayed = [name for name in healthy if name in deployment.relays_by_name]
        upstreams = [name for name in healthy if name in deployment.upstream_names]
        candidates_by_fault = {
            self._partition: relayed,
            self._partition_one_way: relayed,
            self._delay: relayed,
            self._reset: relayed,
            self._stall_disk: controls,
            self._refuse_writes: controls,
            self._wipe: controls if self._disk_may_be_lost() else [],
            self._leave_service: upstreams,
            self._restart_and_cut: upstreams,
            self._terminate: [n for n in healthy if n not in upstreams],
        }
        if fault == self._kill_all:
            return fault, list(deployment.control_names) if not faulty_count else []
        candidates = candidates_by_fault.get(fault, healthy)
        if fault == self._restart_and_cut and candidates:
            count = self._rng.choice((1, 2, len(candidates)))
            return fault, self._rng.sample(candidates, min(count, len(candidates)))
        return fault, [self._rng.choice(candidates)] if candidates else []

    def _disk_may_be_lost(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._disk_lost_at > DISK_LOSS_INTERVAL_S

    async def _inject(
        self, fault: Callable[[str], Awaitable[None]], names: list[str]
    ) -> None:
        self._faulty_names.update(names)
        self._log_fault(f"{fault.__name__.strip('_')} {' '.join(names)}")
        try:
            await asyncio.gather(*[fault(name) for name in names])
        finally:
            for name in names:
                self._deployment.start_process(name)
            self._faulty_names.difference_update(names)

    async def _wait_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(*DURATION_S))

    async def _wait_exit(self, name: str) -> None:
        process = self._deployment.process_by_name[name]
        await asyncio.to_thread(process.wait)

    # After each fault, the process runs on or ``_inject`` starts it again.

    async def _kill(self, name: str) -> None:
        self._deployment.kill(name)
        await self._wait_duration()

    async def _kill_all(self, name: str) -> None:
        self._deployment.kill(name)
        await asyncio.sleep(0.5)

    async def _pause(self, name: str) -> None:
        self._deployment.send_signal(name, signal.SIGSTOP)
        await self._wait_duration()
        self._deployment.send_signal(name, signal.SIGCONT)

    async def _terminate(self, name: str) -> None:
        self._deployment.send_signal(name, signal.SIGTERM)
        await self._wait_exit(name)

    async def _partition(self, name: str) -> None:
        self._deployment.block(name)
        await self._wait_duration()
        self._deployment.restore(name)

    async def _partition_one_way(self, name: str) -> None:
        up = self._rng.random() < 0.5
        self._deployment.block(name, up=up, down=not up)
        await self._wait_duration()
        self._deployment.restore(name)

    async def _delay(self, name: str) -> None:
        self._deployment.delay(name, self._rng.uniform(0.02, 0.3))
        await self._wait_duration()
        self._deployment.restore(name)

    async def _reset(self, name: str) -> None:
        self._deployment.reset(name)

    async def _stall_disk(self, name: str) -> None:
        self._deployment.send_signal(name, signal.SIGUSR1)
        await self._wait_duration()

    async def _refuse_writes(self, name: str) -> None:
        self._deployment.send_signal(name, signal.SIGUSR2)
        await self._wait_duration()

    async def _wipe(self, name: str) -> None:
        self._disk_lost_at = asyncio.get_running_loop().time()
        self._deployment.kill(name)
        self._deployment.wipe_data(name)
        await asyncio.sleep(0.2)
        self._deployment.start_process(name)
        # Leave the others time to replicate the state to the process before
        # it counts as healthy.
        await asyncio.sleep(DISK_LOSS_INTERVAL_S / 2)

    async def _leave_service(self, name: str) -> None:
        self._deployment.send_signal(name, signal.SIGUSR1)
        await self._wait_exit(name)
        await self._wait_duration()

    async def _restart_and_cut(self, name: str) -> None:
        deployment = self._deployment
        incarnations = deployment.incarnation_count(name)
        deployment.kill(name)
        deployment.start_process(name, self._rng.uniform(*DARK_S))
        async with asyncio.timeout(RESTART_TIMEOUT_S):
            while deployment.incarnation_count(name) == incarnations:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await asyncio.sleep(self._rng.uniform(*CUT_DELAY_S))
        self._log_fault(f"cut {name}")
        deployment.cut_off(name)
        await asyncio.sleep(self._rng.uniform(*CUT_S))
        deployment.end_cut(name)
        self._log_fault(f"cut ended {name}")
