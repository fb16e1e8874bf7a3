"""Tests of loops that run in the background."""

import asyncio
import unittest

from persimmonyard.daemon.background import BackgroundTasks
from persimmonyard.daemon.logs import get_logger

DEADLINE_S = 20.0


class BackgroundTasksTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.tasks = BackgroundTasks(get_logger("test"), restart_delay_s=0.01)
        self.addCleanup(self.tasks.cancel)

    async def test_loop_runs_again_after_an_error_and_after_its_end(self):
        """Guards against a process without one of its loops."""
        runs = asyncio.Queue()

        async def run():
            runs.put_nowait(None)
            if runs.qsize() == 1:
                raise ValueError("unexpected")

        self.tasks.start("loop", run)
        async with asyncio.timeout(DEADLINE_S):
            while runs.qsize() < 3:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_cancelled_loop_does_not_run_again(self):
        """Guards against loops that outlive the process's shutdown."""
        started = asyncio.Event()
        ended = asyncio.Event()

        async def run():
            started.set()
            try:
                await asyncio.sleep(10 * DEADLINE_S)
            finally:
                started.clear()
                ended.set()

        self.tasks.start("loop", run)
        await asyncio.wait_for(started.wait(), DEADLINE_S)
        self.tasks.cancel()
        await asyncio.wait_for(ended.wait(), DEADLINE_S)
        await asyncio.sleep(0.05)
        self.assertFalse(started.is_set())


if __name__ == "__main__":
    unittest.main()
