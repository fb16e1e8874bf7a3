"""Tests of the answers that callers get over HTTP."""

import unittest

from persimmonyard.daemon.jobs.rpc import CallReply, Outcome, Verb
from persimmonyard.platform.callers import _build_response


class CallerTests(unittest.TestCase):
    def test_refused_job_gets_its_own_delay(self):
        """Guards against refused callers that all return after a second."""
        for reply, delay in (
            (CallReply(Outcome.REFUSED, detail="x", retry_after_s=17), "17"),
            (CallReply(Outcome.TOO_MANY, detail="x"), "1"),
        ):
            status, body, header_by_name = _build_response(Verb.SUBMIT, reply)
            self.assertEqual((429, {"error": "x"}), (status, body))
            self.assertEqual({"retry-after": delay}, header_by_name)
