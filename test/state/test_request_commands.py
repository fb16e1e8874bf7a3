"""Tests of persimmonyard.state.request_commands."""

import unittest

from persimmonyard.model import ResultCode
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import (
    AcknowledgeAnswer,
    ApplyConfiguration,
    CancelRequest,
    ExpireRecords,
    LogRecord,
)
from persimmonyard.state.records import (
    AttemptOutcome,
    AttemptState,
    MemberAnswer,
    RequestState,
)
from test.state.fixtures import MachineFixture

ANSWER = (MemberAnswer(b"a", "d"),)
CANCEL = CancelRequest("r", "clinic")


class RequestCommandTests(unittest.TestCase):
    def setUp(self):
        self.fixture = MachineFixture()

    def test_second_cancellation_changes_nothing(self):
        """A repeated cancellation must not change the state or the outcome."""
        record = self.fixture.submit()
        self.fixture.run(CANCEL)
        before = self.fixture.machine.snapshot()
        self.fixture.run(CANCEL, step=0.0)
        self.assertEqual(self.fixture.machine.snapshot(), before)
        self.assertEqual(record.code, ResultCode.CANCELLED_NOT_RUN)

    def test_cancel_after_start_stops_the_attempt(self):
        """A request that may have begun must not be reported as not run."""
        record = self.fixture.submit()
        attempt = self.fixture.start(record)
        self.fixture.run(CANCEL)
        self.assertEqual(attempt.state, AttemptState.STOPPING)
        self.fixture.end(record, attempt, AttemptOutcome.STOPPED)
        self.assertEqual(record.code, ResultCode.CANCELLED)

    def test_cancel_of_a_start_that_never_began_is_not_run(self):
        """The not-run code is right if the upstream confirms that nothing ran.

        The start was committed, but the task did not begin before the
        cancellation stopped it.
        """
        record = self.fixture.submit()
        attempt = self.fixture.start(record)
        self.fixture.run(CANCEL)
        self.fixture.end(record, attempt, AttemptOutcome.NEVER_BEGAN)
        self.assertEqual(record.code, ResultCode.CANCELLED_NOT_RUN)

    def test_committed_answer_wins_over_cancellation(self):
        """An answer that arrives after a cancellation must not be lost.

        The attempt finishes while the cancellation is stopping it.
        """
        record = self.fixture.submit()
        attempt = self.fixture.start(record)
        self.fixture.run(CANCEL)
        self.fixture.end(record, attempt, AttemptOutcome.FINISHED, answers=ANSWER)
        self.fixture.run(CANCEL)
        self.assertEqual((record.code, record.answers), (0, ANSWER))

    def test_cancel_between_attempts_is_not_reported_as_not_run(self):
        """A request cancelled between retries must not be reported as not run.

        Its earlier attempt was started and then lost.
        """
        record = self.fixture.submit(idempotent=True)
        self.fixture.end(record, self.fixture.start(record), AttemptOutcome.LOST)
        self.fixture.run(CANCEL)
        self.assertEqual(record.code, ResultCode.CANCELLED)

    def test_acknowledgement_drops_the_answer_only(self):
        """The request must stay, so that its idempotency key is still known.

        Otherwise a resend after the acknowledgement would run it again.
        """
        record = self.fixture.submit()
        attempt = self.fixture.start(record)
        self.fixture.end(record, attempt, AttemptOutcome.FINISHED, answers=ANSWER)
        self.fixture.run(AcknowledgeAnswer("r", "clinic"))
        self.assertEqual(record.state, RequestState.ANSWERED)
        self.assertEqual((record.answers, record.payload), ((), b""))
        self.assertIn("r", self.fixture.machine.request_by_id)

    def test_expiry_removes_the_earliest_ended_first(self):
        """Expiry must keep live requests and be the same on all replicas.

        A replica that restored a snapshot must remove the same requests as
        one that applied all commands.
        """
        for number in range(4):
            self.fixture.submit(f"r-{number}")
        for number in (2, 0, 1):
            self.fixture.run(CancelRequest(f"r-{number}", "clinic"))
        restored = StateMachine()
        restored.restore(self.fixture.machine.snapshot())
        expire = ExpireRecords(before=self.fixture.time, limit=1)
        for machine in (self.fixture.machine, restored):
            machine.apply_record(LogRecord("", 50.0, expire))
            self.assertEqual(list(machine.request_by_id), ["r-0", "r-1", "r-3"])
        expire = ExpireRecords(before=self.fixture.time)
        self.fixture.run(expire)
        self.assertEqual(list(self.fixture.machine.request_by_id), ["r-1", "r-3"])

    def test_identity_with_another_command_is_refused(self):
        """A reused identity must not return the result of another command."""
        self.fixture.run(ApplyConfiguration(()), "op")
        reused = ApplyConfiguration((), expected_version=1)
        result = self.fixture.run(reused, "op")
        self.assertEqual(result.code, ResultCode.KEY_REUSED)
