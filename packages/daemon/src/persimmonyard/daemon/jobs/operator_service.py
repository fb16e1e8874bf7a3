"""The operations of operators, at any control process.

A process that does not lead passes them on to the leader over the connection
between the control processes.  A redirect would cost the operator a second
answer, which a lossy network may drop as well.
"""

import math
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
from persimmonyard.daemon.request_arrival import RequestArrival
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
# An order whose connection has to stay open for longer, in seconds, could not
# be answered in time; its operator comes back on a new connection.
_MAX_OPEN_CHECK_S = 0.3


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

    async def execute(
        self, order: OperatorOrder, arrival: RequestArrival | None = None
    ) -> CallReply:
        """Return the leader's reply, with outcome ``OK`` or a refusal.

        An order on a zone whose operator may have left meanwhile is not
        executed: a newer one may have been given to another process.  A
        configuration has a version, which tells that it is out of date.
        ``arrival`` shows how long the order may have been on its way.
        """
        valid_s = _ORDER_VALID_S
        if isinstance(order, ZoneOrder):
            valid_s = await self._check_age(order, arrival)
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

    async def _check_age(
        self, order: ZoneOrder, arrival: RequestArrival | None
    ) -> float:
        """Return for how long an order that was just read is valid.

        Raises ``NotLeaderError`` if its operator has, or may have, left.
        """
        valid_s = _ORDER_VALID_S - self._stall_clock.longest_wait_s()
        if arrival is not None:
            valid_s -= arrival.known_wait_s()
        if valid_s <= 0:
            _log_late(self._log, order, -valid_s)
            raise NotLeaderError("")
        if arrival is None:
            return valid_s
        check_s = arrival.open_check_s()
        if check_s > _MAX_OPEN_CHECK_S or not await arrival.stays_open(check_s):
            self._log.warning(
                "operator may have left",
                order=type(order).__name__,
                check_ms=int(check_s * 1_000),
            )
            raise NotLeaderError("")
        return valid_s - check_s

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
        late_ms=int(late_s * 1_000) if math.isfinite(late_s) else -1,
    )
