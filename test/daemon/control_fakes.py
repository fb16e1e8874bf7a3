"""Fakes of the replica and the state of a control process."""

import asyncio

from persimmonyard.daemon.control.replicated_state import ReplicatedState
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

UPSTREAM_SPEC = UpstreamSpec("up-1", "a", "z1", "rack-1", "127.0.0.1:1", 8, 64, 1_000)


class FakeReplica:
    """A replica that commits every proposal.

    ``has_quorum_lease`` sets whether it has a valid quorum lease, and
    ``term`` is the term in which it leads, 0 for a follower.  ``hint`` is the
    leader that it names.
    """

    def __init__(self, replicated_state):
        self.replicated_state = replicated_state
        self.has_quorum_lease = True
        self.term = 1
        self.hint = ""
        self.proposals = 0

    def hand_over(self, name):
        """Become a follower of the named replica."""
        self.has_quorum_lease = False
        self.term = 0
        self.hint = name

    def status(self):
        role = Role.LEADER if self.term else Role.FOLLOWER
        return ReplicaStatus(role, self.term, "", 0, 0, 0, False, (), ())

    def is_leader(self):
        return self.has_quorum_lease

    def leader_hint(self):
        return self.hint

    async def propose(self, entry):
        self.proposals += 1
        # Yield as a real commit does, so that other proposals may interleave.
        await asyncio.sleep(0)
        return self.replicated_state.apply(self.proposals, entry)


class FakeControl:
    """A replicated state with a fake clock and a fake replica.

    ``now`` is the time of the clock in seconds.
    """

    def __init__(self):
        self.now = 100.0
        self.replicated_state = ReplicatedState(clock=lambda: self.now)
        self.replica = FakeReplica(self.replicated_state)
        self.replicated_state.replica = self.replica

    def become_leader(self, *controllers):
        """Make this replica the leader, with the given controllers."""
        self.replicated_state.controllers = list(controllers)
        self.replicated_state.check_leadership()

    def re_elect(self):
        """Lose leadership, then regain it in the next term."""
        term = self.replica.term
        self.replica.term = 0
        self.replicated_state.check_leadership()
        self.replica.term = term + 1
        self.replicated_state.check_leadership()

    def apply_command(self, command):
        """Apply a command as a committed entry and return its result."""
        return self.replicated_state.apply(
            0, encode_record(LogRecord("", self.now, command))
        )

    def set_up(self):
        """Configure a work class and client account; register an upstream."""
        self.configure(
            ConfigurationChange(work_class=WorkClassSpec("fit")),
            ConfigurationChange(client_account=ClientAccountSpec("clinic")),
        )
        self.apply_command(RegisterUpstream(UPSTREAM_SPEC))

    def configure(self, *changes):
        """Apply changes of the configuration and return the result."""
        return self.apply_command(ApplyConfiguration(changes))

    def submit(self, request_id, idempotent=True):
        """Submit a request of the default shape."""
        return self.apply_command(
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
    """Return a beat of an entry in zone z1."""
    return EntryBeat(entry_id, "z1", sequence, version, **fields)
