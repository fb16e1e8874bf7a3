"""When an upstream last answered, and what its silence says about runs."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from persimmonyard.daemon.jobs.task_run import TaskRun
from persimmonyard.daemon.jobs.upstream_client import (
    NoAnswerError,
    OrderReply,
    OrderResult,
    RunListing,
)
from persimmonyard.jobs import Silence, StartEvidence

__all__ = ["UpstreamContact", "describe_silence"]

# The least time since the placement that is assumed for a run of which this
# leader has no sign, in milliseconds: two leaders' clocks measure it.
_MIN_UNKNOWN_MS = 1_000


_Reply = TypeVar("_Reply", bound=OrderReply | RunListing)


class UpstreamContact:
    """The last listing of an incarnation, and the first unanswered call since.

    Times are those of the monotonic clock ``now``, in seconds.  ``silent_at``
    is None while the upstream answers.
    """

    def __init__(self, incarnation: int, now: Callable[[], float]):
        self._incarnation = incarnation
        self._now = now
        self.listed_at: float | None = None
        self.silent_at: float | None = None

    async def call(self, call: Awaitable[_Reply]) -> _Reply:
        """Make a call, and record whether the incarnation answers."""
        sent_at = self._now()
        try:
            reply = await call
        except NoAnswerError:
            self._record_silence()
            raise
        match reply:
            case OrderReply(result=OrderResult.OTHER_UPSTREAM):
                self._record_silence()
            case RunListing(incarnation=incarnation):
                if incarnation != self._incarnation:
                    self._record_silence()
                else:
                    self._record_listing(sent_at)
        return reply

    def _record_silence(self) -> None:
        if self.silent_at is None:
            self.silent_at = self._now()

    def _record_listing(self, sent_at: float) -> None:
        self.listed_at = self._now()
        # The listing may have been sent before a crash that ended another
        # call, so only one that was requested later ends the silence.
        if self.silent_at is not None and sent_at > self.silent_at:
            self.silent_at = None


def describe_silence(
    task_run: TaskRun,
    contact: UpstreamContact,
    now: float,
    since_placement_ms: int,
) -> Silence | None:
    """Return what the silence of its upstream says about a run.

    ``since_placement_ms`` is the time since the committed placement, which
    may have been another leader's.  Returns None if this leader knows nothing
    about the run, so that what an earlier one has recorded stays valid.
    """
    silent_at = now if contact.silent_at is None else contact.silent_at
    ago_ms = max(0, int((now - silent_at) * 1_000))
    if task_run.delivered_at is None:
        since_ms = max(_MIN_UNKNOWN_MS, since_placement_ms - ago_ms)
        if task_run.listed:
            return Silence(StartEvidence.LISTED, since_ms, since_ms)
        if task_run.inherited:
            return None
        return Silence(StartEvidence.NONE, since_ms, since_ms)
    if silent_at < task_run.delivered_at:
        # The upstream was silent before the start was sent.
        return Silence(StartEvidence.NONE, 0, 0)
    start_ms = int((silent_at - task_run.delivered_at) * 1_000)
    alive_ms = max(_MIN_UNKNOWN_MS, since_placement_ms)
    if task_run.alive_at is not None:
        alive_ms = int((silent_at - task_run.alive_at) * 1_000)
    evidence = StartEvidence.SENT
    if task_run.listed:
        evidence = StartEvidence.LISTED
    elif task_run.started_at is not None:
        evidence = StartEvidence.ANSWERED
    return Silence(evidence, start_ms, max(start_ms, alive_ms))
