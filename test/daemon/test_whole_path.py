"""End-to-end tests with real processes, from callers to upstreams."""

import base64
import tempfile
import time
import unittest
from pathlib import Path

import httpx

from persimmonyard.daemon.tokens import hash_token
from persimmonyard.standin.deployment import Deployment

CLIENT_TOKEN = "clinic-token"


class WholePathTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = Deployment(Path(folder.name), controls=3, entries=2)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.deployment.start_upstream("up-1", "karen-bench", "rack-1")
        cls.deployment.start_upstream("up-2", "ngong-store", "rack-1")
        account = {"name": "clinic", "token_hashes": [hash_token(CLIENT_TOKEN)]}
        changes = [{"work_class": {"name": "fit"}}, {"client_account": account}]
        cls.apply_configuration({"changes": changes, "wait_s": 20.0})
        cls.wait_for_upstreams(2)

    @classmethod
    def wait_for_upstreams(cls, count):
        """Wait until at least ``count`` upstreams are registered.

        A gang that needs two upstreams is refused while only one is known.
        """
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            status = httpx.get(
                f"{cls.deployment.entry_url(1)}/v1/operator/status",
                headers={"Authorization": f"Bearer {cls.deployment.operator_token}"},
                timeout=30.0,
            ).json()
            if len(status.get("upstreams", ())) >= count:
                return
            time.sleep(0.1)
        raise TimeoutError(f"fewer than {count} upstreams are registered: {status}")

    @classmethod
    def apply_configuration(cls, body):
        """Apply configuration changes; fail unless they come into force."""
        reply = httpx.post(
            f"{cls.deployment.entry_url(1)}/v1/operator/configuration",
            json=body,
            headers={"Authorization": f"Bearer {cls.deployment.operator_token}"},
            timeout=30.0,
        ).json()
        assert reply["in_force"], reply

    def submit(self, entry, **fields):
        """Submit a request through one entry and return the reply's body."""
        body = {
            "class": "fit",
            "declared_run_s": 1.0,
            "idempotent": True,
            "payload": base64.b64encode(b"scan").decode(),
            "wait_s": 30.0,
        }
        return httpx.post(
            f"{self.deployment.entry_url(entry)}/v1/requests",
            json=body | fields,
            headers={"Authorization": f"Bearer {CLIENT_TOKEN}"},
            timeout=60.0,
        ).json()

    def test_gang_gets_the_answers_of_all_members(self):
        """Guards against lost or reordered answers of gang members."""
        reply = self.submit(1, key="gang", shape={"gang": 3, "accelerators": 4})
        bodies = [base64.b64decode(answer["body"]) for answer in reply["answers"]]
        self.assertEqual(bodies, [b"answer:%d:scan" % n for n in range(3)])

    def test_resend_through_another_entry_joins_the_first_request(self):
        """Guards against running a resend as a new request.

        The resend has the same key and goes through another entry.
        """
        first = self.submit(1, key="same")
        second = self.submit(2, key="same")
        self.assertEqual(first, second)

    def test_key_with_another_body_is_refused(self):
        """Guards against joining a request with another body.

        A key that was already used for another body gets code 400.
        """
        self.submit(1, key="reused")
        reply = self.submit(2, key="reused", payload="")
        self.assertEqual((reply["code"], reply["not_run"]), (400, True))
