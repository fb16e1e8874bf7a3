"""Stops of an account's own runs for its guaranteed work.

Load pattern: an account has work that can wait running up to its limit when
urgent work within its guarantee arrives.  Its guarantee has to be given back
within seconds, and its limit binds that work as well.
"""

from persimmonyard.jobs.model import UnitKey
from persimmonyard.jobs.preemption import PotentialVictim, VictimSelector
from persimmonyard.jobs.store import JobStore
from persimmonyard.model import Resources

__all__ = ["choose_own_victims"]


def choose_own_victims(
    selector: VictimSelector, account: str, excess: Resources
) -> list[tuple[UnitKey, int]] | None:
    """Return the runs of an account to stop so that ``excess`` is freed.

    Runs that are ending anyway count as freed.  Returns None if the account
    has not enough runs that may be stopped.
    """
    victims: list[PotentialVictim] = []
    missing = excess
    for key, run, needs in _runs_of(selector.store, account):
        if selector.ends_soon(key, run):
            missing = _less(missing, needs)
            continue
        victim = selector.potential_victim(key, run, needs)
        if victim is not None:
            victims.append(victim)
    chosen = []
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if not any(missing):
            break
        if not _helps(victim.needs, missing):
            continue
        missing = _less(missing, victim.needs)
        chosen.append((victim.key, victim.run))
    return None if any(missing) else chosen


def _runs_of(store: JobStore, account: str) -> list[tuple[UnitKey, int, Resources]]:
    """Return the runs of an account with the resources that they use."""
    needs_by_run: dict[tuple[UnitKey, int], Resources] = {}
    for seats in store.seats_by_upstream.values():
        for task_key, run in seats:
            job = store.job_by_id[task_key.job_id].job
            if job.account != account:
                continue
            step = job.steps[task_key.step]
            run_key = (task_key.unit_key(step.gang), run)
            used = needs_by_run.get(run_key, Resources(0, 0, 0))
            needs_by_run[run_key] = used.plus(step.needs)
    return [(key, run, needs) for (key, run), needs in needs_by_run.items()]


def _less(missing: Resources, freed: Resources) -> Resources:
    return Resources(
        *(max(0, amount - part) for amount, part in zip(missing, freed, strict=True))
    )


def _helps(freed: Resources, missing: Resources) -> bool:
    return any(part and amount for part, amount in zip(freed, missing, strict=True))
