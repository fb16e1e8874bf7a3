"""Tests of the capacities that the replicated state counts."""

import random
import unittest

from persimmonyard.jobs import ForgetUpstreams, JobStore, NoteUpstreams
from persimmonyard.jobs.service_capacities import ServiceCapacities
from test.jobs.fixtures import report


class ServiceCapacitiesTests(unittest.TestCase):
    def test_counts_follow_the_reports(self):
        """Guards against a count that keeps an upstream that is gone.

        It would admit jobs that nothing can hold, or refuse others.
        """
        generator = random.Random(6)
        store = JobStore()
        for _ in range(2_000):
            name = f"u{generator.randrange(6)}"
            if generator.random() < 0.3:
                store.execute(ForgetUpstreams((name,)))
                continue
            noted = report(
                name,
                rack=generator.choice(("r1", "r2")),
                gpu=generator.choice((4, 8)),
                incarnation=generator.randrange(1, 9),
                leaving=generator.random() < 0.2,
            )._replace(address=f"host{generator.randrange(4)}:80")
            store.execute(NoteUpstreams((noted,)))
            reports = [
                *store.report_by_upstream.values(),
                *store.silent_report_by_address.values(),
            ]
            counted = vars(store.service_capacities)
            self.assertEqual(vars(ServiceCapacities(reports)), counted)
        restored = JobStore()
        restored.restore(store.snapshot())
        self.assertEqual(counted, vars(restored.service_capacities))
