"""One entry's stream as the control leader sees it."""

import asyncio
from dataclasses import dataclass, field

from persimmonyard.wire import (
    ConfigurationUpdate,
    DispatchOrder,
    LeaderBeat,
    Outcome,
)

__all__ = ["EntrySession"]

# An entry that reads slower than this is cut off; it connects again and gets
# the current state in place of the backlog.
MAX_OUTBOX_MESSAGES = 20_000


@dataclass
class EntrySession:
    """The lease, the outbox and the knowledge of one entry process.

    ``expires_at`` is on the leader's monotonic clock.  ``sent_by_request``
    holds the fence, and the attempt state with the lost members, that were
    last sent for a request.
    """

    entry_id: str
    zone: str
    expires_at: float
    sent_version: int
    confirmed_version: int
    outbox: asyncio.Queue[LeaderBeat | None] = field(default_factory=asyncio.Queue)
    stopping: bool = False
    closed: bool = False
    watched_ids: set[str] = field(default_factory=set)
    sent_order_by_request: dict[str, tuple[int, str]] = field(default_factory=dict)

    def push(
        self,
        update: ConfigurationUpdate | None = None,
        orders: tuple[DispatchOrder, ...] = (),
        outcomes: tuple[Outcome, ...] = (),
    ) -> None:
        """Send something outside the reply to a beat."""
        self.send(LeaderBeat(0, 0.0, update, orders, outcomes))

    def send(self, beat: LeaderBeat) -> None:
        """Queue a message, or close the session if the entry lags too far."""
        if self.outbox.qsize() >= MAX_OUTBOX_MESSAGES:
            self.close()
            return
        self.outbox.put_nowait(beat)

    def close(self) -> None:
        """End the stream; ``None`` in the outbox wakes its writer."""
        if not self.closed:
            self.closed = True
            self.outbox.put_nowait(None)
