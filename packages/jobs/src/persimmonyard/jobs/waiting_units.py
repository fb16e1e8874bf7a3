"""The units that wait for a placement, by step."""

from collections.abc import Iterator
from typing import NamedTuple

from persimmonyard.jobs.model import UnitKey
from persimmonyard.jobs.records import Unit

__all__ = ["StepKey", "WaitingByStep"]


class StepKey(NamedTuple):
    """Key of a step in one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class WaitingByStep:
    """Waiting units in the order in which they began to wait, by step.

    What a plan does for a step that cannot start yet does not depend on the
    number of its tasks.  Most steps have one unit, which is kept as a pair: a
    dictionary for each would take more memory than the unit.
    """

    def __init__(self) -> None:
        self._waiting_by_step: dict[
            StepKey, tuple[UnitKey, Unit] | dict[UnitKey, Unit]
        ] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, key: UnitKey, unit: Unit) -> None:
        """Add a unit that does not wait yet, behind the others of its step."""
        step_key = StepKey(*key[:3])
        self._count += 1
        match self._waiting_by_step.get(step_key):
            case None:
                self._waiting_by_step[step_key] = (key, unit)
            case dict(units):
                units[key] = unit
            case first:
                self._waiting_by_step[step_key] = dict((first, (key, unit)))

    def get(self, key: UnitKey) -> Unit | None:
        """Return a unit that waits, or None."""
        return self._units_of(StepKey(*key[:3])).get(key)

    def remove(self, key: UnitKey) -> None:
        """Remove a unit if it waits."""
        step_key = StepKey(*key[:3])
        units = self._units_of(step_key)
        if units.pop(key, None) is None:
            return
        self._count -= 1
        if not units:
            del self._waiting_by_step[step_key]

    def steps(self) -> Iterator[tuple[StepKey, dict[UnitKey, Unit]]]:
        """Yield the steps with waiting units, and these units."""
        for step_key in self._waiting_by_step:
            yield step_key, self._units_of(step_key)

    def _units_of(self, step_key: StepKey) -> dict[UnitKey, Unit]:
        """Return the units of a step; a single one in a new dictionary."""
        match self._waiting_by_step.get(step_key):
            case None:
                return {}
            case dict(units):
                return units
            case single:
                return dict((single,))
