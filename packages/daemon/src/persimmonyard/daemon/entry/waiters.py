"""Registry of the callers that wait for the outcome of a request."""

import asyncio

from persimmonyard.wire import Outcome

__all__ = ["Waiter", "Waiters"]


class Waiter:
    """One waiting caller; a context manager that unregisters it on exit."""

    def __init__(self, waiters: "Waiters", request_id: str):
        self.request_id = request_id
        self.future: asyncio.Future[Outcome | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters = waiters

    def __enter__(self) -> "Waiter":
        return self

    def __exit__(self, *exception: object) -> None:
        self._waiters.remove(self)

    async def wait(self, wait_s: float) -> Outcome | None:
        """Return the outcome, or ``None`` after ``wait_s`` seconds.

        Also returns ``None`` as soon as the process starts to shut down.
        """
        try:
            return await asyncio.wait_for(self.future, wait_s)
        except TimeoutError:
            return None


class Waiters:
    """All waiting callers, and the requests that the leader must watch.

    A watch asks the leader to push the outcome of a request.  The leader
    answers a new watch immediately if the request has already ended, so no
    outcome is missed between the command and the watch.
    """

    def __init__(self) -> None:
        self.stopping = False
        self._waiters_by_id: dict[str, set[Waiter]] = {}
        self._unwatched_ids: set[str] = set()
        self._count = 0

    def count(self) -> int:
        """Return the number of waiting callers."""
        return self._count

    def add(self, request_id: str) -> Waiter:
        """Register a caller that waits for the outcome of a request."""
        waiter = Waiter(self, request_id)
        if self.stopping:
            waiter.future.set_result(None)
        if request_id not in self._waiters_by_id:
            self._waiters_by_id[request_id] = set()
            self._unwatched_ids.add(request_id)
        self._waiters_by_id[request_id].add(waiter)
        self._count += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Unregister a caller; drop an unsent watch that nobody else needs."""
        self._count -= 1
        waiters = self._waiters_by_id.get(waiter.request_id, set())
        waiters.discard(waiter)
        if not waiters:
            self._waiters_by_id.pop(waiter.request_id, None)
            self._unwatched_ids.discard(waiter.request_id)

    def resolve(self, outcome: Outcome) -> None:
        """Deliver an outcome to the callers that wait for it."""
        for waiter in self._waiters_by_id.pop(outcome.request_id, set()):
            if not waiter.future.done():
                waiter.future.set_result(outcome)

    def stop(self) -> None:
        """Release all callers without an outcome.

        Callers that are added later are released immediately.
        """
        self.stopping = True
        for waiters in self._waiters_by_id.values():
            for waiter in waiters:
                if not waiter.future.done():
                    waiter.future.set_result(None)

    def take_unwatched_ids(self) -> tuple[str, ...]:
        """Return the requests that no beat of this session has watched yet."""
        taken = tuple(self._unwatched_ids)
        self._unwatched_ids = set()
        return taken

    def rewatch_all(self) -> None:
        """Watch all requests again, for a new session."""
        self._unwatched_ids = set(self._waiters_by_id)
