"""Commands of the replicated job state, and their encoding."""

from enum import StrEnum

import msgspec

from persimmonyard.jobs.configuration import JobConfiguration
from persimmonyard.jobs.fleet import UpstreamReport
from persimmonyard.jobs.model import Job, TaskEnd, UnitKey
from persimmonyard.jobs.noted_doubts import EndDoubt

__all__ = [
    "Answer",
    "CancelJob",
    "Command",
    "EndRuns",
    "ExpireJobs",
    "ForgetUpstreams",
    "InvalidCommandError",
    "NoteDoubts",
    "NoteSilence",
    "NoteSpeeds",
    "NoteUpstreams",
    "NotedSpeed",
    "OpenOccurrences",
    "PlaceRuns",
    "Placement",
    "PutConfiguration",
    "RunEnd",
    "RunSilence",
    "Seat",
    "SetZone",
    "Silence",
    "StartEvidence",
    "SubmitJob",
    "decode_command",
    "encode_command",
]


class InvalidCommandError(Exception):
    """A command has a value that a log entry cannot hold."""


class _Command(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the commands."""


class PutConfiguration(_Command, frozen=True, array_like=True, tag="cfg"):
    """Apply a configuration if its version is higher than the current one."""

    configuration: JobConfiguration


class SetZone(_Command, frozen=True, array_like=True, tag="zone"):
    """Take an availability zone out of service, or return it to service."""

    zone: str
    out: bool


class SubmitJob(_Command, frozen=True, array_like=True, tag="sub"):
    """Accept a job; a job whose identifier is known changes nothing.

    It is not accepted if all jobs together would then take more memory than
    ``budget`` bytes in a control process; 0 means that there is no limit.
    """

    job: Job
    budget: int = 0


class OpenOccurrences(_Command, frozen=True, array_like=True, tag="due"):
    """Create the tasks of the occurrences that are due at a time.

    One that takes more memory than the ``budget`` in bytes leaves free waits,
    unless it is the only one of its job.
    """

    at_ms: int
    budget: int


class CancelJob(_Command, frozen=True, array_like=True, tag="can"):
    """Cancel a job, so that none of its tasks is placed any more.

    A job that is not known is not accepted later.  ``account`` is that of the
    caller.
    """

    job_id: str
    at_ms: int
    account: str = ""


class Seat(msgspec.Struct, frozen=True, array_like=True):
    """The assignment of one task to one incarnation of an upstream."""

    task: int
    upstream_id: str
    incarnation: int
    address: str
    zone: str


class StartEvidence(StrEnum):
    """What shows that a run began on an upstream that is silent now.

    ``LISTED`` and ``ANSWERED``: the upstream has listed the run, or answered
    the start.  ``SENT``: a start may have reached it.  ``UNKNOWN``: a leader
    that has ended since may have sent a start.  ``NONE``: no start was
    delivered while the upstream was alive.
    """

    LISTED = "listed"
    ANSWERED = "answered"
    SENT = "sent"
    UNKNOWN = "unknown"
    NONE = "none"


class Silence(msgspec.Struct, frozen=True, array_like=True):
    """What the silence of an upstream says about a run that was placed there.

    ``start_ms`` is the time from the start of the run to the first call
    without an answer, and ``alive_ms`` the time from the last listing before
    the start to that call.  An upstream that crashed did so within the first
    if the run had begun, and else within the second.
    """

    evidence: StartEvidence
    start_ms: int
    alive_ms: int

    def describe(self) -> str:
        """Return a description for log lines."""
        return f"{self.evidence}, {self.start_ms} of {self.alive_ms} ms"


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """The placement of a unit: its run number and a seat for each task."""

    key: UnitKey
    run: int
    seats: tuple[Seat, ...]


class PlaceRuns(_Command, frozen=True, array_like=True, tag="pla"):
    """Assign units to upstreams; committed before any start is sent."""

    placements: tuple[Placement, ...]
    at_ms: int = 0


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of one task of a run."""

    key: UnitKey
    task: int
    run: int
    end: TaskEnd
    checkpoint: str = ""


class RunSilence(msgspec.Struct, frozen=True, array_like=True):
    """What the silence of its upstream says about one task of a run."""

    key: UnitKey
    task: int
    run: int
    silence: Silence


class EndRuns(_Command, frozen=True, array_like=True, tag="end"):
    """Record ends of runs; committed before upstreams get acknowledgements."""

    ends: tuple[RunEnd, ...]
    at_ms: int


class ExpireJobs(_Command, frozen=True, array_like=True, tag="exp"):
    """Delete jobs whose retention time has passed."""

    job_ids: tuple[str, ...]


class NoteUpstreams(_Command, frozen=True, array_like=True, tag="ups"):
    """Store reports of upstreams, so that the next leader can use them.

    The report of a new incarnation shows that the one before it has ended.
    """

    reports: tuple[UpstreamReport, ...]
    at_ms: int = 0


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """An answer of an incarnation of an upstream after a silence."""

    upstream_id: str
    incarnation: int
    address: str


class NoteSilence(_Command, frozen=True, array_like=True, tag="sil"):
    """Record what the silence of an upstream says about the runs on it.

    The next leader and the verdict about a crash then know it as well.  What
    was recorded of the upstreams in ``answers`` is void: they were only cut
    off, and their silence says nothing about a later crash.
    """

    runs: tuple[RunSilence, ...]
    answers: tuple[Answer, ...] = ()


class NoteDoubts(_Command, frozen=True, array_like=True, tag="dbt"):
    """Store how many ends upstreams may forget, for the next leader.

    Committed before the first start on an incarnation, and again with a count
    of 0 once it forgets none any more.
    """

    doubts: tuple[EndDoubt, ...]


class ForgetUpstreams(_Command, frozen=True, array_like=True, tag="fgt"):
    """Delete the reports of upstreams that no longer send heartbeats."""

    upstream_ids: tuple[str, ...]


class NotedSpeed(msgspec.Struct, frozen=True, array_like=True):
    """The speed of an incarnation of an upstream, in thousandths.

    1,000 is the median of the fleet.
    """

    upstream_id: str
    incarnation: int
    factor_thousandths: int


class NoteSpeeds(_Command, frozen=True, array_like=True, tag="spd"):
    """Store speeds of upstreams, so that the next leader starts from them."""

    speeds: tuple[NotedSpeed, ...]


Command = (
    PutConfiguration
    | SetZone
    | SubmitJob
    | OpenOccurrences
    | CancelJob
    | PlaceRuns
    | EndRuns
    | ExpireJobs
    | NoteDoubts
    | NoteSilence
    | NoteSpeeds
    | NoteUpstreams
    | ForgetUpstreams
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command as a log entry.

    Raises ``InvalidCommandError`` for a number beyond 64 bits or text that is
    not Unicode.
    """
    try:
        return _ENCODER.encode(command)
    except (OverflowError, UnicodeEncodeError) as error:
        raise InvalidCommandError(str(error)) from error


def decode_command(data: bytes) -> Command:
    """Decode the command in a log entry."""
    return _DECODER.decode(data)
