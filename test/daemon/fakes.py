"""Settings, a fake leader and an entry without a network, for daemon tests."""

import time

import msgspec
import structlog

from persimmonyard.daemon.control.views import (
    outcome_of,
    request_explanation,
    state_summary,
)
from persimmonyard.daemon.entry.access import Authenticator
from persimmonyard.daemon.entry.announcements import AnnouncementApi
from persimmonyard.daemon.entry.app import EntryApp
from persimmonyard.daemon.entry.filters import FilterChain
from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.entry.operator_api import OperatorApi
from persimmonyard.daemon.entry.requests_api import RequestApi
from persimmonyard.daemon.metrics import EntryMetrics
from persimmonyard.daemon.settings import (
    AccessSettings,
    ControlSettings,
    HttpSettings,
    IntakeSettings,
    LimitSettings,
    LogSettings,
    ProcessSettings,
    Settings,
    ShutdownSettings,
)
from persimmonyard.daemon.tokens import hash_token
from persimmonyard.model import (
    AccessRole,
    ClientAccountSpec,
    ConfigurationChange,
    PersimmonyardError,
    ResultCode,
    WorkClassSpec,
)
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import (
    ApplyConfiguration,
    LogRecord,
    command_codec,
)
from persimmonyard.wire import ConfigurationUpdate, LeaderBeat, session_codec

# Expected faults are logged, and would hide the results of the tests.  Level
# 50 is CRITICAL.
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))

CLINIC_HEADERS = {"Authorization": "Bearer clinic-token"}
OTHER_HEADERS = {"Authorization": "Bearer other-token"}
OPERATOR_HEADERS = {"Authorization": "Bearer operator-token"}
UPSTREAM_HEADERS = {"Authorization": "Bearer upstream-token"}

# The specification of an upstream in the body of its announcement.
SPEC_BODY = {
    "upstream_id": "up-1",
    "incarnation": "a",
    "zone": "karen-bench",
    "rack": "rack-1",
    "address": "127.0.0.1:9000",
    "accelerators": 8,
    "cores": 64,
    "memory_mb": 1024,
}
CHANGES = (
    ConfigurationChange(work_class=WorkClassSpec("fit")),
    ConfigurationChange(
        client_account=ClientAccountSpec("clinic", (hash_token("clinic-token"),))
    ),
    ConfigurationChange(
        client_account=ClientAccountSpec("other", (hash_token("other-token"),))
    ),
    ConfigurationChange(
        client_account=ClientAccountSpec(
            "desk", (hash_token("desk-token"),), AccessRole.OPERATOR
        )
    ),
)


def make_settings(**limits):
    """Return settings of an entry; keyword arguments replace limits."""
    values = {
        "body_bytes": 131_072,
        "body_s": 5.0,
        "connections": 64,
        "calls_per_account": 32,
        "waiting_requests": 16,
        "queued_commands": 64,
        "wait_s": 5.0,
    }
    return Settings(
        ProcessSettings("entry-1", "entry", "karen-bench"),
        HttpSettings("127.0.0.1", 0, 5.0),
        ControlSettings("127.0.0.1:0", "", {"control-1": "127.0.0.1:1"}),
        AccessSettings([hash_token("operator-token")], [hash_token("upstream-token")]),
        LimitSettings(**(values | limits)),
        IntakeSettings(8 << 20, 0, 16_384),
        ShutdownSettings(0.0, 5.0),
        LogSettings("error"),
    )


class FakeLeader:
    """Replaces ``LeaderClient``; applies commands to a local state machine.

    A command is encoded and decoded as on its way to the leader.
    ``error`` is raised by each call if it is set.  ``before_result`` is
    awaited after a command is applied, before its result is returned.
    """

    def __init__(self):
        self.machine = StateMachine()
        self.machine.apply_record(LogRecord("", 1.0, ApplyConfiguration(CHANGES)))
        self.commands = []
        self.error = None
        self.before_result = None

    async def execute(self, command, identity="", wait_s=10.0, account=""):
        if self.error is not None:
            raise self.error
        command = command_codec.decode(command_codec.encode(command))
        self.commands.append(command)
        result = self.machine.apply_record(LogRecord(identity, 2.0, command))
        if self.before_result is not None:
            await self.before_result()
        return result

    async def query(self, kind, item_id="", wait_s=10.0):
        if self.error is not None:
            raise self.error
        match kind:
            case "request":
                return session_codec.encode(outcome_of(self.record(item_id)))
            case "explain":
                return msgspec.json.encode(
                    request_explanation(self.record(item_id), "busy")
                )
            case "configuration":
                return msgspec.json.encode(self.machine.configuration)
            case "status":
                return msgspec.json.encode(state_summary(self.machine))
        return b"true"

    def record(self, request_id):
        record = self.machine.request_by_id.get(request_id)
        if record is None:
            raise PersimmonyardError(ResultCode.NOT_FOUND, "no such request")
        return record

    def request_beat(self):
        """Do nothing, because there is no session."""


class EntryHarness:
    """The real HTTP application of an entry on top of a fake leader."""

    def __init__(self, **limits):
        self.settings = make_settings(**limits)
        self.leader = FakeLeader()
        self.state = LocalState()
        self.metrics = EntryMetrics()
        self.chain = FilterChain(
            self.settings,
            self.state,
            Authenticator(self.settings.access, self.state),
        )
        self.announcements = AnnouncementApi(self.state, self.leader, self.chain)
        limit_settings = self.settings.limits
        self.entry_app = EntryApp(
            self.state,
            self.chain,
            self.metrics,
            RequestApi(limit_settings, self.state, self.leader, self.chain),
            OperatorApi(limit_settings, self.leader, self.chain, lambda: {"x": 1}),
            self.announcements,
        )
        self.app = self.entry_app.build()
        self.grant_lease()

    def grant_lease(self, lease_s=60.0):
        """Deliver a configuration and a lease, as in the reply to a beat."""
        update = ConfigurationUpdate(1, CHANGES, True)
        beat = LeaderBeat(1, lease_s, update)
        assert self.state.handle_beat(beat, time.monotonic())

    def push_outcome(self, request_id):
        """Push the outcome of an ended request, as the leader does."""
        self.state.handle_beat(
            LeaderBeat(0, 0.0, outcomes=(outcome_of(self.leader.record(request_id)),)),
            0.0,
        )
