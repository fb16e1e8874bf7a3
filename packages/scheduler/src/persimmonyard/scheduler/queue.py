"""Waiting jobs: who is tried next, and who waits for what."""

import heapq
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from persimmonyard.model import Shape
from persimmonyard.scheduler.decisions import Reason
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.work import stoppable

__all__ = ["GroupKey", "Urgency", "WaitingQueue"]


class Urgency(NamedTuple):
    """Order of jobs: urgent ones first, then by the latest start."""

    tier: int
    latest_start: float
    submitted_at: float
    request_id: str


class GroupKey(NamedTuple):
    """Jobs with equal keys fit, or do not fit, alike.

    ``run_level`` is a power of two of the declared seconds: work that cannot
    be stopped is backfilled by its run time.
    """

    client_account: str
    class_name: str
    shape: Shape
    stoppable: bool
    run_level: int
    avoid: frozenset[str]


class _Entry(NamedTuple):
    job: Job
    urgency: Urgency
    group: GroupKey


QUEUED = Reason("queued", "waits for its turn to be tried")


class WaitingQueue:
    """Jobs are ready, delayed until a time, or parked with their group.

    Of a parked group one job is tried at a time; the others follow when it
    was placed.
    """

    def __init__(self) -> None:
        self._entry_by_id: dict[str, _Entry] = {}
        self._ready_by_account: dict[str, list[Urgency]] = {}
        self._ready_ids: set[str] = set()
        self._delayed: list[tuple[float, str]] = []
        self._delay_by_id: dict[str, float] = {}
        self._parked_by_group: dict[GroupKey, list[Urgency]] = {}
        self._parked_ids: set[str] = set()
        self._probes_by_group: dict[GroupKey, str] = {}
        self._reason_by_group: dict[GroupKey, Reason] = {}
        self._failed_at_by_group: dict[GroupKey, int] = {}
        self._compared_at_by_group: dict[GroupKey, int] = {}
        self._to_compare: deque[GroupKey] = deque()
        self._compare_again = False

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entry_by_id

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def job(self, request_id: str) -> Job:
        """Return a waiting job."""
        return self._entry_by_id[request_id].job

    def group(self, request_id: str) -> GroupKey:
        """Return the group of a waiting job."""
        return self._entry_by_id[request_id].group

    def jobs(self) -> list[Job]:
        """Return all waiting jobs."""
        return [entry.job for entry in self._entry_by_id.values()]

    def add(self, job: Job, tier: int, latest_start: float, now: float) -> None:
        """Insert a job, or replace what is known of it."""
        self.remove(job.request_id)
        urgency = Urgency(tier, latest_start, job.submitted_at, job.request_id)
        entry = _Entry(job, urgency, _group_of(job))
        self._entry_by_id[job.request_id] = entry
        if job.not_before > now:
            self._delay_by_id[job.request_id] = job.not_before
            heapq.heappush(self._delayed, (job.not_before, job.request_id))
            return
        self._enqueue(entry)

    def _enqueue(self, entry: _Entry) -> None:
        if self._parked_by_group.get(entry.group):
            self._park(entry)
            return
        self._make_ready(entry)

    def _make_ready(self, entry: _Entry) -> None:
        heap = self._ready_by_account.setdefault(entry.job.client_account, [])
        heapq.heappush(heap, entry.urgency)
        self._ready_ids.add(entry.job.request_id)

    def _park(self, entry: _Entry) -> None:
        heap = self._parked_by_group.setdefault(entry.group, [])
        heapq.heappush(heap, entry.urgency)
        self._parked_ids.add(entry.job.request_id)

    def remove(self, request_id: str) -> None:
        """Take a job out; heaps drop it when they come across it."""
        entry = self._entry_by_id.pop(request_id, None)
        if entry is None:
            return
        self._ready_ids.discard(request_id)
        self._parked_ids.discard(request_id)
        self._delay_by_id.pop(request_id, None)
        if self._probes_by_group.get(entry.group) == request_id:
            del self._probes_by_group[entry.group]
            self.wake_group(entry.group)

    def due(self, now: float) -> None:
        """Make ready what was delayed until now."""
        while self._delayed and self._delayed[0][0] <= now:
            at, request_id = heapq.heappop(self._delayed)
            if self._delay_by_id.get(request_id) != at:
                continue
            del self._delay_by_id[request_id]
            self._enqueue(self._entry_by_id[request_id])

    def next_due(self) -> float | None:
        """Return when the next delayed job becomes ready."""
        while self._delayed:
            at, request_id = self._delayed[0]
            if self._delay_by_id.get(request_id) == at:
                return at
            heapq.heappop(self._delayed)
        return None

    def any_ready(self) -> bool:
        """Return whether any job is to be tried."""
        return bool(self._ready_ids)

    def accounts(self) -> list[tuple[Urgency, str]]:
        """Return the accounts with ready jobs, each with its first job."""
        heads = []
        for account in list(self._ready_by_account):
            head = self.head(account)
            if head is not None:
                heads.append((head, account))
        return heads

    def head(self, account: str) -> Urgency | None:
        """Return the account's most urgent ready job."""
        heap = self._ready_by_account.get(account)
        while heap:
            request_id = heap[0].request_id
            entry = self._entry_by_id.get(request_id)
            if request_id in self._ready_ids and entry and entry.urgency == heap[0]:
                return heap[0]
            heapq.heappop(heap)
        self._ready_by_account.pop(account, None)
        return None

    def park(self, request_id: str, reason: Reason, failed_at: int | None) -> None:
        """Set a ready job aside, with its group, until it is woken.

        ``failed_at`` numbers the log of freed capacity at its failed search;
        ``None`` if it waits for something else.
        """
        entry = self._entry_by_id[request_id]
        self._ready_ids.discard(request_id)
        if self._probes_by_group.get(entry.group) == request_id:
            del self._probes_by_group[entry.group]
        self._park(entry)
        self._reason_by_group[entry.group] = reason
        if failed_at is None:
            self._failed_at_by_group.pop(entry.group, None)
        else:
            self._failed_at_by_group[entry.group] = failed_at

    def park_again(self, request_id: str, failed_at: int) -> None:
        """Set a probe aside again, for the reason that its group has."""
        group = self._entry_by_id[request_id].group
        self.park(request_id, self._reason_by_group.get(group, QUEUED), failed_at)

    def compare_all(self) -> None:
        """Note that capacity has come free: compare every parked group."""
        if self._to_compare:
            self._compare_again = True
            return
        self._compare_again = False
        later = []
        for group, heap in self._parked_by_group.items():
            if heap and heap[0].tier == 0:
                self._to_compare.append(group)
            else:
                later.append(group)
        self._to_compare.extend(later)

    def comparing(self) -> bool:
        """Return whether groups are left to be compared."""
        return bool(self._to_compare) or self._compare_again

    def wake(
        self, could_help: Callable[[GroupKey, int], bool], number: int, limit: int
    ) -> None:
        """Make one job ready of each group that freed capacity could help.

        At most ``limit`` groups are compared.  ``could_help`` gets the number
        of the log of freed capacity that a group has failed or was compared
        at; ``number`` is the present one.
        """
        for _ in range(limit):
            if not self._to_compare:
                if self._compare_again:
                    self.compare_all()
                return
            group = self._to_compare.popleft()
            if group not in self._parked_by_group or group in self._probes_by_group:
                continue
            since = self._compared_at_by_group.get(group, -1)
            since = max(since, self._failed_at_by_group.get(group, -1))
            if could_help(group, since):
                self.wake_group(group)
                continue
            self._compared_at_by_group[group] = number

    def wake_job(self, request_id: str) -> None:
        """Make one parked job ready."""
        if request_id in self._parked_ids:
            self._parked_ids.discard(request_id)
            self._make_ready(self._entry_by_id[request_id])

    def failed_at(self, request_id: str) -> int | None:
        """Return when a probe's group last failed, ``None`` for other jobs."""
        group = self._entry_by_id[request_id].group
        if self._probes_by_group.get(group) != request_id:
            return None
        return self._failed_at_by_group.get(group)

    def wake_account(self, account: str) -> None:
        """Make one job ready of each group of an account."""
        for group in list(self._parked_by_group):
            if group.client_account == account:
                self.wake_group(group)

    def wake_group(self, group: GroupKey) -> None:
        """Make the most urgent parked job of a group ready."""
        if group in self._probes_by_group:
            return
        heap = self._parked_by_group.get(group, [])
        while heap:
            urgency = heapq.heappop(heap)
            request_id = urgency.request_id
            entry = self._entry_by_id.get(request_id)
            if request_id not in self._parked_ids or entry is None:
                continue
            if entry.urgency != urgency:
                continue
            self._parked_ids.discard(request_id)
            self._probes_by_group[group] = request_id
            self._make_ready(entry)
            break
        if not heap:
            self._parked_by_group.pop(group, None)
            self._compared_at_by_group.pop(group, None)
            if group not in self._probes_by_group:
                self._reason_by_group.pop(group, None)
                self._failed_at_by_group.pop(group, None)

    def waiting_reason(self, request_id: str) -> Reason | None:
        """Return why a job waits, ``None`` if it does not wait."""
        entry = self._entry_by_id.get(request_id)
        if entry is None:
            return None
        delay = self._delay_by_id.get(request_id)
        if delay is not None:
            return Reason("backoff", f"waits until {delay:.1f} before it is tried")
        if request_id in self._parked_ids:
            return self._reason_by_group.get(entry.group, QUEUED)
        if self._probes_by_group.get(entry.group) == request_id:
            return self._reason_by_group.get(entry.group, QUEUED)
        return QUEUED


def _group_of(job: Job) -> GroupKey:
    level = 0
    if not stoppable(job):
        level = int(job.declared_run_s).bit_length()
    return GroupKey(
        job.client_account,
        job.class_name,
        job.shape,
        stoppable(job),
        level,
        job.avoid,
    )
