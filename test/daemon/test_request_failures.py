"""Tests of requests whose entry or upstream fails, with real processes."""

import base64
import contextlib
import json
import signal
import tempfile
import time
import unittest
from pathlib import Path

import httpx

from persimmonyard.daemon.tokens import hash_token
from persimmonyard.model import ResultCode
from persimmonyard.standin.deployment import Deployment

CLIENT_TOKEN = "clinic-token"
DEADLINE_S = 90.0
# Longer than the task lease of 15 s, the longest of all leases.
FROZEN_S = 17.0


class RequestFailureTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.starts_file = Path(folder.name) / "starts"
        cls.deployment = Deployment(Path(folder.name), controls=1, entries=3)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.start_upstream("up-1")
        cls.start_upstream("up-2")
        account = {"name": "clinic", "token_hashes": [hash_token(CLIENT_TOKEN)]}
        changes = [{"work_class": {"name": "fit"}}, {"client_account": account}]
        reply = httpx.post(
            f"{cls.deployment.entry_url(1)}/v1/operator/configuration",
            json={"changes": changes, "wait_s": 20.0},
            headers={"Authorization": f"Bearer {cls.deployment.operator_token}"},
            timeout=30.0,
        ).json()
        assert reply["in_force"], reply

    @classmethod
    def start_upstream(cls, name):
        """Start an upstream that delays the first fetch of each answer."""
        faults = json.dumps({"answer_faults": ["late"], "late_s": 3.0})
        options = ("--faults", faults, "--starts-file", str(cls.starts_file))
        options += ("--drain-s", "20")
        cls.deployment.start_upstream(name, "karen-bench", "rack-1", *options)

    def submit(self, entry, key, run_s, idempotent=False):
        """Submit a request without waiting and return its identifier."""
        payload = json.dumps({"run_s": run_s, "key": key}).encode()
        body = {"class": "fit", "declared_run_s": 1.0, "idempotent": idempotent}
        body |= {"key": key, "payload": base64.b64encode(payload).decode()}
        reply = httpx.post(
            f"{self.deployment.entry_url(entry)}/v1/requests",
            json=body,
            headers={"Authorization": f"Bearer {CLIENT_TOKEN}"},
            timeout=30.0,
        ).json()
        return reply["request"]

    def wait_for(self, condition):
        """Return the first true value of a condition, within a deadline."""
        deadline = time.monotonic() + DEADLINE_S
        while time.monotonic() < deadline:
            with contextlib.suppress(httpx.HTTPError):
                value = condition()
                if value:
                    return value
            time.sleep(0.1)
        raise AssertionError("the condition did not become true in time")

    def starts(self, request):
        """Return the names of the upstreams that honoured a start."""
        names = []
        if not self.starts_file.exists():
            return names
        for line in self.starts_file.read_text().splitlines():
            start = json.loads(line)
            if start["attempt"].startswith(f"{request}."):
                names.append(start["upstream"])
        return names

    def holder(self):
        """Return the number of the entry that dispatches an attempt."""
        for number in range(1, self.deployment.entries + 1):
            reply = httpx.get(
                f"{self.deployment.entry_url(number)}/v1/dump",
                headers={"Authorization": f"Bearer {self.deployment.operator_token}"},
            )
            if reply.json()["attempts"]:
                return number
        return None

    def outcome(self, entry, request):
        """Return the reply about a request once it has ended."""

        def ended():
            reply = httpx.get(
                f"{self.deployment.entry_url(entry)}/v1/requests/{request}?wait_s=5",
                headers={"Authorization": f"Bearer {CLIENT_TOKEN}"},
                timeout=30.0,
            ).json()
            return reply if reply.get("ended") else None

        return self.wait_for(ended)

    def check_answer(self, outcome, key):
        """Check that a request finished with the answer to its payload."""
        self.assertNotIn("code", outcome)
        [answer] = outcome["answers"]
        self.assertIn(f'"{key}"'.encode(), base64.b64decode(answer["body"]))

    def another(self, entry):
        return entry % self.deployment.entries + 1

    def test_killed_entry_is_replaced_and_a_resend_joins(self):
        """The task goes on, and the same key finds it through any entry."""
        request = self.submit(1, "killed", 6.0)
        self.wait_for(lambda: self.starts(request))
        holder = self.wait_for(self.holder)
        self.deployment.kill_process(f"entry-{holder}")
        other = self.another(holder)
        try:
            self.assertEqual(self.submit(other, "killed", 6.0), request)
            outcome = self.outcome(other, request)
        finally:
            self.deployment.start_process(f"entry-{holder}")
            self.deployment.wait_ready(f"entry-{holder}")
        self.check_answer(outcome, "killed")
        self.assertEqual(len(self.starts(request)), 1)

    def test_planned_stops_interrupt_no_task(self):
        """An entry and an upstream that stop gracefully lose nothing."""
        request = self.submit(1, "planned", 6.0)
        [name] = self.wait_for(lambda: self.starts(request))
        holder = self.wait_for(self.holder)
        self.deployment.signal(name, signal.SIGTERM)
        try:
            self.assertEqual(self.deployment.stop_process(f"entry-{holder}"), 0)
            outcome = self.outcome(self.another(holder), request)
            self.assertEqual(self.deployment.stop_process(name), 0)
        finally:
            self.deployment.start_process(f"entry-{holder}")
            self.deployment.wait_ready(f"entry-{holder}")
            self.start_upstream(name)
        self.check_answer(outcome, "planned")
        self.assertEqual(len(self.starts(request)), 1)

    def test_frozen_entry_disturbs_nothing_when_it_goes_on(self):
        """Late calls of an entry that was replaced change nothing."""
        request = self.submit(1, "frozen", FROZEN_S + 4.0)
        self.wait_for(lambda: self.starts(request))
        holder = self.wait_for(self.holder)
        self.deployment.signal(f"entry-{holder}", signal.SIGSTOP)
        time.sleep(FROZEN_S)
        self.deployment.signal(f"entry-{holder}", signal.SIGCONT)
        outcomes = []
        for entry in range(1, self.deployment.entries + 1):
            outcomes.append(self.outcome(entry, request))
        for outcome in outcomes:
            self.check_answer(outcome, "frozen")
        self.assertEqual(len(self.starts(request)), 1)

    def test_killed_upstream_runs_non_idempotent_work_at_most_once(self):
        """Lost between finishing and answering, the outcome is unknown."""
        request = self.submit(1, "once", 0.1)
        [name] = self.wait_for(lambda: self.starts(request))
        time.sleep(0.5)
        self.deployment.kill_process(name)
        try:
            outcome = self.outcome(2, request)
        finally:
            self.start_upstream(name)
        self.assertEqual(outcome.get("code"), ResultCode.OUTCOME_UNKNOWN, outcome)
        self.assertFalse(outcome["not_run"])
        self.assertEqual(self.starts(request), [name])

    def test_killed_upstream_leads_to_a_run_elsewhere(self):
        """Idempotent work runs again, on another upstream."""
        request = self.submit(1, "again", 0.1, idempotent=True)
        [name] = self.wait_for(lambda: self.starts(request))
        time.sleep(0.5)
        self.deployment.kill_process(name)
        try:
            outcome = self.outcome(2, request)
        finally:
            self.start_upstream(name)
        self.check_answer(outcome, "again")
        starts = self.starts(request)
        self.assertEqual(len(starts), 2)
        self.assertNotEqual(starts[0], starts[1])
