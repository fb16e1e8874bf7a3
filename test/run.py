"""Run the test suite with nose2 and print a summary line at the end.

Each test module runs in a process of its own, several at a time, except for
those that run alone at the end.  The output of a process is printed when it
ends.  With arguments, only the named tests
run, all in this process.  Tests listed in KNOWN-RED.txt run like all others,
but their failures are only printed and do not fail the run.
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
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
# The environment variable with the path of the file to which a process that
# runs one module writes its outcomes.
OUTCOMES_VARIABLE = "PERSIMMONYARD_TEST_OUTCOMES"
# Limited to four, and to one less than the cores, because some modules start
# many processes of their own.
MAX_PARALLEL_MODULES = max(1, min(4, (os.cpu_count() or 1) - 1))
# Modules that run after all others, one at a time, because they load the
# machine and would disturb tests beside them.
SOLITARY_MODULES = ("test.daemon.test_hostile_callers",)

sys.path.insert(0, str(ROOT))


def load_known_failures():
    """Return the identifiers of the tests listed in KNOWN-RED.txt."""
    names = set()
    if not KNOWN_RED_FILE.exists():
        return names
    for line in KNOWN_RED_FILE.read_text().splitlines():
        if line.startswith("test: "):
            names.add(line.removeprefix("test: ").strip())
    return names


def find_modules():
    """Return the names of all test modules, those of the daemon first."""
    # The modules of the daemon take longest, so they start first.
    paths = sorted((ROOT / "test").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return sorted(names, key=lambda name: not name.startswith("test.daemon"))


def run_tests(arguments):
    """Run tests in this process and return their outcomes."""
    from test.outcomes import OutcomeRecorder

    argv = ["nose2", "--top-level-directory", str(ROOT), "--start-dir", "test"]
    argv += arguments
    nose2.discover(argv=argv, exit=False, module=None, plugins=["test.outcomes"])
    return [list(outcome) for outcome in OutcomeRecorder.outcomes]


def run_in_subprocess(name):
    """Run one module in a process of its own; return output and outcomes.

    A module whose process writes no outcomes counts as one failed test.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "outcomes.json"
        completed = subprocess.run(
            [sys.executable, __file__, name],
            env={**os.environ, OUTCOMES_VARIABLE: str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            check=False,
        )
        output = completed.stdout.decode(errors="replace")
        if not path.exists():
            output += f"\n{name}: exit status {completed.returncode}, no outcomes\n"
            return output, [[name, "failed"]]
        return output, json.loads(path.read_text())


def report(outcomes):
    """Print failed tests and the summary line; return the exit status.

    The status is 1 if a test failed that is not listed in KNOWN-RED.txt, or if
    no test passed.
    """
    known_failures = load_known_failures()
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    for test_id, kind in outcomes:
        if kind == "failed" and test_id in known_failures:
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
    """Run all tests, or those in the arguments; return the exit status."""
    outcomes_path = os.environ.get(OUTCOMES_VARIABLE)
    if outcomes_path:
        Path(outcomes_path).write_text(json.dumps(run_tests(sys.argv[1:])))
        return 0
    if sys.argv[1:]:
        return report(run_tests(sys.argv[1:]))
    outcomes = []
    names = [name for name in find_modules() if name not in SOLITARY_MODULES]
    for parallel, group in ((MAX_PARALLEL_MODULES, names), (1, SOLITARY_MODULES)):
        with ThreadPoolExecutor(parallel) as pool:
            for output, module_outcomes in pool.map(run_in_subprocess, group):
                print(output, end="", flush=True)
                outcomes += module_outcomes
    return report(outcomes)


def fix_hash_seed():
    """Restart with a fixed hash seed, so that the order of sets is stable."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, *sys.argv])


if __name__ == "__main__":
    fix_hash_seed()
    sys.exit(main())
