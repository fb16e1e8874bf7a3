"""The replicated state machine: it applies log records in order."""

import hashlib
from typing import Any

from persimmonyard.model import ConfigurationChange, ResultCode
from persimmonyard.state import attempt_commands, request_commands, upstream_commands
from persimmonyard.state.changes import ChangeEvent, ChangeKind
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
    command_registry,
    decode_record,
)
from persimmonyard.state.configuration import Configuration
from persimmonyard.state.records import RequestRecord, UpstreamRecord
from persimmonyard.state.snapshots import (
    decode_contents,
    decode_requests,
    encode_contents,
)
from persimmonyard.state.store import KnownResult, Store

__all__ = ["ChangeEvent", "ChangeKind", "StateMachine"]

IDENTITY_RETENTION_S = 3_600.0
RECENT_CHANGES = 1_000


class StateMachine:
    """Apply commands to the replicated state.

    It is deterministic: the same records in the same order give the same
    state and results on every replica.

    Example: ``machine.apply(index, encode_record(LogRecord("", 1.0,
    CancelRequest("r-1", "clinic"))))`` returns a ``CommandResult``.
    """

    def __init__(self) -> None:
        self._store = Store()

    # Reading.

    @property
    def configuration(self) -> Configuration:
        """The configuration that operators stated."""
        return self._store.contents.configuration

    @property
    def changes_by_version(self) -> dict[int, tuple[ConfigurationChange, ...]]:
        """The latest configuration changes by the version they led to."""
        return self._store.changes_by_version

    @property
    def upstream_by_id(self) -> dict[str, UpstreamRecord]:
        """Every known upstream by its identity."""
        return self._store.contents.upstream_by_id

    @property
    def request_by_id(self) -> dict[str, RequestRecord]:
        """Every kept request by its identifier."""
        return self._store.contents.request_by_id

    @property
    def last_at(self) -> float:
        """The time of the last applied record, in seconds."""
        return self._store.contents.last_at

    def request_ids_on(self, upstream_id: str) -> set[str]:
        """Return the requests with a live attempt on an upstream."""
        return self._store.request_ids_by_upstream.get(upstream_id, set())

    def cached_result(self, identity: str) -> CommandResult | None:
        """Return the result of a command that was already executed."""
        known = self._store.contents.result_by_identity.get(identity)
        return None if known is None else known.result

    def has_expired_requests(self, before: float) -> bool:
        """Return whether a kept request ended before ``before``."""
        return self._store.has_expired_requests(before)

    def take_change_events(self) -> list[ChangeEvent]:
        """Return the changes since the last call, in order."""
        changes = self._store.changes
        self._store.changes = []
        return changes

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return encode_contents(self._store.contents)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        self._store.load(decode_contents(data), decode_requests(data))

    # Applying.

    def apply(self, index: int, entry: bytes) -> CommandResult:
        """Apply the encoded record at ``index`` of the log."""
        return self.apply_record(decode_record(entry))

    def apply_record(self, record: LogRecord) -> CommandResult:
        """Apply a record; a known identity gets its first result again.

        An identity that comes again with another command gets KEY_REUSED.
        """
        contents = self._store.contents
        contents.last_at = max(contents.last_at, record.at)
        if not record.identity:
            return self._dispatch(record.command)
        self._forget_identities()
        fingerprint = _fingerprint(record.command)
        known = contents.result_by_identity.get(record.identity)
        if known is None:
            result = self._dispatch(record.command)
            contents.result_by_identity[record.identity] = KnownResult(
                contents.last_at, fingerprint, result
            )
            return result
        if known.fingerprint != fingerprint:
            return CommandResult.failed(
                ResultCode.KEY_REUSED, "the identity was used for another command"
            )
        return known.result

    def _forget_identities(self) -> None:
        """Remove expired identities; the oldest come first in the dict."""
        results = self._store.contents.result_by_identity
        limit = self.last_at - IDENTITY_RETENTION_S
        while results:
            identity = next(iter(results))
            if results[identity].at >= limit:
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
        self.changes_by_version.pop(version - RECENT_CHANGES, None)
        self._store.note(ChangeKind.CONFIGURATION, str(version))
        return CommandResult(version=version)


def _fingerprint(command: Any) -> str:
    encoded = command_registry.encode(command)
    return hashlib.sha256(encoded).hexdigest()[:16]
