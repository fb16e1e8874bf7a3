"""A simulated deployment for fuzzing the life cycle of requests.

The state machine, the dispatch core and the stand-in's task table are the
real ones.  Clocks, calls and the leader's bookkeeping are simulated.
"""

import json
from dataclasses import dataclass, field

import msgspec

from persimmonyard.daemon.control.views import order_for, outcome_of
from persimmonyard.daemon.entry.attempt_core import AttemptCore
from persimmonyard.daemon.entry.attempt_events import (
    AnswerFetched,
    AskLeader,
    Begin,
    CallAnswered,
    CallFailed,
    CallUpstream,
    Drop,
    LeaderAnswered,
    MembersRenewed,
    StopOrdered,
    TaskStatus,
    Woken,
)
from persimmonyard.daemon.entry.upstream_calls import (
    UpstreamUnreachableError,
    attempt_id,
    call_body,
    checked_answer,
)
from persimmonyard.daemon.timing import CLOCK_MARGIN, ENTRY_LEASE_S, TASK_LEASE_S
from persimmonyard.model import (
    ClassSpec,
    ClientAccountSpec,
    ConfigurationChange,
    Shape,
    UpstreamSpec,
    ZoneSpec,
)
from persimmonyard.standin.faults import AnswerFaults, Behaviour
from persimmonyard.standin.tasks import TaskTable
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import (
    ApplyConfiguration,
    AssignDispatch,
    LogRecord,
    PlaceAttempt,
    RegisterUpstream,
    SetUpstreamStatus,
    SubmitRequest,
)
from persimmonyard.state.records import AttemptState, RequestState, UpstreamStatus
from persimmonyard.wire import DispatchAction

ZONES = ("z0", "z0", "z1", "z1")
# A call that takes longer has ended at both of its sides.
LONGEST_DELAY_S = 5.0


@dataclass
class Upstream:
    """One upstream, its present tasks and the network towards it."""

    number: int
    restarts: int = 0
    reachable: bool = True
    behaviour: Behaviour = field(default_factory=Behaviour)
    answers: AnswerFaults = field(default_factory=AnswerFaults)
    table: TaskTable | None = None

    @property
    def name(self):
        return f"up-{self.number}"

    def spec(self):
        incarnation = f"i{self.restarts}"
        zone = ZONES[self.number]
        return UpstreamSpec(self.name, incarnation, zone, "r", self.name, 8, 64, 999)


@dataclass
class Entry:
    """One entry process: its leases and the cores of its attempts."""

    name: str
    frozen: bool = False
    dead: bool = False
    lease_until: float = 0.0
    core_by_request: dict = field(default_factory=dict)


@dataclass
class Message:
    """Something in flight; ``lost`` runs when its sender gives up."""

    deliver: object
    lost: object
    sent_at: float
    to_entry: Entry | None = None


class World:
    """All processes, and what is in flight between them."""

    def __init__(self):
        self.now = 100.0
        self.machine = StateMachine()
        self.messages = []
        self.payload_by_id = {}
        self.delayed = []
        self.expires_at = {}
        self.entry_by_name = {}
        self.entry_count = 0
        self.sent = {}
        self.starts = []
        self.upstreams = [Upstream(number) for number in range(len(ZONES))]
        account = ClientAccountSpec("clinic")
        changes = [ConfigurationChange(work_class=ClassSpec("fit"))]
        changes.append(ConfigurationChange(client_account=account))
        self.commit(ApplyConfiguration(tuple(changes)))
        for upstream in self.upstreams:
            self.boot(upstream)
        for _ in range(2):
            self.start_entry()

    # The control leader.

    def commit(self, command):
        """Apply a command and push orders to the entries it concerns."""
        result = self.machine.apply_record(LogRecord("", self.now, command))
        for change in self.machine.take_change_events():
            record = self.machine.request_by_id.get(change.item_id)
            if record is not None:
                self.push(record)
        return result

    def push(self, record):
        attempt = record.live_attempt()
        entry = attempt and self.entry_by_name.get(attempt.entry_id)
        if entry is None:
            return
        sent = self.sent.get((entry.name, record.request_id))
        lost = attempt.lost_members
        current = (attempt.fence, attempt.state, lost)
        if sent == current:
            return
        self.sent[(entry.name, record.request_id)] = current
        taken_over = sent is None or sent[0] != attempt.fence
        if attempt.state == AttemptState.STARTED and not taken_over:
            return
        order = order_for(self.machine, record, attempt, taken_over)
        self.to_entry(entry, lambda: self.take_order(entry, order))

    def expire_sessions(self):
        """Move attempts away from entries that were not heard."""
        for name, expires_at in list(self.expires_at.items()):
            if expires_at < self.now:
                del self.expires_at[name]
        live = sorted(self.expires_at)
        for record in list(self.machine.request_by_id.values()):
            attempt = record.live_attempt()
            if attempt is None or attempt.entry_id in self.expires_at or not live:
                continue
            target = live[attempt.fence % len(live)]
            self.commit(AssignDispatch(record.request_id, attempt.number, target))

    def place(self, record, first):
        """Place the next attempt on consecutive upstreams."""
        live = sorted(self.expires_at)
        if record.not_before > self.now or not live:
            return
        ids = []
        for index in range(record.shape.gang):
            ids.append(self.upstreams[(first + index) % len(self.upstreams)].name)
        number = record.attempts[-1].number + 1 if record.attempts else 1
        entry = live[number % len(live)]
        self.commit(PlaceAttempt(record.request_id, number, tuple(ids), entry))

    def set_zone(self, zone, in_service):
        change = ConfigurationChange(zone=ZoneSpec(zone, in_service))
        self.commit(ApplyConfiguration((change,)))

    def submit(self, gang, idempotent, checkpointable, run_s):
        request_id = f"r{len(self.machine.request_by_id)}"
        payload = json.dumps({"run_s": run_s, "request": request_id}).encode()
        self.payload_by_id[request_id] = payload
        self.commit(
            SubmitRequest(
                request_id, "clinic", "fit", request_id, "d", Shape(gang), 1.0,
                idempotent, checkpointable, payload,
            )
        )  # fmt: skip

    # Upstreams.

    def boot(self, upstream):
        """Start an upstream anew; what it ran is gone."""
        upstream.restarts += 1
        upstream.reachable = True
        spec = upstream.spec()

        def honoured(start):
            self.starts.append((upstream, start))

        upstream.table = TaskTable(
            spec.incarnation, 8, upstream.behaviour, lambda: self.now, honoured
        )
        self.commit(RegisterUpstream(spec))

    def set_status(self, upstream, status):
        incarnation = f"i{upstream.restarts}"
        return self.commit(SetUpstreamStatus(upstream.name, incarnation, status))

    # Entries.

    def start_entry(self):
        self.entry_count += 1
        entry = Entry(f"e{self.entry_count}")
        self.entry_by_name[entry.name] = entry
        self.beat(entry, True)

    def kill_entry(self, entry):
        entry.dead = True
        entry.frozen = False
        entry.core_by_request = {}
        del self.entry_by_name[entry.name]

    def beat(self, entry, answered):
        """Extend a session; the reply with the lease may be lost."""
        if entry.frozen:
            return
        new = entry.name not in self.expires_at
        self.expires_at[entry.name] = self.now + ENTRY_LEASE_S * CLOCK_MARGIN
        if answered:
            entry.lease_until = self.now + ENTRY_LEASE_S
        if not new:
            return
        for record in self.machine.request_by_id.values():
            self.sent.pop((entry.name, record.request_id), None)
            attempt = record.live_attempt()
            if attempt is not None and attempt.entry_id == entry.name:
                self.push(record)

    def take_order(self, entry, order):
        if entry.dead:
            return
        known = entry.core_by_request.get(order.request_id)
        if known is not None:
            if known.order.fence > order.fence:
                return
            if known.order.fence == order.fence:
                if order.action == DispatchAction.STOP:
                    self.feed(entry, known, StopOrdered(order))
                return
        core = AttemptCore(order)
        entry.core_by_request[order.request_id] = core
        self.feed(entry, core, Begin())

    def feed(self, entry, core, event):
        """Give an event to a core that its entry still has."""
        if entry.core_by_request.get(core.order.request_id) is not core:
            return
        for action in core.step(event, self.now):
            match action:
                case Drop():
                    del entry.core_by_request[core.order.request_id]
                case CallUpstream() | AskLeader():
                    due = self.now + action.delay_s
                    self.delayed.append((due, entry, core, action))
        self.run_delayed()

    def run_delayed(self):
        """Send what is due; frozen entries send when they go on."""
        due_now = []
        later = []
        for item in self.delayed:
            ready = item[0] <= self.now and not item[1].frozen
            (due_now if ready else later).append(item)
        self.delayed = later
        for _, entry, core, action in due_now:
            if entry.core_by_request.get(core.order.request_id) is not core:
                continue
            if isinstance(action, AskLeader):
                self.ask(entry, core, action.command)
            else:
                self.call(entry, core, action)

    def ask(self, entry, core, command):
        def answer(result):
            event = LeaderAnswered(command, result)
            self.to_entry(entry, lambda: self.feed(entry, core, event))

        self.send(lambda: self.commit(command), answer)

    def call(self, entry, core, action):
        order = core.order
        call, member, sent_at = action.call, action.member, self.now
        if action.not_after is not None:
            valid = self.now < action.not_after and self.now < entry.lease_until
            if not valid:
                self.feed(entry, core, CallFailed(call, member, sent=False))
                return

        def answer(reply):
            event = CallFailed(call, member)
            if reply is not None and "name" in reply:
                event = CallFailed(call, member, reply["code"])
            elif reply is not None and call == "result":
                try:
                    answer = checked_answer(order, member, reply)
                    event = AnswerFetched(member, answer)
                except UpstreamUnreachableError:
                    pass
            elif reply is not None:
                status = msgspec.convert(reply, TaskStatus)
                event = CallAnswered(call, member, sent_at, status)
            self.to_entry(entry, lambda: self.feed(entry, core, event))

        def perform():
            upstream = self.upstreams[int(order.members[member].address[3:])]
            if not upstream.reachable:
                return None
            reply = upstream.table.handle(call, call_body(call, order, member))
            if call == "result" and "name" not in reply:
                reply, _ = upstream.answers.apply(reply, upstream.behaviour)
            return reply

        self.send(perform, answer)

    def renew(self, entry, upstream):
        """Send one renewal for all tasks that an entry holds there."""
        tasks_by_start = {}
        for core in entry.core_by_request.values():
            for renewal in core.renewals(self.now):
                target = core.order.members[renewal.member]
                if target.upstream_id != upstream.name:
                    continue
                task = {"attempt": attempt_id(core.order), "member": renewal.member}
                task["fence"] = core.order.fence
                tasks_by_start.setdefault(target.incarnation, []).append((core, task))
        for incarnation, tasks in tasks_by_start.items():
            self.send_renewal(entry, upstream, incarnation, tasks)

    def send_renewal(self, entry, upstream, incarnation, tasks):
        sent_at = self.now
        body = {"incarnation": incarnation, "lease_s": TASK_LEASE_S}
        body["tasks"] = [task for _, task in tasks]

        def answer(reply):
            if reply is None:
                return
            replies = reply.get("tasks")
            for index, (core, task) in enumerate(tasks):
                status = replies[index] if replies else task | {"code": reply["code"]}
                status.pop("fence", None)
                event = MembersRenewed(sent_at, (msgspec.convert(status, TaskStatus),))
                self.to_entry(entry, lambda c=core, e=event: self.feed(entry, c, e))

        self.send(
            lambda: upstream.table.renew(body) if upstream.reachable else None, answer
        )

    # The network.

    def send(self, perform, answer):
        """Send a request whose reply goes to ``answer`` at most once."""
        state = {"settled": False}

        def settle(reply):
            if not state["settled"]:
                state["settled"] = True
                answer(reply)

        def deliver():
            reply = perform()
            self.messages.append(
                Message(lambda: settle(reply), lambda: settle(None), self.now)
            )

        self.messages.append(Message(deliver, lambda: settle(None), self.now))

    def to_entry(self, entry, deliver):
        self.messages.append(Message(deliver, deliver, self.now, entry))

    def deliver(self, message, keep=False):
        """Deliver a message, and keep it in flight if it is duplicated."""
        entry = message.to_entry
        if entry is not None and entry.frozen:
            return
        if not keep and message in self.messages:
            self.messages.remove(message)
        message.deliver()

    def lose(self, message):
        """Lose a call; messages to entries come on a stream and do not."""
        if message.to_entry is None:
            self.messages.remove(message)
            message.lost()

    def deliver_all(self, limit=400):
        """Deliver everything in order until nothing is in flight."""
        for _ in range(limit):
            ready = [m for m in self.messages if not (m.to_entry and m.to_entry.frozen)]
            if not ready:
                return
            self.deliver(ready[0])

    def advance(self, seconds):
        self.now = round(self.now + seconds, 3)
        for message in list(self.messages):
            if message.to_entry is None and self.now > message.sent_at + 5.0:
                self.lose(message)
        self.run_delayed()
        for entry in list(self.entry_by_name.values()):
            if entry.frozen:
                continue
            for core in list(entry.core_by_request.values()):
                wakeup = core.next_wakeup()
                if wakeup is not None and wakeup <= self.now:
                    self.feed(entry, core, Woken())

    # Progress.

    def turn(self, first, messages):
        """Let each process do its periodic work once."""
        self.expire_sessions()
        for record in list(self.machine.request_by_id.values()):
            if record.state == RequestState.ACCEPTED:
                self.place(record, first)
        for entry in list(self.entry_by_name.values()):
            self.beat(entry, True)
            for upstream in self.upstreams:
                self.renew(entry, upstream)
        self.deliver_all(messages)

    def heal(self):
        """End all faults and return whether every request then ends."""
        for zone in set(ZONES):
            self.set_zone(zone, True)
        for upstream in self.upstreams:
            upstream.behaviour.fail_all = False
            upstream.behaviour.refuse_all = False
            if self.machine.upstream_by_id[upstream.name].status != UpstreamStatus.UP:
                self.boot(upstream)
            upstream.reachable = True
        self.start_entry()
        for number in range(400):
            if all(record.ended() for record in self.machine.request_by_id.values()):
                return True
            self.turn(number, 400)
            self.advance(1.0)
        return False

    def outcomes(self):
        """Return what callers are told of each ended request."""
        outcome_by_id = {}
        for record in self.machine.request_by_id.values():
            if record.ended():
                outcome_by_id[record.request_id] = outcome_of(record)
        return outcome_by_id
