"""A nose2 plugin that records the outcome of every test that ran."""

from typing import NamedTuple

from nose2 import events, result

__all__ = ["OutcomeRecorder", "TestOutcome"]


class TestOutcome(NamedTuple):
    """The outcome of one test.

    ``kind`` is ``passed``, ``failed`` or ``skipped``.
    """

    test_id: str
    kind: str


class OutcomeRecorder(events.Plugin):
    """Record one outcome for each test, in the order in which they end."""

    alwaysOn = True  # noqa: N815  (a name that nose2 requires)
    configSection = "outcome-counter"  # noqa: N815
    outcomes: list[TestOutcome] = []

    def testOutcome(self, event):  # noqa: N802
        """Classify and record an outcome that nose2 reports.

        A passed subtest is ignored, because nose2 also reports its test.  A
        failed subtest is recorded, because nose2 then reports no outcome for
        its test.
        """
        if event.outcome == result.SUBTEST and event.exc_info is None:
            return
        kind = "failed"
        if event.outcome == result.SKIP:
            kind = "skipped"
        elif event.expected and event.outcome in (result.PASS, result.FAIL):
            kind = "passed"
        self.outcomes.append(TestOutcome(event.test.id(), kind))
