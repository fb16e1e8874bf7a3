"""Random fault injection: consecutive and concurrent faults from a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from soak.deployment import TOLERATED_LOSSES, SoakDeployment

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
# Minimum time between two losses of a disk, in seconds.
DISK_LOSS_INTERVAL_S = 6.0
# Range of the time between two replacements or losses of several disks, of the
# time from a loss to the start of the successor, and of the time for which the
# successor of a stopped process runs beside it, in seconds.
REPLACEMENT_INTERVAL_S = (2.0, 5.0)
SUCCESSOR_S = (0.3, 1.5)
PLANNED_S = (0.5, 4.0)
# With replacements, a control process counts as faulty for this long after its
# start and after the end of a fault, in seconds.
CATCH_UP_S = 4.0


class FaultInjector:
    """Injects random faults into a deployment and undoes each of them.

    At most ``TOLERATED_LOSSES`` control processes have faults at a time; a
    kill of all of them is the exception.  With ``replacements``, control
    processes are also replaced for good, and several lose their disks at once.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        log_fault: Callable[[str], None],
        replacements: bool = False,
    ):
        self._deployment = deployment
        self._log_fault = log_fault
        self._replacements = replacements
        self._rng = random.Random(deployment.seed + 1)
        self._replacement_rng = random.Random(deployment.seed + 2)
        self._faulty_names: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._disk_lost_at = float("-inf")

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds and wait until all are undone."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        if self._replacements:
            self._start(self._replace_controls(deadline))
        while loop.time() < deadline:
            fault, names = self._choose_fault()
            if names:
                self._start_fault(fault, names)
            await asyncio.sleep(self._rng.uniform(*START_INTERVAL_S))
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _start_fault(
        self, fault: Callable[[str], Awaitable[None]], names: list[str]
    ) -> None:
        self._faulty_names.update(names)
        self._start(self._inject(fault, names))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace_controls(self, deadline: float) -> None:
        """Start replacements and losses of one or more disks until a time."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(CATCH_UP_S)
        while loop.time() < deadline:
            fault, names = self._choose_loss()
            if names:
                self._start_fault(fault, names)
            await asyncio.sleep(self._replacement_rng.uniform(*REPLACEMENT_INTERVAL_S))

    def _choose_loss(self) -> tuple[Callable[[str], Awaitable[None]], list[str]]:
        """Return a loss of disks, and the control processes for it.

        One process of the first group is never replaced, because upstreams
        know no others from their start on.
        """
        rng = self._replacement_rng
        names = self._deployment.control_names
        fault = rng.choice((self._replace, self._replace, self._replace_planned))
        if rng.random() < 0.35:
            fault = self._wipe
        sound = [name for name in names if name not in self._faulty_names]
        count = TOLERATED_LOSSES - (len(names) - len(sound))
        candidates = sound
        if fault != self._wipe:
            first_names = self._deployment.first_control_names
            remaining = [name for name in names if name in first_names]
            candidates = [name for name in sound if name not in remaining[:1]]
        if count <= 0 or not candidates:
            return fault, []
        count = min(rng.randint(1, count), len(candidates))
        return fault, rng.sample(candidates, count)

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
        if faulty_count >= TOLERATED_LOSSES:
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
        self._log_fault(f"{fault.__name__.strip('_')} {' '.join(names)}")
        try:
            await asyncio.gather(*[fault(name) for name in names])
        finally:
            for name in names:
                if name in self._deployment.names():
                    self._deployment.start_process(name)
            if self._replacements and names[0] in self._deployment.control_names:
                await asyncio.sleep(CATCH_UP_S)
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

    async def _replace(self, name: str) -> None:
        """Lose a control process for good; its successor comes later."""
        self._deployment.send_signal(name, signal.SIGKILL)
        await asyncio.sleep(self._replacement_rng.uniform(*SUCCESSOR_S))
        successor = self._add_successor(name)
        self._deployment.remove_control(name)
        await self._start_successor(successor)

    async def _replace_planned(self, name: str) -> None:
        """Start the successor, and stop the control process later."""
        successor = self._add_successor(name)
        started = asyncio.create_task(self._start_successor(successor))
        await asyncio.sleep(self._replacement_rng.uniform(*PLANNED_S))
        self._deployment.send_signal(name, signal.SIGTERM)
        await self._wait_exit(name)
        self._deployment.remove_control(name)
        await started

    def _add_successor(self, name: str) -> str:
        successor = self._deployment.add_successor(name)
        self._faulty_names.add(successor)
        self._log_fault(f"successor of {name}: {successor}")
        return successor

    async def _start_successor(self, name: str) -> None:
        self._deployment.start_process(name)
        await asyncio.sleep(CATCH_UP_S)
        self._faulty_names.discard(name)

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
