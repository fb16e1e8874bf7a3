"""The replicated state machine: it applies log records in order."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from persimmonyard.model import ConfigurationChange, ResultCode
from persimmonyard.state.commands import (
    AcknowledgeAnswer,
    ApplyConfiguration,
    AssignDispatch,
    CancelRequest,
    CommandResult,
    EndAttempt,
    ExpireRecords,
    LogRecord,
    PlaceAttempt,
    RefuseRequest,
    RegisterUpstream,
    SetUpstreamStatus,
    StartAttempt,
    StopAttempt,
    SubmitRequest,
    decode_record,
)
from persimmonyard.state.configuration import Configuration
from persimmonyard.state.records import (
    Attempt,
    AttemptOutcome,
    AttemptState,
    Member,
    RequestRecord,
    RequestState,
    UpstreamRecord,
    UpstreamStatus,
)
from persimmonyard.state.requests import ever_started, finish_attempt, move

__all__ = ["Change", "ChangeKind", "StateMachine"]

IDENTITY_RETENTION_S = 3_600.0
RECENT_CHANGES = 1_000


class ChangeKind(StrEnum):
    """What kind of item a change concerns."""

    REQUEST = "request"
    UPSTREAM = "upstream"
    CONFIGURATION = "configuration"


class Change(NamedTuple):
    """A note to the controllers that an item is different from before."""

    kind: ChangeKind
    item_id: str


@dataclass
class _Contents:
    """Everything that a snapshot holds."""

    configuration: Configuration = field(default_factory=Configuration)
    upstream_by_id: dict[str, UpstreamRecord] = field(default_factory=dict)
    request_by_id: dict[str, RequestRecord] = field(default_factory=dict)
    result_by_identity: dict[str, tuple[float, CommandResult]] = field(
        default_factory=dict
    )
    last_fence: int = 0
    last_at: float = 0.0


class StateMachine:
    """Apply commands to the replicated state.

    It is deterministic: the same records in the same order give the same
    state and results on every replica.

    Example: ``machine.apply(index, encode_record(LogRecord("", 1.0,
    CancelRequest("r-1", "clinic"))))`` returns a ``CommandResult``.
    """

    def __init__(self) -> None:
        self._contents = _Contents()
        self._changes: list[Change] = []
        self.recent_changes: dict[int, tuple[ConfigurationChange, ...]] = {}
        self._rebuild_indexes()

    # Reading.

    @property
    def configuration(self) -> Configuration:
        """The configuration that operators stated."""
        return self._contents.configuration

    @property
    def upstream_by_id(self) -> dict[str, UpstreamRecord]:
        """Every known upstream by its identity."""
        return self._contents.upstream_by_id

    @property
    def request_by_id(self) -> dict[str, RequestRecord]:
        """Every kept request by its identifier."""
        return self._contents.request_by_id

    @property
    def last_at(self) -> float:
        """The time of the last applied record, in seconds."""
        return self._contents.last_at

    def request_ids_on(self, upstream_id: str) -> set[str]:
        """Return the requests with a live attempt on an upstream."""
        return self._request_ids_by_upstream.get(upstream_id, set())

    def known_result(self, identity: str) -> CommandResult | None:
        """Return the result of a command that was already executed."""
        known = self._contents.result_by_identity.get(identity)
        return None if known is None else known[1]

    def drain_changes(self) -> list[Change]:
        """Return the changes since the last call, in order."""
        changes = self._changes
        self._changes = []
        return changes

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return msgspec.msgpack.encode(self._contents)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        self._contents = msgspec.msgpack.decode(data, type=_Contents)
        self._changes = []
        self.recent_changes = {}
        self._rebuild_indexes()

    def _rebuild_indexes(self) -> None:
        self._request_id_by_key: dict[tuple[str, str], str] = {}
        self._request_ids_by_upstream: dict[str, set[str]] = {}
        self._live_count_by_account: dict[str, int] = {}
        for record in self.request_by_id.values():
            key = (record.client_account, record.key)
            self._request_id_by_key[key] = record.request_id
            if record.ended():
                continue
            self._count_live(record.client_account, 1)
            attempt = record.live_attempt()
            if attempt is not None:
                self._occupy(record, attempt)

    # Applying.

    def apply(self, index: int, entry: bytes) -> CommandResult:
        """Apply the encoded record at ``index`` of the log."""
        return self.apply_record(decode_record(entry))

    def apply_record(self, record: LogRecord) -> CommandResult:
        """Apply a record; a known identity gets its first result again."""
        contents = self._contents
        contents.last_at = max(contents.last_at, record.at)
        if not record.identity:
            return self._dispatch(record.command)
        self._forget_identities()
        known = contents.result_by_identity.get(record.identity)
        if known is not None:
            return known[1]
        result = self._dispatch(record.command)
        contents.result_by_identity[record.identity] = (contents.last_at, result)
        return result

    def _forget_identities(self) -> None:
        """Remove expired identities; the oldest come first in the dict."""
        results = self._contents.result_by_identity
        limit = self.last_at - IDENTITY_RETENTION_S
        while results:
            identity = next(iter(results))
            if results[identity][0] >= limit:
                return
            del results[identity]

    def _dispatch(self, command: Any) -> CommandResult:
        match command:
            case ApplyConfiguration():
                return self._apply_configuration(command)
            case RegisterUpstream():
                return self._register_upstream(command)
            case SetUpstreamStatus():
                return self._set_upstream_status(command)
            case SubmitRequest():
                return self._submit(command)
            case CancelRequest():
                return self._cancel(command)
            case RefuseRequest():
                return self._refuse(command)
            case PlaceAttempt():
                return self._place(command)
            case AssignDispatch():
                return self._assign(command)
            case StartAttempt():
                return self._start(command)
            case StopAttempt():
                return self._stop(command)
            case EndAttempt():
                return self._end(command)
            case AcknowledgeAnswer():
                return self._acknowledge(command)
            case ExpireRecords():
                return self._expire(command)
        raise TypeError(f"unknown command {command!r}")

    # Configuration.

    def _apply_configuration(self, command: ApplyConfiguration) -> CommandResult:
        version = self.configuration.version
        if command.expected_version not in (None, version):
            return CommandResult.failed(
                ResultCode.VERSION_CONFLICT,
                f"the configuration is at version {version}",
                version,
            )
        for change in command.changes:
            self.configuration.apply(change)
        self.configuration.version += 1
        version = self.configuration.version
        self.recent_changes[version] = command.changes
        self.recent_changes.pop(version - RECENT_CHANGES, None)
        self._note(ChangeKind.CONFIGURATION, str(self.configuration.version))
        return CommandResult(version=self.configuration.version)

    # Upstreams.

    def _register_upstream(self, command: RegisterUpstream) -> CommandResult:
        spec = command.spec
        known = self.upstream_by_id.get(spec.upstream_id)
        if known is None or known.spec.incarnation != spec.incarnation:
            self.upstream_by_id[spec.upstream_id] = UpstreamRecord(spec)
            self._lose_attempts(spec.upstream_id)
        elif known.status == UpstreamStatus.LOST:
            known.spec = spec
            known.status = UpstreamStatus.UP
        else:
            known.spec = spec
        self._note(ChangeKind.UPSTREAM, spec.upstream_id)
        return CommandResult()

    def _set_upstream_status(self, command: SetUpstreamStatus) -> CommandResult:
        known = self.upstream_by_id.get(command.upstream_id)
        if known is None or known.spec.incarnation != command.incarnation:
            return CommandResult.failed(ResultCode.NOT_FOUND, "no such start")
        known.status = command.status
        known.reason = command.reason
        known.until = command.until
        if command.status == UpstreamStatus.LOST:
            self._lose_attempts(command.upstream_id)
        self._note(ChangeKind.UPSTREAM, command.upstream_id)
        return CommandResult()

    def _lose_attempts(self, upstream_id: str) -> None:
        """Stop what runs on a lost start of an upstream.

        An attempt without a committed start ends here.  Otherwise its
        dispatcher stops the other members and reports the end.
        """
        for request_id in sorted(self.request_ids_on(upstream_id)):
            record = self.request_by_id[request_id]
            attempt = record.live_attempt()
            if attempt is None:
                continue
            self._note(ChangeKind.REQUEST, request_id)
            if attempt.started_at is None:
                self._end_unstarted(record, attempt, "an upstream was lost")
                continue
            for index, member in enumerate(attempt.members):
                if member.upstream_id != upstream_id:
                    continue
                if index not in attempt.lost_members:
                    attempt.lost_members.append(index)
            attempt.state = AttemptState.STOPPING
            attempt.stop_reason = f"upstream {upstream_id} was lost"

    # Requests.

    def _submit(self, command: SubmitRequest) -> CommandResult:
        key = (command.client_account, command.key)
        known_id = self._request_id_by_key.get(key)
        if known_id is not None:
            if self.request_by_id[known_id].digest != command.digest:
                return CommandResult.failed(
                    ResultCode.KEY_REUSED,
                    "the key was used for a different request",
                )
            return CommandResult(request_id=known_id)
        refusal = self._admission_problem(command)
        if refusal is not None:
            return refusal
        record = RequestRecord(
            request_id=command.request_id,
            client_account=command.client_account,
            class_name=command.class_name,
            key=command.key,
            digest=command.digest,
            shape=command.shape,
            declared_run_s=command.declared_run_s,
            idempotent=command.idempotent,
            checkpointable=command.checkpointable,
            payload=command.payload,
            submitted_at=self.last_at,
        )
        self.request_by_id[record.request_id] = record
        self._request_id_by_key[key] = record.request_id
        self._count_live(record.client_account, 1)
        move(record, RequestState.ACCEPTED, self.last_at, "submitted")
        self._note(ChangeKind.REQUEST, record.request_id)
        return CommandResult(request_id=record.request_id)

    def _admission_problem(self, command: SubmitRequest) -> CommandResult | None:
        configuration = self.configuration
        account = configuration.client_account_by_name.get(command.client_account)
        if account is None:
            return CommandResult.failed(
                ResultCode.UNKNOWN_ACCOUNT,
                f"client account {command.client_account!r} does not exist",
            )
        if command.class_name not in configuration.class_by_name:
            return CommandResult.failed(
                ResultCode.UNKNOWN_CLASS,
                f"class {command.class_name!r} does not exist",
            )
        live = self._live_count_by_account.get(command.client_account, 0)
        if live >= account.max_waiting:
            return CommandResult.failed(
                ResultCode.QUEUE_FULL,
                f"client account {account.name!r} has {live} requests in progress",
            )
        return None

    def _cancel(self, command: CancelRequest) -> CommandResult:
        record = self._owned(command.request_id, command.client_account)
        if record is None:
            return CommandResult.failed(ResultCode.NOT_FOUND, "no such request")
        if record.ended() or record.cancel_requested:
            return CommandResult(request_id=record.request_id)
        record.cancel_requested = True
        self._note(ChangeKind.REQUEST, record.request_id)
        attempt = record.live_attempt()
        if attempt is not None and attempt.started_at is not None:
            attempt.state = AttemptState.STOPPING
            attempt.stop_reason = "cancelled by the caller"
            return CommandResult(request_id=record.request_id)
        if attempt is not None:
            self._end_unstarted(record, attempt, "cancelled by the caller")
            return CommandResult(request_id=record.request_id)
        not_run = not ever_started(record)
        record.code = ResultCode.CANCELLED_NOT_RUN if not_run else ResultCode.CANCELLED
        self._end_request(record, RequestState.CANCELLED, "cancelled by the caller")
        return CommandResult(request_id=record.request_id)

    def _refuse(self, command: RefuseRequest) -> CommandResult:
        record = self.request_by_id.get(command.request_id)
        if record is None or record.state != RequestState.ACCEPTED:
            return CommandResult.failed(ResultCode.ALREADY_ENDED, "not waiting")
        record.code = command.code
        record.message = command.reason
        self._end_request(record, RequestState.REFUSED, command.reason)
        self._note(ChangeKind.REQUEST, record.request_id)
        return CommandResult(request_id=record.request_id)

    def _place(self, command: PlaceAttempt) -> CommandResult:
        record = self.request_by_id.get(command.request_id)
        if record is None or record.state != RequestState.ACCEPTED:
            return CommandResult.failed(ResultCode.ALREADY_ENDED, "not waiting")
        if command.number != len(record.attempts) + 1:
            return CommandResult.failed(
                ResultCode.VERSION_CONFLICT, "another attempt was placed"
            )
        members = []
        for upstream_id in command.upstream_ids:
            if not self._may_start_on(upstream_id):
                return CommandResult.failed(
                    ResultCode.IN_USE, f"upstream {upstream_id} takes no new work"
                )
            spec = self.upstream_by_id[upstream_id].spec
            members.append(Member(upstream_id, spec.incarnation))
        attempt = Attempt(
            number=command.number,
            members=members,
            entry_id=command.entry_id,
            fence=self._next_fence(),
            borrowed=command.borrowed,
            placed_at=self.last_at,
        )
        record.attempts.append(attempt)
        self._occupy(record, attempt)
        move(record, RequestState.PLACED, self.last_at, command.reason)
        self._note(ChangeKind.REQUEST, record.request_id)
        return CommandResult(request_id=record.request_id, fence=attempt.fence)

    def _assign(self, command: AssignDispatch) -> CommandResult:
        record, attempt = self._live(command.request_id, command.number)
        if record is None or attempt is None:
            return CommandResult.failed(ResultCode.UNKNOWN_ATTEMPT, "not live")
        attempt.entry_id = command.entry_id
        attempt.fence = self._next_fence()
        self._note(ChangeKind.REQUEST, record.request_id)
        return CommandResult(fence=attempt.fence)

    def _start(self, command: StartAttempt) -> CommandResult:
        record, attempt = self._live(command.request_id, command.number)
        if record is None or attempt is None:
            return CommandResult.failed(ResultCode.UNKNOWN_ATTEMPT, "not live")
        if attempt.fence != command.fence:
            return CommandResult.failed(ResultCode.STALE_FENCE, "newer fence")
        if attempt.state == AttemptState.STARTED:
            return CommandResult(fence=attempt.fence)
        if attempt.state != AttemptState.PLACED:
            return CommandResult.failed(ResultCode.ALREADY_ENDED, "stopping")
        for member in attempt.members:
            if self._may_start_on(member.upstream_id, member.incarnation):
                continue
            reason = f"upstream {member.upstream_id} takes no new work"
            self._end_unstarted(record, attempt, reason)
            self._note(ChangeKind.REQUEST, record.request_id)
            return CommandResult.failed(ResultCode.IN_USE, reason)
        attempt.state = AttemptState.STARTED
        attempt.started_at = self.last_at
        move(record, RequestState.STARTED, self.last_at, "all members are ready")
        self._note(ChangeKind.REQUEST, record.request_id)
        return CommandResult(fence=attempt.fence)

    def _stop(self, command: StopAttempt) -> CommandResult:
        record, attempt = self._live(command.request_id, command.number)
        if record is None or attempt is None:
            return CommandResult.failed(ResultCode.UNKNOWN_ATTEMPT, "not live")
        self._note(ChangeKind.REQUEST, record.request_id)
        if attempt.started_at is None:
            self._end_unstarted(record, attempt, command.reason)
            return CommandResult()
        attempt.state = AttemptState.STOPPING
        attempt.checkpoint_wanted = command.checkpoint
        attempt.stop_reason = command.reason
        return CommandResult()

    def _end(self, command: EndAttempt) -> CommandResult:
        record, attempt = self._live(command.request_id, command.number)
        if record is None or attempt is None:
            return CommandResult.failed(ResultCode.UNKNOWN_ATTEMPT, "not live")
        if attempt.fence != command.fence:
            return CommandResult.failed(ResultCode.STALE_FENCE, "newer fence")
        self._finish(record, attempt, command)
        self._note(ChangeKind.REQUEST, record.request_id)
        return CommandResult(request_id=record.request_id)

    def _acknowledge(self, command: AcknowledgeAnswer) -> CommandResult:
        record = self._owned(command.request_id, command.client_account)
        if record is None or not record.ended():
            return CommandResult.failed(ResultCode.NOT_FOUND, "no such answer")
        if record.state == RequestState.FINISHED:
            move(record, RequestState.ANSWERED, self.last_at, "acknowledged")
        record.answers = []
        record.payload = b""
        return CommandResult(request_id=record.request_id)

    def _expire(self, command: ExpireRecords) -> CommandResult:
        expired = []
        for record in self.request_by_id.values():
            if record.ended_at is None or record.ended_at >= command.before:
                continue
            expired.append(record)
            if len(expired) == command.limit:
                break
        for record in expired:
            del self.request_by_id[record.request_id]
            del self._request_id_by_key[(record.client_account, record.key)]
        return CommandResult()

    # Helpers.

    def _note(self, kind: ChangeKind, item_id: str) -> None:
        self._changes.append(Change(kind, item_id))

    def _next_fence(self) -> int:
        self._contents.last_fence += 1
        return self._contents.last_fence

    def _count_live(self, client_account: str, step: int) -> None:
        count = self._live_count_by_account.get(client_account, 0)
        self._live_count_by_account[client_account] = count + step

    def _owned(self, request_id: str, client_account: str) -> RequestRecord | None:
        record = self.request_by_id.get(request_id)
        if record is None or record.client_account != client_account:
            return None
        return record

    def _live(
        self, request_id: str, number: int
    ) -> tuple[RequestRecord | None, Attempt | None]:
        record = self.request_by_id.get(request_id)
        if record is None:
            return None, None
        attempt = record.live_attempt()
        if attempt is None or attempt.number != number:
            return None, None
        return record, attempt

    def _may_start_on(self, upstream_id: str, incarnation: str | None = None) -> bool:
        known = self.upstream_by_id.get(upstream_id)
        if known is None:
            return False
        if incarnation is not None and known.spec.incarnation != incarnation:
            return False
        if known.status in (UpstreamStatus.LEAVING, UpstreamStatus.LOST):
            return False
        return self.configuration.zone_in_service(known.spec.zone)

    def _occupy(self, record: RequestRecord, attempt: Attempt) -> None:
        for member in attempt.members:
            on_upstream = self._request_ids_by_upstream.setdefault(
                member.upstream_id, set()
            )
            on_upstream.add(record.request_id)

    def _release(self, record: RequestRecord, attempt: Attempt) -> None:
        for member in attempt.members:
            self.request_ids_on(member.upstream_id).discard(record.request_id)

    def _end_unstarted(
        self, record: RequestRecord, attempt: Attempt, reason: str
    ) -> None:
        attempt.stop_reason = reason
        end = EndAttempt(
            record.request_id,
            attempt.number,
            attempt.fence,
            AttemptOutcome.NEVER_BEGAN,
        )
        self._finish(record, attempt, end)

    def _finish(
        self, record: RequestRecord, attempt: Attempt, command: EndAttempt
    ) -> None:
        self._release(record, attempt)
        finish_attempt(record, attempt, command, self.last_at)
        if record.ended():
            self._count_live(record.client_account, -1)

    def _end_request(
        self, record: RequestRecord, state: RequestState, reason: str
    ) -> None:
        move(record, state, self.last_at, reason)
        self._count_live(record.client_account, -1)
