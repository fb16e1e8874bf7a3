"""Stateful fuzzing of the life cycle of requests against an oracle."""

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
from test.state.cluster_simulation import CALL_TIMEOUT_S, SimulatedCluster

INDEX = st.integers(0, 1_000)
GANG = st.sampled_from((1, 1, 2, 3))
RUN_S = st.sampled_from((0.1, 2.0, 20.0, 200.0))
ROUNDING_TOLERANCE_S = 0.01


class Oracle:
    """Records observable events and checks the invariants on them.

    ``closed_at_by_name`` holds when a leaving upstream, or a zone that was
    taken out of service, was closed to new starts.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.outcome_by_id = {}
        self.closed_at_by_name = {}
        self.partial_gang_since = {}
        self.fence_first_seen_at = {}
        self.checked_start_count = 0
        self.checkpointed_numbers_by_request = {}

    def check(self):
        self.check_starts()
        self.check_outcomes()
        self.check_gangs()

    def check_starts(self):
        """Check how often each task began, and on which upstreams."""
        cluster = self.cluster
        for upstream, start in cluster.task_starts[self.checked_start_count :]:
            for item in (upstream.name, upstream.spec().zone):
                closed_at = self.closed_at_by_name.get(item, start.at)
                limit = closed_at + START_PERMIT_S + ROUNDING_TOLERANCE_S
                assert start.at <= limit, (
                    f"start on {item} too long after it was closed"
                )
        self.checked_start_count = len(cluster.task_starts)
        counts = Counter()
        fresh_starts = Counter()
        for _, start in cluster.task_starts:
            key = (start.attempt.partition(".")[0], start.member)
            counts[key] += 1
            fresh_starts[key] += not start.resumed
        for (request_id, member), count in counts.items():
            record = cluster.machine.request_by_id[request_id]
            if record.idempotent:
                continue
            # The record drops old attempts, so the numbers are kept here.
            checkpointed_numbers = self.checkpointed_numbers_by_request.setdefault(
                request_id, set()
            )
            for attempt in record.attempts:
                if attempt.outcome == AttemptOutcome.CHECKPOINTED:
                    checkpointed_numbers.add(attempt.number)
            allowed = 1 + len(checkpointed_numbers)
            assert count <= allowed, f"{request_id} ran {count} times"
            repeated = fresh_starts[(request_id, member)] > 1
            assert not repeated, f"{request_id} restarted from the beginning"

    def check_outcomes(self):
        """Check that outcomes are correct, complete and final."""
        started_ids = set()
        for _, start in self.cluster.task_starts:
            started_ids.add(start.attempt.partition(".")[0])
        for request_id, outcome in self.cluster.outcomes().items():
            first_outcome = self.outcome_by_id.setdefault(request_id, outcome)
            assert outcome == first_outcome, "an outcome changed"
            assert not (outcome.not_run and request_id in started_ids), (
                "not_run although a task began"
            )
            record = self.cluster.machine.request_by_id[request_id]
            finished = AttemptOutcome.FINISHED
            if record.attempts and record.attempts[-1].outcome == finished:
                self.check_answers(request_id, outcome)

    def check_answers(self, request_id, outcome):
        for member, answer in enumerate(outcome.answers):
            payload = self.cluster.payload_by_id[request_id]
            expected_body = b"answer:%d:" % member + payload
            assert answer.body == expected_body, "wrong answer for this member"
            assert answer.digest == hashlib.sha256(answer.body).hexdigest()

    def check_gangs(self):
        """Check that no member keeps running long after another has ended."""
        now = self.cluster.now
        for record in self.cluster.machine.request_by_id.values():
            if record.shape.gang == 1 or not record.attempts:
                continue
            attempt = record.attempts[-1]
            name = f"{record.request_id}.{attempt.number}"
            self.fence_first_seen_at.setdefault((name, attempt.fence), now)
            running, ended = self.classify_members(attempt, name)
            if not running or not ended:
                self.partial_gang_since.pop(name, None)
                continue
            since = self.partial_gang_since.setdefault(name, now)
            since = max(since, self.fence_first_seen_at[(name, attempt.fence)])
            # One lease until the loss is detected, one until tasks that cannot
            # be reached end by themselves, and a renewal that was in flight.
            limit = since + 2 * TASK_LEASE_S + CALL_TIMEOUT_S
            assert now <= limit, f"{name} still runs on some of its members"

    def classify_members(self, attempt, name):
        """Return the running members and those lost or ended unfinished."""
        running = []
        ended = []
        for index, member in enumerate(attempt.members):
            state = "dead"
            upstream = self.cluster.upstreams[int(member.upstream_id[3:])]
            if upstream.task_table.incarnation == member.incarnation:
                upstream.task_table.busy()
                task = upstream.task_table._task_by_key.get((name, index))
                state = task.state if task is not None else "dead"
            if state == "running":
                running.append(index)
            elif state != "finished":
                ended.append(index)
        return running, ended


class LifeCycleMachine(RuleBasedStateMachine):
    """Generates requests, faults and the passage of time in any order."""

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster()
        self.oracle = Oracle(self.cluster)

    def pick(self, items, number):
        return items[number % len(items)]

    def record(self, number):
        return self.pick(list(self.cluster.machine.request_by_id.values()), number)

    def entry(self, number):
        return self.pick(list(self.cluster.entry_by_name.values()), number)

    def upstream(self, number):
        return self.pick(self.cluster.upstreams, number)

    def has_requests(self):
        return bool(self.cluster.machine.request_by_id)

    def has_messages(self):
        return bool(self.cluster.in_flight_messages)

    @initialize(
        gangs=st.lists(GANG, min_size=1, max_size=3),
        idempotent=st.booleans(),
        run_s=RUN_S,
        messages=st.integers(0, 40),
    )
    def submit_initial_requests(self, gangs, idempotent, run_s, messages):
        """Submit requests and let the cluster get to any stage of them."""
        for gang in gangs:
            self.cluster.submit(gang, idempotent, True, run_s)
        self.cluster.run_round(0, messages)

    @rule(gang=GANG, idempotent=st.booleans(), run_s=RUN_S)
    def submit(self, gang, idempotent, run_s):
        if len(self.cluster.machine.request_by_id) < 6:
            self.cluster.submit(gang, idempotent, True, run_s)

    @rule(
        rounds=st.integers(1, 8),
        messages=st.sampled_from((2, 5, 400)),
        seconds=st.sampled_from((0.1, 0.5, 2.0)),
        first_upstream=st.integers(0, 3),
    )
    def run_rounds(self, rounds, messages, seconds, first_upstream):
        """Let the leader and the entries run for several rounds."""
        for _ in range(rounds):
            self.cluster.run_round(first_upstream, messages)
            self.cluster.advance(seconds)

    @rule(seconds=st.sampled_from((1.0, 2.1, 6.0, 16.0)))
    def advance_time(self, seconds):
        self.cluster.advance(seconds)
        self.cluster.expire_sessions()

    @precondition(has_requests)
    @rule(number=INDEX)
    def cancel(self, number):
        self.cluster.commit(CancelRequest(self.record(number).request_id, "clinic"))

    def running_requests(self):
        records = []
        for record in self.cluster.machine.request_by_id.values():
            if record.state == RequestState.STARTED:
                records.append(record)
        return records

    @precondition(running_requests)
    @rule(checkpoint=st.sampled_from((True, True, False)), number=INDEX)
    def preempt(self, checkpoint, number):
        record = self.pick(self.running_requests(), number)
        number = record.attempts[-1].number
        command = StopAttempt(record.request_id, number, checkpoint, "preempted")
        self.cluster.commit(command)

    @rule(zone=st.sampled_from(("z0", "z1")), in_service=st.booleans())
    def set_zone_service(self, zone, in_service):
        self.cluster.set_zone(zone, in_service)
        self.oracle.closed_at_by_name.pop(zone, None)
        if not in_service:
            self.oracle.closed_at_by_name[zone] = self.cluster.now

    @precondition(has_messages)
    @rule(kind=st.sampled_from(("deliver", "repeat", "lose")), number=INDEX)
    def inject_network_fault(self, kind, number):
        message = self.pick(self.cluster.in_flight_messages, number)
        if kind == "lose":
            self.cluster.drop_message(message)
        else:
            self.cluster.deliver_message(message, keep=kind == "repeat")

    @rule(kind=st.sampled_from(("kill", "freeze", "thaw", "mute")), number=INDEX)
    def inject_entry_fault(self, kind, number):
        entry = self.entry(number)
        match kind:
            case "kill":
                self.cluster.kill_entry(entry)
                self.cluster.start_entry()
            case "freeze" | "thaw":
                entry.frozen = kind == "freeze"
                self.cluster.run_due_actions()
            case "mute":
                self.cluster.send_heartbeat(entry, False)

    @rule(
        kind=st.sampled_from(
            ("restart", "restart", "isolate", "reconnect", "lose", "find", "leave")
        ),
        number=INDEX,
    )
    def inject_upstream_fault(self, kind, number):
        upstream = self.upstream(number)
        match kind:
            case "restart":
                self.cluster.start_upstream(upstream)
                self.oracle.closed_at_by_name.pop(upstream.name, None)
            case "isolate" | "reconnect":
                upstream.reachable = kind == "reconnect"
            case "lose":
                self.cluster.set_status(upstream, UpstreamStatus.LOST)
            case "find":
                self.cluster.set_status(upstream, UpstreamStatus.UP)
            case "leave":
                self.cluster.set_status(upstream, UpstreamStatus.LEAVING)
                self.oracle.closed_at_by_name.setdefault(
                    upstream.name, self.cluster.now
                )

    def has_running_gang(self):
        return any(record.shape.gang > 1 for record in self.running_requests())

    @precondition(has_running_gang)
    @rule(number=INDEX)
    def isolate_upstream_for_several_leases(self, number):
        """Isolate an upstream while members of gangs run on elsewhere."""
        self.upstream(number).reachable = False
        for _ in range(20):
            self.cluster.run_round(number, 400)
            self.cluster.advance(2.0)
            self.oracle.check()

    @rule(
        number=INDEX,
        fail_all=st.booleans(),
        answers=st.lists(st.sampled_from(("cut", "swapped", "previous")), max_size=3),
    )
    def inject_task_faults(self, number, fail_all, answers):
        behaviour = self.upstream(number).behaviour
        behaviour.fail_all = fail_all
        behaviour.answer_faults = tuple(answers)

    # Invariants.

    @invariant()
    def invariants_hold(self):
        self.oracle.check()

    def teardown(self):
        """Check that every request ends after all faults were removed."""
        assert self.cluster.recover(), "a request never ends"
        self.oracle.closed_at_by_name = {}
        self.oracle.check()
        for record in self.cluster.machine.request_by_id.values():
            assert record.state != RequestState.ACCEPTED


class LifeCycleTests(LifeCycleMachine.TestCase):
    """The life cycle keeps its invariants under any combination of faults."""

    settings = settings(
        derandomize=True,
        max_examples=400,
        stateful_step_count=60,
        deadline=None,
        # Shrinking a failure takes minutes, so the failing steps are printed
        # without shrinking.
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
