"""Settings of the command line, in layers up to the options."""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from persimmonyard.model import ResultCode, UserError

__all__ = ["CliSettings", "load_settings"]

CONFIG_VARIABLE = "PERSIMMONYARD_CONFIG"
DEFAULT_CONFIG = Path("~/.config/persimmonyard/cli.toml")

# The name of each setting, its environment variable, and what it accepts.
_KEYS = {
    "urls": ("PERSIMMONYARD_URL", "a list of URLs like http://10.0.0.1:8080"),
    "token": ("PERSIMMONYARD_TOKEN", "the token of a client account"),
    "operator_token": ("PERSIMMONYARD_OPERATOR_TOKEN", "an operator's token"),
    "retry_s": ("PERSIMMONYARD_RETRY_S", "seconds from 0 to 3600"),
    "processes": ("", "a table of name = URL, for dump"),
}


@dataclass(frozen=True)
class CliSettings:
    """What every command needs.

    ``urls`` are base URLs of entries.  ``retry_s`` is how long a call is sent
    again after lost answers, in seconds.  ``processes`` has the base URL of
    each process's HTTP port, for ``dump``.
    """

    urls: tuple[str, ...] = ()
    token: str = ""
    operator_token: str = ""
    retry_s: float = 15.0
    processes: Mapping[str, str] = field(default_factory=dict)


def load_settings(
    options: Mapping[str, Any], environment: Mapping[str, str] | None = None
) -> CliSettings:
    """Return the settings of all layers; options that are ``None`` are absent.

    Raises ``UserError`` with code BAD_SETTING that names the key.
    """
    known = dict(os.environ if environment is None else environment)
    layers = [_user_file(known), _from_environment(known), options]
    settings = CliSettings()
    for layer in layers:
        for key, value in layer.items():
            if value is None:
                continue
            settings = replace(settings, **{key: _checked(key, value)})
    return settings


def _user_file(environment: Mapping[str, str]) -> dict[str, Any]:
    named = environment.get(CONFIG_VARIABLE)
    path = Path(named) if named else DEFAULT_CONFIG.expanduser()
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        if named is None:
            return {}
        raise UserError(
            ResultCode.BAD_SETTING, f"{CONFIG_VARIABLE} names no file: {path}"
        ) from None
    except (OSError, ValueError) as error:
        raise UserError(
            ResultCode.BAD_SETTING, f"cannot read {path}: {error}"
        ) from error


def _from_environment(environment: Mapping[str, str]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, (variable, _) in _KEYS.items():
        if variable and environment.get(variable):
            found[key] = environment[variable]
    return found


def _checked(key: str, value: Any) -> Any:
    if key not in _KEYS:
        known = ", ".join(_KEYS)
        raise UserError(
            ResultCode.BAD_SETTING, f"setting {key!r} is unknown; known: {known}", key
        )
    match key:
        case "urls":
            return _checked_urls(value)
        case "retry_s":
            return _checked_seconds(value)
        case "processes":
            return _checked_processes(value)
    if not isinstance(value, str):
        raise _bad(key)
    return value


def _checked_urls(value: Any) -> tuple[str, ...]:
    parts = value.split(",") if isinstance(value, str) else list(value)
    for part in parts:
        if not isinstance(part, str) or not part.startswith(("http://", "https://")):
            raise _bad("urls")
    return tuple(part.strip().rstrip("/") for part in parts)


def _checked_seconds(value: Any) -> float:
    try:
        seconds = float(value)
    except (TypeError, ValueError):
        raise _bad("retry_s") from None
    if not 0 <= seconds <= 3_600:
        raise _bad("retry_s")
    return seconds


def _checked_processes(value: Any) -> dict[str, str]:
    if not isinstance(value, dict):
        raise _bad("processes")
    for url in value.values():
        if not isinstance(url, str) or not url.startswith(("http://", "https://")):
            raise _bad("processes")
    return dict(value)


def _bad(key: str) -> UserError:
    accepted = _KEYS[key][1]
    return UserError(
        ResultCode.BAD_SETTING, f"setting {key!r} must be {accepted}", field=key
    )
