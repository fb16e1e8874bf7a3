"""The operations of callers and operators, executed by the control leader."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from persimmonyard.daemon.jobs.explanation import JobExplanation, explain_job
from persimmonyard.daemon.jobs.job_admission import refuse, refuse_by_state
from persimmonyard.daemon.jobs.leader_term import LeaderTerm
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.placement_previews import (
    PlacementPreviews,
    TooManyPreviewsError,
)
from persimmonyard.daemon.jobs.rpc import (
    EXPLAIN_SUFFIX,
    CallReply,
    JobCall,
    Outcome,
    Verb,
)
from persimmonyard.daemon.logs import get_logger
from persimmonyard.jobs import (
    CancelJob,
    InvalidCommandError,
    Job,
    JobConfiguration,
    JobRecord,
    JobStore,
    NoteUpstreams,
    PutConfiguration,
    Route,
    SetZone,
    SubmitJob,
    UpstreamReport,
    configuration_problem,
    encode_command,
    job_problem,
    limit_reason,
)
from persimmonyard.replication import NotLeaderError, OutcomeUnknownError

__all__ = ["JobService", "parse_job_id"]

_ID_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def parse_job_id(path_suffix: str) -> str | None:
    """Return the job identifier in the rest of a path, or None."""
    if len(path_suffix) == _ID_LENGTH and _HEX_DIGITS.issuperset(path_suffix):
        return path_suffix
    return None


@dataclass(frozen=True)
class _ResolvedCall:
    """Route and client account of a call, and the path after the prefix."""

    route: Route
    account: str
    path_suffix: str


class JobService:
    """Executes the calls of callers, operators and upstreams on the leader.

    ``leader_term`` returns the current term, or None if this process does not
    lead.  ``answer`` returns errors as outcomes; all other methods raise
    ``NotLeaderError``, and those that commit a command also raise
    ``OutcomeUnknownError`` and ``InvalidCommandError``.
    """

    def __init__(
        self,
        store: JobStore,
        leader_term: Callable[[], LeaderTerm | None],
        metrics: JobMetrics,
    ):
        self._store = store
        self._metrics = metrics
        self._leader_term = leader_term
        self._previews = PlacementPreviews()
        self._log = get_logger("service")

    async def answer(self, call: JobCall) -> CallReply:
        """Execute a call of a caller and return the reply."""
        started_at = time.perf_counter()
        try:
            term = self.current_term()
            reply = await self._answer(call, term)
        except NotLeaderError:
            reply = CallReply(Outcome.NOT_LEADER)
        except OutcomeUnknownError as error:
            reply = CallReply(Outcome.UNKNOWN, detail=str(error))
        except InvalidCommandError as error:
            reply = CallReply(Outcome.INVALID, detail=str(error))
        took_s = time.perf_counter() - started_at
        self._metrics.record_call(str(call.verb), str(reply.outcome), took_s)
        if _should_log(call, reply):
            self._log.info(
                "call answered",
                verb=str(call.verb),
                job=call.path.rpartition("/")[2],
                outcome=str(reply.outcome),
                detail=reply.detail,
                version=self._store.version(),
                took_ms=int(took_s * 1_000),
            )
        return reply

    async def _answer(self, call: JobCall, term: LeaderTerm) -> CallReply:
        resolved = self._resolve(call)
        if isinstance(resolved, CallReply):
            return resolved
        if call.verb == Verb.COUNT:
            return CallReply(
                Outcome.OK, count=self._store.count_queued(resolved.route.name)
            )
        path_suffix = resolved.path_suffix
        if call.verb in (Verb.EXPLAIN, Verb.PREVIEW):
            path_suffix = path_suffix.removesuffix(EXPLAIN_SUFFIX)
        job_id = parse_job_id(path_suffix)
        if job_id is None:
            return CallReply(Outcome.NO_ROUTE, detail="not a job identifier")
        match call.verb:
            case Verb.SUBMIT:
                return await self._submit(call, resolved, job_id, term)
            case Verb.PREVIEW:
                return await self._preview(call, resolved, job_id, term)
            case Verb.CANCEL:
                return await self._cancel(job_id, resolved.account, term)
        record = self._store.job_by_id.get(job_id)
        if record is None:
            return CallReply(Outcome.NO_JOB)
        content = b""
        if call.verb == Verb.EXPLAIN:
            content = msgspec.json.encode(_explain(record, term))
        return CallReply(Outcome.OK, state=str(record.state()), content=content)

    def _resolve(self, call: JobCall) -> _ResolvedCall | CallReply:
        """Return the route and the account of a call, or an error reply."""
        if self._store.configuration is None:
            return CallReply(Outcome.NO_CONFIGURATION)
        route = self._store.find_route(call.host, call.path)
        if route is None:
            return CallReply(Outcome.NO_ROUTE)
        account = self._store.account_of(call.key)
        if account is None and not route.open_access:
            return CallReply(Outcome.UNAUTHENTICATED)
        return _ResolvedCall(route, account or "", call.path[len(route.prefix) :])

    async def _submit(
        self, call: JobCall, resolved: _ResolvedCall, job_id: str, term: LeaderTerm
    ) -> CallReply:
        job = self._submitted_job(call, resolved, job_id, term)
        if isinstance(job, CallReply):
            return job
        if job_id in self._store.job_by_id:
            return CallReply(Outcome.OK, detail="known")
        refusal = refuse(job, resolved.route.service, term, self._metrics)
        if refusal is not None:
            return refusal
        reason = self._store.refusal_of(job, term.work_budget)
        if reason is None:
            # Calls that were committed in the meantime count as well.
            result = await term.commit(SubmitJob(job, term.work_budget))
            reason = None if isinstance(result, bool) else result
        if reason is not None:
            return refuse_by_state(reason, term, self._metrics)
        term.job_log.log_accepted(job)
        return CallReply(Outcome.OK)

    def _submitted_job(
        self, call: JobCall, resolved: _ResolvedCall, job_id: str, term: LeaderTerm
    ) -> Job | CallReply:
        """Return the job of a call as it is stored, or an error reply."""
        if call.job is None:
            return CallReply(Outcome.INVALID, detail="no job")
        if problem := job_problem(call.job):
            return CallReply(Outcome.INVALID, detail=problem)
        return msgspec.structs.replace(
            call.job,
            job_id=job_id,
            route=resolved.route.name,
            account=resolved.account,
            submitted_ms=term.wall_clock.now_ms(),
        )

    async def _preview(
        self, call: JobCall, resolved: _ResolvedCall, job_id: str, term: LeaderTerm
    ) -> CallReply:
        """Return where a job would be placed, without storing it."""
        job = self._submitted_job(call, resolved, job_id, term)
        if isinstance(job, CallReply):
            return job
        try:
            preview = await self._previews.preview(job, term)
        except TooManyPreviewsError:
            return CallReply(Outcome.TOO_MANY)
        return CallReply(Outcome.OK, content=msgspec.json.encode(preview))

    async def _cancel(self, job_id: str, account: str, term: LeaderTerm) -> CallReply:
        record = self._store.job_by_id.get(job_id)
        if record is None and job_id in self._store.withdrawn_jobs:
            return CallReply(Outcome.NO_JOB)
        if record is None or record.is_active():
            # The submission of an unknown job may still be on its way.
            await term.commit(CancelJob(job_id, term.wall_clock.now_ms(), account))
            # It may have been committed in the meantime.
            record = self._store.job_by_id.get(job_id)
        if record is None:
            return CallReply(Outcome.NO_JOB)
        return CallReply(Outcome.OK, state=str(record.state()))

    def current_term(self) -> LeaderTerm:
        """Return the current term; raise ``NotLeaderError`` without one.

        This checks the leader's lease: in a process that was suspended, the
        term may have ended without being closed yet.
        """
        term = self._leader_term()
        if term is None or not term.leads():
            raise NotLeaderError("")
        return term

    async def observe(self, report: UpstreamReport) -> None:
        """Process a report of an upstream.

        If the upstream is leaving, this is committed before the return.
        """
        term = self.current_term()
        # Reports are committed later in batches, which one that cannot be
        # encoded would make fail.
        encode_command(NoteUpstreams((report,)))
        term.observe(report)
        await term.commit_departure(report)

    async def put_configuration(self, configuration: JobConfiguration) -> str:
        """Apply a configuration; return why it is invalid, or "".

        A version that is not higher than the current one changes nothing.
        """
        problem = configuration_problem(configuration)
        if problem:
            self._log.warning(
                "configuration refused", version=configuration.version, reason=problem
            )
            return problem
        term = self.current_term()
        current_version = self._store.version()
        if configuration.version > current_version:
            await term.commit(PutConfiguration(configuration))
        self._log.info(
            "configuration accepted",
            version=configuration.version,
            held=current_version,
            routes=len(configuration.routes),
        )
        return ""

    def configuration(self) -> JobConfiguration | None:
        """Return the current configuration, or None."""
        self.current_term()
        return self._store.configuration

    async def set_zone(self, zone: str, out: bool) -> None:
        """Take an availability zone out of service, or put it back."""
        await self.current_term().commit(SetZone(zone, out))
        self._log.info("zone changed", zone=zone, out=out)


def _explain(record: JobRecord, term: LeaderTerm) -> JobExplanation:
    account = record.job.account
    status = term.accounts.status(account) if account else None
    limit = limit_reason(term.store, record, term.wall_clock.now_ms())
    return explain_job(record, limit, status)


def _should_log(call: JobCall, reply: CallReply) -> bool:
    """Return whether to log an answer.

    Answers of a process that does not lead are not logged: without a leader
    every entry calls every process many times a second.
    """
    if reply.outcome == Outcome.NOT_LEADER:
        return False
    if call.verb in (Verb.READ, Verb.EXPLAIN, Verb.PREVIEW):
        return reply.outcome != Outcome.OK
    return True
