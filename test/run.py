"""Run the test suite with nose2 and print one plain closing line.

Tests listed in KNOWN-RED.txt still run.  Their failures are printed but do
not fail the run.
"""

import os
import sys
from pathlib import Path

import nose2

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

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


def main():
    """Run every test and return the exit status for the shell."""
    from test.counting import OutcomeCounter

    argv = ["nose2", "--top-level-directory", str(ROOT), "--start-dir", "test"]
    argv += sys.argv[1:]
    nose2.discover(argv=argv, exit=False, module=None, plugins=["test.counting"])
    excused = known_red()
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    for outcome in OutcomeCounter.outcomes:
        if outcome.kind == "failed" and outcome.test_id in excused:
            print(f"known red: {outcome.test_id}")
            continue
        counts[outcome.kind] += 1
    print(
        f"{counts['passed']} passed, {counts['failed']} failed, "
        f"{counts['skipped']} skipped"
    )
    return 1 if counts["failed"] or counts["passed"] == 0 else 0


def fix_hash_seed():
    """Start again with a fixed hash seed, so that sets keep their order."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, *sys.argv])


if __name__ == "__main__":
    fix_hash_seed()
    sys.exit(main())
