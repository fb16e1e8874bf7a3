"""Settings of the job roles, read from one TOML file per process."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from persimmonyard.daemon.intake import IntakeLimits
from persimmonyard.model import ResultCode, UserError

__all__ = ["BoundSettings", "JobSettings", "load_job_settings", "peer_seeds"]

ROLES = ("job-entry", "job-control")
# Limits on bodies of a process whose settings have none, in bytes.  Callers
# may send 262,144 bytes unless operators allow more; upstreams' reports and
# configurations may have 4 MiB.
ENTRY_BODY_BYTES = 1 << 20
CONTROL_BODY_BYTES = 4 << 20


# Values that a platform fills in as text, which is empty where it has none.
_OPTIONAL_VALUES = (
    ("bounds", "longest_stop_ms"),
    ("group", "tolerated_losses"),
    ("limits", "memory_mb"),
)
# The part of the memory of an instance that the records of jobs may take.
_WORK_SHARE = 0.25


class ProcessSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Name, role and availability zone of the process."""

    name: str
    role: str
    zone: str
    log_level: str = "info"


class AddressSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Listen addresses as "IP:PORT", or empty for servers that don't run.

    ``peer_port`` is the port for calls between processes of the service, the
    same on all instances.  With ``bind_ip`` the process listens on that
    address, and clients reach it at the other addresses through a relay or
    NAT.
    """

    ip: str
    peer_port: int
    callers: str = ""
    readiness: str = ""
    control: str = ""
    metrics_port: int = 0
    bind_ip: str = ""

    def listen_on(self, address: str) -> tuple[str, int]:
        """Return host and port to bind for a published address."""
        host, _, port = address.rpartition(":")
        return self.bind_ip or host, int(port)

    def metrics_host(self) -> str:
        """Return the host to bind for metrics."""
        return self.bind_ip or self.ip


class GroupSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings to find the group of control processes.

    ``seeds`` are the control addresses of the initial members.
    ``first_start`` is true only while a new deployment starts with empty
    disks.  ``tolerated_losses`` is how many control processes may be lost at
    the same time.
    """

    seeds: list[str]
    first_start: bool
    data_folder: str = ""
    tolerated_losses: int = 1


class BoundSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Time limits that the platform specifies."""

    longest_lease_ms: int
    gang_patience_ms: int
    state_kept_s: float
    heartbeat_ms: int
    stop_grace_s: float
    contact_ms: int
    longest_stop_ms: int = 1_000


class LimitSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the instance has; a process that uses more is killed."""

    memory_mb: int = 256


class JobSettings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of one process."""

    process: ProcessSettings
    addresses: AddressSettings
    group: GroupSettings
    bounds: BoundSettings
    intake: IntakeLimits = IntakeLimits()
    limits: LimitSettings = LimitSettings()

    def work_budget(self) -> int:
        """Return how much memory accepted jobs may take, in bytes.

        The rest is for the program, connections, the log, and a snapshot that
        is being written, sent or read.
        """
        return int(self.limits.memory_mb * 1e6 * _WORK_SHARE)

    def intake_limits(self) -> IntakeLimits:
        """Return the limits on connections, with those that go by the role."""
        control = self.process.role == "job-control"
        role_bytes = CONTROL_BODY_BYTES if control else ENTRY_BODY_BYTES
        body_bytes = self.intake.body_bytes or role_bytes
        return msgspec.structs.replace(self.intake, body_bytes=body_bytes)


def load_job_settings(path: Path) -> JobSettings:
    """Read and validate the settings file at ``path``.

    Raises ``UserError`` with code BAD_SETTING; its message names the key.
    """
    try:
        document = tomllib.loads(path.read_text())
        _read_optional(document)
        settings = msgspec.convert(document, JobSettings)
    except (OSError, UnicodeDecodeError) as error:
        raise _invalid_setting(f"cannot read settings: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise _invalid_setting(f"settings are not TOML: {error}") from error
    except msgspec.ValidationError as error:
        raise _invalid_setting(f"settings: {error}") from error
    _validate(settings)
    return settings


def _read_optional(document: dict[str, Any]) -> None:
    """Replace the text of values that a platform may leave empty.

    An empty one counts as not given.  What is no number is left for the
    validation to refuse.
    """
    for section, name in _OPTIONAL_VALUES:
        values = document.get(section)
        if not isinstance(values, dict):
            continue
        value = values.get(name)
        if value == "":
            del values[name]
        elif isinstance(value, str) and value.isdecimal():
            values[name] = int(value)


def peer_seeds(settings: JobSettings) -> list[str]:
    """Return the gRPC addresses of the seeds."""
    port = settings.addresses.peer_port
    return [f"{seed.rpartition(':')[0]}:{port}" for seed in settings.group.seeds]


def _validate(settings: JobSettings) -> None:
    if settings.process.role not in ROLES:
        raise _invalid_setting(
            f"process.role is {settings.process.role!r}, not one of {ROLES}"
        )
    if not settings.group.seeds:
        raise _invalid_setting("group.seeds is empty; give the control addresses")
    if settings.group.tolerated_losses < 0:
        raise _invalid_setting(
            f"group.tolerated_losses is {settings.group.tolerated_losses}; "
            "give 0 or a number above it"
        )
    control = settings.process.role == "job-control"
    if control and not settings.group.data_folder:
        raise _invalid_setting(
            "group.data_folder is empty; control processes keep data"
        )
    if control and not settings.addresses.control:
        raise _invalid_setting("addresses.control is empty; give IP:PORT")
    if not control and not settings.addresses.callers:
        raise _invalid_setting("addresses.callers is empty; give IP:PORT")
    for name, value in msgspec.structs.asdict(settings.bounds).items():
        if value <= 0:
            raise _invalid_setting(f"bounds.{name} is {value}; give a number above 0")
    if settings.limits.memory_mb <= 0:
        raise _invalid_setting(
            f"limits.memory_mb is {settings.limits.memory_mb}; give a number above 0"
        )
    conflict = settings.intake_limits().find_conflict()
    if conflict:
        name, _, accepted = conflict.partition(" ")
        raise _invalid_setting(f"intake.{name} must be {accepted}")


def _invalid_setting(message: str) -> UserError:
    return UserError(ResultCode.BAD_SETTING, message)
