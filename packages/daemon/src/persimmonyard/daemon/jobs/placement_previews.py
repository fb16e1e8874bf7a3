"""Calls that ask where a job would be placed, on the leader.

Load pattern: callers ask again and again.  An answer takes as long as a plan,
in which the leader sends no heartbeats.  So answers are made one at a time,
with pauses between them, and only a few calls may wait.
"""

import asyncio
import time

from persimmonyard.daemon.jobs.leader_term import LeaderTerm
from persimmonyard.jobs import Job, PlacementPreview
from persimmonyard.replication import NotLeaderError

__all__ = ["PlacementPreviews", "TooManyPreviewsError"]

# At most this many calls are answered or wait.
_MAX_CALLS = 4
# A call whose turn comes later than this, in seconds, is refused: an entry
# that gets no reply for 0.9 s takes the leader for lost, and an answer takes
# up to 0.3 s.
_MAX_WAIT_S = 0.3
# The part of the leader's time that is spent on answers is at most 1 divided
# by this.  Plans take up to a fourth of it, and calls need the rest.
_TIME_DIVISOR = 8


class TooManyPreviewsError(Exception):
    """Too many calls are answered or wait already."""


class PlacementPreviews:
    """Answers calls one at a time, with a pause after each."""

    def __init__(self) -> None:
        self._calls = 0
        self._next_at = 0.0

    async def preview(self, job: Job, term: LeaderTerm) -> PlacementPreview:
        """Return where a job would be placed.

        Raises ``TooManyPreviewsError``, and ``NotLeaderError`` if the term
        ends before the turn of the call.
        """
        if self._calls >= _MAX_CALLS:
            raise TooManyPreviewsError
        self._calls += 1
        try:
            await self._wait_for_turn()
            return self._make_preview(job, term)
        finally:
            self._calls -= 1

    async def _wait_for_turn(self) -> None:
        """Wait until the pause after the last answer has ended."""
        latest_at = time.perf_counter() + _MAX_WAIT_S
        while (now := time.perf_counter()) < self._next_at:
            if self._next_at > latest_at:
                raise TooManyPreviewsError
            await asyncio.sleep(self._next_at - now)

    def _make_preview(self, job: Job, term: LeaderTerm) -> PlacementPreview:
        if not term.leads():
            raise NotLeaderError("")
        started_at = time.perf_counter()
        try:
            return term.preview(job)
        finally:
            ended_at = time.perf_counter()
            pause_s = (_TIME_DIVISOR - 1) * (ended_at - started_at)
            self._next_at = ended_at + pause_s
