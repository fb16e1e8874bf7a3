"""How long a unit keeps away from upstreams where its runs have ended badly.

Load pattern: an upstream fails all that it starts for some seconds, while the
others are full, some of them with work without an end.  A unit that returns at
once spends its attempts on this upstream, and one that never returns may wait
for ever.
"""

from collections.abc import Iterable

from persimmonyard.jobs.model import Step, UnitKey
from persimmonyard.jobs.records import Unit

__all__ = ["RetryDelays"]

# Time for which a unit that has failed once waits for room on other upstreams,
# in milliseconds.  It doubles with each further failure, up to the limit.  The
# platform expects work that has room to start within 3 s.
_FIRST_DELAY_MS = 2_500
_MAX_DELAY_MS = 5_000
# The same if the unit will fit on others once runs there have ended, which may
# take hours.
_DELAY_UNTIL_RUNS_END_MS = 15_000


class RetryDelays:
    """Measures how long units have waited for upstreams without a failure.

    The times begin anew with each leader.
    """

    def __init__(self) -> None:
        # The start of each wait in Unix milliseconds, by unit and last run.
        self._since_ms: dict[tuple[UnitKey, int], int] = {}

    def forget_placed(self, waiting: Iterable[tuple[UnitKey, Unit]]) -> None:
        """Forget the waits of units that have been placed since."""
        if not self._since_ms:
            return
        kept = {}
        for key, unit in waiting:
            since_ms = self._since_ms.get((key, unit.run))
            if since_ms is not None:
                kept[(key, unit.run)] = since_ms
        self._since_ms = kept

    def is_over(
        self, key: UnitKey, unit: Unit, step: Step, others_free_up: bool, wall_ms: int
    ) -> bool:
        """Return whether a unit may return to where its runs ended badly.

        ``others_free_up`` is whether it will fit on other upstreams once the
        runs there have ended.
        """
        since_ms = self._since_ms.setdefault((key, unit.run), wall_ms)
        return wall_ms - since_ms >= _delay_ms(unit, step, others_free_up)


def _delay_ms(unit: Unit, step: Step, others_free_up: bool) -> int:
    """Return how long a unit waits for other upstreams.

    A long-running task has to be back soon, and its attempts have no limit.
    """
    if step.long_running:
        return _FIRST_DELAY_MS
    if others_free_up:
        return _DELAY_UNTIL_RUNS_END_MS
    delay_ms = _FIRST_DELAY_MS << min(max(unit.failures, 1) - 1, 8)
    return min(delay_ms, _MAX_DELAY_MS)
