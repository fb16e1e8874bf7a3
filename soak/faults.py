"""Faults in series and side by side, drawn from the seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak.deployment import SoakDeployment

__all__ = ["Faults"]

# Pauses between the beginnings of two faults, in seconds.
PAUSE_S = (0.3, 2.5)
# How long a fault lasts, in seconds.
LAST_S = (0.3, 3.0)
# Control processes that may be disturbed at a time: two of five.
MOST_CONTROLS = 2
# After a disk was lost, no other one may be lost for this long, in seconds.
DISK_PAUSE_S = 6.0


class Faults:
    """Inject faults until it is cancelled; every fault is undone."""

    def __init__(self, deployment: SoakDeployment, note: Callable[[str], None]):
        self._deployment = deployment
        self._note = note
        self._random = random.Random(deployment.seed + 1)
        self._disturbed: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._disk_lost_at = float("-inf")

    async def run(self, seconds: float) -> None:
        """Inject faults for a while and wait until all are undone."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            fault, names = self._draw()
            if names:
                task = asyncio.create_task(self._inject(fault, names))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
        await asyncio.gather(*self._tasks)

    def _draw(self) -> tuple[Callable[[str], Awaitable[None]], list[str]]:
        """Return a fault and the processes that it hits."""
        deployment = self._deployment
        weights = {
            self._kill: 5,
            self._freeze: 4,
            self._terminate: 4,
            self._cut: 4,
            self._one_way: 3,
            self._delay: 2,
            self._reset: 3,
            self._stall_disk: 2,
            self._refuse_writes: 1,
            self._wipe: 2,
            self._kill_all: 1,
            self._leave: 2,
        }
        kind = self._random.choices(list(weights), list(weights.values()))[0]
        controls = [n for n in deployment.control_names if n not in self._disturbed]
        free = [n for n in deployment.names() if n not in self._disturbed]
        busy = len(deployment.control_names) - len(controls)
        if busy >= MOST_CONTROLS:
            free = [name for name in free if name not in controls]
            controls = []
        relayed = [name for name in free if name in deployment.relays_by_name]
        upstreams = [name for name in free if name in deployment.upstream_names]
        pools = {
            self._cut: relayed,
            self._one_way: relayed,
            self._delay: relayed,
            self._reset: relayed,
            self._stall_disk: controls,
            self._refuse_writes: controls,
            self._wipe: controls if self._disk_may_be_lost() else [],
            self._leave: upstreams,
            self._terminate: [n for n in free if n not in upstreams],
        }
        if kind == self._kill_all:
            return kind, list(deployment.control_names) if not busy else []
        pool = pools.get(kind, free)
        return kind, [self._random.choice(pool)] if pool else []

    def _disk_may_be_lost(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._disk_lost_at > DISK_PAUSE_S

    async def _inject(
        self, fault: Callable[[str], Awaitable[None]], names: list[str]
    ) -> None:
        self._disturbed.update(names)
        self._note(f"{fault.__name__.strip('_')} {' '.join(names)}")
        try:
            await asyncio.gather(*[fault(name) for name in names])
        finally:
            for name in names:
                self._deployment.start_process(name)
            self._disturbed.difference_update(names)

    async def _last(self) -> None:
        await asyncio.sleep(self._random.uniform(*LAST_S))

    async def _exit(self, name: str) -> None:
        process = self._deployment.process_by_name[name]
        await asyncio.to_thread(process.wait)

    # The faults; each ends with a process that runs or is started again.

    async def _kill(self, name: str) -> None:
        self._deployment.kill(name)
        await self._last()

    async def _kill_all(self, name: str) -> None:
        self._deployment.kill(name)
        await asyncio.sleep(0.5)

    async def _freeze(self, name: str) -> None:
        self._deployment.send(name, signal.SIGSTOP)
        await self._last()
        self._deployment.send(name, signal.SIGCONT)

    async def _terminate(self, name: str) -> None:
        self._deployment.send(name, signal.SIGTERM)
        await self._exit(name)

    async def _cut(self, name: str) -> None:
        self._deployment.block(name)
        await self._last()
        self._deployment.restore(name)

    async def _one_way(self, name: str) -> None:
        up = self._random.random() < 0.5
        self._deployment.block(name, up=up, down=not up)
        await self._last()
        self._deployment.restore(name)

    async def _delay(self, name: str) -> None:
        self._deployment.delay(name, self._random.uniform(0.02, 0.3))
        await self._last()
        self._deployment.restore(name)

    async def _reset(self, name: str) -> None:
        self._deployment.reset(name)

    async def _stall_disk(self, name: str) -> None:
        self._deployment.send(name, signal.SIGUSR1)
        await self._last()

    async def _refuse_writes(self, name: str) -> None:
        self._deployment.send(name, signal.SIGUSR2)
        await self._last()

    async def _wipe(self, name: str) -> None:
        self._disk_lost_at = asyncio.get_running_loop().time()
        self._deployment.kill(name)
        self._deployment.wipe(name)
        await asyncio.sleep(0.2)
        self._deployment.start_process(name)
        # The disk counts as lost until the others have brought it up to date.
        await asyncio.sleep(DISK_PAUSE_S / 2)

    async def _leave(self, name: str) -> None:
        self._deployment.send(name, signal.SIGUSR1)
        await self._exit(name)
        await self._last()
