"""Benchmark of the scheduler against the baseline.

It measures completion time, fragmentation, zone changes and decision cost.
Each workload runs under the scheduler and under first come, first served in
the same run, so the ratios can be compared between machines.
"""

import json
import math
import sys
from collections.abc import Callable
from pathlib import Path

from bench.baseline import FirstFit
from bench.decision_latency import measure_decision_latency
from bench.measures import measure
from bench.report import write_report
from bench.simulator import Simulator
from bench.workload import Workload, buenos_aires, nairobi, region
from persimmonyard.scheduler import Scheduler

__all__ = ["run"]

SEED = 7
OUTPUT = Path(__file__).resolve().parent.parent / "build" / "bench"
WALL_LIMIT_S = 90.0  # per run; only ``region`` comes near it

WORKLOAD_BY_NAME: dict[str, Callable[[int], Workload]] = {
    "nairobi": nairobi,
    "buenos-aires": buenos_aires,
    "region": region,
}


def run(names: tuple[str, ...] = tuple(WORKLOAD_BY_NAME)) -> dict:
    """Run the workloads, print tables, and write JSON and a report page."""
    results: dict = {"seed": SEED, "workloads": {}}
    for name in names:
        results["workloads"][name] = _compare(name)
        _print_workload(name, results["workloads"][name])
    results["cost"] = measure_decision_latency(SEED)
    _print_cost(results["cost"])
    OUTPUT.mkdir(parents=True, exist_ok=True)
    path = OUTPUT / "scheduler.json"
    path.write_text(json.dumps(_without_nan(results), indent=1))
    write_report(results, OUTPUT)
    return results


def _without_nan(value):
    """Replace NaN (not measured) by ``None``, as JSON has no NaN."""
    if isinstance(value, dict):
        return {key: _without_nan(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_without_nan(item) for item in value]
    if isinstance(value, float) and math.isnan(value):
        return None
    return value


def _compare(name: str) -> dict:
    """Run both policies over the same simulated time.

    If the wall-clock limit ends one run early, the other run ends at the same
    simulated time, so that both measure the same jobs.
    """
    simulators = {}
    end = math.inf
    for policy_name, make_policy in (("baseline", FirstFit), ("scheduler", Scheduler)):
        simulator = Simulator(WORKLOAD_BY_NAME[name](SEED), make_policy(), WALL_LIMIT_S)
        simulator.end = min(simulator.end, end)
        simulator.run()
        end = simulator.end
        simulators[policy_name] = simulator
    if simulators["baseline"].end > end:
        simulator = Simulator(WORKLOAD_BY_NAME[name](SEED), FirstFit(), WALL_LIMIT_S)
        simulator.end = end
        simulator.run()
        simulators["baseline"] = simulator
    measured = {key: measure(simulator) for key, simulator in simulators.items()}
    measured["ratios"] = _ratios(measured["scheduler"], measured["baseline"])
    return measured


def _ratios(scheduler_result: dict, baseline_result: dict) -> dict:
    """Return the improvement factors of the scheduler over the baseline."""
    return {
        "urgent_burst_p99": _ratio(
            baseline_result["urgent"]["burst_p99_s"],
            scheduler_result["urgent"]["burst_p99_s"],
        ),
        "stranded": _ratio(
            baseline_result["fragmentation"]["stranded_mean"],
            scheduler_result["fragmentation"]["stranded_mean"],
        ),
        "gang_wait_mean": _ratio(
            baseline_result["fragmentation"]["gang_wait_mean_s"],
            scheduler_result["fragmentation"]["gang_wait_mean_s"],
        ),
        "zone_share": _ratio(
            scheduler_result["zone"]["share"], baseline_result["zone"]["share"]
        ),
    }


def _ratio(numerator: float, denominator: float) -> float:
    return numerator / denominator if denominator else math.nan


def _print_workload(name: str, measured: dict) -> None:
    print(f"\n{name}")
    print(f"  {'':34}{'scheduler':>12}{'baseline':>12}")
    scheduler_result, baseline_result = measured["scheduler"], measured["baseline"]
    for class_name in scheduler_result["completion_by_class"]:
        for key in ("jobs", "finished", "late", "in_target_share", "p50_s", "p99_s"):
            _print_row(
                f"{class_name} {key}",
                scheduler_result["completion_by_class"][class_name][key],
                baseline_result["completion_by_class"][class_name][key],
            )
    for section in ("urgent", "fragmentation", "zone"):
        for key in scheduler_result[section]:
            _print_row(
                key,
                scheduler_result[section][key],
                baseline_result[section].get(key, math.nan),
            )
    for key in ("simulated_s", "decide_calls", "decide_p99_s", "decide_max_s"):
        _print_row(key, scheduler_result[key], baseline_result[key])
    for key in ("ended", "faults", "violations", "preemptions", "quarantines"):
        print(f"  {key}: scheduler {scheduler_result[key]}")
        print(f"  {key}: baseline {baseline_result[key]}")
    for key, value in measured["ratios"].items():
        print(f"  improvement factor: {key} {value:.2f}")


def _print_row(title: str, scheduler_result: float, baseline_result: float) -> None:
    print(f"  {title:34}{scheduler_result:>12.4g}{baseline_result:>12.4g}")


def _print_cost(cost: dict) -> None:
    print("\ncost of one decision")
    for name, figures in cost.items():
        print(f"  {name}: {figures}")


if __name__ == "__main__":
    run(tuple(sys.argv[1:]) or tuple(WORKLOAD_BY_NAME))
