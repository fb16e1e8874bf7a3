"""Protects a leader's term from answers that an adapter does not expect."""

from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec

from persimmonyard.daemon.jobs.upstream_client import (
    NoAnswerError,
    OrderReply,
    RunListing,
    StartOrder,
    Target,
    UpstreamClient,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.jobs import TaskKey

__all__ = ["UpstreamGuard"]

_Answer = TypeVar("_Answer", OrderReply, RunListing | OrderReply)


class UpstreamGuard:
    """Turns unexpected errors in calls to an upstream into missing answers.

    An error that escapes from the supervision of one upstream ends the term
    and with it the supervision of all.  An answer with a value that a log
    entry cannot hold counts as an error.  The first error of an upstream is
    logged, and the next one after an answer.
    """

    def __init__(self, client: UpstreamClient):
        self._client = client
        self._log = get_logger("upstreams")
        self._failing_ids: set[str] = set()

    async def start(self, target: Target, order: StartOrder) -> OrderReply:
        """Start a run."""
        return await self._checked(target, self._client.start(target, order))

    async def stop(
        self, target: Target, task_key: TaskKey, run: int, fence: int
    ) -> OrderReply:
        """Stop a run, or prevent its start if it has not started."""
        return await self._checked(
            target, self._client.stop(target, task_key, run, fence)
        )

    async def renew(
        self,
        target: Target,
        until_ms: int,
        fence: int,
        acknowledged_end: int,
        wait_ms: int,
    ) -> RunListing | OrderReply:
        """Renew the lease of all runs and wait for an end."""
        call = self._client.renew(target, until_ms, fence, acknowledged_end, wait_ms)
        return await self._checked(target, call)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _checked(
        self, target: Target, call: Coroutine[Any, Any, _Answer]
    ) -> _Answer:
        try:
            answer = await call
            msgspec.msgpack.encode(answer)
        except NoAnswerError:
            raise
        except Exception as error:
            if target.upstream_id not in self._failing_ids:
                self._failing_ids.add(target.upstream_id)
                self._log.error(
                    "call to upstream failed",
                    upstream=target.upstream_id,
                    address=target.address,
                    exc_info=error,
                )
            raise NoAnswerError(f"{type(error).__name__} {error}") from error
        self._failing_ids.discard(target.upstream_id)
        return answer
