"""An upstream in memory behind the port, and a leadership without a log."""

import asyncio
from dataclasses import dataclass, field

from persimmonyard.daemon.jobs.durations import Durations
from persimmonyard.daemon.jobs.leader_term import LeaderTerm
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.upstream_client import (
    EndedRun,
    NoAnswerError,
    OrderReply,
    OrderResult,
    RunListing,
    RunningRun,
)
from persimmonyard.jobs import JobStore, PutConfiguration, TaskEnd
from test.jobs.fixtures import configuration, report

DURATIONS = Durations(
    lease_ms=2_000,
    wait_ms=200,
    order_timeout_s=0.1,
    start_s=0.4,
    leave_s=0.2,
    retention_ms=60_000,
    heartbeat_s=600.0,
    notice_s=0.1,
    drain_s=0.1,
    beat_s=0.1,
    election_s=0.4,
    leader_lease_s=0.3,
)
CLOCK_MS = 1_000


def clock_ms():
    """Return the clock of every upstream."""
    return CLOCK_MS + int(asyncio.get_running_loop().time() * 1_000)


@dataclass
class FakeUpstream:
    """One incarnation: it obeys fences and run numbers as upstreams do."""

    incarnation: int = 1
    fence: int = 0
    running: dict = field(default_factory=dict)
    over: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    started: list = field(default_factory=list)
    leases: list = field(default_factory=list)
    number: int = 0
    seen: int = 0

    def start(self, order):
        if order.fence < self.fence:
            return OrderResult.STALE_FENCE
        self.fence = order.fence
        if self.running.get(order.task_key) == order.run:
            return OrderResult.DONE
        if order.run <= self.over.get(order.task_key, 0):
            return OrderResult.OLD_RUN
        self.running[order.task_key] = order.run
        self.started.append((order.task_key, order.run, order.checkpoint))
        return OrderResult.DONE

    def stop(self, name, run, fence):
        if fence < self.fence:
            return OrderResult.STALE_FENCE
        self.fence = fence
        self.over[name] = max(run, self.over.get(name, 0))
        if self.running.get(name) == run:
            self.end(name, TaskEnd.STOPPED, "saved")
        return OrderResult.DONE

    def end(self, name, how, checkpoint=""):
        run = self.running.pop(name)
        self.over[name] = run
        self.number += 1
        self.ended.append(EndedRun(self.number, name, run, how, checkpoint))


class FakeUpstreamClient:
    """Upstreams by address; ``silent`` and ``late`` spoil the answers."""

    def __init__(self):
        self.by_address = {}
        self.silent = set()
        # Starts that get no answer and are kept for later.
        self.late = set()
        self.kept = []
        self.looks = 0
        self.refuse = None

    def add(self, name):
        upstream = FakeUpstream()
        self.by_address[f"{name}:80"] = upstream
        return upstream

    def _reach(self, target):
        if target.upstream_id in self.silent:
            raise NoAnswerError("silent")
        return self.by_address[target.address]

    async def start(self, target, order):
        await asyncio.sleep(0)
        upstream = self._reach(target)
        if target.upstream_id in self.late:
            self.kept.append((upstream, order))
            raise NoAnswerError("late")
        if self.refuse is not None:
            return OrderReply(self.refuse, clock_ms())
        return OrderReply(upstream.start(order), clock_ms())

    async def stop(self, target, name, run, fence):
        await asyncio.sleep(0)
        return OrderReply(self._reach(target).stop(name, run, fence), clock_ms())

    async def renew(self, target, until_ms, fence, seen, wait_ms):
        self.looks += 1
        upstream = self._reach(target)
        if fence < upstream.fence:
            return OrderReply(OrderResult.STALE_FENCE)
        upstream.fence = fence
        upstream.seen = max(upstream.seen, seen)
        upstream.leases.append(until_ms)
        waited = 0
        while waited < wait_ms and not self._ends(upstream, seen):
            await asyncio.sleep(0.005)
            waited += 5
        self._reach(target)
        running = []
        for name, run in upstream.running.items():
            running.append(RunningRun(name, run, "", 10))
        ended = tuple(self._ends(upstream, seen))
        return RunListing(clock_ms(), upstream.incarnation, tuple(running), ended)

    def _ends(self, upstream, seen):
        return [one for one in upstream.ended if one.number > seen]

    async def close(self):
        pass


class Term:
    """A leadership over a store without replication."""

    def __init__(self, port, store=None, fence=1, durations=DURATIONS):
        self.store = store or JobStore()
        self.store.execute(PutConfiguration(configuration()))
        self.leading = True
        self.proposed = []
        self.lead = LeaderTerm(
            self.store,
            port,
            durations,
            fence,
            self.propose,
            lambda: self.leading,
            JobMetrics(),
        )

    async def propose(self, command):
        await asyncio.sleep(0)
        self.proposed.append(command)
        return self.store.execute(command)

    def report(self, name, **fields):
        self.lead.observe(report(name, clock_ms=clock_ms(), **fields))


async def wait_until(condition, deadline_s=10.0):
    """Wait for a condition with a generous deadline."""
    async with asyncio.timeout(deadline_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
