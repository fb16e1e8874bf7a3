"""Tests of the speeds that a leader stores for the next one."""

import asyncio
import unittest

from structlog.testing import capture_logs

from persimmonyard.daemon.jobs.inspection import describe_term
from persimmonyard.daemon.jobs.speed_keeper import summarize_speeds
from persimmonyard.jobs import NoteSpeeds
from test.daemon.jobs.fakes import FakeUpstreamClient, InMemoryLeader, wait_until

FACTORS = (0.6, 1.0, 1.6)
NAMES = [f"u{number}" for number in range(12)]


class SpeedKeeperTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = FakeUpstreamClient()
        for name in NAMES:
            self.upstreams.add(name)
        self.leader = self.begin()

    def begin(self, store=None, fence=1):
        leader = InMemoryLeader(self.upstreams, store, fence)
        leader.term.start()
        self.addCleanup(leader.term.close)
        return leader

    async def learn(self, leader, names=NAMES, standstill=()):
        for name in names:
            leader.report(name)
        reports = leader.store.report_by_upstream
        await wait_until(lambda: len(reports) == len(names))
        at_s = leader.term.now()
        for group in range(6):
            for number, name in enumerate(names):
                rate = FACTORS[number % 3] * (group + 4)
                leader.term.speeds.observe(group, name, rate, at_s)
        for group in range(6):
            for name in standstill:
                for _ in range(3):
                    leader.term.speeds.observe(group, name, 0.05, at_s + 1)

    async def test_failover_keeps_the_speeds(self):
        """Guards against a new leader to whom all upstreams seem equal."""
        await self.learn(self.leader)
        await self.leader.term.speed_keeper.note_changes()
        self.leader.term.close()
        following = self.begin(self.leader.store, fence=2)
        for name, expected in zip(NAMES, FACTORS * 4, strict=True):
            estimate = following.term.speeds.speed(name)
            self.assertAlmostEqual(expected, estimate.factor, delta=0.1 * expected)
            self.assertGreater(estimate.weight, 0.0)
        self.assertEqual(1.0, following.term.speeds.speed("other").factor)

    async def test_new_incarnation_is_unknown(self):
        """Guards against a speed of other hardware at the same address."""
        await self.learn(self.leader)
        await self.leader.term.speed_keeper.note_changes()
        self.leader.report("u0", incarnation=2)
        self.assertEqual((1.0, 0.0), self.leader.term.speeds.speed("u0"))
        stored = self.leader.store.report_by_upstream
        await wait_until(lambda: stored["u0"].incarnation == 2)
        self.assertIsNone(self.leader.store.noted_speeds.find("u0"))
        following = self.begin(self.leader.store, fence=2)
        self.assertEqual((1.0, 0.0), following.term.speeds.speed("u0"))

    async def test_restart_while_speeds_are_committed(self):
        """Guards against a speed that is stored for the next incarnation."""
        await self.learn(self.leader)
        self.leader.commit_s = 0.02
        noting = asyncio.create_task(self.leader.term.speed_keeper.note_changes())
        await wait_until(lambda: self.leader.pending)
        self.leader.report("u0", incarnation=2)
        await noting
        stored = self.leader.store.report_by_upstream
        await wait_until(lambda: stored["u0"].incarnation == 2)
        self.assertIsNone(self.leader.store.noted_speeds.find("u0"))
        self.assertIsNotNone(self.leader.store.noted_speeds.find("u1"))

    async def test_only_changes_are_committed_and_logged(self):
        """Guards against commands and log lines that repeat what is known."""
        await self.learn(self.leader)
        with capture_logs() as logs:
            for _ in range(3):
                await self.leader.term.speed_keeper.note_changes()
        commands = [
            command
            for command in self.leader.proposed
            if isinstance(command, NoteSpeeds)
        ]
        self.assertEqual([12], [len(command.speeds) for command in commands])
        lines = [line for line in logs if line["event"] == "upstream speeds changed"]
        self.assertEqual([8], [line["changed"] for line in lines])

    async def test_standstill_is_not_stored(self):
        """Guards against an upstream that no leader uses again."""
        await self.learn(self.leader, standstill=["u3"])
        self.assertLess(self.leader.term.speeds.speed("u3").factor, 0.1)
        await self.leader.term.speed_keeper.note_changes()
        noted = self.leader.store.noted_speeds.find("u3")
        self.assertGreater(noted.factor_thousandths, 400)

    async def test_operators_see_the_speeds(self):
        """Guards against an upstream that is slow for no visible reason."""
        await self.learn(self.leader)
        await self.leader.term.speed_keeper.note_changes()
        summary = summarize_speeds(self.leader.term)
        self.assertEqual(12, summary.known)
        self.assertEqual(4, summary.count_by_bound["0.7"])
        self.assertEqual(8, summary.count_by_bound["1.1"])
        self.assertEqual(12, summary.count_by_bound["+Inf"])
        self.assertEqual(0, summarize_speeds(None).known)
        shown = describe_term(self.leader.term)["upstreams"]["u0"]
        self.assertAlmostEqual(0.6, shown["speed"], delta=0.05)
        self.leader.term.forget_upstream("u0")
        self.assertEqual((1.0, 0.0), self.leader.term.speeds.speed("u0"))


if __name__ == "__main__":
    unittest.main()
