"""What each client account has running, counted as runs are placed and end.

A run counts from its placement until its end is committed, on every upstream,
and with all resources that its tasks need, including cores that are not
charged to the upstream.  The count follows the committed commands only, so
that a new leader has the same one.
"""

from persimmonyard.decisions import (
    NO_RESOURCES,
    AccountUse,
    OverLimit,
    WithinLimit,
    decide_quota,
)
from persimmonyard.jobs.configuration import AccountSpec, JobConfiguration
from persimmonyard.jobs.model import Step
from persimmonyard.model import Resources

__all__ = ["AccountUsage", "PlannedUsage", "unit_needs", "unit_tasks"]

_NO_SPEC = AccountSpec("")


def unit_tasks(step: Step) -> int:
    """Return how many tasks one unit of a step has."""
    return step.count if step.gang else 1


def unit_needs(step: Step) -> Resources:
    """Return the resources that one unit of a step needs."""
    tasks = unit_tasks(step)
    needs = step.needs
    return Resources(
        tasks * needs.accelerators, tasks * needs.cores, tasks * needs.memory_mb
    )


class AccountUsage:
    """The resources of the open seats of each account, and its limits.

    Accounts without an open seat take no memory.  An account is known by its
    name: its jobs count also while its entry is missing from the
    configuration.
    """

    def __init__(self) -> None:
        self._spec_by_name: dict[str, AccountSpec] = {}
        # The weights of the accounts that have one.
        self.weight_by_name: dict[str, float] = {}
        self._seats_by_name: dict[str, int] = {}
        self._used_by_name: dict[str, Resources] = {}

    def set_configuration(self, configuration: JobConfiguration | None) -> None:
        """Apply the limits and weights of a configuration."""
        self._spec_by_name = {}
        self.weight_by_name = {}
        if configuration is None:
            return
        for spec in configuration.accounts:
            self._spec_by_name[spec.name] = spec
            if spec.weight:
                self.weight_by_name[spec.name] = spec.weight

    def clear(self) -> None:
        """Forget all seats, before those of a snapshot are counted."""
        self._seats_by_name = {}
        self._used_by_name = {}

    def open_seat(self, name: str, step: Step) -> None:
        """Count a task that has been placed for an account."""
        self._seats_by_name[name] = self._seats_by_name.get(name, 0) + 1
        self._used_by_name[name] = self.used(name).plus(step.needs)

    def close_seat(self, name: str, step: Step) -> None:
        """Stop counting a task whose end is committed."""
        self._seats_by_name[name] -= 1
        if not self._seats_by_name[name]:
            del self._seats_by_name[name]
            del self._used_by_name[name]
            return
        self._used_by_name[name] = self.used(name).minus(step.needs)

    def used(self, name: str) -> Resources:
        """Return what an account has running."""
        return self._used_by_name.get(name, NO_RESOURCES)

    def use(self, name: str) -> AccountUse:
        """Return what an account has running, and its limit."""
        return AccountUse(self.used(name), self.spec(name).limit)

    def spec(self, name: str) -> AccountSpec:
        """Return the configuration of an account, or one without a limit."""
        return self._spec_by_name.get(name, _NO_SPEC)

    def configured_names(self) -> list[str]:
        """Return the accounts of the configuration."""
        return list(self._spec_by_name)

    def names_in_use(self) -> list[str]:
        """Return the accounts that have something running."""
        return list(self._used_by_name)

    def decide(self, name: str, step: Step) -> WithinLimit | OverLimit:
        """Decide whether an account may start one more unit of a step."""
        return decide_quota(self.use(name), step.needs, unit_tasks(step))

    def can_never_start(self, name: str, step: Step) -> bool:
        """Return whether one unit of a step alone exceeds the limit.

        It cannot start under this configuration.
        """
        use = AccountUse(NO_RESOURCES, self.spec(name).limit)
        return isinstance(decide_quota(use, step.needs, unit_tasks(step)), OverLimit)


class PlannedUsage:
    """What accounts have running, including what one plan will start.

    Units for which the plan frees or reserves capacity count as well, so that
    no run is stopped for a unit that the limit keeps from starting after it.
    """

    def __init__(self, usage: AccountUsage):
        self._usage = usage
        self._planned_by_name: dict[str, Resources] = {}

    def excess(self, name: str, step: Step) -> Resources:
        """Return by how much one more unit of a step exceeds the limit."""
        used, limit = self._usage.use(name)
        needed = used.plus(self._planned_by_name.get(name, NO_RESOURCES))
        needed = needed.plus(unit_needs(step))
        return Resources(
            *(
                max(0, amount - bound) if bound else 0
                for amount, bound in zip(needed, limit, strict=True)
            )
        )

    def decide(self, name: str, step: Step) -> WithinLimit | OverLimit:
        """Decide whether an account may start one more unit of a step."""
        used, limit = self._usage.use(name)
        planned = self._planned_by_name.get(name, NO_RESOURCES)
        use = AccountUse(used.plus(planned), limit)
        return decide_quota(use, step.needs, unit_tasks(step))

    def add(self, name: str, step: Step) -> None:
        """Count a unit of a step that the plan will start."""
        planned = self._planned_by_name.get(name, NO_RESOURCES)
        self._planned_by_name[name] = planned.plus(unit_needs(step))
