"""Tests of persimmonyard.cli.client."""

from test.cli.fakes import CliCase, error

APPLIED = (200, {"version": 4, "in_force": False})
ACCEPTED = (200, {"request": "r-1", "state": "accepted", "ended": False, "answers": []})
SUBMIT = ("submit", "--class", "fit", "--key", "k", "--run-s", "1")


class RetryTests(CliCase):
    def test_lost_answer_is_sent_again_with_the_same_key(self):
        """A change whose answer was lost is resent as the same change."""
        self.entry.answers = [None, APPLIED]
        status, _, _ = self.cli("zone", "out", "z")
        keys = {call[2]["Idempotency-Key"] for call in self.entry.calls}
        self.assertEqual((status, len(self.entry.calls), len(keys)), (0, 2, 1))

    def test_next_entry_is_tried(self):
        """A stopping entry and one that is down are left for the next."""
        other = self.fake()
        self.entry.answers = [error(602, "STOPPING")]
        other.answers = [ACCEPTED]
        status, _, _ = self.cli(
            "--url", "http://127.0.0.1:1", "--url", other.url, *SUBMIT
        )
        self.assertEqual(status, 0)
        bodies = [entry.calls[0][1] for entry in (self.entry, other)]
        self.assertEqual(bodies[0], bodies[1])

    def test_refusal_is_not_sent_again(self):
        """A refusal that stays the same is reported at once."""
        self.entry.answers = [error(401, "VERSION_CONFLICT", status=409)]
        status, _, line = self.cli("zone", "out", "z")
        self.assertEqual((status, len(self.entry.calls)), (5, 1))
        self.assertEqual(line, "persimmonyard: version_conflict (code 401)\n")

    def test_refusal_after_a_lost_answer_is_an_unknown_outcome(self):
        """A lost submission followed by a refusal is never called not run."""
        self.entry.answers = [None, error(302, "OVERLOADED")]
        status, _, line = self.cli("--retry-s", "0.3", "--json", *SUBMIT)
        self.assertEqual(status, 8)
        self.assertIn('"code": 603', line)
        self.assertIn('"not_run": false', line)

    def test_refusal_that_was_never_sent_says_not_run(self):
        """Without any lost answer the refusal is passed on as it is."""
        self.entry.answers = [error(302, "OVERLOADED")]
        status, _, line = self.cli("--retry-s", "0", "--json", *SUBMIT)
        self.assertEqual(status, 4)
        self.assertIn('"not_run": true', line)

    def test_missing_token_is_a_mistake_of_the_user(self):
        """Without a token nothing is sent, and the line says what to give."""
        status, _, line = self.cli("--token", "", *SUBMIT)
        self.assertEqual((status, self.entry.calls), (2, []))
        self.assertIn("--token", line)
