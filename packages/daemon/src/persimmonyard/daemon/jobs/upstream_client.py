"""What the leader tells upstreams and hears back, without its wire form."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from persimmonyard.jobs import TaskEnd, TaskKey

__all__ = [
    "EndedRun",
    "NoAnswerError",
    "OrderReply",
    "OrderResult",
    "RunListing",
    "RunningRun",
    "StartOrder",
    "Target",
    "UpstreamClient",
]


class NoAnswerError(Exception):
    """A call got no answer; an order may have been carried out."""


class Target(NamedTuple):
    """The upstream that is called."""

    upstream_id: str
    address: str


class StartOrder(NamedTuple):
    """Start a run of a task; ``until_ms`` is on the upstream's clock."""

    task_key: TaskKey
    run: int
    payload: str
    until_ms: int
    fence: int
    checkpoint: str


class OrderResult(StrEnum):
    """What an upstream did with an order."""

    DONE = "done"
    STALE_FENCE = "stale_fence"
    OLD_RUN = "old_run"
    LEASE_OVER = "lease_over"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_UPSTREAM = "other_upstream"
    INVALID = "invalid"


class OrderReply(NamedTuple):
    """The answer to an order, with the upstream's clock if it was told."""

    result: OrderResult
    clock_ms: int | None = None


class RunningRun(NamedTuple):
    """A run that is present; ``percent`` is its progress."""

    task_key: TaskKey
    run: int
    checkpoint: str
    percent: int


class EndedRun(NamedTuple):
    """An end; ``number`` rises within one incarnation."""

    number: int
    task_key: TaskKey
    run: int
    end: TaskEnd
    checkpoint: str


class RunListing(NamedTuple):
    """Everything that an upstream runs, and the ends not yet forgotten."""

    clock_ms: int
    incarnation: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class UpstreamClient(Protocol):
    """Calls to upstreams; each raises ``NoAnswerError`` without an answer."""

    async def start(self, target: Target, order: StartOrder) -> OrderReply:
        """Start a run; the same run again is answered the same way."""

    async def stop(
        self, target: Target, name: TaskKey, run: int, fence: int
    ) -> OrderReply:
        """Stop a run, or make sure that it never begins."""

    async def renew(
        self, target: Target, until_ms: int, fence: int, seen: int, wait_ms: int
    ) -> RunListing | OrderReply:
        """Renew the lease of all runs and wait for an end.

        Ends up to number ``seen`` are forgotten.
        """

    async def close(self) -> None:
        """Close all connections."""
