"""The interface for calls to upstreams, independent of the wire format."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from persimmonyard.jobs import TaskEnd, TaskKey

__all__ = [
    "EndedRun",
    "NoAnswerError",
    "NotDeliveredError",
    "OrderReply",
    "OrderResult",
    "RunListing",
    "RunningRun",
    "StartOrder",
    "Target",
    "UpstreamClient",
]


class NoAnswerError(Exception):
    """A call got no answer; it is unknown whether it was executed."""


class NotDeliveredError(NoAnswerError):
    """A call did not reach the upstream, which refused the connection."""


class Target(NamedTuple):
    """The upstream that is called.

    The call names only its identifier, which a later incarnation may have as
    well.
    """

    upstream_id: str
    address: str
    incarnation: int = 0


class StartOrder(NamedTuple):
    """An order to start a run of a task.

    ``until_ms`` is the end of its lease on the upstream's clock, ``fence`` the
    fencing token, and ``checkpoint`` the one to resume from, or "".
    """

    task_key: TaskKey
    run: int
    payload: str
    until_ms: int
    fence: int
    checkpoint: str


class OrderResult(StrEnum):
    """The result of an order to an upstream."""

    DONE = "done"
    STALE_FENCE = "stale_fence"
    OLD_RUN = "old_run"
    LEASE_OVER = "lease_over"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_UPSTREAM = "other_upstream"
    INVALID = "invalid"


class OrderReply(NamedTuple):
    """The reply to an order, and the upstream's clock if it was sent."""

    result: OrderResult
    clock_ms: int | None = None


class RunningRun(NamedTuple):
    """A run that is present on an upstream; ``percent`` is its progress."""

    task_key: TaskKey
    run: int
    checkpoint: str
    percent: int


class EndedRun(NamedTuple):
    """The end of a run; ``number`` increases within an incarnation."""

    number: int
    task_key: TaskKey
    run: int
    end: TaskEnd
    checkpoint: str


class RunListing(NamedTuple):
    """All runs on an upstream, and the ends that are not acknowledged.

    An upstream lists its ends in pages.  If ``complete`` is false, it may have
    more ends than those listed, and a run that is not listed may have ended.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    complete: bool = True


class UpstreamClient(Protocol):
    """Client for calls to upstreams.

    Each call raises ``NoAnswerError`` if it gets no answer.
    """

    async def start(self, target: Target, order: StartOrder) -> OrderReply:
        """Start a run; an order that is sent again gets the same answer."""

    async def stop(
        self, target: Target, task_key: TaskKey, run: int, fence: int
    ) -> OrderReply:
        """Stop a run, or prevent its start if it has not started."""

    async def renew(
        self,
        target: Target,
        until_ms: int,
        fence: int,
        acknowledged_end: int,
        wait_ms: int,
    ) -> RunListing | OrderReply:
        """Renew the lease of all runs to ``until_ms`` and wait for an end.

        If ``until_ms`` is 0, the lease is not renewed.  The upstream deletes
        the ends up to number ``acknowledged_end``.  It waits up to
        ``wait_ms`` for a further end before it answers.
        """

    async def close(self) -> None:
        """Close all connections."""
