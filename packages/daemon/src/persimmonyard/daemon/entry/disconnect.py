"""Cancellation of work when its caller disconnects."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from litestar import Request

from persimmonyard.model import PersimmonyardError, ResultCode

__all__ = ["cancel_on_disconnect"]

T = TypeVar("T")


async def cancel_on_disconnect(request: Request, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of ``work``, or cancel it if the caller disconnects.

    The body of the call must already have been read.  A command that has not
    been sent to the leader when the caller disconnects is not sent.
    """
    task = asyncio.create_task(work)
    disconnected = asyncio.create_task(_wait_for_disconnect(request))
    try:
        await asyncio.wait({task, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise PersimmonyardError(ResultCode.TIMEOUT, "the caller closed the connection")
    finally:
        task.cancel()
        disconnected.cancel()


async def _wait_for_disconnect(request: Request) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
