"""The replicated state machine of jobs: applies commands in log order.

Load pattern: upstreams are cut off, or answers are lost, while gangs end.  The
members of a gang end as done together, so that one such end completes the
gang; a job does not wait until the ends of all others are known.
"""

from collections.abc import Callable, Iterator

import msgspec

from persimmonyard.decisions import (
    BudgetFull,
    FitsBudget,
    JobRate,
    NeverFits,
    OverLimit,
)
from persimmonyard.jobs.account_rates import AccountRates
from persimmonyard.jobs.account_usage import AccountUsage
from persimmonyard.jobs.changes import Change, JobEnded, RunPlaced, TaskEnded
from persimmonyard.jobs.commands import (
    Answer,
    CancelJob,
    Command,
    EndRuns,
    ExpireJobs,
    ForgetUpstreams,
    NoteDoubts,
    NotedSpeed,
    NoteSilence,
    NoteSpeeds,
    NoteUpstreams,
    OpenOccurrences,
    Placement,
    PlaceRuns,
    PutConfiguration,
    RunEnd,
    RunSilence,
    SetZone,
    SubmitJob,
    decode_command,
)
from persimmonyard.jobs.configuration import JobConfiguration, Route
from persimmonyard.jobs.crash_accounting import CrashAccounting
from persimmonyard.jobs.crashes import UpstreamCrash
from persimmonyard.jobs.fleet import UpstreamReport
from persimmonyard.jobs.model import (
    Job,
    TaskEnd,
    TaskKey,
    UnitKey,
)
from persimmonyard.jobs.noted_doubts import EndDoubt, NotedDoubts
from persimmonyard.jobs.noted_speeds import NotedSpeeds
from persimmonyard.jobs.records import JobRecord, SeatRecord, Unit, UnitStatus
from persimmonyard.jobs.service_capacities import ServiceCapacities
from persimmonyard.jobs.waiting_units import StepKey, WaitingByStep
from persimmonyard.jobs.withdrawn_jobs import Withdrawn, WithdrawnJob, WithdrawnJobs
from persimmonyard.jobs.work_usage import WorkUsage, job_bytes, occurrence_bytes

__all__ = ["JobStore"]

# Attempts of jobs whose work class was configured neither at their acceptance
# nor now.
_FALLBACK_ATTEMPTS = 3
# What a command returns: whether it changed anything, the identifiers of jobs
# that failed, or why a job was not accepted.
CommandResult = bool | tuple[str, ...] | BudgetFull | NeverFits | Withdrawn
# A command opens no further occurrence once it has created this many tasks,
# because the leader sends no heartbeats meanwhile.
_MAX_OPENED_TASKS = 4_000
# Reports of at most this many silent upstreams are kept.
_MAX_SILENT_REPORTS = 1_000


class _Snapshot(msgspec.Struct):
    """The encoded form of the whole state."""

    configuration: JobConfiguration | None
    zones_out: list[str]
    jobs: list[JobRecord]
    upstreams: list[UpstreamReport] = []
    crashes: list[UpstreamCrash] = []
    silent_upstreams: list[UpstreamReport] = []
    account_rates: dict[str, JobRate] = {}
    speeds: list[NotedSpeed] = []
    withdrawn: list[WithdrawnJob] = []
    doubts: list[EndDoubt] = []


class JobStore:
    """State machine with the configuration, the jobs and the placed runs.

    It is deterministic: the same commands in the same order lead to the same
    state.  It implements the state machine interface of the replicated log.

    Observers get the changes that a command has made once it is executed, so
    that what follows from it does not depend on who proposed it.  They are not
    part of the state and must not raise errors.
    """

    def __init__(self) -> None:
        self.configuration: JobConfiguration | None = None
        self.zones_out: set[str] = set()
        self.job_by_id: dict[str, JobRecord] = {}
        # The last committed report of each upstream, without the fields that
        # change with every heartbeat.
        self.report_by_upstream: dict[str, UpstreamReport] = {}
        self.noted_speeds = NotedSpeeds(self.report_by_upstream)
        # The last report of each upstream that is silent, by its address.
        self.silent_report_by_address: dict[str, UpstreamReport] = {}
        # The capacities of the reports in both of these.
        self.service_capacities = ServiceCapacities()
        self.seats_by_upstream: dict[str, dict[tuple[TaskKey, int], SeatRecord]] = {}
        # What each client account has running, and its limit.
        self.account_usage = AccountUsage()
        self._account_rates = AccountRates()
        self._route_by_name: dict[str, Route] = {}
        self._account_by_key: dict[str, str] = {}
        self._waiting = WaitingByStep()
        # What the jobs take in memory, and those with further occurrences.
        self.work_usage = WorkUsage()
        self._record_by_schedule: dict[str, JobRecord] = {}
        self.withdrawn_jobs = WithdrawnJobs()
        self.noted_doubts = NotedDoubts()
        self._crash_accounting = CrashAccounting(self)
        self._observers: list[Callable[[list[Change]], None]] = []
        # The changes that the current command has made.
        self._changes: list[Change] = []

    def add_observer(self, observer: Callable[[list[Change]], None]) -> None:
        """Call ``observer`` with the changes that each command makes."""
        self._observers.append(observer)

    def remove_observer(self, observer: Callable[[list[Change]], None]) -> None:
        """Stop calling an observer; one that was not added is ignored."""
        if observer in self._observers:
            self._observers.remove(observer)

    def apply(self, index: int, entry: bytes) -> CommandResult:
        """Apply a log entry; return the result of its command."""
        return self.execute(decode_command(entry))

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        snapshot_data = _Snapshot(
            self.configuration,
            sorted(self.zones_out),
            list(self.job_by_id.values()),
            list(self.report_by_upstream.values()),
            self._crash_accounting.recent_crashes(),
            list(self.silent_report_by_address.values()),
            self._account_rates.rate_by_account,
            self.noted_speeds.all(),
            self.withdrawn_jobs.all(),
            self.noted_doubts.all(),
        )
        return msgspec.msgpack.encode(snapshot_data)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        snapshot_data = msgspec.msgpack.decode(data, type=_Snapshot)
        self.configuration = snapshot_data.configuration
        self.zones_out = set(snapshot_data.zones_out)
        self.job_by_id = {record.job.job_id: record for record in snapshot_data.jobs}
        self.report_by_upstream = {
            report.upstream_id: report for report in snapshot_data.upstreams
        }
        self.noted_speeds = NotedSpeeds(self.report_by_upstream, snapshot_data.speeds)
        self.silent_report_by_address = {
            report.address: report for report in snapshot_data.silent_upstreams
        }
        self.service_capacities = ServiceCapacities(
            [*self.report_by_upstream.values(), *self.silent_report_by_address.values()]
        )
        self.seats_by_upstream = {}
        self.account_usage.clear()
        self._account_rates.rate_by_account = snapshot_data.account_rates
        self.withdrawn_jobs = WithdrawnJobs(snapshot_data.withdrawn)
        self.noted_doubts = NotedDoubts(snapshot_data.doubts)
        self._waiting = WaitingByStep()
        self.work_usage = WorkUsage()
        self._record_by_schedule = {}
        self._crash_accounting = CrashAccounting(self, snapshot_data.crashes)
        self._index_configuration()
        for record in snapshot_data.jobs:
            self._index_job(record)

    def _index_job(self, record: JobRecord) -> None:
        record.adopt_earlier_form()
        self.work_usage.restore(record)
        self._index_schedule(record)
        for key, unit in record.units.items():
            if unit.status == UnitStatus.WAITING and record.is_active():
                self._waiting.add(key, unit)
            for seat_record in unit.seats:
                if seat_record.end is None:
                    self._index_seat(record, key, unit.run, seat_record)
            if unit.lost_seats and record.is_active():
                self._crash_accounting.index_lost_seats(key, unit)

    def _index_schedule(self, record: JobRecord) -> None:
        if record.next_due_ms() is not None:
            self._record_by_schedule[record.job.job_id] = record
        else:
            self._record_by_schedule.pop(record.job.job_id, None)

    def execute(self, command: Command) -> CommandResult:
        """Execute a command; return whether it changed anything.

        ``NoteUpstreams`` returns the identifiers of the jobs that it made
        fail, because a task of theirs crashes upstreams, and ``SubmitJob`` why
        a job was not accepted.
        """
        self._changes = []
        result = self._execute(command)
        if self._changes:
            for observer in list(self._observers):
                observer(self._changes)
        return result

    def _execute(self, command: Command) -> CommandResult:
        match command:
            case PutConfiguration(configuration):
                return self._put_configuration(configuration)
            case SetZone(zone, out):
                if out:
                    self.zones_out.add(zone)
                else:
                    self.zones_out.discard(zone)
                return True
            case SubmitJob(job, budget):
                return self._submit(job, budget)
            case OpenOccurrences(at_ms, budget):
                return self._open_occurrences(at_ms, budget)
            case CancelJob(job_id, at_ms, account):
                return self._cancel(job_id, at_ms, account)
            case PlaceRuns(placements, at_ms):
                for placement in placements:
                    self._place(placement, at_ms)
                return True
            case EndRuns(ends, at_ms):
                for end in ends:
                    self._end_task(end, at_ms)
                return True
            case ExpireJobs(job_ids):
                for job_id in job_ids:
                    self._forget_job(job_id)
                return True
            case NoteSilence(runs, answers):
                for answer in answers:
                    self._note_answer(answer)
                for run_silence in runs:
                    self._note_silence(run_silence)
                return True
            case NoteDoubts(doubts):
                for doubt in doubts:
                    self.noted_doubts.note(doubt)
                return True
            case NoteSpeeds(speeds):
                for speed in speeds:
                    self.noted_speeds.note(speed)
                return True
            case NoteUpstreams(reports, at_ms):
                failed_ids: list[str] = []
                for report in reports:
                    failed_ids += self._note_upstream(report, at_ms)
                return tuple(failed_ids)
            case ForgetUpstreams(upstream_ids):
                for upstream_id in upstream_ids:
                    self._forget_upstream(upstream_id)
                return True

    def _put_configuration(self, configuration: JobConfiguration) -> bool:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self._index_configuration()
        return True

    def _index_configuration(self) -> None:
        self._route_by_name = {}
        self._account_by_key = {}
        self.account_usage.set_configuration(self.configuration)
        self._account_rates.set_configuration(self.configuration)
        if self.configuration is None:
            return
        for route in self.configuration.routes:
            self._route_by_name[route.name] = route
        for account in self.configuration.accounts:
            for key in account.keys:
                self._account_by_key[key] = account.name

    def _note_upstream(self, report: UpstreamReport, at_ms: int) -> list[str]:
        """Store a report; return the jobs that fail because of a crash."""
        known = self.report_by_upstream.get(report.upstream_id)
        if known is not None and known.incarnation > report.incarnation:
            return []
        if known is not None and known.incarnation == report.incarnation:
            # A departure is final for an incarnation; an outdated report must
            # not cancel it.
            report = report._replace(leaving=report.leaving or known.leaving)
        if known is not None and known.incarnation == report.incarnation:
            self._put_report(report)
            return []
        if self._has_successor(report):
            return []
        crashed = self._crash_accounting.crashed_before(report)
        for upstream_id, other in list(self.report_by_upstream.items()):
            if other.address == report.address:
                self._pop_report(upstream_id)
                self.noted_speeds.forget(upstream_id)
        self._pop_silent_report(report.address)
        self._put_report(report)
        return self._crash_accounting.record_incarnation(report, crashed, at_ms)

    def _note_silence(self, noted: RunSilence) -> None:
        record = self.job_by_id.get(noted.key.job_id)
        unit = record.find_unit(noted.key) if record is not None else None
        if unit is None or unit.run != noted.run:
            return
        for seat_record in unit.seats:
            if seat_record.seat.task == noted.task and seat_record.end is None:
                seat_record.silence = noted.silence

    def _note_answer(self, answer: Answer) -> None:
        for seat_record in self._seats_on(answer):
            seat_record.silence = None
        self._crash_accounting.forget_lost_seats(answer)

    def _seats_on(self, answer: Answer) -> list[SeatRecord]:
        seats = self.seats_by_upstream.get(answer.upstream_id, {}).values()
        return [
            seat_record
            for seat_record in seats
            if seat_record.seat.incarnation == answer.incarnation
        ]

    def is_voided_by(self, answer: Answer) -> bool:
        """Return whether an answer voids what is recorded of a silence."""
        for seat_record in self._seats_on(answer):
            if seat_record.silence is not None:
                return True
        return self._crash_accounting.has_lost_seats(answer)

    def _forget_upstream(self, upstream_id: str) -> None:
        """Delete a report, and keep it apart unless the upstream was leaving.

        If the upstream has crashed, its successor shows this later.
        """
        report = self._pop_report(upstream_id)
        self.noted_speeds.forget(upstream_id)
        if report is None or report.leaving:
            return
        self._pop_silent_report(report.address)
        self.silent_report_by_address[report.address] = report
        self.service_capacities.add(report)
        if len(self.silent_report_by_address) > _MAX_SILENT_REPORTS:
            self._pop_silent_report(next(iter(self.silent_report_by_address)))

    def _put_report(self, report: UpstreamReport) -> None:
        # The report replaces the last one in its place: the order of reports
        # is part of the state.
        known = self.report_by_upstream.get(report.upstream_id)
        self.service_capacities.discard(known)
        self.report_by_upstream[report.upstream_id] = report
        self.service_capacities.add(report)

    def _pop_report(self, upstream_id: str) -> UpstreamReport | None:
        report = self.report_by_upstream.pop(upstream_id, None)
        self.service_capacities.discard(report)
        return report

    def _pop_silent_report(self, address: str) -> None:
        report = self.silent_report_by_address.pop(address, None)
        self.service_capacities.discard(report)

    def _has_successor(self, report: UpstreamReport) -> bool:
        """Return whether a later upstream has reported from the address."""
        for other in self.report_by_upstream.values():
            if other.address != report.address:
                continue
            if other.incarnation > report.incarnation:
                return True
        return False

    def refusal_of(
        self, job: Job, budget: int
    ) -> BudgetFull | NeverFits | Withdrawn | None:
        """Return why a job is not accepted, or None.

        Without a ``budget`` in bytes, which is 0 then, all jobs fit.
        """
        if job.job_id in self.withdrawn_jobs:
            return Withdrawn()
        if not budget:
            return None
        needed = job_bytes(job) + occurrence_bytes(job)
        match self.work_usage.decide(budget, job, needed):
            case FitsBudget():
                return None
            case reason:
                return reason

    def _submit(self, job: Job, budget: int) -> CommandResult:
        if job.job_id in self.job_by_id:
            return False
        refusal = self.refusal_of(job, budget)
        if refusal is not None:
            return refusal
        record = JobRecord(job, self._route_by_name.get(job.route), opened=0)
        record.beyond_rate = self._account_rates.count_job(job)
        self.job_by_id[job.job_id] = record
        if not job.has_schedule():
            self._open_occurrence(record)
        self._index_schedule(record)
        self.work_usage.update(record)
        return True

    def _open_occurrence(self, record: JobRecord) -> None:
        for key, unit in record.add_occurrence().items():
            self._waiting.add(key, unit)

    def next_due_ms(self, after_ms: int = 0) -> int | None:
        """Return when the next occurrence is due, in Unix milliseconds.

        Returns None if none is due after ``after_ms``.  This takes time for
        each job with a schedule.
        """
        earliest_ms = None
        for record in self._record_by_schedule.values():
            due_ms = record.next_due_ms()
            if due_ms is None or due_ms <= after_ms:
                continue
            if earliest_ms is None or due_ms < earliest_ms:
                earliest_ms = due_ms
        return earliest_ms

    def may_open_occurrences(self, at_ms: int, budget: int) -> bool:
        """Return whether a due occurrence may be opened at a time."""
        due = self._jobs_with_due_occurrence(at_ms)
        return any(self._may_open(record, budget) for record in due)

    def _jobs_with_due_occurrence(self, at_ms: int) -> list[JobRecord]:
        """Return the jobs with a due occurrence, the longest due first."""
        due = []
        for job_id, record in self._record_by_schedule.items():
            due_ms = record.next_due_ms()
            if due_ms is not None and due_ms <= at_ms:
                due.append((due_ms, job_id, record))
        due.sort(key=lambda entry: entry[:2])
        return [record for _, _, record in due]

    def _may_open(self, record: JobRecord, budget: int) -> bool:
        """Return whether there is room for the next occurrence of a job.

        There always is for one, which counts from the acceptance on.
        """
        if not budget or not record.has_open_occurrence():
            return True
        needed = occurrence_bytes(record.job)
        match self.work_usage.decide(budget, record.job, needed):
            case FitsBudget():
                return True
        return False

    def _open_occurrences(self, at_ms: int, budget: int) -> bool:
        """Open due occurrences, one of each job in turn while there is room.

        What is more than one command may create waits for the next one.
        """
        opened_by_id: dict[str, JobRecord] = {}
        task_count = 0
        due = self._jobs_with_due_occurrence(at_ms)
        while due and task_count < _MAX_OPENED_TASKS:
            still_due = []
            for record in due:
                if not self._may_open(record, budget):
                    continue
                if task_count >= _MAX_OPENED_TASKS:
                    break
                if record.job.job_id not in opened_by_id:
                    record.delete_done_occurrences()
                    opened_by_id[record.job.job_id] = record
                if record.has_open_occurrence():
                    self.work_usage.add_occurrence(record)
                self._open_occurrence(record)
                task_count += record.job.tasks_per_occurrence()
                next_due_ms = record.next_due_ms()
                if next_due_ms is not None and next_due_ms <= at_ms:
                    still_due.append(record)
            due = still_due
        for record in opened_by_id.values():
            self._index_schedule(record)
            self.work_usage.update(record)
        return bool(opened_by_id)

    def _forget_job(self, job_id: str) -> None:
        record = self.job_by_id.pop(job_id, None)
        if record is not None:
            self.work_usage.remove(record)

    def _cancel(self, job_id: str, at_ms: int, account: str) -> bool:
        record = self.job_by_id.get(job_id)
        if record is None:
            return self.withdrawn_jobs.add(WithdrawnJob(job_id, account))
        if not record.is_active():
            return False
        record.cancelled = True
        self._finish_job(record, at_ms)
        return True

    def _finish_job(self, record: JobRecord, at_ms: int) -> None:
        record.ended_ms = at_ms
        self._changes.append(JobEnded(record.job.job_id))
        for key in record.units:
            self._waiting.remove(key)
        record.delete_ended_units()
        self._index_schedule(record)
        self.work_usage.update(record)

    def _place(self, placement: Placement, at_ms: int) -> None:
        key = placement.key
        record = self.job_by_id.get(key.job_id)
        if record is not None and key.occurrence >= record.opened:
            # A log of an earlier version has no command that opens it.
            self._open_through(record, key.occurrence)
        unit = self._waiting.get(key)
        if record is None or unit is None or placement.run <= unit.run:
            return
        if self._is_over_limit(record, key):
            return
        self._waiting.remove(key)
        record.begun = True
        record.placed_runs += 1
        unit.status = UnitStatus.PLACED
        unit.run = placement.run
        unit.placed_ms = at_ms
        unit.seats = [SeatRecord(seat) for seat in placement.seats]
        for seat_record in unit.seats:
            self._index_seat(record, key, unit.run, seat_record)
        self._changes.append(RunPlaced(key, unit.run))

    def _open_through(self, record: JobRecord, occurrence: int) -> None:
        """Open the occurrences of a job up to one of them."""
        if not record.is_active() or occurrence >= record.job.occurrences():
            return
        while record.opened <= occurrence:
            self._open_occurrence(record)
        self._index_schedule(record)
        self.work_usage.update(record)

    def _is_over_limit(self, record: JobRecord, key: UnitKey) -> bool:
        """Return whether a unit would take its account above its limit.

        The leader does not propose such a placement, but a configuration with
        a lower limit may have been committed before it.
        """
        step = record.step_of(key)
        match self.account_usage.decide(record.job.account, step):
            case OverLimit():
                return True
        return False

    def _index_seat(
        self, record: JobRecord, key: UnitKey, run: int, seat_record: SeatRecord
    ) -> None:
        self.account_usage.open_seat(record.job.account, record.step_of(key))
        task_key = key.task_key(seat_record.seat.task)
        seats = self.seats_by_upstream.setdefault(seat_record.seat.upstream_id, {})
        seats[(task_key, run)] = seat_record

    def _end_task(self, end: RunEnd, at_ms: int) -> None:
        record = self.job_by_id.get(end.key.job_id)
        if record is None:
            return
        unit = record.find_unit(end.key)
        if unit is None:
            return
        if unit.run != end.run or unit.status != UnitStatus.PLACED:
            return
        for seat_record in unit.seats:
            if seat_record.seat.task == end.task and seat_record.end is None:
                seat_record.ended_ms = at_ms
                self._close_seat(record, end, unit, seat_record)
        if end.end == TaskEnd.DONE and not unit.completed:
            step = record.step_of(end.key)
            if step.gang and not step.long_running:
                unit.completed = True
                self._complete_unit(record, end.key, at_ms)
        if all(seat_record.end is not None for seat_record in unit.seats):
            self._finish_run(record, end.key, unit, at_ms)

    def _close_seat(
        self, record: JobRecord, end: RunEnd, unit: Unit, seat_record: SeatRecord
    ) -> None:
        seat_record.end = end.end
        self._changes.append(TaskEnded(end, seat_record.seat.upstream_id))
        task_key = end.key.task_key(end.task)
        seats = self.seats_by_upstream[seat_record.seat.upstream_id]
        del seats[(task_key, unit.run)]
        if not seats:
            del self.seats_by_upstream[seat_record.seat.upstream_id]
        self.account_usage.close_seat(record.job.account, record.step_of(end.key))
        if end.checkpoint:
            unit.checkpoint = end.checkpoint
        if end.end == TaskEnd.LOST and record.is_active() and not unit.is_done():
            self._crash_accounting.record_lost(end.key, unit, seat_record)

    def _finish_run(
        self, record: JobRecord, key: UnitKey, unit: Unit, at_ms: int
    ) -> None:
        """Update the unit and its job once every task of a run has ended."""
        ends = [seat_record.end for seat_record in unit.seats]
        # A gang is at work only until its first member ends.
        worked_until_ms = at_ms
        for seat_record in unit.seats:
            worked_until_ms = min(worked_until_ms, seat_record.ended_ms)
        step = record.step_of(key)
        if TaskEnd.FAILED in ends:
            unit.failures += 1
            for seat_record in unit.seats:
                if seat_record.end == TaskEnd.FAILED:
                    unit.avoid = [*unit.avoid[-7:], seat_record.seat.upstream_id]
        unit.seats = []
        unit.status = UnitStatus.WAITING
        if all(end == TaskEnd.REJECTED for end in ends):
            record.rejected_runs += 1
            if record.rejected_runs == record.placed_runs:
                record.begun = False
        self._crash_accounting.clear_after_run(unit, ends, worked_until_ms)
        # The end that completed a gang may be that of a seat counted as lost.
        done = unit.completed or TaskEnd.DONE in ends
        if done and not step.long_running:
            unit.status = UnitStatus.DONE
            if not unit.completed:
                self._complete_unit(record, key, at_ms)
            return
        if not record.is_active():
            return
        if unit.failures >= self.max_attempts(record) and not step.long_running:
            failure = f"{key.log_label()} failed {unit.failures} times"
            self.fail_job(record, failure, at_ms)
            return
        self._waiting.add(key, unit)

    def fail_job(self, record: JobRecord, failure: str, at_ms: int) -> None:
        """End an active job as failed, for the reason in ``failure``."""
        record.failed = True
        record.failure = failure
        self._finish_job(record, at_ms)

    def _complete_unit(self, record: JobRecord, key: UnitKey, at_ms: int) -> None:
        step_name = f"{key.occurrence}.{key.step}"
        record.open_by_step[step_name] -= 1
        if not record.is_completed() or not record.is_active():
            return
        self._finish_job(record, at_ms)

    def unstable_addresses(self) -> set[str]:
        """Return the addresses where upstreams crashed in the last minute."""
        return self._crash_accounting.unstable_addresses()

    def version(self) -> int:
        """Return the version of the configuration, or 0 without one."""
        return self.configuration.version if self.configuration is not None else 0

    def route_of(self, record: JobRecord) -> Route | None:
        """Return the current route of a job.

        If it is no longer configured, this is the route at acceptance.
        """
        return self._route_by_name.get(record.job.route) or record.route

    def max_attempts(self, record: JobRecord) -> int:
        """Return how many failed runs of one unit make its job fail."""
        route = self.route_of(record)
        return route.attempts if route is not None else _FALLBACK_ATTEMPTS

    def account_of(self, key: str) -> str | None:
        """Return the client account that owns an API key, or None."""
        return self._account_by_key.get(key)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route on ``host`` with the longest prefix of ``path``."""
        best: Route | None = None
        for route in self._route_by_name.values():
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best

    def waiting(self) -> Iterator[tuple[UnitKey, Unit, JobRecord]]:
        """Yield the waiting units of jobs that have not ended."""
        for _, units, record in self.waiting_steps():
            for key, unit in units.items():
                yield key, unit, record

    def waiting_steps(
        self,
    ) -> Iterator[tuple[StepKey, dict[UnitKey, Unit], JobRecord]]:
        """Yield the steps with waiting units, these units and their job."""
        for step_key, units in self._waiting.steps():
            yield step_key, units, self.job_by_id[step_key.job_id]

    def count_waiting(self) -> int:
        """Return the number of waiting units."""
        return len(self._waiting)

    def count_queued(self, route: str) -> int:
        """Return the number of jobs of a route that have not started."""
        count = 0
        for record in self.job_by_id.values():
            if record.job.route == route and record.is_active() and not record.begun:
                count += 1
        return count
