"""Tests of persimmonyard.standin.relay."""

import socket
import threading
import unittest

from persimmonyard.standin.relay import Relay


class RelayTests(unittest.TestCase):
    def setUp(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.relay = Relay(self.server.getsockname()[1])
        self.addCleanup(self.relay.close)
        self.client = socket.create_connection(("127.0.0.1", self.relay.port))
        self.addCleanup(self.client.close)
        self.target, _ = self.server.accept()
        self.addCleanup(self.target.close)

    def test_bytes_are_forwarded_and_counted(self):
        """Guards against wrong counts of forwarded bytes.

        The benchmarks take their traffic figures from these counts.
        """
        self.client.sendall(b"12345")
        self.assertEqual(self.target.recv(10), b"12345")
        self.assertEqual(self.relay.bytes_up, 5)

    def test_blocked_direction_stays_silent_until_restored(self):
        """Guards against a block that closes connections or loses data.

        A network partition must look like a silent connection.
        """
        self.relay.block(up=True, down=False)
        self.client.sendall(b"late")
        self.target.sendall(b"early")
        self.assertEqual(self.client.recv(10), b"early")
        self.target.settimeout(0.2)
        self.assertRaises(TimeoutError, self.target.recv, 10)
        timer = threading.Timer(0.1, self.relay.restore)
        timer.start()
        self.target.settimeout(10)
        self.assertEqual(self.target.recv(10), b"late")
        timer.join()
