"""What callers and operators of a soak have seen."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["JobSeen", "Seen"]


@dataclass
class JobSeen:
    """One job; times are of the steady clock, 0 where something is missing."""

    job_id: str
    route: str
    steps: list[dict[str, Any]]
    accepted_at: float = 0.0
    refused_only: bool = True
    cancel_sent_at: float = 0.0
    cancelled_at: float = 0.0
    # States with the times at which they were shown.
    states: list[tuple[float, str]] = field(default_factory=list)
    # Times at which a process said that there is no such job.
    missing: list[float] = field(default_factory=list)


@dataclass
class Seen:
    """Everything that the checks need besides the upstreams' lines."""

    job_by_id: dict[str, JobSeen] = field(default_factory=dict)
    # Version and the time of its acknowledgement.
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    # Time of sending and version of each read.
    reads: list[tuple[float, int]] = field(default_factory=list)
    # Acknowledgement, sending of the order to take it back, and zone.
    zones_out: list[tuple[float, float, str]] = field(default_factory=list)
    # Time at which an upstream was killed.
    deaths: list[tuple[float, str]] = field(default_factory=list)
    unfinished: list[str] = field(default_factory=list)
