"""The scheduler: a state machine that turns events into decisions.

It does no input or output and reads no clock; the caller passes the time.
"""

import heapq

from persimmonyard.model import Adjacency, ClientAccountSpec, ResultCode, Shape
from persimmonyard.scheduler.books import Books
from persimmonyard.scheduler.decisions import (
    Decision,
    GuaranteeProblem,
    Place,
    Preempt,
    Reason,
    Refuse,
)
from persimmonyard.scheduler.evacuation import Evacuation
from persimmonyard.scheduler.events import Event, Job
from persimmonyard.scheduler.facts import Facts
from persimmonyard.scheduler.migration import MigrationPlanner
from persimmonyard.scheduler.planner import (
    LAYOUT_PENDING,
    NO_CAPACITY,
    PlacementPlan,
    PlacementPlanner,
)
from persimmonyard.scheduler.queue import GroupKey, SortKey
from persimmonyard.scheduler.targets import RunTimeEstimator, latest_start_after_miss
from persimmonyard.scheduler.vector import member_need, times
from persimmonyard.scheduler.work import Kind, Task, stoppable

__all__ = ["Scheduler"]

# Limits of one call of ``decide``, so that it does not block the caller for
# long.  If work is left, ``next_wakeup`` requests the next call immediately.
MAX_DECISIONS = 64
MAX_TRIES = 64
MAX_FAILED_SEARCHES = 4
MAX_BLOCKS_LAID = 16
MAX_GROUPS_RECHECKED = 128
MAX_MEMBERS = 128

# Jobs of one client account that are tried before another account of the same
# tier gets its turn.
MAX_CONSECUTIVE_TRIES = 4

# How long a claim waits for its victims to end.  A stop takes at most one task
# lease of 15 s, and a checkpoint before the stop at most another 15 s.
CLAIM_TIMEOUT_S = 60.0

# Interval at which parked jobs are rechecked while a zone is warming up.
WARM_UP_INTERVAL_S = 0.25


class Scheduler:
    """Place waiting jobs on upstreams and honour all accounts' guarantees.

    Example: after ``observe(UpstreamUp(spec), now)`` and
    ``observe(JobWaiting(job), now)``, ``decide(now)`` returns a ``Place``.
    """

    def __init__(self, run_time_estimator: RunTimeEstimator | None = None) -> None:
        self._books = Books(run_time_estimator)
        self._facts = Facts(self._books)
        self._planner = PlacementPlanner(self._books)
        self._evacuation = Evacuation(self._books, self._planner)
        self._migration_planner = MigrationPlanner(self._books, self._planner)
        self._last_decision_at = 0.0
        self._warm_up_checked_at = 0.0
        self._failed_searches = 0
        self._members_handled = 0
        self._ready_claims: list[str] = []

    def observe(self, event: Event, now: float) -> None:
        """Apply an event to the scheduler's state; ``now`` is in seconds."""
        self._facts.observe(event, now)

    def decide(self, now: float) -> list[Decision]:
        """Return the decisions that follow from the events so far.

        One call returns a bounded number of them.  ``now`` is in seconds.
        """
        self._last_decision_at = now
        decisions: list[Decision] = []
        if self._books.quarantine_manager.run(now, decisions):
            self._books.layout.capacity_grew()
        self._books.settle_layout(MAX_BLOCKS_LAID)
        self._expire_claims(now)
        self._place_claims(now, decisions)
        self._migration_planner.forget(now)
        self._wake_parked_jobs(now)
        self._try_ready_jobs(now, decisions)
        self._evacuation.run(now, decisions)
        return decisions

    def next_wakeup(self) -> float | None:
        """Return the time at which ``decide`` is due without a new event.

        ``None`` means that it is not due before the next event.
        """
        books = self._books
        if books.queue.has_ready() or books.layout.pending or books.ended:
            return self._last_decision_at
        capacity_freed = (
            books.freed.has_news()
            or books.queue.recheck_pending()
            or bool(books.holders)
        )
        if capacity_freed and len(books.queue):
            return self._last_decision_at
        due_times = []
        delayed = books.queue.next_delayed_at()
        if delayed is not None:
            due_times.append(delayed)
        for claim in books.work.claim_by_id.values():
            due_times.append(claim.placed_at + CLAIM_TIMEOUT_S)
        if books.pace.warming() and len(books.queue):
            due_times.append(self._warm_up_checked_at + WARM_UP_INTERVAL_S)
        quarantine_end = books.quarantine_manager.next_wakeup()
        if quarantine_end is not None:
            due_times.append(quarantine_end)
        evacuation = self._evacuation.next_wakeup(self._last_decision_at)
        if evacuation is not None:
            due_times.append(evacuation)
        return min(due_times, default=None)

    def waiting_reason(self, request_id: str) -> Reason | None:
        """Return why a request waits, ``None`` if it does not wait."""
        claim = self._books.work.claim_by_id.get(request_id)
        if claim is not None and not claim.awaits_job:
            count = len(claim.victims)
            return Reason("reclaiming", f"waits until {count} preempted tasks end")
        return self._books.queue.waiting_reason(request_id)

    def check_guarantees(
        self, accounts: list[ClientAccountSpec]
    ) -> list[GuaranteeProblem]:
        """Return the new guaranteed shapes that do not fit with the others.

        ``accounts`` is the whole proposed configuration.  Blocks that are
        already in force are not checked again: if they do not fit, they are
        reported by ``guarantees_at_risk``.
        """
        layout = self._books.layout
        self._books.settle_layout(len(layout.pending))
        guarantee_by_account = {one.name: one.guarantee for one in accounts}
        problems = []
        for block in layout.misfits(guarantee_by_account):
            text = (
                f"block {block.key.block} of client account "
                f"{block.key.account!r} ({_describe(block.shape)}) does not fit "
                "beside the other guarantees"
            )
            problems.append(GuaranteeProblem(block.key.account, block.key.block, text))
        return problems

    def guarantees_at_risk(self) -> list[GuaranteeProblem]:
        """Return the guaranteed shapes in force that do not fit."""
        layout = self._books.layout
        self._books.settle_layout(len(layout.pending))
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
        """Return a text on what would make a block at risk fit again."""
        need = member_need(shape)
        fleet = self._books.fleet
        absent = 0
        for node in fleet.node_by_id.values():
            if not fleet.usable(node) and times(need, node.capacity):
                absent += 1
        parts = [f"it needs upstreams for {_describe(shape)} beside the other blocks"]
        if fleet.closed_zones:
            zones = ", ".join(sorted(fleet.closed_zones))
            parts.append(f"zones out of service: {zones}")
        if absent:
            parts.append(f"{absent} registered upstreams that could help are absent")
        return "; ".join(parts)

    def held_requests(self) -> list[str]:
        """Return the waiting requests that capacity is held for."""
        return sorted(self._books.holds.hold_by_id)

    def _place_claims(self, now: float, decisions: list[Decision]) -> None:
        books = self._books
        while books.ended:
            self._ready_claims += books.work.victim_ended(books.ended.pop())
        waiting = []
        for request_id in self._ready_claims:
            claim = books.work.claim_by_id.get(request_id)
            if claim is None or claim.victims:
                continue
            if claim.awaits_job or claim.job.not_before > now:
                waiting.append(request_id)
                continue
            claim.number = books.next_number_by_id.get(request_id, 1)
            claim.placed_at = now
            books.work.start_claim(request_id)
            self._emit_placement(claim, Reason("claimed", claim.reason), decisions)
        self._ready_claims = waiting

    def _expire_claims(self, now: float) -> None:
        books = self._books
        for request_id, claim in list(books.work.claim_by_id.items()):
            if claim.placed_at + CLAIM_TIMEOUT_S > now:
                continue
            for victim_id in claim.victims:
                victim = books.work.task_by_id.get(victim_id)
                if victim is not None:
                    books.work.set_stopping(victim, False)
            books.give_up_claim(request_id, now)

    def _wake_parked_jobs(self, now: float) -> None:
        books = self._books
        books.queue.release_delayed(now)
        if (
            books.pace.warming()
            and now >= self._warm_up_checked_at + WARM_UP_INTERVAL_S
        ):
            self._warm_up_checked_at = now
            books.freed.note_everywhere()
        for request_id in sorted(books.holders):
            books.queue.wake_job(request_id)
        books.holders.clear()
        if books.freed.has_news():
            books.queue.recheck_all()
        books.freed.look()
        if not books.queue.recheck_pending():
            return

        def could_help(group: GroupKey, since: int) -> bool:
            return books.freed.is_news_for(group, books.urgent_group(group), since)

        books.queue.wake_helped_groups(
            could_help, books.freed.number, MAX_GROUPS_RECHECKED
        )

    def _try_ready_jobs(self, now: float, decisions: list[Decision]) -> None:
        """Try to place ready jobs, round-robin by client account."""
        heads = []
        for sort_key, account in self._books.queue.accounts():
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
            if self._misses_target(sort_key, now):
                self._books.defer(self._books.queue.job(sort_key.request_id), now)
            else:
                self._try_job(sort_key.request_id, now, decisions)
            head = self._books.queue.head(account)
            if head is not None:
                turn = tries_by_account[account] // MAX_CONSECUTIVE_TRIES
                heapq.heappush(heads, (head.tier, turn, head, account))

    def _misses_target(self, sort_key: SortKey, now: float) -> bool:
        """Return whether a job yields to jobs that can meet their target.

        Urgent jobs, and jobs that fit in the unused cells of their account,
        keep their place in the order.
        """
        if sort_key.tier == 0 or sort_key.latest_start >= now:
            return False
        job = self._books.queue.job(sort_key.request_id)
        if sort_key.latest_start >= latest_start_after_miss(job):
            return False
        if not self._books.misses_target(job, now):
            return False
        return not self._planner.fits_unused_guarantee(job, now)

    def _try_job(self, request_id: str, now: float, decisions: list[Decision]) -> None:
        books = self._books
        job = books.queue.job(request_id)
        group = books.queue.group(request_id)
        since = books.queue.failed_position(request_id)
        if since is not None:
            urgent = books.urgent_group(group)
            if not books.freed.could_help(group, urgent, since):
                books.queue.repark(request_id, books.freed.number)
                return
        if books.fleet.node_by_id and not books.ever_fits(job.shape):
            self._refuse(job, decisions)
            return
        problem = self._quota_reason(job)
        if problem is not None:
            books.queue.park(request_id, problem, None)
            return
        failed_position = books.freed.number
        plan = self._planner.plan(job, now)
        if plan is None:
            books.holds.consider(job, now)
            plan = self._migration_planner.plan(job, now)
        if plan is None:
            self._failed_searches += 1
            books.queue.park(request_id, self._unplaced_reason(job), failed_position)
            return
        self._apply_plan(job, plan, now, decisions)

    def _apply_plan(
        self, job: Job, plan: PlacementPlan, now: float, decisions: list[Decision]
    ) -> None:
        books = self._books
        self._members_handled += job.shape.gang + len(plan.victims)
        group = books.queue.group(job.request_id)
        books.queue.remove(job.request_id)
        for node_id in books.holds.drop(job.request_id):
            books.freed.note(node_id)
        books.queue.wake_group(group)
        if not plan.victims:
            self._place(job, plan, now, decisions)
            return
        task = self._task(job, plan, now)
        for victim in plan.victims:
            task.victims.add(victim.job.request_id)
            if victim.stopping:
                continue
            books.work.set_stopping(victim, True)
            decisions.append(
                Preempt(
                    victim.job.request_id,
                    victim.number,
                    victim.job.checkpointable,
                    job.request_id,
                    Reason("preempted", f"preempted for request {job.request_id}"),
                )
            )
        books.work.claim(task)

    def _place(
        self, job: Job, plan: PlacementPlan, now: float, decisions: list[Decision]
    ) -> None:
        task = self._task(job, plan, now)
        self._books.work.start(task)
        self._emit_placement(task, plan.reason, decisions)

    def _emit_placement(
        self, task: Task, reason: Reason, decisions: list[Decision]
    ) -> None:
        """Append the placement of a task that was just marked as running."""
        books = self._books
        request_id = task.job.request_id
        books.next_number_by_id[request_id] = task.number + 1
        nodes = books.fleet.nodes(task.members)
        books.pace.placed({node.zone for node in nodes})
        if task.kind == Kind.BORROWER:
            self._cover_with_guarantee(task)
        borrowed = task.kind == Kind.BORROWER
        if task.kind == Kind.FIXED:
            borrowed = not books.work.covered(task)
        decisions.append(
            Place(request_id, task.number, task.upstream_ids, borrowed, reason)
        )

    def _cover_with_guarantee(self, task: Task) -> None:
        """Move an unused block of the account to a task's upstreams.

        Nothing changes if no block fits there.
        """
        books = self._books
        books.layout.pull(task.job.client_account, sorted(task.members))
        books.settle_layout(0)

    def _task(self, job: Job, plan: PlacementPlan, now: float) -> Task:
        ids: list[str] = []
        for node_id, count in plan.members.items():
            ids += [node_id] * count
        number = self._books.next_number_by_id.get(job.request_id, 1)
        return Task(
            job=job,
            number=number,
            upstream_ids=tuple(ids),
            members=dict(plan.members),
            kind=plan.kind,
            urgent=self._books.urgent(job),
            placed_at=now,
            reason=plan.reason.text,
        )

    def _refuse(self, job: Job, decisions: list[Decision]) -> None:
        self._books.queue.remove(job.request_id)
        text = f"no registered upstreams can ever hold {_describe(job.shape)}"
        reason = Reason("never_fits", text)
        decisions.append(Refuse(job.request_id, int(ResultCode.NEVER_FITS), reason))

    def _quota_reason(self, job: Job) -> Reason | None:
        spec = self._books.account_by_name.get(job.client_account)
        if spec is None or spec.max_accelerators is None:
            return None
        used = self._books.work.accelerators_by_account.get(job.client_account, 0)
        wanted = job.shape.accelerators * job.shape.gang
        if used + wanted <= spec.max_accelerators:
            return None
        text = (
            f"client account {spec.name!r} uses {used} of its quota of "
            f"{spec.max_accelerators} accelerators and this job needs {wanted}"
        )
        return Reason("quota", text)

    def _unplaced_reason(self, job: Job) -> Reason:
        if self._books.layout.pending and not stoppable(job):
            return LAYOUT_PENDING
        if not self._books.fleet.node_by_id:
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
