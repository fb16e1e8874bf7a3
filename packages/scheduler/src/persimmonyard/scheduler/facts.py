"""What each observed event changes in the scheduler's books."""

from persimmonyard.model import ClassSpec, ClientAccountSpec, UpstreamSpec
from persimmonyard.scheduler.books import Books
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
from persimmonyard.scheduler.placement import Members
from persimmonyard.scheduler.vector import add, capacity_of, subtract
from persimmonyard.scheduler.work import Kind, Task, stoppable

__all__ = ["Facts"]


class Facts:
    """Apply events to the books; late and duplicate events change nothing."""

    def __init__(self, books: Books) -> None:
        self._books = books

    def observe(self, event: Event, now: float) -> None:
        """Apply one event."""
        match event:
            case UpstreamUp(spec, quarantined_until):
                self._upstream_up(spec, now)
                node = self._books.fleet.node_by_id[spec.upstream_id]
                if self._books.quarantine_manager.restore(node, quarantined_until, now):
                    self._withdraw(node, now)
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
                self._job_gone(request_id)
            case AttemptPlaced():
                self._attempt_placed(event, now)
            case AttemptRunning(request_id, number, since):
                task = self._books.work.task_by_id.get(request_id)
                if task is not None and task.number == number:
                    task.since = since
            case AttemptEnded():
                self._attempt_ended(event, now)

    # Upstreams and zones.

    def _upstream_up(self, spec: UpstreamSpec, now: float) -> None:
        books = self._books
        node = books.fleet.node_by_id.get(spec.upstream_id)
        if node is None:
            node = Node(spec)
            books.fleet.add_node(node)
        elif node.incarnation != spec.incarnation:
            node = self._replace(node, spec, now)
        elif self._is_as_announced(node, spec):
            if not (node.leaving or node.lost):
                return
            node.leaving = False
            node.lost = False
            books.fleet.refresh(node)
        else:
            self._change(node, spec, now)
        books.fleet_changed()
        books.note_freed(node)
        books.layout.capacity_grew()

    def _replace(self, old: Node, spec: UpstreamSpec, now: float) -> Node:
        self._withdraw(old, now)
        self._books.work.detach(old)
        self._books.fleet.forget(old)
        node = Node(spec)
        node.quarantined = old.quarantined
        node.probing = old.probing
        self._books.fleet.add_node(node)
        return node

    def _change(self, node: Node, spec: UpstreamSpec, now: float) -> None:
        """Take over new figures of the same start of an upstream."""
        fleet = self._books.fleet
        self._withdraw(node, now)
        fleet.forget(node)
        fleet.ids_by_zone[node.zone].discard(node.node_id)
        fleet.ids_by_rack[node.rack].discard(node.node_id)
        node.zone = spec.zone
        node.rack = (spec.zone, spec.rack)
        grown = subtract(capacity_of(spec), node.capacity)
        node.capacity = capacity_of(spec)
        node.free = add(node.free, grown)
        node.leaving = False
        node.lost = False
        fleet.add_node(node)

    def _is_as_announced(self, node: Node, spec: UpstreamSpec) -> bool:
        place = (spec.zone, spec.rack)
        return node.capacity == capacity_of(spec) and node.rack == place

    def _upstream_leaving(self, upstream_id: str, now: float) -> None:
        node = self._books.fleet.node_by_id.get(upstream_id)
        if node is None or node.leaving:
            return
        node.leaving = True
        self._withdraw(node, now)
        for task in self._books.work.tasks_on(node):
            self._books.evacuee_zone_by_id[task.job.request_id] = node.zone

    def _upstream_down(self, upstream_id: str, now: float) -> None:
        node = self._books.fleet.node_by_id.get(upstream_id)
        if node is None or node.lost:
            return
        node.lost = True
        self._withdraw(node, now)

    def _withdraw(self, node: Node, now: float) -> None:
        """Take cells, claims and holds off an upstream."""
        books = self._books
        books.layout.drop_node(node.node_id)
        for request_id, claim in list(books.work.claim_by_id.items()):
            if node.node_id in claim.members:
                books.give_up_claim(request_id, now)
        holder = books.holds.owner(node)
        if holder is not None:
            # Its job is tried again, and gets another hold if it fails.
            books.holders.add(holder)
            books.holds.drop_node(node.node_id)
        books.fleet.refresh(node)

    def _zone_changed(self, zone: str, in_service: bool, now: float) -> None:
        books = self._books
        if in_service == (zone not in books.fleet.closed_zones):
            return
        if in_service:
            books.fleet.closed_zones.discard(zone)
            books.fleet.refresh_zone(zone)
            books.pace.opened(zone, now)
            books.layout.capacity_grew()
            books.freed.note_everywhere()
            return
        books.fleet.closed_zones.add(zone)
        books.pace.closed(zone)
        for node_id in sorted(books.fleet.ids_by_zone.get(zone, ())):
            node = books.fleet.node_by_id[node_id]
            self._withdraw(node, now)
            for task in books.work.tasks_on(node):
                books.evacuee_zone_by_id[task.job.request_id] = zone

    # Configuration.

    def _class_changed(self, name: str, spec: ClassSpec | None, now: float) -> None:
        books = self._books
        books.class_by_name.pop(name, None)
        if spec is not None:
            books.class_by_name[name] = spec
        for job in books.queue.jobs():
            if job.class_name == name:
                books.enqueue(job, now)

    def _account_changed(self, name: str, spec: ClientAccountSpec | None) -> None:
        books = self._books
        old = books.account_by_name.pop(name, None)
        if spec is not None:
            books.account_by_name[name] = spec
        before = old.guarantee if old is not None else ()
        after = spec.guarantee if spec is not None else ()
        if before != after:
            books.layout.set_guarantee(name, after)
            books.layout.capacity_grew()
            books.freed.note_everywhere()
        books.queue.wake_account(name)

    # Requests and attempts.

    def _job_waiting(self, job: Job, now: float) -> None:
        books = self._books
        request_id = job.request_id
        task = books.work.task_by_id.get(request_id)
        if task is not None and (job.attempts is None or job.attempts < task.number):
            return
        if task is not None:
            self._end(request_id, now)
        if job.attempts is not None:
            books.next_number_by_id[request_id] = job.attempts + 1
        claim = books.work.claim_by_id.get(request_id)
        if claim is not None:
            claim.job = job
            claim.awaits_job = False
            return
        books.enqueue(job, now)

    def _job_gone(self, request_id: str) -> None:
        books = self._books
        books.queue.remove(request_id)
        books.next_number_by_id.pop(request_id, None)
        for node_id in books.holds.drop(request_id):
            books.freed.note(node_id)
        if request_id in books.work.claim_by_id:
            books.work.drop_claim(request_id)

    def _attempt_placed(self, event: AttemptPlaced, now: float) -> None:
        books = self._books
        request_id = event.job.request_id
        task = books.work.task_by_id.get(request_id)
        if task is not None:
            if task.number > event.number:
                return
            if (task.number, task.upstream_ids) == (event.number, event.upstream_ids):
                return
            self._end(request_id, now)
        if request_id in books.work.claim_by_id:
            books.work.drop_claim(request_id)
        books.queue.remove(request_id)
        books.next_number_by_id[request_id] = event.number + 1
        task = self._task_of(event, now)
        books.work.start(task)
        for node in books.fleet.nodes(task.members):
            if node.leaving or node.zone in books.fleet.closed_zones:
                books.evacuee_zone_by_id[request_id] = node.zone

    def _task_of(self, event: AttemptPlaced, now: float) -> Task:
        job = event.job
        kind = Kind.BORROWER if event.borrowed else Kind.HOME
        if not stoppable(job):
            kind = Kind.FIXED
        members = self._present_members(event)
        for node_id in members:
            self._books.layout.moved.append((job.client_account, node_id))
        return Task(
            job=job,
            number=event.number,
            upstream_ids=event.upstream_ids,
            members=members,
            kind=kind,
            urgent=self._books.urgent(job),
            placed_at=now if event.placed_at is None else event.placed_at,
        )

    def _present_members(self, event: AttemptPlaced) -> Members:
        members: Members = {}
        for index, node_id in enumerate(event.upstream_ids):
            node = self._books.fleet.node_by_id.get(node_id)
            if node is None:
                continue
            if event.incarnations and event.incarnations[index] != node.incarnation:
                continue
            members[node_id] = members.get(node_id, 0) + 1
        return members

    def _attempt_ended(self, event: AttemptEnded, now: float) -> None:
        task = self._books.work.task_by_id.get(event.request_id)
        if task is None or task.number != event.number:
            if event.job is not None:
                self._note_outcome(event.job, event, (), now)
            return
        self._note_outcome(task.job, event, task.upstream_ids, now)
        self._end(event.request_id, now)

    def _note_outcome(
        self, job: Job, event: AttemptEnded, ids: tuple[str, ...], now: float
    ) -> None:
        books = self._books
        match event.outcome:
            case "finished":
                books.predictor.record(
                    job.class_name, job.client_account, job.declared_run_s, event.run_s
                )
                for node_id in sorted(set(ids)):
                    if books.quarantine_manager.job_succeeded(node_id, job, now):
                        books.layout.capacity_grew()
                        books.note_freed(books.fleet.node_by_id[node_id])
            case "failed":
                for node_id in event.failed_on:
                    if books.quarantine_manager.job_failed(node_id, job, now):
                        self._withdraw(books.fleet.node_by_id[node_id], now)

    def _end(self, request_id: str, now: float) -> None:
        books = self._books
        task = books.work.end(request_id)
        books.evacuee_zone_by_id.pop(request_id, None)
        books.ended.append(request_id)
        account = task.job.client_account
        for node_id in task.members:
            books.layout.moved.append((account, node_id))
        if task.kind == Kind.FIXED and books.layout.at_risk:
            books.layout.capacity_grew()
        spec = books.account_by_name.get(account)
        if spec is not None and spec.max_accelerators is not None:
            books.queue.wake_account(account)
