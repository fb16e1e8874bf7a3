"""Tests of the faults that the soak injects into a process."""

import signal
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from persimmonyard.replication import FileStorage, WriteRefusedError
from soak import process


class DiskFaultTests(unittest.TestCase):
    def test_refused_write_looks_like_that_of_a_full_disk(self):
        """Guards against an injected refusal that ends the process.

        A plain ``OSError`` counts as a failed sync, after which a process
        exits.  On a full disk ``FileStorage`` raises ``WriteRefusedError``,
        also for each attempt to continue until the disk accepts writes.
        """
        faulty_names = ("persist", "reload", "save_snapshot", "store_chunk")
        for name in faulty_names:
            # The patch by ``main`` is undone at the end of the test.
            patch = mock.patch.object(FileStorage, name, getattr(FileStorage, name))
            patch.start()
            self.addCleanup(patch.stop)
        with (
            mock.patch.object(process, "run"),
            mock.patch.object(signal, "signal"),
            mock.patch.object(time, "time", time.time),
        ):
            process.main()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        storage = FileStorage(Path(folder.name))
        with mock.patch.object(process, "_refuse_deadline", float("inf")):
            for name in faulty_names:
                with self.subTest(name=name), self.assertRaises(WriteRefusedError):
                    getattr(storage, name)([])
        storage.load("a")
        self.addCleanup(storage.close)
        storage.persist([])


if __name__ == "__main__":
    unittest.main()
