"""Commands that change the replicated state, and their encoding."""

import msgspec

from persimmonyard.jobs.configuration import JobConfiguration
from persimmonyard.jobs.fleet import UpstreamReport
from persimmonyard.jobs.model import Job, TaskEnd, UnitKey

__all__ = [
    "CancelJob",
    "Command",
    "EndRuns",
    "ExpireJobs",
    "ForgetUpstreams",
    "NoteUpstreams",
    "PlaceRuns",
    "Placement",
    "PutConfiguration",
    "RunEnd",
    "Seat",
    "SetZone",
    "SubmitJob",
    "decode_command",
    "encode_command",
]


class _Command(msgspec.Struct, frozen=True, array_like=True):
    """Base of the commands."""


class PutConfiguration(_Command, frozen=True, array_like=True, tag="cfg"):
    """Put a configuration in force unless its version is not higher."""

    configuration: JobConfiguration


class SetZone(_Command, frozen=True, array_like=True, tag="zone"):
    """Take an availability zone out of service or back."""

    zone: str
    out: bool


class SubmitJob(_Command, frozen=True, array_like=True, tag="sub"):
    """Accept a job; the same identifier again changes nothing."""

    job: Job


class CancelJob(_Command, frozen=True, array_like=True, tag="can"):
    """Cancel a job; none of its tasks is placed any more."""

    job_id: str
    at_ms: int


class Seat(msgspec.Struct, frozen=True, array_like=True):
    """Where one task of a unit runs: one incarnation of an upstream."""

    task: int
    upstream_id: str
    incarnation: int
    address: str
    zone: str


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """A run of a unit, with a seat for each of its tasks."""

    key: UnitKey
    run: int
    seats: tuple[Seat, ...]


class PlaceRuns(_Command, frozen=True, array_like=True, tag="pla"):
    """Assign units to upstreams, before any start is sent."""

    placements: tuple[Placement, ...]


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of one task of a run."""

    key: UnitKey
    task: int
    run: int
    end: TaskEnd
    checkpoint: str = ""


class EndRuns(_Command, frozen=True, array_like=True, tag="end"):
    """Record ends, before upstreams are told to forget them."""

    ends: tuple[RunEnd, ...]
    at_ms: int


class ExpireJobs(_Command, frozen=True, array_like=True, tag="exp"):
    """Forget jobs that ended long ago."""

    job_ids: tuple[str, ...]


class NoteUpstreams(_Command, frozen=True, array_like=True, tag="ups"):
    """Remember what upstreams are, so that the next leader knows them."""

    reports: tuple[UpstreamReport, ...]


class ForgetUpstreams(_Command, frozen=True, array_like=True, tag="fgt"):
    """Forget upstreams that are silent."""

    upstream_ids: tuple[str, ...]


Command = (
    PutConfiguration
    | SetZone
    | SubmitJob
    | CancelJob
    | PlaceRuns
    | EndRuns
    | ExpireJobs
    | NoteUpstreams
    | ForgetUpstreams
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return the bytes of a log entry."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command in a log entry."""
    return _DECODER.decode(data)
