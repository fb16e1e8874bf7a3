"""Rules on the facts of crashes that the job service and requests share.

``crash_verdict`` decides from these facts whether a task is to blame.  A unit
is a task, a gang or a request; it runs on upstreams, and each attempt to run
it is a run.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from persimmonyard.model.crash_verdict import Crash

__all__ = [
    "LONG_RUN_MS",
    "MAX_EXCUSED_RUNS",
    "MAX_KEPT_CRASHES",
    "OUTAGE_WINDOW_S",
    "RATE_HORIZONS_S",
    "clearing_run_ms",
    "describe_guilt",
    "is_outage",
    "neighbour_chance",
    "newest_runs",
]

# A crash after a run of this length does not add to earlier ones, in
# milliseconds.
LONG_RUN_MS = 30_000
# A unit is excused for at most this many runs, so that one that crashes
# upstreams is given up in time even if crashes look like outages.
MAX_EXCUSED_RUNS = 2
# At most this many crashes are kept for a unit, but always those of the last
# runs: in each of them all members of a wide gang may crash their upstreams,
# and a task is blamed after five runs at the latest.
MAX_KEPT_CRASHES = 16
_MIN_KEPT_RUNS = 5
# Times over which the rate of crashes is taken: the shorter one shows a series
# of crashes soon after its beginning.
RATE_HORIZONS_S = (10, 60)
# Crashes in one rack or zone have one cause if the upstreams start again
# within this time, and are this many and this share of all.  Several tasks
# that crash upstreams rarely hit nearly all of a rack at once.
OUTAGE_WINDOW_S = 2
_OUTAGE_UPSTREAMS = 4
_OUTAGE_SHARE = 0.9
# Chance that another unit on the upstream has caused the crash, if nothing is
# known of that unit and if it is under suspicion itself.
_UNKNOWN_NEIGHBOUR_CHANCE = 0.05
_SUSPECT_NEIGHBOUR_CHANCE = 0.5
# A run without a crash that is this many times as long as those with one
# clears its unit, within these limits in milliseconds.
_CLEARING_FACTOR = 4
_MIN_CLEARING_RUN_MS = 1_000
_MAX_CLEARING_RUN_MS = 10_000

_OfRun = TypeVar("_OfRun")


def newest_runs(
    records: Sequence[_OfRun], run_of: Callable[[_OfRun], int], limit: int
) -> list[_OfRun]:
    """Return the last ``limit`` records, and all of the last runs."""
    if len(records) <= limit:
        return list(records)
    runs = sorted({run_of(record) for record in records})
    oldest_run = runs[-_MIN_KEPT_RUNS:][0]
    kept = []
    for position, record in enumerate(records):
        if run_of(record) >= oldest_run or len(records) - position <= limit:
            kept.append(record)
    return kept


def neighbour_chance(suspect: bool, age_ms: float, window_ms: int) -> float:
    """Return the chance that another unit on the upstream caused a crash.

    ``age_ms`` is the time since its start at least, and ``window_ms`` that
    since the start of the unit in question at most.  A neighbour that was
    started before would have had to crash the upstream just within that time,
    by accident.
    """
    chance = _SUSPECT_NEIGHBOUR_CHANCE if suspect else _UNKNOWN_NEIGHBOUR_CHANCE
    if age_ms > window_ms:
        chance *= window_ms / age_ms
    return chance


def clearing_run_ms(crashes: Iterable[Crash]) -> int:
    """Return how long a run without a crash must last to clear its unit."""
    longest_ms = max(crash.window_ms for crash in crashes)
    needed_ms = max(_MIN_CLEARING_RUN_MS, _CLEARING_FACTOR * longest_ms)
    return min(needed_ms, _MAX_CLEARING_RUN_MS)


def is_outage(crashed: int, upstream_count: int) -> bool:
    """Return whether the upstreams of a rack or zone crashed together."""
    return crashed >= max(_OUTAGE_UPSTREAMS, _OUTAGE_SHARE * upstream_count)


def describe_guilt(label: str, task: int, crashes: Iterable[Crash]) -> str:
    """Return for callers why a unit was given up because of one task."""
    counted = [crash for crash in crashes if task in crash.tasks and not crash.excused]
    upstream_ids = ", ".join(crash.upstream_id for crash in counted)
    windows_ms = ", ".join(str(crash.window_ms) for crash in counted)
    return (
        f"upstreams crashed under {label}: {upstream_ids}; "
        f"at most {windows_ms} ms after its start"
    )
