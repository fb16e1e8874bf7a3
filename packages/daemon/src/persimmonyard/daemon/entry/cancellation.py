"""Cancellation of calls without interrupting their clean-up."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import anyio

__all__ = ["ScopedCalls"]

T = TypeVar("T")


class ScopedCalls:
    """Runs calls of httpx so that cancellations spare their clean-up.

    httpcore protects the closing of a connection with a shielded cancel scope
    of anyio, but ``Task.cancel`` ignores such scopes.  A connection whose
    closing it interrupts counts as in use for as long as its pool exists.
    Each call therefore runs in a task of its own, which is cancelled through
    a cancel scope, for example::

        calls = ScopedCalls()
        response = await calls.run(client.post(url))
    """

    def __init__(self) -> None:
        # The event loop holds only weak references to tasks.
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self, call: Coroutine[Any, Any, T]) -> T:
        """Return the result of a call; a cancellation does not wait for it."""
        scope = anyio.CancelScope()
        task = asyncio.create_task(_run_in_scope(scope, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            scope.cancel()
            raise


async def _run_in_scope(scope: anyio.CancelScope, call: Coroutine[Any, Any, T]) -> T:
    with scope:
        return await call
    # Only reached after a cancellation of the scope, whose caller is gone.
    raise asyncio.CancelledError
