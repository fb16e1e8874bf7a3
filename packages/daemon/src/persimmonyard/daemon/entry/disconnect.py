"""Work for a caller that ends when the caller goes away."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from litestar import Request

from persimmonyard.model import PersimmonyardError, ResultCode

__all__ = ["cancel_on_disconnect"]

T = TypeVar("T")


async def cancel_on_disconnect(request: Request, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of ``work``, or cancel it if the caller goes away.

    The body of the call must have been read.  A command that was not sent to
    the leader by then is not sent any more.
    """
    task = asyncio.create_task(work)
    gone = asyncio.create_task(_disconnected(request))
    try:
        await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise PersimmonyardError(ResultCode.TIMEOUT, "the caller closed the connection")
    finally:
        task.cancel()
        gone.cancel()


async def _disconnected(request: Request) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
