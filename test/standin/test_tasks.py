"""Tests of persimmonyard.standin.tasks."""

import base64
import unittest

from persimmonyard.model import ResultCode
from persimmonyard.standin.tasks import TaskTable

PERMIT_S = 2.0
LEASE_S = 15.0


class TaskTableTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.table = TaskTable("a", 2, clock=lambda: self.now)

    def call(self, call, fence=1, attempt="r.1", run_s=10.0, **fields):
        """Return the reply to a call for member 0 of an attempt."""
        payload = base64.b64encode(b'{"run_s": %f}' % run_s).decode()
        body = {
            "attempt": attempt, "member": 0, "fence": fence, "incarnation": "a",
            "permit_s": PERMIT_S, "lease_s": LEASE_S, "payload": payload,
        }  # fmt: skip
        return self.table.handle(call, body | fields)

    def start(self):
        """Prepare and start a task that runs for 10 s."""
        self.call("prepare")
        return self.call("start")

    def state(self):
        """Return the state of the task and whether it ever began."""
        task = {"attempt": "r.1", "member": 0, "fence": 10}
        [status] = self.table.statuses({"tasks": [task]})["tasks"]
        return status["state"], status["began"]

    def test_start_is_accepted_once(self):
        """Guards against a task that runs twice.

        Repeated ``prepare`` and ``start`` calls come while it runs, and with
        a newer fence after its answer was acknowledged.
        """
        self.start()
        self.call("start")
        self.now += 11.0
        self.assertEqual(self.state(), ("finished", True))
        self.call("acknowledge", fence=10)
        self.call("prepare", fence=11)
        self.call("start", fence=11)
        self.assertEqual(len(self.table.starts), 1)
        self.assertEqual(self.table.unacknowledged_answers(), 0)

    def test_start_needs_a_valid_permit(self):
        """Guards against a start after the permit has expired.

        A repeated ``prepare`` with the same fence must not extend the permit.
        """
        self.call("prepare")
        self.now += 1.5
        self.call("prepare")
        self.now += 1.0
        self.assertIn("name", self.call("start"))
        self.call("prepare", fence=2)
        self.assertEqual(self.call("start", fence=2)["state"], "running")

    def test_task_stopped_before_its_start_never_begins(self):
        """Guards against a task that begins after it was stopped.

        The reply to the stop says that the task never began, so a later
        ``prepare`` and ``start`` with a newer fence must be refused.
        """
        for prepared_first in (True, False):
            table = self.table = TaskTable("a", 2, clock=lambda: self.now)
            if prepared_first:
                self.call("prepare")
            self.assertFalse(self.call("stop")["began"])
            self.call("prepare", fence=2)
            self.assertIn("name", self.call("start", fence=2))
            self.assertEqual(table.starts, [])

    def test_older_fence_and_other_incarnation_are_refused(self):
        """Guards against calls of a replaced entry that still take effect.

        Such calls carry an older fence, or another incarnation of the
        upstream.
        """
        self.start()
        self.call("prepare", fence=2)
        reply = self.call("stop", fence=1)
        self.assertEqual(reply["code"], ResultCode.STALE_FENCE)
        reply = self.call("stop", fence=3, incarnation="b")
        self.assertEqual(reply["code"], ResultCode.UNKNOWN_ATTEMPT)
        self.assertEqual(self.state(), ("running", True))

    def test_calls_for_another_incarnation_change_nothing(self):
        """Guards against a call of any kind that acts on the next incarnation.

        A running task keeps its lease and its rate, an answer is kept, and no
        fence is noted.
        """
        self.call("prepare", attempt="done.1")
        self.call("start", attempt="done.1", run_s=1.0)
        self.now += 2.0
        self.start()
        calls = (
            "prepare", "start", "checkpoint", "throttle", "stop", "result",
            "acknowledge",
        )  # fmt: skip
        for call in calls:
            for attempt in ("r.1", "done.1", "new.1"):
                reply = self.call(
                    call, fence=9, attempt=attempt, rate=0.1, incarnation="b"
                )
                self.assertEqual(reply["code"], ResultCode.UNKNOWN_ATTEMPT)
        self.now += LEASE_S - 8.0
        task = {"attempt": "r.1", "member": 0, "fence": 9}
        body = {"incarnation": "b", "lease_s": 100.0, "tasks": [task]}
        self.assertEqual(self.table.renew(body)["code"], ResultCode.UNKNOWN_ATTEMPT)
        self.assertAlmostEqual(self.table.seconds_to_next_end(), 3.0)
        self.assertEqual(self.call("result", attempt="done.1")["attempt"], "done.1")
        self.assertEqual(self.call("prepare", attempt="new.1")["state"], "prepared")
        self.assertEqual(self.call("stop")["state"], "stopped")
        self.assertEqual(len(self.table.starts), 2)

    def test_renewal_for_another_incarnation_extends_no_lease(self):
        """Guards against a task that runs on although no entry renews it."""
        self.call("prepare")
        self.call("start", run_s=100.0)
        self.now += LEASE_S - 1
        task = {"attempt": "r.1", "member": 0, "fence": 1}
        self.table.renew({"incarnation": "b", "lease_s": LEASE_S, "tasks": [task]})
        self.now += 2
        self.assertEqual(self.state(), ("stopped", True))

    def test_task_without_renewals_ends_with_its_lease(self):
        """Guards against a task that runs on after its lease has expired.

        It also must not make a checkpoint after that.
        """
        self.call("prepare")
        self.call("start", run_s=100.0)
        self.now += LEASE_S - 1
        task = {"attempt": "r.1", "member": 0, "fence": 1}
        body = {"incarnation": "a", "lease_s": LEASE_S, "tasks": [task]}
        self.table.renew(body)
        self.now += LEASE_S - 1
        self.assertEqual(self.state(), ("running", True))
        self.now += 2
        self.assertEqual(self.state(), ("stopped", True))
        self.assertEqual(self.call("checkpoint", fence=10)["checkpoint"], "")

    def test_checkpoint_and_throttle_change_what_is_left_to_run(self):
        """Guards against wrong run times of throttled and resumed tasks.

        A resumed task runs only what its checkpoint does not cover.
        """
        self.start()
        self.now += 2.0
        self.call("throttle", rate=0.5)
        self.now += 4.0
        checkpoint = self.call("checkpoint")["checkpoint"]
        self.call("prepare", attempt="r.2", checkpoint=checkpoint)
        self.call("start", attempt="r.2")
        self.assertTrue(self.table.starts[-1].resumed)
        self.assertAlmostEqual(self.table.seconds_to_next_end(), 6.0)

    def test_slots_limit_the_prepared_tasks(self):
        """Guards against more prepared tasks than slots.

        An expired permit must free its slot again.
        """
        for attempt in ("x.1", "y.1"):
            self.call("prepare", attempt=attempt)
        reply = self.call("prepare")
        self.assertEqual(reply["code"], ResultCode.NO_FREE_SLOT)
        self.now += PERMIT_S + 1
        self.assertEqual(self.call("prepare")["state"], "prepared")
