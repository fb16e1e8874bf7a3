"""Run the test suite with nose2 and print one plain closing line.

Test modules run side by side in several processes; what a process prints is
shown when it ends.  Tests listed in KNOWN-RED.txt still run.  Their failures
are printed but do not fail the run.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import nose2

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Names the file to which a process for one module writes its outcomes.
OUTCOMES_VARIABLE = "PERSIMMONYARD_TEST_OUTCOMES"
# Modules that start many processes share the machine with others.
SIDE_BY_SIDE = max(1, min(4, (os.cpu_count() or 1) - 1))

sys.path.insert(0, str(ROOT))


def known_red():
    """Return the test identifiers listed in KNOWN-RED.txt."""
    names = set()
    if not KNOWN_RED.exists():
        return names
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("test: "):
            names.add(line.removeprefix("test: ").strip())
    return names


def find_modules():
    """Return the names of all test modules, slow packages first."""
    paths = sorted((ROOT / "test").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return sorted(names, key=lambda name: not name.startswith("test.daemon"))


def run_tests(arguments):
    """Run tests in this process and return their outcomes."""
    from test.counting import OutcomeCounter

    argv = ["nose2", "--top-level-directory", str(ROOT), "--start-dir", "test"]
    argv += arguments
    nose2.discover(argv=argv, exit=False, module=None, plugins=["test.counting"])
    return [list(outcome) for outcome in OutcomeCounter.outcomes]


def run_apart(name):
    """Run one module in a process of its own; return output and outcomes."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "outcomes.json"
        done = subprocess.run(
            [sys.executable, __file__, name],
            env={**os.environ, OUTCOMES_VARIABLE: str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            check=False,
        )
        text = done.stdout.decode(errors="replace")
        if not path.exists():
            text += f"\n{name}: the process ended with {done.returncode}\n"
            return text, [[name, "failed"]]
        return text, json.loads(path.read_text())


def count(outcomes):
    """Print the closing line and return the exit status for the shell."""
    excused = known_red()
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    for test_id, kind in outcomes:
        if kind == "failed" and test_id in excused:
            print(f"known red: {test_id}")
            continue
        if kind == "failed":
            print(f"failed: {test_id}")
        counts[kind] += 1
    print(
        f"{counts['passed']} passed, {counts['failed']} failed, "
        f"{counts['skipped']} skipped"
    )
    return 1 if counts["failed"] or counts["passed"] == 0 else 0


def main():
    """Run every test and return the exit status for the shell."""
    wanted = os.environ.get(OUTCOMES_VARIABLE)
    if wanted:
        Path(wanted).write_text(json.dumps(run_tests(sys.argv[1:])))
        return 0
    if sys.argv[1:]:
        return count(run_tests(sys.argv[1:]))
    outcomes = []
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        for text, found in pool.map(run_apart, find_modules()):
            print(text, end="", flush=True)
            outcomes += found
    return count(outcomes)


def fix_hash_seed():
    """Start again with a fixed hash seed, so that sets keep their order."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, *sys.argv])


if __name__ == "__main__":
    fix_hash_seed()
    sys.exit(main())
