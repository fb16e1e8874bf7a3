"""Fakes at the interfaces of the daemon."""

import asyncio

from persimmonyard.daemon.control.ledger import Ledger
from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    Shape,
    UpstreamSpec,
    WorkClassSpec,
)
from persimmonyard.replication import ReplicaStatus, Role
from persimmonyard.state.commands import (
    ApplyConfiguration,
    LogRecord,
    RegisterUpstream,
    SubmitRequest,
    encode_record,
)
from persimmonyard.wire import EntryBeat

UPSTREAM = UpstreamSpec("up-1", "a", "z1", "rack-1", "127.0.0.1:1", 8, 64, 1_000)


class FakeReplica:
    """A replica that commits at once while ``leads`` is true."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.leads = True
        self.term = 1
        self.proposals = 0

    def status(self):
        role = Role.LEADER if self.term else Role.FOLLOWER
        return ReplicaStatus(role, self.term, "", 0, 0, 0, False, (), ())

    def is_leader(self):
        return self.leads

    def leader_hint(self):
        return ""

    async def propose(self, entry):
        self.proposals += 1
        # A real commit takes time, in which other proposals may arrive.
        await asyncio.sleep(0)
        return self.ledger.apply(self.proposals, entry)


class FakeControl:
    """A ledger on a fake clock, with one class, account and upstream."""

    def __init__(self):
        self.now = 100.0
        self.ledger = Ledger(clock=lambda: self.now)
        self.replica = FakeReplica(self.ledger)
        self.ledger.replica = self.replica

    def lead(self, *controllers):
        """Let this replica lead with the given controllers."""
        self.ledger.controllers = list(controllers)
        self.ledger.check_leadership()

    def re_elect(self):
        """Lose leadership and win it again in a later term."""
        term = self.replica.term
        self.replica.term = 0
        self.ledger.check_leadership()
        self.replica.term = term + 1
        self.ledger.check_leadership()

    def run(self, command):
        """Apply one command."""
        return self.ledger.apply(0, encode_record(LogRecord("", self.now, command)))

    def set_up(self):
        """Set the class, the account and the upstream."""
        self.configure(
            ConfigurationChange(work_class=WorkClassSpec("fit")),
            ConfigurationChange(client_account=ClientAccountSpec("clinic")),
        )
        self.run(RegisterUpstream(UPSTREAM))

    def configure(self, *changes):
        """Apply changes of the configuration."""
        return self.run(ApplyConfiguration(changes))

    def submit(self, request_id, idempotent=True):
        """Submit a small request."""
        return self.run(
            SubmitRequest(
                request_id,
                "clinic",
                "fit",
                request_id,
                "d",
                Shape(),
                1.0,
                idempotent,
                False,
                b"",
            )
        )


def entry_beat(entry_id, sequence=1, version=0, **fields):
    """Return a beat of an entry."""
    return EntryBeat(entry_id, "z1", sequence, version, **fields)
