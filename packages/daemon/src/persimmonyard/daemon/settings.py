"""Settings of one process: packaged defaults under the user's file."""

import tomllib
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from persimmonyard.model import ResultCode, UserError

__all__ = ["Settings", "load_settings"]


class ProcessSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Name, role and availability zone of the process."""

    name: str
    role: str
    zone: str


class HttpSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where the process serves HTTP."""

    host: str
    port: int


class ControlSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The control processes, and the address and folder of this one."""

    address: str
    data_folder: str
    replicas: dict[str, str]


class AccessSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Hashes of the tokens that are not part of the configuration."""

    operator_token_hashes: list[str]
    upstream_token_hashes: list[str]


class LimitSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of an entry process."""

    body_bytes: int
    connections: int
    waiting_requests: int
    wait_s: float


class ShutdownSettings(msgspec.Struct, forbid_unknown_fields=True):
    """How long a graceful shutdown may take."""

    drain_s: float


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """What is logged."""

    level: str


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of one process."""

    process: ProcessSettings
    http: HttpSettings
    control: ControlSettings
    access: AccessSettings
    limits: LimitSettings
    shutdown: ShutdownSettings
    log: LogSettings


def load_settings(path: Path) -> Settings:
    """Return the checked settings in the file at ``path``.

    Raises ``UserError`` with code BAD_SETTING that names the key.
    """
    defaults = resources.files("persimmonyard.daemon").joinpath("defaults.toml")
    merged = tomllib.loads(defaults.read_text())
    try:
        _merge(merged, tomllib.loads(path.read_text()))
        settings = msgspec.convert(merged, Settings)
    except OSError as error:
        raise UserError(
            ResultCode.BAD_SETTING, f"cannot read settings: {error}"
        ) from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise UserError(ResultCode.BAD_SETTING, f"settings: {error}") from error
    _check(settings)
    return settings


def _merge(base: dict[str, Any], override: dict[str, Any]) -> None:
    for key, value in override.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            _merge(base[key], value)
            continue
        base[key] = value


def _check(settings: Settings) -> None:
    if not settings.process.name:
        raise _bad("process.name", "a name that is unique in the deployment")
    if settings.process.role not in ("entry", "control"):
        raise _bad("process.role", '"entry" or "control"')
    if not settings.process.zone:
        raise _bad("process.zone", "the availability zone of the instance")
    if not settings.control.replicas:
        raise _bad("control.replicas", 'name = "host:port" of each control process')
    if settings.process.role == "control" and not settings.control.data_folder:
        raise _bad("control.data_folder", "a folder on a disk of the instance")
    if settings.log.level not in ("debug", "info", "warning", "error"):
        raise _bad("log.level", '"debug", "info", "warning" or "error"')


def _bad(key: str, accepted: str) -> UserError:
    return UserError(
        ResultCode.BAD_SETTING, f"setting {key!r} must be {accepted}", field=key
    )
