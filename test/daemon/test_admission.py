"""Tests of the command queue and the circuit breaker of an entry."""

import asyncio
import random
import unittest

from persimmonyard.daemon.entry.circuit_breaker import CircuitBreaker
from persimmonyard.daemon.entry.command_queue import CommandQueue, QueuedCommand
from persimmonyard.model import PersimmonyardError, ResultCode

DEADLINE_S = 20.0


class CommandQueueTests(unittest.IsolatedAsyncioTestCase):
    def make_command(self, account, size=1, deadline=1e9):
        future = asyncio.get_running_loop().create_future()
        return QueuedCommand(account, None, size, deadline, future)

    async def test_accounts_take_turns(self):
        """Guards against a burst of one account that delays other accounts."""
        queue = CommandQueue(100)
        for _ in range(50):
            queue.put(self.make_command("burst"))
        queue.put(self.make_command("small"))
        taken = queue.take_batch(4, 1_000, 0.0)
        accounts = [command.account for command in taken]
        self.assertEqual(accounts, ["burst", "small", "burst", "burst"])

    async def test_full_queue_makes_room_for_smaller_accounts(self):
        """Guards against a full queue that serves only one account.

        When three accounts submit more than the queue holds, in random order,
        each has the same number of commands in the queue in the end.
        """
        queue = CommandQueue(90)
        arrivals = ["a"] * 200 + ["b"] * 200 + ["c"] * 200
        random.Random(7).shuffle(arrivals)
        refused = 0
        for account in arrivals:
            command = self.make_command(account)
            command.future.add_done_callback(lambda future: future.exception())
            try:
                queue.put(command)
            except PersimmonyardError as error:
                self.assertEqual(error.code, ResultCode.OVERLOADED)
                refused += 1
        taken = queue.take_batch(1_000, 10_000, 0.0)
        accounts = [command.account for command in taken]
        for account in "abc":
            self.assertEqual(accounts.count(account), 30)
        self.assertGreater(refused, 0)

    async def test_commands_of_the_entry_are_never_refused(self):
        """Guards against refused reports about work that is recorded.

        Commands of the entry itself are accepted by a full queue and are
        returned first.
        """
        queue = CommandQueue(1)
        queue.put(self.make_command("a"))
        queue.put(self.make_command(""))
        taken = queue.take_batch(10, 100, 0.0)
        self.assertEqual([command.account for command in taken], ["", "a"])

    async def test_sent_command_is_not_evicted(self):
        """Guards against refusing a command that may be recorded already.

        A command that was part of a failed call is not evicted for another
        account's command.
        """
        queue = CommandQueue(2)
        queue.put(self.make_command("a"))
        queue.put(self.make_command("a"))
        sent_commands = queue.take_batch(2, 100, 0.0)
        queue.requeue(sent_commands)
        with self.assertRaises(PersimmonyardError):
            queue.put(self.make_command("b"))
        self.assertFalse(any(command.future.done() for command in sent_commands))

    async def test_expired_and_abandoned_commands_are_dropped(self):
        """Guards against commands sent for callers that no longer wait."""
        queue = CommandQueue(10)
        queue.put(self.make_command("a", deadline=5.0))
        cancelled = self.make_command("a")
        cancelled.future.cancel()
        queue.put(cancelled)
        queue.put(self.make_command("a"))
        self.assertEqual(len(queue.take_batch(10, 100, 6.0)), 1)
        self.assertEqual(len(queue), 0)

    async def test_batches_are_bounded_in_bytes(self):
        """Guards against calls that exceed the message size of gRPC.

        A single command is returned even if it exceeds the bound.
        """
        queue = CommandQueue(10)
        for _ in range(4):
            queue.put(self.make_command("a", size=60))
        self.assertEqual(len(queue.take_batch(10, 130, 0.0)), 2)
        self.assertEqual(len(queue.take_batch(10, 10, 0.0)), 1)
        self.assertEqual(len(queue), 1)


class CircuitBreakerTests(unittest.IsolatedAsyncioTestCase):
    async def test_one_call_probes_while_calls_fail(self):
        """Guards against many calls at once to a leader that does not answer.

        After a failure, one call at a time is sent until one succeeds.
        """
        breaker = CircuitBreaker()
        breaker.record_failure()
        calls_in_progress = 0
        max_calls_in_progress = 0

        async def call():
            nonlocal calls_in_progress, max_calls_in_progress
            async with breaker.call_slot():
                calls_in_progress += 1
                max_calls_in_progress = max(max_calls_in_progress, calls_in_progress)
                await asyncio.sleep(0.001)
                calls_in_progress -= 1
                if not breaker.healthy():
                    breaker.record_failure()

        calls = [asyncio.create_task(call()) for _ in range(20)]
        await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        self.assertEqual(max_calls_in_progress, 1)
        breaker.record_success()
        await asyncio.wait_for(asyncio.gather(*calls), DEADLINE_S)
