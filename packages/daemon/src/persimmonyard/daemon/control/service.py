"""The gRPC service that entries call on control processes."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.entry_session import EntrySession
from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.daemon.control.scheduling import SchedulingController
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.control.views import explanation, outcome_of, status
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import (
    ApplyConfiguration,
    CommandResult,
    RegisterUpstream,
    command_codec,
)
from persimmonyard.state.records import UpstreamStatus
from persimmonyard.wire import (
    EntryBeat,
    NotLeader,
    UpstreamHeartbeat,
    session_codec,
)
from persimmonyard.wire.generated import control_pb2, control_pb2_grpc

__all__ = ["ControlService"]


class ControlService(control_pb2_grpc.ControlServicer):
    """Execute commands, answer queries and serve sessions."""

    def __init__(
        self,
        ledger: Ledger,
        sessions: SessionController,
        assignments: AssignmentController,
        scheduling: SchedulingController,
        upstreams: UpstreamController,
    ):
        self._ledger = ledger
        self._sessions = sessions
        self._assignments = assignments
        self._scheduling = scheduling
        self._upstreams = upstreams
        # Two changes of guarantees that fit one by one need not fit together.
        self._guarantee_lock = asyncio.Lock()

    async def Execute(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Execute commands; each gets its own result."""
        if not self._ledger.leads():
            return self._not_leader(control_pb2.ExecuteReply)
        calls = []
        for one in request.commands:
            command = command_codec.decode(one.command)
            calls.append(self._execute_one(command, one.identity))
        reply = control_pb2.ExecuteReply()
        for result in await asyncio.gather(*calls):
            reply.results.append(command_codec.encode(result))
        return reply

    async def _execute_one(self, command: Any, identity: str) -> CommandResult:
        try:
            if isinstance(command, ApplyConfiguration):
                return await self._apply_configuration(command, identity)
            if isinstance(command, RegisterUpstream):
                return await self._register(command)
            return await self._ledger.commit(command, identity)
        except PersimmonyardError as error:
            return CommandResult.failed(error.code, error.message)

    async def _register(self, command: RegisterUpstream) -> CommandResult:
        """Commit an announcement unless it says what is already known.

        Upstreams reach every entry in turn, and each entry passes on the
        first announcement that it sees.
        """
        spec = command.spec
        known = self._ledger.machine.upstream_by_id.get(spec.upstream_id)
        result = CommandResult()
        if known is None or known.spec != spec or known.status == UpstreamStatus.LOST:
            result = await self._ledger.commit(command)
        heartbeat = UpstreamHeartbeat(spec.upstream_id, spec.incarnation, 0.0)
        self._upstreams.heard((heartbeat,))
        return result

    async def _apply_configuration(
        self, command: ApplyConfiguration, identity: str
    ) -> CommandResult:
        await self._scheduling.loaded.wait()
        async with self._guarantee_lock:
            if self._ledger.machine.cached_result(identity) is None:
                self._check_guarantees(command)
            return await self._ledger.commit(command, identity)

    def _check_guarantees(self, command: ApplyConfiguration) -> None:
        configuration = self._ledger.machine.configuration
        accounts = dict(configuration.client_account_by_name)
        changed = False
        for change in command.changes:
            if change.client_account is None:
                continue
            accounts[change.client_account.name] = change.client_account
            changed = True
        if not changed:
            return
        problems = self._scheduling.scheduler.check_guarantees(list(accounts.values()))
        if problems:
            raise PersimmonyardError(
                ResultCode.GUARANTEE_DOES_NOT_FIT, problems[0].text
            )

    async def Query(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Answer a read under the quorum lease."""
        if not self._ledger.leads():
            return self._not_leader(control_pb2.QueryReply)
        try:
            body = await self._query(request.kind, request.item_id)
        except PersimmonyardError as error:
            return control_pb2.QueryReply(code=error.code, message=error.message)
        return control_pb2.QueryReply(body=body)

    async def _query(self, kind: str, item_id: str) -> bytes:
        machine = self._ledger.machine
        match kind:
            case "request":
                return session_codec.encode(outcome_of(self._record(item_id)))
            case "explain":
                record = self._record(item_id)
                reason = self._scheduling.scheduler.waiting_reason(item_id)
                text = reason.text if reason is not None else ""
                return msgspec.json.encode(explanation(machine, record, text))
            case "configuration":
                return msgspec.json.encode(machine.configuration)
            case "status":
                at_risk = self._scheduling.guarantees_at_risk()
                return msgspec.json.encode(
                    status(machine) | {"guarantees_at_risk": at_risk}
                )
            case "in_force":
                version, _, wait_s = item_id.partition("/")
                done = await self._sessions.wait_in_force(int(version), float(wait_s))
                return msgspec.json.encode(done)
        raise PersimmonyardError(ResultCode.NOT_FOUND, f"no query {kind!r}")

    def _record(self, request_id: str) -> Any:
        record = self._ledger.machine.request_by_id.get(request_id)
        if record is None:
            raise PersimmonyardError(ResultCode.NOT_FOUND, f"no request {request_id!r}")
        return record

    async def Session(  # noqa: N802
        self, request_iterator: AsyncIterator[Any], context: Any
    ) -> AsyncIterator[Any]:
        """Serve the stream of one entry."""
        if not self._ledger.leads():
            assert self._ledger.replica is not None
            refusal = NotLeader(self._ledger.replica.leader_hint())
            yield control_pb2.Envelope(body=session_codec.encode(refusal))
            return
        first = session_codec.decode((await anext(request_iterator)).body)
        session = self._sessions.open(first)
        self._take_beat(session, first)
        self._assignments.opened(session)
        reader = asyncio.create_task(self._read_beats(session, request_iterator))
        reader.add_done_callback(lambda _: session.close())
        try:
            while not session.closed:
                beat = await session.outbox.get()
                if beat is None or not self._ledger.leads():
                    return
                yield control_pb2.Envelope(body=session_codec.encode(beat))
        finally:
            reader.cancel()

    async def _read_beats(
        self, session: EntrySession, request_iterator: AsyncIterator[Any]
    ) -> None:
        async for envelope in request_iterator:
            beat = session_codec.decode(envelope.body)
            if not self._ledger.leads():
                return
            self._take_beat(session, beat)

    def _take_beat(self, session: EntrySession, beat: EntryBeat) -> None:
        self._upstreams.heard(beat.heartbeats)
        assigned = self._assignments.count(session.entry_id)
        self._sessions.beat(session, beat, assigned)

    def _not_leader(self, reply_class: Any) -> Any:
        assert self._ledger.replica is not None
        return reply_class(
            code=ResultCode.NOT_LEADER,
            message="this replica does not lead",
            leader_hint=self._ledger.replica.leader_hint(),
        )
