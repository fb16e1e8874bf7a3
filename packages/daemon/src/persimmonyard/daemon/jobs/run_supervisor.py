"""Starts, supervises and stops runs as the replicated state demands.

Load pattern: entries die, calls time out and the lease of the leader lapses
while commands are being committed.  Whoever has proposed a command may be gone
when it is applied, also in the same term of the log.  So starts, stops and the
supervision of runs follow from the applied changes and not from the proposer,
and they cost time for what has changed only.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from persimmonyard.daemon.jobs.task_run import RunState, TaskRun
from persimmonyard.jobs import (
    Change,
    JobEnded,
    Placement,
    RunEnd,
    RunPlaced,
    Seat,
    SeatRecord,
    TaskEnd,
    TaskEnded,
    Unit,
    UnitKey,
    Upstream,
    UpstreamReport,
)
from persimmonyard.model import Resources

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm
    from persimmonyard.daemon.jobs.session import UpstreamSession

__all__ = ["RunSupervisor"]


class RunSupervisor:
    """Keeps the supervised runs of a term equal to the open seats.

    A run whose placement this term has planned is started.  Any other open
    seat may belong to a run that was started before, so its upstream is asked
    first.
    """

    def __init__(self, leader_term: "LeaderTerm"):
        self._term = leader_term
        self._store = leader_term.store
        # The seats of each placement that this term is committing.
        self._planned_seats: dict[tuple[UnitKey, int], tuple[Seat, ...]] = {}

    def take_over(self) -> int:
        """Supervise all open seats and follow the state from now on.

        Returns the number of the runs of tasks.
        """
        run_count = 0
        for seats in list(self._store.seats_by_upstream.values()):
            for (task_key, run), seat_record in list(seats.items()):
                record = self._store.job_by_id[task_key.job_id]
                step = record.job.steps[task_key.step]
                key = task_key.unit_key(step.gang)
                self._supervise(key, run, seat_record, RunState.INHERITED)
                self._stop_if_useless(key, run)
                run_count += 1
        self._store.add_observer(self._follow)
        return run_count

    def close(self) -> None:
        """Stop following the state."""
        self._store.remove_observer(self._follow)

    @contextmanager
    def committing(self, placements: list[Placement]) -> Iterator[None]:
        """Start the runs of these placements when they are applied."""
        for placement in placements:
            self._planned_seats[(placement.key, placement.run)] = placement.seats
        try:
            yield
        finally:
            self._planned_seats.clear()

    def _follow(self, changes: list[Change]) -> None:
        """Act on the changes of an applied command.

        An error here would stop the replica, so it ends the term instead.
        """
        try:
            for change in changes:
                self._act_on(change)
        except Exception as error:
            self._term.fail(error)

    def _act_on(self, change: Change) -> None:
        match change:
            case RunPlaced(key, run):
                self._begin_run(key, run)
            case TaskEnded(end, upstream_id):
                self._term.record_end(end, upstream_id)
                self._stop_related_runs(end)
                self._term.request_plan()
            case JobEnded(job_id):
                self._finish_job(job_id)
                self._term.request_plan()

    def _begin_run(self, key: UnitKey, run: int) -> None:
        """Supervise the seats of a placement; start the run if it is new."""
        unit = self._store.job_by_id[key.job_id].find_unit(key)
        if unit is None or unit.run != run:
            return
        seats = tuple(seat_record.seat for seat_record in unit.seats)
        state = RunState.STARTING
        if self._planned_seats.pop((key, run), None) != seats:
            # Proposed by another term, which may have sent a start.
            state = RunState.INHERITED
            self._term.record_event("placement_taken_over")
            self._term.log.info(
                "placement taken over",
                job=key.job_id,
                step=f"{key.occurrence}.{key.step}",
                run=run,
                seats=[f"{seat.task}@{seat.upstream_id}" for seat in seats],
            )
        for seat_record in unit.seats:
            self._supervise(key, run, seat_record, state)

    def _supervise(
        self, key: UnitKey, run: int, seat_record: SeatRecord, state: RunState
    ) -> None:
        """Supervise the run of one task on the upstream of its seat."""
        seat = seat_record.seat
        upstream = self._upstream_of(seat)
        step = self._store.job_by_id[key.job_id].step_of(key)
        task_run = TaskRun(
            key.task_key(seat.task),
            run,
            key,
            step,
            state,
            self._term.now(),
            seat.incarnation,
            inherited=state == RunState.INHERITED,
            taken_over=state == RunState.INHERITED,
        )
        session = self._term.session(upstream)
        if seat.incarnation < upstream.report.incarnation:
            # The upstream restarted, for example during the commit.
            session.add_replaced(task_run)
            return
        session.add(task_run)

    def _upstream_of(self, seat: Seat) -> Upstream:
        """Return the upstream of a seat, which may not have reported yet."""
        report = UpstreamReport(
            seat.upstream_id,
            seat.incarnation,
            -1,
            "",
            seat.address,
            seat.zone,
            "",
            (),
            Resources(0, 0, 0),
            0,
        )
        fleet = self._term.fleet
        fleet.restore_stale(
            report, self._term.durations.longest_lease_ms, self._term.now()
        )
        return fleet.by_id[seat.upstream_id]

    def _stop_if_useless(self, key: UnitKey, run: int) -> None:
        """Stop a run that was taken over if nothing needs it any more."""
        record = self._store.job_by_id[key.job_id]
        if not record.is_active():
            self.stop_run(key, run, "job has ended")
        elif _is_broken(record.units[key]):
            self.stop_run(key, run, "gang is broken")

    def _stop_related_runs(self, end: RunEnd) -> None:
        """Stop the runs that became useless with the end of a task.

        These are the other members of a gang that has not completed.  Of one
        that has, the starts without an answer are stopped, because they would
        be sent again.
        """
        record = self._store.job_by_id.get(end.key.job_id)
        if record is None or record.failed or record.cancelled:
            return
        unit = record.find_unit(end.key)
        if unit is None:
            return
        if unit.completed:
            for session, task_run in self._open_runs(end.key, end.run):
                if task_run.state == RunState.STARTING:
                    session.stop(task_run, "gang has completed")
        elif end.end != TaskEnd.DONE and record.step_of(end.key).gang:
            self.stop_run(end.key, end.run, "gang is broken")

    def _finish_job(self, job_id: str) -> None:
        """Log the end of a job, and stop its runs unless it has completed."""
        record = self._store.job_by_id[job_id]
        if not record.cancelled:
            self._term.job_log.log_end(record)
        if not record.failed and not record.cancelled:
            return
        for key, unit in record.units.items():
            if unit.seats:
                self.stop_run(key, unit.run, str(record.state()))

    def stop_run(self, key: UnitKey, run: int, reason: str) -> None:
        """Stop the tasks of a run that have not ended."""
        for session, task_run in self._open_runs(key, run):
            session.stop(task_run, reason)

    def _open_runs(
        self, key: UnitKey, run: int
    ) -> Iterator[tuple["UpstreamSession", TaskRun]]:
        """Yield the supervised tasks of a run that have not ended."""
        unit = self._store.job_by_id[key.job_id].find_unit(key)
        if unit is None or unit.run != run:
            return
        for seat_record in unit.seats:
            session = self._term.find_session(seat_record.seat.upstream_id)
            if seat_record.end is not None or session is None:
                continue
            task_key = key.task_key(seat_record.seat.task)
            task_run = session.task_run_by_key.get((task_key, run))
            if task_run is not None:
                yield session, task_run


def _is_broken(unit: Unit) -> bool:
    """Return whether a member of a gang that has not completed has ended."""
    if unit.completed:
        return False
    return any(
        seat_record.end not in (None, TaskEnd.DONE) for seat_record in unit.seats
    )
