"""Tests of the durations that are derived from the platform's bounds."""

import unittest

from persimmonyard.daemon.jobs.durations import derive_durations
from persimmonyard.daemon.jobs.settings import BoundSettings

# Clock rates of two processes may differ by this factor.
CLOCK_DRIFT = 1.1


class DurationTests(unittest.TestCase):
    def derive(self, contact_ms):
        return derive_durations(
            BoundSettings(
                longest_lease_ms=10_000,
                gang_patience_ms=3_000,
                state_kept_s=120,
                heartbeat_ms=1_500,
                stop_grace_s=6.0,
                contact_ms=contact_ms,
            )
        )

    def test_lease_ends_before_an_election_and_outlasts_lost_heartbeats(self):
        """Guards against two leaders, and against leaders that step down.

        The lease must hold although two heartbeats in a row are lost.
        """
        for contact_ms in (1_000, 3_000, 5_000):
            durations = self.derive(contact_ms)
            with self.subTest(contact_ms=contact_ms):
                lease_s = durations.leader_lease_s
                self.assertLess(lease_s * CLOCK_DRIFT, durations.election_timeout_s)
                self.assertGreater(lease_s, 3 * durations.replica_heartbeat_s)

    def test_lost_leader_is_replaced_within_half_of_the_bound(self):
        """Guards against a failover that uses up the platform's patience.

        The first candidate campaigns after 1.6 election timeouts at the
        latest.
        """
        durations = self.derive(3_000)
        self.assertLess(1.6 * durations.election_timeout_s, 1.5)
        self.assertLess(1.6 * durations.election_timeout_s, durations.failover_s)
        self.assertLessEqual(durations.failover_s, 1.5)


if __name__ == "__main__":
    unittest.main()
