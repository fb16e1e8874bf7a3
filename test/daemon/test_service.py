"""Tests of persimmonyard.daemon.control.service."""

import asyncio
import unittest

from persimmonyard.daemon.control.service import ControlService
from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    ResultCode,
    Shape,
)
from persimmonyard.scheduler import GuaranteeProblem
from persimmonyard.state.commands import (
    ApplyConfiguration,
    RegisterUpstream,
    SetUpstreamStatus,
    command_codec,
)
from persimmonyard.state.records import UpstreamStatus
from persimmonyard.wire.generated import control_pb2
from test.daemon.control_fakes import UPSTREAM_SPEC, FakeControl


class FakeScheduling:
    """A loaded scheduler with room for ``capacity`` guaranteed shapes."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.scheduler = self
        self.loaded = asyncio.Event()
        self.loaded.set()

    def check_guarantees(self, accounts):
        count = sum(len(account.guarantee) for account in accounts)
        if count <= self.capacity:
            return []
        return [GuaranteeProblem("clinic", 0, "does not fit")]


class FakeUpstreams:
    """An upstream controller that ignores heartbeats."""

    def record_heartbeats(self, heartbeats):
        pass


class ControlServiceTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.control = FakeControl()
        self.control.set_up()
        self.control.become_leader()
        self.scheduling = FakeScheduling(capacity=1)
        self.service = ControlService(
            self.control.replicated_state, None, None, self.scheduling, FakeUpstreams()
        )

    async def execute(self, command, identity):
        """Execute one command through the gRPC method and return its result.

        If the whole call is refused, return the reply instead.
        """
        identified_command = control_pb2.IdentifiedCommand(
            identity=identity, command=command_codec.encode(command)
        )
        reply = await self.service.Execute(
            control_pb2.ExecuteRequest(commands=[identified_command]), None
        )
        if reply.code:
            return reply
        return command_codec.decode(reply.results[0])

    def guarantee(self, account):
        """Return a command that guarantees a client account one shape."""
        spec = ClientAccountSpec(account, guarantee=(Shape(),))
        return ApplyConfiguration((ConfigurationChange(client_account=spec),))

    async def test_guarantee_that_does_not_fit_is_refused(self):
        """A guarantee that exceeds the capacity must not be accepted."""
        await self.execute(self.guarantee("a"), "1")
        result = await self.execute(self.guarantee("b"), "2")
        self.assertEqual(result.code, ResultCode.GUARANTEE_DOES_NOT_FIT)

    async def test_concurrent_guarantees_are_checked_one_after_the_other(self):
        """Two guarantees that fit only one by one must not both be accepted.

        Without a lock, both would be checked before either is committed.
        """
        results = await asyncio.gather(
            self.execute(self.guarantee("a"), "1"),
            self.execute(self.guarantee("b"), "2"),
        )
        self.assertEqual(
            sorted(result.code for result in results),
            [0, ResultCode.GUARANTEE_DOES_NOT_FIT],
        )

    async def test_resent_guarantee_gets_its_first_result(self):
        """A retry of an accepted command must not be refused.

        It returns the first result even if the guarantee does not fit any
        more, because capacity was lost since.
        """
        first = await self.execute(self.guarantee("a"), "1")
        self.scheduling.capacity = 0
        second = await self.execute(self.guarantee("a"), "1")
        self.assertEqual(first, second)

    async def test_known_announcement_is_not_committed_again(self):
        """An announcement that changes nothing must not be committed.

        Every entry forwards each upstream once, so there would be one commit
        for each entry.
        """
        before = self.control.replica.proposals
        await self.execute(RegisterUpstream(UPSTREAM_SPEC), "")
        self.assertEqual(self.control.replica.proposals, before)

    async def test_announcement_after_a_loss_is_committed(self):
        """A lost upstream that announces itself again must be up again.

        Its specification has not changed, so the announcement must not be
        taken for a repetition.
        """
        lost = UpstreamStatus.LOST
        self.control.apply_command(SetUpstreamStatus("up-1", "a", lost))
        await self.execute(RegisterUpstream(UPSTREAM_SPEC), "")
        status = self.control.replicated_state.machine.upstream_by_id["up-1"].status
        self.assertEqual(status, UpstreamStatus.UP)

    async def test_replica_without_the_quorum_lease_executes_nothing(self):
        """An isolated leader must not accept commands or answer reads."""
        self.control.replica.has_quorum_lease = False
        reply = await self.execute(self.guarantee("a"), "1")
        self.assertEqual(reply.code, ResultCode.NOT_LEADER)
        query = control_pb2.QueryRequest(kind="configuration")
        reply = await self.service.Query(query, None)
        self.assertEqual(reply.code, ResultCode.NOT_LEADER)
