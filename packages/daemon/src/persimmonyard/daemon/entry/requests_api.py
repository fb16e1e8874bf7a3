"""HTTP handlers for requests: submit, fetch, cancel, acknowledge, explain."""

import base64
import uuid
from typing import Any

import msgspec
from litestar import Request

from persimmonyard.daemon.entry.command_errors import require_success
from persimmonyard.daemon.entry.disconnect import cancel_on_disconnect
from persimmonyard.daemon.entry.filters import FilterChain
from persimmonyard.daemon.entry.leader import LeaderClient
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.parsing import parse_json, parse_wait_s
from persimmonyard.daemon.entry.submission import (
    MAX_REQUESTED_WAIT_S,
    SubmissionBody,
    check_submission,
    parse_shape,
    payload_bytes,
    submission_digest,
)
from persimmonyard.daemon.errors import error_body
from persimmonyard.daemon.settings import LimitSettings
from persimmonyard.model import AccessRole, PersimmonyardError, ResultCode
from persimmonyard.state.commands import (
    AcknowledgeAnswer,
    CancelRequest,
    SubmitRequest,
)
from persimmonyard.wire import Outcome, session_codec

__all__ = ["RequestApi"]


class RequestApi:
    """Handlers for clients; each runs the filter chain on its call."""

    def __init__(
        self,
        limits: LimitSettings,
        state: LocalState,
        leader: LeaderClient,
        chain: FilterChain,
    ):
        self._limits = limits
        self._state = state
        self._leader = leader
        self._chain = chain

    async def submit(self, request: Request) -> dict[str, Any]:
        """Record a request; wait up to ``wait_s`` seconds for its outcome."""
        async with self._chain.admit_call(request, AccessRole.CLIENT) as call:
            body = parse_json(call.body, SubmissionBody)
            if body.work_class in self._state.configuration.class_by_name:
                request.state.work_class = body.work_class
            check_submission(body)
            command = SubmitRequest(
                request_id=f"r-{uuid.uuid4().hex}",
                client_account=call.client_account,
                class_name=body.work_class,
                key=body.key,
                digest=submission_digest(body),
                shape=parse_shape(body.shape),
                declared_run_s=body.declared_run_s,
                idempotent=body.idempotent,
                checkpointable=body.checkpointable,
                payload=payload_bytes(body),
            )
            return await cancel_on_disconnect(
                request, self._submit(command, body.wait_s)
            )

    async def _submit(self, command: SubmitRequest, wait_s: float) -> dict[str, Any]:
        account = command.client_account
        result = require_success(await self._leader.execute(command, account=account))
        outcome = await self._wait_for_outcome(result.request_id, wait_s)
        if outcome is not None:
            return _outcome_body(outcome)
        # A resend joins the request that was recorded under its key, which may
        # have ended; a new request cannot have ended yet.
        joined = result.request_id != command.request_id
        if not joined and (wait_s == 0 or self._state.waiters.stopping):
            return _accepted_body(result.request_id)
        try:
            return _outcome_body(
                await self._read_owned_outcome(account, result.request_id)
            )
        except PersimmonyardError:
            # The request is recorded, so the caller gets its identifier even
            # if the state cannot be read from the leader.
            return _accepted_body(result.request_id)

    async def fetch(self, request: Request, request_id: str) -> dict[str, Any]:
        """Return a request; wait up to ``wait_s`` seconds for its outcome."""
        async with self._chain.admit_call(request, AccessRole.CLIENT) as call:
            wait_s = parse_wait_s(request.query_params, MAX_REQUESTED_WAIT_S)
            return await cancel_on_disconnect(
                request, self._fetch(call.client_account, request_id, wait_s)
            )

    async def _fetch(
        self, client_account: str, request_id: str, wait_s: float
    ) -> dict[str, Any]:
        # Ownership is checked before waiting, so that a request of another
        # account is indistinguishable from one that does not exist.
        outcome = await self._read_owned_outcome(client_account, request_id)
        if outcome.ended or wait_s == 0:
            return _outcome_body(outcome)
        ended = await self._wait_for_outcome(request_id, wait_s)
        return _outcome_body(ended if ended is not None else outcome)

    async def cancel(self, request: Request, request_id: str) -> dict[str, Any]:
        """Cancel a request and return its state.

        Waits for the end of the request up to the time limit in the settings.
        """
        async with self._chain.admit_call(request, AccessRole.CLIENT) as call:
            account = call.client_account
            command = CancelRequest(request_id, account)
            require_success(await self._leader.execute(command, account=account))
            return await self._fetch(account, request_id, self._limits.wait_s)

    async def acknowledge(self, request: Request, request_id: str) -> dict[str, Any]:
        """Delete the stored answers, because the caller has received them."""
        async with self._chain.admit_call(request, AccessRole.CLIENT) as call:
            account = call.client_account
            command = AcknowledgeAnswer(request_id, account)
            require_success(await self._leader.execute(command, account=account))
            return {"request": request_id}

    async def explain(self, request: Request, request_id: str) -> dict[str, Any]:
        """Return why a request is in its current state."""
        async with self._chain.admit_call(request, AccessRole.CLIENT) as call:
            await self._read_owned_outcome(call.client_account, request_id)
            body = await self._leader.query("explain", request_id)
            explanation: dict[str, Any] = msgspec.json.decode(body)
            return explanation

    async def _wait_for_outcome(self, request_id: str, wait_s: float) -> Outcome | None:
        """Return the outcome of a request, or ``None`` if it comes too late.

        Waits up to ``wait_s`` seconds, or up to the limit in the settings if
        that is less.  Does not wait if too many callers already do.
        """
        wait_s = min(wait_s, self._limits.wait_s)
        waiters = self._state.waiters
        if wait_s <= 0 or waiters.count() >= self._limits.waiting_requests:
            return None
        with waiters.add(request_id) as waiter:
            self._leader.request_beat()
            return await waiter.wait(wait_s)

    async def _read_owned_outcome(
        self, client_account: str, request_id: str
    ) -> Outcome:
        """Read a request from the leader.

        Raises NOT_FOUND if it does not exist or belongs to another account.
        """
        not_found = PersimmonyardError(
            ResultCode.NOT_FOUND, f"no request {request_id!r}", "request"
        )
        try:
            body = await self._leader.query("request", request_id)
        except PersimmonyardError as error:
            if error.code == ResultCode.NOT_FOUND:
                raise not_found from error
            raise
        outcome: Outcome = session_codec.decode(body)
        if outcome.client_account != client_account:
            raise not_found
        return outcome


def _accepted_body(request_id: str) -> dict[str, Any]:
    return {"request": request_id, "state": "accepted", "ended": False, "answers": []}


def _outcome_body(outcome: Outcome) -> dict[str, Any]:
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
        view |= error_body(outcome.code, outcome.message, None, outcome.not_run)
    return view
