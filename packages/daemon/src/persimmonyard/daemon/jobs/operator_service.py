"""The operations of operators, at any control process.

A process that does not lead passes them on to the leader over the connection
between the control processes.  A redirect would cost the operator a second
answer, which a lossy network may drop as well.
"""

from typing import Any

from persimmonyard.daemon.jobs.job_service import JobService
from persimmonyard.daemon.jobs.leader_client import LeaderClient
from persimmonyard.daemon.jobs.rpc import (
    CallReply,
    ConfigurationOrder,
    ConfigurationQuery,
    OperatorCall,
    OperatorOrder,
    Outcome,
    ZoneOrder,
)
from persimmonyard.daemon.jobs.stall_clock import StallClock
from persimmonyard.daemon.logs import get_logger
from persimmonyard.jobs import InvalidCommandError
from persimmonyard.replication import (
    NotLeaderError,
    OutcomeUnknownError,
    boottime_now,
)

__all__ = ["OperatorService"]

# How old an order may be when the leader gets it, in seconds; operators call
# another process after a second without a response.
_ORDER_VALID_S = 0.8


class OperatorService:
    """Executes operators' orders here or passes them on to the leader.

    All methods raise ``NotLeaderError`` if no leader has executed the order,
    and ``OutcomeUnknownError`` if one may have.  ``stall_clock`` tells how old
    an order may be that has just been read.
    """

    def __init__(
        self,
        job_service: JobService,
        leader_client: LeaderClient,
        stall_clock: StallClock,
    ):
        self._job_service = job_service
        self._leader_client = leader_client
        self._stall_clock = stall_clock
        self._log = get_logger("operators")

    async def execute(self, order: OperatorOrder) -> CallReply:
        """Return the leader's reply, with outcome ``OK`` or a refusal.

        An order on a zone whose operator may have left meanwhile is not
        executed: a newer one may have been given to another process.  A
        configuration has a version, which tells that it is out of date.
        """
        valid_s = _ORDER_VALID_S
        if isinstance(order, ZoneOrder):
            valid_s -= self._stall_clock.longest_wait_s()
        if valid_s <= 0:
            _log_late(self._log, order, -valid_s)
            raise NotLeaderError("")
        try:
            return await self._execute_here(order)
        except NotLeaderError:
            pass
        reply = await self._leader_client.forward(order, valid_s)
        self._log.info(
            "order passed on",
            order=type(order).__name__,
            outcome=str(reply.outcome),
            detail=reply.detail,
        )
        if reply.outcome == Outcome.NOT_LEADER:
            raise NotLeaderError("")
        if reply.outcome == Outcome.UNKNOWN:
            raise OutcomeUnknownError("the leader did not answer in time")
        return reply

    async def answer(self, call: OperatorCall) -> CallReply:
        """Execute an order that another process has passed on.

        An order that arrives after its expiry is not executed.
        """
        late_s = boottime_now() - call.expires_at
        if late_s >= 0:
            _log_late(self._log, call.order, late_s)
            return CallReply(Outcome.NOT_LEADER)
        try:
            return await self._execute_here(call.order)
        except NotLeaderError:
            return CallReply(Outcome.NOT_LEADER)
        except OutcomeUnknownError as error:
            return CallReply(Outcome.UNKNOWN, detail=str(error))

    async def _execute_here(self, order: OperatorOrder) -> CallReply:
        try:
            return await self._execute_on_leader(order)
        except InvalidCommandError as error:
            return CallReply(Outcome.INVALID, detail=str(error))

    async def _execute_on_leader(self, order: OperatorOrder) -> CallReply:
        match order:
            case ConfigurationOrder(configuration):
                problem = await self._job_service.put_configuration(configuration)
                if problem:
                    return CallReply(Outcome.INVALID, detail=problem)
            case ZoneOrder(zone, out):
                await self._job_service.set_zone(zone, out)
            case ConfigurationQuery():
                current = self._job_service.configuration()
                if current is None:
                    return CallReply(Outcome.NO_CONFIGURATION)
                return CallReply(Outcome.OK, content=current.text)
        return CallReply(Outcome.OK)


def _log_late(log: Any, order: OperatorOrder, late_s: float) -> None:
    log.warning(
        "late order refused",
        order=type(order).__name__,
        late_ms=int(late_s * 1_000),
    )
