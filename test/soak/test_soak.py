"""A short soak with fixed seeds, and every seed that ever failed."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak.deployment import SoakDeployment
from soak.run import soak

SECONDS = 6.0
# Any seed; no seed has failed so far.
SEEDS = (1,)


class SoakTests(unittest.TestCase):
    def test_promises_hold_under_mixed_faults(self):
        """Guards against promises that break with real processes."""
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                deployment = SoakDeployment(Path(folder), seed, slot=201, upstreams=4)
                self.assertEqual([], asyncio.run(soak(deployment, SECONDS)))


if __name__ == "__main__":
    unittest.main()
