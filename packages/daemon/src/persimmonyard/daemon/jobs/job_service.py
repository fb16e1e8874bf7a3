"""What callers and operators can do with jobs, on the control leader."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from persimmonyard.daemon.jobs.leader_term import LeaderTerm
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.rpc import CallReply, JobCall, Outcome, Verb
from persimmonyard.daemon.logs import get_logger
from persimmonyard.jobs import (
    CancelJob,
    JobConfiguration,
    JobStore,
    PutConfiguration,
    Route,
    SetZone,
    SubmitJob,
    UpstreamReport,
    configuration_problem,
)
from persimmonyard.replication import NotLeaderError, OutcomeUnknownError

__all__ = ["JobService", "parse_job_id"]

_ID_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def parse_job_id(tail: str) -> str | None:
    """Return the identifier in the rest of a path, or None."""
    if len(tail) == _ID_LENGTH and _HEX_DIGITS.issuperset(tail):
        return tail
    return None


@dataclass(frozen=True)
class _Caller:
    route: Route
    account: str
    tail: str


class JobService:
    """Answer calls under the leader's lease.

    ``leader_term`` returns the present term, or None if this process does not
    lead.  Calls raise ``NotLeaderError`` or ``OutcomeUnknownError`` only
    where that is stated.
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
        self._log = get_logger("service")

    # Callers.

    async def answer(self, call: JobCall) -> CallReply:
        """Return the reply to a caller's call."""
        started_at = time.perf_counter()
        try:
            lead = self.current_term()
            reply = await self._answer(call, lead)
        except NotLeaderError:
            reply = CallReply(Outcome.NOT_LEADER)
        except OutcomeUnknownError as error:
            reply = CallReply(Outcome.UNKNOWN, detail=str(error))
        took_s = time.perf_counter() - started_at
        self._metrics.record_call(str(call.verb), str(reply.outcome), took_s)
        if _tells_something(call, reply):
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

    async def _answer(self, call: JobCall, lead: LeaderTerm) -> CallReply:
        caller = self._identify(call)
        if isinstance(caller, CallReply):
            return caller
        if call.verb == Verb.COUNT:
            return CallReply(
                Outcome.OK, count=self._store.count_queued(caller.route.name)
            )
        job_id = parse_job_id(caller.tail)
        if job_id is None:
            return CallReply(Outcome.NO_ROUTE, detail="not a job identifier")
        match call.verb:
            case Verb.SUBMIT:
                return await self._submit(call, caller, job_id, lead)
            case Verb.CANCEL:
                return await self._cancel(job_id, lead)
        record = self._store.job_by_id.get(job_id)
        if record is None:
            return CallReply(Outcome.NO_JOB)
        return CallReply(Outcome.OK, state=str(record.state()))

    def _identify(self, call: JobCall) -> _Caller | CallReply:
        """Return the route and the account of a call, or a refusal."""
        if self._store.configuration is None:
            return CallReply(Outcome.NO_CONFIGURATION)
        route = self._store.find_route(call.host, call.path)
        if route is None:
            return CallReply(Outcome.NO_ROUTE)
        account = self._store.account_of(call.key)
        if account is None and not route.open_access:
            return CallReply(Outcome.UNAUTHENTICATED)
        return _Caller(route, account or "", call.path[len(route.prefix) :])

    async def _submit(
        self, call: JobCall, caller: _Caller, job_id: str, lead: LeaderTerm
    ) -> CallReply:
        if call.job is None:
            return CallReply(Outcome.INVALID, detail="no job")
        if job_id in self._store.job_by_id:
            return CallReply(Outcome.OK, detail="known")
        job = msgspec.structs.replace(
            call.job,
            job_id=job_id,
            route=caller.route.name,
            account=caller.account,
            submitted_ms=int(time.time() * 1_000),
        )
        await lead.commit(SubmitJob(job))
        lead.job_log.log_accepted(job)
        return CallReply(Outcome.OK)

    async def _cancel(self, job_id: str, lead: LeaderTerm) -> CallReply:
        record = self._store.job_by_id.get(job_id)
        if record is None:
            return CallReply(Outcome.NO_JOB)
        if record.is_active():
            await lead.commit(CancelJob(job_id, int(time.time() * 1_000)))
            lead.stop_job(job_id, "cancelled")
        return CallReply(Outcome.OK, state=str(record.state()))

    # Operators; each call raises NotLeaderError or OutcomeUnknownError.

    def current_term(self) -> LeaderTerm:
        """Return the present term; raise ``NotLeaderError`` without one.

        The lease is checked here: a process that was frozen may hold a term
        that has ended meanwhile.
        """
        lead = self._leader_term()
        if lead is None or not lead.leads():
            raise NotLeaderError("")
        return lead

    async def observe(self, report: UpstreamReport) -> None:
        """Take a report of an upstream; a leave is committed on return."""
        lead = self.current_term()
        lead.observe(report)
        await lead.confirm(report)

    async def put_configuration(self, configuration: JobConfiguration) -> str:
        """Put a configuration in force; return why it is invalid, or "".

        A version that is not higher than the present one changes nothing.
        """
        problem = configuration_problem(configuration)
        if problem:
            self._log.warning(
                "configuration refused", version=configuration.version, reason=problem
            )
            return problem
        lead = self.current_term()
        held = self._store.version()
        if configuration.version > held:
            await lead.commit(PutConfiguration(configuration))
        self._log.info(
            "configuration accepted",
            version=configuration.version,
            held=held,
            routes=len(configuration.routes),
        )
        return ""

    def configuration(self) -> JobConfiguration | None:
        """Return the configuration in force."""
        self.current_term()
        return self._store.configuration

    async def set_zone(self, zone: str, out: bool) -> None:
        """Take an availability zone out of service or back."""
        await self.current_term().commit(SetZone(zone, out))
        self._log.info("zone changed", zone=zone, out=out)


def _tells_something(call: JobCall, reply: CallReply) -> bool:
    """Return whether an answer is worth a line in the log.

    Without a leader every entry asks every process many times a second.
    """
    if reply.outcome == Outcome.NOT_LEADER:
        return False
    return call.verb != Verb.READ or reply.outcome != Outcome.OK
