"""A nose2 plugin that counts the outcome of every test that ran."""

from typing import NamedTuple

from nose2 import events, result

__all__ = ["Outcome", "OutcomeCounter"]


class Outcome(NamedTuple):
    """The outcome of one test: ``passed``, ``failed`` or ``skipped``."""

    test_id: str
    kind: str


class OutcomeCounter(events.Plugin):
    """Record one outcome for each test, in the order they ended."""

    alwaysOn = True  # noqa: N815  (the name that nose2 looks for)
    configSection = "outcome-counter"  # noqa: N815
    outcomes: list[Outcome] = []

    def testOutcome(self, event):  # noqa: N802
        """Classify the outcome that nose2 reports.

        A subtest that passed is part of its test, which is reported by
        itself; a subtest that failed takes the place of its test.
        """
        if event.outcome == result.SUBTEST and event.exc_info is None:
            return
        kind = "failed"
        if event.outcome == result.SKIP:
            kind = "skipped"
        elif event.expected and event.outcome in (result.PASS, result.FAIL):
            kind = "passed"
        self.outcomes.append(Outcome(event.test.id(), kind))
