"""Tests of persimmonyard.state.machine."""

import unittest
from unittest import mock

from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    ResultCode,
    Shape,
    UpstreamSpec,
    WorkClassSpec,
    ZoneSpec,
)
from persimmonyard.state import StateMachine, snapshots
from persimmonyard.state.commands import (
    ApplyConfiguration,
    CancelRequest,
    LogRecord,
    PlaceAttempt,
    RegisterUpstream,
    StartAttempt,
    SubmitRequest,
)
from test.state.fixtures import MachineFixture

UPSTREAM = UpstreamSpec("up-1", "a", "z1", "rack-1", "127.0.0.1:1", 8, 64, 1_000)


class StateMachineTests(unittest.TestCase):
    def setUp(self):
        self.machine = StateMachine()
        self.time = 0.0
        changes = (
            ConfigurationChange(work_class=WorkClassSpec("fit")),
            ConfigurationChange(client_account=ClientAccountSpec("clinic")),
        )
        self.run_command(ApplyConfiguration(changes))
        self.run_command(RegisterUpstream(UPSTREAM))
        self.run_command(
            SubmitRequest(
                "r-1", "clinic", "fit", "k", "d", Shape(), 1.0, False, False, b""
            )
        )

    def run_command(self, command, identity=""):
        """Apply a command one second after the previous one."""
        self.time += 1.0
        return self.machine.apply_record(LogRecord(identity, self.time, command))

    def test_cancel_before_start_forbids_the_start(self):
        """A request that was cancelled as not run must never start later."""
        placed = self.run_command(PlaceAttempt("r-1", 1, ("up-1",), "e"))
        self.run_command(CancelRequest("r-1", "clinic"))
        started = self.run_command(StartAttempt("r-1", 1, placed.fence))
        self.assertEqual(started.code, ResultCode.UNKNOWN_ATTEMPT)
        self.assertEqual(
            self.machine.request_by_id["r-1"].code, ResultCode.CANCELLED_NOT_RUN
        )

    def test_start_is_refused_in_a_zone_out_of_service(self):
        """A zone change that is committed before a start must prevent it."""
        placed = self.run_command(PlaceAttempt("r-1", 1, ("up-1",), "e"))
        change = ConfigurationChange(zone=ZoneSpec("z1", in_service=False))
        self.run_command(ApplyConfiguration((change,)))
        started = self.run_command(StartAttempt("r-1", 1, placed.fence))
        self.assertEqual(started.code, ResultCode.IN_USE)

    def test_resent_command_gets_its_first_result(self):
        """A command resent after a lost reply must not be applied twice."""
        change = ConfigurationChange(zone=ZoneSpec("z1", in_service=False))
        command = ApplyConfiguration((change,), expected_version=1)
        first = self.run_command(command, "op-1")
        second = self.run_command(command, "op-1")
        self.assertEqual(first, second)

    def test_concurrent_changes_of_one_version_conflict(self):
        """The second command for the same version must get a conflict."""
        change = ConfigurationChange(zone=ZoneSpec("z1", in_service=False))
        command = ApplyConfiguration((change,), expected_version=1)
        first = self.run_command(command, "op-1")
        second = self.run_command(command, "op-2")
        self.assertEqual(
            (first.code, second.code, second.version),
            (0, ResultCode.VERSION_CONFLICT, 2),
        )

    def test_snapshot_restores_the_same_state(self):
        """A restored replica must equal one that replayed the log."""
        self.run_command(PlaceAttempt("r-1", 1, ("up-1",), "e"))
        restored = StateMachine()
        restored.restore(self.machine.snapshot())
        self.assertEqual(restored.snapshot(), self.machine.snapshot())
        self.assertEqual(restored.request_ids_on("up-1"), {"r-1"})

    def test_requests_of_all_parts_are_restored_in_order(self):
        """The parts of a snapshot must not lose or reorder requests.

        Attempts on one upstream must share one ``Member``; otherwise the
        memory use grows with a restart.
        """
        fixture = MachineFixture(upstreams=1)
        ids = [f"r-{number}" for number in range(5)]
        for request_id in ids:
            fixture.submit(request_id)
            fixture.run(PlaceAttempt(request_id, 1, ("up-0",), "e"))
        fixture.run(CancelRequest("r-3", "clinic"))
        restored = StateMachine()
        with mock.patch.object(snapshots, "REQUESTS_PER_PART", 2):
            data = fixture.machine.snapshot()
        restored.restore(data)
        self.assertEqual(list(restored.request_by_id), ids)
        self.assertEqual(restored.request_by_id, fixture.machine.request_by_id)
        members = {
            id(restored.request_by_id[name].attempts[0].members[0]) for name in ids
        }
        self.assertEqual(len(members), 1)
        self.assertEqual(restored.snapshot(), fixture.machine.snapshot())

    def test_restored_times_are_interned(self):
        """Equal times of a restored record must be one object.

        Otherwise its memory use grows with a restart.
        """
        fixture = MachineFixture(upstreams=1)
        fixture.submit("r-1")
        placed = fixture.run(PlaceAttempt("r-1", 1, ("up-0",), "e"))
        fixture.run(StartAttempt("r-1", 1, placed.fence))
        restored = StateMachine()
        restored.restore(fixture.machine.snapshot())
        record = restored.request_by_id["r-1"]
        attempt = record.attempts[0]
        times = (record.submitted_at, attempt.placed_at, attempt.started_at)
        for time, transition in zip(times, record.history, strict=True):
            self.assertIs(time, transition.at)
        self.assertEqual(record, fixture.machine.request_by_id["r-1"])
