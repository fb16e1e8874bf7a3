"""The replicated state of jobs: it applies commands in log order."""

from collections.abc import Iterator
from enum import StrEnum

import msgspec

from persimmonyard.jobs.commands import (
    CancelJob,
    Command,
    EndRuns,
    ExpireJobs,
    ForgetUpstreams,
    NoteUpstreams,
    Placement,
    PlaceRuns,
    PutConfiguration,
    RunEnd,
    Seat,
    SetZone,
    SubmitJob,
    decode_command,
)
from persimmonyard.jobs.configuration import JobConfiguration, Route
from persimmonyard.jobs.fleet import UpstreamReport
from persimmonyard.jobs.model import (
    GANG,
    Job,
    JobState,
    Step,
    TaskEnd,
    TaskKey,
    UnitKey,
)

__all__ = ["JobRecord", "JobStore", "SeatRecord", "Unit", "UnitStatus"]

# Route of jobs whose class of work has left the configuration.
_FALLBACK_ATTEMPTS = 3


class UnitStatus(StrEnum):
    """Where a unit stands."""

    WAITING = "w"
    PLACED = "p"
    DONE = "d"


class SeatRecord(msgspec.Struct):
    """One task of a run; ``end`` is None while it may still be running."""

    seat: Seat
    end: TaskEnd | None = None


class Unit(msgspec.Struct):
    """State of a unit; ``run`` numbers its last placement.

    ``avoid`` names the upstreams on which a run failed.
    """

    status: UnitStatus = UnitStatus.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    seats: list[SeatRecord] = []
    avoid: list[str] = []


class JobRecord(msgspec.Struct):
    """A job and the state of its units.

    ``ended_ms`` is when the job completed, failed or was cancelled, else 0.
    """

    job: Job
    route: Route | None
    units: dict[UnitKey, Unit] = {}
    open_by_step: dict[str, int] = {}
    cancelled: bool = False
    failed: bool = False
    begun: bool = False
    ended_ms: int = 0

    def state(self) -> JobState:
        """Return what a caller sees."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self.ended_ms:
            return JobState.COMPLETED
        return JobState.RUNNING if self.begun else JobState.QUEUED

    def live(self) -> bool:
        """Return whether units of the job may still be placed."""
        return not self.ended_ms

    def step_of(self, key: UnitKey) -> Step:
        """Return the step of a unit."""
        return self.job.steps[key.step]

    def step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return self.open_by_step.get(f"{occurrence}.{step}") == 0


class _Image(msgspec.Struct):
    """The whole state, as a snapshot holds it."""

    configuration: JobConfiguration | None
    zones_out: list[str]
    jobs: list[JobRecord]
    upstreams: list[UpstreamReport] = []


class JobStore:
    """Configuration, jobs and the runs that are placed.

    Deterministic: the same commands in the same order give the same state.
    It implements the state machine that the replicated log needs.
    """

    def __init__(self) -> None:
        self.configuration: JobConfiguration | None = None
        self.zones_out: set[str] = set()
        self.job_by_id: dict[str, JobRecord] = {}
        # What upstreams are that a leader has heard of lately.
        self.report_by_upstream: dict[str, UpstreamReport] = {}
        self.seats_by_upstream: dict[str, dict[tuple[TaskKey, int], SeatRecord]] = {}
        self._route_by_name: dict[str, Route] = {}
        self._account_by_key: dict[str, str] = {}
        self._waiting: dict[UnitKey, Unit] = {}

    # The interface of the replicated log.

    def apply(self, index: int, entry: bytes) -> bool:
        """Apply a committed command; return whether it changed anything."""
        return self.execute(decode_command(entry))

    def snapshot(self) -> bytes:
        """Return the whole state."""
        image = _Image(
            self.configuration,
            sorted(self.zones_out),
            list(self.job_by_id.values()),
            list(self.report_by_upstream.values()),
        )
        return msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        image = msgspec.msgpack.decode(data, type=_Image)
        self.configuration = image.configuration
        self.zones_out = set(image.zones_out)
        self.job_by_id = {record.job.job_id: record for record in image.jobs}
        self.report_by_upstream = {one.upstream_id: one for one in image.upstreams}
        self.seats_by_upstream = {}
        self._waiting = {}
        self._index_configuration()
        for record in image.jobs:
            self._index_job(record)

    def _index_job(self, record: JobRecord) -> None:
        for key, unit in record.units.items():
            if unit.status == UnitStatus.WAITING and record.live():
                self._waiting[key] = unit
            for one in unit.seats:
                if one.end is None:
                    self._seat(key, unit.run, one)

    # Commands.

    def execute(self, command: Command) -> bool:
        """Apply one command; return whether it changed anything."""
        match command:
            case PutConfiguration(configuration):
                return self._put_configuration(configuration)
            case SetZone(zone, out):
                if out:
                    self.zones_out.add(zone)
                else:
                    self.zones_out.discard(zone)
                return True
            case SubmitJob(job):
                return self._submit(job)
            case CancelJob(job_id, at_ms):
                return self._cancel(job_id, at_ms)
            case PlaceRuns(placements):
                for placement in placements:
                    self._place(placement)
                return True
            case EndRuns(ends, at_ms):
                for end in ends:
                    self._end(end, at_ms)
                return True
            case ExpireJobs(job_ids):
                for job_id in job_ids:
                    self.job_by_id.pop(job_id, None)
                return True
            case NoteUpstreams(reports):
                for report in reports:
                    self._note_upstream(report)
                return True
            case ForgetUpstreams(upstream_ids):
                for upstream_id in upstream_ids:
                    self.report_by_upstream.pop(upstream_id, None)
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
        if self.configuration is None:
            return
        for route in self.configuration.routes:
            self._route_by_name[route.name] = route
        for account in self.configuration.accounts:
            for key in account.keys:
                self._account_by_key[key] = account.name

    def _note_upstream(self, report: UpstreamReport) -> None:
        known = self.report_by_upstream.get(report.upstream_id)
        if known is not None and known.incarnation > report.incarnation:
            return
        if known is not None and known.incarnation == report.incarnation:
            # Leaving is final for an incarnation.
            report = report._replace(leaving=report.leaving or known.leaving)
        self.report_by_upstream[report.upstream_id] = report

    def _submit(self, job: Job) -> bool:
        if job.job_id in self.job_by_id:
            return False
        record = JobRecord(job, self._route_by_name.get(job.route))
        self.job_by_id[job.job_id] = record
        for occurrence in range(job.occurrences()):
            for number, step in enumerate(job.steps):
                self._add_units(record, occurrence, number, step)
        return True

    def _add_units(
        self, record: JobRecord, occurrence: int, number: int, step: Step
    ) -> None:
        indexes = [GANG] if step.gang else range(step.count)
        record.open_by_step[f"{occurrence}.{number}"] = len(indexes)
        for index in indexes:
            key = UnitKey(record.job.job_id, occurrence, number, index)
            unit = Unit()
            record.units[key] = unit
            self._waiting[key] = unit

    def _cancel(self, job_id: str, at_ms: int) -> bool:
        record = self.job_by_id.get(job_id)
        if record is None or not record.live():
            return False
        record.cancelled = True
        self._finish(record, at_ms)
        return True

    def _finish(self, record: JobRecord, at_ms: int) -> None:
        record.ended_ms = at_ms
        for key in record.units:
            self._waiting.pop(key, None)

    def _place(self, placement: Placement) -> None:
        key = placement.key
        record = self.job_by_id.get(key.job_id)
        unit = self._waiting.get(key)
        if record is None or unit is None or placement.run <= unit.run:
            return
        del self._waiting[key]
        record.begun = True
        unit.status = UnitStatus.PLACED
        unit.run = placement.run
        unit.seats = [SeatRecord(seat) for seat in placement.seats]
        for one in unit.seats:
            self._seat(key, unit.run, one)

    def _seat(self, key: UnitKey, run: int, one: SeatRecord) -> None:
        name = key.task_key(one.seat.task)
        seats = self.seats_by_upstream.setdefault(one.seat.upstream_id, {})
        seats[(name, run)] = one

    def _end(self, end: RunEnd, at_ms: int) -> None:
        record = self.job_by_id.get(end.key.job_id)
        if record is None:
            return
        unit = record.units[end.key]
        if unit.run != end.run or unit.status != UnitStatus.PLACED:
            return
        for one in unit.seats:
            if one.seat.task == end.task and one.end is None:
                self._end_seat(record, end, unit, one)
        if all(one.end is not None for one in unit.seats):
            self._close_run(record, end.key, unit, at_ms)

    def _end_seat(
        self, record: JobRecord, end: RunEnd, unit: Unit, one: SeatRecord
    ) -> None:
        one.end = end.end
        name = end.key.task_key(end.task)
        seats = self.seats_by_upstream[one.seat.upstream_id]
        del seats[(name, unit.run)]
        if not seats:
            del self.seats_by_upstream[one.seat.upstream_id]
        if end.checkpoint:
            unit.checkpoint = end.checkpoint

    def _close_run(
        self, record: JobRecord, key: UnitKey, unit: Unit, at_ms: int
    ) -> None:
        """Decide what follows once every task of a run has ended."""
        ends = [one.end for one in unit.seats]
        step = record.step_of(key)
        if TaskEnd.FAILED in ends:
            unit.failures += 1
            for one in unit.seats:
                if one.end == TaskEnd.FAILED:
                    unit.avoid = [*unit.avoid[-7:], one.seat.upstream_id]
        unit.seats = []
        unit.status = UnitStatus.WAITING
        if TaskEnd.DONE in ends and not step.long_running:
            unit.status = UnitStatus.DONE
            self._count_done(record, key, at_ms)
            return
        if not record.live():
            return
        if unit.failures >= self.attempts(record) and not step.long_running:
            record.failed = True
            self._finish(record, at_ms)
            return
        self._waiting[key] = unit

    def _count_done(self, record: JobRecord, key: UnitKey, at_ms: int) -> None:
        name = f"{key.occurrence}.{key.step}"
        record.open_by_step[name] -= 1
        if any(record.open_by_step.values()) or not record.live():
            return
        self._finish(record, at_ms)

    # Reading.

    def version(self) -> int:
        """Return the version of the configuration, 0 without one."""
        return self.configuration.version if self.configuration is not None else 0

    def route_of(self, record: JobRecord) -> Route | None:
        """Return the class of work of a job as it is configured now."""
        return self._route_by_name.get(record.job.route) or record.route

    def attempts(self, record: JobRecord) -> int:
        """Return how many runs of one task may fail."""
        route = self.route_of(record)
        return route.attempts if route is not None else _FALLBACK_ATTEMPTS

    def account_of(self, key: str) -> str | None:
        """Return the client account that a key belongs to."""
        return self._account_by_key.get(key)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` on ``host``."""
        best: Route | None = None
        for route in self._route_by_name.values():
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best

    def waiting(self) -> Iterator[tuple[UnitKey, Unit, JobRecord]]:
        """Return the units that wait, of jobs that have not ended."""
        for key, unit in self._waiting.items():
            yield key, unit, self.job_by_id[key.job_id]

    def pending(self, route: str) -> int:
        """Return how many live jobs of a class have not begun."""
        count = 0
        for record in self.job_by_id.values():
            if record.job.route == route and record.live() and not record.begun:
                count += 1
        return count
