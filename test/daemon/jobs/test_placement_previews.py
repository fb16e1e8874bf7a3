"""Tests of the limit on calls that ask where a job would be placed."""

import asyncio
import time
import unittest
from types import SimpleNamespace

from persimmonyard.daemon.jobs.placement_previews import (
    PlacementPreviews,
    TooManyPreviewsError,
)
from persimmonyard.replication import NotLeaderError
from test.jobs.fixtures import job, step


class PlacementPreviewsTests(unittest.IsolatedAsyncioTestCase):
    async def test_calls_beyond_the_limit_are_refused(self):
        """Guards against calls that keep the leader from its plans.

        The fifth call at a time is refused; after the others it is answered.
        A call whose caller has left no longer counts.
        """
        previews = PlacementPreviews()
        term = SimpleNamespace(leads=lambda: True, preview=lambda job: job)
        previews._next_at = time.perf_counter() + 0.2
        calls = []
        for _ in range(4):
            calls.append(asyncio.create_task(previews.preview(job(step()), term)))
        await asyncio.sleep(0)
        with self.assertRaises(TooManyPreviewsError):
            await previews.preview(job(step()), term)
        calls.pop().cancel()
        await asyncio.sleep(0)
        calls.append(asyncio.create_task(previews.preview(job(step()), term)))
        self.assertEqual([job(step())] * 4, await asyncio.gather(*calls))

    async def test_call_that_would_wait_for_long_is_refused(self):
        """Guards against an entry that takes the leader for lost.

        It does so if a call gets no reply for 0.9 s.
        """
        previews = PlacementPreviews()
        previews._next_at = time.perf_counter() + 600.0
        with self.assertRaises(TooManyPreviewsError):
            await previews.preview(job(step()), SimpleNamespace())

    async def test_ended_term_answers_no_call(self):
        """Guards against an answer from the state of a former leader."""
        previews = PlacementPreviews()
        term = SimpleNamespace(leads=lambda: False)
        with self.assertRaises(NotLeaderError):
            await previews.preview(job(step()), term)


if __name__ == "__main__":
    unittest.main()
