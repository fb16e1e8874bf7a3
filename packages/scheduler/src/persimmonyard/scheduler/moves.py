"""Moves a few checkpointable tasks aside so that a waiting gang fits."""

from persimmonyard.scheduler.books import Books
from persimmonyard.scheduler.decisions import Decision
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.planner import Plan, Planner

__all__ = ["Moves"]


class Moves:
    """Plan moves for a job that does not fit."""

    def __init__(self, books: Books, planner: Planner) -> None:
        self._books = books
        self._planner = planner

    def plan(self, job: Job, now: float, decisions: list[Decision]) -> Plan | None:
        """Return a plan whose victims move elsewhere, if that pays."""
        return None
