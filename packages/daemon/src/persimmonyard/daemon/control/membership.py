"""HTTP handlers with which operators add and remove replicas."""

from typing import Any

from litestar import Request, delete, post
from litestar.handlers import HTTPRouteHandler

from persimmonyard.daemon.control.operator_auth import OperatorAuthenticator
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.replication import MemberChangeError, Replica

__all__ = ["member_handlers"]


def member_handlers(
    replica: Replica, authenticate_operator: OperatorAuthenticator
) -> list[HTTPRouteHandler]:
    """Return the HTTP handlers.

    They raise NOT_LEADER on any replica but the leader.  The leader answers
    before the change is committed; ``GET /dump`` shows the current voters and
    learners.
    """

    def check_caller_and_leadership(request: Request) -> None:
        authenticate_operator(request)
        if not replica.is_leader():
            hint = replica.leader_hint() or "another replica"
            raise PersimmonyardError(ResultCode.NOT_LEADER, f"ask {hint}")

    @post("/members/{name:str}")
    async def add(request: Request, name: str, data: dict[str, str]) -> dict[str, Any]:
        check_caller_and_leadership(request)
        address = data.get("address", "")
        if not address:
            raise PersimmonyardError(
                ResultCode.MISSING_FIELD,
                "give the host and port",
                field="address",
            )
        if name not in (*replica.status().voters, *replica.status().learners):
            await _await_member_change(replica.add_member(name, address))
        return replica.status()._asdict()

    @delete("/members/{name:str}", status_code=200)
    async def remove(request: Request, name: str) -> dict[str, Any]:
        check_caller_and_leadership(request)
        if name in (*replica.status().voters, *replica.status().learners):
            await _await_member_change(replica.remove_member(name))
        return replica.status()._asdict()

    return [add, remove]


async def _await_member_change(change: Any) -> None:
    try:
        await change
    except MemberChangeError as error:
        raise PersimmonyardError(ResultCode.IN_USE, str(error)) from error
