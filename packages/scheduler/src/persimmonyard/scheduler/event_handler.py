"""Updates the scheduler's state for each observed event."""

from persimmonyard.model import ClientAccountSpec, UpstreamSpec, WorkClassSpec
from persimmonyard.scheduler.allocations import Task, TaskKind, preemptible
from persimmonyard.scheduler.events import (
    AttemptEnded,
    AttemptPlaced,
    AttemptRunning,
    ClassChanged,
    ClientAccountChanged,
    Event,
    Job,
    JobRemoved,
    JobWaiting,
    UpstreamDown,
    UpstreamLeaving,
    UpstreamUp,
    ZoneChanged,
)
from persimmonyard.scheduler.fleet import Node
from persimmonyard.scheduler.placement import MemberCounts
from persimmonyard.scheduler.state import SchedulerState
from persimmonyard.scheduler.vector import add, capacity_of, subtract

__all__ = ["EventHandler"]


class EventHandler:
    """Apply events to the state; late and duplicate events change nothing."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def observe(self, event: Event, now: float) -> None:
        """Apply one event."""
        match event:
            case UpstreamUp(spec, quarantined_until):
                self._upstream_up(spec, now)
                node = self._state.fleet.node_by_id[spec.upstream_id]
                if self._state.quarantine_manager.restore(node, quarantined_until, now):
                    self._clear_node(node, now)
            case UpstreamLeaving(upstream_id):
                self._upstream_leaving(upstream_id, now)
            case UpstreamDown(upstream_id):
                self._upstream_down(upstream_id, now)
            case ZoneChanged(zone, in_service):
                self._zone_changed(zone, in_service, now)
            case ClassChanged(name, spec):
                self._class_changed(name, spec, now)
            case ClientAccountChanged(name, spec):
                self._account_changed(name, spec)
            case JobWaiting(job):
                self._job_waiting(job, now)
            case JobRemoved(request_id):
                self._job_removed(request_id)
            case AttemptPlaced():
                self._attempt_placed(event, now)
            case AttemptRunning(request_id, number, since):
                task = self._state.allocations.task_by_id.get(request_id)
                if task is not None and task.number == number:
                    task.running_since = since
            case AttemptEnded():
                self._attempt_ended(event, now)

    def _upstream_up(self, spec: UpstreamSpec, now: float) -> None:
        state = self._state
        node = state.fleet.node_by_id.get(spec.upstream_id)
        if node is None:
            node = Node(spec)
            state.fleet.add_node(node)
        elif node.incarnation != spec.incarnation:
            node = self._replace_incarnation(node, spec, now)
        elif self._matches_spec(node, spec):
            if not (node.leaving or node.lost):
                return
            node.leaving = False
            node.lost = False
            state.fleet.refresh(node)
        else:
            self._update_node(node, spec, now)
        state.invalidate_fit_cache()
        state.record_freed(node)
        state.layout.retry_at_risk()

    def _replace_incarnation(self, old: Node, spec: UpstreamSpec, now: float) -> Node:
        self._clear_node(old, now)
        self._state.allocations.release_members(old)
        self._state.fleet.remove_from_indexes(old)
        node = Node(spec)
        node.quarantined = old.quarantined
        node.probing = old.probing
        self._state.fleet.add_node(node)
        return node

    def _update_node(self, node: Node, spec: UpstreamSpec, now: float) -> None:
        """Update the location and capacity of a running incarnation."""
        fleet = self._state.fleet
        self._clear_node(node, now)
        fleet.remove_from_indexes(node)
        fleet.ids_by_zone[node.zone].discard(node.node_id)
        fleet.ids_by_rack[node.rack].discard(node.node_id)
        node.zone = spec.zone
        node.rack = (spec.zone, spec.rack)
        difference = subtract(capacity_of(spec), node.capacity)
        node.capacity = capacity_of(spec)
        node.free = add(node.free, difference)
        node.leaving = False
        node.lost = False
        fleet.add_node(node)

    def _matches_spec(self, node: Node, spec: UpstreamSpec) -> bool:
        rack = (spec.zone, spec.rack)
        return node.capacity == capacity_of(spec) and node.rack == rack

    def _upstream_leaving(self, upstream_id: str, now: float) -> None:
        node = self._state.fleet.node_by_id.get(upstream_id)
        if node is None or node.leaving:
            return
        node.leaving = True
        self._clear_node(node, now)
        for task in self._state.allocations.tasks_on(node):
            self._state.evacuee_zone_by_id[task.job.request_id] = node.zone

    def _upstream_down(self, upstream_id: str, now: float) -> None:
        node = self._state.fleet.node_by_id.get(upstream_id)
        if node is None or node.lost:
            return
        node.lost = True
        self._clear_node(node, now)

    def _clear_node(self, node: Node, now: float) -> None:
        """Remove guaranteed blocks, claims and the reservation from a node."""
        state = self._state
        state.layout.drop_node(node.node_id)
        for request_id, claim in list(state.allocations.claim_by_id.items()):
            if node.node_id in claim.members:
                state.release_claim(request_id, now)
        owner = state.reservations.owner(node)
        if owner is not None:
            # The job is retried and gets a new reservation if it does not fit.
            state.owners_to_retry.add(owner)
            state.reservations.drop_node(node.node_id)
        state.fleet.refresh(node)

    def _zone_changed(self, zone: str, in_service: bool, now: float) -> None:
        state = self._state
        if in_service == (zone not in state.fleet.out_of_service_zones):
            return
        if in_service:
            state.fleet.out_of_service_zones.discard(zone)
            state.fleet.refresh_zone(zone)
            state.zone_rate_limits.start_warm_up(zone, now)
            state.layout.retry_at_risk()
            state.freed_capacity.record_global_change()
            return
        state.fleet.out_of_service_zones.add(zone)
        state.zone_rate_limits.cancel_warm_up(zone)
        for node_id in sorted(state.fleet.ids_by_zone.get(zone, ())):
            node = state.fleet.node_by_id[node_id]
            self._clear_node(node, now)
            for task in state.allocations.tasks_on(node):
                state.evacuee_zone_by_id[task.job.request_id] = zone

    def _class_changed(self, name: str, spec: WorkClassSpec | None, now: float) -> None:
        state = self._state
        state.class_by_name.pop(name, None)
        if spec is not None:
            state.class_by_name[name] = spec
        for job in state.queue.jobs():
            if job.class_name == name:
                state.enqueue(job, now)

    def _account_changed(self, name: str, spec: ClientAccountSpec | None) -> None:
        state = self._state
        old = state.account_by_name.pop(name, None)
        if spec is not None:
            state.account_by_name[name] = spec
        before = old.guarantee if old is not None else ()
        after = spec.guarantee if spec is not None else ()
        if before != after:
            state.layout.set_guarantee(name, after)
            state.layout.retry_at_risk()
            state.freed_capacity.record_global_change()
        state.queue.retry_account(name)

    def _job_waiting(self, job: Job, now: float) -> None:
        state = self._state
        request_id = job.request_id
        task = state.allocations.task_by_id.get(request_id)
        if task is not None and (job.attempts is None or job.attempts < task.number):
            return
        if task is not None:
            self._end_task(request_id, now)
        if job.attempts is not None:
            state.next_number_by_id[request_id] = job.attempts + 1
        claim = state.allocations.claim_by_id.get(request_id)
        if claim is not None:
            claim.job = job
            claim.awaits_job = False
            return
        state.enqueue(job, now)

    def _job_removed(self, request_id: str) -> None:
        state = self._state
        state.queue.remove(request_id)
        state.next_number_by_id.pop(request_id, None)
        for node_id in state.reservations.drop(request_id):
            state.freed_capacity.record(node_id)
        if request_id in state.allocations.claim_by_id:
            state.allocations.drop_claim(request_id)

    def _attempt_placed(self, event: AttemptPlaced, now: float) -> None:
        state = self._state
        request_id = event.job.request_id
        task = state.allocations.task_by_id.get(request_id)
        if task is not None:
            if task.number > event.number:
                return
            if (task.number, task.upstream_ids) == (event.number, event.upstream_ids):
                return
            self._end_task(request_id, now)
        if request_id in state.allocations.claim_by_id:
            state.allocations.drop_claim(request_id)
        state.queue.remove(request_id)
        state.next_number_by_id[request_id] = event.number + 1
        task = self._make_task(event, now)
        state.allocations.start(task)
        for node in state.fleet.nodes(task.members):
            if node.leaving or node.zone in state.fleet.out_of_service_zones:
                state.evacuee_zone_by_id[request_id] = node.zone

    def _make_task(self, event: AttemptPlaced, now: float) -> Task:
        job = event.job
        kind = TaskKind.BORROWER if event.borrowed else TaskKind.HOME
        if not preemptible(job):
            kind = TaskKind.FIXED
        members = self._current_members(event)
        for node_id in members:
            self._state.layout.changed.append((job.client_account, node_id))
        return Task(
            job=job,
            number=event.number,
            upstream_ids=event.upstream_ids,
            members=members,
            kind=kind,
            urgent=self._state.urgent(job),
            placed_at=now if event.placed_at is None else event.placed_at,
        )

    def _current_members(self, event: AttemptPlaced) -> MemberCounts:
        members: MemberCounts = {}
        for index, node_id in enumerate(event.upstream_ids):
            node = self._state.fleet.node_by_id.get(node_id)
            if node is None:
                continue
            if event.incarnations and event.incarnations[index] != node.incarnation:
                continue
            members[node_id] = members.get(node_id, 0) + 1
        return members

    def _attempt_ended(self, event: AttemptEnded, now: float) -> None:
        task = self._state.allocations.task_by_id.get(event.request_id)
        if task is None or task.number != event.number:
            if event.job is not None:
                self._record_outcome(event.job, event, (), now)
            return
        self._record_outcome(task.job, event, task.upstream_ids, now)
        self._end_task(event.request_id, now)

    def _record_outcome(
        self, job: Job, event: AttemptEnded, ids: tuple[str, ...], now: float
    ) -> None:
        state = self._state
        match event.outcome:
            case "finished":
                state.predictor.record(
                    job.class_name, job.client_account, job.declared_run_s, event.run_s
                )
                for node_id in sorted(set(ids)):
                    if state.quarantine_manager.job_succeeded(node_id, job, now):
                        state.layout.retry_at_risk()
                        state.record_freed(state.fleet.node_by_id[node_id])
            case "failed":
                for node_id in event.failed_on:
                    if state.quarantine_manager.job_failed(node_id, job, now):
                        self._clear_node(state.fleet.node_by_id[node_id], now)

    def _end_task(self, request_id: str, now: float) -> None:
        state = self._state
        task = state.allocations.end(request_id)
        state.evacuee_zone_by_id.pop(request_id, None)
        state.ended_ids.append(request_id)
        account = task.job.client_account
        for node_id in task.members:
            state.layout.changed.append((account, node_id))
        if task.kind == TaskKind.FIXED and state.layout.at_risk:
            state.layout.retry_at_risk()
        spec = state.account_by_name.get(account)
        if spec is not None and spec.max_accelerators is not None:
            state.queue.retry_account(account)
