"""The replicated state machine, which applies log records in order."""

import hashlib
from typing import Any

from persimmonyard.model import ConfigurationChange, ResultCode
from persimmonyard.state import attempt_commands, request_commands, upstream_commands
from persimmonyard.state.change_events import ChangeEvent, ChangeKind
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
    command_codec,
    decode_record,
)
from persimmonyard.state.configuration import Configuration
from persimmonyard.state.records import RequestRecord, UpstreamRecord
from persimmonyard.state.snapshots import (
    decode_contents,
    decode_requests,
    encode_snapshot,
)
from persimmonyard.state.store import CachedResult, StateStore

__all__ = ["ChangeEvent", "ChangeKind", "StateMachine"]

IDENTITY_RETENTION_S = 3_600.0
MAX_RETAINED_VERSIONS = 1_000


class StateMachine:
    """Applies commands to the replicated state.

    It is deterministic: the same log records in the same order give the
    same state and results on every replica.

    Example: ``machine.apply(index, encode_record(LogRecord("", 1.0,
    CancelRequest("r-1", "clinic"))))`` returns a ``CommandResult``.
    """

    def __init__(self) -> None:
        self._store = StateStore()

    @property
    def configuration(self) -> Configuration:
        """The current configuration, as set by operators."""
        return self._store.contents.configuration

    @property
    def changes_by_version(self) -> dict[int, tuple[ConfigurationChange, ...]]:
        """The latest configuration changes by the version they produced."""
        return self._store.changes_by_version

    @property
    def upstream_by_id(self) -> dict[str, UpstreamRecord]:
        """Every known upstream by its identifier."""
        return self._store.contents.upstream_by_id

    @property
    def request_by_id(self) -> dict[str, RequestRecord]:
        """Every retained request by its identifier."""
        return self._store.contents.request_by_id

    @property
    def last_at(self) -> float:
        """The time of the last applied log record, in seconds."""
        return self._store.contents.last_at

    def request_ids_on(self, upstream_id: str) -> set[str]:
        """Return the requests that have a live attempt on an upstream."""
        return self._store.request_ids_by_upstream.get(upstream_id, set())

    def cached_result(self, identity: str) -> CommandResult | None:
        """Return the retained result of the command with an identity."""
        cached = self._store.contents.result_by_identity.get(identity)
        return None if cached is None else cached.result

    def has_expired_requests(self, before: float) -> bool:
        """Return whether a retained request ended before ``before``."""
        return self._store.has_expired_requests(before)

    def take_change_events(self) -> list[ChangeEvent]:
        """Return the change events since the last call, in order."""
        events = self._store.change_events
        self._store.change_events = []
        return events

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode_snapshot(self._store.contents)

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of an encoded snapshot."""
        self._store.load(decode_contents(data), decode_requests(data))

    def apply(self, index: int, entry: bytes) -> CommandResult:
        """Decode and apply the log record in the log entry at ``index``."""
        return self.apply_record(decode_record(entry))

    def apply_record(self, record: LogRecord) -> CommandResult:
        """Apply a log record and return the result of its command.

        A command with an identity that was applied before is not executed
        again: the same command gets its first result, and a different one
        gets KEY_REUSED.
        """
        contents = self._store.contents
        contents.last_at = max(contents.last_at, record.at)
        if not record.identity:
            return self._dispatch(record.command)
        self._expire_identities()
        fingerprint = _fingerprint(record.command)
        cached = contents.result_by_identity.get(record.identity)
        if cached is None:
            result = self._dispatch(record.command)
            contents.result_by_identity[record.identity] = CachedResult(
                contents.last_at, fingerprint, result
            )
            return result
        if cached.fingerprint != fingerprint:
            return CommandResult.failed(
                ResultCode.KEY_REUSED, "the identity was used for another command"
            )
        return cached.result

    def _expire_identities(self) -> None:
        """Remove the cached results of expired identities.

        The dict is in insertion order, so the oldest come first.
        """
        results = self._store.contents.result_by_identity
        expired_before = self.last_at - IDENTITY_RETENTION_S
        while results:
            identity = next(iter(results))
            if results[identity].at >= expired_before:
                return
            del results[identity]

    def _dispatch(self, command: Any) -> CommandResult:
        store = self._store
        match command:
            case ApplyConfiguration():
                return self._apply_configuration(command)
            case RegisterUpstream():
                return upstream_commands.register_upstream(store, command)
            case SetUpstreamStatus():
                return upstream_commands.set_upstream_status(store, command)
            case SubmitRequest():
                return request_commands.submit(store, command)
            case CancelRequest():
                return request_commands.cancel(store, command)
            case RefuseRequest():
                return request_commands.refuse(store, command)
            case AcknowledgeAnswer():
                return request_commands.acknowledge(store, command)
            case ExpireRecords():
                return request_commands.expire(store, command)
            case PlaceAttempt():
                return attempt_commands.place(store, command)
            case AssignDispatch():
                return attempt_commands.assign(store, command)
            case StartAttempt():
                return attempt_commands.start(store, command)
            case StopAttempt():
                return attempt_commands.stop(store, command)
            case EndAttempt():
                return attempt_commands.end(store, command)
        raise TypeError(f"unknown command {command!r}")

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
        version += 1
        self.configuration.version = version
        self.changes_by_version[version] = command.changes
        self.changes_by_version.pop(version - MAX_RETAINED_VERSIONS, None)
        self._store.emit_change(ChangeKind.CONFIGURATION, str(version))
        return CommandResult(version=version)


def _fingerprint(command: Any) -> str:
    encoded = command_codec.encode(command)
    return hashlib.sha256(encoded).hexdigest()[:16]
