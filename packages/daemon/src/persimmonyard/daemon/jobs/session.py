"""The leader's supervision of the runs on one upstream."""

import asyncio
from typing import TYPE_CHECKING

from persimmonyard.daemon.jobs.task_run import RunState, RunTrack
from persimmonyard.daemon.jobs.upstream_client import (
    EndedRun,
    NoAnswerError,
    OrderReply,
    OrderResult,
    RunListing,
    StartOrder,
    Target,
)
from persimmonyard.jobs import RunEnd, TaskEnd, TaskKey, Upstream

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["UpstreamSession"]

# Pauses between calls to an upstream that does not answer, in seconds.
_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.5
# A first look that tells the clock takes one round trip, in seconds.
_CLOCK_WAIT_S = 0.01
# How long an upstream gets no work after it refused some, in seconds.
_REFUSAL_PAUSE_S = 2.0
# How long an upstream gets no work after a look without an answer; while it
# stays silent, looks follow each other faster, in seconds.
_SILENCE_PAUSE_S = 1.5
# A look for ends that only acknowledges waits this long for new work first.
_ACKNOWLEDGE_AFTER_S = 0.3


class UpstreamSession:
    """Start, renew, watch and stop runs on one upstream.

    One loop renews the lease and waits for ends; each start and stop is a
    task of its own.  Nothing is forgotten at the upstream before its end is
    committed.
    """

    def __init__(self, leader_term: "LeaderTerm", upstream: Upstream):
        self._lead = leader_term
        self.upstream = upstream
        self.track_by_run: dict[tuple[TaskKey, int], RunTrack] = {}
        self._seen = 0
        self._acknowledged = 0
        self._wake = asyncio.Event()
        self._misses = 0
        self._loop_task = leader_term.spawn(self._loop())

    def close(self) -> None:
        """Stop looking: the upstream has gone and runs nothing."""
        self._loop_task.cancel()

    # Orders of the leadership.

    def add(self, track: RunTrack) -> None:
        """Supervise a run that has been placed here."""
        self.track_by_run[(track.name, track.run)] = track
        self._wake.set()
        if track.state == RunState.STARTING:
            self._lead.spawn(self._start(track))

    def stop(self, track: RunTrack, reason: str) -> None:
        """Stop a run, or make sure that it never begins."""
        if track.state == RunState.STOPPING:
            return
        track.state = RunState.STOPPING
        track.settled_at = None
        track.stop_reason = reason
        self._lead.log.info(
            "stopping run",
            job=track.name.job_id,
            task=track.name.log_label(),
            run=track.run,
            upstream=self.upstream.report.upstream_id,
            reason=reason,
            progress=track.percent,
        )
        self._lead.spawn(self._stop(track))

    def replace_incarnation(self, upstream: Upstream) -> None:
        """Go on with a new incarnation, which runs nothing of before.

        Starts that were sent may still arrive there, so each run is stopped
        before it counts as lost.
        """
        self.upstream = upstream
        self._seen = 0
        self._acknowledged = 0
        for track in list(self.track_by_run.values()):
            if track.state == RunState.STOPPING:
                track.settled_at = None
                self._lead.spawn(self._stop(track))
                continue
            self.stop(track, "upstream restarted")
        self._wake.set()

    async def lose_all(self, reason: str) -> None:
        """End all runs: the upstream or every lease on it has ended."""
        ends = []
        for track in self.track_by_run.values():
            ends.append(self._end_of(track, TaskEnd.LOST))
        if ends:
            self._lead.log.warning(
                "runs lost",
                upstream=self.upstream.report.upstream_id,
                runs=len(ends),
                reason=reason,
            )
            await self._lead.record_ends(self, ends)

    # Looking.

    async def _loop(self) -> None:
        while True:
            if not self.track_by_run:
                await self._wait_for_work()
            if not self._lead.leads():
                return
            await self._look(self._wait_ms())
            if self._misses:
                pause = min(_RETRY_S * 2**self._misses, _LONGEST_RETRY_S)
                await asyncio.sleep(pause)

    async def _wait_for_work(self) -> None:
        """Return when there is a run, or ends to acknowledge."""
        self._wake.clear()
        if self._seen > self._acknowledged and not self.upstream.gone:
            try:
                async with asyncio.timeout(_ACKNOWLEDGE_AFTER_S):
                    await self._wake.wait()
            except TimeoutError:
                return
        while not self.track_by_run:
            await self._wake.wait()
            self._wake.clear()

    def _wait_ms(self) -> int:
        if not self.track_by_run or not self.upstream.clock_known:
            return 0
        for track in self.track_by_run.values():
            if track.state == RunState.INHERITED:
                return 0
            if track.state != RunState.STOPPING or track.settled_at is None:
                continue
            if track.began_at is None:
                return 0
        return self._lead.durations.wait_ms

    async def _look(self, wait_ms: int) -> None:
        """Renew the lease, wait for an end and take in what is listed."""
        lead = self._lead
        upstream = self.upstream
        sent_at = lead.now()
        until_ms = 0
        # A renewal that gets no answer may have been carried out, so one that
        # follows silence only looks: otherwise the lease would never end.
        if upstream.clock_known and self.track_by_run and not self._misses:
            until_ms = upstream.grant(lead.durations.lease_ms, sent_at)
        seen = self._seen
        try:
            listing = await lead.port.renew(
                self._target(), until_ms, lead.fence, seen, wait_ms
            )
        except NoAnswerError as error:
            await self._note_silence(str(error))
            return
        if upstream is not self.upstream:
            return
        if isinstance(listing, OrderReply):
            await self._note_refused_look(listing)
            return
        self._misses = 0
        if listing.incarnation > upstream.report.incarnation:
            # The report of the new incarnation is still on its way.
            self._misses = 1
            return
        self._acknowledged = max(self._acknowledged, seen)
        upstream.record_clock(listing.clock_ms, lead.now())
        await self._take(listing, sent_at)

    def _target(self) -> Target:
        report = self.upstream.report
        return Target(report.upstream_id, report.address)

    async def _note_silence(self, error: str) -> None:
        self._misses = min(self._misses + 1, 8)
        if self._misses == 1:
            self._lead.log.warning(
                "upstream does not answer",
                upstream=self.upstream.report.upstream_id,
                error=error,
            )
        now = self._lead.now()
        self.upstream.avoid(now + _SILENCE_PAUSE_S)
        if self.upstream.leases_expired(now):
            await self.lose_all("every lease has ended")

    async def _note_refused_look(self, reply: OrderReply) -> None:
        self._misses = min(self._misses + 1, 8)
        if reply.result == OrderResult.OTHER_UPSTREAM:
            self.upstream.gone = True
            await self.lose_all("another upstream has its address")
            return
        self._lead.log.warning(
            "look refused",
            upstream=self.upstream.report.upstream_id,
            result=str(reply.result),
        )
        if self.upstream.leases_expired(self._lead.now()):
            await self.lose_all("every lease has ended")

    async def _take(self, listing: RunListing, sent_at: float) -> None:
        now = self._lead.now()
        listed = set()
        for row in listing.running:
            track = self.track_by_run.get((row.task_key, row.run))
            listed.add((row.task_key, row.run))
            if track is None:
                self._stop_unknown(row.task_key, row.run)
                continue
            track.note_listed(row.percent, row.checkpoint, now)
            if track.state in (RunState.INHERITED, RunState.STARTING):
                track.state = RunState.RUNNING
                track.settled_at = now
        ends = self._ends(listing.ended, listed)
        for track in list(self.track_by_run.values()):
            if (track.name, track.run) not in listed:
                end = self._missing(track, sent_at)
                if end is not None:
                    ends.append(end)
        if ends:
            await self._lead.record_ends(self, ends)
        for ended in listing.ended:
            self._seen = max(self._seen, ended.number)
        self._lead.consider_progress(self)

    def _ends(
        self,
        ended: tuple[EndedRun, ...],
        listed: set[tuple[TaskKey, int]],
    ) -> list[RunEnd]:
        ends = []
        for row in ended:
            track = self.track_by_run.get((row.task_key, row.run))
            listed.add((row.task_key, row.run))
            if track is not None:
                checkpoint = row.checkpoint or track.checkpoint
                ends.append(self._end_of(track, row.end, checkpoint))
        return ends

    def _missing(self, track: RunTrack, sent_at: float) -> RunEnd | None:
        """Decide what a run is that a look did not list."""
        if track.state == RunState.INHERITED:
            # The zone or the upstream may have left service since it was
            # placed, so it is placed anew instead of started.
            self.stop(track, "placed by a former leader, not started")
            return None
        if track.settled_at is None or sent_at <= track.settled_at:
            return None
        if track.state == RunState.STOPPING:
            end = TaskEnd.REJECTED if track.began_at is None else TaskEnd.LOST
            return self._end_of(track, end)
        if track.state == RunState.RUNNING:
            self.stop(track, "not listed")
        return None

    def _stop_unknown(self, name: TaskKey, run: int) -> None:
        self._lead.log.warning(
            "unknown run",
            job=name.job_id,
            run=run,
            upstream=self.upstream.report.upstream_id,
        )
        self._lead.spawn(self._order_stop(name, run))

    def _end_of(
        self, track: RunTrack, end: TaskEnd, checkpoint: str | None = None
    ) -> RunEnd:
        saved = track.checkpoint if checkpoint is None else checkpoint
        return RunEnd(track.key, track.name.task, track.run, end, saved)

    # Starting.

    async def _start(self, track: RunTrack) -> None:
        """Send the start until it is answered or given up."""
        lead = self._lead
        first_at = lead.now()
        while track.state == RunState.STARTING:
            unit = lead.unit(track)
            if unit is None or not lead.leads():
                return
            if not lead.may_start(self.upstream):
                self.stop(track, "upstream left service")
                return
            if not self.upstream.clock_known:
                if lead.now() - first_at > lead.durations.order_timeout_s:
                    await self._give_up_unsent(track)
                    return
                await asyncio.sleep(_CLOCK_WAIT_S)
                continue
            now = lead.now()
            order = StartOrder(
                track.name,
                track.run,
                lead.payload(track),
                self.upstream.grant(lead.durations.lease_ms, now),
                lead.fence,
                unit.checkpoint,
            )
            upstream = self.upstream
            try:
                reply = await lead.port.start(self._target(), order)
            except NoAnswerError:
                track.in_doubt = True
                if lead.now() - first_at > lead.durations.start_s:
                    upstream.avoid(lead.now() + _REFUSAL_PAUSE_S)
                    self.stop(track, "start unanswered")
                    return
                await asyncio.sleep(_RETRY_S)
                continue
            if upstream is not self.upstream or track.state != RunState.STARTING:
                return
            if reply.clock_ms is not None:
                upstream.record_clock(reply.clock_ms, lead.now())
            if await self._take_start_reply(track, reply, first_at):
                return

    async def _give_up_unsent(self, track: RunTrack) -> None:
        """End a run of which no start was sent: the upstream is silent."""
        lead = self._lead
        upstream = self.upstream
        upstream.avoid(lead.now() + _REFUSAL_PAUSE_S)
        if track.in_doubt:
            self.stop(track, "start unanswered")
            return
        lead.log.info(
            "start not sent",
            job=track.name.job_id,
            task=track.name.log_label(),
            run=track.run,
            upstream=upstream.report.upstream_id,
        )
        await lead.record_ends(self, [self._end_of(track, TaskEnd.REJECTED)])

    async def _take_start_reply(
        self, track: RunTrack, reply: OrderReply, first_at: float
    ) -> bool:
        """Act on an answer; return whether the start is settled."""
        lead = self._lead
        now = lead.now()
        if reply.result == OrderResult.DONE:
            track.state = RunState.RUNNING
            track.settled_at = now
            track.began_at = track.began_at or now
            track.moved_at = now
            lead.note_started(track, self.upstream, now - track.placed_at)
            return True
        lead.log.info(
            "start refused",
            job=track.name.job_id,
            task=track.name.log_label(),
            run=track.run,
            upstream=self.upstream.report.upstream_id,
            result=str(reply.result),
        )
        match reply.result:
            case OrderResult.LEASE_OVER if now - first_at < lead.durations.start_s:
                await asyncio.sleep(_RETRY_S)
                return False
            case OrderResult.STALE_FENCE:
                lead.note_stale_fence(self.upstream)
                return True
            case OrderResult.OTHER_UPSTREAM:
                self.upstream.gone = True
                await self.lose_all("another upstream has its address")
                return True
            case OrderResult.OLD_RUN:
                self.stop(track, "run is over")
                return True
            case OrderResult.NO_ROOM | OrderResult.UNHEALTHY:
                self.upstream.avoid(now + _REFUSAL_PAUSE_S)
        if track.in_doubt:
            self.stop(track, "start refused after one without an answer")
            return True
        await lead.record_ends(self, [self._end_of(track, TaskEnd.REJECTED)])
        return True

    # Stopping.

    async def _stop(self, track: RunTrack) -> None:
        upstream = self.upstream
        while (track.name, track.run) in self.track_by_run:
            if upstream is not self.upstream or not self._lead.leads():
                return
            if await self._order_stop(track.name, track.run):
                track.settled_at = self._lead.now()
                if track.began_at is None:
                    # No end is listed for a run that never began.
                    await self._look(0)
                return
            await asyncio.sleep(_LONGEST_RETRY_S)

    async def _order_stop(self, name: TaskKey, run: int) -> bool:
        lead = self._lead
        try:
            reply = await lead.port.stop(self._target(), name, run, lead.fence)
        except NoAnswerError:
            return False
        if reply.clock_ms is not None:
            self.upstream.record_clock(reply.clock_ms, lead.now())
        if reply.result == OrderResult.STALE_FENCE:
            lead.note_stale_fence(self.upstream)
            return False
        return reply.result == OrderResult.DONE
