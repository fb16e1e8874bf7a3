"""Report page with plots of the scheduler benchmark, for operators."""

import html
import math
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

__all__ = ["write_report"]

COLORS = {"scheduler": "tab:green", "baseline": "tab:gray"}

TARGETS = (
    ("urgent_burst_p99", "p99 completion of urgent work in a burst", 5.0),
    ("stranded", "stranded accelerators", 2.0),
    ("gang_wait_mean", "mean wait of the largest gangs", 2.0),
)


def write_report(results: dict, folder: Path) -> Path:
    """Write one SVG per workload and ``scheduler.html``; return its path."""
    parts = [
        "<!doctype html><html lang='en'><meta charset='utf-8'>",
        "<title>Scheduler benchmark</title>",
        "<style>body{font-family:sans-serif;max-width:70em;margin:2em auto}"
        "td,th{padding:.2em .8em;text-align:right}td:first-child{text-align:left}"
        "img{max-width:100%}</style>",
        "<h1>Scheduler benchmark</h1>",
        "<p>The baseline is first come, first served with first fit, on the same "
        "jobs in the same run. Ratios are the improvement of the scheduler over "
        "the baseline.</p>",
    ]
    for name, measured in results["workloads"].items():
        image = f"scheduler-{name}.svg"
        _plot(name, measured, folder / image)
        title = html.escape(name)
        parts.append(f"<h2>{title}</h2><img src='{image}' alt='plots of {title}'>")
        parts.append(_ratio_table(measured))
        parts.append(_class_table(measured))
    parts.append(_cost_table(results.get("cost", {})))
    path = folder / "scheduler.html"
    path.write_text("\n".join(parts))
    return path


def _plot(name: str, measured: dict, path: Path) -> None:
    figure, (left, middle, right) = pyplot.subplots(1, 3, figsize=(15, 4))
    _plot_completion(left, measured)
    for policy, color in COLORS.items():
        series = measured[policy]["series"]
        middle.plot(series["hours"], series["stranded"], color=color, label=policy)
        right.plot(series["hours"], series["used"], color=color, label=policy)
    series = measured["scheduler"]["series"]
    right.plot(
        series["hours"], series["possible"], "k:", label="capacity or demand, scheduler"
    )
    middle.set(title="Stranded accelerators", xlabel="hours", ylabel="accelerators")
    right.set(title="Accelerators in use", xlabel="hours", ylabel="accelerators")
    for axes in (left, middle, right):
        axes.legend()
    figure.suptitle(name)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_completion(axes, measured: dict) -> None:
    classes = list(measured["scheduler"]["completion_by_class"])
    for offset, (policy, color) in enumerate(COLORS.items()):
        by_class = measured[policy]["completion_by_class"]
        positions = [index + 0.4 * offset for index in range(len(classes))]
        p50 = [by_class[name]["p50_s"] / 60.0 for name in classes]
        p99 = [by_class[name]["p99_s"] / 60.0 for name in classes]
        axes.bar(positions, p99, 0.35, color=color, label=f"{policy} p99")
        axes.plot(positions, p50, "k_", markersize=18)
    axes.set_xticks([index + 0.2 for index in range(len(classes))], classes)
    axes.set_yscale("log")
    axes.set(title="Completion time (mark: p50)", ylabel="minutes")


def _ratio_table(measured: dict) -> str:
    rows = []
    for key, title, target in TARGETS:
        value = measured["ratios"][key]
        rows.append(
            (
                f"{title}, improvement factor",
                _format_number(value),
                f"at least {target:g}",
            )
        )
    share = measured["scheduler"]["zone"]["share"]
    rows.append(
        (
            "share of possible work done during a zone change",
            _format_number(share),
            "at least 0.95",
        )
    )
    late = measured["scheduler"]["urgent"]["late_within_guarantee"]
    rows.append(("urgent jobs late within their guarantee", str(late), "0"))
    violations = sum(measured["scheduler"]["violations"].values())
    rows.append(("decisions that violate a rule", str(violations), "0"))
    return _table(("measure", "measured", "target"), rows)


def _class_table(measured: dict) -> str:
    rows = []
    for policy in COLORS:
        for name, figures in measured[policy]["completion_by_class"].items():
            cells = [f"{policy}: {name}"]
            for key in ("jobs", "finished", "late", "in_target_share"):
                cells.append(_format_number(figures[key]))
            cells.append(_format_number(figures["p50_s"] / 60.0))
            cells.append(_format_number(figures["p99_s"] / 60.0))
            rows.append(tuple(cells))
    header = ("class", "jobs", "finished", "late", "in target", "p50 min", "p99 min")
    return _table(header, rows)


def _cost_table(cost: dict) -> str:
    if not cost:
        return ""
    rows = []
    for name in ("tenth", "target"):
        figures = cost[name]
        row = [name]
        for key in ("workers", "tasks", "waiting"):
            row.append(str(figures[key]))
        row.append(_format_number(1_000.0 * figures["p50_s"]))
        row.append(_format_number(1_000.0 * figures["p99_s"]))
        rows.append(tuple(row))
    header = ("size", "workers", "tasks", "waiting", "p50 ms", "p99 ms")
    growth = (
        "<p>Growth of p99 from a tenth of the target: "
        f"{_format_number(cost['growth_p99'])}; "
        f"logarithmic growth: {_format_number(cost['growth_logarithmic'])}.</p>"
    )
    return f"<h2>Cost of one decision</h2>{_table(header, rows)}{growth}"


def _table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = ["<table><tr>"]
    lines.extend(f"<th>{html.escape(cell)}</th>" for cell in header)
    lines.append("</tr>")
    for row in rows:
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in row)
        lines.append(f"<tr>{cells}</tr>")
    lines.append("</table>")
    return "".join(lines)


def _format_number(value: float) -> str:
    if isinstance(value, float) and math.isnan(value):
        return "not measured"
    return f"{value:.4g}"
