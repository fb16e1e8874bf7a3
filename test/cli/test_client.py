"""Tests of persimmonyard.cli.client."""

from test.cli.fakes import CliTestCase, error_response

APPLIED_RESPONSE = (200, {"version": 4, "in_force": False})
ACCEPTED_RESPONSE = (
    200,
    {"request": "r-1", "state": "accepted", "ended": False, "answers": []},
)
SUBMIT_ARGUMENTS = ("submit", "--class", "fit", "--key", "k", "--run-s", "1")


class RetryTests(CliTestCase):
    def test_lost_response_is_retried_with_the_same_idempotency_key(self):
        """Guards against applying a change twice after a lost response.

        The retry must have the ``Idempotency-Key`` of the first attempt, so
        that the entry recognizes it.
        """
        self.entry.responses = [None, APPLIED_RESPONSE]
        status, _, _ = self.run_cli("zone", "out", "z")
        keys = {call[2]["Idempotency-Key"] for call in self.entry.calls}
        self.assertEqual((status, len(self.entry.calls), len(keys)), (0, 2, 1))

    def test_retry_uses_the_next_entry(self):
        """Guards against retries that stay on an entry that cannot answer.

        Of three entries, the first is stopping, the second is down and the
        third accepts the same submission.
        """
        other = self.start_entry()
        self.entry.responses = [error_response(602, "STOPPING")]
        other.responses = [ACCEPTED_RESPONSE]
        status, _, _ = self.run_cli(
            "--url", "http://127.0.0.1:1", "--url", other.url, *SUBMIT_ARGUMENTS
        )
        self.assertEqual(status, 0)
        bodies = [entry.calls[0][1] for entry in (self.entry, other)]
        self.assertEqual(bodies[0], bodies[1])

    def test_permanent_error_is_not_retried(self):
        """Guards against retries of an error that a retry cannot change.

        A version conflict must be reported after a single call.
        """
        self.entry.responses = [error_response(401, "VERSION_CONFLICT", status=409)]
        status, _, error_line = self.run_cli("zone", "out", "z")
        self.assertEqual((status, len(self.entry.calls)), (5, 1))
        self.assertEqual(error_line, "persimmonyard: version_conflict (code 401)\n")

    def test_refusal_after_a_lost_response_reports_an_unknown_outcome(self):
        """Guards against reporting a request that may run as not run.

        The response to the first call is lost, so its request may have been
        recorded although the retry is refused.
        """
        self.entry.responses = [None, error_response(302, "OVERLOADED")]
        status, _, error_line = self.run_cli(
            "--retry-s", "0.3", "--json", *SUBMIT_ARGUMENTS
        )
        self.assertEqual(status, 8)
        self.assertIn('"code": 603', error_line)
        self.assertIn('"not_run": false', error_line)

    def test_refusal_without_a_lost_response_reports_not_run(self):
        """Guards against reporting an unknown outcome without a reason.

        If no response was lost, the refusal of the entry is final.
        """
        self.entry.responses = [error_response(302, "OVERLOADED")]
        status, _, error_line = self.run_cli(
            "--retry-s", "0", "--json", *SUBMIT_ARGUMENTS
        )
        self.assertEqual(status, 4)
        self.assertIn('"not_run": true', error_line)

    def test_missing_token_is_a_user_error(self):
        """Guards against calls without a token.

        Nothing is sent, and the error line names the missing option.
        """
        status, _, error_line = self.run_cli("--token", "", *SUBMIT_ARGUMENTS)
        self.assertEqual((status, self.entry.calls), (2, []))
        self.assertIn("--token", error_line)
