"""Tests of what the leader learns from listings about interference."""

import random
import unittest
from types import SimpleNamespace

from structlog.testing import capture_logs

from persimmonyard.daemon.jobs.inspection import describe_term
from persimmonyard.daemon.jobs.interference import InterferenceMonitor
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.task_run import RunState, TaskRun
from persimmonyard.daemon.jobs.upstream_client import EndedRun, RunListing, RunningRun
from persimmonyard.daemon.logs import get_logger
from persimmonyard.jobs import JobStore, SubmitJob, TaskEnd, TaskKey, UnitKey
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until
from test.jobs.fixtures import job, report, step


class ListedUpstream:
    """An upstream whose runs slow each other down by the pair's factor."""

    def __init__(self, monitor, name, factors):
        self.monitor = monitor
        self.factors = factors
        self.session = SimpleNamespace(
            upstream=SimpleNamespace(report=report(name)), task_run_by_key={}
        )
        self.progress_by_key = {}
        self.ended = []
        self.speed = 1.0
        self.incarnation = 1
        self.count = 0

    def add(self, kind, rate=10.0, progress=0.001, **fields):
        self.count += 1
        key = (TaskKey("j", 0, 0, self.count), 1)
        task_run = TaskRun(
            key[0],
            1,
            UnitKey("j", 0, 0, self.count),
            step(image=kind, **fields),
            RunState.RUNNING,
            0.0,
        )
        self.session.task_run_by_key[key] = task_run
        self.progress_by_key[key] = [progress, rate]
        return key

    def end(self, key):
        del self.progress_by_key[key]
        self.ended.append(EndedRun(len(self.ended) + 1, *key, TaskEnd.DONE, ""))

    def run(self, seconds):
        """Let the runs progress in steps of 10 ms."""
        runs = self.session.task_run_by_key
        for _ in range(round(seconds * 100)):
            kinds = set()
            for key, (progress, _) in self.progress_by_key.items():
                if 0.0 < progress < 100.0:
                    kinds.add(runs[key].step.image)
            for key, state in self.progress_by_key.items():
                factor = self.speed if state[0] else 0.0
                for other in kinds:
                    if other == runs[key].step.image and len(runs) == 1:
                        continue
                    factor *= self.factors.get((runs[key].step.image, other), 1.0)
                state[0] = min(100.0, state[0] + state[1] * factor / 100)

    def list(self, now):
        running = []
        for key, (progress, _) in self.progress_by_key.items():
            running.append(RunningRun(*key, "", int(progress)))
        listing = RunListing(0, self.incarnation, tuple(running), tuple(self.ended))
        self.monitor.observe_listing(self.session, listing, now)
        for ended in self.ended:
            key = (ended.task_key, ended.run)
            self.session.task_run_by_key.pop(key, None)


class InterferenceMonitorTests(unittest.TestCase):
    def setUp(self):
        self.metrics = JobMetrics()
        self.monitor = InterferenceMonitor(
            JobStore(), self.metrics, get_logger("jobs").bind(term=1)
        )
        self.now = 100.0

    def known(self):
        self.now += 1.0
        self.monitor.review(self.now)
        return {(effect.slowed, effect.by) for effect in self.monitor.known_effects()}

    def upstreams(self, count, factors=None):
        return [
            ListedUpstream(self.monitor, f"u{number}", factors or {})
            for number in range(count)
        ]

    def poll(self, upstreams, seconds, interval_s=0.5):
        for _ in range(round(seconds / interval_s)):
            self.now += interval_s
            for upstream in upstreams:
                upstream.run(interval_s)
                upstream.list(self.now)

    def test_pair_is_learned_from_listings_and_forgotten(self):
        """Guards against pairs that are missed, or seen where there are none.

        Tasks of three kinds come and go at random on eight upstreams.
        """
        generator = random.Random(5)
        factors = {("a", "b"): 0.6, ("b", "a"): 0.6}
        upstreams = self.upstreams(8, factors)
        with capture_logs() as logs:
            for _ in range(100):
                for upstream in upstreams:
                    for key, (progress, _) in list(upstream.progress_by_key.items()):
                        if progress >= 100:
                            upstream.end(key)
                    if len(upstream.progress_by_key) < 5 and generator.random() < 0.3:
                        rate = generator.uniform(3.0, 12.0)
                        upstream.add(generator.choice("abc"), rate)
                self.poll(upstreams, 1.0)
            self.assertEqual({("a", "b"), ("b", "a")}, self.known())
            self.now += 300.0
            self.assertEqual(set(), self.known())
        events = [entry["event"] for entry in logs]
        self.assertEqual(["slowdown known"] * 2 + ["slowdown forgotten"] * 2, events)

    def change_neighbour(self, upstreams, change):
        """Change the neighbours of a run of kind a on each upstream."""
        for upstream in upstreams:
            upstream.add("a", 5.0)
        self.poll(upstreams, 4.0)
        for upstream in upstreams:
            change(upstream)
        self.poll(upstreams, 6.0)
        return self.known()

    def test_neighbour_that_arrives_slows_a_run(self):
        """Guards against a pair that takes more than six arrivals to learn."""
        factors = {("a", "b"): 0.5}
        known = self.change_neighbour(
            self.upstreams(6, factors), lambda upstream: upstream.add("b", 1.0)
        )
        self.assertEqual({("a", "b")}, known)
        text = self.metrics.text()[0].decode()
        self.assertIn('persimmonyard_slowdown_factor{by="b",slowed="a"}', text)
        self.monitor.close()
        self.assertNotIn('slowed="a"', self.metrics.text()[0].decode())

    def test_waiting_and_finished_members_do_not_count(self):
        """Guards against kinds blamed that use no capacity.

        Another kind that slows arrives with a member that waits, or that has
        finished.  It is the only neighbour then, so the pair is learned.
        """
        for progress in (0.0, 100.0):
            self.setUp()
            factors = {("a", "b"): 0.5}

            def arrive(upstream, progress=progress):
                upstream.add("b", 1.0)
                upstream.add("g", 5.0, progress, gang=True)

            known = self.change_neighbour(self.upstreams(6, factors), arrive)
            self.assertEqual({("a", "b")}, known)

    def test_resumed_member_counts_once_it_progresses(self):
        """Guards against a neighbour that only waits at its checkpoint."""

        def arrive(upstream):
            upstream.add("g", 0.0, 40.0, gang=True, checkpoints=True)
            upstream.speed = 0.5

        known = self.change_neighbour(self.upstreams(6), arrive)
        self.assertEqual(set(), known)

    def test_upstream_that_stands_still_teaches_nothing(self):
        """Guards against a failing upstream taken for interference.

        All runs stand still for 3 s soon after a neighbour has arrived.
        """
        upstreams = self.upstreams(6)
        for upstream in upstreams:
            upstream.add("a", 5.0)
        self.poll(upstreams, 4.0)
        for upstream in upstreams:
            upstream.add("b", 2.0)
        for speed, seconds in ((1.0, 1.0), (0.0, 3.0), (1.0, 5.0)):
            for upstream in upstreams:
                upstream.speed = speed
            self.poll(upstreams, seconds)
        self.assertEqual(set(), self.known())

    def test_short_interval_is_extended(self):
        """Guards against rates over a few whole percents."""
        factors = {("a", "b"): 0.5}
        upstreams = self.upstreams(6, factors)
        for upstream in upstreams:
            upstream.add("a", 5.0)
        self.poll(upstreams, 4.0)
        for upstream in upstreams:
            upstream.add("b", 1.0)
        self.poll(upstreams, 3.0)
        self.assertEqual(set(), self.known())
        self.poll(upstreams, 2.0)
        self.assertEqual({("a", "b")}, self.known())

    def test_kind_may_slow_itself(self):
        """Guards against a run that counts as its own neighbour."""
        factors = {("a", "a"): 0.5}
        upstreams = self.upstreams(6, factors)
        known = self.change_neighbour(upstreams, lambda upstream: upstream.add("a"))
        self.assertEqual({("a", "a")}, known)

    def test_run_between_two_listings_counts(self):
        """Guards against the blame for a neighbour that no listing shows.

        A task that disturbs begins between two listings and ends at the second
        one, and a kind that disturbs nobody arrives then.
        """
        upstreams = self.upstreams(6, {("a", "b"): 0.3})
        for upstream in upstreams:
            upstream.add("a", 7.0)
        self.poll(upstreams, 4.0, 2.0)
        for upstream in upstreams:
            upstream.run(0.4)
            key = upstream.add("b", 1.0)
            task_run = upstream.session.task_run_by_key[key]
            task_run.work_began_at = self.now + 0.4
            upstream.run(3.0)
            upstream.end(key)
            upstream.list(self.now + 3.4)
            upstream.add("c", 5.0)
        self.now += 3.4
        self.poll(upstreams, 3.0, 1.0)
        self.assertEqual({("a", "b")}, self.known())

    def test_long_silence_ends_the_intervals(self):
        """Guards against rates over a time of which little is known."""
        upstreams = self.upstreams(6)
        for upstream in upstreams:
            upstream.add("a", 5.0)
        self.poll(upstreams, 4.0)
        for upstream in upstreams:
            upstream.add("b", 1.0)
            upstream.run(2.0)
        self.now += 5.0
        self.poll(upstreams, 2.0)
        self.assertEqual(set(), self.known())

    def test_rates_of_two_incarnations_are_not_compared(self):
        """Guards against effects that are differences of two incarnations.

        The next one is slower and has a neighbour.  It lists a run of the
        earlier one, whose start it has executed.
        """
        for restarts, expected in ((False, {("a", "b")}), (True, set())):
            self.setUp()

            def arrive(upstream, restarts=restarts):
                upstream.incarnation += restarts
                upstream.speed = 0.5
                upstream.add("b", 2.0)

            known = self.change_neighbour(self.upstreams(6), arrive)
            self.assertEqual(expected, known)

    def test_watched_upstreams_are_bounded(self):
        """Guards against memory that grows with the upstreams."""
        upstreams = self.upstreams(1_100)
        for upstream in upstreams:
            upstream.add("a", 5.0)
            upstream.list(self.now)
        self.assertEqual(1_000, len(self.monitor._watch_by_id))
        self.monitor.forget_upstream("u0")
        upstreams[-1].list(self.now)
        self.assertIn("u1099", self.monitor._watch_by_id)

    def test_odd_names_keep_the_metrics_readable(self):
        """Guards against metrics broken by a name that a caller chose."""
        upstreams = self.upstreams(6, {("a", 'b"\n'): 0.5})
        self.change_neighbour(upstreams, lambda upstream: upstream.add('b"\n', 1.0))
        text = self.metrics.text()[0].decode()
        self.assertIn('persimmonyard_slowdown_factor{by="b__",slowed="a"}', text)


class LeaderInterferenceTests(unittest.IsolatedAsyncioTestCase):
    async def test_leader_keeps_tasks_apart_that_its_listings_showed(self):
        """Guards against a pair that is learned and changes nothing."""
        upstreams = FakeUpstreamClient()
        leader = InMemoryLeader(upstreams)
        leader.term.start()
        self.addCleanup(leader.term.close)
        monitor = leader.term.interference
        for name in ("u1", "u2"):
            upstreams.add(name)
            leader.report(name)
        for number in range(6):
            upstream_id = f"x{number}"
            now = leader.term.now()
            monitor._model.observe("a", upstream_id, {}, {"b": 1}, 0.6, now)
        await wait_until(monitor.known_effects)
        (pair,) = describe_term(leader.term)["slowdowns"]
        self.assertEqual(("a", "b", 0.6), (pair["slowed"], pair["by"], pair["factor"]))
        for kind in "ab":
            work = job(step(image=kind), job_id=kind * 16)
            await leader.term.commit(SubmitJob(work))
            await wait_until(
                lambda work=work: leader.store.job_by_id[work.job_id].begun
            )
        self.assertEqual({"u1", "u2"}, set(leader.store.seats_by_upstream))
        await wait_until(lambda: set(monitor._watch_by_id) == {"u1", "u2"})


if __name__ == "__main__":
    unittest.main()
