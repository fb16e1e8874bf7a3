"""Whether a task is to blame for the crashes of upstreams under it.

A task that crashes its upstream does so on every upstream that starts it,
soon after the start.  A sound task meets a crash only by accident.  For each
crash under a task, its chance by accident is the rate at which upstreams
crash without the task, times the time within which the crash followed the
start.  A task is to blame once the chance that all its last runs ended so
by accident is below one in a million.

The rate makes the verdict careful when many upstreams crash: three crashes
within 20 ms each are enough at any rate below one crash of each upstream in
12 s.  A task that needs seconds to crash its upstream is found only while
hardly any other upstreams crash; the bounds are in docs/crash-verdict.md.  All
arithmetic is multiplication, so that all replicas reach the same verdict.
"""

from collections.abc import Iterable, Sequence

import msgspec

__all__ = ["BASE_RATE_PER_S", "Crash", "find_guilty_task", "may_be_to_blame"]

# Crashes of one upstream for each second that are assumed even if none is
# known: one in about three hours.
BASE_RATE_PER_S = 1e-4
# A task is to blame only after this many crashes on different addresses, or
# after this many on any.  The platform allows five starts.
_MIN_CRASHES = 3
_MIN_CRASHES_ON_FEW_ADDRESSES = 5
# A single crash that is at most this likely as an accident makes its unit
# start apart from others, and so does one with the second chance within this
# time of the start in milliseconds: of several units that were started
# together, each may have caused it.
_SUSPICIOUS_CHANCE = 0.02
_SUSPICIOUS_CHANCE_AT_START = 0.05
_START_MS = 1_000
# The product of the chances of N independent accidents is at most the N-th
# value with a probability of one in a million: it is the solution x of
# x * sum((-ln x)**j / j! for j in range(N)) = 1e-6.
_PRODUCT_LIMITS = (
    1.0e-6,
    5.6e-8,
    4.9e-9,
    5.3e-10,
    6.6e-11,
    9.1e-12,
    1.3e-12,
    2.1e-13,
    3.5e-14,
    6.2e-15,
    1.1e-15,
    2.0e-16,
    3.9e-17,
    7.6e-18,
    1.5e-18,
    3.1e-19,
)


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream under a run of a unit.

    ``tasks`` are the tasks of the unit that were on the upstream, and
    ``window_ms`` is the time within which the crash followed their start.
    ``rate_per_s`` is the rate at which an upstream crashed without the unit
    then, and ``least_chance`` a lower limit of the chance that this was an
    accident, for example because another unit may have caused the crash.  An
    ``excused`` crash had another cause.
    """

    upstream_id: str
    incarnation: int
    address: str
    run: int
    tasks: tuple[int, ...]
    window_ms: int
    rate_per_s: float
    least_chance: float = 0.0
    excused: bool = False

    def chance(self, rate_per_s: float = 0.0) -> float:
        """Return the chance that a sound task met this crash.

        ``rate_per_s`` is the rate at another time, if that is higher.
        """
        rate_per_s = max(self.rate_per_s, rate_per_s)
        return min(1.0, max(self.least_chance, rate_per_s * self.window_ms / 1_000))

    def followed_start(self) -> bool:
        """Return whether the start may have caused the crash at once."""
        return self.window_ms <= _START_MS


def find_guilty_task(
    crashes: Iterable[Crash], members: int, rate_per_s: float
) -> int | None:
    """Return the task of a unit that is to blame for its crashes, or None.

    A unit with several ``members`` is a gang; the one that was hit most often
    by accident must not be blamed, so the chance is divided among them.
    ``rate_per_s`` is the present rate of crashes without the unit.
    """
    counted = [crash for crash in crashes if not crash.excused]
    runs = {crash.run for crash in counted}
    if len(runs) < _MIN_CRASHES:
        return None
    limit = _PRODUCT_LIMITS[min(len(runs), len(_PRODUCT_LIMITS)) - 1] / members
    for task in sorted({task for crash in counted for task in crash.tasks}):
        under_task = [crash for crash in counted if task in crash.tasks]
        if not _is_enough(under_task):
            continue
        highest = max(rate_per_s, *(crash.rate_per_s for crash in under_task))
        if _product(under_task, highest) <= limit:
            return task
    return None


def _is_enough(crashes: Sequence[Crash]) -> bool:
    addresses = {crash.address for crash in crashes}
    runs = {crash.run for crash in crashes}
    if len(addresses) < _MIN_CRASHES:
        return len(runs) >= _MIN_CRASHES_ON_FEW_ADDRESSES
    return len(runs) >= _MIN_CRASHES


def _product(crashes: Iterable[Crash], rate_per_s: float) -> float:
    """Return the product of the chances of all runs with a crash."""
    chance_by_run: dict[int, float] = {}
    for crash in crashes:
        chance = min(chance_by_run.get(crash.run, 1.0), crash.chance(rate_per_s))
        chance_by_run[crash.run] = chance
    product = 1.0
    for chance in chance_by_run.values():
        product *= chance
    return product


def may_be_to_blame(crashes: Iterable[Crash]) -> bool:
    """Return whether a unit with these crashes has to start apart."""
    runs_by_task: dict[int, set[int]] = {}
    for crash in crashes:
        if crash.excused:
            continue
        chance = crash.chance()
        if chance <= _SUSPICIOUS_CHANCE:
            return True
        if crash.followed_start() and chance <= _SUSPICIOUS_CHANCE_AT_START:
            return True
        for task in crash.tasks:
            runs_by_task.setdefault(task, set()).add(crash.run)
    return any(len(runs) > 1 for runs in runs_by_task.values())
