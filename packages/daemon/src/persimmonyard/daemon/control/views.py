"""Views of the replicated state for entries, callers and operators."""

from typing import Any

import msgspec

from persimmonyard.model import ResultCode
from persimmonyard.state import StateMachine
from persimmonyard.state.records import Attempt, AttemptState, RequestRecord
from persimmonyard.state.request_transitions import may_have_run
from persimmonyard.wire import (
    DispatchAction,
    DispatchMember,
    DispatchOrder,
    MemberAnswerView,
    Outcome,
)

__all__ = [
    "dispatch_order_for",
    "find_preempted_attempts",
    "outcome_of",
    "request_explanation",
    "state_summary",
]


def outcome_of(record: RequestRecord) -> Outcome:
    """Return the outcome of a request as its caller sees it."""
    answers = []
    for answer in record.answers:
        answers.append(MemberAnswerView(answer.body, answer.digest))
    return Outcome(
        request_id=record.request_id,
        client_account=record.client_account,
        state=record.state.value,
        code=int(record.code),
        message=record.message,
        not_run=record.ended() and not may_have_run(record),
        ended=record.ended(),
        answers=tuple(answers),
    )


def dispatch_order_for(
    machine: StateMachine, record: RequestRecord, attempt: Attempt, taken_over: bool
) -> DispatchOrder:
    """Return the order for the entry that dispatches an attempt.

    ``taken_over`` tells that the entry has not been sent the current fence of
    the attempt; it then adopts an attempt that has started.
    """
    action = DispatchAction.RUN
    if attempt.state == AttemptState.STARTED and taken_over:
        action = DispatchAction.ADOPT
    if attempt.state == AttemptState.STOPPING:
        action = DispatchAction.STOP
    members = []
    for index, member in enumerate(attempt.members):
        spec = machine.upstream_by_id[member.upstream_id].spec
        lost = index in attempt.lost_members
        members.append(
            DispatchMember(
                member.upstream_id, member.incarnation, spec.zone, spec.address, lost
            )
        )
    return DispatchOrder(
        request_id=record.request_id,
        number=attempt.number,
        fence=attempt.fence,
        action=action,
        members=tuple(members),
        accelerators=record.shape.accelerators,
        cores=record.shape.cores,
        memory_mb=record.shape.memory_mb,
        declared_run_s=record.declared_run_s,
        idempotent=record.idempotent,
        payload=record.payload,
        checkpoint=record.checkpoint,
        checkpoint_wanted=attempt.checkpoint_wanted,
    )


def find_preempted_attempts(
    machine: StateMachine, record: RequestRecord
) -> list[dict[str, Any]]:
    """Return the attempts that were preempted for a request.

    The identifiers of requests of other client accounts are omitted.
    """
    found = []
    for other in machine.request_by_id.values():
        for attempt in other.attempts:
            if attempt.preempted_for != record.request_id:
                continue
            same_client_account = other.client_account == record.client_account
            found.append(
                {
                    "request": other.request_id if same_client_account else None,
                    "class": other.class_name,
                    "upstreams": [member.upstream_id for member in attempt.members],
                    "outcome": attempt.outcome,
                    "borrowed": attempt.borrowed,
                    "reason": attempt.stop_reason,
                }
            )
    return found


def request_explanation(
    machine: StateMachine, record: RequestRecord, waiting: str
) -> dict[str, Any]:
    """Return the state of a request, its attempts and those it preempted.

    ``waiting`` is the reason why the request waits, or empty.
    """
    attempts = []
    for attempt in record.attempts:
        crashed = [
            attempt.members[index].upstream_id for index in attempt.crashed_members
        ]
        attempts.append(
            {
                "number": attempt.number,
                "upstreams": [member.upstream_id for member in attempt.members],
                "state": attempt.state.value,
                "outcome": attempt.outcome,
                "borrowed": attempt.borrowed,
                "reason": attempt.stop_reason,
                "crashed_upstreams": crashed,
            }
        )
    return {
        "request": record.request_id,
        "state": record.state.value,
        "code": int(record.code),
        "code_name": ResultCode(record.code).name,
        "message": record.message,
        "waiting_because": waiting,
        "attempts": attempts,
        "preempted_for_it": find_preempted_attempts(machine, record),
        "history": msgspec.to_builtins(record.history),
    }


def state_summary(machine: StateMachine) -> dict[str, Any]:
    """Return request counts by state and the status of every upstream."""
    count_by_state: dict[str, int] = {}
    for record in machine.request_by_id.values():
        count_by_state[record.state] = count_by_state.get(record.state, 0) + 1
    upstreams = []
    for upstream_record in machine.upstream_by_id.values():
        upstreams.append(
            {
                "upstream": upstream_record.spec.upstream_id,
                "zone": upstream_record.spec.zone,
                "rack": upstream_record.spec.rack,
                "status": upstream_record.status.value,
                "requests": len(
                    machine.request_ids_on(upstream_record.spec.upstream_id)
                ),
            }
        )
    return {
        "configuration_version": machine.configuration.version,
        "requests": count_by_state,
        "upstreams": upstreams,
    }
