"""The replicated record of upstreams' crashes under units."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from persimmonyard.jobs.commands import Answer, Seat, Silence, StartEvidence
from persimmonyard.jobs.crashes import (
    CrashedRun,
    CrashLog,
    CrashWindow,
    LostSeat,
    UpstreamCrash,
    crash_window,
    least_chance,
)
from persimmonyard.jobs.fleet import UpstreamReport
from persimmonyard.jobs.model import TaskEnd, UnitKey
from persimmonyard.jobs.records import JobRecord, SeatRecord, Unit
from persimmonyard.model.crash_rules import (
    LONG_RUN_MS,
    MAX_EXCUSED_RUNS,
    MAX_KEPT_CRASHES,
    clearing_run_ms,
    describe_guilt,
    newest_runs,
)
from persimmonyard.model.crash_verdict import Crash, find_guilty_task

if TYPE_CHECKING:
    from persimmonyard.jobs.store import JobStore

__all__ = ["CrashAccounting"]

# At most this many lost seats are kept for a unit, but always those of the
# last runs, as with crashes.
_MAX_LOST_SEATS = 8
# Ends that upstreams list only for runs that were at work.
_ENDS_AT_WORK = frozenset(
    (TaskEnd.DONE, TaskEnd.FAILED, TaskEnd.STOPPED, TaskEnd.BROKEN, TaskEnd.LAPSED)
)


class _Incarnation(NamedTuple):
    """An incarnation of an upstream that has ended, and its place."""

    upstream_id: str
    incarnation: int
    address: str
    zone: str
    rack: str


class CrashAccounting:
    """Finds the runs that were on a crashed upstream, and blames units.

    It is a part of the job store, whose commands call it, and like the store
    it is deterministic.
    """

    def __init__(self, store: "JobStore", recent: Iterable[UpstreamCrash] = ()):
        self._store = store
        self._log = CrashLog(recent)
        # The units with lost seats, by the address of the upstream.
        self._lost_keys_by_address: dict[str, dict[UnitKey, None]] = {}

    def recent_crashes(self) -> list[UpstreamCrash]:
        """Return the recent crashes, for a snapshot."""
        return self._log.recent

    def unstable_addresses(self) -> set[str]:
        """Return the addresses where upstreams crashed in the last minute."""
        return {crash.address for crash in self._log.recent}

    def index_lost_seats(self, key: UnitKey, unit: Unit) -> None:
        """Add the lost seats of a restored unit to the index."""
        for lost in unit.lost_seats:
            self._lost_keys_by_address.setdefault(lost.address, {})[key] = None

    def record_lost(self, key: UnitKey, unit: Unit, seat_record: SeatRecord) -> None:
        """Keep a lost seat until it is known why its upstream was silent."""
        seat = seat_record.seat
        if not _may_have_begun(seat_record.silence):
            return
        for crash in unit.crashes:
            if crash.run == unit.run and crash.upstream_id == seat.upstream_id:
                return
        if self._has_known_successor(seat):
            # It is known how its upstream ended.
            return
        lost = _lost_seat(unit, seat_record)
        unit.lost_seats = newest_runs(
            [*unit.lost_seats, lost], _run_of, _MAX_LOST_SEATS
        )
        self.index_lost_seats(key, unit)

    def has_lost_seats(self, answer: Answer) -> bool:
        """Return whether lost seats are kept on an incarnation."""
        for unit in self._units_with_lost_seats(answer.address):
            if any(_is_on(lost, answer) for lost in unit.lost_seats):
                return True
        return False

    def forget_lost_seats(self, answer: Answer) -> None:
        """Drop the lost seats on an incarnation that answers again."""
        for unit in self._units_with_lost_seats(answer.address):
            unit.lost_seats = [
                lost for lost in unit.lost_seats if not _is_on(lost, answer)
            ]

    def _units_with_lost_seats(self, address: str) -> list[Unit]:
        units = []
        for key in self._lost_keys_by_address.get(address, ()):
            unit = self._find_unit(key)
            if unit is not None:
                units.append(unit)
        return units

    def _find_unit(self, key: UnitKey) -> Unit | None:
        """Return a unit, or None if its record was deleted."""
        record = self._store.job_by_id.get(key.job_id)
        return record.find_unit(key) if record is not None else None

    def clear_after_run(
        self, unit: Unit, ends: Iterable[TaskEnd | None], worked_until_ms: int
    ) -> None:
        """Clear a unit that has run for long enough without a crash."""
        if not unit.crashes or any(end not in _ENDS_AT_WORK for end in ends):
            return
        if worked_until_ms - unit.placed_ms < clearing_run_ms(unit.crashes):
            return
        if any(crash.run == unit.run for crash in unit.crashes):
            return
        if any(lost.run == unit.run for lost in unit.lost_seats):
            return
        unit.crashes = []
        unit.excused_runs = 0

    def crashed_before(self, report: UpstreamReport) -> list[_Incarnation]:
        """Return the incarnations that a new one at the address replaces.

        Those that had announced to leave are not returned, nor are those with
        a known successor: what its report showed of them is recorded, although
        runs on them may not have ended yet.
        """
        ended_by_incarnation: dict[tuple[str, int], _Incarnation] = {}
        for seats in self._store.seats_by_upstream.values():
            # All seats on an upstream have its address.
            if not _is_predecessor(next(iter(seats.values())).seat, report):
                continue
            for seat_record in seats.values():
                self._add_ended(ended_by_incarnation, seat_record.seat, report)
        for key in self._lost_keys_by_address.get(report.address, ()):
            record = self._store.job_by_id.get(key.job_id)
            # A restored index has no seats of jobs that have ended.
            if record is None or not record.is_active():
                continue
            unit = record.find_unit(key)
            for lost in unit.lost_seats if unit is not None else ():
                if lost.address == report.address:
                    self._add_ended(ended_by_incarnation, lost, report)
        for known in self._store.report_by_upstream.values():
            if _is_predecessor(known, report):
                self._add_ended(ended_by_incarnation, known, report)
        silent = self._store.silent_report_by_address.get(report.address)
        if silent is not None:
            self._add_ended(ended_by_incarnation, silent, report)
        found = []
        for _, ended in sorted(ended_by_incarnation.items()):
            if self._left(ended.upstream_id, ended.incarnation):
                continue
            if not self._has_known_successor(ended):
                found.append(ended)
        return found

    def _has_known_successor(self, earlier: Seat | _Incarnation) -> bool:
        """Return whether a later incarnation has reported in its place."""
        silent = self._store.silent_report_by_address.get(earlier.address)
        if silent is not None and silent.incarnation > earlier.incarnation:
            return True
        for report in self._store.report_by_upstream.values():
            if report.incarnation <= earlier.incarnation:
                continue
            if _is_predecessor(earlier, report):
                return True
        return False

    def _add_ended(
        self,
        ended_by_incarnation: dict[tuple[str, int], _Incarnation],
        earlier: Seat | LostSeat | UpstreamReport,
        report: UpstreamReport,
    ) -> None:
        if earlier.incarnation >= report.incarnation:
            return
        ended_by_incarnation[(earlier.upstream_id, earlier.incarnation)] = _Incarnation(
            earlier.upstream_id,
            earlier.incarnation,
            earlier.address,
            report.zone,
            report.rack,
        )

    def _left(self, upstream_id: str, incarnation: int) -> bool:
        known = self._store.report_by_upstream.get(upstream_id)
        return known is not None and known.incarnation == incarnation and known.leaving

    def record_incarnation(
        self, report: UpstreamReport, crashed: list[_Incarnation], at_ms: int
    ) -> list[str]:
        """Record the crashes that the first report of an incarnation shows.

        Returns the jobs that fail because of them.  A silent upstream that
        reports again under its old incarnation was only cut off, so that no
        crash can follow from its lost seats.
        """
        failed_ids: list[str] = []
        for earlier in crashed:
            failed_ids += self._record_crash(earlier, report, at_ms)
        for key in self._lost_keys_by_address.pop(report.address, ()):
            unit = self._find_unit(key)
            if unit is None:
                continue
            unit.lost_seats = [
                lost for lost in unit.lost_seats if lost.address != report.address
            ]
        return failed_ids

    def _record_crash(
        self, ended: _Incarnation, successor: UpstreamReport, at_ms: int
    ) -> list[str]:
        """Record that an incarnation crashed; return the jobs that fail."""
        keeps_id = successor.upstream_id == ended.upstream_id
        runs = self._runs_on(ended, keeps_id, at_ms)
        crash = UpstreamCrash(
            ended.upstream_id,
            ended.incarnation,
            ended.address,
            ended.zone,
            ended.rack,
            successor.incarnation,
            tuple(crashed.key for crashed in runs),
            at_ms,
        )
        self._log.add(crash)
        for crashed in runs:
            unit = self._store.job_by_id[crashed.key.job_id].units[crashed.key]
            window_ms = crashed.window.longest_ms
            if window_ms >= LONG_RUN_MS:
                unit.crashes = []
            noted = Crash(
                ended.upstream_id,
                ended.incarnation,
                ended.address,
                crashed.run,
                crashed.tasks,
                window_ms,
                self._rate_per_s(crashed.key, at_ms, ended.address),
                least_chance(crashed, runs),
            )
            unit.crashes = newest_runs(
                [*unit.crashes, noted], _run_of, MAX_KEPT_CRASHES
            )
        self._excuse_outage(crash)
        failed_ids = []
        for crashed in runs:
            if self._give_up_if_guilty(crashed.key, at_ms):
                failed_ids.append(crashed.key.job_id)
        return failed_ids

    def _rate_per_s(self, key: UnitKey, at_ms: int, address: str = "") -> float:
        upstream_count = len(self._store.report_by_upstream)
        return self._log.rate_per_s(key, at_ms, upstream_count, address)

    def _runs_on(
        self, ended: _Incarnation, keeps_id: bool, at_ms: int
    ) -> list[CrashedRun]:
        """Return the runs that may have begun on an ended incarnation.

        Only active jobs and units that are not done are considered.  The order
        is the same on all replicas, also on those that were restored.
        """
        run_by_key: dict[UnitKey, CrashedRun] = {}
        for task_key, _ in self._store.seats_by_upstream.get(ended.upstream_id, {}):
            record = self._store.job_by_id[task_key.job_id]
            key = task_key.unit_key(record.job.steps[task_key.step].gang)
            unit = record.units[key]
            if not record.is_active() or unit.is_done():
                continue
            if key not in run_by_key:
                lost = [
                    _lost_seat(unit, seat_record)
                    for seat_record in unit.seats
                    if seat_record.end in (None, TaskEnd.LOST)
                ]
                crashed = _crashed_run(key, unit, lost, ended, keeps_id, at_ms)
                if crashed is not None:
                    run_by_key[key] = crashed
        for key in self._lost_keys_by_address.get(ended.address, ()):
            lost_record = self._store.job_by_id.get(key.job_id)
            if lost_record is None or not lost_record.is_active():
                continue
            lost_unit = lost_record.find_unit(key)
            if lost_unit is None:
                continue
            unit = lost_unit
            if not unit.is_done() and key not in run_by_key:
                crashed = _crashed_run(
                    key, unit, unit.lost_seats, ended, keeps_id, at_ms
                )
                if crashed is not None:
                    run_by_key[key] = crashed
        return [run_by_key[key] for key in sorted(run_by_key)]

    def _excuse_outage(self, crash: UpstreamCrash) -> None:
        """Remove the crashes that have a common cause other than a task.

        A unit that was on half of the crashed upstreams may be that cause.
        """
        place_by_upstream = {
            upstream_id: (report.zone, report.rack)
            for upstream_id, report in self._store.report_by_upstream.items()
        }
        group = self._log.outage(crash, place_by_upstream)
        count_by_key: dict[UnitKey, int] = {}
        for member in group:
            for key in member.keys:
                count_by_key[key] = count_by_key.get(key, 0) + 1
        ended = {(member.upstream_id, member.incarnation) for member in group}
        for key, count in count_by_key.items():
            unit = self._find_unit(key)
            if unit is None or 2 * count >= len(group):
                continue
            _excuse(unit, ended)

    def _give_up_if_guilty(self, key: UnitKey, at_ms: int) -> bool:
        record: JobRecord = self._store.job_by_id[key.job_id]
        if not record.is_active():
            return False
        unit = record.units[key]
        step = record.step_of(key)
        members = step.count if step.gang else 1
        rate_per_s = self._rate_per_s(key, at_ms)
        task = find_guilty_task(unit.crashes, members, rate_per_s)
        if task is None:
            return False
        failure = describe_guilt(
            f"task {key.task_key(task).log_label()}", task, unit.crashes
        )
        self._store.fail_job(record, failure, at_ms)
        self._clear_others(key)
        return True

    def _clear_others(self, key: UnitKey) -> None:
        """Forget the crashes of a guilty unit for all that were beside it."""
        removed = self._log.remove(key)
        ended = {(crash.upstream_id, crash.incarnation) for crash in removed}
        for other in {other for crash in removed for other in crash.keys}:
            unit = self._find_unit(other)
            if unit is None or other.job_id == key.job_id:
                continue
            unit.crashes = [
                crash
                for crash in unit.crashes
                if (crash.upstream_id, crash.incarnation) not in ended
            ]


def _run_of(record: Crash | LostSeat) -> int:
    return record.run


def _lost_seat(unit: Unit, seat_record: SeatRecord) -> LostSeat:
    seat = seat_record.seat
    return LostSeat(
        seat.upstream_id,
        seat.incarnation,
        seat.address,
        unit.run,
        unit.placed_ms,
        seat_record.silence,
        seat.task,
    )


def _crashed_run(
    key: UnitKey,
    unit: Unit,
    seats: Iterable[LostSeat],
    ended: _Incarnation,
    keeps_id: bool,
    at_ms: int,
) -> CrashedRun | None:
    """Return the run of a unit that had seats on an ended incarnation.

    Of several tasks there, the one of which the least is known counts.
    """
    tasks = []
    windows = []
    run = 0
    for seat in seats:
        if not _is_on(seat, ended) or not _may_have_begun(seat.silence):
            continue
        tasks.append(seat.task)
        windows.append(crash_window(seat.silence, at_ms - seat.placed_ms, keeps_id))
        run = seat.run
    if not tasks:
        return None
    window = CrashWindow(
        max(window.longest_ms for window in windows),
        min(window.shortest_ms for window in windows),
        all(window.proven for window in windows),
    )
    return CrashedRun(key, run, tuple(tasks), window, unit.starts_apart())


def _excuse(unit: Unit, ended: set[tuple[str, int]]) -> None:
    """Excuse a unit for the crashes of some incarnations under it."""
    if unit.excused_runs >= MAX_EXCUSED_RUNS:
        return
    crashes = []
    for crash in unit.crashes:
        if (crash.upstream_id, crash.incarnation) in ended:
            crash = msgspec.structs.replace(crash, excused=True)
        crashes.append(crash)
    unit.crashes = crashes
    excused = {crash.run for crash in crashes if crash.excused}
    unit.excused_runs = len(excused)


def _is_predecessor(
    earlier: Seat | UpstreamReport | _Incarnation, report: UpstreamReport
) -> bool:
    """Return whether a new incarnation takes the place of an earlier one."""
    same_upstream = earlier.upstream_id == report.upstream_id
    return same_upstream or earlier.address == report.address


def _may_have_begun(silence: Silence | None) -> bool:
    return silence is None or silence.evidence != StartEvidence.NONE


def _is_on(seat: Seat | LostSeat, ended: _Incarnation | Answer) -> bool:
    return (seat.upstream_id, seat.incarnation) == (
        ended.upstream_id,
        ended.incarnation,
    )
