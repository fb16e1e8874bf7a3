"""Tests of the soak's checks: each promise, broken once, is noticed."""

import json
import unittest

from soak.checks import check
from soak.records import JobSeen, Seen

JOB = "00000000000000a1"


def step(count=1, **fields):
    """Return a step as the soak's callers draw it."""
    plain = {"accelerators": 1, "after": [], "gang": False, "saves": False}
    return {"count": count, **plain, "per_upstream": 0, **fields}


class Story:
    """A sequence of events, half a second apart."""

    def __init__(self, *steps):
        self.seen = Seen()
        self.job = JobSeen(JOB, "normal", list(steps), 0.5, refused_only=False)
        self.seen.job_by_id[JOB] = self.job
        self.lines = []
        self.now = 1.0
        self.tell("u1", "born", zone="z1")
        self.tell("u2", "born", zone="z2")

    def tell(self, upstream, event, **fields):
        self.now += 0.5
        line = {"at": self.now, "event": event, "born": 1, "upstream": upstream}
        self.lines.append(json.dumps(line | fields))

    def start(self, upstream, task="0.0", run=1):
        self.tell(upstream, "start", task=f"{JOB}.0.{task}", run=run)

    def end(self, upstream, how="done", task="0.0", run=1, **fields):
        name = f"{JOB}.0.{task}"
        self.tell(upstream, "end", task=name, run=run, how=how, **fields)
        self.tell(upstream, "acknowledged", task=name, run=run, how=how)

    def broken(self):
        return check(self.lines, self.seen)


class CheckTests(unittest.TestCase):
    def assert_broken(self, story, text):
        broken = story.broken()
        self.assertEqual(1, len(broken), broken)
        self.assertIn(text, broken[0])

    def test_sound_story_breaks_nothing(self):
        """Guards against checks that find fault with everything."""
        story = Story(step(), step(after=[0]))
        story.start("u1")
        story.end("u1", "failed")
        story.start("u2", run=2)
        story.end("u2", run=2)
        story.start("u2", "1.0")
        story.end("u2", task="1.0")
        story.job.states.append((story.now + 1, "completed"))
        self.assertEqual([], story.broken())

    def test_second_run_beside_the_first(self):
        """Guards against a task that runs twice at once."""
        story = Story(step())
        story.start("u1")
        story.start("u2", run=2)
        self.assert_broken(story, "already")

    def test_run_after_its_upstream_died(self):
        """Guards against a death that still counts as a run."""
        story = Story(step())
        story.start("u1")
        story.seen.deaths.append((story.now + 0.1, "u1"))
        story.start("u2", run=2)
        self.assertEqual([], story.broken())

    def test_lapsed_run_is_over_when_its_lease_ends(self):
        """Guards against a frozen upstream that seems to run on."""
        story = Story(step())
        story.start("u1")
        lease_end = story.now + 0.1
        story.start("u2", run=2)
        story.end("u1", "lapsed", over_at=lease_end)
        self.assertEqual([], story.broken())

    def test_start_after_an_acknowledged_end(self):
        """Guards against done work that is done again."""
        story = Story(step())
        story.start("u1")
        story.end("u1")
        story.start("u2", run=2)
        self.assert_broken(story, "taken note of")

    def test_start_before_an_earlier_step_is_done(self):
        """Guards against steps out of order."""
        story = Story(step(2), step(after=[0]))
        story.start("u1")
        story.end("u1")
        story.start("u1", "1.0")
        self.assert_broken(story, "step 0 is not done")

    def test_one_end_is_enough_for_a_gang(self):
        """Guards against a check that waits for all ends of a gang."""
        story = Story(step(2, gang=True), step(after=[0]))
        story.start("u1")
        story.end("u1")
        story.start("u1", "1.0")
        self.assertEqual([], story.broken())

    def test_too_many_failures(self):
        """Guards against attempts beyond the limit."""
        story = Story(step())
        for run in (1, 2, 3):
            story.start("u1", run=run)
            story.end("u1", "failed", run=run)
        story.start("u1", run=4)
        self.assert_broken(story, "failed too often")

    def test_unknown_and_refused_jobs(self):
        """Guards against starts that nobody asked for."""
        story = Story(step())
        story.job.refused_only, story.job.accepted_at = True, 0.0
        story.start("u1")
        self.assert_broken(story, "refused")
        story.seen.job_by_id.clear()
        self.assert_broken(story, "nobody")

    def test_start_after_a_cancel(self):
        """Guards against cancelled work that begins."""
        story = Story(step())
        story.job.cancel_sent_at = story.job.cancelled_at = story.now
        story.now += 8.0
        story.start("u1")
        self.assert_broken(story, "cancelled")

    def test_capacity_and_limit_per_upstream(self):
        """Guards against full upstreams that get more."""
        story = Story(step(3, accelerators=4))
        for task in ("0.0", "0.1", "0.2"):
            story.start("u1", task)
        self.assert_broken(story, "12 accelerators")
        story = Story(step(2, per_upstream=1))
        story.start("u1", "0.0")
        story.start("u1", "0.1")
        self.assert_broken(story, "share the upstream")

    def test_start_on_a_leaving_upstream_or_zone(self):
        """Guards against work for what is out of service."""
        story = Story(step())
        story.tell("u1", "reported", state="draining")
        story.now += 7.0
        story.start("u1")
        self.assert_broken(story, "leaving")
        story = Story(step())
        story.seen.zones_out.append((story.now, story.now + 60.0, "z1"))
        story.now += 10.0
        story.start("u1")
        self.assert_broken(story, "zone")

    def test_states_that_are_not_true(self):
        """Guards against answers that callers cannot trust."""
        for state, text in (
            ("completed", "completed without"),
            ("cancelled", "shown as cancelled"),
            ("failed", "without cause"),
        ):
            story = Story(step())
            story.job.states.append((9.0, state))
            self.assert_broken(story, text)

    def test_lost_job(self):
        """Guards against an accepted job that is unknown later."""
        story = Story(step())
        story.job.missing.append(9.0)
        self.assert_broken(story, "lost")

    def test_old_configuration(self):
        """Guards against a read that goes back."""
        story = Story(step())
        story.seen.acknowledged += [(1.0, 1), (2.0, 4)]
        story.seen.reads += [(3.0, 1), (5.0, 4)]
        self.assertEqual([], story.broken())
        story.seen.reads.append((5.0, 1))
        self.assert_broken(story, "version 1")

    def test_work_that_never_ends(self):
        """Guards against a job that is forgotten."""
        story = Story(step())
        story.seen.unfinished.append(JOB)
        self.assert_broken(story, "has not ended")


if __name__ == "__main__":
    unittest.main()
