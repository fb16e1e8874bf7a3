"""Scheduling of jobs on upstreams: placement, preemption and guarantees."""

from persimmonyard.scheduler.decisions import (
    Decision,
    GuaranteeProblem,
    Place,
    Preempt,
    Quarantine,
    Reason,
    Refuse,
)
from persimmonyard.scheduler.events import (
    AttemptEnded,
    AttemptPlaced,
    AttemptRunning,
    ClassChanged,
    ClientAccountChanged,
    Event,
    Job,
    JobRemoved,
    JobWaiting,
    UpstreamDown,
    UpstreamLeaving,
    UpstreamUp,
    ZoneChanged,
)
from persimmonyard.scheduler.scheduler import Scheduler

__all__ = [
    "AttemptEnded",
    "AttemptPlaced",
    "AttemptRunning",
    "ClassChanged",
    "ClientAccountChanged",
    "Decision",
    "Event",
    "GuaranteeProblem",
    "Job",
    "JobRemoved",
    "JobWaiting",
    "Place",
    "Preempt",
    "Quarantine",
    "Reason",
    "Refuse",
    "Scheduler",
    "UpstreamDown",
    "UpstreamLeaving",
    "UpstreamUp",
    "ZoneChanged",
]
