"""Session of an entry on the control leader."""

import asyncio
from dataclasses import dataclass, field

from persimmonyard.wire import (
    ConfigurationUpdate,
    DispatchOrder,
    LeaderBeat,
    Outcome,
)

__all__ = ["EntrySession"]

# An entry with more unread messages than this is disconnected.  When it
# reconnects, it receives the current state instead of the backlog.
MAX_OUTBOX_MESSAGES = 20_000


@dataclass
class EntrySession:
    """The lease of one entry process, its outbox and what it has been sent.

    ``expires_at`` is the end of the lease on the leader's monotonic clock.
    ``sent_version`` and ``confirmed_version`` are versions of the
    configuration.  ``watched_ids`` holds the requests whose outcome the entry
    waits for.  ``sent_order_by_request`` holds the fence, and the attempt
    state with the lost members, of the last order sent for a request.
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
        """Send a message that is not the reply to a beat."""
        self.send(LeaderBeat(0, 0.0, update, orders, outcomes))

    def send(self, beat: LeaderBeat) -> None:
        """Queue a message, or close the session if the outbox is full.

        Messages to a closed session are dropped: the next session of the
        entry begins with the current state.
        """
        if self.closed:
            return
        if self.outbox.qsize() >= MAX_OUTBOX_MESSAGES:
            self.close()
            return
        self.outbox.put_nowait(beat)

    def close(self) -> None:
        """End the stream.

        ``None`` in the outbox wakes the coroutine that writes the stream.
        """
        if not self.closed:
            self.closed = True
            self.outbox.put_nowait(None)
