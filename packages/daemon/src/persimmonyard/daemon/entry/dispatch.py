"""Dispatch of attempts: prepare, start, renew, fetch, stop."""

import asyncio
import time

from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.upstream_calls import (
    TaskAnswer,
    TaskStatus,
    UpstreamCalls,
    UpstreamUnreachableError,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.daemon.timing import RENEWAL_S, START_PERMIT_S, TASK_LEASE_S
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CommandResult, EndAttempt, StartAttempt
from persimmonyard.state.records import AttemptOutcome, MemberAnswer
from persimmonyard.wire import DispatchAction, DispatchOrder

__all__ = ["Dispatcher"]

MAX_ANSWER_BYTES = 65_536
REPORT_WAIT_S = 30.0
FAILED_CALL_PAUSE_S = 0.3


class _SupersededError(Exception):
    """Another entry holds the attempt under a newer fence."""


class Dispatcher:
    """Carry out the orders of the control leader, one task per attempt."""

    def __init__(self, state: LocalState, leader: LeaderClient, calls: UpstreamCalls):
        self._state = state
        self._leader = leader
        self._calls = calls
        self._logger = get_logger("dispatch")
        self._run_by_request: dict[str, AttemptRun] = {}

    def take_order(self, order: DispatchOrder) -> None:
        """Start, take over or stop the attempt that ``order`` names."""
        known = self._run_by_request.get(order.request_id)
        if known is not None:
            if known.order.fence > order.fence:
                return
            if known.order.fence == order.fence:
                if order.action == DispatchAction.STOP:
                    known.stop(order)
                return
            known.task.cancel()
        run = AttemptRun(order, self._state, self._leader, self._calls)
        self._run_by_request[order.request_id] = run
        run.task.add_done_callback(lambda _: self._forget(run))

    def _forget(self, run: "AttemptRun") -> None:
        if self._run_by_request.get(run.order.request_id) is run:
            del self._run_by_request[run.order.request_id]

    def count(self) -> int:
        """Return the number of attempts in hand."""
        return len(self._run_by_request)

    async def close(self) -> None:
        """Drop all attempts; another entry takes them over."""
        for run in list(self._run_by_request.values()):
            run.task.cancel()


class AttemptRun:
    """One attempt in the hands of this entry."""

    def __init__(
        self,
        order: DispatchOrder,
        state: LocalState,
        leader: LeaderClient,
        calls: UpstreamCalls,
    ):
        self.order = order
        self._state = state
        self._leader = leader
        self._calls = calls
        self._stop_order = asyncio.Event()
        self._logger = get_logger("dispatch").bind(
            request=order.request_id, attempt=order.number, fence=order.fence
        )
        self.task = asyncio.create_task(self._run())

    def stop(self, order: DispatchOrder) -> None:
        """End the attempt because the leader said so."""
        self.order = order
        self._stop_order.set()

    async def _run(self) -> None:
        try:
            match self.order.action:
                case DispatchAction.RUN:
                    await self._run_from_start()
                case DispatchAction.ADOPT:
                    await self._supervise()
                case DispatchAction.STOP:
                    await self._stop_all(AttemptOutcome.STOPPED)
        except _SupersededError:
            self._logger.info("attempt superseded")
        except PersimmonyardError as error:
            self._logger.warning("attempt dropped", error=error.message)

    # From placed to started.

    async def _run_from_start(self) -> None:
        if not await self._prepare_all():
            await self._stop_all(AttemptOutcome.NEVER_BEGAN)
            return
        prepared_at = time.monotonic()
        started = StartAttempt(
            self.order.request_id, self.order.number, self.order.fence
        )
        result = await self._leader.execute(started)
        if result.code != 0:
            self._logger.info("start not allowed", code=result.code)
            return
        permit_ends = prepared_at + START_PERMIT_S
        if not self._state.lease_valid() or time.monotonic() >= permit_ends:
            await self._stop_all(AttemptOutcome.NEVER_BEGAN)
            return
        await self._start_all()
        await self._supervise()

    async def _prepare_all(self) -> bool:
        calls = []
        for member in range(len(self.order.members)):
            calls.append(self._calls.prepare(self.order, member))
        replies = await asyncio.gather(*calls, return_exceptions=True)
        for reply in replies:
            self._check_fence(reply)
            if isinstance(reply, BaseException) or reply.state != "prepared":
                self._logger.info("member not ready", reply=str(reply))
                return False
        return True

    async def _start_all(self) -> None:
        calls = []
        for member in range(len(self.order.members)):
            calls.append(self._calls.start(self.order, member))
        await asyncio.gather(*calls, return_exceptions=True)

    # While it runs.

    async def _supervise(self) -> None:
        """Renew all members until all finish or one is lost."""
        member_count = len(self.order.members)
        heard_at = [time.monotonic()] * member_count
        finished: set[int] = set()
        while not self._stop_order.is_set():
            statuses = await self._renew_all(finished)
            for member, status in enumerate(statuses):
                if status is None:
                    continue
                heard_at[member] = time.monotonic()
                if status.state == "finished":
                    finished.add(member)
                elif status.state == "failed":
                    await self._stop_all(
                        AttemptOutcome.FAILED, (member,), status.message
                    )
                    return
                elif status.state != "running":
                    await self._stop_all(AttemptOutcome.LOST, (member,))
                    return
            if len(finished) == member_count:
                await self._finish()
                return
            silent = self._silent_member(heard_at, finished)
            if silent is not None:
                await self._stop_all(AttemptOutcome.LOST, (silent,))
                return
        await self._stop_all(AttemptOutcome.STOPPED)

    def _silent_member(self, heard_at: list[float], finished: set[int]) -> int | None:
        limit = time.monotonic() - TASK_LEASE_S
        for member, at in enumerate(heard_at):
            if member not in finished and at < limit:
                return member
        return None

    async def _renew_all(self, finished: set[int]) -> list[TaskStatus | None]:
        calls = []
        for member in range(len(self.order.members)):
            calls.append(self._renew_one(member, finished))
        renewals: asyncio.Future = asyncio.gather(*calls)
        stop: asyncio.Future = asyncio.create_task(self._stop_order.wait())
        try:
            await asyncio.wait([renewals, stop], return_when=asyncio.FIRST_COMPLETED)
            if not renewals.done():
                renewals.cancel()
                return [None] * len(self.order.members)
            return renewals.result()
        finally:
            stop.cancel()

    async def _renew_one(self, member: int, finished: set[int]) -> TaskStatus | None:
        if member in finished:
            return None
        task = {
            "attempt": self._calls.attempt_id(self.order),
            "member": member,
            "fence": self.order.fence,
        }
        target = self.order.members[member]
        try:
            statuses = await self._calls.renew(target, [task], RENEWAL_S)
        except (UpstreamUnreachableError, PersimmonyardError) as error:
            self._check_fence(error)
            await asyncio.sleep(FAILED_CALL_PAUSE_S)
            return None
        if not statuses:
            return None
        self._check_status_fence(statuses[0])
        return statuses[0]

    # Ends.

    async def _finish(self) -> None:
        answers = []
        size = 0
        for member in range(len(self.order.members)):
            answer = await self._fetch(member)
            if answer is None:
                await self._stop_all(AttemptOutcome.LOST, (member,))
                return
            size += len(answer.body)
            answers.append(MemberAnswer(answer.body, answer.digest))
        if size > MAX_ANSWER_BYTES:
            message = f"the answer has {size} bytes, at most {MAX_ANSWER_BYTES}"
            await self._report(AttemptOutcome.FAILED, message=message)
            return
        result = await self._report(AttemptOutcome.FINISHED, tuple(answers))
        if result.code == 0:
            await self._acknowledge_all()

    async def _fetch(self, member: int) -> TaskAnswer | None:
        deadline = time.monotonic() + TASK_LEASE_S
        while time.monotonic() < deadline:
            try:
                return await self._calls.result(self.order, member)
            except (UpstreamUnreachableError, PersimmonyardError) as error:
                self._check_fence(error)
                self._logger.info("answer not fetched", error=str(error))
                await asyncio.sleep(FAILED_CALL_PAUSE_S)
        return None

    async def _acknowledge_all(self) -> None:
        calls = []
        for member in range(len(self.order.members)):
            calls.append(self._calls.acknowledge(self.order, member))
        await asyncio.gather(*calls, return_exceptions=True)

    async def _stop_all(
        self,
        outcome: AttemptOutcome,
        at_fault: tuple[int, ...] = (),
        message: str = "",
    ) -> None:
        """Stop every member and report how the attempt ended."""
        replies = await asyncio.gather(
            *(self._stop_one(index) for index in range(len(self.order.members)))
        )
        if all(reply is not None and not reply.began for reply in replies):
            outcome = AttemptOutcome.NEVER_BEGAN
        elif not at_fault and any(reply is None for reply in replies):
            outcome = AttemptOutcome.LOST
        checkpoint = ""
        if outcome == AttemptOutcome.STOPPED and self.order.checkpoint_wanted:
            checkpoint = self._common_checkpoint(replies)
            if checkpoint:
                outcome = AttemptOutcome.CHECKPOINTED
        await self._report(outcome, (), at_fault, checkpoint, message)

    def _common_checkpoint(self, replies: list[TaskStatus | None]) -> str:
        parts = []
        for reply in replies:
            if reply is None or not reply.checkpoint:
                return ""
            parts.append(reply.checkpoint)
        return ",".join(parts)

    async def _stop_one(self, member: int) -> TaskStatus | None:
        if self.order.members[member].lost:
            return None
        deadline = time.monotonic() + TASK_LEASE_S
        call = self._calls.stop
        if self.order.checkpoint_wanted:
            call = self._calls.checkpoint
        while time.monotonic() < deadline:
            try:
                reply = await call(self.order, member)
            except (UpstreamUnreachableError, PersimmonyardError) as error:
                self._check_fence(error)
                await asyncio.sleep(FAILED_CALL_PAUSE_S)
                continue
            self._check_status_fence(reply)
            return reply
        return None

    async def _report(
        self,
        outcome: AttemptOutcome,
        answers: tuple[MemberAnswer, ...] = (),
        failed_members: tuple[int, ...] = (),
        checkpoint: str = "",
        message: str = "",
    ) -> CommandResult:
        command = EndAttempt(
            self.order.request_id,
            self.order.number,
            self.order.fence,
            outcome,
            answers,
            failed_members,
            checkpoint,
            message,
        )
        result = await self._leader.execute(command, wait_s=REPORT_WAIT_S)
        self._logger.info("attempt ended", outcome=outcome.value, code=result.code)
        return result

    def _check_fence(self, reply: object) -> None:
        stale = ResultCode.STALE_FENCE
        if isinstance(reply, PersimmonyardError) and reply.code == stale:
            raise _SupersededError
        if isinstance(reply, TaskStatus):
            self._check_status_fence(reply)

    def _check_status_fence(self, status: TaskStatus) -> None:
        if status.code == ResultCode.STALE_FENCE:
            raise _SupersededError
