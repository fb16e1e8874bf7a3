"""Removes members that other control processes have replaced."""

import asyncio
from typing import Any

from persimmonyard.daemon.jobs.leader_client import LeaderClient
from persimmonyard.daemon.jobs.rpc import CallReply, Leave, Outcome
from persimmonyard.replication import (
    MemberChangeError,
    Replica,
    boottime_now,
    removable_member,
)

__all__ = ["MemberRemoval", "leave_group"]

# Silence after which a member may be removed, in seconds.
SILENT_AFTER_S = 1.5
# Interval at which the leader looks for such members, in seconds.
CHECK_INTERVAL_S = 0.25
# Delay between two requests of a stopping process to leave, in seconds.
_LEAVE_RETRY_S = 0.1


class MemberRemoval:
    """Removes silent members from a group that can do without them.

    Control processes on new addresses join by themselves, but those that they
    replace do not leave: a process that is gone for good looks like one that
    restarts.  ``tolerated_losses`` is how many voters may be lost at once.
    Only the leader removes members, one at a time, as ``removable_member``
    decides.  One that returns after its removal joins again and keeps its log.
    """

    def __init__(self, replica: Replica, tolerated_losses: int, log: Any):
        self._replica = replica
        self._tolerated_losses = tolerated_losses
        self._log = log

    async def run(self) -> None:
        """Remove silent members until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            name = removable_member(
                self._replica.members(), self.silent_members(), self._tolerated_losses
            )
            if name is not None:
                await self._remove(name, "silent")

    def silent_members(self) -> list[str]:
        """Return the silent members; empty unless this replica leads."""
        return self._replica.silent_members(SILENT_AFTER_S)

    def may_leave(self, name: str) -> bool:
        """Return whether the group can do without a member that stops."""
        members = self._replica.members()
        return removable_member(members, [name], self._tolerated_losses) is not None

    async def answer_leave(self, call: Leave) -> CallReply:
        """Remove a member that stops, if the group can do without it."""
        if not self.may_leave(call.name):
            return CallReply(Outcome.OK)
        removed = await self._remove(call.name, "stops")
        return CallReply(Outcome.OK if removed else Outcome.UNKNOWN)

    async def _remove(self, name: str, reason: str) -> bool:
        """Start the removal of a member; return False if it is refused."""
        try:
            await self._replica.remove_member(name)
        except MemberChangeError as error:
            self._log.info("removal refused", member=name, reason=str(error))
            return False
        voters = list(self._replica.members().voters)
        self._log.warning("member removed", member=name, reason=reason, voters=voters)
        return True


async def leave_group(
    name: str,
    removal: MemberRemoval,
    leader_client: LeaderClient,
    log: Any,
    deadline: float,
) -> None:
    """Ask the leader to remove a member that stops, and may stop for good.

    Nothing is sent if the group would keep it anyway.  ``deadline`` is in
    seconds of the clock of leases.  Until the member is removed it goes on to
    vote, because the group may have lost others.
    """
    outcome = Outcome.UNKNOWN
    while removal.may_leave(name) and outcome != Outcome.OK:
        remaining_s = deadline - boottime_now()
        if remaining_s <= 0:
            log.warning("not removed before the stop", member=name)
            return
        outcome = (await leader_client.call(Leave(name), remaining_s)).outcome
        if outcome != Outcome.OK:
            await asyncio.sleep(_LEAVE_RETRY_S)
