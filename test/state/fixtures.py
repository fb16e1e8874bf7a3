"""A configured state machine for tests of the commands."""

import itertools

from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    Shape,
    UpstreamSpec,
    WorkClassSpec,
)
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import (
    ApplyConfiguration,
    EndAttempt,
    LogRecord,
    PlaceAttempt,
    RegisterUpstream,
    StartAttempt,
    SubmitRequest,
)


def upstream_spec(upstream_id, incarnation="a", zone="z1"):
    """Return the specification of an upstream in its announcement."""
    return UpstreamSpec(
        upstream_id, incarnation, zone, "rack-1", "127.0.0.1:1", 8, 64, 1_000
    )


class MachineFixture:
    """A state machine with one class, one client account and some upstreams.

    By default commands are one second apart.
    """

    def __init__(self, upstreams=2):
        self.machine = StateMachine()
        self.time = 0.0
        self._keys = itertools.count()
        account = ClientAccountSpec("clinic", max_waiting=100_000)
        changes = (
            ConfigurationChange(work_class=WorkClassSpec("fit")),
            ConfigurationChange(client_account=account),
        )
        self.run(ApplyConfiguration(changes))
        for number in range(upstreams):
            self.run(RegisterUpstream(upstream_spec(f"up-{number}")))

    def run(self, command, identity="", step=1.0):
        """Apply one command and return its result."""
        self.time += step
        return self.machine.apply_record(LogRecord(identity, self.time, command))

    def submit(self, request_id="r", gang=1, idempotent=False, checkpointable=False):
        """Submit a request and return its record."""
        key = f"k{next(self._keys)}"
        shape = Shape(gang=gang)
        self.run(
            SubmitRequest(
                request_id, "clinic", "fit", key, "d", shape, 1.0,
                idempotent, checkpointable, b"scan",
            )
        )  # fmt: skip
        return self.machine.request_by_id[request_id]

    def place(self, record, upstream_ids=("up-0",)):
        """Place the next attempt and return it."""
        number = record.attempts[-1].number + 1 if record.attempts else 1
        self.run(PlaceAttempt(record.request_id, number, upstream_ids, "e", reason="p"))
        return record.attempts[-1]

    def start(self, record, upstream_ids=("up-0",)):
        """Place and start the next attempt and return it."""
        attempt = self.place(record, upstream_ids)
        self.run(StartAttempt(record.request_id, attempt.number, attempt.fence))
        return attempt

    def end(self, record, attempt, outcome, **fields):
        """Report the end of an attempt with its current fencing token."""
        return self.run(
            EndAttempt(
                record.request_id, attempt.number, attempt.fence, outcome, **fields
            )
        )
