"""Records of what callers and operators observed during a soak."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["JobObservations", "Observations"]


@dataclass
class JobObservations:
    """What callers observed of one job.

    Times are seconds of the monotonic clock, and 0 for what did not happen.
    ``all_refused`` is true while every submission of the job was refused.
    """

    job_id: str
    route: str
    steps: list[dict[str, Any]]
    accepted_at: float = 0.0
    all_refused: bool = True
    cancel_sent_at: float = 0.0
    cancel_acknowledged_at: float = 0.0
    # Time of the answer and state of each successful query.
    observed_states: list[tuple[float, str]] = field(default_factory=list)
    # Times of sending of the queries that were answered with "no such job".
    not_found_at: list[float] = field(default_factory=list)


@dataclass
class Observations:
    """All observations of a soak besides the logs of the upstreams."""

    job_by_id: dict[str, JobObservations] = field(default_factory=dict)
    # Time of the acknowledgement and version of each configuration.
    acknowledged_versions: list[tuple[float, int]] = field(default_factory=list)
    # Time of sending and version of each read of the configuration.
    version_reads: list[tuple[float, int]] = field(default_factory=list)
    # Time of the acknowledgement that the zone is out of service, time at
    # which its return is ordered, and zone.
    zones_out: list[tuple[float, float, str]] = field(default_factory=list)
    # Time and name of each killed upstream.
    kills: list[tuple[float, str]] = field(default_factory=list)
    unfinished: list[str] = field(default_factory=list)
