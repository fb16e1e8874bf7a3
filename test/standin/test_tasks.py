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
        """Send one call about the only member of an attempt."""
        payload = base64.b64encode(b'{"run_s": %f}' % run_s).decode()
        body = {
            "attempt": attempt, "member": 0, "fence": fence, "incarnation": "a",
            "permit_s": PERMIT_S, "lease_s": LEASE_S, "payload": payload,
        }  # fmt: skip
        return self.table.handle(call, body | fields)

    def start(self):
        """Prepare and start a task that runs for ten seconds."""
        self.call("prepare")
        return self.call("start")

    def state(self):
        """Return the state and whether the task ever began."""
        task = {"attempt": "r.1", "member": 0, "fence": 10}
        [status] = self.table.statuses({"tasks": [task]})["tasks"]
        return status["state"], status["began"]

    def test_start_is_honoured_once(self):
        """Repeated calls never start a task again, whatever happened since."""
        self.start()
        self.call("start")
        self.now += 11.0
        self.assertEqual(self.state(), ("finished", True))
        self.call("acknowledge", fence=10)
        self.call("prepare", fence=11)
        self.call("start", fence=11)
        self.assertEqual(len(self.table.starts), 1)
        self.assertEqual(self.table.kept_answers(), 0)

    def test_start_needs_a_valid_permit(self):
        """A repeated prepare under the same fence does not extend it."""
        self.call("prepare")
        self.now += 1.5
        self.call("prepare")
        self.now += 1.0
        self.assertIn("name", self.call("start"))
        self.call("prepare", fence=2)
        self.assertEqual(self.call("start", fence=2)["state"], "running")

    def test_stop_before_the_start_is_a_promise(self):
        """A task that was said to have never begun never begins."""
        for earlier in (True, False):
            table = self.table = TaskTable("a", 2, clock=lambda: self.now)
            if earlier:
                self.call("prepare")
            self.assertFalse(self.call("stop")["began"])
            self.call("prepare", fence=2)
            self.assertIn("name", self.call("start", fence=2))
            self.assertEqual(table.starts, [])

    def test_older_fence_and_other_incarnation_are_refused(self):
        """Calls of a replaced entry or to an earlier start have no effect."""
        self.start()
        self.call("prepare", fence=2)
        reply = self.call("stop", fence=1)
        self.assertEqual(reply["code"], ResultCode.STALE_FENCE)
        reply = self.call("stop", fence=3, incarnation="b")
        self.assertEqual(reply["code"], ResultCode.UNKNOWN_ATTEMPT)
        self.assertEqual(self.state(), ("running", True))

    def test_task_without_renewals_ends_with_its_lease(self):
        """A task that nobody renews does not run for ever."""
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
        """A resumed task runs only what its checkpoint does not cover."""
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
        """A full upstream refuses, and a lapsed permit frees the slot."""
        for attempt in ("x.1", "y.1"):
            self.call("prepare", attempt=attempt)
        reply = self.call("prepare")
        self.assertEqual(reply["code"], ResultCode.NO_FREE_SLOT)
        self.now += PERMIT_S + 1
        self.assertEqual(self.call("prepare")["state"], "prepared")
