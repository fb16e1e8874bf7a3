"""Supervision of the runs on one upstream by the leader."""

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from persimmonyard.daemon.jobs.contact import UpstreamContact, describe_silence
from persimmonyard.daemon.jobs.durations import Durations
from persimmonyard.daemon.jobs.end_proofs import (
    EndProof,
    is_lease_over,
    is_stop_over,
)
from persimmonyard.daemon.jobs.forgotten_ends import ForgottenEnds
from persimmonyard.daemon.jobs.run_descriptions import (
    describe_lost_runs,
    describe_silences,
    describe_unknown_ends,
)
from persimmonyard.daemon.jobs.run_starter import RunStarter
from persimmonyard.daemon.jobs.task_run import RunState, TaskRun
from persimmonyard.daemon.jobs.upstream_client import (
    EndedRun,
    NoAnswerError,
    OrderReply,
    OrderResult,
    RunListing,
    Target,
)
from persimmonyard.jobs import (
    RunEnd,
    RunSilence,
    TaskEnd,
    TaskKey,
    Upstream,
    UpstreamReport,
    lease_s,
    order_fence,
)

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["UpstreamSession"]

# Delay before a call without an answer is repeated, and the upper limit of the
# delays between polls and between stops, in seconds.
_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 0.5
# How long an upstream gets no new work after a poll without an answer, in
# seconds.  It exceeds the interval at which a silent upstream is polled.
_NO_ANSWER_AVOID_S = 1.5
# Without runs, ends whose acknowledgement got no answer are listed again after
# this time, in seconds.
_ACKNOWLEDGE_DELAY_S = 0.3
# How long a poll waits while ends are in doubt or the upstream is about to
# end, in milliseconds.
_SHORT_WAIT_MS = 200
# How long an upstream gets no new work after the start of an end probe, in
# seconds.
_PROBE_AVOID_S = 0.5
# Age of a listing up to which its ends are acknowledged, in seconds: an
# upstream needs longer than this to restart.
_FRESH_LISTING_S = 0.1


class UpstreamSession:
    """Starts, monitors and stops the runs on one incarnation of an upstream.

    A poll loop renews the lease and waits for ends; each start and stop is a
    separate asyncio task.  An end is acknowledged only after it is committed,
    because the upstream then deletes it.  Only a complete listing shows that a
    run is not present.

    A later incarnation with the same identifier gets a session of its own,
    which takes over the runs.  The session of the ``predecessor`` is closed
    and its calls are cancelled, so that no result of theirs counts for the
    successor.  The successor may execute starts of its predecessor until it
    has answered its first poll, whose fencing token is higher.

    It may also have executed an acknowledgement of its predecessor, and then
    forgets its own ends up to that number.  Until it has listed an end, it
    gets one run at a time, an end probe: a run with a short lease that is
    stopped at once, so that it hardly ever completes unseen.
    """

    def __init__(
        self,
        leader_term: "LeaderTerm",
        upstream: Upstream,
        predecessor: "UpstreamSession | None" = None,
    ):
        self._term = leader_term
        self.upstream = upstream
        self.fence = order_fence(leader_term.fence, upstream.report.incarnation)
        self.task_run_by_key: dict[tuple[TaskKey, int], TaskRun] = {}
        self._last_end_number = 0
        self._acknowledged_end = 0
        # The highest number in an acknowledgement without an answer, which a
        # later incarnation may execute, and those in progress.
        self._unanswered_end = 0
        self._ends_in_progress: list[int] = []
        self.forgotten_ends = ForgottenEnds(leader_term, upstream)
        self._work_added = asyncio.Event()
        self._failed_polls = 0
        self._look_requested = False
        # True once the upstream has announced that it ends now.
        self._departing = False
        # How many listings were received whose ends are not committed yet.
        self._open_listings = 0
        # Unset until the report of an incarnation that replaces another one is
        # committed.
        self._begun = asyncio.Event()
        # Until then, a run of an earlier incarnation may be at work on an
        # upstream that does not answer.
        self._in_doubt_until = leader_term.now() + _doubt_s(leader_term.durations)
        self._tasks: set[asyncio.Task] = set()
        self._closed = False
        self.contact = UpstreamContact(upstream.report.incarnation, leader_term.now)
        self._starter = RunStarter(leader_term, self)
        if predecessor is None:
            self._begun.set()
        else:
            self._take_over(predecessor)
        self._spawn(self._poll_loop())

    def close(self) -> None:
        """Cancel all calls, of an upstream that is gone or was replaced."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine that is cancelled with the session."""
        task = self._term.spawn(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add(self, task_run: TaskRun) -> None:
        """Supervise a run that was placed on the upstream."""
        self.task_run_by_key[(task_run.task_key, task_run.run)] = task_run
        self._work_added.set()
        if task_run.state == RunState.STARTING:
            self._spawn(self._starter.start(task_run))

    def add_replaced(self, task_run: TaskRun) -> None:
        """Supervise a run that was placed on an earlier incarnation.

        It is not started, and only stopped if this incarnation lists it.
        """
        unsent = task_run.state == RunState.STARTING
        task_run.replaced = True
        self.stop(task_run, "upstream restarted")
        self.add(task_run)
        if unsent:
            self._spawn(
                self._term.commit_ends([self.run_end(task_run, TaskEnd.REJECTED)])
            )

    def _take_over(self, predecessor: "UpstreamSession") -> None:
        """Take over the runs of the incarnation before and end its calls."""
        predecessor.close()
        for task_run in predecessor.task_run_by_key.values():
            if task_run.incarnation >= self.upstream.report.incarnation:
                # Placed here by an earlier leader, which had the report first.
                self.add(task_run)
                self.upstream.assume_lease(
                    self._term.durations.longest_lease_ms, self._term.now()
                )
                if task_run.state == RunState.STOPPING:
                    self._spawn(self._stop(task_run))
                continue
            if task_run.state == RunState.STARTING and task_run.sent:
                task_run.in_doubt = True
            task_run.replaced = True
            task_run.stop_sent = False
            self.stop(task_run, "upstream restarted")
            self.add(task_run)
        self._unanswered_end = max(
            predecessor._unanswered_end, *predecessor._ends_in_progress, 0
        )
        self.forgotten_ends.raise_to(self._unanswered_end)
        self.request_look()

    async def begin(self) -> None:
        """Record the runs as lost that cannot be at work on this incarnation.

        The report of this incarnation is committed before, so that the crash
        of its predecessor counts before their tasks are placed again.
        """
        ends = []
        for task_run in self.task_run_by_key.values():
            if task_run.replaced and not task_run.may_reach_successor():
                ends.append(self.run_end(task_run, TaskEnd.LOST))
        if ends and not self._closed:
            await self._term.commit_ends(ends)
        self._begun.set()

    def request_look(self) -> None:
        """Poll the upstream once, even if it has no runs."""
        self._look_requested = True
        self._work_added.set()

    def stop(self, task_run: TaskRun, reason: str) -> None:
        """Stop a run, or prevent its start if it has not started."""
        if task_run.state == RunState.STOPPING:
            return
        unsent = task_run.state == RunState.STARTING and not task_run.sent
        task_run.state = RunState.STOPPING
        task_run.answered_at = None
        task_run.stop_reason = reason
        self._term.log.info(
            "stopping run",
            job=task_run.task_key.job_id,
            task=task_run.task_key.log_label(),
            run=task_run.run,
            upstream=self.upstream.report.upstream_id,
            reason=reason,
            progress=task_run.percent,
        )
        if task_run.replaced:
            return
        if unsent:
            self._spawn(
                self._term.commit_ends([self.run_end(task_run, TaskEnd.REJECTED)])
            )
            return
        self._spawn(self._stop(task_run))

    def depart(self) -> None:
        """Stop all runs, because the upstream has announced that it ends now.

        It may work on if it does not learn that the announcement has arrived,
        so the runs have not ended yet.  Their lease is not renewed any more.
        """
        self._departing = True
        for task_run in list(self.task_run_by_key.values()):
            self.stop(task_run, "upstream left")
        self.request_look()

    def is_settled(self) -> bool:
        """Return whether all runs have ended and all ends are acknowledged."""
        if self.task_run_by_key:
            return False
        return self._acknowledged_end >= self._last_end_number

    async def record_all_lost(self, proof: EndProof) -> None:
        """Record all runs as lost, or as ended because the upstream left."""
        await self._record_lost(list(self.task_run_by_key.values()), proof)

    async def record_expired(self) -> None:
        """Record the runs as lost that cannot be at work without a lease."""
        now = self._term.now()
        lost = []
        for task_run in self.task_run_by_key.values():
            if is_lease_over(task_run, self.upstream, now, self._in_doubt_until):
                lost.append(task_run)
        await self._record_lost(lost, EndProof.LEASE_OVER)

    async def abandon_stopped(self) -> bool:
        """Record all runs as lost once their stops are over, and close.

        This is for an upstream that has left before it listed the ends.  If it
        is still there, an end may be one as done: nothing may read and
        acknowledge it any more, because the task starts again.  Returns
        whether the session is closed.
        """
        now = self._term.now()
        longest_stop_s = self._term.durations.longest_stop_s
        if self._open_listings:
            return False
        for task_run in self.task_run_by_key.values():
            if not is_stop_over(task_run, now, longest_stop_s):
                return False
        self.close()
        await self.record_all_lost(EndProof.STOP_OVER)
        return True

    async def _record_lost(self, lost: list[TaskRun], proof: EndProof) -> None:
        run_end = TaskEnd.LEFT if self.upstream.report.leaving else TaskEnd.LOST
        ends = []
        for task_run in lost:
            if task_run.state == RunState.STARTING:
                # Its start must not be sent while the end is being committed.
                task_run.state = RunState.STOPPING
                task_run.stop_reason = str(proof)
            ends.append(self.run_end(task_run, run_end))
        if ends:
            await self._term.replacements.note_silence(self.silences())
            self._term.log.warning(
                "runs lost",
                upstream=self.upstream.report.upstream_id,
                address=self.upstream.report.address,
                runs=len(ends),
                tasks=describe_lost_runs(lost, self._term.now()),
                reason=str(proof),
                incarnation=self.upstream.report.incarnation,
                lease_left_ms=self.upstream.lease_left_ms(self._term.now()),
            )
            await self._term.commit_ends(ends)

    async def _poll_loop(self) -> None:
        while True:
            if not self.task_run_by_key:
                await self._wait_for_work()
            if not self._term.leads():
                return
            self._look_requested = False
            await self.poll(self._wait_ms())
            if self._failed_polls:
                delay_s = min(
                    _RETRY_DELAY_S * 2**self._failed_polls, _MAX_RETRY_DELAY_S
                )
                await asyncio.sleep(delay_s)

    async def _wait_for_work(self) -> None:
        """Wait until there is a run, or a poll is needed without one."""
        self._work_added.clear()
        if self._last_end_number > self._acknowledged_end and not self.upstream.gone:
            try:
                async with asyncio.timeout(_ACKNOWLEDGE_DELAY_S):
                    await self._work_added.wait()
            except TimeoutError:
                return
        while not self.task_run_by_key and not self._look_requested:
            await self._work_added.wait()
            self._work_added.clear()

    def _wait_ms(self) -> int:
        """Return how long the upstream may wait for an end in a poll.

        The result is 0 if the listing is needed immediately.
        """
        if not self.task_run_by_key or not self.upstream.confirmed:
            return 0
        for task_run in self.task_run_by_key.values():
            if task_run.state == RunState.INHERITED:
                return 0
            if task_run.state != RunState.STOPPING or task_run.answered_at is None:
                continue
            if task_run.started_at is None:
                return 0
        if self.forgotten_ends.count or self._departing:
            # An end that is forgotten ends no wait, and an upstream that has
            # ended gives no answer.
            return min(_SHORT_WAIT_MS, self._term.durations.wait_ms)
        return self._term.durations.wait_ms

    async def poll(self, wait_ms: int) -> None:
        """Renew the lease, wait for an end and process the listing.

        Ends are acknowledged by a call of its own right after a listing, which
        does not wait and so is hardly ever in flight when the upstream ends:
        a later incarnation would forget its own ends up to the number.
        """
        listed_at = await self._request_listing(wait_ms, 0)
        while listed_at is not None and self._last_end_number > self._acknowledged_end:
            number = self._last_end_number
            if self._term.now() - listed_at > _FRESH_LISTING_S:
                # The upstream may have restarted during the commit.
                number = 0
            listed_at = await self._request_listing(0, number)

    async def _request_listing(
        self, wait_ms: int, acknowledged_end: int
    ) -> float | None:
        """Request and process a listing; return when it was received.

        Returns None if there is none of this incarnation.  The ends up to the
        number ``acknowledged_end`` are acknowledged, and none if it is 0.
        """
        term = self._term
        upstream = self.upstream
        sent_at = term.now()
        until_ms = 0
        # A renewal without an answer may have been executed.  A poll after a
        # failed one therefore does not renew the lease: otherwise its latest
        # possible end would be postponed with each poll and never be reached.
        if (
            upstream.confirmed
            and self.task_run_by_key
            and not self._failed_polls
            and not acknowledged_end
            and not self.forgotten_ends.count
            and not self._departing
        ):
            until_ms = upstream.grant_lease(term.durations.lease_ms, sent_at)
        self._ends_in_progress.append(acknowledged_end)
        answered_here = False
        try:
            listing = await self.contact.call(
                term.upstream_client.renew(
                    self.target(), until_ms, self.fence, acknowledged_end, wait_ms
                )
            )
            answered_here = (
                isinstance(listing, RunListing)
                and listing.incarnation == upstream.report.incarnation
            )
        except NoAnswerError as error:
            await self._handle_no_answer(str(error))
            return None
        finally:
            self._ends_in_progress.remove(acknowledged_end)
            if not answered_here:
                self._unanswered_end = max(self._unanswered_end, acknowledged_end)
        if isinstance(listing, OrderReply):
            await self._handle_refused_poll(listing)
            return None
        received_at = term.now()
        self._failed_polls = 0
        if not answered_here:
            # The upstream restarted, and its first report has not arrived.
            self._log_other_incarnation(listing, acknowledged_end, until_ms)
            self._failed_polls = 1
            return None
        self._acknowledged_end = max(self._acknowledged_end, acknowledged_end)
        if upstream.confirmed:
            upstream.record_clock(listing.clock_ms, received_at)
        else:
            upstream.confirm(
                listing.clock_ms, received_at, term.durations.longest_lease_ms
            )
        self._open_listings += 1
        try:
            await self._begun.wait()
            if self.contact.silent_at is None:
                await term.replacements.note_answer(upstream.report)
            await self._process_listing(listing, sent_at)
        finally:
            self._open_listings -= 1
        return received_at

    def silences(self) -> list[RunSilence]:
        """Return what the silence of the upstream says about its runs.

        Runs about which this leader knows nothing are left out.
        """
        found = []
        for task_run in self.task_run_by_key.values():
            if task_run.replaced:
                # Noted when its incarnation was replaced.
                continue
            run_silence = self.silence_of(task_run)
            if run_silence is not None:
                found.append(run_silence)
        return found

    def stop_if_probe(self, task_run: TaskRun) -> None:
        """Stop a run that has started while ends are in doubt."""
        if self.forgotten_ends.count:
            self._term.record_event("end_probe")
            self.upstream.avoid(self._term.now() + _PROBE_AVOID_S)
            self.stop(task_run, "end probe")

    def is_alone(self, task_run: TaskRun) -> bool:
        """Return whether no other run may be present on the upstream."""
        for other in self.task_run_by_key.values():
            if other is not task_run and (other.sent or other.taken_over):
                return False
        return True

    def supervises(self, task_run: TaskRun) -> bool:
        """Return whether the end of a run is not known yet."""
        key = (task_run.task_key, task_run.run)
        return self.task_run_by_key.get(key) is task_run

    def silence_of(self, task_run: TaskRun) -> RunSilence | None:
        """Return what the silence of the upstream says about a run.

        Returns None if this leader knows nothing about it.
        """
        silence = describe_silence(
            task_run,
            self.contact,
            self._term.now(),
            self._term.since_placement_ms(task_run),
        )
        if silence is None:
            return None
        return RunSilence(
            task_run.unit_key, task_run.task_key.task, task_run.run, silence
        )

    def log_replacement(self, successor: UpstreamReport) -> None:
        """Log what was known of the runs when another incarnation reports."""
        self._term.log.info(
            "upstream replaced",
            upstream=self.upstream.report.upstream_id,
            address=self.upstream.report.address,
            successor=successor.upstream_id,
            announced=self.upstream.report.leaving,
            runs=len(self.task_run_by_key),
            tasks=describe_silences(self.silences()),
        )

    def target(self) -> Target:
        """Return the upstream to call."""
        report = self.upstream.report
        return Target(report.upstream_id, report.address, report.incarnation)

    async def _handle_no_answer(self, error: str) -> None:
        self._failed_polls = min(self._failed_polls + 1, 8)
        if self._failed_polls == 1:
            self._term.log.warning(
                "upstream does not answer",
                upstream=self.upstream.report.upstream_id,
                error=error,
            )
            await self._term.replacements.note_silence(self.silences())
        self.upstream.avoid(self._term.now() + _NO_ANSWER_AVOID_S)
        await self.record_expired()

    async def _handle_refused_poll(self, reply: OrderReply) -> None:
        self._failed_polls = min(self._failed_polls + 1, 8)
        if reply.result == OrderResult.OTHER_UPSTREAM:
            self.upstream.gone = True
            await self.record_all_lost(EndProof.OTHER_UPSTREAM)
            return
        self._term.log.warning(
            "look refused",
            upstream=self.upstream.report.upstream_id,
            result=str(reply.result),
        )
        await self.record_expired()

    async def _process_listing(self, listing: RunListing, sent_at: float) -> None:
        now = self._term.now()
        upstream = self.upstream
        listed = set()
        for listed_run in listing.running:
            task_run = self.task_run_by_key.get((listed_run.task_key, listed_run.run))
            listed.add((listed_run.task_key, listed_run.run))
            if task_run is None:
                self._stop_unknown(listed_run.task_key, listed_run.run)
                continue
            self.forgotten_ends.record_listed_run(
                task_run.taken_over and not task_run.replaced
            )
            if task_run.replaced and not task_run.stop_sent:
                task_run.stop_sent = True
                self._spawn(self._stop(task_run))
            task_run.update_progress(listed_run.percent, listed_run.checkpoint, now)
            if task_run.state in (RunState.INHERITED, RunState.STARTING):
                task_run.state = RunState.RUNNING
                task_run.answered_at = now
                self.stop_if_probe(task_run)
            self._term.progress_observer.observe(
                task_run, upstream.report.upstream_id, now
            )
        self._term.interference.observe_listing(self, listing, now)
        ends = self._collect_ends(listing.ended, listed)
        if listing.complete:
            ends += self._resolve_all_unlisted(listed, sent_at)
        else:
            self._term.record_event("listing_incomplete")
            self._term.log.info(
                "listing incomplete",
                upstream=upstream.report.upstream_id,
                ends=len(listing.ended),
                runs=len(self.task_run_by_key),
            )
        if ends:
            await self._term.commit_ends(ends)
        if listing.ended:
            self.forgotten_ends.end()
        for ended in listing.ended:
            self._last_end_number = max(self._last_end_number, ended.number)
        self._term.stop_stalled_runs(self)

    def _collect_ends(
        self,
        ended: tuple[EndedRun, ...],
        listed: set[tuple[TaskKey, int]],
    ) -> list[RunEnd]:
        ends = []
        unknown = []
        for listed_run in ended:
            task_run = self.task_run_by_key.get((listed_run.task_key, listed_run.run))
            listed.add((listed_run.task_key, listed_run.run))
            if task_run is not None:
                checkpoint = listed_run.checkpoint or task_run.checkpoint
                ends.append(self.run_end(task_run, listed_run.end, checkpoint))
            elif listed_run.number > self._last_end_number:
                unknown.append(listed_run)
        if unknown:
            self._term.record_event("unknown_end")
            self._term.log.warning(
                "unknown ends",
                upstream=self.upstream.report.upstream_id,
                incarnation=self.upstream.report.incarnation,
                ends=len(unknown),
                tasks=describe_unknown_ends(unknown),
            )
        return ends

    def _resolve_all_unlisted(
        self, listed: set[tuple[TaskKey, int]], sent_at: float
    ) -> list[RunEnd]:
        """Return the ends of the runs that a complete listing leaves out."""
        ends = []
        for key, task_run in list(self.task_run_by_key.items()):
            if key in listed:
                continue
            end = self._resolve_unlisted(task_run, sent_at)
            if end is not None:
                ends.append(end)
        return ends

    def _resolve_unlisted(self, task_run: TaskRun, sent_at: float) -> RunEnd | None:
        """Return the end of a run that a poll did not list.

        Returns None if the run has not ended or must be stopped first.
        """
        if task_run.replaced:
            # No start for an earlier incarnation is executed any more.
            return self.run_end(task_run, TaskEnd.LOST)
        if task_run.state == RunState.INHERITED:
            # The zone or the upstream may have been taken out of service
            # since the placement, so the run is stopped and placed again
            # instead of started here.  A start of an earlier leader that
            # arrives later is refused for its fence.
            task_run.inherited = False
            self.stop(task_run, "placed by a previous leader, not started")
            return None
        if task_run.answered_at is None or sent_at <= task_run.answered_at:
            return None
        if task_run.state == RunState.STOPPING:
            began = task_run.started_at is not None
            if began:
                self.forgotten_ends.record_forgotten_end()
            end = TaskEnd.LOST if began else TaskEnd.REJECTED
            return self.run_end(task_run, end)
        if task_run.state == RunState.RUNNING:
            self._log_missing_run(task_run)
            self.stop(task_run, "not listed by the upstream")
        return None

    def _log_other_incarnation(
        self, listing: RunListing, acknowledged_end: int, until_ms: int
    ) -> None:
        """Log what a call carried that another incarnation has answered."""
        self._term.record_event("other_incarnation")
        self._term.log.info(
            "other incarnation answers",
            upstream=self.upstream.report.upstream_id,
            incarnation=self.upstream.report.incarnation,
            answered=listing.incarnation,
            acknowledged=acknowledged_end,
            lease_end_ms=until_ms,
            clock_ms=listing.clock_ms,
        )

    def _log_missing_run(self, task_run: TaskRun) -> None:
        """Log that a complete listing lacks a run and its end."""
        self._term.record_event("missing_run")
        self._term.log.warning(
            "run missing",
            job=task_run.task_key.job_id,
            task=task_run.task_key.log_label(),
            run=task_run.run,
            upstream=self.upstream.report.upstream_id,
            incarnation=self.upstream.report.incarnation,
            progress=task_run.percent,
            acknowledged=self._acknowledged_end,
        )

    def _stop_unknown(self, task_key: TaskKey, run: int) -> None:
        self._term.log.warning(
            "unknown run",
            job=task_key.job_id,
            run=run,
            upstream=self.upstream.report.upstream_id,
        )
        self._spawn(self._send_stop(task_key, run))

    def run_end(
        self, task_run: TaskRun, end: TaskEnd, checkpoint: str | None = None
    ) -> RunEnd:
        """Return an end of a run, by default with its last checkpoint."""
        saved = task_run.checkpoint if checkpoint is None else checkpoint
        return RunEnd(
            task_run.unit_key, task_run.task_key.task, task_run.run, end, saved
        )

    async def _stop(self, task_run: TaskRun) -> None:
        while self.supervises(task_run):
            if not self._term.leads():
                return
            if await self._send_stop(task_run.task_key, task_run.run):
                task_run.answered_at = self._term.now()
                if task_run.started_at is None:
                    # Upstreams list no end for a run that did not start; a
                    # poll after the stop shows that it is not present.
                    await self.poll(0)
                return
            await asyncio.sleep(_MAX_RETRY_DELAY_S)

    async def _send_stop(self, task_key: TaskKey, run: int) -> bool:
        term = self._term
        try:
            reply = await self.contact.call(
                term.upstream_client.stop(self.target(), task_key, run, self.fence)
            )
        except NoAnswerError:
            return False
        if reply.clock_ms is not None:
            self.upstream.record_clock(reply.clock_ms, term.now())
        if reply.result == OrderResult.STALE_FENCE:
            term.record_stale_fence(self.upstream)
            return False
        return reply.result == OrderResult.DONE


def _doubt_s(durations: Durations) -> float:
    """Return how long a run of an earlier incarnation may be at work.

    A start of it may be executed late, and then gets the longest lease.
    """
    return durations.late_order_s + lease_s(durations.longest_lease_ms)
