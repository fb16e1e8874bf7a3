"""The gRPC service that entries call on control processes."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.entry_session import EntrySession
from persimmonyard.daemon.control.replicated_state import ReplicatedState
from persimmonyard.daemon.control.scheduling import SchedulingController
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.control.views import (
    outcome_of,
    request_explanation,
    state_summary,
)
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import (
    ApplyConfiguration,
    CommandResult,
    RegisterUpstream,
    command_codec,
)
from persimmonyard.state.records import UpstreamStatus
from persimmonyard.wire import EntryBeat, NotLeader, UpstreamHeartbeat, session_codec
from persimmonyard.wire.generated import control_pb2, control_pb2_grpc

__all__ = ["ControlService"]


class ControlService(control_pb2_grpc.ControlServicer):
    """Execute commands, answer queries and serve the sessions of entries."""

    def __init__(
        self,
        replicated_state: ReplicatedState,
        sessions: SessionController,
        assignments: AssignmentController,
        scheduling: SchedulingController,
        upstreams: UpstreamController,
    ):
        self._replicated_state = replicated_state
        self._sessions = sessions
        self._assignments = assignments
        self._scheduling = scheduling
        self._upstreams = upstreams
        # Held from the check of a guarantee to its commit, because two
        # guarantees that each fit alone may not fit together.
        self._guarantee_lock = asyncio.Lock()

    async def Execute(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Execute the commands of a batch and return the result of each."""
        if not self._leads():
            return self._not_leader_reply(control_pb2.ExecuteReply)
        executions = []
        for identified_command in request.commands:
            executions.append(
                self._execute_one(
                    identified_command.command, identified_command.identity
                )
            )
        reply = control_pb2.ExecuteReply()
        for result in await asyncio.gather(*executions):
            reply.results.append(command_codec.encode(result))
        return reply

    async def _execute_one(self, encoded: bytes, identity: str) -> CommandResult:
        try:
            command = command_codec.decode(encoded)
            if isinstance(command, ApplyConfiguration):
                return await self._apply_configuration(command, identity)
            if isinstance(command, RegisterUpstream):
                return await self._register_upstream(command)
            return await self._replicated_state.commit(command, identity)
        except PersimmonyardError as error:
            return CommandResult.failed(error.code, error.message)

    async def _register_upstream(self, command: RegisterUpstream) -> CommandResult:
        """Commit an announcement unless it changes nothing.

        An upstream announces itself to every entry in turn, and each entry
        forwards the first announcement that it receives.
        """
        spec = command.spec
        upstream_record = self._replicated_state.machine.upstream_by_id.get(
            spec.upstream_id
        )
        result = CommandResult()
        if (
            upstream_record is None
            or upstream_record.spec != spec
            or upstream_record.status == UpstreamStatus.LOST
        ):
            result = await self._replicated_state.commit(command)
        heartbeat = UpstreamHeartbeat(spec.upstream_id, spec.incarnation, 0.0)
        self._upstreams.record_heartbeats((heartbeat,))
        return result

    async def _apply_configuration(
        self, command: ApplyConfiguration, identity: str
    ) -> CommandResult:
        if not await self._scheduling.wait_loaded():
            raise PersimmonyardError(
                ResultCode.NOT_LEADER, "this replica does not lead"
            )
        async with self._guarantee_lock:
            if self._replicated_state.machine.cached_result(identity) is None:
                self._check_guarantees(command)
            return await self._replicated_state.commit(command, identity)

    def _check_guarantees(self, command: ApplyConfiguration) -> None:
        configuration = self._replicated_state.machine.configuration
        client_accounts = dict(configuration.client_account_by_name)
        has_account_changes = False
        for change in command.changes:
            if change.client_account is None:
                continue
            client_accounts[change.client_account.name] = change.client_account
            has_account_changes = True
        if not has_account_changes:
            return
        problems = self._scheduling.scheduler.check_guarantees(
            list(client_accounts.values())
        )
        if problems:
            raise PersimmonyardError(
                ResultCode.GUARANTEE_DOES_NOT_FIT, problems[0].text
            )

    async def Query(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Answer a read while the quorum lease is valid."""
        if not self._leads():
            return self._not_leader_reply(control_pb2.QueryReply)
        try:
            body = await self._query(request.kind, request.item_id)
        except PersimmonyardError as error:
            return control_pb2.QueryReply(code=error.code, message=error.message)
        return control_pb2.QueryReply(body=body)

    async def _query(self, kind: str, item_id: str) -> bytes:
        machine = self._replicated_state.machine
        match kind:
            case "request":
                return session_codec.encode(outcome_of(self._request_record(item_id)))
            case "explain":
                record = self._request_record(item_id)
                reason = self._scheduling.scheduler.waiting_reason(item_id)
                text = reason.text if reason is not None else ""
                return msgspec.json.encode(request_explanation(machine, record, text))
            case "configuration":
                return msgspec.json.encode(machine.configuration)
            case "status":
                at_risk = self._scheduling.guarantees_at_risk()
                return msgspec.json.encode(
                    state_summary(machine) | {"guarantees_at_risk": at_risk}
                )
            case "in_force":
                version, _, wait_s = item_id.partition("/")
                in_force = await self._sessions.wait_in_force(
                    int(version), float(wait_s)
                )
                return msgspec.json.encode(in_force)
        raise PersimmonyardError(ResultCode.NOT_FOUND, f"no query {kind!r}")

    def _request_record(self, request_id: str) -> Any:
        record = self._replicated_state.machine.request_by_id.get(request_id)
        if record is None:
            raise PersimmonyardError(ResultCode.NOT_FOUND, f"no request {request_id!r}")
        return record

    async def Session(  # noqa: N802
        self, request_iterator: AsyncIterator[Any], context: Any
    ) -> AsyncIterator[Any]:
        """Serve the session stream of one entry.

        A session that ends because this replica no longer leads ends with the
        name of the next leader, so that the entry gets a new lease before the
        old one expires.
        """
        if not self._leads():
            yield self._not_leader_envelope()
            return
        first_beat = session_codec.decode((await anext(request_iterator)).body)
        session = self._sessions.open(first_beat)
        self._handle_beat(session, first_beat)
        self._assignments.on_session_opened(session)
        reader = asyncio.create_task(self._read_beats(session, request_iterator))
        reader.add_done_callback(lambda _: session.close())
        try:
            while not session.closed:
                beat = await session.outbox.get()
                if beat is None or not self._replicated_state.is_leader():
                    break
                yield control_pb2.Envelope(body=session_codec.encode(beat))
        finally:
            reader.cancel()
        if not self._replicated_state.is_leader():
            yield self._not_leader_envelope()

    async def _read_beats(
        self, session: EntrySession, request_iterator: AsyncIterator[Any]
    ) -> None:
        async for envelope in request_iterator:
            beat = session_codec.decode(envelope.body)
            if not self._replicated_state.is_leader():
                return
            self._handle_beat(session, beat)

    def _handle_beat(self, session: EntrySession, beat: EntryBeat) -> None:
        self._upstreams.record_heartbeats(beat.heartbeats)
        assigned = self._assignments.live_attempt_count(session.entry_id)
        self._sessions.handle_beat(session, beat, assigned)

    def _leads(self) -> bool:
        """Return whether this replica leads, also right after its election.

        The watch for changes of leadership runs at intervals.
        """
        if not self._replicated_state.is_leader():
            self._replicated_state.check_leadership()
        return self._replicated_state.is_leader()

    def _not_leader_envelope(self) -> Any:
        assert self._replicated_state.replica is not None
        not_leader = NotLeader(self._replicated_state.replica.leader_hint())
        return control_pb2.Envelope(body=session_codec.encode(not_leader))

    def _not_leader_reply(self, reply_class: Any) -> Any:
        assert self._replicated_state.replica is not None
        return reply_class(
            code=ResultCode.NOT_LEADER,
            message="this replica does not lead",
            leader_hint=self._replicated_state.replica.leader_hint(),
        )
