"""Completion time, fragmentation, zone changes and cost of the scheduler.

Each workload runs under the scheduler and under first come, first served in
the same run, so the figures compare as ratios on any machine.
"""

import json
import math
import sys
from collections.abc import Callable
from pathlib import Path

from bench.baseline import FirstFit
from bench.cost import measure_cost
from bench.driver import Driver
from bench.measures import measure
from bench.report import write_report
from bench.workload import Workload, buenos_aires, nairobi, region
from persimmonyard.scheduler import Scheduler

__all__ = ["run"]

SEED = 7
OUTPUT = Path(__file__).resolve().parent.parent / "build" / "bench"
WALL_LIMIT_S = 90.0  # for each run; only the region comes near it

WORKLOAD_BY_NAME: dict[str, Callable[[int], Workload]] = {
    "nairobi": nairobi,
    "buenos-aires": buenos_aires,
    "region": region,
}


def run(names: tuple[str, ...] = tuple(WORKLOAD_BY_NAME)) -> dict:
    """Measure, print a table, write JSON and a report page."""
    results: dict = {"seed": SEED, "workloads": {}}
    for name in names:
        results["workloads"][name] = _compare(name)
        _print_workload(name, results["workloads"][name])
    results["cost"] = measure_cost(SEED)
    _print_cost(results["cost"])
    OUTPUT.mkdir(parents=True, exist_ok=True)
    path = OUTPUT / "scheduler.json"
    path.write_text(json.dumps(_without_nan(results), indent=1))
    write_report(results, OUTPUT)
    return results


def _without_nan(value):
    """Replace figures that were not measured by ``None``: JSON has no NaN."""
    if isinstance(value, dict):
        return {key: _without_nan(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_without_nan(item) for item in value]
    if isinstance(value, float) and math.isnan(value):
        return None
    return value


def _compare(name: str) -> dict:
    """Run both policies over the same simulated time.

    When the wall time ends a run early, the other one ends at the same
    simulated time, so that both measure the same jobs.
    """
    drivers = {}
    end = math.inf
    for policy_name, make in (("baseline", FirstFit), ("scheduler", Scheduler)):
        driver = Driver(WORKLOAD_BY_NAME[name](SEED), make(), WALL_LIMIT_S)
        driver.end = min(driver.end, end)
        driver.run()
        end = driver.end
        drivers[policy_name] = driver
    if drivers["baseline"].end > end:
        driver = Driver(WORKLOAD_BY_NAME[name](SEED), FirstFit(), WALL_LIMIT_S)
        driver.end = end
        driver.run()
        drivers["baseline"] = driver
    measured = {key: measure(driver) for key, driver in drivers.items()}
    measured["ratios"] = _ratios(measured["scheduler"], measured["baseline"])
    return measured


def _ratios(ours: dict, base: dict) -> dict:
    """Return how many times better; a larger number is better."""
    return {
        "urgent_burst_p99": _ratio(
            base["urgent"]["burst_p99_s"], ours["urgent"]["burst_p99_s"]
        ),
        "stranded": _ratio(
            base["fragmentation"]["stranded_mean"],
            ours["fragmentation"]["stranded_mean"],
        ),
        "gang_wait_mean": _ratio(
            base["fragmentation"]["gang_wait_mean_s"],
            ours["fragmentation"]["gang_wait_mean_s"],
        ),
        "zone_share": _ratio(ours["zone"]["share"], base["zone"]["share"]),
    }


def _ratio(above: float, below: float) -> float:
    return above / below if below else math.nan


def _print_workload(name: str, measured: dict) -> None:
    print(f"\n{name}")
    print(f"  {'':34}{'scheduler':>12}{'baseline':>12}")
    ours, base = measured["scheduler"], measured["baseline"]
    for class_name in ours["completion_by_class"]:
        for key in ("jobs", "finished", "late", "in_target_share", "p50_s", "p99_s"):
            _print_row(
                f"{class_name} {key}",
                ours["completion_by_class"][class_name][key],
                base["completion_by_class"][class_name][key],
            )
    for section in ("urgent", "fragmentation", "zone"):
        for key in ours[section]:
            _print_row(key, ours[section][key], base[section].get(key, math.nan))
    for key in ("simulated_s", "decide_calls", "decide_p99_s", "decide_max_s"):
        _print_row(key, ours[key], base[key])
    for key in ("ended", "faults", "violations", "preemptions", "quarantines"):
        print(f"  {key}: scheduler {ours[key]}")
        print(f"  {key}: baseline {base[key]}")
    for key, value in measured["ratios"].items():
        print(f"  times better: {key} {value:.2f}")


def _print_row(title: str, ours: float, base: float) -> None:
    print(f"  {title:34}{ours:>12.4g}{base:>12.4g}")


def _print_cost(cost: dict) -> None:
    print("\ncost of one decision")
    for name, figures in cost.items():
        print(f"  {name}: {figures}")


if __name__ == "__main__":
    run(tuple(sys.argv[1:]) or tuple(WORKLOAD_BY_NAME))
