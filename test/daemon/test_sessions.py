"""Tests of persimmonyard.daemon.control.sessions."""

import unittest

from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.timing import CLOCK_DRIFT_FACTOR, ENTRY_LEASE_S
from persimmonyard.model import ConfigurationChange, ZoneSpec
from test.daemon.control_fakes import FakeControl, entry_beat

FULL_LEASE_S = ENTRY_LEASE_S * CLOCK_DRIFT_FACTOR
ZONE_OUT = ConfigurationChange(zone=ZoneSpec("z1", in_service=False))


class SessionControllerTests(unittest.TestCase):
    def setUp(self):
        self.control = FakeControl()
        self.control.set_up()
        self.sessions = SessionController(self.control.ledger)
        self.control.lead(self.sessions)
        self.control.now += FULL_LEASE_S

    def open(self, entry_id, version):
        """Open a session with its first beat and return it."""
        beat = entry_beat(entry_id, 1, version)
        session = self.sessions.open(beat)
        self.sessions.beat(session, beat, 0)
        return session

    def messages(self, session):
        """Return and remove everything queued for an entry."""
        found = []
        while not session.outbox.empty():
            found.append(session.outbox.get_nowait())
        return found

    def test_not_in_force_while_an_entry_has_not_confirmed(self):
        """A zone change must not be reported in force too early."""
        session = self.open("e1", 1)
        version = self.control.configure(ZONE_OUT).version
        self.assertFalse(self.sessions.in_force(version))
        self.sessions.beat(session, entry_beat("e1", 2, version), 0)
        self.assertTrue(self.sessions.in_force(version))

    def test_silent_entry_counts_until_its_lease_has_lapsed(self):
        """An entry behind a partition may start work until its lease ends."""
        self.open("e1", 1)
        version = self.control.configure(ZONE_OUT).version
        self.control.now += ENTRY_LEASE_S
        self.assertFalse(self.sessions.in_force(version))
        self.control.now += FULL_LEASE_S - ENTRY_LEASE_S + 0.01
        self.assertTrue(self.sessions.in_force(version))

    def test_new_leader_waits_for_leases_of_the_old_one(self):
        """Entries unknown to a new leader may still hold a lease."""
        version = self.control.configure(ZONE_OUT).version
        self.control.re_elect()
        self.assertFalse(self.sessions.in_force(version))
        self.control.now += FULL_LEASE_S
        self.assertTrue(self.sessions.in_force(version))

    def test_nothing_is_in_force_without_the_quorum_lease(self):
        """An isolated leader must not claim that a version is in force."""
        version = self.control.configure(ZONE_OUT).version
        self.control.replica.leads = False
        self.assertFalse(self.sessions.in_force(version))

    def test_lease_that_lapses_within_a_term_keeps_sessions(self):
        """A slow answer of a replica must not make entries connect again."""
        session = self.open("e1", 1)
        self.control.replica.leads = False
        self.control.ledger.check_leadership()
        self.control.replica.leads = True
        self.control.ledger.check_leadership()
        self.assertFalse(session.closed)

    def test_update_is_sent_before_the_lease_is_extended(self):
        """An extended lease must imply the version of the time it was granted.

        Otherwise an entry could go on with an older version.
        """
        session = self.open("e1", 1)
        self.messages(session)
        version = self.control.configure(ZONE_OUT).version
        self.sessions.beat(session, entry_beat("e1", 2, 1), 0)
        update, reply = self.messages(session)
        self.assertEqual((update.update.version, reply.sequence), (version, 2))

    def test_first_lease_carries_the_current_version(self):
        """An entry that reconnects gets no lease on an older version."""
        version = self.control.configure(ZONE_OUT).version
        session = self.open("e1", 1)
        (reply,) = self.messages(session)
        self.assertEqual((reply.sequence, reply.update.version), (1, version))

    def test_reconnecting_entry_gets_only_what_it_misses(self):
        """A reconnect sends the changes after the entry's version."""
        self.control.configure(ZONE_OUT)
        session = self.open("e1", 1)
        update = self.messages(session)[0].update
        self.assertEqual(
            (update.full, update.base, update.changes),
            (False, 1, (ZONE_OUT,)),
        )

    def test_entry_gets_everything_after_the_changes_are_forgotten(self):
        """A leader restored from a snapshot has no list of recent changes."""
        machine = self.control.ledger.machine
        machine.restore(machine.snapshot())
        session = self.open("e1", 0)
        update = self.messages(session)[0].update
        self.assertTrue(update.full)
        self.assertEqual(len(update.changes), 2)

    def test_entry_that_does_not_read_is_cut_off(self):
        """A backlog must not grow without bound."""
        session = self.open("e1", 1)
        for _ in range(20_000):
            session.push()
        self.assertTrue(session.closed)

    def test_second_stream_of_an_entry_closes_the_first(self):
        """Two streams of one entry must not both carry its lease."""
        first = self.open("e1", 1)
        self.open("e1", 1)
        self.assertTrue(first.closed)
