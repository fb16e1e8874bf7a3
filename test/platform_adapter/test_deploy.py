"""Tests that the deployed build has what the processes import, and no more."""

import importlib.metadata
import os
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
REQUIREMENTS = ROOT / "deploy/requirements.txt"
ROLE_MODULES = {
    "job-entry": (
        "persimmonyard.platform.main",
        "persimmonyard.daemon.jobs.entry_process",
        "persimmonyard.platform.callers",
    ),
    "job-control": (
        "persimmonyard.platform.main",
        "persimmonyard.daemon.jobs.control_process",
        "persimmonyard.platform.control",
        "persimmonyard.platform.upstreams",
    ),
}
IMPORT_SCRIPT = """
import importlib, sys
for module in sys.argv[1:]:
    importlib.import_module(module)
print(" ".join(sys.modules))
"""


class DeployTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.libraries = Path(folder.name)
        for line in REQUIREMENTS.read_text().splitlines():
            self.link_library(line.partition("==")[0])

    def link_library(self, name):
        """Link the files of a distribution into the folder of libraries."""
        distribution = importlib.metadata.distribution(name)
        for file in distribution.files:
            top = file.parts[0]
            link = self.libraries / top
            if top != ".." and not link.exists():
                link.symlink_to(distribution.locate_file(top))

    def load_modules(self, role):
        """Return the modules of a role on an instance with its build only."""
        sources = [*ROOT.glob("packages/*/src"), ROOT / "platform/src"]
        paths = [str(path) for path in (self.libraries, *sources)]
        ended = subprocess.run(
            [sys.executable, "-S", "-c", IMPORT_SCRIPT, *ROLE_MODULES[role]],
            env={"PYTHONPATH": os.pathsep.join(paths)},
            capture_output=True,
            text=True,
            timeout=60.0,
            check=False,
        )
        self.assertEqual(0, ended.returncode, ended.stderr)
        return set(ended.stdout.split())

    def test_requirements_are_enough_for_every_role(self):
        """Guards against a library that only developers have installed."""
        deployed = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.assertEqual(set(ROLE_MODULES), set(deployed))
        for role in ROLE_MODULES:
            with self.subTest(role=role):
                self.load_modules(role)

    def test_no_role_loads_libraries_that_it_does_not_use(self):
        """Guards against memory for the command line in every process.

        Entries only send messages of the job service, which need no protocol
        buffers.
        """
        for role in ROLE_MODULES:
            loaded = self.load_modules(role)
            with self.subTest(role=role):
                self.assertEqual(set(), loaded & {"typer", "rich", "pygments"})
        self.assertEqual(
            set(), self.load_modules("job-entry") & {"google.protobuf", "aiohttp"}
        )


if __name__ == "__main__":
    unittest.main()
