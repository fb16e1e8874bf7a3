"""Stateful fuzzing of the life cycle against a simple oracle."""

import hashlib
from collections import Counter

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from persimmonyard.daemon.timing import START_PERMIT_S, TASK_LEASE_S
from persimmonyard.state.commands import CancelRequest, StopAttempt
from persimmonyard.state.records import (
    AttemptOutcome,
    RequestState,
    UpstreamStatus,
)
from test.state.life_cycle import LONGEST_DELAY_S, World

PICK = st.integers(0, 1_000)
GANG = st.sampled_from((1, 1, 2, 3))
RUN_S = st.sampled_from((0.1, 2.0, 20.0, 200.0))
ROUNDING_S = 0.01


class Oracle:
    """What was seen from outside, and what must be true of it."""

    def __init__(self, world):
        self.world = world
        self.outcome_by_id = {}
        self.closed_at = {}
        self.dead_since = {}
        self.fence_at = {}
        self.seen_starts = 0
        self.checkpointed = {}

    def check(self):
        self.check_starts()
        self.check_outcomes()
        self.check_gangs()

    def check_starts(self):
        """Check how often, and where, tasks began."""
        world = self.world
        for upstream, start in world.starts[self.seen_starts :]:
            for item in (upstream.name, upstream.spec().zone):
                closed_at = self.closed_at.get(item, start.at)
                limit = closed_at + START_PERMIT_S + ROUNDING_S
                assert start.at <= limit, f"start on {item} long after it was closed"
        self.seen_starts = len(world.starts)
        counts = Counter()
        from_nothing = Counter()
        for _, start in world.starts:
            key = (start.attempt.partition(".")[0], start.member)
            counts[key] += 1
            from_nothing[key] += not start.resumed
        for (request_id, member), count in counts.items():
            record = world.machine.request_by_id[request_id]
            if record.idempotent:
                continue
            # Old attempts are dropped from the record, so they are noted.
            checkpointed = self.checkpointed.setdefault(request_id, set())
            for attempt in record.attempts:
                if attempt.outcome == AttemptOutcome.CHECKPOINTED:
                    checkpointed.add(attempt.number)
            allowed = 1 + len(checkpointed)
            assert count <= allowed, f"{request_id} ran {count} times"
            repeated = from_nothing[(request_id, member)] > 1
            assert not repeated, f"{request_id} began from nothing again"

    def check_outcomes(self):
        """Check that outcomes are true, whole and final."""
        started = set()
        for _, start in self.world.starts:
            started.add(start.attempt.partition(".")[0])
        for request_id, outcome in self.world.outcomes().items():
            first = self.outcome_by_id.setdefault(request_id, outcome)
            assert outcome == first, "an outcome changed"
            assert not (outcome.not_run and request_id in started), "not run is false"
            record = self.world.machine.request_by_id[request_id]
            finished = AttemptOutcome.FINISHED
            if record.attempts and record.attempts[-1].outcome == finished:
                self.check_answers(request_id, outcome)

    def check_answers(self, request_id, outcome):
        for member, answer in enumerate(outcome.answers):
            payload = self.world.payload_by_id[request_id]
            whole = b"answer:%d:" % member + payload
            assert answer.body == whole, "not the whole answer of this member"
            assert answer.digest == hashlib.sha256(answer.body).hexdigest()

    def check_gangs(self):
        """Check that no member goes on for long after another one ended."""
        now = self.world.now
        for record in self.world.machine.request_by_id.values():
            if record.shape.gang == 1 or not record.attempts:
                continue
            attempt = record.attempts[-1]
            name = f"{record.request_id}.{attempt.number}"
            self.fence_at.setdefault((name, attempt.fence), now)
            running, dead = self.members(attempt, name)
            if not running or not dead:
                self.dead_since.pop(name, None)
                continue
            since = self.dead_since.setdefault(name, now)
            since = max(since, self.fence_at[(name, attempt.fence)])
            # One lease until the silence is noticed, one until tasks that
            # cannot be reached end, and a renewal that was in flight.
            limit = since + 2 * TASK_LEASE_S + LONGEST_DELAY_S
            assert now <= limit, f"{name} goes on with some of its members"

    def members(self, attempt, name):
        running = []
        dead = []
        for index, member in enumerate(attempt.members):
            state = "dead"
            upstream = self.world.upstreams[int(member.upstream_id[3:])]
            if upstream.table.incarnation == member.incarnation:
                upstream.table.busy()
                task = upstream.table._task_by_key.get((name, index))
                state = task.state if task is not None else "dead"
            if state == "running":
                running.append(index)
            elif state != "finished":
                dead.append(index)
        return running, dead


class LifeCycle(RuleBasedStateMachine):
    """Requests, faults and the passing of time in any order."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.oracle = Oracle(self.world)

    def pick(self, items, number):
        return items[number % len(items)]

    def record(self, number):
        return self.pick(list(self.world.machine.request_by_id.values()), number)

    def entry(self, number):
        return self.pick(list(self.world.entry_by_name.values()), number)

    def upstream(self, number):
        return self.pick(self.world.upstreams, number)

    def has_requests(self):
        return bool(self.world.machine.request_by_id)

    def has_messages(self):
        return bool(self.world.messages)

    @initialize(
        gangs=st.lists(GANG, min_size=1, max_size=3),
        idempotent=st.booleans(),
        run_s=RUN_S,
        messages=st.integers(0, 40),
    )
    def begin(self, gangs, idempotent, run_s, messages):
        """Begin somewhere between the submission and the answers."""
        for gang in gangs:
            self.world.submit(gang, idempotent, True, run_s)
        self.world.turn(0, messages)

    @rule(gang=GANG, idempotent=st.booleans(), run_s=RUN_S)
    def submit(self, gang, idempotent, run_s):
        if len(self.world.machine.request_by_id) < 6:
            self.world.submit(gang, idempotent, True, run_s)

    @rule(
        turns=st.integers(1, 8),
        messages=st.sampled_from((2, 5, 400)),
        seconds=st.sampled_from((0.1, 0.5, 2.0)),
        first=st.integers(0, 3),
    )
    def go_on(self, turns, messages, seconds, first):
        """Let the leader and the entries work for a while."""
        for _ in range(turns):
            self.world.turn(first, messages)
            self.world.advance(seconds)

    @rule(seconds=st.sampled_from((1.0, 2.1, 6.0, 16.0)))
    def pass_time(self, seconds):
        self.world.advance(seconds)
        self.world.expire_sessions()

    @precondition(has_requests)
    @rule(number=PICK)
    def cancel(self, number):
        self.world.commit(CancelRequest(self.record(number).request_id, "clinic"))

    def running(self):
        found = []
        for record in self.world.machine.request_by_id.values():
            if record.state == RequestState.STARTED:
                found.append(record)
        return found

    @precondition(running)
    @rule(checkpoint=st.sampled_from((True, True, False)), number=PICK)
    def preempt(self, checkpoint, number):
        record = self.pick(self.running(), number)
        number = record.attempts[-1].number
        command = StopAttempt(record.request_id, number, checkpoint, "preempted")
        self.world.commit(command)

    @rule(zone=st.sampled_from(("z0", "z1")), in_service=st.booleans())
    def change_zone(self, zone, in_service):
        self.world.set_zone(zone, in_service)
        self.oracle.closed_at.pop(zone, None)
        if not in_service:
            self.oracle.closed_at[zone] = self.world.now

    @precondition(has_messages)
    @rule(kind=st.sampled_from(("deliver", "repeat", "lose")), number=PICK)
    def disturb_network(self, kind, number):
        message = self.pick(self.world.messages, number)
        if kind == "lose":
            self.world.lose(message)
        else:
            self.world.deliver(message, keep=kind == "repeat")

    @rule(kind=st.sampled_from(("kill", "freeze", "thaw", "mute")), number=PICK)
    def disturb_entry(self, kind, number):
        entry = self.entry(number)
        match kind:
            case "kill":
                self.world.kill_entry(entry)
                self.world.start_entry()
            case "freeze" | "thaw":
                entry.frozen = kind == "freeze"
                self.world.run_delayed()
            case "mute":
                self.world.beat(entry, False)

    @rule(
        kind=st.sampled_from(
            ("restart", "restart", "isolate", "reconnect", "lose", "find", "leave")
        ),
        number=PICK,
    )
    def disturb_upstream(self, kind, number):
        upstream = self.upstream(number)
        match kind:
            case "restart":
                self.world.boot(upstream)
                self.oracle.closed_at.pop(upstream.name, None)
            case "isolate" | "reconnect":
                upstream.reachable = kind == "reconnect"
            case "lose":
                self.world.set_status(upstream, UpstreamStatus.LOST)
            case "find":
                self.world.set_status(upstream, UpstreamStatus.UP)
            case "leave":
                self.world.set_status(upstream, UpstreamStatus.LEAVING)
                self.oracle.closed_at.setdefault(upstream.name, self.world.now)

    def has_running_gang(self):
        return any(record.shape.gang > 1 for record in self.running())

    @precondition(has_running_gang)
    @rule(number=PICK)
    def isolate_for_long(self, number):
        """Let the members of gangs elsewhere go on for some leases."""
        self.upstream(number).reachable = False
        for _ in range(20):
            self.world.turn(number, 400)
            self.world.advance(2.0)
            self.oracle.check()

    @rule(
        number=PICK,
        fail_all=st.booleans(),
        answers=st.lists(st.sampled_from(("cut", "swapped", "previous")), max_size=3),
    )
    def misbehave(self, number, fail_all, answers):
        behaviour = self.upstream(number).behaviour
        behaviour.fail_all = fail_all
        behaviour.answer_faults = tuple(answers)

    # What must hold.

    @invariant()
    def promises_hold(self):
        self.oracle.check()

    def teardown(self):
        """Check that every request ends once the faults have ended."""
        assert self.world.heal(), "a request never ends"
        self.oracle.closed_at = {}
        self.oracle.check()
        for record in self.world.machine.request_by_id.values():
            assert record.state != RequestState.ACCEPTED


class LifeCycleTests(LifeCycle.TestCase):
    """The promises of the life cycle hold under every mix of faults."""

    settings = settings(
        derandomize=True,
        max_examples=400,
        stateful_step_count=60,
        deadline=None,
        # Shrinking a failure takes minutes; the steps are printed unshrunk.
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
