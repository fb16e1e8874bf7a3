"""Settings of an entry or control process.

The user's file is merged over the packaged defaults.
"""

import tomllib
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from persimmonyard.daemon.intake import IntakeLimits
from persimmonyard.daemon.settings_checks import check_settings, validation_user_error
from persimmonyard.model import ResultCode, UserError

__all__ = ["Settings", "load_settings"]


class ProcessSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Name, role and availability zone of an entry or control process."""

    name: str
    role: str
    zone: str


class HttpSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Listening address for HTTP, and the timeout of headers in seconds."""

    host: str
    port: int
    headers_s: float


class ControlSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses of the control processes, and the data folder.

    ``address`` and ``data_folder`` are those of this process; ``replicas``
    maps the name of each control process to its address.
    """

    address: str
    data_folder: str
    replicas: dict[str, str]


class AccessSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Hashes of the operator and upstream tokens.

    The tokens of client accounts are part of the replicated configuration
    instead.
    """

    operator_token_hashes: list[str]
    upstream_token_hashes: list[str]


class LimitSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of an entry process; fields that end in ``_s`` are seconds."""

    body_bytes: int
    body_s: float
    connections: int
    calls_per_account: int
    waiting_requests: int
    queued_commands: int
    wait_s: float


class IntakeSettings(msgspec.Struct, forbid_unknown_fields=True):
    """What connections may hold in memory, in bytes.

    ``memory_bytes`` is for all of the process, ``connection_bytes`` for each;
    0 leaves room for the largest body and its headers.
    """

    memory_bytes: int
    connection_bytes: int
    head_bytes: int


class ShutdownSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Durations of the phases of a graceful shutdown, in seconds."""

    notice_s: float
    drain_s: float


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The lowest level that is logged."""

    level: str


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of one process."""

    process: ProcessSettings
    http: HttpSettings
    control: ControlSettings
    access: AccessSettings
    limits: LimitSettings
    intake: IntakeSettings
    shutdown: ShutdownSettings
    log: LogSettings

    def intake_limits(self) -> IntakeLimits:
        """Return the limits on the connections of the process."""
        largest = self.limits.body_bytes + self.intake.head_bytes
        return IntakeLimits(
            memory_bytes=self.intake.memory_bytes,
            connection_bytes=self.intake.connection_bytes or largest,
            body_bytes=self.limits.body_bytes,
            head_bytes=self.intake.head_bytes,
            head_s=self.http.headers_s,
            body_s=self.limits.body_s,
            unread_answer_s=self.http.headers_s,
            connections=self.limits.connections,
        )


def load_settings(path: Path) -> Settings:
    """Return the checked settings in the file at ``path``.

    Raises ``UserError`` with code BAD_SETTING and the key of a bad setting.
    """
    defaults = resources.files("persimmonyard.daemon").joinpath("defaults.toml")
    merged = tomllib.loads(defaults.read_text())
    try:
        _deep_merge(merged, tomllib.loads(path.read_text()))
        settings = msgspec.convert(merged, Settings)
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(
            ResultCode.BAD_SETTING, f"cannot read settings: {error}"
        ) from error
    except tomllib.TOMLDecodeError as error:
        raise UserError(
            ResultCode.BAD_SETTING, f"settings are not TOML: {error}"
        ) from error
    except msgspec.ValidationError as error:
        raise validation_user_error(str(error), merged) from error
    check_settings(settings)
    return settings


def _deep_merge(base: dict[str, Any], override: dict[str, Any]) -> None:
    for key, value in override.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            _deep_merge(base[key], value)
            continue
        base[key] = value
