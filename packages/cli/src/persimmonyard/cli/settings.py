"""Settings of the command-line interface.

They are merged from the settings file of the user, the environment and the
options; later sources override earlier ones.
"""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from persimmonyard.model import ResultCode, UserError

__all__ = ["CliSettings", "load_settings"]

CONFIG_PATH_VARIABLE = "PERSIMMONYARD_CONFIG"
DEFAULT_CONFIG_PATH = Path("~/.config/persimmonyard/cli.toml")

# Maps the name of each setting to its environment variable (empty if it has
# none) and to a description of its accepted values.
_SETTING_SPECS = {
    "urls": ("PERSIMMONYARD_URL", "a list of URLs like http://10.0.0.1:8080"),
    "token": ("PERSIMMONYARD_TOKEN", "the token of a client account"),
    "operator_token": ("PERSIMMONYARD_OPERATOR_TOKEN", "an operator's token"),
    "retry_s": ("PERSIMMONYARD_RETRY_S", "seconds from 0 to 3600"),
    "processes": ("", "a table of name = URL, for dump"),
}


@dataclass(frozen=True)
class CliSettings:
    """Settings that all commands share.

    ``urls`` are the base URLs of entries.  ``retry_s`` is the time in seconds
    during which a failed call is retried.  ``processes`` maps the name of
    each process to the base URL of its HTTP port, for ``dump``.
    """

    urls: tuple[str, ...] = ()
    token: str = ""
    operator_token: str = ""
    retry_s: float = 15.0
    processes: Mapping[str, str] = field(default_factory=dict)


def load_settings(
    options: Mapping[str, Any], environment: Mapping[str, str] | None = None
) -> CliSettings:
    """Return the settings merged from all layers.

    Options that are ``None`` are ignored.  Raises ``UserError`` with code
    BAD_SETTING, and with the key in ``field`` if one setting is at fault.
    """
    variables = dict(os.environ if environment is None else environment)
    layers = [_read_user_file(variables), _read_environment(variables), options]
    settings = CliSettings()
    for layer in layers:
        for key, value in layer.items():
            if value is None:
                continue
            settings = replace(settings, **{key: _validate(key, value)})
    return settings


def _read_user_file(environment: Mapping[str, str]) -> dict[str, Any]:
    configured_path = environment.get(CONFIG_PATH_VARIABLE)
    path = (
        Path(configured_path) if configured_path else DEFAULT_CONFIG_PATH.expanduser()
    )
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        if configured_path is None:
            return {}
        raise UserError(
            ResultCode.BAD_SETTING, f"{CONFIG_PATH_VARIABLE}: no such file: {path}"
        ) from None
    except (OSError, ValueError) as error:
        raise UserError(
            ResultCode.BAD_SETTING, f"cannot read {path}: {error}"
        ) from error


def _read_environment(environment: Mapping[str, str]) -> dict[str, Any]:
    value_by_key: dict[str, Any] = {}
    for key, (variable, _) in _SETTING_SPECS.items():
        if variable and environment.get(variable):
            value_by_key[key] = environment[variable]
    return value_by_key


def _validate(key: str, value: Any) -> Any:
    if key not in _SETTING_SPECS:
        known = ", ".join(_SETTING_SPECS)
        raise UserError(
            ResultCode.BAD_SETTING, f"setting {key!r} is unknown; known: {known}", key
        )
    match key:
        case "urls":
            return _validate_urls(value)
        case "retry_s":
            return _validate_seconds(value)
        case "processes":
            return _validate_processes(value)
    if not isinstance(value, str):
        raise _invalid_setting(key)
    return value


def _validate_urls(value: Any) -> tuple[str, ...]:
    parts = value.split(",") if isinstance(value, str) else list(value)
    for part in parts:
        if not isinstance(part, str) or not part.startswith(("http://", "https://")):
            raise _invalid_setting("urls")
    return tuple(part.strip().rstrip("/") for part in parts)


def _validate_seconds(value: Any) -> float:
    try:
        seconds = float(value)
    except (TypeError, ValueError):
        raise _invalid_setting("retry_s") from None
    if not 0 <= seconds <= 3_600:
        raise _invalid_setting("retry_s")
    return seconds


def _validate_processes(value: Any) -> dict[str, str]:
    if not isinstance(value, dict):
        raise _invalid_setting("processes")
    for url in value.values():
        if not isinstance(url, str) or not url.startswith(("http://", "https://")):
            raise _invalid_setting("processes")
    return dict(value)


def _invalid_setting(key: str) -> UserError:
    accepted = _SETTING_SPECS[key][1]
    return UserError(
        ResultCode.BAD_SETTING, f"setting {key!r} must be {accepted}", field=key
    )
