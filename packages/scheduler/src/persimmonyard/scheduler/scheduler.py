"""The scheduler: a state machine that turns events into decisions.

It does no input or output and reads no clock; the caller passes the time.
"""

import heapq

from persimmonyard.model import Adjacency, ClientAccountSpec, ResultCode, Shape
from persimmonyard.scheduler.allocations import Task, TaskKind, preemptible
from persimmonyard.scheduler.decisions import (
    Decision,
    GuaranteeProblem,
    Place,
    Preempt,
    Reason,
    Refuse,
)
from persimmonyard.scheduler.evacuation import Evacuation
from persimmonyard.scheduler.event_handler import EventHandler
from persimmonyard.scheduler.events import Event, Job
from persimmonyard.scheduler.migration import MigrationPlanner
from persimmonyard.scheduler.planner import (
    LAYOUT_PENDING,
    NO_CAPACITY,
    PlacementPlan,
    PlacementPlanner,
)
from persimmonyard.scheduler.queue import JobGroup, SortKey
from persimmonyard.scheduler.state import SchedulerState
from persimmonyard.scheduler.targets import RunTimeEstimator, latest_start_after_miss
from persimmonyard.scheduler.vector import fit_count, member_need

__all__ = ["Scheduler"]

# Limits on one call of ``decide``, so that it does not block the caller for
# long.  If work is left, ``next_wakeup`` requests the next call immediately.
# ``MAX_MEMBERS`` counts the members placed and the tasks preempted.
MAX_DECISIONS = 64
MAX_TRIES = 64
MAX_FAILED_SEARCHES = 4
MAX_BLOCKS_PLACED = 16
MAX_GROUPS_RECHECKED = 128
MAX_MEMBERS = 128

# Jobs of one client account that are tried in a row before another account of
# the same tier has its turn.
MAX_CONSECUTIVE_TRIES = 4

# How long a claim waits for its victims to end.  A stop takes at most one task
# lease of 15 s, and a checkpoint before the stop at most another 15 s.
CLAIM_TIMEOUT_S = 60.0

# Interval at which parked jobs are rechecked while a zone is warming up.
WARM_UP_INTERVAL_S = 0.25


class Scheduler:
    """Place waiting jobs on upstreams so that all guarantees are kept.

    Example: after ``observe(UpstreamUp(spec), now)`` and
    ``observe(JobWaiting(job), now)``, ``decide(now)`` returns a ``Place``.
    """

    def __init__(self, run_time_estimator: RunTimeEstimator | None = None) -> None:
        self._state = SchedulerState(run_time_estimator)
        self._event_handler = EventHandler(self._state)
        self._planner = PlacementPlanner(self._state)
        self._evacuation = Evacuation(self._state, self._planner)
        self._migration_planner = MigrationPlanner(self._state, self._planner)
        self._last_decision_at = 0.0
        self._warm_up_checked_at = 0.0
        self._failed_searches = 0
        self._members_handled = 0
        self._ready_claims: list[str] = []

    def observe(self, event: Event, now: float) -> None:
        """Apply an event to the scheduler's state; ``now`` is in seconds."""
        self._event_handler.observe(event, now)

    def decide(self, now: float) -> list[Decision]:
        """Return the decisions that follow from the events so far.

        One call returns a bounded number of them.  ``now`` is in seconds.
        """
        self._last_decision_at = now
        decisions: list[Decision] = []
        if self._state.quarantine_manager.run(now, decisions):
            self._state.layout.retry_at_risk()
        self._state.update_layout(MAX_BLOCKS_PLACED)
        self._expire_claims(now)
        self._place_claims(now, decisions)
        self._migration_planner.drop_expired_retry_times(now)
        self._unpark_jobs(now)
        self._try_ready_jobs(now, decisions)
        self._evacuation.run(now, decisions)
        return decisions

    def next_wakeup(self) -> float | None:
        """Return the time at which ``decide`` is due without a new event.

        ``None`` means that it is not due before the next event.
        """
        state = self._state
        if state.queue.has_ready() or state.layout.pending or state.ended_ids:
            return self._last_decision_at
        capacity_freed = (
            state.freed_capacity.has_new_entries()
            or state.queue.recheck_pending()
            or bool(state.owners_to_retry)
        )
        if capacity_freed and len(state.queue):
            return self._last_decision_at
        due_times = []
        delayed = state.queue.next_delayed_at()
        if delayed is not None:
            due_times.append(delayed)
        for claim in state.allocations.claim_by_id.values():
            due_times.append(claim.placed_at + CLAIM_TIMEOUT_S)
        if state.zone_rate_limits.is_warming_up() and len(state.queue):
            due_times.append(self._warm_up_checked_at + WARM_UP_INTERVAL_S)
        quarantine_end = state.quarantine_manager.next_wakeup()
        if quarantine_end is not None:
            due_times.append(quarantine_end)
        evacuation = self._evacuation.next_wakeup(self._last_decision_at)
        if evacuation is not None:
            due_times.append(evacuation)
        return min(due_times, default=None)

    def waiting_reason(self, request_id: str) -> Reason | None:
        """Return why a request waits, ``None`` if it does not wait."""
        claim = self._state.allocations.claim_by_id.get(request_id)
        if claim is not None and not claim.awaits_job:
            count = len(claim.victims)
            return Reason("reclaiming", f"waits until {count} preempted tasks end")
        return self._state.queue.waiting_reason(request_id)

    def check_guarantees(
        self, accounts: list[ClientAccountSpec]
    ) -> list[GuaranteeProblem]:
        """Return the new guaranteed blocks that do not fit with the others.

        ``accounts`` is the whole proposed configuration.  Blocks that are
        already in force are not checked again: ``guarantees_at_risk`` reports
        those that do not fit.
        """
        layout = self._state.layout
        self._state.update_layout(len(layout.pending))
        guarantee_by_account = {account.name: account.guarantee for account in accounts}
        problems = []
        for block in layout.infeasible_blocks(guarantee_by_account):
            text = (
                f"block {block.key.block} of client account "
                f"{block.key.account!r} ({_describe(block.shape)}) does not fit "
                "beside the other guarantees"
            )
            problems.append(GuaranteeProblem(block.key.account, block.key.block, text))
        return problems

    def guarantees_at_risk(self) -> list[GuaranteeProblem]:
        """Return the guaranteed blocks in force that do not fit."""
        layout = self._state.layout
        self._state.update_layout(len(layout.pending))
        problems = []
        for key in sorted(layout.at_risk):
            shape = layout.block_by_key[key].shape
            text = (
                f"block {key.block} of client account {key.account!r} "
                f"({_describe(shape)}) does not fit; {self._remedy(shape)}"
            )
            problems.append(GuaranteeProblem(key.account, key.block, text))
        return problems

    def _remedy(self, shape: Shape) -> str:
        """Return a text that tells what a block at risk needs to fit again."""
        need = member_need(shape)
        fleet = self._state.fleet
        unavailable = 0
        for node in fleet.node_by_id.values():
            if not fleet.usable(node) and fit_count(need, node.capacity):
                unavailable += 1
        parts = [f"it needs upstreams for {_describe(shape)} beside the other blocks"]
        if fleet.out_of_service_zones:
            zones = ", ".join(sorted(fleet.out_of_service_zones))
            parts.append(f"zones out of service: {zones}")
        if unavailable:
            parts.append(
                f"{unavailable} registered upstreams that could help are absent"
            )
        return "; ".join(parts)

    def held_requests(self) -> list[str]:
        """Return the waiting requests that have a backfill reservation."""
        return sorted(self._state.reservations.reservation_by_id)

    def _place_claims(self, now: float, decisions: list[Decision]) -> None:
        state = self._state
        while state.ended_ids:
            self._ready_claims += state.allocations.victim_ended(state.ended_ids.pop())
        waiting = []
        for request_id in self._ready_claims:
            claim = state.allocations.claim_by_id.get(request_id)
            if claim is None or claim.victims:
                continue
            if claim.awaits_job or claim.job.not_before > now:
                waiting.append(request_id)
                continue
            claim.number = state.next_number_by_id.get(request_id, 1)
            claim.placed_at = now
            state.allocations.start_claim(request_id)
            self._emit_placement(claim, Reason("claimed", claim.reason), decisions)
        self._ready_claims = waiting

    def _expire_claims(self, now: float) -> None:
        state = self._state
        for request_id, claim in list(state.allocations.claim_by_id.items()):
            if claim.placed_at + CLAIM_TIMEOUT_S > now:
                continue
            for victim_id in claim.victims:
                victim = state.allocations.task_by_id.get(victim_id)
                if victim is not None:
                    state.allocations.set_stopping(victim, False)
            state.release_claim(request_id, now)

    def _unpark_jobs(self, now: float) -> None:
        state = self._state
        state.queue.release_delayed(now)
        if (
            state.zone_rate_limits.is_warming_up()
            and now >= self._warm_up_checked_at + WARM_UP_INTERVAL_S
        ):
            self._warm_up_checked_at = now
            state.freed_capacity.record_global_change()
        for request_id in sorted(state.owners_to_retry):
            state.queue.unpark(request_id)
        state.owners_to_retry.clear()
        if state.freed_capacity.has_new_entries():
            state.queue.recheck_all()
        state.freed_capacity.summarize()
        if not state.queue.recheck_pending():
            return

        def may_fit(group: JobGroup, since: int) -> bool:
            return state.freed_capacity.may_fit_by_summary(
                group, state.urgent_group(group), since
            )

        state.queue.recheck_groups(
            may_fit, state.freed_capacity.last_position, MAX_GROUPS_RECHECKED
        )

    def _try_ready_jobs(self, now: float, decisions: list[Decision]) -> None:
        """Try to place ready jobs, round-robin by client account."""
        heads = []
        for sort_key, account in self._state.queue.heads():
            heads.append((sort_key.tier, 0, sort_key, account))
        heapq.heapify(heads)
        tries_by_account: dict[str, int] = {}
        tries = 0
        self._failed_searches = 0
        self._members_handled = 0
        while heads and tries < MAX_TRIES and len(decisions) < MAX_DECISIONS:
            if self._failed_searches >= MAX_FAILED_SEARCHES:
                break
            if self._members_handled >= MAX_MEMBERS:
                break
            _, _, sort_key, account = heapq.heappop(heads)
            tries += 1
            tries_by_account[account] = tries_by_account.get(account, 0) + 1
            if self._should_defer(sort_key, now):
                self._state.defer(self._state.queue.job(sort_key.request_id), now)
            else:
                self._try_job(sort_key.request_id, now, decisions)
            head = self._state.queue.head(account)
            if head is not None:
                turn = tries_by_account[account] // MAX_CONSECUTIVE_TRIES
                heapq.heappush(heads, (head.tier, turn, head, account))

    def _should_defer(self, sort_key: SortKey, now: float) -> bool:
        """Return whether a job is deferred because it will probably be late.

        Urgent jobs, and jobs that fit in their account's unused guarantee, are
        not deferred.
        """
        if sort_key.tier == 0 or sort_key.latest_start >= now:
            return False
        job = self._state.queue.job(sort_key.request_id)
        if sort_key.latest_start >= latest_start_after_miss(job):
            return False
        if not self._state.misses_target(job, now):
            return False
        return not self._planner.fits_unused_guarantee(job, now)

    def _try_job(self, request_id: str, now: float, decisions: list[Decision]) -> None:
        state = self._state
        job = state.queue.job(request_id)
        group = state.queue.group(request_id)
        since = state.queue.failed_position(request_id)
        if since is not None:
            urgent = state.urgent_group(group)
            if not state.freed_capacity.may_fit(group, urgent, since):
                state.queue.repark(request_id, state.freed_capacity.last_position)
                return
        if state.fleet.node_by_id and not state.ever_fits(job.shape):
            self._refuse(job, decisions)
            return
        problem = self._quota_reason(job)
        if problem is not None:
            state.queue.park(request_id, problem, None)
            return
        failed_position = state.freed_capacity.last_position
        plan = self._planner.plan(job, now)
        if plan is None:
            state.reservations.try_reserve(job, now)
            plan = self._migration_planner.plan(job, now)
        if plan is None:
            self._failed_searches += 1
            state.queue.park(request_id, self._unplaced_reason(job), failed_position)
            return
        self._apply_plan(job, plan, now, decisions)

    def _apply_plan(
        self, job: Job, plan: PlacementPlan, now: float, decisions: list[Decision]
    ) -> None:
        state = self._state
        self._members_handled += job.shape.gang + len(plan.victims)
        group = state.queue.group(job.request_id)
        state.queue.remove(job.request_id)
        for node_id in state.reservations.drop(job.request_id):
            state.freed_capacity.record(node_id)
        state.queue.retry_group(group)
        if not plan.victims:
            self._place(job, plan, now, decisions)
            return
        task = self._make_task(job, plan, now)
        for victim in plan.victims:
            task.victims.add(victim.job.request_id)
            if victim.stopping:
                continue
            state.allocations.set_stopping(victim, True)
            decisions.append(
                Preempt(
                    victim.job.request_id,
                    victim.number,
                    victim.job.checkpointable,
                    job.request_id,
                    Reason("preempted", f"preempted for request {job.request_id}"),
                )
            )
        state.allocations.claim(task)

    def _place(
        self, job: Job, plan: PlacementPlan, now: float, decisions: list[Decision]
    ) -> None:
        task = self._make_task(job, plan, now)
        self._state.allocations.start(task)
        self._emit_placement(task, plan.reason, decisions)

    def _emit_placement(
        self, task: Task, reason: Reason, decisions: list[Decision]
    ) -> None:
        """Append the placement decision for a task that was just started."""
        state = self._state
        request_id = task.job.request_id
        state.next_number_by_id[request_id] = task.number + 1
        nodes = state.fleet.nodes(task.members)
        state.zone_rate_limits.record_placement({node.zone for node in nodes})
        if task.kind == TaskKind.BORROWER:
            self._cover_with_guarantee(task)
        borrowed = task.kind == TaskKind.BORROWER
        if task.kind == TaskKind.FIXED:
            borrowed = not state.allocations.within_guarantee(task)
        decisions.append(
            Place(request_id, task.number, task.upstream_ids, borrowed, reason)
        )

    def _cover_with_guarantee(self, task: Task) -> None:
        """Move an unused block of the account to a task's upstreams.

        The task is then inside the guarantee.  Nothing changes if no block
        fits there.
        """
        state = self._state
        state.layout.move_block_to(task.job.client_account, sorted(task.members))
        state.update_layout(0)

    def _make_task(self, job: Job, plan: PlacementPlan, now: float) -> Task:
        ids: list[str] = []
        for node_id, count in plan.members.items():
            ids += [node_id] * count
        number = self._state.next_number_by_id.get(job.request_id, 1)
        return Task(
            job=job,
            number=number,
            upstream_ids=tuple(ids),
            members=dict(plan.members),
            kind=plan.kind,
            urgent=self._state.urgent(job),
            placed_at=now,
            reason=plan.reason.text,
        )

    def _refuse(self, job: Job, decisions: list[Decision]) -> None:
        self._state.queue.remove(job.request_id)
        text = f"no registered upstreams can ever hold {_describe(job.shape)}"
        reason = Reason("never_fits", text)
        decisions.append(Refuse(job.request_id, int(ResultCode.NEVER_FITS), reason))

    def _quota_reason(self, job: Job) -> Reason | None:
        spec = self._state.account_by_name.get(job.client_account)
        if spec is None or spec.max_accelerators is None:
            return None
        used = self._state.allocations.accelerators_by_account.get(
            job.client_account, 0
        )
        wanted = job.shape.accelerators * job.shape.gang
        if used + wanted <= spec.max_accelerators:
            return None
        text = (
            f"client account {spec.name!r} uses {used} of its quota of "
            f"{spec.max_accelerators} accelerators and this job needs {wanted}"
        )
        return Reason("quota", text)

    def _unplaced_reason(self, job: Job) -> Reason:
        if self._state.layout.pending and not preemptible(job):
            return LAYOUT_PENDING
        if not self._state.fleet.node_by_id:
            return Reason("no_upstream", "no upstream is registered")
        return NO_CAPACITY


def _describe(shape: Shape) -> str:
    text = (
        f"{shape.gang} x {shape.accelerators} accelerators, {shape.cores} cores, "
        f"{shape.memory_mb} MB"
    )
    if shape.gang > 1 and shape.adjacency != Adjacency.NONE:
        text += f" in one {shape.adjacency.value}"
    return text
