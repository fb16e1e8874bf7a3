"""Sends the starts of runs to one upstream."""

import asyncio
from typing import TYPE_CHECKING

from persimmonyard.daemon.jobs.end_proofs import EndProof
from persimmonyard.daemon.jobs.task_run import RunState, TaskRun
from persimmonyard.daemon.jobs.upstream_client import (
    NoAnswerError,
    NotDeliveredError,
    OrderReply,
    OrderResult,
    StartOrder,
)
from persimmonyard.jobs import TaskEnd, Upstream, charged_resources

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm
    from persimmonyard.daemon.jobs.session import UpstreamSession

__all__ = ["RunStarter"]

# Delay before a start without an answer is repeated, in seconds.
_RETRY_DELAY_S = 0.1
# Interval at which a start checks whether the upstream has answered its first
# poll, in seconds: the poll takes one round trip.
_CLOCK_POLL_S = 0.01
# How long an upstream gets no new work after it refused a start or did not
# answer it, in seconds.
_REFUSAL_AVOID_S = 2.0
# The same while another run on it is an end probe.
_PROBE_AVOID_S = 0.5
# Lease of an end probe, in order time-outs: the start and the stop.
_PROBE_LEASE_SHARE = 2


class RunStarter:
    """Sends each start until it is answered, refused or given up.

    It is a part of the session of the upstream.
    """

    def __init__(self, leader_term: "LeaderTerm", session: "UpstreamSession"):
        self._term = leader_term
        self._session = session

    async def start(self, task_run: TaskRun) -> None:
        """Send the start repeatedly until it is answered or given up.

        A start without an answer is sent again only after a listing.  A
        successor with the same identifier would execute it as well, but the
        placement is for its predecessor, and its crash would count for no run.
        """
        term = self._term
        first_attempt_at = term.now()
        looked = False
        while task_run.state == RunState.STARTING:
            unit = term.current_unit(task_run)
            if unit is None or not term.leads():
                return
            if not self._session.supervises(task_run):
                # A listing has shown the end of the run.
                return
            if not term.may_start(self._session.upstream):
                await self._give_up_start(task_run, "upstream is out of service")
                return
            if not self._session.upstream.confirmed:
                if term.now() - first_attempt_at > term.durations.order_timeout_s:
                    await self._reject_unsent(task_run)
                    return
                await asyncio.sleep(_CLOCK_POLL_S)
                continue
            if (unit.crashes or task_run.in_doubt) and not looked:
                # If the upstream crashes right after this listing, the crash
                # followed the start.  While crashes are common, the first one
                # under a unit is no reason to start it apart from others, but
                # the time of the second one must be known.
                looked = True
                await self._session.poll(0)
                continue
            if looked and self._session.contact.silent_at is not None:
                if unit.crashes:
                    await self._reject_unsent(task_run)
                    return
                upstream = self._session.upstream
                if self._give_up_unanswered(task_run, upstream, first_attempt_at):
                    return
                looked = False
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            if not self._has_room(task_run):
                term.record_event("shrunk")
                await self._give_up_start(task_run, "upstream has shrunk")
                return
            now = term.now()
            lease_ms = term.durations.lease_ms
            forgotten_ends = self._session.forgotten_ends
            if forgotten_ends.count:
                lease_ms = int(
                    _PROBE_LEASE_SHARE * term.durations.order_timeout_s * 1e3
                )
            if forgotten_ends.count and not self._session.is_alone(task_run):
                self._session.upstream.avoid(now + _PROBE_AVOID_S)
                await self._give_up_start(task_run, "end probe in progress")
                return
            if not forgotten_ends.is_noted():
                await forgotten_ends.note()
                continue
            task_run.sent = True
            if task_run.delivered_at is None:
                task_run.delivered_at = now
                task_run.alive_at = self._session.contact.listed_at
            order = StartOrder(
                task_run.task_key,
                task_run.run,
                term.payload(task_run),
                self._session.upstream.grant_lease(lease_ms, now),
                self._session.fence,
                unit.checkpoint,
            )
            upstream = self._session.upstream
            try:
                reply = await self._session.contact.call(
                    term.upstream_client.start(self._session.target(), order)
                )
            except NoAnswerError as error:
                if isinstance(error, NotDeliveredError) and not task_run.in_doubt:
                    task_run.delivered_at = None
                if looked and not task_run.in_doubt:
                    await self._note_silence(task_run)
                task_run.in_doubt = True
                if self._give_up_unanswered(task_run, upstream, first_attempt_at):
                    return
                looked = False
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            if task_run.state != RunState.STARTING:
                return
            if reply.clock_ms is not None:
                upstream.record_clock(reply.clock_ms, term.now())
            if await self._handle_start_reply(
                task_run, reply, first_attempt_at, bool(order.checkpoint)
            ):
                return

    def _give_up_unanswered(
        self, task_run: TaskRun, upstream: Upstream, first_attempt_at: float
    ) -> bool:
        """Stop a run whose start got no answer for too long.

        Returns whether it was stopped.
        """
        now = self._term.now()
        if now - first_attempt_at <= self._term.durations.start_timeout_s:
            return False
        upstream.avoid(now + _REFUSAL_AVOID_S)
        self._session.stop(task_run, "start unanswered")
        return True

    async def _note_silence(self, task_run: TaskRun) -> None:
        """Commit what the first unanswered start of a run says about it.

        The poll in progress may fail much later, and a leader that follows
        before that would not know how soon after the start the upstream fell
        silent.
        """
        run_silence = self._session.silence_of(task_run)
        if run_silence is not None:
            await self._term.replacements.note_silence([run_silence])

    def _has_room(self, task_run: TaskRun) -> bool:
        """Return whether a start keeps the upstream within its capacity.

        The capacity may have shrunk since the placement.  Runs that are being
        stopped count, and of the starts that were not sent yet those placed
        earlier.
        """
        free = self._session.upstream.report.capacity
        earlier = True
        for other in self._session.task_run_by_key.values():
            if other is task_run:
                earlier = False
            elif earlier or other.sent or other.state != RunState.STARTING:
                free = free.minus(charged_resources(other.step))
        return charged_resources(task_run.step).fits(free)

    async def _give_up_start(self, task_run: TaskRun, reason: str) -> None:
        """End a run that was not sent, or stop one that may have started."""
        if task_run.sent:
            self._session.stop(task_run, reason)
            return
        await self._record_unsent(task_run, reason)

    async def _record_unsent(self, task_run: TaskRun, reason: str) -> None:
        self._term.log.info(
            "start not sent",
            job=task_run.task_key.job_id,
            task=task_run.task_key.log_label(),
            run=task_run.run,
            upstream=self._session.upstream.report.upstream_id,
            reason=reason,
        )
        await self._term.commit_ends(
            [self._session.run_end(task_run, TaskEnd.REJECTED)]
        )

    async def _reject_unsent(self, task_run: TaskRun) -> None:
        """End a run whose start was not sent because the upstream is silent.

        If an earlier start may have reached the upstream, the run is stopped.
        """
        term = self._term
        upstream = self._session.upstream
        upstream.avoid(term.now() + _REFUSAL_AVOID_S)
        if task_run.in_doubt:
            self._session.stop(task_run, "start unanswered")
            return
        await self._record_unsent(task_run, "upstream is silent")

    async def _handle_start_reply(
        self,
        task_run: TaskRun,
        reply: OrderReply,
        first_attempt_at: float,
        resumed: bool,
    ) -> bool:
        """Process the reply to a start; return False to send it again."""
        term = self._term
        now = term.now()
        if reply.result == OrderResult.DONE:
            task_run.state = RunState.RUNNING
            task_run.answered_at = now
            task_run.started_at = task_run.started_at or now
            task_run.progressed_at = now
            if not resumed and not task_run.in_doubt:
                upstream_id = self._session.upstream.report.upstream_id
                term.progress_observer.record_start(task_run, upstream_id, now)
            term.record_started(
                task_run, self._session.upstream, now - task_run.placed_at
            )
            self._session.stop_if_probe(task_run)
            return True
        term.log.info(
            "start refused",
            job=task_run.task_key.job_id,
            task=task_run.task_key.log_label(),
            run=task_run.run,
            upstream=self._session.upstream.report.upstream_id,
            result=str(reply.result),
        )
        match reply.result:
            case OrderResult.LEASE_OVER if (
                now - first_attempt_at < term.durations.start_timeout_s
            ):
                await asyncio.sleep(_RETRY_DELAY_S)
                return False
            case OrderResult.STALE_FENCE:
                term.record_stale_fence(self._session.upstream)
                return True
            case OrderResult.OTHER_UPSTREAM:
                if not task_run.in_doubt:
                    task_run.delivered_at = None
                self._session.upstream.gone = True
                await self._session.record_all_lost(EndProof.OTHER_UPSTREAM)
                return True
            case OrderResult.OLD_RUN:
                self._session.stop(task_run, "upstream refused an old run")
                return True
            case OrderResult.NO_ROOM | OrderResult.UNHEALTHY:
                self._session.upstream.avoid(now + _REFUSAL_AVOID_S)
        if task_run.in_doubt:
            self._session.stop(task_run, "start refused after an unanswered start")
            return True
        await term.commit_ends([self._session.run_end(task_run, TaskEnd.REJECTED)])
        return True
