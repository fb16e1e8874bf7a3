"""Tests of the bounds on what an entry sends to the control leader."""

import asyncio
import random
import unittest

from persimmonyard.daemon.entry.circuit_breaker import CircuitBreaker
from persimmonyard.daemon.entry.command_queue import CommandQueue, QueuedCommand
from persimmonyard.model import PersimmonyardError, ResultCode

DEADLINE_S = 20.0


class CommandQueueTests(unittest.IsolatedAsyncioTestCase):
    def item(self, account, size=1, deadline=1e9):
        future = asyncio.get_running_loop().create_future()
        return QueuedCommand(account, None, size, deadline, future)

    async def test_accounts_take_turns(self):
        """A burst of one account does not delay another's command."""
        queue = CommandQueue(100)
        for _ in range(50):
            queue.put(self.item("burst"))
        queue.put(self.item("small"))
        taken = queue.take_batch(4, 1_000, 0.0)
        accounts = [item.account for item in taken]
        self.assertEqual(accounts, ["burst", "small", "burst", "burst"])

    async def test_full_queue_makes_room_for_smaller_accounts(self):
        """When all burst at once, each account gets its share."""
        queue = CommandQueue(90)
        order = ["a"] * 200 + ["b"] * 200 + ["c"] * 200
        random.Random(7).shuffle(order)
        refused = 0
        for account in order:
            item = self.item(account)
            item.future.add_done_callback(lambda future: future.exception())
            try:
                queue.put(item)
            except PersimmonyardError as error:
                self.assertEqual(error.code, ResultCode.OVERLOADED)
                refused += 1
        taken = queue.take_batch(1_000, 10_000, 0.0)
        accounts = [item.account for item in taken]
        for account in "abc":
            self.assertEqual(accounts.count(account), 30)
        self.assertGreater(refused, 0)

    async def test_own_commands_are_never_refused(self):
        """Reports about recorded work pass a full queue, and go first."""
        queue = CommandQueue(1)
        queue.put(self.item("a"))
        queue.put(self.item(""))
        taken = queue.take_batch(10, 100, 0.0)
        self.assertEqual([item.account for item in taken], ["", "a"])

    async def test_command_that_was_sent_is_not_pushed_out(self):
        """Room is not made by refusing what may be recorded already."""
        queue = CommandQueue(2)
        queue.put(self.item("a"))
        queue.put(self.item("a"))
        sent = queue.take_batch(2, 100, 0.0)
        queue.requeue(sent)
        with self.assertRaises(PersimmonyardError):
            queue.put(self.item("b"))
        self.assertFalse(any(item.future.done() for item in sent))

    async def test_expired_and_abandoned_commands_are_dropped(self):
        """Nothing is sent for a caller that no longer waits."""
        queue = CommandQueue(10)
        queue.put(self.item("a", deadline=5.0))
        gone = self.item("a")
        gone.future.cancel()
        queue.put(gone)
        queue.put(self.item("a"))
        self.assertEqual(len(queue.take_batch(10, 100, 6.0)), 1)
        self.assertEqual(len(queue), 0)

    async def test_calls_are_bounded_in_bytes(self):
        """Large commands do not add up beyond what one call can carry."""
        queue = CommandQueue(10)
        for _ in range(4):
            queue.put(self.item("a", size=60))
        self.assertEqual(len(queue.take_batch(10, 130, 0.0)), 2)
        self.assertEqual(len(queue.take_batch(10, 10, 0.0)), 1)
        self.assertEqual(len(queue), 1)


class FailureGateTests(unittest.IsolatedAsyncioTestCase):
    async def test_one_call_probes_while_calls_fail(self):
        """After a failure, calls wait for each other until one succeeds."""
        gate = CircuitBreaker()
        gate.record_failure()
        inside = 0
        most = 0

        async def call():
            nonlocal inside, most
            async with gate.call_slot():
                inside += 1
                most = max(most, inside)
                await asyncio.sleep(0.001)
                inside -= 1
                if not gate.healthy():
                    gate.record_failure()

        calls = [asyncio.create_task(call()) for _ in range(20)]
        await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        self.assertEqual(most, 1)
        gate.record_success()
        await asyncio.wait_for(asyncio.gather(*calls), DEADLINE_S)
