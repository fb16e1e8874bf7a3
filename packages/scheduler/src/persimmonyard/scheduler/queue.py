"""Queue of waiting jobs: the order of placement, and why each job waits."""

import heapq
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from persimmonyard.model import Shape
from persimmonyard.scheduler.allocations import preemptible
from persimmonyard.scheduler.decisions import Reason
from persimmonyard.scheduler.events import Job

__all__ = ["JobGroup", "SortKey", "WaitingQueue"]


class SortKey(NamedTuple):
    """Sort key of a waiting job: urgent ones first, then by latest start.

    ``tier`` is 0 for urgent jobs and 1 for all others.  Times are in seconds.
    """

    tier: int
    latest_start: float
    submitted_at: float
    request_id: str


class JobGroup(NamedTuple):
    """An equivalence class of waiting jobs: either all of them fit or none.

    The fields are what the placement of a job depends on.

    ``run_time_bucket`` is the bit length of the declared run time in seconds
    for non-preemptible jobs, because their backfilling depends on the run
    time.  It is 0 for preemptible jobs.
    """

    client_account: str
    class_name: str
    shape: Shape
    preemptible: bool
    run_time_bucket: int
    avoid: frozenset[str]


class _Entry(NamedTuple):
    job: Job
    sort_key: SortKey
    group: JobGroup


QUEUED = Reason("queued", "waits for its turn to be tried")


class WaitingQueue:
    """Waiting jobs, each ready, delayed until a time, or parked.

    A job that could not be placed is parked with the other jobs of its group.
    When capacity that the group may fit on was freed, its jobs are retried
    one at a time; the next one is retried only after the one before was
    placed or removed.
    """

    def __init__(self) -> None:
        self._entry_by_id: dict[str, _Entry] = {}
        self._ready_by_account: dict[str, list[SortKey]] = {}
        self._ready_ids: set[str] = set()
        self._delayed: list[tuple[float, str]] = []
        self._delayed_until_by_id: dict[str, float] = {}
        self._parked_by_group: dict[JobGroup, list[SortKey]] = {}
        self._parked_ids: set[str] = set()
        self._retried_id_by_group: dict[JobGroup, str] = {}
        self._reason_by_group: dict[JobGroup, Reason] = {}
        self._failed_position_by_group: dict[JobGroup, int] = {}
        self._rechecked_position_by_group: dict[JobGroup, int] = {}
        self._groups_to_recheck: deque[JobGroup] = deque()
        self._recheck_again = False

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entry_by_id

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def job(self, request_id: str) -> Job:
        """Return a waiting job."""
        return self._entry_by_id[request_id].job

    def group(self, request_id: str) -> JobGroup:
        """Return the group of a waiting job."""
        return self._entry_by_id[request_id].group

    def jobs(self) -> list[Job]:
        """Return all waiting jobs."""
        return [entry.job for entry in self._entry_by_id.values()]

    def add(self, job: Job, tier: int, latest_start: float, now: float) -> None:
        """Insert a job, or replace its entry.

        ``latest_start`` and ``now`` are in seconds.
        """
        self.remove(job.request_id)
        sort_key = SortKey(tier, latest_start, job.submitted_at, job.request_id)
        entry = _Entry(job, sort_key, _job_group(job))
        self._entry_by_id[job.request_id] = entry
        if job.not_before > now:
            self._delayed_until_by_id[job.request_id] = job.not_before
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
        heapq.heappush(heap, entry.sort_key)
        self._ready_ids.add(entry.job.request_id)

    def _park(self, entry: _Entry) -> None:
        heap = self._parked_by_group.setdefault(entry.group, [])
        heapq.heappush(heap, entry.sort_key)
        self._parked_ids.add(entry.job.request_id)

    def remove(self, request_id: str) -> None:
        """Remove a job; its heap entries are discarded lazily."""
        entry = self._entry_by_id.pop(request_id, None)
        if entry is None:
            return
        self._ready_ids.discard(request_id)
        self._parked_ids.discard(request_id)
        self._delayed_until_by_id.pop(request_id, None)
        if self._retried_id_by_group.get(entry.group) == request_id:
            del self._retried_id_by_group[entry.group]
            self.retry_group(entry.group)

    def release_delayed(self, now: float) -> None:
        """Enqueue the jobs whose delay has ended, as ready or parked."""
        while self._delayed and self._delayed[0][0] <= now:
            at, request_id = heapq.heappop(self._delayed)
            if self._delayed_until_by_id.get(request_id) != at:
                continue
            del self._delayed_until_by_id[request_id]
            self._enqueue(self._entry_by_id[request_id])

    def next_delayed_at(self) -> float | None:
        """Return when the next delayed job is due, ``None`` without one."""
        while self._delayed:
            at, request_id = self._delayed[0]
            if self._delayed_until_by_id.get(request_id) == at:
                return at
            heapq.heappop(self._delayed)
        return None

    def has_ready(self) -> bool:
        """Return whether any job is ready for a placement attempt."""
        return bool(self._ready_ids)

    def heads(self) -> list[tuple[SortKey, str]]:
        """Return the most urgent ready job of each account that has one."""
        found = []
        for account in list(self._ready_by_account):
            head = self.head(account)
            if head is not None:
                found.append((head, account))
        return found

    def head(self, account: str) -> SortKey | None:
        """Return the account's most urgent ready job."""
        heap = self._ready_by_account.get(account)
        while heap:
            request_id = heap[0].request_id
            entry = self._entry_by_id.get(request_id)
            if request_id in self._ready_ids and entry and entry.sort_key == heap[0]:
                return heap[0]
            heapq.heappop(heap)
        self._ready_by_account.pop(account, None)
        return None

    def park(
        self, request_id: str, reason: Reason, failed_position: int | None
    ) -> None:
        """Park a ready job with its group until the group is retried.

        ``failed_position`` is the position in the log of freed capacity at
        which the placement search failed, ``None`` if the job does not wait
        for capacity.
        """
        entry = self._entry_by_id[request_id]
        self._ready_ids.discard(request_id)
        if self._retried_id_by_group.get(entry.group) == request_id:
            del self._retried_id_by_group[entry.group]
        self._park(entry)
        self._reason_by_group[entry.group] = reason
        if failed_position is None:
            self._failed_position_by_group.pop(entry.group, None)
        else:
            self._failed_position_by_group[entry.group] = failed_position

    def repark(self, request_id: str, failed_position: int) -> None:
        """Park a retried job again, with the reason of its group."""
        group = self._entry_by_id[request_id].group
        self.park(request_id, self._reason_by_group.get(group, QUEUED), failed_position)

    def recheck_all(self) -> None:
        """Schedule a recheck of every parked group, urgent ones first.

        Called when capacity was freed.  If a recheck is under way, another
        one follows it.
        """
        if self._groups_to_recheck:
            self._recheck_again = True
            return
        self._recheck_again = False
        not_urgent = []
        for group, heap in self._parked_by_group.items():
            if heap and heap[0].tier == 0:
                self._groups_to_recheck.append(group)
            else:
                not_urgent.append(group)
        self._groups_to_recheck.extend(not_urgent)

    def recheck_pending(self) -> bool:
        """Return whether groups are left to be rechecked."""
        return bool(self._groups_to_recheck) or self._recheck_again

    def recheck_groups(
        self, may_fit: Callable[[JobGroup, int], bool], log_position: int, limit: int
    ) -> None:
        """Retry the parked groups that may fit on newly freed capacity.

        At most ``limit`` groups are rechecked.  ``may_fit`` is called with a
        group and the position in the log of freed capacity at which it last
        failed or was rechecked.  ``log_position`` is the current position.
        """
        for _ in range(limit):
            if not self._groups_to_recheck:
                if self._recheck_again:
                    self.recheck_all()
                return
            group = self._groups_to_recheck.popleft()
            if group not in self._parked_by_group or group in self._retried_id_by_group:
                continue
            since = self._rechecked_position_by_group.get(group, -1)
            since = max(since, self._failed_position_by_group.get(group, -1))
            if may_fit(group, since):
                self.retry_group(group)
                continue
            self._rechecked_position_by_group[group] = log_position

    def unpark(self, request_id: str) -> None:
        """Make one parked job ready, besides the retries of its group."""
        if request_id in self._parked_ids:
            self._parked_ids.discard(request_id)
            self._make_ready(self._entry_by_id[request_id])

    def failed_position(self, request_id: str) -> int | None:
        """Return the log position at which a retried job's group failed.

        It is ``None`` if the job is not the one that is retried for its
        group, or if the group did not fail for lack of capacity.
        """
        group = self._entry_by_id[request_id].group
        if self._retried_id_by_group.get(group) != request_id:
            return None
        return self._failed_position_by_group.get(group)

    def retry_account(self, account: str) -> None:
        """Retry each parked group of an account."""
        for group in list(self._parked_by_group):
            if group.client_account == account:
                self.retry_group(group)

    def retry_group(self, group: JobGroup) -> None:
        """Make the most urgent parked job of a group ready for a retry.

        Nothing changes while another job of the group is being retried.
        """
        if group in self._retried_id_by_group:
            return
        heap = self._parked_by_group.get(group, [])
        while heap:
            sort_key = heapq.heappop(heap)
            request_id = sort_key.request_id
            entry = self._entry_by_id.get(request_id)
            if request_id not in self._parked_ids or entry is None:
                continue
            if entry.sort_key != sort_key:
                continue
            self._parked_ids.discard(request_id)
            self._retried_id_by_group[group] = request_id
            self._make_ready(entry)
            break
        if not heap:
            self._parked_by_group.pop(group, None)
            self._rechecked_position_by_group.pop(group, None)
            if group not in self._retried_id_by_group:
                self._reason_by_group.pop(group, None)
                self._failed_position_by_group.pop(group, None)

    def waiting_reason(self, request_id: str) -> Reason | None:
        """Return why a job waits, ``None`` if it is not in the queue."""
        entry = self._entry_by_id.get(request_id)
        if entry is None:
            return None
        delayed_until = self._delayed_until_by_id.get(request_id)
        if delayed_until is not None:
            return Reason(
                "backoff", f"waits until {delayed_until:.1f} before it is tried"
            )
        if request_id in self._parked_ids:
            return self._reason_by_group.get(entry.group, QUEUED)
        if self._retried_id_by_group.get(entry.group) == request_id:
            return self._reason_by_group.get(entry.group, QUEUED)
        return QUEUED


def _job_group(job: Job) -> JobGroup:
    bucket = 0
    if not preemptible(job):
        bucket = int(job.declared_run_s).bit_length()
    return JobGroup(
        job.client_account,
        job.class_name,
        job.shape,
        preemptible(job),
        bucket,
        job.avoid,
    )
