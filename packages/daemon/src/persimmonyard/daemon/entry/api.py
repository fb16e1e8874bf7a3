"""The HTTP interface of an entry."""

import base64
import uuid
from typing import Any

import msgspec
from litestar import Litestar, Request, Response, get, post

from persimmonyard.daemon.entry.filters import FilterChain
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.submission import (
    SubmissionBody,
    check_submission,
    parse,
    payload_bytes,
    shape_of,
    submission_digest,
)
from persimmonyard.daemon.errors import error_body, exception_handlers
from persimmonyard.daemon.settings import Settings
from persimmonyard.daemon.timing import UPSTREAM_HEARTBEAT_S, UPSTREAM_LEASE_S
from persimmonyard.model import (
    ConfigurationChange,
    PersimmonyardError,
    ResultCode,
    Role,
    UpstreamSpec,
)
from persimmonyard.state.commands import (
    AcknowledgeAnswer,
    ApplyConfiguration,
    CancelRequest,
    CommandResult,
    RegisterUpstream,
    SetUpstreamStatus,
    SubmitRequest,
)
from persimmonyard.state.records import UpstreamStatus
from persimmonyard.wire import Outcome, session_registry

__all__ = ["EntryApi"]


class ConfigurationBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /v1/operator/configuration``."""

    changes: list[ConfigurationChange]
    expected_version: int | None = None
    wait_s: float = 0.0


class AnnouncementBody(msgspec.Struct):
    """The body of ``POST /v1/upstreams/announce``."""

    spec: UpstreamSpec
    sent_at: float
    leaving: bool = False


class EntryApi:
    """Handlers of an entry; each works on calls that passed the chain."""

    def __init__(
        self,
        settings: Settings,
        state: LocalState,
        leader: LeaderClient,
        chain: FilterChain,
    ):
        self._settings = settings
        self._state = state
        self._leader = leader
        self._chain = chain
        self._known_spec_by_id: dict[str, tuple[UpstreamSpec, bool]] = {}

    # Callers.

    async def submit(self, request: Request) -> Response[Any]:
        """Record a request and wait for its answer if asked to."""
        call = await self._chain.run(request, Role.CLIENT)
        body = parse(call.body, SubmissionBody)
        check_submission(body)
        command = SubmitRequest(
            request_id=f"r-{uuid.uuid4().hex}",
            client_account=call.client_account,
            class_name=body.work_class,
            key=body.key,
            digest=submission_digest(body),
            shape=shape_of(body.shape),
            declared_run_s=body.declared_run_s,
            idempotent=body.idempotent,
            checkpointable=body.checkpointable,
            payload=payload_bytes(body),
        )
        result = _checked(await self._leader.execute(command))
        return await self._answer(call.client_account, result.request_id, body.wait_s)

    async def fetch(self, request: Request, request_id: str) -> Response[Any]:
        """Return a request, after waiting for its end if asked to."""
        call = await self._chain.run(request, Role.CLIENT)
        wait_s = float(request.query_params.get("wait_s", 0))
        return await self._answer(call.client_account, request_id, wait_s)

    async def cancel(self, request: Request, request_id: str) -> Response[Any]:
        """Cancel a request and return what became of it."""
        call = await self._chain.run(request, Role.CLIENT)
        command = CancelRequest(request_id, call.client_account)
        _checked(await self._leader.execute(command))
        return await self._answer(
            call.client_account, request_id, self._settings.limits.wait_s
        )

    async def acknowledge(self, request: Request, request_id: str) -> Response[Any]:
        """Drop a kept answer."""
        call = await self._chain.run(request, Role.CLIENT)
        command = AcknowledgeAnswer(request_id, call.client_account)
        _checked(await self._leader.execute(command))
        return Response({"request": request_id})

    async def explain(self, request: Request, request_id: str) -> Response[Any]:
        """Return why a request is where it is."""
        call = await self._chain.run(request, Role.CLIENT)
        await self._owned_outcome(call.client_account, request_id)
        body = await self._leader.query("explain", request_id)
        return Response(msgspec.json.decode(body))

    async def _answer(
        self, client_account: str, request_id: str, wait_s: float
    ) -> Response[Any]:
        wait_s = min(wait_s, self._settings.limits.wait_s)
        outcome = None
        if wait_s > 0:
            waiting = self._state.wait_outcome(request_id, wait_s)
            self._leader.beat_soon()
            outcome = await waiting
        if outcome is None:
            outcome = await self._owned_outcome(client_account, request_id)
        if outcome.client_account != client_account:
            raise PersimmonyardError(ResultCode.NOT_FOUND, "no such request")
        return Response(_view(outcome))

    async def _owned_outcome(self, client_account: str, request_id: str) -> Outcome:
        body = await self._leader.query("request", request_id)
        outcome: Outcome = session_registry.decode(body)
        if outcome.client_account != client_account:
            raise PersimmonyardError(ResultCode.NOT_FOUND, "no such request")
        return outcome

    # Operators.

    async def configuration(self, request: Request) -> Response[Any]:
        """Return the whole configuration."""
        await self._chain.run(request, Role.OPERATOR)
        return Response(msgspec.json.decode(await self._leader.query("configuration")))

    async def apply(self, request: Request) -> Response[Any]:
        """Apply changes, and wait until they are in force if asked to."""
        call = await self._chain.run(request, Role.OPERATOR)
        body = parse(call.body, ConfigurationBody)
        identity = request.headers.get("idempotency-key") or uuid.uuid4().hex
        command = ApplyConfiguration(tuple(body.changes), body.expected_version)
        result = _checked(await self._leader.execute(command, f"apply/{identity}"))
        in_force = False
        if body.wait_s > 0:
            wait_s = min(body.wait_s, self._settings.limits.wait_s)
            item = f"{result.version}/{wait_s}"
            reply = await self._leader.query("in_force", item, wait_s + 10)
            in_force = msgspec.json.decode(reply)
        return Response({"version": result.version, "in_force": in_force})

    async def status(self, request: Request) -> Response[Any]:
        """Return counts and upstreams."""
        await self._chain.run(request, Role.OPERATOR)
        return Response(msgspec.json.decode(await self._leader.query("status")))

    # Upstreams.

    async def announce(self, request: Request) -> Response[Any]:
        """Record an upstream and grant it a lease."""
        call = await self._chain.run(request, Role.UPSTREAM)
        body = parse(call.body, AnnouncementBody)
        await self._record_upstream(body)
        self._state.heard(body.spec.upstream_id, body.spec.incarnation)
        return Response(
            {
                "sent_at": body.sent_at,
                "lease_s": UPSTREAM_LEASE_S,
                "heartbeat_s": UPSTREAM_HEARTBEAT_S,
            }
        )

    async def _record_upstream(self, body: AnnouncementBody) -> None:
        spec = body.spec
        if self._known_spec_by_id.get(spec.upstream_id) == (spec, body.leaving):
            return
        _checked(await self._leader.execute(RegisterUpstream(spec)))
        if body.leaving:
            leaving = SetUpstreamStatus(
                spec.upstream_id,
                spec.incarnation,
                UpstreamStatus.LEAVING,
                "announced by the upstream",
            )
            _checked(await self._leader.execute(leaving))
        self._known_spec_by_id[spec.upstream_id] = (spec, body.leaving)

    # Application.

    def build_app(self, dump: Any) -> Litestar:
        """Return the litestar application of this entry."""
        api = self

        @post("/v1/requests", status_code=200)
        async def submit(request: Request) -> Response[Any]:
            return await api.submit(request)

        @get("/v1/requests/{request_id:str}")
        async def fetch(request: Request, request_id: str) -> Response[Any]:
            return await api.fetch(request, request_id)

        @post("/v1/requests/{request_id:str}/cancel", status_code=200)
        async def cancel(request: Request, request_id: str) -> Response[Any]:
            return await api.cancel(request, request_id)

        @post("/v1/requests/{request_id:str}/acknowledge", status_code=200)
        async def acknowledge(request: Request, request_id: str) -> Response[Any]:
            return await api.acknowledge(request, request_id)

        @get("/v1/requests/{request_id:str}/explain")
        async def explain(request: Request, request_id: str) -> Response[Any]:
            return await api.explain(request, request_id)

        @get("/v1/operator/configuration")
        async def configuration(request: Request) -> Response[Any]:
            return await api.configuration(request)

        @post("/v1/operator/configuration", status_code=200)
        async def apply(request: Request) -> Response[Any]:
            return await api.apply(request)

        @get("/v1/operator/status")
        async def status(request: Request) -> Response[Any]:
            return await api.status(request)

        @post("/v1/upstreams/announce", status_code=200)
        async def announce(request: Request) -> Response[Any]:
            return await api.announce(request)

        @get("/v1/dump")
        async def dump_state(request: Request) -> Response[Any]:
            return Response(dump())

        @get("/health")
        async def health() -> dict[str, bool]:
            return {"lease_valid": api._state.lease_valid()}

        handlers = [
            submit,
            fetch,
            cancel,
            acknowledge,
            explain,
            configuration,
            apply,
            status,
            announce,
            dump_state,
            health,
        ]
        return Litestar(handlers, exception_handlers=exception_handlers)


def _checked(result: CommandResult) -> CommandResult:
    if result.code != 0:
        raise PersimmonyardError(ResultCode(result.code), result.message)
    return result


def _view(outcome: Outcome) -> dict[str, Any]:
    answers = []
    for answer in outcome.answers:
        answers.append(
            {
                "body": base64.b64encode(answer.body).decode(),
                "length": len(answer.body),
                "digest": answer.digest,
            }
        )
    view: dict[str, Any] = {
        "request": outcome.request_id,
        "state": outcome.state,
        "ended": outcome.ended,
        "answers": answers,
    }
    if outcome.code:
        view |= error_body(outcome.code, outcome.message)
        view["not_run"] = outcome.not_run
    return view
