"""Which seats of a plan put kinds together that slow each other down."""

from persimmonyard.decisions import (
    Effect,
    Slowed,
    Undisturbed,
    decide_separation,
    effects_on,
)
from persimmonyard.jobs.capacity import UpstreamCapacity
from persimmonyard.jobs.kinds import task_kind
from persimmonyard.jobs.model import Step, UnitKey
from persimmonyard.jobs.store import JobStore

__all__ = ["Interference"]


class Interference:
    """The known effects between kinds, and the kinds on each candidate.

    While no effect is known nothing is computed.  The kinds on a candidate are
    read from the store when they are first needed, so that candidates without
    room cost nothing.  The seat of a member of a gang that has finished counts
    until the end of the gang, because the store does not tell it apart.

    ``kept_apart`` is the number of seats of the plan that were chosen because
    a better filled upstream would have slowed tasks down, and ``shared`` that
    of the seats that slow tasks down for lack of others.
    """

    def __init__(self, store: JobStore, effects: tuple[Effect, ...] = ()):
        self._store = store
        self._effects = effects
        self._effects_by_kind: dict[str, dict[str, Effect]] = {}
        self._kind_by_step: dict[tuple[str, int], str] = {}
        self.kept_apart = 0
        self.shared = 0

    def effects_on(self, key: UnitKey, step: Step) -> dict[str, Effect]:
        """Return the effects between a unit's kind and others, by these."""
        if not self._effects:
            return {}
        kind = self._kind(key.job_id, key.step, step)
        found = self._effects_by_kind.get(kind)
        if found is None:
            found = self._effects_by_kind[kind] = effects_on(kind, self._effects)
        return found

    def loss(self, candidate: UpstreamCapacity, effects: dict[str, Effect]) -> float:
        """Return the share of its rate that a task loses on a candidate.

        It is the largest share of the new task and its neighbours, and 0.0 if
        none is slowed.
        """
        if not effects:
            return 0.0
        match decide_separation(self._kinds(candidate), effects):
            case Undisturbed():
                return 0.0
            case Slowed(factor):
                return 1.0 - factor

    def add(
        self, candidate: UpstreamCapacity, key: UnitKey, step: Step, tasks: int
    ) -> None:
        """Add tasks of a unit to a candidate, or remove a negative number."""
        if not self._effects:
            return
        kinds = self._kinds(candidate)
        kind = self._kind(key.job_id, key.step, step)
        kinds[kind] = kinds.get(kind, 0) + tasks
        if not kinds[kind]:
            del kinds[kind]

    def _kinds(self, candidate: UpstreamCapacity) -> dict[str, int]:
        if candidate.kinds is not None:
            return candidate.kinds
        kinds: dict[str, int] = {}
        upstream_id = candidate.upstream.report.upstream_id
        for task_key, _ in self._store.seats_by_upstream.get(upstream_id, {}):
            step = self._store.job_by_id[task_key.job_id].job.steps[task_key.step]
            kind = self._kind(task_key.job_id, task_key.step, step)
            kinds[kind] = kinds.get(kind, 0) + 1
        candidate.kinds = kinds
        return kinds

    def _kind(self, job_id: str, number: int, step: Step) -> str:
        kind = self._kind_by_step.get((job_id, number))
        if kind is None:
            kind = task_kind(self._store.job_by_id[job_id].job, step)
            self._kind_by_step[(job_id, number)] = kind
        return kind
