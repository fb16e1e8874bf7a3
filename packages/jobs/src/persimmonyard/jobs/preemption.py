"""Selection of the runs to preempt for a unit, by cost and benefit."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.jobs.capacity import UpstreamCapacity, charged_resources
from persimmonyard.jobs.guarantees import GUARANTEED_WAIT_S, GuaranteedJobs
from persimmonyard.jobs.model import UnitKey
from persimmonyard.jobs.run_time_estimator import RunTimeEstimator
from persimmonyard.jobs.store import JobStore
from persimmonyard.jobs.waiting_queue import Slack, WaitingUnits, core_equivalents
from persimmonyard.model import Resources

__all__ = ["PotentialVictim", "Reservation", "RunProgress", "VictimSelector"]

_MS_PER_S = 1_000
# Value of a core-second of finished work by priority, in core-seconds of
# wasted work.  It is higher for urgent work classes because their jobs are
# smaller.
_VALUE_BY_PRIORITY = (5.5, 0.7)
_LOWEST_VALUE = 0.3
# Share of the value that is lost when work misses its objective, and share
# that is lost when late work misses the time after which it has no value.
_LATE_LOSS = 0.75
_FINAL_LOSS = 0.25
# Runs are preempted for a unit whose slack is smaller than this: a stop takes
# up to a second.
_PREEMPTION_LEAD_MS = 2_000
# A run that is expected to end within this time is not stopped, in seconds.
_ENDS_SOON_S = 0.6
# Factor on the cost of wasted work, because its repetition takes capacity from
# other work as well.
_REWORK_FACTOR = 1.4
# Time that a stop and a restart take in addition to the lost work, in seconds.
_RESTART_COST_S = 0.2
# Factor on the cost of stopping urgent work, so that guaranteed work preempts
# it last.
_URGENT_FACTOR = 10.0


class RunProgress(NamedTuple):
    """The progress of a run.

    ``unsaved_s`` is the work that a stop would lose, ``elapsed_s`` the time
    since the run started, and ``remaining_s`` the expected time to its end,
    or None if that is unknown.
    """

    stopping: bool
    unsaved_s: float
    elapsed_s: float = 0.0
    remaining_s: float | None = None

    def merged(self, other: "RunProgress") -> "RunProgress":
        """Return the combined progress of two tasks of the run."""
        remaining_s = None
        if self.remaining_s is not None and other.remaining_s is not None:
            remaining_s = max(self.remaining_s, other.remaining_s)
        return RunProgress(
            self.stopping or other.stopping,
            max(self.unsaved_s, other.unsaved_s),
            max(self.elapsed_s, other.elapsed_s),
            remaining_s,
        )

    def ends_soon(self) -> bool:
        """Return whether the run will free its capacity without a stop."""
        if self.stopping:
            return True
        return self.remaining_s is not None and self.remaining_s < _ENDS_SOON_S


class PotentialVictim(NamedTuple):
    """A run that may be preempted, as seen on one upstream.

    ``needs`` are the resources that its stop frees there.
    """

    cost: float
    priority: int
    key: UnitKey
    run: int
    needs: Resources


def _value_of(priority: int) -> float:
    """Return the value of a core-second of work with this priority."""
    if priority < len(_VALUE_BY_PRIORITY):
        return _VALUE_BY_PRIORITY[priority]
    return _LOWEST_VALUE


def _value_loss(slack: Slack, delay_ms: float) -> float:
    """Return the share of the value that a delay loses."""
    if slack.objective_slack_ms >= 0:
        return _LATE_LOSS if slack.objective_slack_ms < delay_ms else 0.0
    if slack.final_slack_ms >= 0:
        return _FINAL_LOSS if slack.final_slack_ms < delay_ms else 0.0
    return 0.0


@dataclass
class Reservation:
    """The capacity reserved for a unit, and the runs to stop for it.

    ``future_free_by_id`` is the capacity that is left by upstream once these
    runs have ended and the unit is placed.  ``assigned_by_id`` is the number
    of tasks of the unit that an upstream gets.
    """

    cost: float = 0.0
    victims: list[tuple[UnitKey, int]] = field(default_factory=list)
    future_free_by_id: dict[str, Resources] = field(default_factory=dict)
    assigned_by_id: dict[str, int] = field(default_factory=dict)

    def apply(self, candidates: Iterable[UpstreamCapacity]) -> None:
        """Make the reserved capacity unavailable to other units."""
        for candidate in candidates:
            upstream_id = candidate.upstream.report.upstream_id
            future_free = self.future_free_by_id.get(upstream_id)
            if future_free is None:
                continue
            candidate.future_free = future_free
            if upstream_id not in self.assigned_by_id:
                continue
            candidate.free = Resources(
                min(candidate.free.accelerators, max(0, future_free.accelerators)),
                min(candidate.free.cores, max(0, future_free.cores)),
                min(candidate.free.memory_mb, max(0, future_free.memory_mb)),
            )


class VictimSelector:
    """Selects the runs to preempt for units during one plan.

    ``runs`` is the progress of each run by unit and run number.
    """

    def __init__(
        self,
        store: JobStore,
        estimator: RunTimeEstimator,
        runs: dict[tuple[UnitKey, int], RunProgress],
        guaranteed_jobs: GuaranteedJobs,
        wall_ms: int,
    ):
        self.store = store
        self._estimator = estimator
        self._runs = runs
        self._guaranteed_jobs = guaranteed_jobs
        self._wall_ms = wall_ms
        self._potential_victims_by_upstream: dict[str, list[PotentialVictim]] = {}

    def benefit(self, waiting: WaitingUnits) -> float:
        """Return the benefit of starting a unit now instead of later.

        The unit is core-seconds of wasted work.  The benefit is 0 while the
        work can wait, and infinite for guaranteed work that has waited for
        ``GUARANTEED_WAIT_S``.
        """
        if waiting.within_guarantee and waiting.waited_s >= GUARANTEED_WAIT_S:
            return float("inf")
        work_s = self._estimator.task_ms(waiting.record.job, waiting.step) / _MS_PER_S
        work = waiting.task_count() * core_equivalents(waiting.step) * work_s
        value = _value_of(waiting.route.priority) * work
        return value * _value_loss(waiting.slack, _PREEMPTION_LEAD_MS)

    def reserve(
        self,
        waiting: WaitingUnits,
        group: list[UpstreamCapacity],
        count_by_id: Mapping[str, int],
    ) -> Reservation:
        """Return the cheapest reservation found for all tasks of a unit.

        ``count_by_id`` is the number of tasks of the step that an upstream
        has already; it is not used for a step without a limit per upstream.
        Its cost is infinite if the tasks cannot fit on the group at a cost
        below the benefit.
        """
        needs = charged_resources(waiting.step)
        per_upstream = waiting.step.per_upstream
        reservation = Reservation()
        candidate_by_id = {
            candidate.upstream.report.upstream_id: candidate for candidate in group
        }
        benefit = self.benefit(waiting)
        for _ in range(waiting.task_count()):
            best: tuple[float, str, list[PotentialVictim]] | None = None
            for upstream_id, candidate in candidate_by_id.items():
                tasks = reservation.assigned_by_id.get(upstream_id, 0)
                tasks += count_by_id.get(upstream_id, 0)
                if per_upstream and tasks >= per_upstream:
                    continue
                future_free = reservation.future_free_by_id.get(
                    upstream_id, candidate.future_free
                )
                if needs.fits(future_free):
                    best = (0.0, upstream_id, [])
                    break
                if not benefit:
                    continue
                eligible = self._eligible(upstream_id, waiting)
                limit = best[0] if best is not None else benefit - reservation.cost
                choice = _cheapest(
                    needs, future_free, eligible, reservation.victims, limit
                )
                if choice is not None:
                    best = (choice[0], upstream_id, choice[1])
            if best is None:
                return Reservation(cost=float("inf"))
            cost, upstream_id, chosen = best
            reservation.cost += cost
            for victim in chosen:
                self._add_victim(victim, reservation, candidate_by_id)
            future_free = reservation.future_free_by_id.get(
                upstream_id, candidate_by_id[upstream_id].future_free
            )
            reservation.future_free_by_id[upstream_id] = future_free.minus(needs)
            assigned = reservation.assigned_by_id.get(upstream_id, 0)
            reservation.assigned_by_id[upstream_id] = assigned + 1
        return reservation

    def _add_victim(
        self,
        victim: PotentialVictim,
        reservation: Reservation,
        candidate_by_id: dict[str, UpstreamCapacity],
    ) -> None:
        """Add a run to stop, and what it frees on upstreams of the group."""
        run_key = (victim.key, victim.run)
        reservation.victims.append(run_key)
        unit = self.store.job_by_id[victim.key.job_id].units[victim.key]
        for upstream_id in {seat_record.seat.upstream_id for seat_record in unit.seats}:
            candidate = candidate_by_id.get(upstream_id)
            if candidate is None:
                continue
            for other in self._potential_victims_on(upstream_id):
                if (other.key, other.run) == run_key:
                    future_free = reservation.future_free_by_id.get(
                        upstream_id, candidate.future_free
                    )
                    reservation.future_free_by_id[upstream_id] = future_free.plus(
                        other.needs
                    )

    def mark_stopping(self, run_key: tuple[UnitKey, int]) -> None:
        """Record that a run is being stopped, to exclude it from now on."""
        self._runs[run_key] = self._runs[run_key]._replace(stopping=True)
        unit = self.store.job_by_id[run_key[0].job_id].units[run_key[0]]
        for seat_record in unit.seats:
            self._potential_victims_by_upstream.pop(seat_record.seat.upstream_id, None)

    def _eligible(
        self, upstream_id: str, waiting: WaitingUnits
    ) -> list[PotentialVictim]:
        """Return the runs on an upstream that a unit may preempt."""
        victims = self._potential_victims_on(upstream_id)
        if waiting.within_guarantee:
            return victims
        return [
            victim for victim in victims if victim.priority > waiting.route.priority
        ]

    def _potential_victims_on(self, upstream_id: str) -> list[PotentialVictim]:
        """Return the stoppable runs on an upstream, cheapest first."""
        found = self._potential_victims_by_upstream.get(upstream_id)
        if found is None:
            found = self._potential_victims_by_upstream[upstream_id] = (
                self._find_potential_victims(upstream_id)
            )
        return found

    def _find_potential_victims(self, upstream_id: str) -> list[PotentialVictim]:
        needs_by_run: dict[tuple[UnitKey, int], Resources] = {}
        for task_key, run in self.store.seats_by_upstream.get(upstream_id, {}):
            step = self.store.job_by_id[task_key.job_id].job.steps[task_key.step]
            run_key = (task_key.unit_key(step.gang), run)
            progress = self._runs.get(run_key)
            if progress is None or progress.ends_soon():
                continue
            freed = needs_by_run.get(run_key, Resources(0, 0, 0))
            needs_by_run[run_key] = freed.plus(charged_resources(step))
        found = []
        for (key, run), freed in needs_by_run.items():
            victim = self.potential_victim(key, run, freed)
            if victim is not None:
                found.append(victim)
        found.sort(key=lambda victim: victim.cost)
        return found

    def ends_soon(self, key: UnitKey, run: int) -> bool:
        """Return whether a run frees its capacity without a further stop."""
        progress = self._runs.get((key, run))
        return progress is not None and progress.ends_soon()

    def potential_victim(
        self, key: UnitKey, run: int, freed: Resources
    ) -> PotentialVictim | None:
        """Return a run as a victim, or None if it must not be stopped."""
        record = self.store.job_by_id[key.job_id]
        route = self.store.route_of(record)
        if route is None or self._guaranteed_jobs.covers(record):
            return None
        if record.units[key].completed:
            # Its members end together, so the others have ended as well, and a
            # stop would free nothing earlier.
            return None
        progress = self._runs.get((key, run))
        if progress is None:
            return None
        step = record.step_of(key)
        cores = core_equivalents(step) * (step.count if step.gang else 1)
        cost = _REWORK_FACTOR * cores * (progress.unsaved_s + _RESTART_COST_S)
        slack = Slack.of(record, route, key, self._wall_ms, self._estimator)
        # ``slack`` assumes that no work is done yet, so the time for which the
        # run has worked is added.
        objective_slack_ms = slack.objective_slack_ms + progress.elapsed_s * _MS_PER_S
        final_slack_ms = slack.final_slack_ms + progress.elapsed_s * _MS_PER_S
        task_ms = self._estimator.task_ms(record.job, step)
        delay_ms = progress.unsaved_s * _MS_PER_S + _PREEMPTION_LEAD_MS
        loss = _value_loss(Slack(objective_slack_ms, final_slack_ms), delay_ms)
        cost += _value_of(route.priority) * cores * task_ms / _MS_PER_S * loss
        cost *= _URGENT_FACTOR if route.priority == 0 else 1.0
        return PotentialVictim(cost, route.priority, key, run, freed)


def _cheapest(
    needs: Resources,
    free: Resources,
    eligible: list[PotentialVictim],
    already_chosen: list[tuple[UnitKey, int]],
    limit: float,
) -> tuple[float, list[PotentialVictim]] | None:
    """Return the cheapest runs whose end makes ``needs`` fit, and their cost.

    Returns None if the cost would not stay below ``limit``.
    """
    cost = 0.0
    chosen: list[PotentialVictim] = []
    for victim in eligible:
        if (victim.key, victim.run) in already_chosen:
            continue
        chosen.append(victim)
        cost += victim.cost
        if cost >= limit:
            return None
        free = free.plus(victim.needs)
        if needs.fits(free):
            return cost, chosen
    return None
