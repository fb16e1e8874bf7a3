"""Crashes of upstreams under attempts, and the requests that are to blame.

An upstream has crashed if it registers under another incarnation and had not
announced to leave.  ``docs/crash-verdict.md`` has the rules and their bounds.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from persimmonyard.model import ResultCode
from persimmonyard.model.crash_rules import (
    LONG_RUN_MS,
    MAX_EXCUSED_RUNS,
    MAX_KEPT_CRASHES,
    RATE_HORIZONS_S,
    neighbour_chance,
    newest_runs,
)
from persimmonyard.model.crash_verdict import may_be_to_blame
from persimmonyard.state.change_events import ChangeKind
from persimmonyard.state.crash_log import CrashWave
from persimmonyard.state.records import (
    Attempt,
    AttemptCrash,
    AttemptOutcome,
    RequestRecord,
    RequestState,
    UpstreamRecord,
    UpstreamStatus,
)
from persimmonyard.state.request_transitions import (
    CrashSpan,
    describe_crashes,
    narrow_span,
    verdict_crashes,
)
from persimmonyard.state.store import StateStore

__all__ = ["record_crash"]

# An attempt that had ended this long before its upstream fell silent was not
# there any more.  An upstream is marked as lost 11 s after its last heartbeat.
_MAX_UNNOTICED_S = 15.0
# An upstream may receive a start until this time after the commit of the
# start.
_START_PERMIT_S = 2.0
# Times of crashes that are kept of one upstream.
_MAX_CRASH_TIMES = 16


class _CrashedRun(NamedTuple):
    """An attempt whose task may have begun on an upstream that crashed.

    Its start reached the upstream after ``alive_at``, when the upstream still
    answered, and at most ``window_ms`` before the first sign of its silence.
    """

    record: RequestRecord
    attempt: Attempt
    members: tuple[int, ...]
    alive_at: float
    window_ms: int
    suspect: bool


def record_crash(store: StateStore, upstream: UpstreamRecord) -> None:
    """Record that the current incarnation of an upstream has crashed.

    Requests that wait are ended if they are to blame; for others this is
    decided when their attempt ends.
    """
    runs = _runs_on(store, upstream)
    for run in runs:
        run.attempt.crashed_members += run.members
        store.emit_change(ChangeKind.REQUEST, run.record.request_id)
        if run.record.idempotent:
            _add_crash(store, upstream, run, runs)
    at = store.now
    request_ids = [run.record.request_id for run in runs]
    waves = store.contents.crash_log.add(upstream.spec, request_ids, at)
    recent = [time for time in upstream.crashed_at if time >= at - RATE_HORIZONS_S[-1]]
    upstream.crashed_at = (*recent[1 - _MAX_CRASH_TIMES :], at)
    for place, wave in waves:
        if wave.is_outage(store.upstream_count_by_place.get(place, 0)):
            _excuse_outage(store, wave, request_ids)
    for run in runs:
        _end_waiting_if_guilty(store, run.record)


def _runs_on(store: StateStore, upstream: UpstreamRecord) -> list[_CrashedRun]:
    """Return the attempts that were on the current incarnation."""
    spec = upstream.spec
    silent_at = store.now
    if upstream.status == UpstreamStatus.LOST:
        silent_at = store.contents.lost_at_by_id.get(spec.upstream_id, silent_at)
    request_ids = store.request_ids_by_upstream.get(spec.upstream_id, set())
    lost_request_ids = store.lost_request_ids_by_upstream.get(spec.upstream_id, set())
    runs = []
    for request_id in sorted(request_ids | lost_request_ids):
        record = store.request(request_id)
        if record is None or record.ended():
            continue
        suspect = may_be_to_blame(verdict_crashes(record.crashes))
        # Of several attempts there only the last one can have been at work.
        for attempt in reversed(record.attempts):
            run = _run_of(record, attempt, upstream, silent_at, suspect)
            if run is not None:
                runs.append(run)
                break
    return runs


def _run_of(
    record: RequestRecord,
    attempt: Attempt,
    upstream: UpstreamRecord,
    silent_at: float,
    suspect: bool,
) -> _CrashedRun | None:
    """Return the run of an attempt on an upstream, or ``None``."""
    if attempt.started_at is None:
        return None
    members = []
    for index, member in enumerate(attempt.members):
        if member.upstream_id != upstream.spec.upstream_id:
            continue
        if member.incarnation == upstream.spec.incarnation:
            members.append(index)
    if attempt.ended_at is not None:
        if attempt.outcome != AttemptOutcome.LOST:
            return None
        if attempt.ended_at < silent_at - _MAX_UNNOTICED_S:
            return None
        lost = {*attempt.failed_members, *attempt.lost_members}
        members = [index for index in members if index in lost]
        silent_at = min(silent_at, attempt.ended_at)
    # All members answered their prepare after the placement.
    alive_at = attempt.placed_at
    window_ms = max(1, round(1_000 * (silent_at - alive_at)))
    span = narrow_span(CrashSpan(tuple(members), window_ms), attempt.silences)
    if not span.members:
        return None
    return _CrashedRun(record, attempt, span.members, alive_at, span.window_ms, suspect)


def _add_crash(
    store: StateStore,
    upstream: UpstreamRecord,
    run: _CrashedRun,
    runs: Iterable[_CrashedRun],
) -> None:
    record = run.record
    if run.window_ms >= LONG_RUN_MS:
        record.crashes = ()
    crash = AttemptCrash(
        run.attempt.number,
        run.members,
        upstream.spec.upstream_id,
        store.now,
        run.window_ms,
        max(store.crash_rate_per_s(record), _rate_here(record, upstream, store.now)),
        _least_chance(run, runs),
    )
    kept = newest_runs(
        (*record.crashes, crash), lambda kept: kept.attempt, MAX_KEPT_CRASHES
    )
    record.crashes = tuple(kept)


def _rate_here(record: RequestRecord, upstream: UpstreamRecord, at: float) -> float:
    """Return how often one upstream crashed without a request."""
    rate_per_s = 0.0
    for horizon_s in RATE_HORIZONS_S:
        oldest = at - horizon_s
        count = sum(time >= oldest for time in upstream.crashed_at)
        for crash in record.crashes:
            if crash.upstream_id == upstream.spec.upstream_id:
                count -= crash.at >= oldest
        rate_per_s = max(rate_per_s, count / horizon_s)
    return rate_per_s


def _least_chance(run: _CrashedRun, runs: Iterable[_CrashedRun]) -> float:
    """Return a lower limit of the chance that a crash was an accident."""
    limit = 0.0
    for other in runs:
        if other.record is run.record:
            continue
        started_at = other.attempt.started_at or run.alive_at
        age_ms = 1_000 * (run.alive_at - started_at - _START_PERMIT_S)
        chance = neighbour_chance(other.suspect, age_ms, run.window_ms)
        limit = max(limit, chance)
    return limit


def _excuse_outage(
    store: StateStore, wave: CrashWave, new_request_ids: Iterable[str]
) -> None:
    """Excuse the crashes that have a common cause other than a request.

    A request that was on half of the crashed upstreams may be that cause.
    Earlier requests of the wave are excused once.
    """
    request_ids = new_request_ids
    if not wave.excused:
        request_ids = list(wave.crash_count_by_request)
    wave.excused = True
    for request_id in request_ids:
        record = store.request(request_id)
        count = wave.crash_count_by_request[request_id]
        if record is None or 2 * count >= len(wave.crash_count_by_upstream):
            continue
        _excuse(record, wave)


def _excuse(record: RequestRecord, wave: CrashWave) -> None:
    excused = {crash.attempt for crash in record.crashes if crash.excused}
    crashes = []
    for crash in record.crashes:
        in_wave = (
            crash.at >= wave.started_at
            and crash.upstream_id in wave.crash_count_by_upstream
        )
        may_excuse = crash.attempt in excused or len(excused) < MAX_EXCUSED_RUNS
        if in_wave and may_excuse:
            excused.add(crash.attempt)
            crash = replace(crash, excused=True)
        crashes.append(crash)
    record.crashes = tuple(crashes)


def _end_waiting_if_guilty(store: StateStore, record: RequestRecord) -> None:
    """End a request that is to blame, unless a task of it may run.

    Its last attempt had been reported as lost before the crash was known.
    """
    attempt = record.live_attempt()
    if attempt is not None and attempt.started_at is not None:
        return
    member = store.guilty_member(record)
    if member is None:
        return
    reason = "upstreams crashed under it"
    if attempt is not None:
        store.end_unstarted_attempt(record, attempt, reason)
    if record.state != RequestState.ACCEPTED:
        return
    record.code = ResultCode.FAILED_ON_MANY_UPSTREAMS
    record.message = describe_crashes(record, member)
    store.contents.crash_log.remove(record.crashes)
    store.end_request(record, RequestState.FINISHED, reason)
