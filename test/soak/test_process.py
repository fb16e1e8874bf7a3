"""Tests of the faults that the soak injects into a process."""

import asyncio
import os
import signal
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import grpc
from grpc.aio import _utils as grpc_utils

from persimmonyard.daemon.jobs.leader_client import LeaderClient
from persimmonyard.daemon.jobs.rpc import CallReply, Outcome, call_handler
from persimmonyard.replication import FileStorage, WriteRefusedError
from soak import process

DEADLINE_S = 5.0
FAULTY_METHODS = ("persist", "reload", "save_snapshot", "store_chunk")


class ProcessFaultTests(unittest.TestCase):
    def run_process(self, environment):
        """Run the process without work; its patches end with the test."""
        for name in FAULTY_METHODS:
            patch = mock.patch.object(FileStorage, name, getattr(FileStorage, name))
            patch.start()
            self.addCleanup(patch.stop)
        for module in (time, grpc_utils):
            patch = mock.patch.object(module, "time", module.time)
            patch.start()
            self.addCleanup(patch.stop)
        with (
            mock.patch.object(process, "run"),
            mock.patch.object(signal, "signal"),
            mock.patch.dict(os.environ, environment),
        ):
            process.main()

    def test_clock_that_is_behind_ends_no_call_at_once(self):
        """Guards against an injected clock that gRPC measures time-outs with.

        A process whose time of day was behind by more than the 0.3 s of a
        probe never found the leader.
        """
        true_time = time.time
        self.run_process({process.CLOCK_OFFSET_VARIABLE: "-0.5"})
        self.assertLess(time.time(), true_time() - 0.4)
        self.assertTrue(asyncio.run(self.probe()))

    async def probe(self):
        """Return whether a client finds a leader in this process."""

        async def answer(call, context):
            return CallReply(Outcome.OK)

        server = grpc.aio.server()
        server.add_generic_rpc_handlers((call_handler(answer),))
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        client = LeaderClient([f"127.0.0.1:{port}"])
        try:
            return await client.probe(DEADLINE_S)
        finally:
            await client.close()
            await server.stop(0)

    def test_refused_write_looks_like_that_of_a_full_disk(self):
        """Guards against an injected refusal that ends the process.

        A plain ``OSError`` counts as a failed sync, after which a process
        exits.  On a full disk ``FileStorage`` raises ``WriteRefusedError``,
        also for each attempt to continue until the disk accepts writes.
        """
        self.run_process({})
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        storage = FileStorage(Path(folder.name))
        with mock.patch.object(process, "_refuse_deadline", float("inf")):
            for name in FAULTY_METHODS:
                with self.subTest(name=name), self.assertRaises(WriteRefusedError):
                    getattr(storage, name)([])
        storage.load("a")
        self.addCleanup(storage.close)
        storage.persist([])


if __name__ == "__main__":
    unittest.main()
