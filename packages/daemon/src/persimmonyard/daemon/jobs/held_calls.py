"""Calls that wait for the leader, sent in the order of their arrival."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from persimmonyard.daemon.jobs.rpc import CallReply

__all__ = ["Attempt", "HeldCalls"]


class Attempt(NamedTuple):
    """A call that is being sent to a process.

    The result is None if the outcome is unknown.
    """

    address: str
    reply: asyncio.Task[CallReply | None]


class _HeldCall(NamedTuple):
    """A call without a reply, and what sends it to the leader."""

    attempt: asyncio.Future[Attempt]
    start: Callable[[], Attempt]


class HeldCalls:
    """The calls of a process that have no reply yet.

    A caller whose call overtakes an earlier one of its own would see the state
    of the leader go back.  So once a leader is found, all calls are sent to it
    at once, in the order of their arrival, and before any call that arrives
    later.
    """

    def __init__(self) -> None:
        self._arrivals = itertools.count()
        self._call_by_arrival: dict[int, _HeldCall] = {}

    def __len__(self) -> int:
        return len(self._call_by_arrival)

    def arrive(self) -> int:
        """Return the number of a call in the order of arrival."""
        return next(self._arrivals)

    @contextlib.contextmanager
    def hold(
        self, arrival: int, start: Callable[[], Attempt]
    ) -> Iterator[asyncio.Future[Attempt]]:
        """Hold a call, which ``start`` sends as soon as a leader is found.

        The attempt belongs to the caller, unless the block raises an error.
        """
        attempt: asyncio.Future[Attempt] = asyncio.get_running_loop().create_future()
        self._call_by_arrival[arrival] = _HeldCall(attempt, start)
        try:
            yield attempt
        except BaseException:
            if attempt.done():
                attempt.result().reply.cancel()
            raise
        finally:
            del self._call_by_arrival[arrival]

    def send(self) -> None:
        """Send all calls because a leader has been found."""
        for arrival in sorted(self._call_by_arrival):
            call = self._call_by_arrival[arrival]
            if not call.attempt.done():
                call.attempt.set_result(call.start())
